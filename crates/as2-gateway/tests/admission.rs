//! Admission of submissions: the reasons for rejection and the precedence of header fields.

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

fn admit_from(
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

const VALID_FIELDS: [(&str, &str); 2] = [("Cloverstile-Partner", "bank"), ("Cloverstile-Class", "pay")];

fn rejection(replacement: (&str, &str)) -> RejectionReason {
    let fields: Vec<_> =
        VALID_FIELDS.into_iter().filter(|(name, _)| *name != replacement.0).chain([replacement]).collect();
    admit_from(0, &opened(Some(Digest::Sha256), &[]), &fields).unwrap_err()
}

#[test]
fn signed_fields_take_precedence_over_http_fields() {
    let inner =
        opened(Some(Digest::Sha256), &[("Cloverstile-Time-Left", "300"), ("Cloverstile-Class", "pay")]);
    let outer =
        [("Cloverstile-Partner", "bank"), ("Cloverstile-Class", "notice"), ("Cloverstile-Time-Left", "9")];
    let submission = admit_from(0, &inner, &outer).unwrap();
    assert_eq!((submission.class.0, submission.deadline), (0, Time(5) + Duration::from_millis(300)));
    assert_eq!(admit_from(0, &inner, &VALID_FIELDS).unwrap().fingerprint, submission.fingerprint);
}

#[test]
fn time_left_is_limited_to_the_deadline_of_the_class() {
    let fields = [VALID_FIELDS[0], VALID_FIELDS[1], ("Cloverstile-Time-Left", "99999999")];
    let submission = admit_from(0, &opened(Some(Digest::Sha256), &[]), &fields).unwrap();
    assert_eq!(submission.deadline, Time(5) + Duration::from_secs(8));
}

#[test]
fn invalid_submission_is_rejected_with_the_matching_reason() {
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
        let error = admit_from(client, &opened(signed, &[]), &VALID_FIELDS).unwrap_err();
        assert!(matches!(error, RejectionReason::InsufficientSecurity(_)), "{client} {signed:?}");
    }
}

#[test]
fn resubmission_flags_and_order_key_are_passed_to_the_engine() {
    let fields = [
        VALID_FIELDS[0],
        VALID_FIELDS[1],
        ("Cloverstile-Handed-In", "after-loss"),
        ("Cloverstile-Order-Key", "employee"),
    ];
    let submission = admit_from(0, &opened(Some(Digest::Sha256), &[]), &fields).unwrap();
    assert!(submission.from_lost_instance && submission.resubmitted);
    let again = admit_from(0, &opened(Some(Digest::Sha256), &[]), &fields).unwrap();
    assert!(submission.order_key.is_some_and(|OrderKey(key)| again.order_key == Some(OrderKey(key))));
}

#[test]
fn receipt_url_outside_the_permitted_prefix_is_rejected() {
    let admit_receipt_url = |client: usize, url: &str| {
        let receipt = ReceiptRequest { deliver_to: Some(url.into()), signed: vec![Digest::Sha256] };
        let headers = VALID_FIELDS.iter().fold(Headers::new(), |all, (name, value)| all.with(name, *value));
        let opened = OpenedMessage { encrypted: true, ..opened(Some(Digest::Sha256), &[]) };
        admit(Time(5), &config(), client, "m1", &headers, &opened, Some(&receipt)).map(|_| ())
    };
    assert_eq!(admit_receipt_url(0, "http://127.0.0.1:9000/receipts"), Ok(()));
    for (client, url) in
        [(0, "http://127.0.0.1:9001/"), (0, "http://10.0.0.1/"), (1, "http://127.0.0.1:9000/")]
    {
        assert!(
            matches!(admit_receipt_url(client, url), Err(RejectionReason::ReceiptUrlNotAllowed(_))),
            "{client} {url}"
        );
    }
}
