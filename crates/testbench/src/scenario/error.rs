//! Why a scenario can't be played.

/// Why a scenario can't be played.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The text is not a scenario.
    #[error("scenario: {0}")]
    Invalid(String),
    /// A fault names what does not exist.
    #[error("scenario: fault '{fault}': {reason}")]
    InvalidFault {
        /// Name of the fault.
        fault: String,
        /// What is wrong with it.
        reason: String,
    },
}
