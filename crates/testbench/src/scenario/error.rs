//! Errors in scenario files.

/// An error in a scenario or in a bench day that is converted to one.
#[derive(Debug, thiserror::Error)]
pub enum ScenarioError {
    /// The text is not a valid scenario.
    #[error("scenario: {0}")]
    Invalid(String),
    /// A fault has an unknown kind, or refers to a partner or gateway that does not exist.
    #[error("scenario: fault '{fault}': {reason}")]
    InvalidFault {
        /// Name of the fault in the scenario.
        fault: String,
        /// The problem, as the end of a sentence that begins with the fault.
        reason: String,
    },
}
