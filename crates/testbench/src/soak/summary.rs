//! Counts over the seeds of a series.

use super::run::SeedResult;
use cloverstile_fakes::platform::ViolationKind;
use serde::Serialize;
use std::collections::BTreeMap;

/// What a series of seeds came to.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// Seeds played.
    pub seeds: u64,
    /// Messages submitted.
    pub messages: u64,
    /// Faults by kind.
    pub faults: BTreeMap<String, u64>,
    /// Processes started.
    pub processes: u64,
    /// Processes started behind the first ones.
    pub restarts: u64,
    /// Commands that were read without a reply, and ends that came too late.
    pub lost: u64,
    /// Replies that were none, or more than the commands.
    pub wrong_replies: u64,
    /// Connections that the system had taken and that were dropped.
    pub dropped: u64,
    /// Messages that were refused and sent.
    pub refused_and_forwarded: u64,
    /// Messages that were sent after the notification of their end.
    pub forwarded_after_end: u64,
    /// Messages sent again against their class.
    pub duplicates: u64,
    /// Messages given up without a request, with most of their time left.
    pub early_given_up: u64,
    /// Messages sent before an earlier one of their key was over.
    pub order_broken: u64,
    /// Requests inside a wait that an endpoint asked for.
    pub retry_after_broken: u64,
    /// Requests to endpoints that were known to drain.
    pub drain_broken: u64,
    /// Recovering endpoints that were pushed over.
    pub slow_start_broken: u64,
    /// Accepted messages without an end.
    pub no_end: u64,
    /// Processes that ended by themselves, were not ready in time or did not end when told to.
    pub crashes: u64,
    /// Processor time of the gateways, in seconds; without faults, what the messages cost.
    pub gateway_cpu_seconds: f64,
    /// Seeds on which something was broken.
    pub failed_seeds: Vec<u64>,
    /// Real time of the series.
    pub seconds: f64,
}

impl Summary {
    /// Adds a seed's result.
    pub fn add(&mut self, result: &SeedResult) {
        self.seeds += 1;
        self.messages += result.messages;
        self.crashes += result.crashes;
        self.processes += result.processes;
        self.restarts += result.processes - result.gateways;
        self.gateway_cpu_seconds += result.cpu_seconds;
        for kind in &result.fault_kinds {
            *self.faults.entry((*kind).to_owned()).or_default() += 1;
        }
        for violation in &result.violations {
            *self.count_of(violation.kind) += 1;
        }
        if result.is_broken() {
            self.failed_seeds.push(result.seed);
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
            ViolationKind::Duplicate => &mut self.duplicates,
            ViolationKind::EarlyGivenUp => &mut self.early_given_up,
            ViolationKind::OrderBroken => &mut self.order_broken,
            ViolationKind::NoEnd => &mut self.no_end,
        }
    }
}
