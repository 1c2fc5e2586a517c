//! What a run leaves behind, as it passed between couriers and sites.

use cloverstile_engine::FinalOutcome;
use std::time::Duration;

/// A message, from its hand-in to its answer. Times count from the run's beginning.
#[derive(Clone, Debug)]
pub struct Message {
    /// Place of its class in the scenario.
    pub class: u8,
    /// Its bank.
    pub bank: u32,
    /// Who holds it, or held it last.
    pub courier: u32,
    /// Its order key and its place under it, for classes in order.
    pub key: Option<(u64, u32)>,
    /// When it was handed in.
    pub handed: Duration,
    /// When it is given up.
    pub deadline: Duration,
    /// The tier that it first reached.
    pub first_tier: Option<usize>,
    /// When it first reached a tier behind the preferred one.
    pub spilt: Option<Duration>,
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
pub struct Second {
    /// Messages handed in, and what they would be worth on time.
    pub handed: u32,
    /// ...
    pub offered: f64,
    /// Messages answered as delivered, and their worth by their age then.
    pub delivered: u32,
    /// ...
    pub worth: f64,
    /// Messages answered otherwise.
    pub lost: u32,
    /// Messages handed in for banks of several tiers.
    pub tiered: u32,
    /// Messages that first reached a tier behind the preferred one.
    pub spilt: u32,
    /// Requests that reached sites, turned away ones too.
    pub requests: u32,
}

/// 100 ms of a site after its return.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Window {
    /// The site.
    pub site: u32,
    /// Its place among the site's returns.
    pub spell: u32,
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

/// A hand-in, in order: who took it, for which bank, and which message.
#[derive(Clone, Copy, Debug)]
pub struct Handed {
    /// The courier.
    pub courier: u32,
    /// The bank.
    pub bank: u32,
    /// The message.
    pub message: u32,
}

/// What broke. All zero on a good run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Audit {
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
    /// Sites pushed over.
    pub pushed_over: u64,
    /// Requests to a site before the end of a wait that it had told this courier.
    pub waits_broken: u64,
}

impl Audit {
    /// Of all kinds together.
    pub fn broken(&self) -> u64 {
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
pub struct Run {
    /// All messages, in the order handed in.
    pub messages: Vec<Message>,
    /// All hand-ins; a message of a lost courier comes again.
    pub hand_ins: Vec<Handed>,
    /// By second.
    pub seconds: Vec<Second>,
    /// Returning sites, by 100 ms.
    pub windows: Vec<Window>,
    /// What broke.
    pub audit: Audit,
    /// Requests that reached sites.
    pub requests: u64,
    /// Turns of engines: how often a module was asked.
    pub turns: u64,
}
