//! What may happen in a run.

use cloverstile_fakes::platform::AgentBehaviour;
use cloverstile_fault_injection::{Call, Effect};
use std::fmt;
use std::time::Duration;

/// How a gateway's process ends before it is started again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Restart {
    /// By SIGTERM, and by a kill 3.7 s later if it still runs.
    Terminated,
    /// By SIGTERM, while accepts fail as the listener closes.
    TerminatedWhileAcceptsFail,
    /// By a kill.
    Killed,
    /// By a kill inside its next write to the log, after so many bytes.
    KilledInWrite(u64),
    /// By a kill while writes to the log are torn after so many bytes and can't be cut back.
    KilledOnTornDisk(u64),
    /// By a kill right behind its next bytes on a socket.
    KilledBehindSend,
}

/// One step of a series of signals behind SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalStep {
    /// SIGTERM once more.
    Terminate,
    /// SIGINT.
    Interrupt,
    /// SIGHUP with the configuration as it is.
    Reload,
    /// SIGHUP with discovery at the gateway's other address.
    ReloadElsewhere,
    /// The process is stopped for this time.
    HoldUp(Duration),
    /// Clients connect in a burst.
    ConnectBurst,
}

/// One round of a series: a process is told to end, signalled further, and killed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SignalRound {
    /// How long behind the readiness of the process it begins.
    pub after_ready: Duration,
    /// Steps by their time behind SIGTERM, in order; none where the process is killed at once.
    pub steps: Vec<(Duration, SignalStep)>,
    /// Whether SIGTERM comes ahead of the kill at all.
    pub is_graceful: bool,
    /// Processes behind this one that are killed as they recover, in a write of so many bytes.
    pub kills_in_recovery: Vec<u64>,
    /// The process behind this one is told to end as it is executed.
    pub terminated_at_exec: bool,
}

/// How an endpoint fails for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointFault {
    /// It does not respond.
    Hangs,
    /// It closes connections that carry a request.
    Disconnects,
    /// It resets connections that carry a request, right behind its last byte or this long after.
    Resets(Duration),
    /// It rejects requests, and asks to wait for so long.
    Rejects(Duration),
    /// It responds with this status and no more.
    RespondsWith(u16),
    /// It writes half a status line and then nothing.
    StopsInStatusLine,
    /// It responds this long behind the time of its request and of its message.
    RespondsLate(Duration),
    /// It closes connections behind each response, under the next request.
    ClosesIdle,
    /// Its connections come up late or never.
    AcceptsLate,
    /// It drains in the endpoint list.
    Drains,
}

impl EndpointFault {
    /// Whether the endpoint is out of order meanwhile, and recovers afterwards.
    pub fn is_outage(self) -> bool {
        matches!(
            self,
            EndpointFault::Hangs
                | EndpointFault::Disconnects
                | EndpointFault::Resets(_)
                | EndpointFault::StopsInStatusLine
        )
    }
}

/// How other clients crowd a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Crowd {
    /// So many connections that say nothing.
    Idle(usize),
    /// Clients that send, leave, and come back at once.
    Leaving,
}

/// One fault.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// The wall clock of a gateway is stepped, for the rest of the run.
    WallClock { ahead: bool, offset: Duration },
    /// A system call of a gateway fails in this way, so often at most, for a time.
    Calls { call: Call, effect: Effect, count: u64, lasts: Duration },
    /// A gateway is stopped and goes on after a time.
    HoldUp(Duration),
    /// A gateway ends and is started again.
    Restart(Restart),
    /// A gateway goes through rounds of signals.
    Signals(Vec<SignalRound>),
    /// A gateway is told to read its configuration again, with discovery at its other address.
    Reload,
    /// An endpoint fails for a time.
    Endpoint { endpoint: usize, fault: EndpointFault, lasts: Duration },
    /// The agent of a gateway misbehaves for a time.
    Agent { behaviour: AgentBehaviour, lasts: Duration },
    /// Other clients crowd a gateway for a time.
    Crowd { crowd: Crowd, lasts: Duration },
    /// Busy threads take the machine's cores for a time.
    BusyCores { threads: usize, lasts: Duration },
}

impl Fault {
    /// Whether it is one gateway's.
    pub fn is_of_gateway(&self) -> bool {
        !matches!(self, Fault::Endpoint { .. } | Fault::BusyCores { .. })
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{self:?}")
    }
}
