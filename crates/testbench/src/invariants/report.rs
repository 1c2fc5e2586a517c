//! The result of an invariant check: message counts and violations.

use serde::Serialize;

/// A delivery invariant that gateways must uphold under every fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Invariant {
    /// Every message has one final outcome, in time, and nothing is sent after it.
    #[serde(rename = "lost")]
    SingleOutcome,
    /// A message takes effect at most once, and is repeated only as its class permits.
    #[serde(rename = "twice")]
    AtMostOnce,
    /// Nothing new is sent to a draining endpoint.
    #[serde(rename = "drain")]
    NoSendToDraining,
    /// A recovering partner is not overloaded.
    #[serde(rename = "fail-back")]
    GentleRecovery,
    /// Messages of one key are sent in the order in which they were accepted.
    #[serde(rename = "order")]
    KeyOrder,
    /// Nothing is sent before the end of a `Retry-After`.
    #[serde(rename = "wait")]
    RetryAfterHonoured,
}

impl Invariant {
    /// The name printed in reports and JSON.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::SingleOutcome => "lost",
            Invariant::AtMostOnce => "twice",
            Invariant::NoSendToDraining => "drain",
            Invariant::GentleRecovery => "fail-back",
            Invariant::KeyOrder => "order",
            Invariant::RetryAfterHonoured => "wait",
        }
    }
}

/// One violation of an invariant, with the message or partner concerned.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The invariant that was violated.
    #[serde(rename = "rule")]
    pub invariant: Invariant,
    /// Id of the message, or name of the partner if the violation concerns no single message.
    #[serde(rename = "who")]
    pub subject: String,
    /// Microseconds from the start of the run.
    pub at: u64,
    /// What was observed, as a short text.
    #[serde(rename = "what")]
    pub description: String,
}

/// Message counts and violations found in a record.
#[derive(Clone, Debug, Default, Serialize)]
pub struct InvariantReport {
    /// Messages in the record.
    pub messages: usize,
    /// Messages with a final outcome.
    pub answered: usize,
    /// Messages whose final outcome is delivered.
    pub delivered: usize,
    /// Messages whose final outcome is rejected.
    #[serde(rename = "refused")]
    pub rejected: usize,
    /// Messages whose final outcome is failed.
    pub failed: usize,
    /// First outcomes that came after the deadline plus the answer slack.
    pub late_answers: usize,
    /// Messages that took effect more than once, though their class forbids it.
    #[serde(rename = "effects_twice")]
    pub repeated_effects: usize,
    /// Messages whose client never learned the outcome because their gateway was killed.
    #[serde(rename = "lost_with_courier")]
    pub lost_with_gateway: usize,
    /// Messages that no gateway accepted before their deadline.
    #[serde(rename = "never_taken")]
    pub never_accepted: usize,
    /// Requests received by partners.
    pub requests: usize,
    /// Violations, the earliest first.
    #[serde(rename = "broken")]
    pub violations: Vec<Violation>,
}

impl InvariantReport {
    /// Adds a violation that occurred `at` microseconds from the start of the run.
    pub(super) fn violation(
        &mut self,
        invariant: Invariant,
        subject: &str,
        at: u64,
        description: impl Into<String>,
    ) {
        let (subject, description) = (subject.to_owned(), description.into());
        self.violations.push(Violation { invariant, subject, at, description });
    }
}
