//! The troubles that a run may meet: kinds, probabilities and spans, one line a trouble of the standing page.

use super::faults::{Crowd, EndpointFault, Fault, Restart, SignalRound, SignalStep};
use super::plan::Profile;
use cloverstile_fakes::platform::AgentBehaviour;
use cloverstile_fault_injection::{Call, Effect};
use rand::seq::IndexedRandom;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::ops::Range;
use std::time::Duration;

/// One kind of trouble.
pub(super) struct Trouble {
    /// Its name in the summary.
    pub name: &'static str,
    /// How often it is drawn, of all weights of the profile, in machine faults and in the soak.
    weights: [u32; 2],
    draw: fn(&mut ChaCha8Rng, usize) -> Fault,
}

impl Trouble {
    const fn new(name: &'static str, weights: [u32; 2], draw: fn(&mut ChaCha8Rng, usize) -> Fault) -> Self {
        Trouble { name, weights, draw }
    }

    fn weight(&self, profile: Profile) -> u32 {
        self.weights[profile as usize]
    }
}

/// All kinds. Spans are in milliseconds.
#[rustfmt::skip]
const TROUBLES: &[Trouble] = &[
    // Of the machine: clocks are stepped, disks and system calls fail, writes are torn, processes are held up.
    Trouble::new("wall_clock_step",       [10, 3], |rng, _| wall_clock_step(rng)),
    Trouble::new("disk_error",            [7, 3],  |rng, _| calls(Call::FileWrite, errno(rng, &DISK_ERRORS), u64::MAX, ms(rng, 50..1500))),
    Trouble::new("disk_torn",             [7, 3],  |rng, _| torn_writes(rng)),
    Trouble::new("disk_cut_error",        [2, 1],  |rng, _| calls(Call::FileTruncate, errno(rng, &DISK_ERRORS), u64::MAX, ms(rng, 50..1500))),
    Trouble::new("disk_rename_torn",      [2, 1],  |rng, _| torn_renames(rng)),
    Trouble::new("disk_short",            [2, 1],  |rng, _| calls(Call::FileWrite, Effect::Short(rng.random_range(1..200)), u64::MAX, ms(rng, 50..1500))),
    Trouble::new("disk_slow",             [4, 2],  |rng, _| calls(Call::FileWrite, Effect::Delay(ms(rng, 5..150)), 3, ms(rng, 50..1500))),
    // A moment: a message whose time ends meanwhile has its notification 0.3 s later at the latest.
    Trouble::new("accept_error",          [5, 2],  |rng, _| calls(Call::Accept, errno(rng, &ACCEPT_ERRORS), rng.random_range(1..5), ms(rng, 20..250))),
    Trouble::new("connect_error",         [2, 1],  |rng, _| calls(Call::Connect, errno(rng, &CONNECT_ERRORS), u64::MAX, ms(rng, 20..250))),
    Trouble::new("socket_error",          [3, 1],  |rng, _| calls(Call::Socket, errno(rng, &SOCKET_ERRORS), u64::MAX, ms(rng, 20..250))),
    Trouble::new("socket_option_error",   [2, 1],  |rng, _| calls(Call::SocketOption, errno(rng, &OPTION_ERRORS), u64::MAX, ms(rng, 20..250))),
    Trouble::new("send_short",            [2, 1],  |rng, _| calls(Call::Send, Effect::Short(rng.random_range(1..20)), u64::MAX, ms(rng, 20..250))),
    Trouble::new("receive_short",         [2, 1],  |rng, _| calls(Call::Receive, Effect::Short(rng.random_range(1..20)), u64::MAX, ms(rng, 20..250))),
    Trouble::new("send_slow",             [3, 2],  |rng, _| calls(Call::Send, Effect::Delay(ms(rng, 20..150)), 2, ms(rng, 20..250))),
    Trouble::new("hold_up_behind_clock",  [3, 4],  |rng, _| calls(Call::MonotonicClock, Effect::Delay(ms(rng, 20..150)), 2, ms(rng, 20..250))),
    Trouble::new("hold_up",               [8, 6],  |rng, _| Fault::HoldUp(ms(rng, 20..150))),
    Trouble::new("busy_cores",            [0, 2],  |rng, _| Fault::BusyCores { threads: rng.random_range(2..9), lasts: ms(rng, 500..3000) }),
    // Restarts: SIGTERM and SIGKILL alone, a kill right behind an answer, inside a write, in recovery; signals in series.
    Trouble::new("sigterm",               [7, 1],  |_, _|   Fault::Restart(Restart::Terminated)),
    Trouble::new("sigterm_accept_error",  [2, 1],  |_, _|   Fault::Restart(Restart::TerminatedWhileAcceptsFail)),
    Trouble::new("sigkill",               [5, 1],  |_, _|   Fault::Restart(Restart::Killed)),
    Trouble::new("kill_in_write",         [2, 2],  |rng, _| Fault::Restart(Restart::KilledInWrite(rng.random_range(1..600)))),
    Trouble::new("kill_on_torn_disk",     [2, 1],  |rng, _| Fault::Restart(Restart::KilledOnTornDisk(rng.random_range(1..1200)))),
    Trouble::new("kill_behind_send",      [4, 3],  |_, _|   Fault::Restart(Restart::KilledBehindSend)),
    Trouble::new("signals",               [0, 14], |rng, _| signal_series(rng)),
    Trouble::new("reload",                [0, 3],  |_, _|   Fault::Reload),
    // Endpoints: silent, closed, reset under requests and long after, spoilt and late answers, waits, drains, late connections.
    Trouble::new("endpoint_hangs",        [4, 6],  |rng, n| endpoint(rng, n, EndpointFault::Hangs, 200..4000)),
    Trouble::new("endpoint_disconnects",  [3, 2],  |rng, n| endpoint(rng, n, EndpointFault::Disconnects, 200..2000)),
    Trouble::new("endpoint_rejects",      [3, 3],  rejects),
    Trouble::new("endpoint_drains",       [3, 4],  |rng, n| endpoint(rng, n, EndpointFault::Drains, 200..4000)),
    Trouble::new("endpoint_resets",       [0, 3],  resets),
    Trouble::new("endpoint_500",          [0, 2],  |rng, n| endpoint(rng, n, EndpointFault::RespondsWith(500), 200..1500)),
    Trouble::new("endpoint_410",          [0, 1],  |rng, n| endpoint(rng, n, EndpointFault::RespondsWith(410), 50..400)),
    Trouble::new("endpoint_504",          [0, 1],  |rng, n| endpoint(rng, n, EndpointFault::RespondsWith(504), 50..600)),
    Trouble::new("endpoint_half_line",    [0, 4],  |rng, n| endpoint(rng, n, EndpointFault::StopsInStatusLine, 200..2000)),
    Trouble::new("endpoint_late",         [0, 8],  late_responses),
    Trouble::new("endpoint_closes_idle",  [0, 3],  |rng, n| endpoint(rng, n, EndpointFault::ClosesIdle, 500..4000)),
    Trouble::new("endpoint_accepts_late", [0, 3],  |rng, n| endpoint(rng, n, EndpointFault::AcceptsLate, 500..3000)),
    // Discovery: slow, silent and down, also over a restart; notifications unanswered.
    Trouble::new("agent_no_answer",       [0, 3],  |rng, _| agent(rng, AgentBehaviour::LeavesNotifications, 200..2000)),
    Trouble::new("agent_late_answer",     [0, 3],  |rng, _| late_answers(rng)),
    Trouble::new("agent_breaks",          [0, 3],  |rng, _| agent(rng, AgentBehaviour::BreaksNotifications, 200..2000)),
    Trouble::new("discovery_down",        [0, 3],  |rng, _| agent(rng, AgentBehaviour::WithholdsLists, 1000..6000)),
    Trouble::new("lists_torn",            [0, 2],  |rng, _| agent(rng, AgentBehaviour::TearsLists, 500..3000)),
    // Other clients: idle ones that fill the descriptors, such that send, leave, and come back at once.
    Trouble::new("crowd_idle",            [0, 4],  |rng, _| crowd(rng, |rng| Crowd::Idle(rng.random_range(60..140)))),
    Trouble::new("crowd_leaving",         [0, 3],  |rng, _| crowd(rng, |_| Crowd::Leaving)),
];

/// Linux's error numbers.
const DISK_ERRORS: [i32; 2] = [5, 28];
const ACCEPT_ERRORS: [i32; 4] = [103, 23, 24, 105];
const SOCKET_ERRORS: [i32; 3] = [23, 105, 12];
const CONNECT_ERRORS: [i32; 3] = [99, 101, 11];
const OPTION_ERRORS: [i32; 1] = [105];

/// Moments of a shutdown about which signals come, behind SIGTERM: the listener closes, nothing new is sent, the end, the last
/// flush.
const SHUTDOWN_MOMENTS_MS: [u64; 5] = [0, 450, 2200, 3350, 3500];
/// Last time of a signal ahead of the kill.
const LAST_STEP_MS: u64 = 3690;

/// Draws a trouble of a profile, with so many endpoints; its name and the fault.
pub(super) fn draw(rng: &mut ChaCha8Rng, profile: Profile, endpoints: usize) -> (&'static str, Fault) {
    let drawn = TROUBLES.choose_weighted(rng, |trouble| trouble.weight(profile));
    let trouble = drawn.unwrap_or(&TROUBLES[0]);
    (trouble.name, (trouble.draw)(rng, endpoints))
}

fn ms(rng: &mut ChaCha8Rng, range: Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}

fn errno(rng: &mut ChaCha8Rng, errors: &[i32]) -> Effect {
    Effect::Error(errors.choose(rng).copied().unwrap_or(5))
}

fn calls(call: Call, effect: Effect, count: u64, lasts: Duration) -> Fault {
    Fault::Calls { call, effect, count, lasts }
}

fn wall_clock_step(rng: &mut ChaCha8Rng) -> Fault {
    let seconds = [1, 7, 3600].choose(rng).copied().unwrap_or(1);
    Fault::WallClock { ahead: rng.random_bool(0.5), offset: Duration::from_secs(seconds) }
}

fn torn_writes(rng: &mut ChaCha8Rng) -> Fault {
    let torn = Effect::Torn { bytes: rng.random_range(1..900), errno: 5 };
    calls(Call::FileWrite, torn, rng.random_range(1..4), ms(rng, 50..1500))
}

fn torn_renames(rng: &mut ChaCha8Rng) -> Fault {
    let torn = Effect::Torn { bytes: rng.random_range(0..2), errno: 5 };
    calls(Call::FileRename, torn, 2, ms(rng, 50..1500))
}

fn endpoint(rng: &mut ChaCha8Rng, endpoints: usize, fault: EndpointFault, span: Range<u64>) -> Fault {
    Fault::Endpoint { endpoint: rng.random_range(0..endpoints), fault, lasts: ms(rng, span) }
}

fn rejects(rng: &mut ChaCha8Rng, endpoints: usize) -> Fault {
    let wait = if rng.random_bool(0.3) { ms(rng, 1000..3000) } else { ms(rng, 50..400) };
    endpoint(rng, endpoints, EndpointFault::Rejects(wait), 200..1500)
}

fn resets(rng: &mut ChaCha8Rng, endpoints: usize) -> Fault {
    let after = if rng.random_bool(0.5) { Duration::ZERO } else { ms(rng, 50..1500) };
    endpoint(rng, endpoints, EndpointFault::Resets(after), 200..2000)
}

fn late_responses(rng: &mut ChaCha8Rng, endpoints: usize) -> Fault {
    let behind = if rng.random_bool(0.7) { ms(rng, 0..3) } else { ms(rng, 3..200) };
    endpoint(rng, endpoints, EndpointFault::RespondsLate(behind), 500..4000)
}

fn agent(rng: &mut ChaCha8Rng, behaviour: AgentBehaviour, span: Range<u64>) -> Fault {
    Fault::Agent { behaviour, lasts: ms(rng, span) }
}

fn late_answers(rng: &mut ChaCha8Rng) -> Fault {
    let behaviour = AgentBehaviour::AnswersNotificationsLate(ms(rng, 20..900));
    agent(rng, behaviour, 200..2000)
}

fn crowd(rng: &mut ChaCha8Rng, kind: fn(&mut ChaCha8Rng) -> Crowd) -> Fault {
    Fault::Crowd { crowd: kind(rng), lasts: ms(rng, 500..5000) }
}

fn signal_series(rng: &mut ChaCha8Rng) -> Fault {
    let rounds = rng.random_range(1..4);
    Fault::Signals((0..rounds).map(|_| signal_round(rng)).collect())
}

fn signal_round(rng: &mut ChaCha8Rng) -> SignalRound {
    let is_graceful = rng.random_bool(0.75);
    let count = if is_graceful { rng.random_range(0..5) } else { 0 };
    let mut steps: Vec<(Duration, SignalStep)> =
        (0..count).map(|_| (step_time(rng), signal_step(rng))).collect();
    steps.sort_by_key(|(at, _)| *at);
    let kills = [0, 0, 0, 1, 2].choose(rng).copied().unwrap_or(0);
    SignalRound {
        after_ready: ms(rng, 50..2000),
        steps,
        is_graceful,
        kills_in_recovery: (0..kills).map(|_| rng.random_range(0..2000)).collect(),
        terminated_at_exec: rng.random_bool(0.15),
    }
}

/// A time near one of the moments of a shutdown, or any other.
fn step_time(rng: &mut ChaCha8Rng) -> Duration {
    let moment = SHUTDOWN_MOMENTS_MS.choose(rng).copied().unwrap_or(0);
    let near = moment + rng.random_range(0..30);
    let time = if rng.random_bool(0.6) { near } else { rng.random_range(0..LAST_STEP_MS) };
    Duration::from_millis(time.min(LAST_STEP_MS))
}

fn signal_step(rng: &mut ChaCha8Rng) -> SignalStep {
    match rng.random_range(0..7) {
        0 | 1 => SignalStep::Terminate,
        2 => SignalStep::Interrupt,
        3 => SignalStep::Reload,
        4 => SignalStep::ReloadElsewhere,
        5 => SignalStep::HoldUp(ms(rng, 20..150)),
        _ => SignalStep::ConnectBurst,
    }
}
