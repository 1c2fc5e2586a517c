//! What a message needs before it is taken: each reason not to take it, and where its fields are read.

use cloverstile::{OrderKey, Time};
use cloverstile_as2::{Digest, Mic, Opened, Part, ReceiptRequest};
use cloverstile_as2_gateway::admission::{admit, Rejection};
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

fn opened(signed: Option<Digest>, fields: &[(&str, &str)]) -> Opened {
    let mut headers = Headers::new();
    fields.iter().for_each(|(name, value)| {
        headers.add(name, *value);
    });
    let mic = Mic { value: vec![1], digest: Digest::Sha256 };
    let payload = Part { headers, body: b"salary".to_vec() };
    Opened { payload, mic, signed, encrypted: false, compressed: false }
}

fn admitted(client: usize, opened: &Opened, http: &[(&str, &str)]) -> Result<SubmitRequest, Rejection> {
    let mut headers = Headers::new();
    http.iter().for_each(|(name, value)| {
        headers.add(name, *value);
    });
    admit(Time(5), &config(), client, "m1", &headers, opened, None)
}

const GOOD: [(&str, &str); 2] = [("Cloverstile-Partner", "bank"), ("Cloverstile-Class", "pay")];

fn rejection(changed: (&str, &str)) -> Rejection {
    let fields: Vec<_> = GOOD.into_iter().filter(|(name, _)| *name != changed.0).chain([changed]).collect();
    admitted(0, &opened(Some(Digest::Sha256), &[]), &fields).unwrap_err()
}

#[test]
fn the_signed_fields_count_before_those_of_the_http_message() {
    let inner =
        opened(Some(Digest::Sha256), &[("Cloverstile-Time-Left", "300"), ("Cloverstile-Class", "pay")]);
    let outer =
        [("Cloverstile-Partner", "bank"), ("Cloverstile-Class", "notice"), ("Cloverstile-Time-Left", "9")];
    let hand_in = admitted(0, &inner, &outer).unwrap();
    assert_eq!((hand_in.class.0, hand_in.deadline), (0, Time(5) + Duration::from_millis(300)));
    assert_eq!(admitted(0, &inner, &GOOD).unwrap().fingerprint, hand_in.fingerprint);
}

#[test]
fn nobody_gets_more_time_than_the_class_has() {
    let late = [GOOD[0], GOOD[1], ("Cloverstile-Time-Left", "99999999")];
    let hand_in = admitted(0, &opened(Some(Digest::Sha256), &[]), &late).unwrap();
    assert_eq!(hand_in.deadline, Time(5) + Duration::from_secs(8));
}

#[test]
fn each_reason_not_to_take_a_message_is_told() {
    assert!(matches!(rejection(("Cloverstile-Partner", "nobody")), Rejection::Partner(_)));
    assert!(matches!(rejection(("Cloverstile-Class", "none")), Rejection::Class(..)));
    assert!(matches!(rejection(("Cloverstile-Class", "notice")), Rejection::NoKey(_)));
    assert!(matches!(rejection(("Cloverstile-Time-Left", "0")), Rejection::TimeLeft(_)));
    assert!(matches!(rejection(("Cloverstile-Time-Left", "-5")), Rejection::TimeLeft(_)));
    assert!(matches!(rejection(("Cloverstile-Handed-In", "maybe")), Rejection::HandedIn(_)));
    for (client, signed) in [(0, None), (0, Some(Digest::Sha1)), (1, Some(Digest::Sha256))] {
        let error = admitted(client, &opened(signed, &[]), &GOOD).unwrap_err();
        assert!(matches!(error, Rejection::Unprotected(_)), "{client} {signed:?}");
    }
}

#[test]
fn marks_of_hand_ins_and_keys_reach_the_engine() {
    let lost =
        [GOOD[0], GOOD[1], ("Cloverstile-Handed-In", "after-loss"), ("Cloverstile-Order-Key", "employee")];
    let hand_in = admitted(0, &opened(Some(Digest::Sha256), &[]), &lost).unwrap();
    assert!(hand_in.from_lost_instance && hand_in.resubmitted);
    let again = admitted(0, &opened(Some(Digest::Sha256), &[]), &lost).unwrap();
    assert!(hand_in.order_key.is_some_and(|OrderKey(key)| again.order_key == Some(OrderKey(key))));
}

#[test]
fn a_message_cannot_make_the_courier_call_any_address() {
    let ask = |client: usize, url: &str| {
        let receipt = ReceiptRequest { deliver_to: Some(url.into()), signed: vec![Digest::Sha256] };
        let headers = GOOD.iter().fold(Headers::new(), |all, (name, value)| all.with(name, *value));
        let opened = Opened { encrypted: true, ..opened(Some(Digest::Sha256), &[]) };
        admit(Time(5), &config(), client, "m1", &headers, &opened, Some(&receipt)).map(|_| ())
    };
    assert_eq!(ask(0, "http://127.0.0.1:9000/receipts"), Ok(()));
    for (client, url) in
        [(0, "http://127.0.0.1:9001/"), (0, "http://10.0.0.1/"), (1, "http://127.0.0.1:9000/")]
    {
        assert!(matches!(ask(client, url), Err(Rejection::ReceiptUrl(_))), "{client} {url}");
    }
}
