//! Tests of the shared rate limit: rejections, recovery, and the age of the advertised state.

use cloverstile_fakes::limit::{LimitKind, LimitSettings, SharedLimit};
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn settings() -> LimitSettings {
    LimitSettings {
        rate: 10.0,
        kind: LimitKind::TokenBucket,
        counts_rejected: false,
        refresh_interval: ms(500),
    }
}

#[test]
fn token_bucket_rejects_beyond_one_second_of_tokens_and_refills_evenly() {
    let mut limit = SharedLimit::new(settings(), 1);
    assert_eq!((0..12).filter(|_| limit.try_acquire(ms(0)).is_ok()).count(), 10);
    assert_eq!(limit.try_acquire(ms(0)), Err(ms(100)));
    assert!(limit.try_acquire(ms(100)).is_ok());
}

#[test]
fn counted_rejections_block_all_requests_until_clients_back_off() {
    let mut limit = SharedLimit::new(LimitSettings { counts_rejected: true, ..settings() }, 1);
    for _ in 0..10 {
        assert!(limit.try_acquire(ms(0)).is_ok());
    }
    // At the limit's own rate, each rejected request consumes the token that was refilled since the previous one.
    assert!((1..=20).all(|n| limit.try_acquire(ms(n * 100 - 1)).is_err()));
    assert!(limit.try_acquire(ms(4300)).is_ok());
}

#[test]
fn fixed_window_refills_at_its_end_and_reports_the_wait() {
    let kind = LimitKind::FixedWindow(ms(1000));
    let mut limit = SharedLimit::new(LimitSettings { kind, ..settings() }, 1);
    assert_eq!((0..12).filter(|_| limit.try_acquire(ms(300)).is_ok()).count(), 10);
    assert_eq!(limit.try_acquire(ms(400)), Err(ms(600)));
    assert!(limit.try_acquire(ms(1000)).is_ok());
}

#[test]
fn advertised_limit_is_stale_by_refresh_interval_and_can_be_frozen() {
    let mut limit = SharedLimit::new(settings(), 2);
    assert_eq!(limit.advertised(ms(0), 0).map(|advertised| advertised.remaining), Some(1.0));
    (0..5).for_each(|_| assert!(limit.try_acquire(ms(0)).is_ok()));
    assert_eq!(limit.advertised(ms(10), 0).map(|advertised| advertised.remaining), Some(1.0));
    assert_eq!(limit.advertised(ms(10), 1).map(|advertised| advertised.remaining), Some(0.51));
    limit.freeze_advertised(true);
    assert_eq!(limit.advertised(ms(9000), 1).map(|advertised| advertised.remaining), Some(0.51));
    limit.freeze_advertised(false);
    assert_eq!(limit.advertised(ms(9000), 1).map(|advertised| advertised.remaining), Some(1.0));
}
