//! Exit statuses of the program, which scripts and service managers rely on.

use std::process::ExitCode;

/// Exit status, with the same meaning for all subcommands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// The subcommand did what it was asked to; for `send`, the message was delivered.
    Success = 0,
    /// The subcommand failed; standard error has the reason.
    Failure = 1,
    /// The command line or the log filter is invalid.
    Usage = 2,
    /// The settings, the environment, keys or certificates can't be used.
    Settings = 3,
    /// `as2-gateway`: it shut down with messages that have no final outcome.
    Unanswered = 4,
    /// `plan`: the capacity does not suffice in at least one of the planned scenarios.
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
