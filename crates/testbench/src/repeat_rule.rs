//! When a message that may have taken effect may be sent again, as its class permits.

use std::time::Duration;

/// The contract of a message class on repeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatRule {
    /// A repeat has no further effect (safe messages).
    Always,
    /// The receiver drops repeats for this long after the first request (keyed messages).
    Within(Duration),
    /// A message that may have run must not be sent again (unsafe messages).
    Forbidden,
}

impl RepeatRule {
    /// Whether a repeat is permitted so long after the first request that may have run.
    #[must_use]
    pub fn permits(self, since_first: Duration) -> bool {
        match self {
            RepeatRule::Always => true,
            RepeatRule::Within(window) => since_first <= window,
            RepeatRule::Forbidden => false,
        }
    }
}
