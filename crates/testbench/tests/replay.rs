//! A bench day is converted to a fault scenario, and faults that can't be converted are listed.

use cloverstile_fakes::model::Fault;
use cloverstile_testbench::replay::{convert_bench_day, ReplayScale};
use cloverstile_testbench::scenario::FaultEvent;
use serde_json::json;
use std::time::Duration;

fn bench_day(faults: &serde_json::Value) -> String {
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
        "troubles": faults,
        "fam": {
            "capacity": 100.0, "kind": [0, 0], "share": [0.25, 0.75],
            "gates": [{ "dest": 0, "limit": 20.0, "room": 30.0 }, { "dest": 1, "limit": 60.0, "room": 90.0 }],
            "habits": [{ "batch": 2, "limit": "rate", "tells_wait": 0.9 }],
        },
    })
    .to_string()
}

fn bench_fault(kind: &str, size: f64, on: &[usize]) -> serde_json::Value {
    json!({ "kind": kind, "at": 6e6, "len": 9e6, "size": size, "extra": 3.0, "on": on })
}

/// A fault of partner 0 in all its zones.
fn partner_fault(fault: Fault) -> FaultEvent {
    FaultEvent::Partner { partner: 0, fault, zone: None }
}

#[test]
fn replay_scales_sizes_and_times_and_keeps_the_utilization_of_partners() {
    let replay = convert_bench_day(
        &bench_day(&json!([])),
        ReplayScale { rate: 200.0, speed: 3.0, ..ReplayScale::default() },
    )
    .unwrap();
    let scenario = &replay.scenario;
    assert_eq!((scenario.messages, scenario.gateways, scenario.partners.len()), (2000, 3, 2));
    assert_eq!((scenario.classes["pay"].deadline, scenario.classes["note"].retry_window), (8.0, 3.0));
    // The destination gets 37.5 messages per second with a limit of 60. At the scenario's 150 per second, the same
    // utilization needs a limit of 240.
    assert_eq!(scenario.partners["dest-001"].limit, Some(240.0));
    assert_eq!((scenario.partners["dest-000"].endpoints, scenario.partners["dest-000"].batch), (2, 2));
    assert!(replay.omissions[0].contains("4 gateways"));
}

#[test]
fn replay_converts_or_lists_each_kind_of_fault() {
    for (kind, size, event) in [
        ("hang", 0.0, Some(partner_fault(Fault::Silent))),
        ("crash", 0.0, Some(partner_fault(Fault::RefuseConnections))),
        ("vanish", 0.0, Some(partner_fault(Fault::RefuseConnections))),
        ("fast_errors", 0.4, Some(partner_fault(Fault::ErrorResponses(0.4)))),
        ("fast_errors", 1.0, Some(partner_fault(Fault::Unavailable))),
        ("slow", 8.0, Some(partner_fault(Fault::Slow(8.0)))),
        ("answer_lost", 0.3, Some(partner_fault(Fault::TruncateResponses(0.3)))),
        ("idle_reap", 1.5, Some(partner_fault(Fault::DropIdle(Duration::from_millis(500))))),
        ("pauses", 300.0, Some(partner_fault(Fault::Delay(Duration::from_millis(300))))),
        ("deploy", 0.0, Some(FaultEvent::Drain { partner: 0, endpoint: 0 })),
        ("burst", 2.0, Some(FaultEvent::Burst { factor: 2.0 })),
        ("balancer_crash", 0.0, Some(FaultEvent::Kill { gateway: 0 })),
        ("heavy_tail", 9.0, None),
    ] {
        let replay =
            convert_bench_day(&bench_day(&json!([bench_fault(kind, size, &[1])])), ReplayScale::default())
                .unwrap();
        let schedule = replay.scenario.fault_schedule().unwrap();
        assert_eq!(schedule.first().map(|first_fault| first_fault.event), event, "{kind}");
        if let Some(first_fault) = schedule.first() {
            assert_eq!(first_fault.at, 2.0, "{kind}");
        } else {
            assert!(replay.omissions.iter().any(|line| line.contains("not played")), "{kind}");
        }
    }
    let elsewhere =
        convert_bench_day(&bench_day(&json!([bench_fault("hang", 0.0, &[])])), ReplayScale::default())
            .unwrap();
    assert!(elsewhere.omissions.iter().any(|line| line.contains("affects none")));
    assert!(convert_bench_day("{}", ReplayScale::default()).is_err());
}
