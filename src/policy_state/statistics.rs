//! Running figures.

use crate::interface::Time;
use std::time::Duration;

/// Moves a mean towards a sample.
pub fn lean(mean: &mut f64, sample: f64, gain: f64) {
    *mean += gain * (sample - *mean);
}

/// Running mean and mean deviation of latencies, in seconds.
#[derive(Clone, Copy, Default)]
pub struct Latency {
    pub mean: f64,
    pub deviation: f64,
    pub samples: u32,
}

impl Latency {
    pub fn learn(&mut self, sample: Duration, least_gain: f64) {
        let (sample, gain) = (sample.as_secs_f64(), least_gain.max(1.0 / f64::from(self.samples + 2)));
        lean(&mut self.deviation, (sample - self.mean).abs(), gain);
        lean(&mut self.mean, sample, gain);
        self.samples += 1;
    }

    /// So many times the mean and the deviation together.
    pub fn times(&self, multiple: f64) -> f64 {
        (self.mean + self.deviation) * multiple
    }
}

/// A count of events that fades with time.
#[derive(Default)]
pub struct Decaying {
    pub count: f64,
    pub at: Time,
}

impl Decaying {
    /// Events a second over about `span` seconds; `more` are added first.
    pub fn rate(&mut self, now: Time, span: f64, more: f64) -> f64 {
        self.count = self.count * (-(now - self.at).as_secs_f64() / span).exp() + more;
        self.at = now;
        self.count / span
    }
}

/// What is learned over all destinations of a kind, as a courier meets each of them too seldom.
#[derive(Default)]
pub struct Habits {
    /// How likely an endpoint has no room for a connection.
    pub crowding: f64,
    /// How likely a refusal is followed by another one with nothing left of the limit.
    pub jam: f64,
}

/// Whether idle connections are being dropped unseen, so that the next call on one is lost. Process-wide, as
/// one courier meets each partner too seldom to learn it there.
#[derive(Default)]
pub struct Reaping {
    pub risk: f64,
    /// Risk of losing a call on a new connection: what is lost there is not for idleness.
    pub other: f64,
    /// Shortest idle time that lost a call.
    pub idle: Duration,
    pub next_check: Time,
}
