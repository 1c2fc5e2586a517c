//! Record of a failover run: messages, totals per second, recovery windows and violations.

use cloverstile_engine::FinalOutcome;
use std::time::Duration;

/// A message from its submission to its final outcome. Times count from the start of the run.
#[derive(Clone, Debug)]
pub struct MessageHistory {
    /// Index of its class in the scenario's classes, which are ordered by name.
    pub class: u8,
    /// Index of its destination; each copy of a destination block counts.
    pub destination: u32,
    /// Index of the gateway instance it is submitted to, also after a restart of that instance.
    pub instance: u32,
    /// Order key and position in the key's sequence, from 1; `None` if its class is not ordered.
    pub key: Option<(u64, u32)>,
    /// Time of its first submission.
    pub submitted_at: Duration,
    /// Time at which the message expires.
    pub deadline: Duration,
    /// Tier that its first request reached.
    pub first_tier: Option<usize>,
    /// Time at which it first reached a tier other than the preferred one.
    pub spilled_at: Option<Duration>,
    /// Number of times it took effect.
    pub effects: u32,
    /// Time of its last effect, from which the retry window counts.
    pub last_effect_at: Option<Duration>,
    /// First final outcome and its time; `None` until there is one.
    pub outcome: Option<(FinalOutcome, Duration)>,
    /// Number of final outcomes after the first.
    pub extra_outcomes: u32,
}

/// Totals of one second of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SecondTotals {
    /// Messages submitted for the first time.
    pub submitted: u32,
    /// Value of these messages if all were delivered within their latency objectives.
    pub offered_value: f64,
    /// Messages completed as delivered.
    pub delivered: u32,
    /// Value of the delivered messages at their age on delivery.
    pub delivered_value: f64,
    /// Messages completed as rejected, failed or cancelled.
    pub undelivered: u32,
    /// Messages submitted for destinations with more than one tier.
    pub multi_tier: u32,
    /// Messages that reached a tier other than the preferred one for the first time.
    pub spilled: u32,
    /// Requests that arrived at sites, including rejected ones.
    pub requests: u32,
}

/// Load of a site in a 100 ms window after it recovered from an outage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecoveryWindow {
    /// Index of the destination that the site belongs to.
    pub destination: u32,
    /// Number of the recovery, counted from 1 for each site.
    pub recovery: u32,
    /// Start of the window, measured from the start of the run.
    pub start: Duration,
    /// Start of the window, measured from the recovery.
    pub since_recovery: Duration,
    /// Requests that arrived at the site in the window.
    pub received: u32,
    /// Requests that the site can serve in the window at its capacity while warming up.
    pub capacity: f64,
    /// Requests in the window above which the site is overloaded: the rules' multiple of `capacity`.
    pub collapse_bound: f64,
}

/// A submission of a message to a gateway instance.
#[derive(Clone, Copy, Debug)]
pub struct Submission {
    /// Index of the gateway instance.
    pub instance: u32,
    /// Index of the destination.
    pub destination: u32,
    /// Index of the message in [`FailoverRun::messages`].
    pub message: u32,
}

/// Number of violations of each invariant; all are zero in a correct run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FailoverViolations {
    /// Messages with no final outcome, plus messages with more than one.
    pub missing_or_extra_outcomes: u64,
    /// Messages whose final outcome came after the deadline and its grace period, or contradicts their effects.
    pub late_or_wrong_outcomes: u64,
    /// Effects beyond the first of a message whose class is not `safe`.
    pub repeated_effects: u64,
    /// Messages that took effect after a later message of their order key.
    pub out_of_order: u64,
    /// Requests that reached an endpoint after the grace period that starts when it is listed as draining.
    pub sends_after_drain: u64,
    /// Sites that collapsed under overload while warming up.
    pub collapsed_sites: u64,
    /// Requests sent to a site before the end of the `Retry-After` that the instance had received from it.
    pub early_retries: u64,
}

impl FailoverViolations {
    /// Sum of the violations of all kinds.
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

/// Complete record of a run.
#[derive(Clone, Debug, Default)]
pub struct FailoverRun {
    /// All messages, in the order of submission.
    pub messages: Vec<MessageHistory>,
    /// All submissions; clients of a lost instance resubmit its unfinished messages.
    pub submissions: Vec<Submission>,
    /// Totals per second, indexed by the seconds since the start of the run.
    pub seconds: Vec<SecondTotals>,
    /// Load of recovering sites in 100 ms windows.
    pub windows: Vec<RecoveryWindow>,
    /// Violations found in the run.
    pub violations: FailoverViolations,
    /// Requests that arrived at sites, including rejected ones.
    pub requests: u64,
    /// Number of calls of `Engine::advance`.
    pub advance_calls: u64,
}
