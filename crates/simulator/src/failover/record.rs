//! Event a run leaves behind, as it passed between instances and sites.

use cloverstile_engine::FinalOutcome;
use std::time::Duration;

/// A message, from its submission to its answer. Times count from the run's beginning.
#[derive(Clone, Debug)]
pub struct MessageHistory {
    /// Place of its class in the scenario.
    pub class: u8,
    /// Its bank.
    pub destination: u32,
    /// ClientPolicy holds it, or held it last.
    pub instance: u32,
    /// Its order key and its place under it, for classes in order.
    pub key: Option<(u64, u32)>,
    /// When it was submitted.
    pub submitted_at: Duration,
    /// When it is given up.
    pub deadline: Duration,
    /// The tier that it first reached.
    pub first_tier: Option<usize>,
    /// When it first reached a tier behind the preferred one.
    pub spilled_at: Option<Duration>,
    /// Times it took effect.
    pub effects: u32,
    /// When it last did, for windows of repeats.
    pub effect_at: Option<Duration>,
    /// Its final answer, and when.
    pub answer: Option<(FinalOutcome, Duration)>,
    /// Answers beyond the first.
    pub more_answers: u32,
}

/// A second of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SecondTotals {
    /// Messages submitted, and what they would be worth on time.
    pub submitted: u32,
    /// ...
    pub offered: f64,
    /// Messages answered as delivered, and their worth by their age then.
    pub delivered: u32,
    /// ...
    pub worth: f64,
    /// Messages answered otherwise.
    pub lost: u32,
    /// Messages submitted for banks of several tiers.
    pub tiered: u32,
    /// Messages that first reached a tier behind the preferred one.
    pub spilled: u32,
    /// Requests that reached sites, turned away ones too.
    pub requests: u32,
}

/// 100 ms of a site after its return.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecoveryWindow {
    /// The site.
    pub site: u32,
    /// Its place among the site's returns.
    pub recovery: u32,
    /// Beginning, since the run's.
    pub at: Duration,
    /// Since the return.
    pub after: Duration,
    /// Requests that reached it.
    pub received: u32,
    /// Requests that it can serve in that time, cold as it is.
    pub capacity: f64,
    /// Requests that it survives in that time: the rules' multiple of its capacity.
    pub bound: f64,
}

/// A submission, in order: who took it, for which bank, and which message.
#[derive(Clone, Copy, Debug)]
pub struct Submission {
    /// The instance.
    pub instance: u32,
    /// The bank.
    pub destination: u32,
    /// The message.
    pub message: u32,
}

/// Event broke. All zero on a good run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FailoverViolations {
    /// Messages without a final answer, or with several.
    pub unanswered: u64,
    /// ... with one that came after the deadline and its slack, or that is not true.
    pub late_or_untrue: u64,
    /// ... that took effect twice.
    pub twice: u64,
    /// ... that took effect after a later one of their key.
    pub out_of_order: u64,
    /// Requests to endpoints told as draining, after the grace.
    pub after_drain: u64,
    /// SimulatedPartners pushed over.
    pub pushed_over: u64,
    /// Requests to a site before the end of a wait that it had told this instance.
    pub waits_broken: u64,
}

impl FailoverViolations {
    /// Of all kinds together.
    pub fn total(&self) -> u64 {
        self.unanswered
            + self.late_or_untrue
            + self.twice
            + self.out_of_order
            + self.after_drain
            + self.pushed_over
            + self.waits_broken
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
    /// Returning sites, by 100 ms.
    pub windows: Vec<RecoveryWindow>,
    /// Event broke.
    pub violations: FailoverViolations,
    /// Requests that reached sites.
    pub requests: u64,
    /// Turns of engines: how often a module was asked.
    pub turns: u64,
}
