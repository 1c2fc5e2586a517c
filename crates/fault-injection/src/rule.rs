//! Rules: which calls fail, and how.

use crate::layout::RULE_WORDS;
use std::time::Duration;

/// A function of the C library that a rule may be for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u64)]
pub enum Call {
    /// Writing to a regular file.
    FileWrite = 1,
    /// Reading from a regular file.
    FileRead = 2,
    /// Opening a file.
    FileOpen = 3,
    /// Renaming a file.
    FileRename = 4,
    /// Removing a file.
    FileRemove = 5,
    /// Cutting a file to a length.
    FileTruncate = 6,
    /// Creating a socket.
    Socket = 7,
    /// Connecting a socket.
    Connect = 8,
    /// Accepting a connection.
    Accept = 9,
    /// Sending on a socket.
    Send = 10,
    /// Receiving from a socket.
    Receive = 11,
    /// Setting an option of a socket.
    SocketOption = 12,
    /// Reading the monotonic clock; only [`Effect::Delay`] applies, behind the reading.
    MonotonicClock = 13,
}

/// What happens in place of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It fails with this error number, and does nothing.
    Error(i32),
    /// It is done for at most so many bytes.
    Short(u64),
    /// It writes at most so many bytes and fails with the error number all the same.
    Torn {
        /// Bytes that are written.
        bytes: u64,
        /// The error number.
        errno: i32,
    },
    /// It is done after this time; for clocks the time passes behind the reading.
    Delay(Duration),
    /// It writes at most so many bytes, and the process is killed.
    Kill {
        /// Bytes that are written.
        bytes: u64,
    },
}

/// Which calls are affected, and how.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    /// The call.
    pub call: Call,
    /// What happens in its place.
    pub effect: Effect,
    /// Calls that pass before the first one that is affected.
    pub skip: u64,
    /// Calls that are affected; `u64::MAX` for all.
    pub count: u64,
}

impl Rule {
    /// Every such call, from now on.
    pub fn always(call: Call, effect: Effect) -> Self {
        Rule { call, effect, skip: 0, count: u64::MAX }
    }

    /// The next such call alone.
    pub fn once(call: Call, effect: Effect) -> Self {
        Rule { count: 1, ..Rule::always(call, effect) }
    }

    /// The rule's words in the control file, the call last: it makes the others count.
    pub(crate) fn words(&self) -> [u64; RULE_WORDS] {
        let (kind, errno, size, delay) = match self.effect {
            Effect::Error(errno) => (1, errno, 0, Duration::ZERO),
            Effect::Short(bytes) => (2, 0, bytes, Duration::ZERO),
            Effect::Torn { bytes, errno } => (3, errno, bytes, Duration::ZERO),
            Effect::Delay(delay) => (4, 0, 0, delay),
            Effect::Kill { bytes } => (5, 0, bytes, Duration::ZERO),
        };
        let delay = u64::try_from(delay.as_nanos()).unwrap_or(u64::MAX);
        let errno = u64::try_from(errno).unwrap_or(0);
        [self.call as u64, kind, errno, size, delay, self.skip, self.count, 0]
    }
}
