//! The result of a check: counts of messages, and violations.

use serde::Serialize;

/// A delivery invariant.
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
    /// Its name in reports.
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

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The invariant.
    #[serde(rename = "rule")]
    pub invariant: Invariant,
    /// The message, or the partner where no single message violated the invariant.
    #[serde(rename = "who")]
    pub subject: String,
    /// Microseconds from the start of the run.
    pub at: u64,
    /// What was seen.
    #[serde(rename = "what")]
    pub description: String,
}

/// What the check of a record found.
#[derive(Clone, Debug, Default, Serialize)]
pub struct InvariantReport {
    /// Messages submitted.
    pub messages: usize,
    /// Messages with a final outcome.
    pub answered: usize,
    /// ... delivered.
    pub delivered: usize,
    /// ... rejected.
    #[serde(rename = "refused")]
    pub rejected: usize,
    /// ... failed.
    pub failed: usize,
    /// Final outcomes later than their deadline and slack.
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
    /// Requests at partners.
    pub requests: usize,
    /// Violations in the order of their times.
    #[serde(rename = "broken")]
    pub violations: Vec<Violation>,
}

impl InvariantReport {
    /// Adds a violation at a time in microseconds.
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
