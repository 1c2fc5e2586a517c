//! Delay of the network between gateways and endpoints.

use rand::distr::Distribution;
use rand_chacha::ChaCha8Rng;
use rand_distr::Exp1;
use std::time::Duration;

/// Draws a one-way delay: the least delay and an exponential part of this mean, both in milliseconds.
pub(crate) fn draw_delay([least_ms, mean_extra_ms]: [f64; 2], rng: &mut ChaCha8Rng) -> Duration {
    let drawn: f64 = Exp1.sample(rng);
    Duration::from_secs_f64((least_ms + mean_extra_ms * drawn) / 1e3)
}
