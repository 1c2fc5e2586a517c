//! A limit that all couriers of a partner share, and what answers tell of it: late, as each endpoint refreshes what it
//! knows of the sum in its own time. No I/O; time is an argument.

use std::time::Duration;

/// How a limit counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitKind {
    /// A plain rate: tokens come evenly, a second's worth may be saved.
    TokenBucket,
    /// So many in each span of time; told waits end with it.
    FixedWindow(Duration),
}

/// What a limit is like.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitSettings {
    /// Calls a second from all couriers together.
    pub rate: f64,
    /// How it counts.
    pub kind: LimitKind,
    /// Refused calls use it up as well, beyond nothing left: only what stays away lets it recover.
    pub counts_rejected: bool,
    /// How old what an answer tells may be.
    pub refresh: Duration,
}

/// A share left of a limit, and the limit, as an endpoint told it last.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdvertisedLimit {
    /// From 0 to 1.
    pub remaining: f64,
    /// Calls a second.
    pub limit: f64,
}

/// A limit in force.
#[derive(Clone, Debug)]
pub struct SharedLimit {
    terms: LimitSettings,
    tokens: f64,
    filled: Duration,
    /// What each endpoint knows, and since when.
    known: Vec<Option<(Duration, AdvertisedLimit)>>,
    /// Endpoints tell what they knew, however old.
    still: bool,
}

impl SharedLimit {
    /// A limit of which nothing is used, at a partner with so many endpoints.
    pub fn new(terms: LimitSettings, endpoints: usize) -> Self {
        let known = vec![None; endpoints];
        SharedLimit { terms, tokens: terms.rate, filled: Duration::ZERO, known, still: false }
    }

    /// Calls a second.
    pub fn rate(&self) -> f64 {
        self.terms.rate
    }

    /// The limit is another from now on.
    pub fn set_rate(&mut self, now: Duration, rate: f64) {
        self.fill(now);
        self.terms.rate = rate;
        self.tokens = self.tokens.min(rate);
    }

    /// Reports stand still, or go on.
    pub fn freeze_reports(&mut self, still: bool) {
        self.still = still;
    }

    /// One more endpoint.
    pub fn add_endpoint(&mut self) {
        self.known.push(None);
    }

    fn fill(&mut self, now: Duration) {
        let rate = self.terms.rate;
        match self.terms.kind {
            LimitKind::TokenBucket => {
                let passed = now.saturating_sub(self.filled).as_secs_f64();
                self.tokens = (self.tokens + passed * rate).min(rate.max(1.0));
            }
            LimitKind::FixedWindow(span) => {
                let number = |at: Duration| at.as_nanos() / span.as_nanos().max(1);
                if number(now) > number(self.filled) {
                    self.tokens = rate * span.as_secs_f64();
                }
            }
        }
        self.filled = now;
    }

    /// Takes one call; above the limit, when there will be room if nobody else takes it.
    pub fn try_acquire(&mut self, now: Duration) -> Result<(), Duration> {
        self.fill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        if self.terms.counts_rejected {
            // Never more than a second's worth below nothing, or nobody could ever come back.
            self.tokens = (self.tokens - 1.0).max(-self.terms.rate);
        }
        Err(match self.terms.kind {
            LimitKind::TokenBucket => {
                Duration::from_secs_f64((1.0 - self.tokens) / self.terms.rate.max(1e-6))
            }
            LimitKind::FixedWindow(span) => {
                let passed = Duration::from_nanos((now.as_nanos() % span.as_nanos().max(1)) as u64);
                span - passed
            }
        })
    }

    /// What an endpoint tells with an answer now.
    pub fn advertised(&mut self, now: Duration, endpoint: usize) -> Option<AdvertisedLimit> {
        self.fill(now);
        let whole = match self.terms.kind {
            LimitKind::TokenBucket => self.terms.rate.max(1.0),
            LimitKind::FixedWindow(span) => (self.terms.rate * span.as_secs_f64()).max(1.0),
        };
        let fresh =
            AdvertisedLimit { remaining: (self.tokens / whole).clamp(0.0, 1.0), limit: self.terms.rate };
        let (still, refresh) = (self.still, self.terms.refresh);
        let known = self.known.get_mut(endpoint)?;
        if known.is_none_or(|(since, _)| !still && now.saturating_sub(since) >= refresh) {
            *known = Some((now, fresh));
        }
        known.map(|(_, told)| told)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    fn terms() -> LimitSettings {
        LimitSettings { rate: 10.0, kind: LimitKind::TokenBucket, counts_rejected: false, refresh: ms(500) }
    }

    #[test]
    fn a_rate_refuses_beyond_a_second_s_worth_and_refills_evenly() {
        let mut limit = SharedLimit::new(terms(), 1);
        assert_eq!((0..12).filter(|_| limit.try_acquire(ms(0)).is_ok()).count(), 10);
        assert_eq!(limit.try_acquire(ms(0)), Err(ms(100)));
        assert!(limit.try_acquire(ms(100)).is_ok());
    }

    #[test]
    fn where_refused_calls_count_nobody_is_served_until_all_stay_away() {
        let mut limit = SharedLimit::new(LimitSettings { counts_rejected: true, ..terms() }, 1);
        for _ in 0..10 {
            assert!(limit.try_acquire(ms(0)).is_ok());
        }
        // At the limit's own rate each refused call eats what came in since.
        assert!((1..=20).all(|n| limit.try_acquire(ms(n * 100 - 1)).is_err()));
        assert!(limit.try_acquire(ms(4300)).is_ok());
    }

    #[test]
    fn a_span_lets_all_in_again_at_its_end_and_tells_so() {
        let counting = LimitKind::FixedWindow(ms(1000));
        let mut limit = SharedLimit::new(LimitSettings { kind: counting, ..terms() }, 1);
        assert_eq!((0..12).filter(|_| limit.try_acquire(ms(300)).is_ok()).count(), 10);
        assert_eq!(limit.try_acquire(ms(400)), Err(ms(600)));
        assert!(limit.try_acquire(ms(1000)).is_ok());
    }

    #[test]
    fn what_is_told_is_old_and_stands_still_where_it_was_told_to() {
        let mut limit = SharedLimit::new(terms(), 2);
        assert_eq!(limit.advertised(ms(0), 0).map(|told| told.remaining), Some(1.0));
        (0..5).for_each(|_| assert!(limit.try_acquire(ms(0)).is_ok()));
        assert_eq!(limit.advertised(ms(10), 0).map(|told| told.remaining), Some(1.0));
        assert_eq!(limit.advertised(ms(10), 1).map(|told| told.remaining), Some(0.51));
        limit.freeze_reports(true);
        assert_eq!(limit.advertised(ms(9000), 1).map(|told| told.remaining), Some(0.51));
        limit.freeze_reports(false);
        assert_eq!(limit.advertised(ms(9000), 1).map(|told| told.remaining), Some(1.0));
    }
}
