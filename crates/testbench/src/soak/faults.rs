//! The faults of a run. The names of types, variants and fields appear in timelines through their `Debug` form.

use cloverstile_fakes::platform::{AgentBehaviour, MixedResponses, RepeatedResponse};
use cloverstile_fault_injection::{Call, Effect};
use std::fmt;
use std::time::Duration;

/// Length of each of several pauses: the longest that the platform allows.
pub const REPEATED_HOLD_UP: Duration = Duration::from_millis(150);
/// Time from the start of a pause to the next one.
pub const HOLD_UP_INTERVAL: Duration = Duration::from_millis(600);

/// How a gateway's process ends before it is started again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Restart {
    /// By SIGTERM, and by SIGKILL 3.7 s later if it still runs.
    Terminated,
    /// By SIGTERM, with `accept` failing about when the listener closes.
    TerminatedWhileAcceptsFail,
    /// By SIGKILL.
    Killed,
    /// Killed inside its next write to the log, after this many bytes.
    KilledInWrite(u64),
    /// By SIGKILL, while writes to the log are torn after this many bytes and truncating it fails.
    KilledOnTornDisk(u64),
    /// Killed right after its next send on a socket.
    KilledBehindSend,
}

/// One step of the sequence that follows SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalStep {
    /// A further SIGTERM.
    Terminate,
    /// SIGINT.
    Interrupt,
    /// SIGHUP with an unchanged configuration.
    Reload,
    /// SIGHUP with a configuration that names the gateway's other discovery address.
    ReloadElsewhere,
    /// The process is paused (SIGSTOP, SIGCONT) for this time.
    HoldUp(Duration),
    /// Several clients connect at once and submit a message each.
    ConnectBurst,
}

/// One round of a sequence of signals: a process gets SIGTERM, further signals, and SIGKILL.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SignalRound {
    /// Time from the start of the round, when the process is ready, to its first signal.
    pub after_ready: Duration,
    /// Steps with their time after SIGTERM, in order; empty if the process is killed at once.
    pub steps: Vec<(Duration, SignalStep)>,
    /// Whether SIGTERM comes before SIGKILL.
    pub is_graceful: bool,
    /// For each following process that is killed during its recovery: after how many bytes of a write to its log.
    pub kills_in_recovery: Vec<u64>,
    /// Whether a process is then started that gets SIGTERM right after `exec`.
    pub terminated_at_exec: bool,
}

/// How an endpoint fails for a while.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointFault {
    /// It never responds, and keeps connections open.
    Hangs,
    /// It closes a connection when a request arrives on it.
    Disconnects,
    /// It resets a connection this long after the last byte of a request; at once if zero.
    Resets(Duration),
    /// It responds with status 429 and this Retry-After.
    Rejects(Duration),
    /// It responds with this status and an empty body.
    RespondsWith(u16),
    /// It writes half a status line and stops.
    StopsInStatusLine,
    /// It responds with status 200 this long after the deadlines of the request and of its message.
    RespondsLate(Duration),
    /// It closes a connection after each response, when the next request may be on its way.
    ClosesIdle,
    /// It doesn't accept connections until the fault ends.
    AcceptsLate,
    /// The endpoint list shows it as draining.
    Drains,
    /// It answers some requests at once, all alike, and delivers the others.
    Mixed(MixedResponses),
    /// It writes something behind responses.
    Repeats(RepeatedResponse),
}

impl EndpointFault {
    /// Whether the endpoint is down meanwhile, so that slow start applies to its recovery.
    pub fn is_outage(&self) -> bool {
        matches!(
            self,
            EndpointFault::Hangs
                | EndpointFault::Disconnects
                | EndpointFault::Resets(_)
                | EndpointFault::StopsInStatusLine
        )
    }
}

/// A connection flood on a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crowd {
    /// This many idle connections.
    Idle(usize),
    /// Clients that submit a message, disconnect, and connect again.
    Leaving,
    /// This many connections, each with most of a large command; what is left of it is written a byte at a time if `slow`.
    UnfinishedCommands { count: usize, slow: bool },
    /// This many connections, each with half of a list of very many short fields.
    ShortFields { count: usize },
    /// This many connections with thousands of rejected commands each, whose replies are not read.
    UnreadReplies { count: usize },
    /// One connection after another with rejected commands at full speed, under ever new names.
    RejectedCommands,
    /// Clients that submit many messages at once and leave by a close or a reset.
    LeavingUnread { reset: bool },
    /// Clients that submit a payment, leave, and submit it under the same id after this time.
    Returning { after: Duration },
}

/// A fault of a gateway, an endpoint or the machine, without the time at which it begins.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// The wall clock of a gateway is stepped for the rest of the run.
    WallClock { ahead: bool, offset: Duration },
    /// A system call of a gateway has this effect, at most `count` times, for a time.
    Calls { call: Call, effect: Effect, count: u64, lasts: Duration },
    /// A gateway is paused (SIGSTOP, SIGCONT) for a time.
    HoldUp(Duration),
    /// A gateway is paused several times, each time for [`REPEATED_HOLD_UP`].
    HoldUps(u32),
    /// A gateway process ends and is started again.
    Restart(Restart),
    /// A gateway goes through rounds of signals, each with a restart.
    Signals(Vec<SignalRound>),
    /// A gateway reloads its configuration, which names its other discovery address.
    Reload,
    /// An endpoint fails for a time.
    Endpoint { endpoint: usize, fault: EndpointFault, lasts: Duration },
    /// The discovery and notification agents of a gateway misbehave for a time.
    Agent { behaviour: AgentBehaviour, lasts: Duration },
    /// A connection flood hits a gateway for a time.
    Crowd { crowd: Crowd, lasts: Duration },
    /// Busy threads occupy CPU cores for a time.
    BusyCores { threads: usize, lasts: Duration },
}

impl Fault {
    /// Whether the fault affects a single gateway, rather than an endpoint or the whole machine.
    pub fn is_of_gateway(&self) -> bool {
        !matches!(self, Fault::Endpoint { .. } | Fault::BusyCores { .. })
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{self:?}")
    }
}
