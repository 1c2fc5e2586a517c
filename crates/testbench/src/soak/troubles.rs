//! The kinds of faults with their probabilities and durations, one line for each kind that the standing page lists.

use super::faults::{Crowd, EndpointFault, Fault, Restart, SignalRound, SignalStep};
use super::plan::Profile;
use cloverstile_fakes::platform::{AgentBehaviour, MixedResponses, RepeatedResponse, ResponsePart, Surplus};
use cloverstile_fault_injection::{Call, Effect};
use rand::seq::IndexedRandom;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::ops::Range;
use std::time::Duration;

/// A kind of fault, which draws faults with random parameters.
pub(super) struct FaultKind {
    /// Name of the kind, as the summary prints it.
    pub name: &'static str,
    /// Weights with which it is drawn, by profile: [`Profile::MachineFaults`], [`Profile::Soak`].
    weights: [u32; 2],
    /// Draws a fault; the number is that of the endpoints.
    draw: fn(&mut ChaCha8Rng, usize) -> Fault,
}

impl FaultKind {
    const fn new(name: &'static str, weights: [u32; 2], draw: fn(&mut ChaCha8Rng, usize) -> Fault) -> Self {
        FaultKind { name, weights, draw }
    }

    fn weight(&self, profile: Profile) -> u32 {
        self.weights[profile as usize]
    }
}

/// All kinds. Ranges of times are in milliseconds. The order of entries and draws decides the plan of a seed.
#[rustfmt::skip]
const FAULT_KINDS: &[FaultKind] = &[
    // Machine: stepped clocks, failing disks and system calls, torn writes, paused processes, busy cores.
    FaultKind::new("wall_clock_step",       [10, 3], |rng, _| wall_clock_step(rng)),
    FaultKind::new("disk_error",            [7, 3],  |rng, _| call_fault(Call::FileWrite, error_effect(rng, &DISK_ERRORS), u64::MAX, ms(rng, 50..1500))),
    FaultKind::new("disk_torn",             [7, 3],  |rng, _| torn_writes(rng)),
    FaultKind::new("disk_cut_error",        [2, 1],  |rng, _| call_fault(Call::FileTruncate, error_effect(rng, &DISK_ERRORS), u64::MAX, ms(rng, 50..1500))),
    FaultKind::new("disk_rename_torn",      [2, 1],  |rng, _| torn_renames(rng)),
    FaultKind::new("disk_short",            [2, 1],  |rng, _| call_fault(Call::FileWrite, Effect::Short(rng.random_range(1..200)), u64::MAX, ms(rng, 50..1500))),
    FaultKind::new("disk_slow",             [4, 2],  |rng, _| call_fault(Call::FileWrite, Effect::Delay(ms(rng, 5..150)), 3, ms(rng, 50..1500))),
    // The faults of sockets and the pauses are short: a message whose deadline passes meanwhile must be notified within 0.3 s.
    FaultKind::new("accept_error",          [5, 2],  |rng, _| call_fault(Call::Accept, error_effect(rng, &ACCEPT_ERRORS), rng.random_range(1..5), ms(rng, 20..250))),
    FaultKind::new("connect_error",         [2, 1],  |rng, _| call_fault(Call::Connect, error_effect(rng, &CONNECT_ERRORS), u64::MAX, ms(rng, 20..250))),
    FaultKind::new("socket_error",          [3, 1],  |rng, _| call_fault(Call::Socket, error_effect(rng, &SOCKET_ERRORS), u64::MAX, ms(rng, 20..250))),
    FaultKind::new("socket_option_error",   [2, 1],  |rng, _| call_fault(Call::SocketOption, error_effect(rng, &OPTION_ERRORS), u64::MAX, ms(rng, 20..250))),
    FaultKind::new("send_short",            [2, 1],  |rng, _| call_fault(Call::Send, Effect::Short(rng.random_range(1..20)), u64::MAX, ms(rng, 20..250))),
    FaultKind::new("receive_short",         [2, 1],  |rng, _| call_fault(Call::Receive, Effect::Short(rng.random_range(1..20)), u64::MAX, ms(rng, 20..250))),
    FaultKind::new("send_slow",             [3, 2],  |rng, _| call_fault(Call::Send, Effect::Delay(ms(rng, 20..150)), 2, ms(rng, 20..250))),
    FaultKind::new("hold_up_behind_clock",  [3, 4],  |rng, _| call_fault(Call::MonotonicClock, Effect::Delay(ms(rng, 20..150)), 2, ms(rng, 20..250))),
    FaultKind::new("hold_up",               [8, 6],  |rng, _| Fault::HoldUp(ms(rng, 20..150))),
    FaultKind::new("busy_cores",            [0, 2],  |rng, _| Fault::BusyCores { threads: rng.random_range(2..9), lasts: ms(rng, 500..3000) }),
    // Restarts: a single SIGTERM or SIGKILL, kills inside a write, right after a send or during recovery, sequences of signals.
    FaultKind::new("sigterm",               [7, 1],  |_, _|   Fault::Restart(Restart::Terminated)),
    FaultKind::new("sigterm_accept_error",  [2, 1],  |_, _|   Fault::Restart(Restart::TerminatedWhileAcceptsFail)),
    FaultKind::new("sigkill",               [5, 1],  |_, _|   Fault::Restart(Restart::Killed)),
    FaultKind::new("kill_in_write",         [2, 2],  |rng, _| Fault::Restart(Restart::KilledInWrite(rng.random_range(1..600)))),
    FaultKind::new("kill_on_torn_disk",     [2, 1],  |rng, _| Fault::Restart(Restart::KilledOnTornDisk(rng.random_range(1..1200)))),
    FaultKind::new("kill_behind_send",      [4, 3],  |_, _|   Fault::Restart(Restart::KilledBehindSend)),
    FaultKind::new("signals",               [0, 14], |rng, _| signal_series(rng)),
    FaultKind::new("reload",                [0, 3],  |_, _|   Fault::Reload),
    // Endpoints: no response, closed connections, connections reset at once or later, errors, cut and late responses, Retry-After, drains,
    // connections that are not accepted.
    FaultKind::new("endpoint_hangs",        [4, 6],  |rng, n| endpoint_fault(rng, n, EndpointFault::Hangs, 200..4000)),
    FaultKind::new("endpoint_disconnects",  [3, 2],  |rng, n| endpoint_fault(rng, n, EndpointFault::Disconnects, 200..2000)),
    FaultKind::new("endpoint_rejects",      [3, 3],  rejecting_endpoint),
    FaultKind::new("endpoint_drains",       [3, 4],  |rng, n| endpoint_fault(rng, n, EndpointFault::Drains, 200..4000)),
    FaultKind::new("endpoint_resets",       [0, 3],  resetting_endpoint),
    FaultKind::new("endpoint_500",          [0, 2],  |rng, n| endpoint_fault(rng, n, EndpointFault::RespondsWith(500), 200..1500)),
    FaultKind::new("endpoint_410",          [0, 1],  |rng, n| endpoint_fault(rng, n, EndpointFault::RespondsWith(410), 50..400)),
    FaultKind::new("endpoint_504",          [0, 1],  |rng, n| endpoint_fault(rng, n, EndpointFault::RespondsWith(504), 50..600)),
    FaultKind::new("endpoint_half_line",    [0, 4],  |rng, n| endpoint_fault(rng, n, EndpointFault::StopsInStatusLine, 200..2000)),
    FaultKind::new("endpoint_late",         [0, 8],  late_responses),
    FaultKind::new("endpoint_closes_idle",  [0, 3],  |rng, n| endpoint_fault(rng, n, EndpointFault::ClosesIdle, 500..4000)),
    FaultKind::new("endpoint_accepts_late", [0, 3],  |rng, n| endpoint_fault(rng, n, EndpointFault::AcceptsLate, 500..3000)),
    // Agents: unanswered, late and broken notifications; discovery down, also across a restart; truncated endpoint lists.
    FaultKind::new("agent_no_answer",       [0, 3],  |rng, _| agent_fault(rng, AgentBehaviour::LeavesNotifications, 200..2000)),
    FaultKind::new("agent_late_answer",     [0, 3],  |rng, _| late_notification_answers(rng)),
    FaultKind::new("agent_breaks",          [0, 3],  |rng, _| agent_fault(rng, AgentBehaviour::BreaksNotifications, 200..2000)),
    FaultKind::new("discovery_down",        [0, 3],  |rng, _| agent_fault(rng, AgentBehaviour::WithholdsLists, 1000..6000)),
    FaultKind::new("lists_torn",            [0, 2],  |rng, _| agent_fault(rng, AgentBehaviour::TearsLists, 500..3000)),
    // Connection floods: idle connections that use up file descriptors, and clients that submit, disconnect and reconnect.
    FaultKind::new("crowd_idle",            [0, 4],  |rng, _| crowd_fault(rng, |rng| Crowd::Idle(rng.random_range(60..140)))),
    FaultKind::new("crowd_leaving",         [0, 3],  |rng, _| crowd_fault(rng, |_| Crowd::Leaving)),
];

/// Kinds of bytes that belong to no request, drawn for [`Profile::Soak`] in addition to the faults above. Their draws come
/// from a generator of their own, so that the other faults of a seed stay the same.
#[rustfmt::skip]
const UNSOLICITED_KINDS: &[FaultKind] = &[
    // Endpoints: a response once or twice more, in two parts, a 408 on an idle connection, noise.
    FaultKind::new("endpoint_repeats",       [0, 12], |rng, n| repeating_endpoint(rng, n, Surplus::Copy, &REPEATED_STATUSES)),
    FaultKind::new("endpoint_repeats_twice", [0, 3],  |rng, n| repeating_endpoint(rng, n, Surplus::TwoCopies, &REPEATED_STATUSES)),
    FaultKind::new("endpoint_repeats_split", [0, 3],  |rng, n| repeating_endpoint(rng, n, Surplus::HalvedCopy, &REPEATED_STATUSES)),
    FaultKind::new("endpoint_408",           [0, 2],  |rng, n| repeating_endpoint(rng, n, Surplus::RequestTimeout, &[200])),
    FaultKind::new("endpoint_noise",         [0, 2],  |rng, n| repeating_endpoint(rng, n, Surplus::Noise, &[200])),
    // Agents: notifications acknowledged twice and the next request dropped; copies of endpoint lists.
    FaultKind::new("agent_repeats",          [0, 5],  |rng, _| { let delay = surplus_delay(rng); agent_fault(rng, AgentBehaviour::RepeatsAcknowledgements(delay), 1000..5000) }),
    FaultKind::new("lists_repeated",         [0, 3],  |rng, _| { let delay = surplus_delay(rng); agent_fault(rng, AgentBehaviour::RepeatsLists(delay), 1000..5000) }),
];

/// Kinds of responses that end a message or its attempts, of agents that are slow throughout, and series of pauses, drawn for
/// [`Profile::Soak`] in addition, from a generator of their own.
#[rustfmt::skip]
const FINAL_RESPONSE_KINDS: &[FaultKind] = &[
    // Endpoints: one status at once and alike, whole or in part, among slower deliveries.
    FaultKind::new("endpoint_mixed_410",   [0, 8], |rng, n| mixed_endpoint(rng, n, 410, &FINAL_PARTS)),
    FaultKind::new("endpoint_mixed_504",   [0, 3], |rng, n| mixed_endpoint(rng, n, 504, &FINAL_PARTS)),
    FaultKind::new("endpoint_mixed_503",   [0, 2], |rng, n| mixed_endpoint(rng, n, 503, &[ResponsePart::Whole])),
    FaultKind::new("endpoint_mixed_429",   [0, 2], |rng, n| mixed_endpoint(rng, n, 429, &[ResponsePart::Whole])),
    FaultKind::new("endpoint_mixed_200",   [0, 3], |rng, n| mixed_endpoint(rng, n, 200, &[ResponsePart::Whole])),
    FaultKind::new("agent_slow",           [0, 4], |rng, _| { let late = AgentBehaviour::AnswersNotificationsLate(ms(rng, 50..2000)); agent_fault(rng, late, 1000..9000) }),
    FaultKind::new("hold_up_series",       [0, 1], |rng, _| Fault::HoldUps(rng.random_range(2..6))),
];

/// Kinds of clients that take what they can get, or leave, drawn for [`Profile::Soak`] in addition, from a generator of their own.
#[rustfmt::skip]
const CLIENT_KINDS: &[FaultKind] = &[
    FaultKind::new("clients_unfinished",  [0, 4], |rng, _| { let count = rng.random_range(400..700); crowd_of(rng, Crowd::UnfinishedCommands { count, slow: false }) }),
    FaultKind::new("clients_slow",        [0, 3], |rng, _| { let count = rng.random_range(400..700); crowd_of(rng, Crowd::UnfinishedCommands { count, slow: true }) }),
    FaultKind::new("clients_short_field", [0, 2], |rng, _| { let count = rng.random_range(400..700); crowd_of(rng, Crowd::ShortFields { count }) }),
    FaultKind::new("clients_unread",      [0, 3], |rng, _| { let count = rng.random_range(50..400); crowd_of(rng, Crowd::UnreadReplies { count }) }),
    FaultKind::new("clients_rejected",    [0, 3], |rng, _| crowd_of(rng, Crowd::RejectedCommands)),
    FaultKind::new("clients_leave",       [0, 4], |rng, _| { let reset = rng.random_bool(0.5); crowd_of(rng, Crowd::LeavingUnread { reset }) }),
    FaultKind::new("clients_return",      [0, 6], |rng, _| { let after = ms(rng, 0..2500); crowd_of(rng, Crowd::Returning { after }) }),
];

/// Parts of a response that ends a message.
const FINAL_PARTS: [ResponsePart; 5] = [
    ResponsePart::Whole,
    ResponsePart::Whole,
    ResponsePart::TwoParts(Duration::from_millis(20)),
    ResponsePart::StatusLine,
    ResponsePart::Head,
];

/// Statuses of responses that are repeated, each as likely as it occurs here.
const REPEATED_STATUSES: [u16; 8] = [200, 200, 200, 200, 200, 503, 429, 500];

/// Linux error numbers for the file system: EIO, ENOSPC.
const DISK_ERRORS: [i32; 2] = [5, 28];
/// ECONNABORTED, ENFILE, EMFILE, ENOBUFS.
const ACCEPT_ERRORS: [i32; 4] = [103, 23, 24, 105];
/// ENFILE, ENOBUFS, ENOMEM.
const SOCKET_ERRORS: [i32; 3] = [23, 105, 12];
/// EADDRNOTAVAIL, ENETUNREACH, EAGAIN.
const CONNECT_ERRORS: [i32; 3] = [99, 101, 11];
/// ENOBUFS.
const OPTION_ERRORS: [i32; 1] = [105];

/// Times of a shutdown around which signals are sent, after SIGTERM: SIGTERM itself, the listener closes, no new requests are
/// sent, the end, the last flush.
const SHUTDOWN_STAGES_MS: [u64; 5] = [0, 450, 2200, 3350, 3500];
/// Latest time of a signal, just before SIGKILL at 3700 ms.
const MAX_STEP_MS: u64 = 3690;

/// Draws a fault of a profile, for this number of endpoints; returns the name of its kind and the fault.
pub(super) fn draw(rng: &mut ChaCha8Rng, profile: Profile, endpoints: usize) -> (&'static str, Fault) {
    draw_from(FAULT_KINDS, rng, profile, endpoints)
}

/// Draws a fault of bytes that belong to no request; returns the name of its kind and the fault.
pub(super) fn draw_unsolicited(rng: &mut ChaCha8Rng, endpoints: usize) -> (&'static str, Fault) {
    draw_from(UNSOLICITED_KINDS, rng, Profile::Soak, endpoints)
}

/// Draws a fault of responses that end a message, of slow agents, or a series of pauses.
pub(super) fn draw_final_response(rng: &mut ChaCha8Rng, endpoints: usize) -> (&'static str, Fault) {
    draw_from(FINAL_RESPONSE_KINDS, rng, Profile::Soak, endpoints)
}

/// Draws a fault of clients that take what they can get, or leave.
pub(super) fn draw_clients(rng: &mut ChaCha8Rng, endpoints: usize) -> (&'static str, Fault) {
    draw_from(CLIENT_KINDS, rng, Profile::Soak, endpoints)
}

fn draw_from(
    kinds: &[FaultKind],
    rng: &mut ChaCha8Rng,
    profile: Profile,
    endpoints: usize,
) -> (&'static str, Fault) {
    let drawn = kinds.choose_weighted(rng, |kind| kind.weight(profile));
    let kind = drawn.unwrap_or(&kinds[0]);
    (kind.name, (kind.draw)(rng, endpoints))
}

/// Time from a response to what is written behind it: in half of the cases a few milliseconds.
fn surplus_delay(rng: &mut ChaCha8Rng) -> Duration {
    let microseconds =
        if rng.random_bool(0.5) { rng.random_range(100..15_000) } else { rng.random_range(15_000..150_000) };
    Duration::from_micros(microseconds)
}

fn repeating_endpoint(rng: &mut ChaCha8Rng, endpoints: usize, surplus: Surplus, statuses: &[u16]) -> Fault {
    let repeat = RepeatedResponse {
        service_time: ms(rng, 0..80),
        status: statuses.choose(rng).copied().unwrap_or(200),
        delay: surplus_delay(rng),
        surplus,
        every: [1, 2, 10].choose(rng).copied().unwrap_or(1),
    };
    let duration_ms = if repeat.status == 200 { 1000..6000 } else { 100..800 };
    endpoint_fault(rng, endpoints, EndpointFault::Repeats(repeat), duration_ms)
}

fn mixed_endpoint(rng: &mut ChaCha8Rng, endpoints: usize, status: u16, parts: &[ResponsePart]) -> Fault {
    let mixed = MixedResponses {
        status,
        part: parts.choose(rng).copied().unwrap_or(ResponsePart::Whole),
        every: rng.random_range(2..8),
        service_time: ms(rng, 5..50),
        slow_service_time: ms(rng, 200..480),
        slow_every: rng.random_range(5..20),
    };
    endpoint_fault(rng, endpoints, EndpointFault::Mixed(mixed), 1000..6000)
}

/// A duration from a range in milliseconds.
fn ms(rng: &mut ChaCha8Rng, range: Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}

fn error_effect(rng: &mut ChaCha8Rng, errors: &[i32]) -> Effect {
    Effect::Error(errors.choose(rng).copied().unwrap_or(5))
}

fn call_fault(call: Call, effect: Effect, count: u64, lasts: Duration) -> Fault {
    Fault::Calls { call, effect, count, lasts }
}

fn wall_clock_step(rng: &mut ChaCha8Rng) -> Fault {
    let seconds = [1, 7, 3600].choose(rng).copied().unwrap_or(1);
    Fault::WallClock { ahead: rng.random_bool(0.5), offset: Duration::from_secs(seconds) }
}

fn torn_writes(rng: &mut ChaCha8Rng) -> Fault {
    let torn = Effect::Torn { bytes: rng.random_range(1..900), errno: 5 };
    call_fault(Call::FileWrite, torn, rng.random_range(1..4), ms(rng, 50..1500))
}

fn torn_renames(rng: &mut ChaCha8Rng) -> Fault {
    let torn = Effect::Torn { bytes: rng.random_range(0..2), errno: 5 };
    call_fault(Call::FileRename, torn, 2, ms(rng, 50..1500))
}

fn endpoint_fault(
    rng: &mut ChaCha8Rng,
    endpoints: usize,
    fault: EndpointFault,
    duration_ms: Range<u64>,
) -> Fault {
    Fault::Endpoint { endpoint: rng.random_range(0..endpoints), fault, lasts: ms(rng, duration_ms) }
}

fn rejecting_endpoint(rng: &mut ChaCha8Rng, endpoints: usize) -> Fault {
    let wait = if rng.random_bool(0.3) { ms(rng, 1000..3000) } else { ms(rng, 50..400) };
    endpoint_fault(rng, endpoints, EndpointFault::Rejects(wait), 200..1500)
}

fn resetting_endpoint(rng: &mut ChaCha8Rng, endpoints: usize) -> Fault {
    let after = if rng.random_bool(0.5) { Duration::ZERO } else { ms(rng, 50..1500) };
    endpoint_fault(rng, endpoints, EndpointFault::Resets(after), 200..2000)
}

fn late_responses(rng: &mut ChaCha8Rng, endpoints: usize) -> Fault {
    let delay = if rng.random_bool(0.7) { ms(rng, 0..3) } else { ms(rng, 3..200) };
    endpoint_fault(rng, endpoints, EndpointFault::RespondsLate(delay), 500..4000)
}

fn agent_fault(rng: &mut ChaCha8Rng, behaviour: AgentBehaviour, duration_ms: Range<u64>) -> Fault {
    Fault::Agent { behaviour, lasts: ms(rng, duration_ms) }
}

fn late_notification_answers(rng: &mut ChaCha8Rng) -> Fault {
    let behaviour = AgentBehaviour::AnswersNotificationsLate(ms(rng, 20..900));
    agent_fault(rng, behaviour, 200..2000)
}

fn crowd_fault(rng: &mut ChaCha8Rng, kind: fn(&mut ChaCha8Rng) -> Crowd) -> Fault {
    Fault::Crowd { crowd: kind(rng), lasts: ms(rng, 500..5000) }
}

fn crowd_of(rng: &mut ChaCha8Rng, crowd: Crowd) -> Fault {
    Fault::Crowd { crowd, lasts: ms(rng, 500..5000) }
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

/// The time of a step after SIGTERM: in most cases close to a stage of the shutdown, otherwise any time before SIGKILL.
fn step_time(rng: &mut ChaCha8Rng) -> Duration {
    let stage = SHUTDOWN_STAGES_MS.choose(rng).copied().unwrap_or(0);
    let near = stage + rng.random_range(0..30);
    let time = if rng.random_bool(0.6) { near } else { rng.random_range(0..MAX_STEP_MS) };
    Duration::from_millis(time.min(MAX_STEP_MS))
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
