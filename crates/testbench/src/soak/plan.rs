//! What happens in a run, drawn from its seed.

use cloverstile_fault_injection::{Call, Effect};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt;
use std::time::Duration;

/// Most gateways of a run.
const MAX_GATEWAYS: usize = 8;
/// Gateways of most runs: narrow moments need many runs more than many gateways.
const USUAL_GATEWAYS: usize = 3;
/// Shortest and longest time of load, in milliseconds.
const LOAD_MS: std::ops::Range<u64> = 7_000..11_000;
/// Faults of a run.
const FAULTS: std::ops::Range<usize> = 6..14;
/// Linux's error numbers.
const DISK_ERRORS: [i32; 2] = [5, 28];
const ACCEPT_ERRORS: [i32; 4] = [103, 23, 24, 105];
const SOCKET_ERRORS: [i32; 3] = [23, 105, 12];
const CONNECT_ERRORS: [i32; 3] = [99, 101, 11];
const OPTION_ERRORS: [i32; 1] = [105];

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

/// How an endpoint fails for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointFault {
    /// It does not respond.
    Hangs,
    /// It closes connections that carry a request.
    Disconnects,
    /// It rejects requests, with a wait.
    Rejects,
    /// It drains in the endpoint list.
    Drains,
}

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The wall clock of a gateway is stepped, for the rest of the run.
    WallClock { ahead: bool, offset: Duration },
    /// A system call of a gateway fails in this way, so often at most, for a time.
    Calls { call: Call, effect: Effect, count: u64, lasts: Duration },
    /// A gateway is stopped and goes on after a time.
    HoldUp(Duration),
    /// A gateway ends and is started again.
    Restart(Restart),
    /// An endpoint fails for a time.
    Endpoint { endpoint: usize, fault: EndpointFault, lasts: Duration },
}

impl Fault {
    /// The kind, as the summary counts it.
    pub fn kind(&self) -> String {
        match self {
            Fault::WallClock { .. } => "wall_clock_step".to_owned(),
            Fault::Calls { call, effect, .. } => {
                let effect = match effect {
                    Effect::Error(_) => "error",
                    Effect::Short(_) => "short",
                    Effect::Torn { .. } => "torn",
                    Effect::Delay(_) => "slow",
                    Effect::Kill { .. } => "kill",
                };
                format!("{call:?}_{effect}").to_lowercase()
            }
            Fault::HoldUp(_) => "hold_up".to_owned(),
            Fault::Restart(Restart::Terminated) => "sigterm".to_owned(),
            Fault::Restart(Restart::TerminatedWhileAcceptsFail) => "sigterm_accept_error".to_owned(),
            Fault::Restart(Restart::Killed) => "sigkill".to_owned(),
            Fault::Restart(Restart::KilledInWrite(_)) => "kill_in_write".to_owned(),
            Fault::Restart(Restart::KilledOnTornDisk(_)) => "kill_on_torn_disk".to_owned(),
            Fault::Restart(Restart::KilledBehindSend) => "kill_behind_send".to_owned(),
            Fault::Endpoint { fault, .. } => format!("endpoint_{fault:?}").to_lowercase(),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{self:?}")
    }
}

/// A fault with its time and its gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannedFault {
    /// When it begins, since the start of the load.
    pub at: Duration,
    /// Number of the gateway that it is for; not used for endpoints.
    pub gateway: usize,
    /// What it is.
    pub fault: Fault,
}

/// All that a seed decides.
#[derive(Clone, Debug)]
pub struct FaultPlan {
    /// Seed of the clients' choices.
    pub seed: u64,
    /// Number of gateways.
    pub gateways: usize,
    /// How long clients submit new messages.
    pub load: Duration,
    /// The faults, in the order of their times.
    pub faults: Vec<PlannedFault>,
}

impl FaultPlan {
    /// The same load without a fault, to see what it costs.
    pub fn without_faults(self) -> FaultPlan {
        FaultPlan { faults: Vec::new(), ..self }
    }

    /// The plan of a seed, with so many endpoints.
    pub fn new(seed: u64, endpoints: usize) -> FaultPlan {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let crowded = rng.random_bool(0.1);
        let gateways = rng.random_range(1..=if crowded { MAX_GATEWAYS } else { USUAL_GATEWAYS });
        let load = Duration::from_millis(rng.random_range(LOAD_MS));
        let count = rng.random_range(FAULTS);
        let mut faults: Vec<PlannedFault> = (0..count)
            .map(|_| PlannedFault {
                at: load.mul_f64(rng.random_range(0.05..0.95)),
                gateway: rng.random_range(0..gateways),
                fault: draw_fault(&mut rng, endpoints),
            })
            .collect();
        faults.sort_by_key(|planned| planned.at);
        FaultPlan { seed, gateways, load, faults }
    }
}

fn milliseconds(rng: &mut ChaCha8Rng, range: std::ops::Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}

fn draw_fault(rng: &mut ChaCha8Rng, endpoints: usize) -> Fault {
    match rng.random_range(0..100) {
        0..10 => {
            let seconds = [1, 7, 3600].choose(rng).copied().unwrap_or(1);
            Fault::WallClock { ahead: rng.random_bool(0.5), offset: Duration::from_secs(seconds) }
        }
        10..34 => draw_file_fault(rng),
        34..56 => draw_socket_fault(rng),
        56..64 => Fault::HoldUp(milliseconds(rng, 20..150)),
        64..88 => Fault::Restart(draw_restart(rng)),
        _ => Fault::Endpoint {
            endpoint: rng.random_range(0..endpoints),
            fault: *[
                EndpointFault::Hangs,
                EndpointFault::Disconnects,
                EndpointFault::Rejects,
                EndpointFault::Drains,
            ]
            .choose(rng)
            .unwrap_or(&EndpointFault::Hangs),
            lasts: milliseconds(rng, 200..1500),
        },
    }
}

fn draw_restart(rng: &mut ChaCha8Rng) -> Restart {
    match rng.random_range(0..10) {
        0..3 => Restart::Terminated,
        3 => Restart::TerminatedWhileAcceptsFail,
        4..6 => Restart::Killed,
        6 => Restart::KilledInWrite(rng.random_range(1..600)),
        7 => Restart::KilledOnTornDisk(rng.random_range(1..1200)),
        _ => Restart::KilledBehindSend,
    }
}

fn errno(rng: &mut ChaCha8Rng, errors: &[i32]) -> Effect {
    Effect::Error(errors.choose(rng).copied().unwrap_or(5))
}

fn draw_file_fault(rng: &mut ChaCha8Rng) -> Fault {
    let lasts = milliseconds(rng, 50..1500);
    let (call, effect, count) = match rng.random_range(0..10) {
        0..3 => (Call::FileWrite, errno(rng, &DISK_ERRORS), u64::MAX),
        3..6 => {
            let torn = Effect::Torn { bytes: rng.random_range(1..900), errno: 5 };
            (Call::FileWrite, torn, rng.random_range(1..4))
        }
        6 => (Call::FileTruncate, errno(rng, &DISK_ERRORS), u64::MAX),
        7 => (Call::FileRename, Effect::Torn { bytes: rng.random_range(0..2), errno: 5 }, 2),
        8 => (Call::FileWrite, Effect::Short(rng.random_range(1..200)), u64::MAX),
        _ => (Call::FileWrite, Effect::Delay(milliseconds(rng, 5..150)), 3),
    };
    Fault::Calls { call, effect, count, lasts }
}

fn draw_socket_fault(rng: &mut ChaCha8Rng) -> Fault {
    // For a moment: a message whose time ends meanwhile has its notification 0.3 s later at the latest.
    let lasts = milliseconds(rng, 20..250);
    let (call, effect, count) = match rng.random_range(0..9) {
        0..2 => (Call::Accept, errno(rng, &ACCEPT_ERRORS), rng.random_range(1..5)),
        2 => (Call::Connect, errno(rng, &CONNECT_ERRORS), u64::MAX),
        3 => (Call::Socket, errno(rng, &SOCKET_ERRORS), u64::MAX),
        4 => (Call::SocketOption, errno(rng, &OPTION_ERRORS), u64::MAX),
        5 => (Call::Send, Effect::Short(rng.random_range(1..20)), u64::MAX),
        6 => (Call::Receive, Effect::Short(rng.random_range(1..20)), u64::MAX),
        7 => (Call::Send, Effect::Delay(milliseconds(rng, 20..150)), 2),
        _ => (Call::MonotonicClock, Effect::Delay(milliseconds(rng, 20..150)), 2),
    };
    Fault::Calls { call, effect, count, lasts }
}
