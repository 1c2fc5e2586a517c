//! Rules of message classes for sending a message again that may already have taken effect.

use std::time::Duration;

/// Whether and for how long a class permits repeated requests for a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatRule {
    /// Repeated requests have no further effect (safe messages).
    Always,
    /// The receiver drops repeated requests for this long after the first one (keyed messages).
    Within(Duration),
    /// A message that may have run must not be sent again (unsafe messages).
    Forbidden,
}

impl RepeatRule {
    /// Whether a repeated request is permitted `since_first` after the first request that may have run.
    #[must_use]
    pub fn permits(self, since_first: Duration) -> bool {
        match self {
            RepeatRule::Always => true,
            RepeatRule::Within(window) => since_first <= window,
            RepeatRule::Forbidden => false,
        }
    }
}
