//! Report of a load balance run, over sockets or simulated.

use cloverstile_load_metrics::measure;
use cloverstile_simulator::{LoadBalanceRun, LoadBalanceScenario};
use serde::Serialize;
use std::time::Duration;

/// The metrics of one run, or the aggregate of several runs of one scenario.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct LoadReport {
    /// Number of gateway instances.
    #[serde(rename = "couriers")]
    pub gateways: usize,
    /// Number of endpoints of all partners, including those added as replacements.
    pub endpoints: usize,
    /// Number of messages submitted.
    pub messages: u64,
    /// Number of messages with a final outcome.
    pub answered: u64,
    /// Number of messages rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Number of messages failed.
    pub failed: u64,
    /// Ratio of delivered to submitted value. A message's full value is the priority weight of its class.
    #[serde(rename = "worth")]
    pub value_ratio: f64,
    /// Load of a partner's most loaded endpoint in a window, relative to its fair share.
    pub peak_over_mean: f64,
    /// `peak_over_mean` of the baseline: the same requests assigned by one central balancer that sees all of them.
    pub central_peak_over_mean: f64,
    /// `peak_over_mean` of the baseline: the same requests assigned by weighted random choice.
    pub random_peak_over_mean: f64,
    /// 99th percentile of an endpoint's load in a window, relative to its fair share.
    pub p99_over_mean: f64,
    /// Jain's fairness index of the endpoint loads over the whole run; 1 is perfectly even.
    pub jain: f64,
    /// Share of the time in which an endpoint is idle while its partner is busy.
    pub idle_share: f64,
    /// Utilization of rate limits during the seconds in which messages wait for them.
    pub limit_use_while_waiting: f64,
    /// Requests that closely follow another gateway's to the same endpoint, relative to the number expected by chance.
    #[serde(rename = "herds")]
    pub herding_ratio: f64,
    /// New connections per message.
    #[serde(rename = "new_connections_a_message")]
    pub new_connections_per_message: f64,
    /// Rejected requests per message.
    #[serde(rename = "refusals_a_message")]
    pub rejections_per_message: f64,
    /// Requests per message.
    #[serde(rename = "calls_a_message")]
    pub requests_per_message: f64,
    /// Number of violations of the delivery invariants.
    #[serde(rename = "rules_broken")]
    pub violations: u64,
    /// Wall time of the run, in seconds.
    pub seconds: f64,
}

impl LoadReport {
    /// Computes the metrics of one run. `seed` seeds the baselines' random choices.
    pub fn new(
        scenario: &LoadBalanceScenario,
        run: &LoadBalanceRun,
        seed: u64,
        elapsed: Duration,
    ) -> LoadReport {
        let metrics = measure(&run.record, Duration::from_secs_f64(scenario.balance_window), seed);
        let [delivered, rejected, failed] = run.outcome_counts;
        LoadReport {
            gateways: scenario.instances,
            endpoints: run.record.endpoints.len(),
            messages: run.record.messages,
            answered: delivered + rejected + failed,
            rejected,
            failed,
            value_ratio: run.delivered_value / run.offered_value.max(1e-9),
            peak_over_mean: metrics.observed.peak_over_mean,
            central_peak_over_mean: metrics.central.peak_over_mean,
            random_peak_over_mean: metrics.random.peak_over_mean,
            p99_over_mean: metrics.observed.p99,
            jain: metrics.observed.jain,
            idle_share: metrics.observed.idle_share,
            limit_use_while_waiting: metrics.limit_use_while_waiting,
            herding_ratio: metrics.herding_ratio,
            new_connections_per_message: metrics.new_connections_per_message,
            rejections_per_message: metrics.rejections_per_message,
            requests_per_message: metrics.calls_per_message,
            violations: run.violations.total(),
            seconds: elapsed.as_secs_f64(),
        }
    }

    /// Aggregates several runs of one scenario: means of shares and ratios, sums of counts and wall times.
    pub fn mean(reports: &[LoadReport]) -> LoadReport {
        let mean =
            |of: fn(&LoadReport) -> f64| reports.iter().map(of).sum::<f64>() / reports.len().max(1) as f64;
        let sum = |of: fn(&LoadReport) -> u64| reports.iter().map(of).sum();
        let first = reports.first().copied().unwrap_or_default();
        LoadReport {
            gateways: first.gateways,
            endpoints: first.endpoints,
            messages: sum(|report| report.messages),
            answered: sum(|report| report.answered),
            rejected: sum(|report| report.rejected),
            failed: sum(|report| report.failed),
            value_ratio: mean(|report| report.value_ratio),
            peak_over_mean: mean(|report| report.peak_over_mean),
            central_peak_over_mean: mean(|report| report.central_peak_over_mean),
            random_peak_over_mean: mean(|report| report.random_peak_over_mean),
            p99_over_mean: mean(|report| report.p99_over_mean),
            jain: mean(|report| report.jain),
            idle_share: mean(|report| report.idle_share),
            limit_use_while_waiting: mean(|report| report.limit_use_while_waiting),
            herding_ratio: mean(|report| report.herding_ratio),
            new_connections_per_message: mean(|report| report.new_connections_per_message),
            rejections_per_message: mean(|report| report.rejections_per_message),
            requests_per_message: mean(|report| report.requests_per_message),
            violations: sum(|report| report.violations),
            seconds: reports.iter().map(|report| report.seconds).sum(),
        }
    }
}
