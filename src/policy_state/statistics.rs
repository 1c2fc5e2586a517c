//! Statistics: moving averages, decaying counters, backoff delays and quota balances.

use crate::interface::Time;
use std::time::Duration;

/// Attempts after which a backoff no longer doubles, so that the factor does not overflow.
const MAX_DOUBLINGS: u32 = 16;

/// Updates an exponentially weighted moving average: moves `mean` towards `sample` by the fraction `gain`.
pub fn update_ewma(mean: &mut f64, sample: f64, gain: f64) {
    *mean += gain * (sample - *mean);
}

/// Bounds of an exponential backoff, in multiples of a unit of time.
#[derive(Clone, Copy)]
pub struct Backoff {
    /// Delay after zero attempts.
    pub initial: f64,
    /// Maximum delay.
    pub max: f64,
}

impl Backoff {
    /// The delay after this many attempts: doubles with each attempt up to the maximum. Without jitter.
    pub fn delay(&self, unit: Duration, attempts: u32) -> Duration {
        unit.mul_f64((self.initial * f64::from(attempts.min(MAX_DOUBLINGS)).exp2()).min(self.max))
    }
}

/// Moving average and mean deviation of latencies, in seconds.
#[derive(Clone, Copy, Default)]
pub struct LatencyEstimate {
    pub mean: f64,
    pub deviation: f64,
    pub samples: u32,
}

impl LatencyEstimate {
    /// Adds a sample with a weight of `min_gain`; the first few samples weigh more.
    pub fn record(&mut self, sample: Duration, min_gain: f64) {
        let sample = sample.as_secs_f64();
        let gain = min_gain.max(1.0 / f64::from(self.samples + 2));
        update_ewma(&mut self.deviation, (sample - self.mean).abs(), gain);
        update_ewma(&mut self.mean, sample, gain);
        self.samples += 1;
    }

    /// Adds a sample; the first one is added to the mean and deviation of `prior`.
    pub fn record_with_prior(&mut self, prior: LatencyEstimate, sample: Duration, min_gain: f64) {
        if self.samples == 0 {
            *self = LatencyEstimate { samples: 0, ..prior };
        }
        self.record(sample, min_gain);
    }

    /// A multiple of the sum of mean and deviation, in seconds.
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
    /// Adds `events` and returns the rate in events per second, with this time constant in seconds.
    pub fn rate(&mut self, now: Time, time_constant_s: f64, events: f64) -> f64 {
        self.count = self.count * (-(now - self.updated_at).as_secs_f64() / time_constant_s).exp() + events;
        self.updated_at = now;
        self.count / time_constant_s
    }
}

/// The rest of a tenant's quota: a token bucket of messages.
pub struct QuotaBalance {
    pub messages: f64,
    pub refilled_at: Time,
}

impl QuotaBalance {
    /// Refills with this share of a quota (in messages per second), up to `max_messages`.
    pub fn refill(&mut self, now: Time, quota: f64, share: f64, max_messages: f64) {
        self.messages =
            (self.messages + (now - self.refilled_at).as_secs_f64() * quota * share).min(max_messages);
        self.refilled_at = now;
    }

    /// Takes one message; returns false if less than one is left.
    pub fn take_one(&mut self) -> bool {
        let exhausted = self.messages < 1.0;
        self.messages -= f64::from(!exhausted);
        !exhausted
    }
}

/// Statistics over all destinations of a kind, as a single instance sends too few requests to each of them.
#[derive(Default)]
pub struct KindStats {
    /// Risk that an endpoint is at its connection limit.
    pub connection_limit_pressure: f64,
    /// Risk that a rejection is followed by another one that finds the limit exhausted.
    pub limit_saturation: f64,
}

/// Whether idle connections are dropped silently, so that the next request on one is lost. Kept for the whole
/// process, as a single instance sends too few requests to learn it per partner.
#[derive(Default)]
pub struct IdleConnectionRisk {
    /// Risk of losing a request on an idle connection.
    pub stale_risk: f64,
    /// Risk of losing a request on a new connection: the baseline of losses that idleness does not cause.
    pub new_connection_risk: f64,
    /// Shortest idle time after which a request was lost.
    pub shortest_stale_idle: Duration,
    /// When an idle connection may be tested again.
    pub next_check: Time,
}
