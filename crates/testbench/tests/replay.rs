//! A bench day becomes a script; what can't be played is said.

use cloverstile_fakes::model::Fault;
use cloverstile_testbench::replay::{read, Scale};
use cloverstile_testbench::scenario::FaultEvent;
use serde_json::json;
use std::time::Duration;

fn drawn(troubles: serde_json::Value) -> String {
    json!({
        "length": 30e6, "drain_grace": 1e6, "fall_multiple": 2.0, "fall_for": 3e6, "order_settle": 1e5,
        "traffic": { "load": 0.5 },
        "classes": [
            { "name": "pay", "share": 0.5, "aim": 3e6, "deadline": 24e6, "worth": 3.0, "effect": "unsafe" },
            { "name": "note", "share": 0.5, "aim": 3e6, "deadline": 24e6, "worth": 1.0, "effect": "keyed",
              "group": "all", "window": 9e6, "in_order": true },
        ],
        "tiers": [{ "kinds": [{ "cold_from": 0.2, "cold": 12e6 }] }],
        "servers": [{ "cell": 0 }, { "cell": 0 }, { "cell": 1 }],
        "balancers": [{}, {}, {}, {}],
        "troubles": troubles,
        "fam": {
            "capacity": 100.0, "kind": [0, 0], "share": [0.25, 0.75],
            "gates": [{ "dest": 0, "limit": 20.0, "room": 30.0 }, { "dest": 1, "limit": 60.0, "room": 90.0 }],
            "habits": [{ "batch": 2, "limit": "rate", "tells_wait": 0.9 }],
        },
    })
    .to_string()
}

fn trouble(kind: &str, size: f64, on: &[usize]) -> serde_json::Value {
    json!({ "kind": kind, "at": 6e6, "len": 9e6, "size": size, "extra": 3.0, "on": on })
}

#[test]
fn sizes_and_times_are_scaled_and_what_a_partner_takes_of_what_it_is_sent_stays() {
    let replay = read(&drawn(json!([])), Scale { rate: 200.0, pace: 3.0, ..Scale::default() }).unwrap();
    let day = &replay.day;
    assert_eq!((day.messages, day.couriers, day.partner.len()), (2000, 3, 2));
    assert_eq!((day.class["pay"].deadline, day.class["note"].window), (8.0, 3.0));
    // Sent 37.5 of the 60 that it takes; at our rate 150, so that it must take 240.
    assert_eq!(day.partner["dest-001"].limit, Some(240.0));
    assert_eq!((day.partner["dest-000"].endpoints, day.partner["dest-000"].batch), (2, 2));
    assert!(replay.left_out[0].contains("4 couriers"));
}

#[test]
fn each_kind_of_trouble_is_played_or_said_to_be_left_out() {
    for (kind, size, act) in [
        ("hang", 0.0, Some(FaultEvent::Fault(0, Fault::Silent, None))),
        ("crash", 0.0, Some(FaultEvent::Fault(0, Fault::Refuse, None))),
        ("vanish", 0.0, Some(FaultEvent::Fault(0, Fault::Refuse, None))),
        ("fast_errors", 0.4, Some(FaultEvent::Fault(0, Fault::Errors(0.4), None))),
        ("fast_errors", 1.0, Some(FaultEvent::Fault(0, Fault::Shut, None))),
        ("slow", 8.0, Some(FaultEvent::Fault(0, Fault::Slow(8.0), None))),
        ("answer_lost", 0.3, Some(FaultEvent::Fault(0, Fault::LoseAnswers(0.3), None))),
        ("idle_reap", 1.5, Some(FaultEvent::Fault(0, Fault::Reap(Duration::from_millis(500)), None))),
        ("pauses", 300.0, Some(FaultEvent::Fault(0, Fault::Late(Duration::from_millis(300)), None))),
        ("deploy", 0.0, Some(FaultEvent::Drain(0, 0))),
        ("burst", 2.0, Some(FaultEvent::Burst(2.0))),
        ("balancer_crash", 0.0, Some(FaultEvent::Kill(0))),
        ("heavy_tail", 9.0, None),
    ] {
        let replay = read(&drawn(json!([trouble(kind, size, &[1])])), Scale::default()).unwrap();
        let acts = replay.day.acts().unwrap();
        assert_eq!(acts.first().map(|played| played.3), act, "{kind}");
        if let Some((at, ..)) = acts.first() {
            assert_eq!(*at, 2.0, "{kind}");
        } else {
            assert!(replay.left_out.iter().any(|line| line.contains("not played")), "{kind}");
        }
    }
    let elsewhere = read(&drawn(json!([trouble("hang", 0.0, &[])])), Scale::default()).unwrap();
    assert!(elsewhere.left_out.iter().any(|line| line.contains("strikes none")));
    assert!(read("{}", Scale::default()).is_err());
}
