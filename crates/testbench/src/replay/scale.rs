//! The scale at which a bench day is converted.

/// Microseconds per second; bench days give times in microseconds.
const US_PER_S: f64 = 1e6;
/// Microseconds per millisecond.
pub(super) const US_PER_MS: f64 = 1000.0;
/// The size and speed of the converted scenario.
#[derive(Clone, Copy, Debug)]
pub struct ReplayScale {
    /// Maximum number of partners; the destinations with the most traffic are kept.
    pub partners: usize,
    /// Number of gateway processes in the scenario.
    pub gateways: usize,
    /// Messages per second in the scenario.
    pub rate: f64,
    /// Factor by which times are shortened: bench seconds per second of the scenario.
    pub speed: f64,
}

impl Default for ReplayScale {
    fn default() -> Self {
        ReplayScale { partners: 10, gateways: 3, rate: 200.0, speed: 3.0 }
    }
}

impl ReplayScale {
    /// Converts microseconds of the bench to seconds of the scenario.
    pub(super) fn seconds(self, micros: f64) -> f64 {
        micros / US_PER_S / self.speed
    }

    /// Converts microseconds of the bench to milliseconds of the scenario, rounded down.
    pub(super) fn milliseconds(self, micros: f64) -> u64 {
        (micros / US_PER_MS / self.speed) as u64
    }
}

/// The name of the partner that stands for the destination at this position.
pub(super) fn partner_name(position: usize) -> String {
    format!("dest-{position:03}")
}
