//! The scale at which a bench day is played.

/// Microseconds, the bench's unit of time, in a second.
const US_PER_S: f64 = 1e6;
/// Microseconds in a millisecond.
pub(super) const US_PER_MS: f64 = 1000.0;
/// What is kept of a bench day's size.
#[derive(Clone, Copy, Debug)]
pub struct ReplayScale {
    /// Number of partners, those with the most traffic.
    pub partners: usize,
    /// Number of gateways.
    pub gateways: usize,
    /// Messages a second.
    pub rate: f64,
    /// Bench seconds in one second of the scenario.
    pub speed: f64,
}

impl Default for ReplayScale {
    fn default() -> Self {
        ReplayScale { partners: 10, gateways: 3, rate: 200.0, speed: 3.0 }
    }
}

impl ReplayScale {
    /// Seconds of the scenario for microseconds of the bench.
    pub(super) fn seconds(self, micros: f64) -> f64 {
        micros / US_PER_S / self.speed
    }

    /// Milliseconds of the scenario for microseconds of the bench.
    pub(super) fn milliseconds(self, micros: f64) -> u64 {
        (micros / US_PER_MS / self.speed) as u64
    }
}

/// The name of the partner that plays a destination of the bench.
pub(super) fn partner_name(position: usize) -> String {
    format!("dest-{position:03}")
}
