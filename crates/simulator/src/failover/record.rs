//! The record of a failover run: messages, totals by second, recovery windows and violations.

use cloverstile_engine::FinalOutcome;
use std::time::Duration;

/// A message, from its submission to its final outcome. Times count from the beginning of the run.
#[derive(Clone, Debug)]
pub struct MessageHistory {
    /// Place of its class in the scenario.
    pub class: u8,
    /// Its destination.
    pub destination: u32,
    /// The gateway instance that holds it, or held it last.
    pub instance: u32,
    /// Its order key and its place under it, for classes in order.
    pub key: Option<(u64, u32)>,
    /// Time of its submission.
    pub submitted_at: Duration,
    /// Time at which it expires.
    pub deadline: Duration,
    /// The tier that it first reached.
    pub first_tier: Option<usize>,
    /// When it first reached a tier behind the preferred one.
    pub spilled_at: Option<Duration>,
    /// Times it took effect.
    pub effects: u32,
    /// When it last did, for windows of repeats.
    pub last_effect_at: Option<Duration>,
    /// Its final outcome and the time of it.
    pub outcome: Option<(FinalOutcome, Duration)>,
    /// Final outcomes beyond the first.
    pub extra_outcomes: u32,
}

/// A second of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SecondTotals {
    /// Messages submitted.
    pub submitted: u32,
    /// Worth of those if each were delivered on time.
    pub offered_value: f64,
    /// Messages delivered.
    pub delivered: u32,
    /// Worth of those by their age at delivery.
    pub delivered_value: f64,
    /// Messages that ended otherwise.
    pub undelivered: u32,
    /// Messages submitted for destinations of several tiers.
    pub multi_tier: u32,
    /// Messages that first reached a tier behind the preferred one.
    pub spilled: u32,
    /// Requests that reached sites, rejected ones included.
    pub requests: u32,
}

/// A window of 100 ms of a site after its recovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecoveryWindow {
    /// The site.
    pub destination: u32,
    /// Number of the site's recovery, from 1.
    pub recovery: u32,
    /// Beginning of the window, since the beginning of the run.
    pub start: Duration,
    /// Beginning of the window, since the recovery.
    pub since_recovery: Duration,
    /// Requests that reached it.
    pub received: u32,
    /// Requests that it can serve in that time while it warms up.
    pub capacity: f64,
    /// Requests that it survives in that time: the rules' multiple of its capacity.
    pub collapse_bound: f64,
}

/// A submission: which message, for which destination and to which gateway instance.
#[derive(Clone, Copy, Debug)]
pub struct Submission {
    /// The gateway instance.
    pub instance: u32,
    /// The destination.
    pub destination: u32,
    /// The message.
    pub message: u32,
}

/// Violations of the invariants; all zero on a correct run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FailoverViolations {
    /// Messages without a final answer, or with several.
    pub missing_or_extra_outcomes: u64,
    /// ... with one that came after the deadline and its slack, or that is not true.
    pub late_or_wrong_outcomes: u64,
    /// ... that took effect twice.
    pub repeated_effects: u64,
    /// ... that took effect after a later one of their key.
    pub out_of_order: u64,
    /// Requests to endpoints listed as draining, after the grace period.
    pub sends_after_drain: u64,
    /// Sites that collapsed under overload.
    pub collapsed_sites: u64,
    /// Requests to a site before the end of the `Retry-After` that it had sent to this instance.
    pub early_retries: u64,
}

impl FailoverViolations {
    /// Violations of all kinds together.
    pub fn total(&self) -> u64 {
        self.missing_or_extra_outcomes
            + self.late_or_wrong_outcomes
            + self.repeated_effects
            + self.out_of_order
            + self.sends_after_drain
            + self.collapsed_sites
            + self.early_retries
    }
}

/// A whole run.
#[derive(Clone, Debug, Default)]
pub struct FailoverRun {
    /// All messages, in the order submitted.
    pub messages: Vec<MessageHistory>,
    /// All hand-ins; a message of a lost instance comes again.
    pub submissions: Vec<Submission>,
    /// By second.
    pub seconds: Vec<SecondTotals>,
    /// Windows of 100 ms at recovering sites.
    pub windows: Vec<RecoveryWindow>,
    /// Violations of the invariants.
    pub violations: FailoverViolations,
    /// Requests that reached sites.
    pub requests: u64,
    /// How often an engine was asked for its next commands.
    pub advance_calls: u64,
}
