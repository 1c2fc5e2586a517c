//! Tests of the limit on log lines.

use super::{LogLimit, MAX_LINES_PER_PERIOD, PERIOD};
use cloverstile::Time;

#[test]
fn lines_beyond_the_limit_of_a_period_are_counted_and_not_written() {
    let mut limit = LogLimit::default();
    let start = Time::ZERO + PERIOD;
    for _ in 0..MAX_LINES_PER_PERIOD {
        assert!(limit.allows_line(start));
    }
    assert!(!limit.allows_line(start));
    assert_eq!((limit.total(), limit.suppressed()), (u64::from(MAX_LINES_PER_PERIOD) + 1, 1));
    assert!(limit.allows_line(start + PERIOD));
}
