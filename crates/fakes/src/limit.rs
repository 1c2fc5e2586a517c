//! A partner's rate limit, shared by all gateways that send to it, and the state of it that responses advertise.
//!
//! The advertised state may be stale: each endpoint keeps a copy of the shared state and refreshes it only after an
//! interval. The code does no I/O; the caller passes in the current time.

use std::time::Duration;

/// Algorithm by which a rate limit counts requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitKind {
    /// A token bucket that refills evenly and holds one second of tokens.
    TokenBucket,
    /// A fixed number of requests in each window of this length. A rejected client is told to wait until the window
    /// ends.
    FixedWindow(Duration),
}

/// Parameters of a rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitSettings {
    /// Requests per second accepted from all gateways together.
    pub rate: f64,
    /// Counting algorithm.
    pub kind: LimitKind,
    /// Whether rejected requests consume tokens too, down to a negative count. The limit then recovers only while
    /// clients back off.
    pub counts_rejected: bool,
    /// Maximum age of the state that a response advertises; older copies are refreshed.
    pub refresh_interval: Duration,
}

/// State of a rate limit as an endpoint advertises it, possibly stale.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdvertisedLimit {
    /// Share of the limit that remains, from 0 to 1.
    pub remaining: f64,
    /// The limit in requests per second.
    pub limit: f64,
}

/// A rate limit, its tokens, and the state that each endpoint advertises.
#[derive(Clone, Debug)]
pub struct SharedLimit {
    settings: LimitSettings,
    /// Remaining tokens; negative when rejected requests count.
    tokens: f64,
    /// When the tokens were last refilled.
    refilled_at: Duration,
    /// What each endpoint advertises and when it was refreshed; `None` before the first response.
    advertised_by_endpoint: Vec<Option<(Duration, AdvertisedLimit)>>,
    /// Whether endpoints keep advertising their last state, however old.
    frozen: bool,
}

impl SharedLimit {
    /// Creates an unused limit at a partner with this number of endpoints.
    pub fn new(settings: LimitSettings, endpoints: usize) -> Self {
        let advertised_by_endpoint = vec![None; endpoints];
        SharedLimit {
            settings,
            tokens: settings.rate,
            refilled_at: Duration::ZERO,
            advertised_by_endpoint,
            frozen: false,
        }
    }

    /// The current limit in requests per second.
    pub fn rate(&self) -> f64 {
        self.settings.rate
    }

    /// Changes the rate from now on; tokens above the new rate are lost.
    pub fn set_rate(&mut self, now: Duration, rate: f64) {
        self.refill(now);
        self.settings.rate = rate;
        self.tokens = self.tokens.min(rate);
    }

    /// Stops (`true`) or resumes (`false`) the refresh of the state that endpoints advertise.
    pub fn freeze_advertised(&mut self, frozen: bool) {
        self.frozen = frozen;
    }

    /// Adds an endpoint, with the next free index.
    pub fn add_endpoint(&mut self) {
        self.advertised_by_endpoint.push(None);
    }

    /// Adds the tokens that became available since the last call.
    fn refill(&mut self, now: Duration) {
        let rate = self.settings.rate;
        match self.settings.kind {
            LimitKind::TokenBucket => {
                let passed = now.saturating_sub(self.refilled_at).as_secs_f64();
                self.tokens = (self.tokens + passed * rate).min(rate.max(1.0));
            }
            LimitKind::FixedWindow(window) => {
                let window_number = |at: Duration| at.as_nanos() / window.as_nanos().max(1);
                if window_number(now) > window_number(self.refilled_at) {
                    self.tokens = rate * window.as_secs_f64();
                }
            }
        }
        self.refilled_at = now;
    }

    /// Takes one token for a request.
    ///
    /// # Errors
    ///
    /// Above the limit: the time until a token is available, unless another request takes it first.
    pub fn try_acquire(&mut self, now: Duration) -> Result<(), Duration> {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        if self.settings.counts_rejected {
            // The debt is at most one second of tokens; an unbounded one would block all clients for good.
            self.tokens = (self.tokens - 1.0).max(-self.settings.rate);
        }
        Err(match self.settings.kind {
            LimitKind::TokenBucket => {
                Duration::from_secs_f64((1.0 - self.tokens) / self.settings.rate.max(1e-6))
            }
            LimitKind::FixedWindow(window) => {
                let passed = Duration::from_nanos((now.as_nanos() % window.as_nanos().max(1)) as u64);
                window - passed
            }
        })
    }

    /// The state that an endpoint advertises in a response now, or `None` for an unknown endpoint.
    pub fn advertised(&mut self, now: Duration, endpoint: usize) -> Option<AdvertisedLimit> {
        self.refill(now);
        let max_tokens = match self.settings.kind {
            LimitKind::TokenBucket => self.settings.rate.max(1.0),
            LimitKind::FixedWindow(window) => (self.settings.rate * window.as_secs_f64()).max(1.0),
        };
        let current = AdvertisedLimit {
            remaining: (self.tokens / max_tokens).clamp(0.0, 1.0),
            limit: self.settings.rate,
        };
        let (frozen, refresh_interval) = (self.frozen, self.settings.refresh_interval);
        let copy = self.advertised_by_endpoint.get_mut(endpoint)?;
        if copy
            .is_none_or(|(refreshed_at, _)| !frozen && now.saturating_sub(refreshed_at) >= refresh_interval)
        {
            *copy = Some((now, current));
        }
        copy.map(|(_, advertised)| advertised)
    }
}
