//! Exit statuses of the command line.

use std::process::ExitCode;

/// Exit status, with the same meaning for all subcommands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// Success.
    Success = 0,
    /// Failure; standard error has the reason.
    Failure = 1,
    /// Invalid command line.
    Usage = 2,
    /// Settings or keys can't be used.
    Settings = 3,
    /// `as2-gateway`: stopped with messages that have no final outcome.
    Unanswered = 4,
    /// `plan`: the capacity does not suffice after the loss of a zone.
    CapacityExceeded = 5,
    /// `send`: refused; it had no effect, and a retry is safe.
    Refused = 10,
    /// `send`: failed; it may have taken effect.
    MayHaveTakenEffect = 11,
    /// `send`: rejected for good; nothing was done.
    Rejected = 12,
    /// `send`: no valid receipt; the outcome is unknown.
    Unknown = 13,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> ExitCode {
        ExitCode::from(status as u8)
    }
}
