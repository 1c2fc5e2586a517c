//! A rate limit that all gateways of a partner share, and what responses advertise of it: stale, as each endpoint
//! refreshes its copy of the common state at its own interval. No I/O; time is an argument.

use std::time::Duration;

/// How a limit counts requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitKind {
    /// A token bucket that refills evenly and holds one second of tokens.
    TokenBucket,
    /// A fixed number of requests in each window of this length; advertised waits end with the window.
    FixedWindow(Duration),
}

/// Parameters of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitSettings {
    /// Requests a second from all gateways together.
    pub rate: f64,
    /// How it counts.
    pub kind: LimitKind,
    /// Rejected requests count too, also below zero tokens: the limit recovers only while clients back off.
    pub counts_rejected: bool,
    /// Greatest age of the state that a response advertises.
    pub refresh_interval: Duration,
}

/// A limit and what remains of it, as an endpoint last advertised it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdvertisedLimit {
    /// Remaining share, from 0 to 1.
    pub remaining: f64,
    /// Requests a second.
    pub limit: f64,
}

/// A limit and its present state.
#[derive(Clone, Debug)]
pub struct SharedLimit {
    settings: LimitSettings,
    tokens: f64,
    filled: Duration,
    /// What each endpoint advertises, and since when.
    known: Vec<Option<(Duration, AdvertisedLimit)>>,
    /// Endpoints advertise what they last knew, however old.
    frozen: bool,
}

impl SharedLimit {
    /// An unused limit at a partner with so many endpoints.
    pub fn new(settings: LimitSettings, endpoints: usize) -> Self {
        let known = vec![None; endpoints];
        SharedLimit { settings, tokens: settings.rate, filled: Duration::ZERO, known, frozen: false }
    }

    /// Requests a second.
    pub fn rate(&self) -> f64 {
        self.settings.rate
    }

    /// Changes the rate from now on.
    pub fn set_rate(&mut self, now: Duration, rate: f64) {
        self.fill(now);
        self.settings.rate = rate;
        self.tokens = self.tokens.min(rate);
    }

    /// Stops the refresh of what endpoints advertise, or resumes it.
    pub fn freeze_advertised(&mut self, frozen: bool) {
        self.frozen = frozen;
    }

    /// Adds an endpoint.
    pub fn add_endpoint(&mut self) {
        self.known.push(None);
    }

    fn fill(&mut self, now: Duration) {
        let rate = self.settings.rate;
        match self.settings.kind {
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

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// Above the limit: the time until there is a token, if nobody else takes it.
    pub fn try_acquire(&mut self, now: Duration) -> Result<(), Duration> {
        self.fill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        if self.settings.counts_rejected {
            // Never more than one second of tokens below zero, or no client could ever get through again.
            self.tokens = (self.tokens - 1.0).max(-self.settings.rate);
        }
        Err(match self.settings.kind {
            LimitKind::TokenBucket => {
                Duration::from_secs_f64((1.0 - self.tokens) / self.settings.rate.max(1e-6))
            }
            LimitKind::FixedWindow(span) => {
                let passed = Duration::from_nanos((now.as_nanos() % span.as_nanos().max(1)) as u64);
                span - passed
            }
        })
    }

    /// What an endpoint advertises in a response now; none for an unknown endpoint.
    pub fn advertised(&mut self, now: Duration, endpoint: usize) -> Option<AdvertisedLimit> {
        self.fill(now);
        let whole = match self.settings.kind {
            LimitKind::TokenBucket => self.settings.rate.max(1.0),
            LimitKind::FixedWindow(span) => (self.settings.rate * span.as_secs_f64()).max(1.0),
        };
        let fresh =
            AdvertisedLimit { remaining: (self.tokens / whole).clamp(0.0, 1.0), limit: self.settings.rate };
        let (frozen, refresh) = (self.frozen, self.settings.refresh_interval);
        let known = self.known.get_mut(endpoint)?;
        if known.is_none_or(|(since, _)| !frozen && now.saturating_sub(since) >= refresh) {
            *known = Some((now, fresh));
        }
        known.map(|(_, advertised)| advertised)
    }
}
