//! Which of a partner's sites a message is for, and when a returning one may be called. Free of I/O and of clocks.
//!
//! A partner may serve from several sites, its tiers, in an order of preference. The planner gives each message its
//! tier at its hand-in: the first one, unless that is lost; then a stated share, and no more, spills to the next, and
//! the rest waits where it is. What already waited when a tier was lost is asked about once more, at the pace at which
//! new messages come; the engine tells which of it may still change its tier. What became of calls tells whether a
//! tier is lost, and back. While it is lost, and while it is cold after that, its door opens only in this courier's
//! own slots. The module decides all else: health and pace of each site, repeats, the final answer.
#![forbid(unsafe_code)]

mod gate;
mod zone;

use cloverstile::{AttemptOutcome, DestinationId, EndpointId, Time, ZoneId};
pub use gate::FleetParameters;
use gate::{Served, Slot};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use zone::Zone;

/// Lost calls in a row, without an answer between them, after which a tier may count as lost: a light courier has few.
const LOST_CALLS: u32 = 2;
/// A tier that is lost again while it returns takes this many times as long to return ...
const FLAP_FACTOR: u32 = 2;
/// ... up to this many times the stated ramp.
const FLAP_MOST: u32 = 8;
/// Messages of spill that may be saved up: the share holds at every moment, not on the mean of a day.
const SPILL_SAVED: f64 = 1.0;
/// A door stays while each slot finds work waiting, up to so many times the cold time: what has gathered behind it
/// would else come all at once, and from all couriers at the same moment.
const GATED_MOST: u32 = 3;
/// Weight of the newest gap between hand-ins in the mean one.
const GAP_GAIN: f64 = 0.1;

/// What the settings say of a partner's tiers.
#[derive(Clone, Debug)]
pub struct TierConfig {
    /// The destination of each tier, the preferred one first. The first also names the partner.
    pub destinations: Vec<DestinationId>,
    /// Where each tier stands. What is lost in one place at several partners is taken for a loss of the place.
    pub zones: Vec<ZoneId>,
    /// Calls a second that each tier takes from all couriers together when it is warm; zero where nobody knows.
    pub capacities: Vec<f64>,
    /// Share of the messages for a lost tier that goes to the next one, from 0 to 1.
    pub spill_share: f64,
    /// Messages a second of this courier that may spill at most; none: the share alone binds.
    pub spill_rate: Option<f64>,
    /// A tier counts as lost only after so long without an answer.
    pub down_after: Duration,
    /// From a lost tier's first answer until nothing of it spills any more.
    pub recovery_ramp: Duration,
}

/// How a call ended, as far as tiers are concerned.
#[derive(Clone, Copy, Debug)]
pub struct RequestResult {
    /// The tier that it went to.
    pub destination: DestinationId,
    /// The address that it went to.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// Since it was sent.
    pub latency: Duration,
}

/// What an engine asks of whoever spreads messages over tiers. [`FailoverPlanner`] is the one in service; others are there
/// to be compared with it.
pub trait FailoverPolicy: Send {
    /// The tier for a message handed in now for a partner, named by its first destination.
    fn select_tier(&mut self, now: Time, partner: DestinationId) -> DestinationId;
    /// A call ended.
    fn on_request_completed(&mut self, now: Time, call: RequestResult);
    /// How the tiers of a partner stand, the preferred one first; empty where it has but one.
    fn tier_statuses(&self, partner: DestinationId) -> Vec<TierStatus>;
    /// Whether a partner has several tiers.
    fn has_tiers(&self, _: DestinationId) -> bool {
        true
    }
    /// How one tier of a partner stands, where that is known.
    fn tier_status(&self, _partner: DestinationId, _tier: DestinationId) -> Option<TierStatus> {
        None
    }
    /// Destinations whose door opens, closes or goes now.
    fn update_gates(&mut self, _: Time) -> Vec<DestinationId> {
        Vec::new()
    }
    /// The state of a destination's recovery gate. None: it has no gate.
    fn gate(&self, _: DestinationId) -> Option<GateState> {
        None
    }
    /// A call was sent to a destination.
    fn on_request_sent(&mut self, _: Time, _: DestinationId) {}
    /// A lost tier of which one more waiting message is to be chosen for again, with the partner that it is of.
    fn next_reassignment(&mut self, _: Time) -> Option<Reassignment> {
        None
    }
    /// When [`FailoverPolicy::update_gates`] or [`FailoverPolicy::next_reassignment`] next have something to say.
    fn next_timeout(&self) -> Option<Time> {
        None
    }
}

/// The state of a recovery gate, which limits what is sent to a tier that recovers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateState {
    /// One request at a time may be sent.
    Open,
    /// Nothing may be sent.
    Closed,
}

/// A request to select a tier again for one message that waits for a tier that is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reassignment {
    /// The tier that is down.
    pub tier: DestinationId,
    /// The partner that it belongs to, named by its first destination.
    pub partner: DestinationId,
}

/// How a tier stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TierStatus {
    /// It answers.
    Up,
    /// It does not, since then.
    Down(Time),
    /// It answers again, since then; less spills with time.
    Recovering(Time),
}

struct Tier {
    standing: TierStatus,
    last_answer: Time,
    /// Lost calls since the last answer.
    lost_calls: u32,
    /// No call has ended yet.
    fresh: bool,
    /// Ramps that it takes to return, more after each flap.
    slowness: u32,
    /// Times that it was lost.
    losses: u32,
    /// Spill earned by messages and not used.
    credit: f64,
    /// Spill that the rate permits, and since when.
    tokens: f64,
    filled: Time,
    /// It answered again then, after it may have been away long enough to be cold.
    cold_since: Option<Time>,
    /// What of it was served to this courier before.
    served: Served,
    /// Slots pass unused since then.
    unused_since: Option<Time>,
    door: Option<Door>,
    /// When the next waiting message may be chosen for again.
    again_at: Option<Time>,
}

/// The door of a tier that is, or was just, without an answer.
struct Door {
    open: bool,
    /// A call went through since it was opened.
    used: bool,
    /// Calls a second that were served to this courier when the door came.
    served: f64,
    slot: Slot,
}

impl Tier {
    fn new(now: Time) -> Self {
        Tier {
            standing: TierStatus::Up,
            last_answer: now,
            lost_calls: 0,
            fresh: true,
            slowness: 1,
            losses: 0,
            credit: 0.0,
            tokens: SPILL_SAVED,
            filled: now,
            cold_since: None,
            served: Served::default(),
            unused_since: None,
            door: None,
            again_at: None,
        }
    }

    /// Silent for so long that it may come back cold. One lost call is enough to be careful: a light courier that
    /// waited for more would join the others' return without a slot.
    fn may_be_cold(&self, now: Time, fleet: &FleetParameters) -> bool {
        self.lost_calls > 0 && (self.fresh || now - self.last_answer > fleet.max_transient_outage)
    }

    fn is_gated(&self, now: Time, fleet: &FleetParameters) -> bool {
        // One unused slot may be the module's own pace, or a message's gap. With slots rarer than that, few messages
        // can have gathered.
        let light = self.door.as_ref().is_none_or(|door| door.slot.cycle > fleet.max_transient_outage);
        let idle = light || self.unused_since.is_some_and(|since| now - since >= fleet.max_transient_outage);
        let until = |since: Time| since + fleet.warm_up_time * if idle { 1 } else { GATED_MOST };
        self.may_be_cold(now, fleet) || self.cold_since.is_some_and(|since| now < until(since))
    }
}

struct Partner {
    tiers: TierConfig,
    state: Vec<Tier>,
    /// Mean gap between hand-ins, and the last one.
    gap: Duration,
    handed: Time,
}

/// The planner of one courier.
#[derive(Default)]
pub struct FailoverPlanner {
    fleet: FleetParameters,
    partners: BTreeMap<DestinationId, Partner>,
    /// Partner and place of each tier's destination.
    places: BTreeMap<DestinationId, (DestinationId, usize)>,
    /// Tiers with a door, or with waiting messages to be chosen for again.
    watched: BTreeSet<DestinationId>,
    zones: BTreeMap<ZoneId, Zone>,
}

impl FailoverPlanner {
    /// A planner that knows these partners; all others have one tier, and it leaves them alone.
    pub fn new(now: Time, fleet: FleetParameters, partners: Vec<TierConfig>) -> Self {
        let mut planner = FailoverPlanner { fleet, ..FailoverPlanner::default() };
        for tiers in partners {
            let Some(&name) = tiers.destinations.first() else { continue };
            for (place, destination) in tiers.destinations.iter().enumerate() {
                planner.places.insert(*destination, (name, place));
                if let Some(zone) = tiers.zones.get(place) {
                    planner.zones.entry(*zone).or_default().tiers.push(*destination);
                }
            }
            let state = tiers.destinations.iter().map(|_| Tier::new(now)).collect();
            let gap = tiers.down_after;
            planner.partners.insert(name, Partner { tiers, state, gap, handed: now });
        }
        planner
    }

    fn tier_mut(&mut self, destination: DestinationId) -> Option<&mut Tier> {
        let (partner, place) = self.places.get(&destination)?;
        self.partners.get_mut(partner)?.state.get_mut(*place)
    }

    /// Gives a tier a door if it needs one, and remembers to look at it.
    fn watch(&mut self, now: Time, destination: DestinationId) {
        let Some((partner, place)) = self.places.get(&destination) else { return };
        let Some(Partner { tiers, state, .. }) = self.partners.get_mut(partner) else { return };
        let (tier, rate) = (&mut state[*place], tiers.capacities.get(*place).copied().unwrap_or_default());
        if tier.door.is_none() && rate > 0.0 && tier.is_gated(now, &self.fleet) {
            let served = tier.served.add(now, 0.0, self.fleet.warm_up_time);
            let slot = gate::next(&self.fleet, now, rate, served, self.fleet.warmth(now, tier.cold_since));
            tier.door =
                Some(Door { open: true, used: true, served, slot: Slot { from: now, until: now, ..slot } });
        }
        if tier.door.is_some() || tier.again_at.is_some() {
            self.watched.insert(destination);
        }
    }

    /// A tier's whole zone was lost, or answers again. A tier that answered a moment ago is not concerned.
    fn note_zone(&mut self, now: Time, destination: DestinationId, back: bool) {
        let fleet = &self.fleet;
        let Some((partner, place)) = self.places.get(&destination) else { return };
        let Some(Partner { tiers, state, .. }) = self.partners.get_mut(partner) else { return };
        let tier = &mut state[*place];
        if back && matches!(tier.standing, TierStatus::Down(_)) {
            answered(now, fleet, tiers, tier);
            // That was another partner's answer: this site may still be without one of its own.
            tier.fresh = true;
        } else if !back && (tier.fresh || now - tier.last_answer > fleet.max_transient_outage) {
            tier.lost_calls = tier.lost_calls.max(LOST_CALLS - 1);
            lost(now, fleet, tiers, tier, u64::from(partner.0));
        }
        self.watch(now, destination);
    }

    fn tier(&self, destination: DestinationId) -> Option<&Tier> {
        let (partner, place) = self.places.get(&destination)?;
        self.partners.get(partner)?.state.get(*place)
    }
}

impl FailoverPolicy for FailoverPlanner {
    fn select_tier(&mut self, now: Time, partner: DestinationId) -> DestinationId {
        let Some(Partner { tiers, state, gap, handed }) = self.partners.get_mut(&partner) else {
            return partner;
        };
        *gap = gap.mul_f64(1.0 - GAP_GAIN) + (now - *handed).min(tiers.down_after).mul_f64(GAP_GAIN);
        *handed = now;
        let last = tiers.destinations.len() - 1;
        let chosen = (0..last).find(|place| !spills(now, tiers, &mut state[*place])).unwrap_or(last);
        tiers.destinations[chosen]
    }

    fn on_request_completed(&mut self, now: Time, call: RequestResult) {
        let Some((partner, place)) = self.places.get(&call.destination).copied() else { return };
        let Some(Partner { tiers, state, .. }) = self.partners.get_mut(&partner) else { return };
        let Some(tier) = state.get_mut(place) else { return };
        let sent = now - call.latency;
        let zone = tiers.zones.get(place).and_then(|zone| self.zones.get_mut(zone));
        let mut with = Vec::new();
        match call.outcome {
            AttemptOutcome::Ok => {
                answered(now, &self.fleet, tiers, tier);
                tier.served.add(now, 1.0, self.fleet.warm_up_time);
                if let Some(zone) = zone {
                    with = if zone.answered(now) { zone.tiers.clone() } else { Vec::new() };
                }
            }
            // Sent before the last answer, it says nothing new. A refusal and an error are answers of a site that is
            // there, though it may be shut: the module's pace and trials meet those.
            AttemptOutcome::Timeout
            | AttemptOutcome::Reset
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::Abandoned
                if sent >= tier.last_answer =>
            {
                lost(now, &self.fleet, tiers, tier, u64::from(partner.0));
                if let Some(zone) = zone {
                    let begins = zone.lost_call(now, partner, sent, tiers.down_after);
                    with = if begins { zone.tiers.clone() } else { Vec::new() };
                }
            }
            _ => {}
        }
        self.watch(now, call.destination);
        for neighbour in with.into_iter().filter(|neighbour| *neighbour != call.destination) {
            self.note_zone(now, neighbour, call.outcome == AttemptOutcome::Ok);
        }
    }

    fn tier_statuses(&self, partner: DestinationId) -> Vec<TierStatus> {
        self.partners
            .get(&partner)
            .map_or(Vec::new(), |partner| partner.state.iter().map(|t| t.standing).collect())
    }

    fn has_tiers(&self, partner: DestinationId) -> bool {
        self.partners.contains_key(&partner)
    }

    fn tier_status(&self, _: DestinationId, tier: DestinationId) -> Option<TierStatus> {
        self.tier(tier).map(|tier| tier.standing)
    }

    fn update_gates(&mut self, now: Time) -> Vec<DestinationId> {
        let mut changed = Vec::new();
        let mut over = Vec::new();
        for destination in &self.watched {
            let Some((partner, place)) = self.places.get(destination) else { continue };
            let Some(Partner { tiers, state, .. }) = self.partners.get_mut(partner) else { continue };
            let (tier, rate) =
                (&mut state[*place], tiers.capacities.get(*place).copied().unwrap_or_default());
            let (gated, warmth) = (tier.is_gated(now, &self.fleet), self.fleet.warmth(now, tier.cold_since));
            if let Some(door) = &mut tier.door {
                let was = door.open;
                if gated && now >= door.slot.until || door.slot.calls == 0 {
                    // A slot that passed before it was opened tells nothing.
                    match (door.used, door.open) {
                        (true, _) => tier.unused_since = None,
                        (false, true) => tier.unused_since = tier.unused_since.or(Some(now)),
                        (false, false) => {}
                    }
                    door.slot = gate::next(&self.fleet, now, rate, door.served, warmth);
                    (door.open, door.used) = (false, false);
                }
                door.open |= now >= door.slot.from && now < door.slot.until && door.slot.calls > 0;
                if door.open != was || !gated {
                    changed.push(*destination);
                }
            }
            tier.door.take_if(|_| !gated);
            tier.again_at.take_if(|_| !matches!(tier.standing, TierStatus::Down(_)));
            if tier.door.is_none() && tier.again_at.is_none() {
                over.push(*destination);
            }
        }
        for destination in over {
            self.watched.remove(&destination);
        }
        changed
    }

    fn gate(&self, destination: DestinationId) -> Option<GateState> {
        let door = self.tier(destination)?.door.as_ref()?;
        Some(if door.open && door.slot.calls > 0 { GateState::Open } else { GateState::Closed })
    }

    fn on_request_sent(&mut self, _: Time, destination: DestinationId) {
        let Some(door) = self.tier_mut(destination).and_then(|tier| tier.door.as_mut()) else { return };
        door.used = true;
        door.slot.calls = door.slot.calls.saturating_sub(1);
        if door.slot.calls == 0 {
            door.slot.until = door.slot.from;
        }
    }

    fn next_reassignment(&mut self, now: Time) -> Option<Reassignment> {
        for destination in &self.watched {
            let Some((partner, place)) = self.places.get(destination) else { continue };
            let Some(Partner { tiers, state, gap, .. }) = self.partners.get_mut(partner) else { continue };
            let tier = &mut state[*place];
            if tier.again_at.is_some_and(|at| at <= now) && matches!(tier.standing, TierStatus::Down(_)) {
                tier.again_at = Some(now + (*gap).clamp(Duration::from_millis(1), tiers.down_after));
                return Some(Reassignment { tier: *destination, partner: *partner });
            }
        }
        None
    }

    fn next_timeout(&self) -> Option<Time> {
        let of = |destination: &DestinationId| {
            let tier = self.tier(*destination)?;
            let door =
                tier.door.as_ref().map(|door| if door.open { door.slot.until } else { door.slot.from });
            [door, tier.again_at].into_iter().flatten().min()
        };
        self.watched.iter().filter_map(of).min()
    }
}

/// Whether the next message for a tier goes on to the one behind it.
fn spills(now: Time, tiers: &TierConfig, tier: &mut Tier) -> bool {
    let share = match tier.standing {
        TierStatus::Up => return false,
        TierStatus::Down(_) => tiers.spill_share,
        TierStatus::Recovering(since) => {
            let whole = (tiers.recovery_ramp * tier.slowness).as_secs_f64().max(0.001);
            let part = (now - since).as_secs_f64() / whole;
            if part >= 1.0 {
                (tier.standing, tier.slowness, tier.credit) = (TierStatus::Up, 1, 0.0);
                return false;
            }
            tiers.spill_share * (1.0 - part)
        }
    };
    // Whole messages of the share, in even steps: no window sees more than its share and one message.
    // The fraction over a whole one is kept: cutting it off would let a third through where 0.43 is stated.
    let share = share.clamp(0.0, 1.0);
    tier.credit = (tier.credit + share).min(SPILL_SAVED + share);
    if let Some(rate) = tiers.spill_rate {
        tier.tokens = (tier.tokens + (now - tier.filled).as_secs_f64() * rate).min(SPILL_SAVED);
        tier.filled = now;
    }
    let permitted = tier.credit >= 1.0 && (tiers.spill_rate.is_none() || tier.tokens >= 1.0);
    if permitted {
        tier.credit -= 1.0;
        tier.tokens -= 1.0;
    }
    permitted
}

fn answered(now: Time, fleet: &FleetParameters, tiers: &TierConfig, tier: &mut Tier) {
    if tier.may_be_cold(now, fleet) {
        (tier.cold_since, tier.unused_since) = (Some(now), None);
    }
    (tier.last_answer, tier.lost_calls, tier.fresh) = (now, 0, false);
    match tier.standing {
        TierStatus::Down(_) => tier.standing = TierStatus::Recovering(now),
        TierStatus::Recovering(since) if now - since >= tiers.recovery_ramp * tier.slowness => {
            (tier.standing, tier.slowness, tier.credit) = (TierStatus::Up, 1, 0.0);
        }
        _ => {}
    }
}

fn lost(now: Time, fleet: &FleetParameters, tiers: &TierConfig, tier: &mut Tier, salt: u64) {
    tier.lost_calls += 1;
    let silent = tier.fresh || now - tier.last_answer >= tiers.down_after;
    if tier.lost_calls < LOST_CALLS || !silent {
        return;
    }
    match tier.standing {
        TierStatus::Down(_) => return,
        // A courier with one message must spill it or not; begun at nothing, no light one would ever spill. So each
        // begins at a phase of its own, and all together come to the share.
        TierStatus::Up => tier.credit = fleet.phase(salt + u64::from(tier.losses)),
        // Guards against flapping: a site that answers its trials but not its load would be trusted again and again.
        TierStatus::Recovering(_) => tier.slowness = (tier.slowness * FLAP_FACTOR).min(FLAP_MOST),
    }
    (tier.standing, tier.again_at) = (TierStatus::Down(now), Some(now));
    tier.losses += 1;
}
