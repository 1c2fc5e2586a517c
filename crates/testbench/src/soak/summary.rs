//! Totals over the seeds of a series. The field names are keys of the printed JSON.

use super::run::SeedResult;
use super::traffic::{SurplusCount, Traffic};
use cloverstile_fakes::platform::ViolationKind;
use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Bounds of the ranges into which the delays of bytes behind a response are sorted.
const SURPLUS_DELAY_RANGES_MS: [u64; 7] = [0, 1, 5, 15, 60, 100, 151];

/// Bytes in a megabyte.
const BYTES_PER_MB: f64 = 1e6;

/// Totals over a series of seeds.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// Number of seeds that were run.
    pub seeds: u64,
    /// Number of messages that the clients created.
    pub messages: u64,
    /// Number of planned faults by kind.
    pub faults: BTreeMap<String, u64>,
    /// Number of gateway processes started.
    pub processes: u64,
    /// Number of processes started beyond the first of each gateway.
    pub restarts: u64,
    /// Commands that were read but got no reply, and final outcomes that came too late.
    pub lost: u64,
    /// Malformed replies, and replies beyond the number of commands.
    pub wrong_replies: u64,
    /// Connections that the kernel had completed and the gateway dropped.
    pub dropped: u64,
    /// Messages that were refused to the client and sent to the endpoint all the same.
    pub refused_and_forwarded: u64,
    /// Messages that were sent after the notification of their final outcome, a 410 or a 504.
    pub forwarded_after_end: u64,
    /// Unrepeatable messages that were reported as undeliverable long after their delivery.
    pub delivered_and_failed: u64,
    /// Messages sent again after an attempt that may have taken effect, though their class forbids it.
    pub duplicates: u64,
    /// Messages given up before any request was sent, with most of the time to their deadline left.
    pub early_given_up: u64,
    /// Messages sent before an earlier message with the same order key was settled.
    pub order_broken: u64,
    /// Requests sent before the Retry-After time of an endpoint was over.
    pub retry_after_broken: u64,
    /// Requests sent to endpoints that the gateway knew to be draining.
    pub drain_broken: u64,
    /// Recovering endpoints that got more load than slow start allows.
    pub slow_start_broken: u64,
    /// Accepted messages that never got a final outcome.
    pub no_end: u64,
    /// Processes that exited unexpectedly, were not ready in time, or did not shut down properly.
    pub crashes: u64,
    /// CPU time of the gateways' last processes, in seconds. Without faults, this is what the messages cost.
    pub gateway_cpu_seconds: f64,
    /// Most memory that a process was seen to have held, its files included, in MB.
    pub peak_memory_mb: f64,
    /// Connections that endpoints accepted.
    pub connections: u64,
    /// Requests that endpoints received.
    pub requests: u64,
    /// Messages that were delivered.
    pub deliveries: u64,
    /// Median time from the submission of a delivered message to its delivery, in milliseconds.
    pub median_delivery_ms: f64,
    /// Bytes that peers wrote behind a response, by the time since the response in milliseconds.
    pub surplus: BTreeMap<String, SurplusCount>,
    #[serde(skip)]
    delivery_times: Vec<Duration>,
    /// Seeds on which an invariant was violated or a process crashed.
    pub failed_seeds: Vec<u64>,
    /// Elapsed real time of the series, in seconds.
    pub seconds: f64,
}

impl Summary {
    /// Adds the result of a seed.
    pub fn add(&mut self, result: &SeedResult) {
        self.seeds += 1;
        self.messages += result.messages;
        self.crashes += result.crashes;
        self.processes += result.processes;
        self.restarts += result.processes - result.gateways;
        self.gateway_cpu_seconds += result.cpu_seconds;
        self.peak_memory_mb = self.peak_memory_mb.max(result.peak_memory as f64 / BYTES_PER_MB);
        for kind in &result.fault_kinds {
            *self.faults.entry((*kind).to_owned()).or_default() += 1;
        }
        for violation in &result.violations {
            *self.count_of(violation.kind) += 1;
        }
        self.add_traffic(&result.traffic);
        if result.has_failed() {
            self.failed_seeds.push(result.seed);
        }
    }

    fn add_traffic(&mut self, traffic: &Traffic) {
        self.connections += traffic.connections;
        self.requests += traffic.requests;
        self.deliveries += traffic.delivery_times.len() as u64;
        self.delivery_times.extend(&traffic.delivery_times);
        self.delivery_times.sort_unstable();
        let median = self.delivery_times.get(self.delivery_times.len() / 2);
        self.median_delivery_ms = median.map_or(0.0, |median| median.as_secs_f64() * 1000.0);
        for (delay_ms, count) in &traffic.surplus {
            let total = self.surplus.entry(delay_range(*delay_ms)).or_default();
            total.written += count.written;
            total.crossed += count.crossed;
        }
    }

    fn count_of(&mut self, kind: ViolationKind) -> &mut u64 {
        match kind {
            ViolationKind::Lost => &mut self.lost,
            ViolationKind::WrongReply => &mut self.wrong_replies,
            ViolationKind::RetryAfterBroken => &mut self.retry_after_broken,
            ViolationKind::DrainBroken => &mut self.drain_broken,
            ViolationKind::SlowStartBroken => &mut self.slow_start_broken,
            ViolationKind::Dropped => &mut self.dropped,
            ViolationKind::RefusedAndForwarded => &mut self.refused_and_forwarded,
            ViolationKind::ForwardedAfterEnd => &mut self.forwarded_after_end,
            ViolationKind::DeliveredAndFailed => &mut self.delivered_and_failed,
            ViolationKind::Duplicate => &mut self.duplicates,
            ViolationKind::EarlyGivenUp => &mut self.early_given_up,
            ViolationKind::OrderBroken => &mut self.order_broken,
            ViolationKind::NoEnd => &mut self.no_end,
        }
    }
}

/// Name of the range of delays that a delay falls into.
fn delay_range(delay_ms: u64) -> String {
    let range = SURPLUS_DELAY_RANGES_MS.windows(2).find(|range| (range[0]..range[1]).contains(&delay_ms));
    range.map_or_else(|| format!("{delay_ms}"), |range| format!("{:03}-{:03} ms", range[0], range[1]))
}
