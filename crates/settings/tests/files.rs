//! Whole files, good and bad.

use cloverstile_settings::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;

const GOOD: &str = r#"
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
fn valid_file_reaches_the_policy_settings_unchanged() {
    let config = parse("c.hcl", GOOD).unwrap_or_else(|problems| panic!("{problems}"));
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

/// The problems of the good file with one line replaced.
fn problems(from: &str, to: &str) -> Vec<Problem> {
    assert!(GOOD.contains(from));
    parse("c.hcl", &GOOD.replacen(from, to, 1)).expect_err(to).0
}

#[test]
fn each_problem_has_file_line_field_and_allowed_values() {
    // Original text, replacement, text at the line of the problem, its field, part of its advice.
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
        let all = problems(from, to);
        let problem = all.iter().find(|p| p.field == field).unwrap_or_else(|| panic!("{to}: {all:?}"));
        let text = GOOD.replacen(from, to, 1);
        let line = text[..text.find(at).unwrap()].matches('\n').count() + 1;
        assert_eq!((&problem.file[..], problem.line), ("c.hcl", line), "{problem}");
        assert!(problem.advice.contains(advice), "{problem}");
    }
}

#[test]
fn all_problems_are_reported_together_and_syntax_errors_with_their_line() {
    let text =
        GOOD.replace("\"unsafe\"", "\"x\"").replace("\"banks\" { batch = 4 }", "\"banks\" { batch = -1 }");
    assert_eq!(parse("c.hcl", &text).unwrap_err().0.len(), 2);
    let broken = parse("c.hcl", "courier {\n  name = \n}").unwrap_err();
    assert_eq!((broken.0[0].line, &broken.0[0].field[..]), (2, "syntax"));
    assert!(parse("c.hcl", "").unwrap_err().0.iter().any(|p| p.field == "courier"));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(17), failure_persistence: None, ..Default::default() })]

    #[test]
    fn random_text_never_panics(at in 0usize..1100, junk in "[\\PC\n]{0,20}") {
        let mut text = GOOD.to_owned();
        let at = (0..=at.min(text.len())).rev().find(|at| text.is_char_boundary(*at)).unwrap_or(0);
        text.insert_str(at, &junk);
        let _ = parse("c.hcl", &text);
    }
}
