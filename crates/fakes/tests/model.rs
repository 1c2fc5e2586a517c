//! Tests of the partner model: deduplication, rate limit and queue, collapse after an outage, and faults.

use cloverstile_fakes::model::{Fault, PartnerModel, Reply, ServerProfile};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

fn partner(profile: ServerProfile) -> PartnerModel {
    PartnerModel::new(profile, ChaCha8Rng::seed_from_u64(1))
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

#[test]
fn repeat_takes_effect_again_only_after_the_deduplication_window() {
    let mut partner = partner(ServerProfile::default());
    assert!(partner.handle_request(seconds(0.0), "a").takes_effect);
    assert!(!partner.handle_request(seconds(9.9), "a").takes_effect);
    assert!(partner.handle_request(seconds(10.0), "a").takes_effect);
}

#[test]
fn requests_over_the_limit_or_the_queue_are_rejected() {
    let mut limited =
        partner(ServerProfile { rate_limit: Some(2.0), sends_retry_after: true, ..ServerProfile::default() });
    let replies: Vec<Reply> =
        (0..3).map(|i| limited.handle_request(seconds(0.0), &i.to_string()).reply).collect();
    assert_eq!(replies, [Reply::Processed, Reply::Processed, Reply::Rejected(Some(seconds(0.5)))]);
    let mut small = partner(ServerProfile { servers: 1, queue: 1, ..ServerProfile::default() });
    let replies: Vec<Reply> =
        (0..3).map(|i| small.handle_request(seconds(0.0), &i.to_string()).reply).collect();
    assert_eq!(replies, [Reply::Processed, Reply::Processed, Reply::Rejected(None)]);
}

#[test]
fn overloaded_partner_collapses_while_warming_up_and_stays_down() {
    let profile = ServerProfile {
        servers: 3,
        min_service_time: seconds(0.1),
        mean_extra_service_time: seconds(0.0),
        ..ServerProfile::default()
    };
    let mut overloaded = partner(profile.clone());
    overloaded.begin_fault(Fault::Unavailable, seconds(1.0));
    overloaded.end_fault(seconds(1.0));
    for i in 0..100 {
        overloaded.handle_request(seconds(1.0 + f64::from(i) / 1000.0), &i.to_string());
    }
    assert!(overloaded.has_collapsed());
    let mut gradual = partner(profile);
    gradual.begin_fault(Fault::Unavailable, seconds(1.0));
    gradual.end_fault(seconds(1.0));
    for i in 0..30 {
        gradual.handle_request(seconds(1.0 + f64::from(i) / 6.0), &i.to_string());
    }
    assert!(!gradual.has_collapsed());
}

#[test]
fn silent_partner_applies_messages_and_unavailable_one_does_not() {
    let mut partner = partner(ServerProfile::default());
    partner.begin_fault(Fault::Silent, seconds(5.0));
    let decision = partner.handle_request(seconds(1.0), "a");
    assert_eq!((decision.respond_at, decision.takes_effect), (None, true));
    partner.begin_fault(Fault::Unavailable, seconds(5.0));
    assert!(!partner.handle_request(seconds(2.0), "b").takes_effect);
}
