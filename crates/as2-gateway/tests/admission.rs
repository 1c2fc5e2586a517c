//! Admission of submissions: each reason to reject one, and where its fields are read.

use cloverstile::{OrderKey, Time};
use cloverstile_as2::{Digest, Mic, OpenedMessage, Part, ReceiptRequest};
use cloverstile_as2_gateway::admission::{admit, RejectionReason};
use cloverstile_engine::SubmitRequest;
use cloverstile_http::Headers;
use cloverstile_settings::{parse, Config};
use std::time::Duration;

const SETTINGS: &str = r#"
courier {
  name        = "c"
  key         = "k"
  certificate = "c"
}
front { listen = "127.0.0.1:0" }
class "pay" {
  effect   = "unsafe"
  aim      = "1s"
  deadline = "8s"
}
class "notice" {
  effect        = "keyed"
  repeat_window = "5s"
  in_order      = true
}
client "signs" {
  certificate = "x"
  receipts    = "http://127.0.0.1:9000/"
}
client "encrypts" {
  certificate = "x"
  encrypt     = "required"
}
partner "bank" {
  certificate = "x"
  rate        = 10
  endpoint "a" { address = "127.0.0.1:1" }
}
"#;

fn config() -> Config {
    parse("test.hcl", SETTINGS).unwrap_or_else(|problems| panic!("{problems}"))
}

fn opened(signed: Option<Digest>, fields: &[(&str, &str)]) -> OpenedMessage {
    let mut headers = Headers::new();
    fields.iter().for_each(|(name, value)| {
        headers.add(name, *value);
    });
    let mic = Mic { value: vec![1], digest: Digest::Sha256 };
    let payload = Part { headers, body: b"salary".to_vec() };
    OpenedMessage { payload, mic, signed, encrypted: false, compressed: false }
}

fn admitted(
    client: usize,
    opened: &OpenedMessage,
    http: &[(&str, &str)],
) -> Result<SubmitRequest, RejectionReason> {
    let mut headers = Headers::new();
    http.iter().for_each(|(name, value)| {
        headers.add(name, *value);
    });
    admit(Time(5), &config(), client, "m1", &headers, opened, None)
}

const GOOD: [(&str, &str); 2] = [("Cloverstile-Partner", "bank"), ("Cloverstile-Class", "pay")];

fn rejection(changed: (&str, &str)) -> RejectionReason {
    let fields: Vec<_> = GOOD.into_iter().filter(|(name, _)| *name != changed.0).chain([changed]).collect();
    admitted(0, &opened(Some(Digest::Sha256), &[]), &fields).unwrap_err()
}

#[test]
fn signed_fields_take_precedence_over_http_fields() {
    let inner =
        opened(Some(Digest::Sha256), &[("Cloverstile-Time-Left", "300"), ("Cloverstile-Class", "pay")]);
    let outer =
        [("Cloverstile-Partner", "bank"), ("Cloverstile-Class", "notice"), ("Cloverstile-Time-Left", "9")];
    let submission = admitted(0, &inner, &outer).unwrap();
    assert_eq!((submission.class.0, submission.deadline), (0, Time(5) + Duration::from_millis(300)));
    assert_eq!(admitted(0, &inner, &GOOD).unwrap().fingerprint, submission.fingerprint);
}

#[test]
fn time_left_is_capped_by_the_deadline_of_the_class() {
    let late = [GOOD[0], GOOD[1], ("Cloverstile-Time-Left", "99999999")];
    let submission = admitted(0, &opened(Some(Digest::Sha256), &[]), &late).unwrap();
    assert_eq!(submission.deadline, Time(5) + Duration::from_secs(8));
}

#[test]
fn each_rejection_reason_is_reported() {
    assert!(matches!(rejection(("Cloverstile-Partner", "nobody")), RejectionReason::UnknownPartner(_)));
    assert!(matches!(rejection(("Cloverstile-Class", "none")), RejectionReason::UnknownClass { .. }));
    assert!(matches!(rejection(("Cloverstile-Class", "notice")), RejectionReason::MissingOrderKey(_)));
    assert!(matches!(rejection(("Cloverstile-Time-Left", "0")), RejectionReason::InvalidTimeLeft(_)));
    assert!(matches!(rejection(("Cloverstile-Time-Left", "-5")), RejectionReason::InvalidTimeLeft(_)));
    assert!(matches!(
        rejection(("Cloverstile-Handed-In", "maybe")),
        RejectionReason::InvalidSubmissionKind(_)
    ));
    for (client, signed) in [(0, None), (0, Some(Digest::Sha1)), (1, Some(Digest::Sha256))] {
        let error = admitted(client, &opened(signed, &[]), &GOOD).unwrap_err();
        assert!(matches!(error, RejectionReason::InsufficientSecurity(_)), "{client} {signed:?}");
    }
}

#[test]
fn resubmission_marks_and_order_keys_reach_the_engine() {
    let lost =
        [GOOD[0], GOOD[1], ("Cloverstile-Handed-In", "after-loss"), ("Cloverstile-Order-Key", "employee")];
    let submission = admitted(0, &opened(Some(Digest::Sha256), &[]), &lost).unwrap();
    assert!(submission.from_lost_instance && submission.resubmitted);
    let again = admitted(0, &opened(Some(Digest::Sha256), &[]), &lost).unwrap();
    assert!(submission.order_key.is_some_and(|OrderKey(key)| again.order_key == Some(OrderKey(key))));
}

#[test]
fn receipts_are_sent_only_to_permitted_addresses() {
    let ask = |client: usize, url: &str| {
        let receipt = ReceiptRequest { deliver_to: Some(url.into()), signed: vec![Digest::Sha256] };
        let headers = GOOD.iter().fold(Headers::new(), |all, (name, value)| all.with(name, *value));
        let opened = OpenedMessage { encrypted: true, ..opened(Some(Digest::Sha256), &[]) };
        admit(Time(5), &config(), client, "m1", &headers, &opened, Some(&receipt)).map(|_| ())
    };
    assert_eq!(ask(0, "http://127.0.0.1:9000/receipts"), Ok(()));
    for (client, url) in
        [(0, "http://127.0.0.1:9001/"), (0, "http://10.0.0.1/"), (1, "http://127.0.0.1:9000/")]
    {
        assert!(matches!(ask(client, url), Err(RejectionReason::ReceiptUrlNotAllowed(_))), "{client} {url}");
    }
}
