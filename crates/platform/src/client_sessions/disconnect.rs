//! Why a client is disconnected, and what it is told.

use super::session::{COMMAND_TIMEOUT, MAX_PIPELINED_COMMANDS};
use crate::transport::ConnectionId;
use cloverstile_resp::RespError;

/// Why a client is disconnected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DisconnectReason {
    /// It sent bytes that are not a RESP command, or a command above the size limits.
    ProtocolError(RespError),
    /// It sent too many commands without waiting for replies.
    TooManyCommands,
    /// A command was not complete in time.
    CommandTimeout,
    /// The connection was idle for too long.
    IdleTimeout,
    /// It closed its sending side of the connection.
    ClientFinished,
    /// Another client connected, and there were too many connections.
    ConnectionLimit,
    /// The received bytes of all clients together held too much memory, and this client much of it.
    MemoryLimit,
    /// The gateway shuts down.
    Shutdown,
    /// It was disconnected in the middle of a command, for a reason outside the command: the part that was read is
    /// answered with an error.
    CommandInterrupted,
}

impl DisconnectReason {
    /// Name of the reason in log lines.
    pub fn name(&self) -> &'static str {
        match self {
            DisconnectReason::ProtocolError(_) => "protocol_error",
            DisconnectReason::TooManyCommands => "too_many_commands",
            DisconnectReason::CommandTimeout => "command_timeout",
            DisconnectReason::IdleTimeout => "idle_timeout",
            DisconnectReason::ClientFinished => "client_finished",
            DisconnectReason::ConnectionLimit => "connection_limit",
            DisconnectReason::MemoryLimit => "memory_limit",
            DisconnectReason::Shutdown => "shutdown",
            DisconnectReason::CommandInterrupted => "command_interrupted",
        }
    }

    /// Text of the error reply to send before the connection is closed, if there is one.
    pub fn error_text(&self) -> Option<String> {
        match self {
            DisconnectReason::ProtocolError(error) => Some(format!("ERR protocol: {error}")),
            DisconnectReason::TooManyCommands => {
                Some(format!("ERR more than {MAX_PIPELINED_COMMANDS} commands at once"))
            }
            DisconnectReason::CommandTimeout => {
                Some(format!("ERR a command took longer than {COMMAND_TIMEOUT:?}"))
            }
            DisconnectReason::CommandInterrupted => Some("BUSY".to_owned()),
            DisconnectReason::IdleTimeout
            | DisconnectReason::ClientFinished
            | DisconnectReason::ConnectionLimit
            | DisconnectReason::MemoryLimit
            | DisconnectReason::Shutdown => None,
        }
    }
}

/// A client that must be disconnected now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Disconnect {
    /// The connection to close; it is already removed from [`ClientSessions`](super::ClientSessions).
    pub connection: ConnectionId,
    /// Number of commands that were read and must not be executed; each gets a refusal. The one that the error reply of
    /// the reason answers is not counted.
    pub refused_commands: usize,
    /// Why; [`DisconnectReason::error_text`] tells whether an error reply precedes the close.
    pub reason: DisconnectReason,
}
