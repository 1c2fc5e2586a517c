//! A limit that all couriers of a partner share, and what answers tell of it: late, as each endpoint refreshes what it
//! knows of the sum in its own time. No I/O; time is an argument.

use std::time::Duration;

/// How a limit counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Counting {
    /// A plain rate: tokens come evenly, a second's worth may be saved.
    Rate,
    /// So many in each span of time; told waits end with it.
    Span(Duration),
}

/// What a limit is like.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Calls a second from all couriers together.
    pub rate: f64,
    /// How it counts.
    pub counting: Counting,
    /// Refused calls use it up as well, beyond nothing left: only what stays away lets it recover.
    pub refused_count: bool,
    /// How old what an answer tells may be.
    pub refresh: Duration,
}

/// A share left of a limit, and the limit, as an endpoint told it last.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Told {
    /// From 0 to 1.
    pub left: f64,
    /// Calls a second.
    pub limit: f64,
}

/// A limit in force.
#[derive(Clone, Debug)]
pub struct SharedLimit {
    terms: Terms,
    tokens: f64,
    filled: Duration,
    /// What each endpoint knows, and since when.
    known: Vec<Option<(Duration, Told)>>,
    /// Endpoints tell what they knew, however old.
    still: bool,
}

impl SharedLimit {
    /// A limit of which nothing is used, at a partner with so many endpoints.
    pub fn new(terms: Terms, endpoints: usize) -> Self {
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
    pub fn stand_still(&mut self, still: bool) {
        self.still = still;
    }

    /// One more endpoint.
    pub fn add_endpoint(&mut self) {
        self.known.push(None);
    }

    fn fill(&mut self, now: Duration) {
        let rate = self.terms.rate;
        match self.terms.counting {
            Counting::Rate => {
                let passed = now.saturating_sub(self.filled).as_secs_f64();
                self.tokens = (self.tokens + passed * rate).min(rate.max(1.0));
            }
            Counting::Span(span) => {
                let number = |at: Duration| at.as_nanos() / span.as_nanos().max(1);
                if number(now) > number(self.filled) {
                    self.tokens = rate * span.as_secs_f64();
                }
            }
        }
        self.filled = now;
    }

    /// Takes one call; above the limit, when there will be room if nobody else takes it.
    pub fn take(&mut self, now: Duration) -> Result<(), Duration> {
        self.fill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        if self.terms.refused_count {
            // Never more than a second's worth below nothing, or nobody could ever come back.
            self.tokens = (self.tokens - 1.0).max(-self.terms.rate);
        }
        Err(match self.terms.counting {
            Counting::Rate => Duration::from_secs_f64((1.0 - self.tokens) / self.terms.rate.max(1e-6)),
            Counting::Span(span) => {
                let passed = Duration::from_nanos((now.as_nanos() % span.as_nanos().max(1)) as u64);
                span - passed
            }
        })
    }

    /// What an endpoint tells with an answer now.
    pub fn told(&mut self, now: Duration, endpoint: usize) -> Option<Told> {
        self.fill(now);
        let whole = match self.terms.counting {
            Counting::Rate => self.terms.rate.max(1.0),
            Counting::Span(span) => (self.terms.rate * span.as_secs_f64()).max(1.0),
        };
        let fresh = Told { left: (self.tokens / whole).clamp(0.0, 1.0), limit: self.terms.rate };
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

    fn terms() -> Terms {
        Terms { rate: 10.0, counting: Counting::Rate, refused_count: false, refresh: ms(500) }
    }

    #[test]
    fn a_rate_refuses_beyond_a_second_s_worth_and_refills_evenly() {
        let mut limit = SharedLimit::new(terms(), 1);
        assert_eq!((0..12).filter(|_| limit.take(ms(0)).is_ok()).count(), 10);
        assert_eq!(limit.take(ms(0)), Err(ms(100)));
        assert!(limit.take(ms(100)).is_ok());
    }

    #[test]
    fn where_refused_calls_count_nobody_is_served_until_all_stay_away() {
        let mut limit = SharedLimit::new(Terms { refused_count: true, ..terms() }, 1);
        for _ in 0..10 {
            assert!(limit.take(ms(0)).is_ok());
        }
        // At the limit's own rate each refused call eats what came in since.
        assert!((1..=20).all(|n| limit.take(ms(n * 100 - 1)).is_err()));
        assert!(limit.take(ms(4300)).is_ok());
    }

    #[test]
    fn a_span_lets_all_in_again_at_its_end_and_tells_so() {
        let counting = Counting::Span(ms(1000));
        let mut limit = SharedLimit::new(Terms { counting, ..terms() }, 1);
        assert_eq!((0..12).filter(|_| limit.take(ms(300)).is_ok()).count(), 10);
        assert_eq!(limit.take(ms(400)), Err(ms(600)));
        assert!(limit.take(ms(1000)).is_ok());
    }

    #[test]
    fn what_is_told_is_old_and_stands_still_where_it_was_told_to() {
        let mut limit = SharedLimit::new(terms(), 2);
        assert_eq!(limit.told(ms(0), 0).map(|told| told.left), Some(1.0));
        (0..5).for_each(|_| assert!(limit.take(ms(0)).is_ok()));
        assert_eq!(limit.told(ms(10), 0).map(|told| told.left), Some(1.0));
        assert_eq!(limit.told(ms(10), 1).map(|told| told.left), Some(0.51));
        limit.stand_still(true);
        assert_eq!(limit.told(ms(9000), 1).map(|told| told.left), Some(0.51));
        limit.stand_still(false);
        assert_eq!(limit.told(ms(9000), 1).map(|told| told.left), Some(1.0));
    }
}
