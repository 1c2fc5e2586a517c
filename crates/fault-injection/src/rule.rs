//! Fault rules: which calls of the C library are affected, and in which way.

use crate::layout::RULE_WORDS;
use std::time::Duration;

/// A group of C library functions that a rule can affect. The numbers are stored in the control file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u64)]
pub enum Call {
    /// `write` to a file in the state directory.
    FileWrite = 1,
    /// `read` from a file in the state directory.
    FileRead = 2,
    /// `open64` of a file in the state directory.
    FileOpen = 3,
    /// `rename` to a path in the state directory.
    FileRename = 4,
    /// `unlink` of a file in the state directory.
    FileRemove = 5,
    /// `ftruncate64` of a file in the state directory.
    FileTruncate = 6,
    /// `socket`.
    Socket = 7,
    /// `connect`.
    Connect = 8,
    /// `accept4`.
    Accept = 9,
    /// `send`.
    Send = 10,
    /// `recv`.
    Receive = 11,
    /// `setsockopt`.
    SocketOption = 12,
    /// `clock_gettime` of the monotonic clock. Only [`Effect::Delay`] applies, and follows the clock read.
    MonotonicClock = 13,
}

impl Call {
    /// Every group of functions.
    pub const ALL: [Call; 13] = [
        Call::FileWrite,
        Call::FileRead,
        Call::FileOpen,
        Call::FileRename,
        Call::FileRemove,
        Call::FileTruncate,
        Call::Socket,
        Call::Connect,
        Call::Accept,
        Call::Send,
        Call::Receive,
        Call::SocketOption,
        Call::MonotonicClock,
    ];
}

/// What happens instead of an affected call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The call fails with this error number without any other effect.
    Error(i32),
    /// The call transfers at most this many bytes, and at least one.
    Short(u64),
    /// The call transfers at most `bytes` bytes and then fails with `errno`. A rename is done if `bytes` is at least 1,
    /// and reported as failed.
    Torn {
        /// Most bytes that are transferred before the call fails.
        bytes: u64,
        /// Error number that the call fails with.
        errno: i32,
    },
    /// The call is made after this time. For [`Call::MonotonicClock`] the delay follows the clock read.
    Delay(Duration),
    /// The call transfers at most `bytes` bytes, and the process is killed with SIGKILL.
    Kill {
        /// Most bytes that are transferred before the kill.
        bytes: u64,
    },
}

/// A fault: which calls are affected, and in which way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rule {
    /// The function whose calls are affected.
    pub call: Call,
    /// What happens instead of the call.
    pub effect: Effect,
    /// Number of calls that are made normally before the first affected one.
    pub skip: u64,
    /// Number of calls that are affected; `u64::MAX` for no limit.
    pub count: u64,
}

impl Rule {
    /// Affects every call of this function from now on.
    pub fn always(call: Call, effect: Effect) -> Self {
        Rule { call, effect, skip: 0, count: u64::MAX }
    }

    /// Affects only the next call of this function.
    pub fn once(call: Call, effect: Effect) -> Self {
        Rule { count: 1, ..Rule::always(call, effect) }
    }

    /// The rule as words of the control file. The first word, the call, activates the rule and has to be written last.
    pub(crate) fn words(&self) -> [u64; RULE_WORDS] {
        let (effect, errno, byte_count, delay) = match self.effect {
            Effect::Error(errno) => (1, errno, 0, Duration::ZERO),
            Effect::Short(bytes) => (2, 0, bytes, Duration::ZERO),
            Effect::Torn { bytes, errno } => (3, errno, bytes, Duration::ZERO),
            Effect::Delay(delay) => (4, 0, 0, delay),
            Effect::Kill { bytes } => (5, 0, bytes, Duration::ZERO),
        };
        let delay = u64::try_from(delay.as_nanos()).unwrap_or(u64::MAX);
        let errno = u64::try_from(errno).unwrap_or(0);
        [self.call as u64, effect, errno, byte_count, delay, self.skip, self.count, 0]
    }
}
