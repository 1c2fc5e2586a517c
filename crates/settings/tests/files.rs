//! Parsing of valid and invalid settings files, through the public API.

use cloverstile_settings::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;

const VALID_FILE: &str = r#"
zones = ["kingston", "mobay"]

courier {
  name        = "courier-1"
  key         = "keys/courier.key"
  certificate = "keys/courier.crt"
  couriers    = 3
  zone        = "mobay"
  call_slots  = 24
}

front {
  listen = "127.0.0.1:4080"
  body   = "2MiB"
}

rules {
  order_settle = "100ms"
  tip_multiple = 2.5
}

kind "banks" { batch = 4 }

class "salary-payment" {
  aim      = "3s"
  deadline = "24s"
  effect   = "unsafe"
  worth    = 3
}
class "pay-notice" {
  effect        = "keyed"
  group         = "all"
  repeat_window = "10s"
  in_order      = true
}

tenant "bayside" { quota = 40 }

client "payroll" {
  certificate = "keys/payroll.crt"
  tenant      = "bayside"
}

partner "bank-north" {
  kind        = "banks"
  rate        = 12.5
  certificate = "keys/bank.crt"
  receipt     = "async"
  endpoint "a" { address = "127.0.0.1:5001" }
  endpoint "b" {
    address = "127.0.0.1:5002"
    zone    = "mobay"
    mode    = "draining"
  }
}
"#;

#[test]
fn parse_keeps_the_values_of_a_valid_file() {
    let config = parse("c.hcl", VALID_FILE).unwrap_or_else(|problems| panic!("{problems}"));
    assert_eq!(
        (config.policy.instance_count, config.policy.concurrency_limit, config.policy.zone.0),
        (3, 24, 1)
    );
    assert_eq!(config.policy.classes[0].effect, cloverstile::Effect::Unsafe);
    assert_eq!(config.policy.classes[1].retry_window, Duration::from_secs(10));
    assert!(config.policy.classes[1].ordered);
    assert_eq!(config.policy.kinds[0].max_batch, 4);
    assert_eq!(config.policy.rules.key_cooldown, Duration::from_millis(100));
    assert_eq!(config.policy.tenants[0].quota, 40.0);
    assert_eq!(config.listener.max_body_bytes, 2 << 20);
    let partner = &config.partners[0];
    assert_eq!((partner.rate, partner.receipt_mode), (12.5, ReceiptMode::Async));
    assert_eq!(
        (partner.endpoints[1].zone, partner.endpoints[1].state),
        (1, cloverstile::EndpointState::Draining)
    );
}

/// The problems of the valid file with the first occurrence of `from` replaced.
fn problems_after_replacing(from: &str, to: &str) -> Vec<Problem> {
    assert!(VALID_FILE.contains(from));
    parse("c.hcl", &VALID_FILE.replacen(from, to, 1)).expect_err(to).0
}

#[test]
fn parse_reports_file_line_field_and_advice_of_each_problem() {
    // Original text, its replacement, text on the line of the problem, field, part of the advice.
    for (from, to, at, field, advice) in [
        ("\"3s\"", "\"3 parsecs\"", "parsecs", "class \"salary-payment\".aim", "3s"),
        ("\"unsafe\"", "\"unsave\"", "unsave", "class \"salary-payment\".effect", "safe, keyed, unsafe"),
        ("call_slots  = 24", "call_slots  = 0", "= 0", "courier.call_slots", "from 1 to 100000"),
        ("call_slots  = 24", "call_slot   = 24", "call_slot ", "courier.call_slot", "call_slots"),
        ("listen = \"127.0.0.1:4080\"", "listen = \"here\"", "here", "front.listen", "127.0.0.1:4080"),
        ("kind        = \"banks\"", "kind = \"bank\"", "kind = ", "partner \"bank-north\".kind", "banks"),
        ("rate        = 12.5", "", "partner \"bank", "partner \"bank-north\".rate", "none"),
        ("repeat_window = \"10s\"", "", "class \"pay-n", "class \"pay-notice\".repeat_window", "10s"),
        (
            "receipt     = \"async\"",
            "tier \"mobay\" {}",
            "partner \"bank",
            "partner \"bank-north\".tier",
            "tier \"zone\"",
        ),
        ("tenant \"bayside\"", "tenants \"bayside\"", "tenants", "tenants", "tenant"),
        (
            "endpoint \"b\"",
            "endpoint \"a\"",
            "\"a\" {\n",
            "partner \"bank-north\".endpoint \"a\"",
            "another name",
        ),
    ] {
        let all = problems_after_replacing(from, to);
        let problem = all.iter().find(|p| p.field == field).unwrap_or_else(|| panic!("{to}: {all:?}"));
        let text = VALID_FILE.replacen(from, to, 1);
        let line = text[..text.find(at).unwrap()].matches('\n').count() + 1;
        assert_eq!((&problem.file[..], problem.line), ("c.hcl", line), "{problem}");
        assert!(problem.advice.contains(advice), "{problem}");
    }
}

#[test]
fn parse_reports_all_problems_together_and_syntax_errors_with_their_line() {
    let text = VALID_FILE
        .replace("\"unsafe\"", "\"x\"")
        .replace("\"banks\" { batch = 4 }", "\"banks\" { batch = -1 }");
    assert_eq!(parse("c.hcl", &text).unwrap_err().0.len(), 2);
    let syntax_error = parse("c.hcl", "courier {\n  name = \n}").unwrap_err();
    assert_eq!((syntax_error.0[0].line, &syntax_error.0[0].field[..]), (2, "syntax"));
    assert!(parse("c.hcl", "").unwrap_err().0.iter().any(|p| p.field == "courier"));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(17), failure_persistence: None, ..Default::default() })]

    #[test]
    fn parse_never_panics_on_randomly_inserted_text(at in 0usize..1100, inserted in "[\\PC\n]{0,20}") {
        let mut text = VALID_FILE.to_owned();
        let at = (0..=at.min(text.len())).rev().find(|at| text.is_char_boundary(*at)).unwrap_or(0);
        text.insert_str(at, &inserted);
        let _ = parse("c.hcl", &text);
    }
}
