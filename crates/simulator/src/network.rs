//! Network delay between gateways and endpoints.

use rand::distr::Distribution;
use rand_chacha::ChaCha8Rng;
use rand_distr::Exp1;
use std::time::Duration;

/// Draws a one-way delay: a minimum plus an exponentially distributed part with the given mean, both in milliseconds.
pub(crate) fn draw_delay([min_ms, mean_extra_ms]: [f64; 2], rng: &mut ChaCha8Rng) -> Duration {
    let exponential: f64 = Exp1.sample(rng);
    Duration::from_secs_f64((min_ms + mean_extra_ms * exponential) / 1e3)
}
