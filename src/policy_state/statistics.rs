//! Running figures: means, decaying counts, backoff gaps, quota balances.

use crate::interface::Time;
use std::time::Duration;

/// Tries after which a backoff no longer doubles: beyond, the factor would overflow.
const MAX_DOUBLINGS: u32 = 16;

/// An exponentially weighted moving average: moves `mean` towards `sample` by the part `gain`.
pub fn update_ewma(mean: &mut f64, sample: f64, gain: f64) {
    *mean += gain * (sample - *mean);
}

/// Bounds of an exponential backoff, as parts of a unit of time.
#[derive(Clone, Copy)]
pub struct Backoff {
    /// Gap before the first retry.
    pub first: f64,
    /// Longest gap.
    pub longest: f64,
}

impl Backoff {
    /// The gap after `tries`: doubles from try to try, up to the longest one. Without jitter.
    pub fn gap(&self, unit: Duration, tries: u32) -> Duration {
        unit.mul_f64((self.first * f64::from(tries.min(MAX_DOUBLINGS)).exp2()).min(self.longest))
    }
}

/// Running mean and mean deviation of latencies, in seconds.
#[derive(Clone, Copy, Default)]
pub struct LatencyEstimate {
    pub mean: f64,
    pub deviation: f64,
    pub samples: u32,
}

impl LatencyEstimate {
    /// Adds a sample with a weight of `least_gain`, the first few with more.
    pub fn record(&mut self, sample: Duration, least_gain: f64) {
        let sample = sample.as_secs_f64();
        let gain = least_gain.max(1.0 / f64::from(self.samples + 2));
        update_ewma(&mut self.deviation, (sample - self.mean).abs(), gain);
        update_ewma(&mut self.mean, sample, gain);
        self.samples += 1;
    }

    /// Adds a sample; before the first one it starts from the mean and deviation of `prior`.
    pub fn record_with_prior(&mut self, prior: LatencyEstimate, sample: Duration, least_gain: f64) {
        if self.samples == 0 {
            *self = LatencyEstimate { samples: 0, ..prior };
        }
        self.record(sample, least_gain);
    }

    /// A multiple of mean and deviation together, in seconds.
    pub fn scaled(&self, multiple: f64) -> f64 {
        (self.mean + self.deviation) * multiple
    }
}

/// A count of events that decays exponentially with time.
#[derive(Default)]
pub struct DecayingCounter {
    pub count: f64,
    pub updated_at: Time,
}

impl DecayingCounter {
    /// Adds `more` events, and returns the rate: events a second over about `span` seconds.
    pub fn rate(&mut self, now: Time, span: f64, more: f64) -> f64 {
        self.count = self.count * (-(now - self.updated_at).as_secs_f64() / span).exp() + more;
        self.updated_at = now;
        self.count / span
    }
}

/// What is left of a tenant's quota: a token bucket of messages.
pub struct QuotaBalance {
    pub messages: f64,
    pub refilled_at: Time,
}

impl QuotaBalance {
    /// Refills by this part of a quota (messages a second), up to `most` messages.
    pub fn refill(&mut self, now: Time, quota: f64, part: f64, most: f64) {
        self.messages = (self.messages + (now - self.refilled_at).as_secs_f64() * quota * part).min(most);
        self.refilled_at = now;
    }

    /// Takes one message; false if there is less than one.
    pub fn take_one(&mut self) -> bool {
        let exhausted = self.messages < 1.0;
        self.messages -= f64::from(!exhausted);
        !exhausted
    }
}

/// Statistics over all destinations of a kind, as an instance meets each of them too seldom.
#[derive(Default)]
pub struct KindStats {
    /// How likely an endpoint has no room for a connection.
    pub connection_limit_pressure: f64,
    /// How likely a rejection is followed by another one with nothing left of the limit.
    pub limit_saturation: f64,
}

/// Whether idle connections are being dropped unseen, so that the next request on one is lost. Process-wide,
/// as one instance meets each partner too seldom to learn it there.
#[derive(Default)]
pub struct IdleConnectionRisk {
    /// Risk of losing a request on an idle connection.
    pub stale_risk: f64,
    /// Risk of losing a request on a new connection: what is lost there is not for idleness.
    pub new_connection_risk: f64,
    /// Shortest idle time that lost a request.
    pub shortest_stale_idle: Duration,
    /// When an idle connection may be tried again.
    pub next_check: Time,
}
