//! Figures of a run of even load, whoever played it.

use cloverstile_load_metrics::measure;
use cloverstile_simulator::{Scene, SpreadRun};
use serde::Serialize;
use std::time::Duration;

/// All that is told of a run, or the mean of several.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Told {
    /// Couriers.
    pub couriers: usize,
    /// Endpoints.
    pub endpoints: usize,
    /// Messages handed in.
    pub messages: u64,
    /// ... that have their final answer.
    pub answered: u64,
    /// ... refused.
    pub refused: u64,
    /// ... failed.
    pub failed: u64,
    /// Worth delivered over worth handed in.
    pub worth: f64,
    /// Load of the fullest endpoint of a partner in a window over what it should have had.
    pub peak_over_mean: f64,
    /// The same calls by one dispatcher that sees all.
    pub central_peak_over_mean: f64,
    /// The same calls by chance.
    pub random_peak_over_mean: f64,
    /// 99th percentile of an endpoint's load in a window over what it should have had.
    pub p99_over_mean: f64,
    /// Jain's index over the whole run.
    pub jain: f64,
    /// Share of the time in which an endpoint idles while its partner is busy.
    pub idle_share: f64,
    /// Use of limits in the seconds in which messages wait for them.
    pub limit_use_while_waiting: f64,
    /// Calls close behind another courier's, over what chance gives.
    pub herds: f64,
    /// ...
    pub new_connections_a_message: f64,
    /// ...
    pub refusals_a_message: f64,
    /// ...
    pub calls_a_message: f64,
    /// ...
    pub rules_broken: u64,
    /// Wall time.
    pub seconds: f64,
}

/// Figures of one run.
pub fn figures(scene: &Scene, run: &SpreadRun, seed: u64, took: Duration) -> Told {
    let even = measure(&run.record, Duration::from_secs_f64(scene.window), seed);
    let [delivered, refused, failed] = run.answers;
    Told {
        couriers: scene.couriers,
        endpoints: run.record.endpoints.len(),
        messages: run.record.messages,
        answered: delivered + refused + failed,
        refused,
        failed,
        worth: run.earned / run.offered.max(1e-9),
        peak_over_mean: even.own.peak_over_mean,
        central_peak_over_mean: even.central.peak_over_mean,
        random_peak_over_mean: even.random.peak_over_mean,
        p99_over_mean: even.own.p99,
        jain: even.own.jain,
        idle_share: even.own.idle_share,
        limit_use_while_waiting: even.limit_use_while_waiting,
        herds: even.herds,
        new_connections_a_message: even.new_connections_a_message,
        refusals_a_message: even.refusals_a_message,
        calls_a_message: even.calls_a_message,
        rules_broken: run.audit.broken(),
        seconds: took.as_secs_f64(),
    }
}

/// Means of shares and ratios, sums of counts.
pub fn mean_of(all: &[Told]) -> Told {
    let mean = |of: fn(&Told) -> f64| all.iter().map(of).sum::<f64>() / all.len().max(1) as f64;
    let sum = |of: fn(&Told) -> u64| all.iter().map(of).sum();
    let first = all.first().copied().unwrap_or_default();
    Told {
        couriers: first.couriers,
        endpoints: first.endpoints,
        messages: sum(|told| told.messages),
        answered: sum(|told| told.answered),
        refused: sum(|told| told.refused),
        failed: sum(|told| told.failed),
        worth: mean(|told| told.worth),
        peak_over_mean: mean(|told| told.peak_over_mean),
        central_peak_over_mean: mean(|told| told.central_peak_over_mean),
        random_peak_over_mean: mean(|told| told.random_peak_over_mean),
        p99_over_mean: mean(|told| told.p99_over_mean),
        jain: mean(|told| told.jain),
        idle_share: mean(|told| told.idle_share),
        limit_use_while_waiting: mean(|told| told.limit_use_while_waiting),
        herds: mean(|told| told.herds),
        new_connections_a_message: mean(|told| told.new_connections_a_message),
        refusals_a_message: mean(|told| told.refusals_a_message),
        calls_a_message: mean(|told| told.calls_a_message),
        rules_broken: sum(|told| told.rules_broken),
        seconds: all.iter().map(|told| told.seconds).sum(),
    }
}
