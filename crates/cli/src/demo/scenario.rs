//! The demo's test cluster and its schedule of messages.

use cloverstile_as2::NewKey;
use cloverstile_as2_gateway::test_cluster::{ClassSpec, ClusterSpec, PartnerSpec};
use cloverstile_fakes::client::PlannedMessage;
use cloverstile_fakes::model::ServerProfile;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Names of the partners; the first [`BANKS`] are banks and the others employers.
const PARTNERS: [&str; 4] = ["bank-north", "bank-south", "bayside-hr", "rosehall-hr"];
/// Number of banks, which receive payments; the employers receive notices.
const BANKS: usize = 2;
/// Cumulative shares of the messages, for all partners but the last: the shares in [`cluster_spec`] summed up.
const SHARE_BOUNDS: [f64; 3] = [0.4, 0.7, 0.9];

/// The demo's test cluster. `rate` is in messages per second and sizes the partners.
pub fn cluster_spec(gateways: usize, rate: u32) -> ClusterSpec {
    let class = |name: &str, effect: &str, ordered, priority_weight| ClassSpec {
        name: name.into(),
        effect: effect.into(),
        group: "all".into(),
        ordered,
        latency_objective: Duration::from_secs(1),
        deadline: Duration::from_secs(6),
        repeat_window: Duration::from_secs(5),
        priority_weight,
    };
    let partner = |name: &str, kind: &str, share: f64, key, async_receipts| PartnerSpec {
        name: name.into(),
        kind: kind.into(),
        profile: ServerProfile {
            servers: (f64::from(rate) * share * 0.06).ceil().max(4.0) as usize,
            queue: 64,
            deduplication_window: Duration::from_secs(10),
            ..ServerProfile::default()
        },
        zones: vec![0, 0],
        key,
        async_receipts,
        certificate_mismatch: false,
        spill_share: None,
    };
    ClusterSpec {
        gateways,
        clients: 1,
        partners: vec![
            partner(PARTNERS[0], "banks", 0.4, NewKey::Rsa2048, false),
            partner(PARTNERS[1], "banks", 0.3, NewKey::P256, false),
            partner(PARTNERS[2], "employers", 0.2, NewKey::P256, false),
            partner(PARTNERS[3], "employers", 0.1, NewKey::P256, true),
        ],
        classes: vec![class("salary-payment", "unsafe", false, 3.0), class("pay-notice", "keyed", true, 1.0)]
,
        zones: 1,
        gateway_settings: "  call_slots = 100\n  most_held = 4000\n  stop_within = \"5s\"".into(),
        rule_and_kind_blocks: "rules {\n  answer_slack = \"300ms\"\n  order_settle = \"50ms\"\n  cold = \"4s\"\n  fall = \"1s\"\n}\n\
                 kind \"banks\" {}\nkind \"employers\" {}"
            .into(),
    }
}

/// Messages evenly spaced over `duration` from `start` on, to partners drawn at random with `seed`.
pub fn plan_messages(messages: u32, duration: Duration, seed: u64, start: Duration) -> Vec<PlannedMessage> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    (0..messages)
        .map(|number| {
            let sample: f64 = rng.random();
            let partner = SHARE_BOUNDS.iter().filter(|bound| sample >= **bound).count();
            let is_payment = partner < BANKS;
            PlannedMessage {
                submit_at: start + duration.mul_f64(f64::from(number) / f64::from(messages)),
                id: format!("demo-{seed}-{number}@client-0"),
                class: if is_payment { "salary-payment" } else { "pay-notice" }.into(),
                partner: PARTNERS[partner].into(),
                key: (!is_payment).then(|| format!("employee-{}", rng.random_range(0..400))),
                deadline: Duration::from_secs(6),
                body: format!("demo message {number} for {}\n", PARTNERS[partner]).into_bytes(),
                disconnects_after_submission: false,
            }
        })
        .collect()
}
