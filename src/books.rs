//! What a courier keeps in mind: types and sums only. Every decision and tuned value is in `choice.rs`.

use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A message between its hand-in and its end (and the end of its last attempt).
pub struct Message {
    pub taken: Submission,
    pub born: Time,
    pub attempts: u32,
    /// The call that carries it now.
    pub out: Option<u64>,
    /// When the first attempt that may have run was sent, and where: it fixes window and group.
    pub maybe_ran: Option<(Time, Option<ZoneId>)>,
    pub not_before: Time,
    pub closed: bool,
    /// Beyond its tenant's share, and so worth little.
    pub over_share: bool,
    /// Accepted by an earlier process, which never tried it.
    pub left_untried: bool,
}

impl Message {
    /// An earlier process took it on and never tried it, nor did this one.
    pub fn is_left_untried(&self) -> bool {
        self.left_untried && self.attempts == 0
    }

    pub fn new(taken: Submission, born: Time, now: Time) -> Self {
        Message {
            taken,
            born,
            attempts: 0,
            out: None,
            maybe_ran: None,
            not_before: now,
            closed: false,
            over_share: false,
            left_untried: false,
        }
    }
}

/// A call out: one slot, one fate, however many messages it carries.
pub struct Call {
    pub route: RouteId,
    pub to: EndpointId,
    pub zone: ZoneId,
    pub sent: Time,
    pub carried: Vec<MessageId>,
    pub unanswered: usize,
    /// How long the connection that it went out on had been idle; none on a new or busy one.
    pub idle: Option<Duration>,
    pub stalled: bool,
    pub called_off: bool,
    /// It went out to learn whether an outage is over.
    pub trial: bool,
}

/// What has one limit, pace and outage: a destination, or one endpoint of it where routes are apart.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteId(pub DestinationId, pub Option<EndpointId>);

/// The routes of a destination.
pub fn routes_of(to: DestinationId) -> std::ops::RangeInclusive<RouteId> {
    RouteId(to, None)..=RouteId(to, Some(EndpointId(u32::MAX)))
}

/// What may be sent next: by which route to which endpoint, which message, at what value.
pub type Candidate = (RouteId, EndpointId, MessageId, f64);

pub struct Address {
    pub entry: Endpoint,
    pub calls_out: usize,
    /// Whose turn it is among endpoints that are else alike: the least. Begins by chance, for this courier only.
    pub turn: u64,
    pub failures: u32,
    pub avoid_until: Time,
    /// When a call last ended there with its connection left open.
    pub used: Option<Time>,
    /// Since when connections fail there, without an answer since.
    pub no_room: Option<Time>,
}

impl Address {
    pub fn new(entry: Endpoint, turn: u64) -> Self {
        let (avoid_until, used, no_room) = (Time::ZERO, None, None);
        Address { entry, calls_out: 0, turn, failures: 0, avoid_until, used, no_room }
    }
}

/// Takes a message out of the list that it stands in; no empty list is left.
pub fn take_out<K: Ord>(lists: &mut BTreeMap<K, Vec<MessageId>>, of: K, id: MessageId) {
    if let Some(list) = lists.get_mut(&of) {
        list.retain(|m| *m != id);
        if list.is_empty() {
            lists.remove(&of);
        }
    }
}

/// Couriers that share the destinations: an even part is one over this.
pub fn couriers(settings: &Settings) -> f64 {
    f64::from(settings.instance_count.max(1))
}

/// The sooner of two times, where there is one.
pub fn earliest(next: &mut Option<Time>, at: Option<Time>) {
    *next = [*next, at].into_iter().flatten().min();
}

/// Moves a mean towards a sample.
pub fn lean(mean: &mut f64, sample: f64, gain: f64) {
    *mean += gain * (sample - *mean);
}

/// Running mean and mean deviation of latencies, in seconds.
#[derive(Clone, Copy, Default)]
pub struct Latency {
    pub mean: f64,
    pub deviation: f64,
    pub samples: u32,
}

impl Latency {
    pub fn learn(&mut self, sample: Duration, least_gain: f64) {
        let (sample, gain) = (sample.as_secs_f64(), least_gain.max(1.0 / f64::from(self.samples + 2)));
        lean(&mut self.deviation, (sample - self.mean).abs(), gain);
        lean(&mut self.mean, sample, gain);
        self.samples += 1;
    }

    /// So many times the mean and the deviation together.
    pub fn times(&self, multiple: f64) -> f64 {
        (self.mean + self.deviation) * multiple
    }
}

/// A count of events that fades with time.
#[derive(Default)]
pub struct Decaying {
    pub count: f64,
    pub at: Time,
}

impl Decaying {
    /// Events a second over about `span` seconds; `more` are added first.
    pub fn rate(&mut self, now: Time, span: f64, more: f64) -> f64 {
        self.count = self.count * (-(now - self.at).as_secs_f64() / span).exp() + more;
        self.at = now;
        self.count / span
    }
}

/// A time without any success on a route, from its last success on: silence alone, until a call fails.
#[derive(Default)]
pub struct Spell {
    pub began: Time,
    pub next_trial: Time,
    pub trials: u32,
    /// Some call failed or was refused; else it is silence alone.
    pub failed: bool,
    /// Calls were lost or are silent, not just refused.
    pub lost: bool,
}

/// Pace and health of a route: one mechanism for limits, outages and cold return.
#[derive(Default)]
pub struct Route {
    /// Calls a second that it takes from all couriers together, as told.
    pub weight: f64,
    pub endpoints: Vec<EndpointId>,
    pub kind: KindId,
    /// Messages that one call may carry.
    pub batch: usize,
    pub rate: f64,
    /// Calls stay where a connection is open, as taking turns would let connections lapse.
    pub stays: bool,
    pub tokens: f64,
    pub filled: Time,
    pub bound: bool,
    /// Its pace alone speaks against one more call.
    pub paced: bool,
    /// Listed for one call at a time.
    pub gentle: bool,
    pub last_cut: Time,
    /// Cuts since the last success.
    pub cuts: usize,
    /// Calls sent of late, and messages taken over about the time that a cold return lasts.
    pub sent: Decaying,
    pub demand: Decaying,
    /// Calls served over about the time that a cold return lasts.
    pub served: Decaying,
    /// Calls served a second, as of the last success and without it; held up through an outage and its return.
    pub share: f64,
    pub told_wait: Time,
    pub latency: Latency,
    pub last_answer: Time,
    pub evidence: u32,
    pub spell: Option<Spell>,
    /// When the slow start began, if one is on.
    pub returned: Option<Time>,
    /// Calls out, the oldest first.
    pub out: BTreeSet<u64>,
}

/// What is learned over all destinations of a kind, as a courier meets each of them too seldom.
#[derive(Default)]
pub struct Habits {
    /// How likely an endpoint has no room for a connection.
    pub crowding: f64,
    /// How likely a refusal is followed by another one with nothing left of the limit.
    pub jam: f64,
}

/// Whether idle connections are being dropped unseen, so that the next call on one is lost. Process-wide, as
/// one courier meets each partner too seldom to learn it there.
#[derive(Default)]
pub struct Reaping {
    pub risk: f64,
    /// Risk of losing a call on a new connection: what is lost there is not for idleness.
    pub other: f64,
    /// Shortest idle time that lost a call.
    pub idle: Duration,
    pub next_check: Time,
}
