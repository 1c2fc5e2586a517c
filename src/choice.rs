//! Every decision of a courier. Types, events and actions are in `interface.rs`, what it keeps in mind in
//! `books.rs`; nothing is decided there.
//!
//! The ordinary path: a message waits in the queue of its destination; a free call slot goes to the waiting
//! destination with the fewest calls out; a message whose attempt may have run goes again under its one key,
//! inside group, window and attempt limit, after a full-jitter exponential gap. All else guards that path.

use crate::books::*;
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

// ---- Tuned values ----

/// First gap before a repeat, as a part of the class's aim: short enough to leave time for several on time.
const BACKOFF_BASE_OF_AIM: f64 = 0.05;
/// Longest gap before a repeat, as a part of the class's aim: a repeat rarely pays if it waits longer.
const BACKOFF_CAP_OF_AIM: f64 = 0.7;
/// A keyed message is not resent in the last part of its window: the call must still arrive inside it.
const WINDOW_MARGIN: f64 = 0.1;
/// Latency assumed before the first answer, as a part of the shortest aim.
const FIRST_LATENCY_OF_AIM: f64 = 0.2;
/// Least weight of the newest latency in the running mean; the first few weigh more.
const LATENCY_GAIN: f64 = 0.15;
/// Time-out of a repeatable attempt, in latencies (mean and deviation) of its destination ...
const TIMEOUT_LATENCIES: f64 = 4.0;
/// ... and at least this part of the aim, at most this multiple of it.
const TIMEOUT_AIMS: (f64, f64) = (0.5, 3.0);
/// A call is stalled when it was not answered for so many latencies ...
const STALL_LATENCIES: f64 = 3.0;
/// ... and at least for this part of the shortest aim: short pauses of a partner pass unnoticed.
const STALL_AIM: f64 = 0.25;
/// An unsafe call gets so many times that patience before it is called off: what it carries is lost then.
const UNSAFE_PATIENCE: u32 = 2;
/// First gap between trial calls, as a part of the fall window, and the longest one; both are jittered.
const TRIAL_GAPS_OF_FALL: (f64, f64) = (0.1, 0.6);
/// Own demand counts towards the fall budget up to so many times what was served here before.
const DEMAND_OF_SERVED: f64 = 1.5;
/// With fewer messages than this over a cold return's length a courier is light: it waits for a deadline at
/// most, lest its messages run out untried, and such couriers are few enough at any one destination.
const LIGHT: f64 = 2.0;
/// After a refusal its next call comes by chance within so many calls of its pace more, for they are many.
const LIGHT_SPREAD: f64 = 3.0;
/// Gaps before asking for the list, as parts of the time that may pass without asking: the first one, which
/// doubles with each failure, and the longest; full jitter.
const ASK_FIRST: f64 = 0.5;
const ASK_LONGEST: f64 = 1.5;
/// Shortest part of a gap that chance may leave: who failed together must not come back together.
const TRIAL_JITTER_FROM: f64 = 0.25;
/// A spell without success shorter than this part of the fall window needs no slow start.
const BLIP_OF_FALL: f64 = 0.6;
/// Evidence that opens a spell, and what each outcome adds: a lost call, an error or no connection hints at an
/// outage (two in a row, as a light courier has few), single refusals are everyday life.
const SPELL_AFTER: u32 = 6;
const EVIDENCE_LOST: u32 = 3;
const EVIDENCE_REFUSED: u32 = 1;
/// Part of the fall budget that is used: refused calls, batches and chance need the rest.
const FALL_BUDGET_USED: f64 = 0.8;
/// Calls a second where no limit was told: more than any courier sends, so that only a refusal sets a pace.
const UNTOLD_RATE: f64 = 1e4;
/// On `full` the rate falls to this part of what was sent of late, at most once in `CUT_EVERY`: twice without
/// a success, then to the part of the fall budget, as it may be an outage, or all may have to slow down.
const RATE_CUTS: [f64; 3] = [0.75, 0.5, 0.0];
const CUT_EVERY: Duration = Duration::from_millis(500);
/// Growth of a rate that binds with each answer, as a part of itself or of one call an aim: with the cuts it
/// settles where a fixed part of the calls is refused, however many couriers share the limit.
const RATE_GROWTH: f64 = 0.25;
/// A refusal with more than this share of the limit left, as told, is not for the limit.
const ROOM_LEFT: f64 = 0.3;
/// A refusal with less than this share left is for a limit that is used up: a clump must wait too.
const USED_UP: f64 = 0.05;
/// Weight of what follows a refusal in the risk that the next one finds nothing left either, and the risk from
/// which on the first one counts as such: refused calls then use up the limit, and repeats keep it used up.
const JAM_GAIN: f64 = 0.1;
const JAMMED: f64 = 0.1;
/// Growth where the share of the limit that is left is told: so many times that share.
const TOLD_GROWTH: f64 = 2.0;
/// What was sent of late: calls over about so many seconds.
const LATE_S: f64 = 1.0;
/// Tokens that may be saved up, in seconds of the rate; one call at least.
const BURST_S: f64 = 0.4;
/// Part of a tenant's quota assumed to be this courier's, in even parts; traffic is not even.
const QUOTA_PART: f64 = 1.25;
/// Weight of what waiting for one more aim would lose, against the worth itself.
const WAITING_LOSS: f64 = 2.0;
/// Calls out to a destination in a spell, as a part of the free slots; one at least.
const TRIAL_SLOTS: f64 = 0.25;
/// Share of the messages that may be held above which the least worth are shed.
const SHED_ABOVE: f64 = 0.93;
/// Weight of the newest loss or answer on an idle connection in the risk that such are dropped unseen.
const REAPED_GAIN: f64 = 0.15;
/// Risk from which on idle connections are closed before use: by an unsafe message, which would be lost, and
/// by one that can be repeated, which would only be late.
const REAPED_RISKS: (f64, f64) = (0.03, 0.25);
/// ... beyond so many times the risk of a call on a new connection, which chance moves too.
const REAPED_OTHER: f64 = 2.0;
/// A connection in use until this part of the shortest aim ago was not idle: what it loses has other causes.
const REAPED_LEAST_AIM: f64 = 0.1;
/// Connections idle for this part of the shortest time that lost a call are trusted.
const REAPED_MARGIN: f64 = 0.7;
/// While idle connections are closed, one is tried so many of the shortest aim after the last loss.
const REAPED_CHECK_AIMS: f64 = 4.0;

/// Weight of a failed connection, and of an answer, in the risk that endpoints of a kind have no room for one: it
/// is to outlast some hundred answers, as closing idle connections makes the room that speaks against it.
const CROWDING_GAINS: (f64, f64) = (0.3, 0.03);
/// Risk from which on idle connections of that kind are closed ...
const CROWDED: f64 = 0.02;
/// ... unless the next call there is expected within so many times what one takes.
const KEEP_LATENCIES: f64 = 2.0;

// ---- State ----

/// A courier: records events in `handle`, acts in `decide`.
#[derive(Default)]
pub struct Courier {
    settings: Settings,
    rng: fastrand::Rng,
    addresses: BTreeMap<EndpointId, Address>,
    routes: BTreeMap<RouteId, Route>,
    /// Messages not answered, by destination; no empty ones.
    queues: BTreeMap<DestinationId, Vec<MessageId>>,
    messages: BTreeMap<MessageId, Message>,
    /// What is left of each tenant's share, and since when.
    shares: BTreeMap<TenantId, (f64, Time)>,
    open: usize,
    deadlines: BTreeSet<(Time, MessageId)>,
    keys: BTreeMap<OrderKey, VecDeque<MessageId>>,
    rests: BTreeMap<OrderKey, Time>,
    calls: BTreeMap<u64, Call>,
    last_call: u64,
    /// Latency over all destinations: what one that was never called is assumed to need.
    usual: Latency,
    reaping: Reaping,
    habits: BTreeMap<KindId, Habits>,
    /// Where a call just ended.
    ended: BTreeSet<EndpointId>,
    /// When to ask to be kept informed of the list, and calls for it that failed in a row.
    ask_at: Option<Time>,
    asks_failed: u32,
    wake: Option<(Time, u64)>,
    token: u64,
    /// What is to be done, until `decide` hands it over.
    actions: Vec<Action>,
}

impl Courier {
    /// A courier that knows only its settings; `seed` is its one source of chance.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let first = shortest_aim(&settings) * FIRST_LATENCY_OF_AIM;
        let usual = Latency { mean: first, deviation: first, samples: 0 };
        Courier { settings, rng: fastrand::Rng::with_seed(seed), usual, ..Courier::default() }
    }

    /// Records one event. Call [`Courier::decide`] after the last one of a batch.
    pub fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::Listed(listing) => self.on_listing(now, listing),
            Event::Accept(message) => self.on_accept(now, message),
            Event::Finished(finished) => self.on_finished(now, finished),
            Event::ClientGone(id) => self.close(id),
            Event::TickDue(token) => self.wake = self.wake.filter(|(_, set)| *set != token),
            Event::FirstByte(_) | Event::Probed { .. } | Event::Note { .. } => {}
        }
    }

    /// Acts on all that was recorded.
    pub fn decide(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.ask_at.take_if(|at| *at <= now).is_some() {
            self.actions.push(Action::KeepInformed { active: true });
        }
        self.answer_due(now);
        self.shed(now);
        let mut next = self.note_stalls(now);
        self.free_pinned_slot(now);
        self.send_ready(now, &mut next);
        self.close_crowding(now);
        self.set_wake(now, next);
        actions.append(&mut self.actions);
    }

    // ---- Events ----

    fn on_listing(&mut self, now: Time, listing: Listing) {
        // Without a subscription no drain is told. All couriers start at once and the list answers only so many:
        // they ask spread over half of what the rules let pass, and after a failure later still.
        let (first, failed) = (self.addresses.is_empty(), matches!(listing, Listing::Failed));
        self.asks_failed = if failed { self.asks_failed + 1 } else { 0 };
        if self.settings.discovery == Discovery::Ask && (failed || first) {
            let gap = growing_gap(self.settings.rules.ask_every, ASK_FIRST, self.asks_failed);
            let gap = gap.min(self.settings.rules.ask_every.mul_f64(ASK_LONGEST));
            self.ask_at = Some(now + gap.mul_f64(self.rng.f64()));
        }
        let entries = match listing {
            Listing::Failed => return,
            Listing::Changes(entries) => entries,
            Listing::Whole(entries) => {
                // What a whole list does not name is gone: it gets nothing new from now on.
                for address in self.addresses.values_mut() {
                    address.entry.mode = Mode::Gone;
                }
                entries
            }
        };
        for entry in entries {
            let weight = self.weight_of(&entry);
            let batch = self.settings.kinds.get(usize::from(entry.kind.0)).map_or(1, |k| k.batch.max(1));
            let route = self.routes.entry(self.route_of(&entry)).or_insert_with(|| {
                let rate = if weight > 0.0 { weight } else { UNTOLD_RATE };
                Route { rate, tokens: 1.0, filled: now, last_answer: now, ..Route::default() }
            });
            (route.weight, route.batch, route.kind) = (weight, batch, entry.kind);
            if let Some(known) = self.addresses.get_mut(&entry.id) {
                known.entry = entry;
                continue;
            }
            route.endpoints.push(entry.id);
            let (id, preference, avoid_until) = (entry.id, self.rng.u32(..), Time::ZERO);
            let (used, no_room) = (None, None);
            let address =
                Address { entry, calls_out: 0, preference, failures: 0, avoid_until, used, no_room };
            self.addresses.insert(id, address);
        }
    }

    fn on_accept(&mut self, now: Time, taken: Accepted) {
        let Some(class) = self.settings.classes.get(usize::from(taken.class.0)) else { return };
        // Where clients mark what they hand in again, a fresh one with little time left is not an old one.
        let fresh = self.settings.marks_again && !taken.again && !taken.from_dead_courier;
        let born = if fresh { now } else { taken.deadline - class.deadline };
        // A keyed message of a courier that died may have run there at any time since it was handed in.
        let may_have_run = taken.from_dead_courier && class.effect == Effect::Keyed;
        if let (true, Some(key)) = (class.in_order, taken.key) {
            self.keys.entry(key).or_default().push_back(taken.id);
        }
        self.deadlines.insert((taken.deadline, taken.id));
        self.queues.entry(taken.destination).or_default().push(taken.id);
        self.open += 1;
        let part = self.routes_to(taken.destination).recip();
        for (_, route) in self.routes.range_mut(routes_of(taken.destination)) {
            route.demand.rate(now, cold_s(&self.settings), part);
        }
        let over_share = self.is_over_share(now, taken.tenant);
        let message = Message {
            born,
            over_share,
            attempts: 0,
            out: None,
            maybe_ran: may_have_run.then_some((born, None)),
            not_before: now,
            closed: false,
            taken,
        };
        self.messages.insert(message.taken.id, message);
    }

    /// Whether a tenant is past its quota. The quota is for all couriers together, and what others take of it
    /// cannot be seen: what passes the part assumed to be this courier's counts as beyond.
    fn is_over_share(&mut self, now: Time, tenant: TenantId) -> bool {
        let Some(quota) = self.settings.tenants.get(tenant.0 as usize).map(|t| t.quota) else { return false };
        let part = (QUOTA_PART / couriers(&self.settings)).min(1.0);
        // What comes over a cold return's length, as a second's part is under one message at full size.
        let most = quota * part * cold_s(&self.settings);
        let (left, since) = self.shares.entry(tenant).or_insert((most, now));
        *left = (*left + (now - *since).as_secs_f64() * quota * part).min(most);
        *since = now;
        let over = *left < 1.0;
        if !over {
            *left -= 1.0;
        }
        over
    }

    fn on_finished(&mut self, now: Time, finished: Finished) {
        // A wait binds from the batch that tells it, whichever message of a call brings it, and whatever
        // became of that message.
        if let Outcome::Full(Some(wait)) = finished.outcome {
            let route = self.addresses.get(&finished.endpoint).map(|a| self.route_of(&a.entry));
            if let Some(route) = route.and_then(|id| self.routes.get_mut(&id)) {
                route.told_wait = route.told_wait.max(now + wait);
            }
        }
        let Some(message) = self.messages.get_mut(&finished.message) else { return };
        let Some(call_id) = message.out.take() else { return };
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        let class = &self.settings.classes[usize::from(message.taken.class.0)];
        let never_ran = matches!(finished.outcome, Outcome::Full(_) | Outcome::ConnectFailed | Outcome::Moot);
        if !never_ran && message.maybe_ran.is_none() {
            message.maybe_ran = Some((call.sent, Some(call.zone)));
        }
        let gap = growing_gap(class.aim, BACKOFF_BASE_OF_AIM, message.attempts)
            .min(class.aim.mul_f64(BACKOFF_CAP_OF_AIM));
        message.not_before = now + gap.mul_f64(self.rng.f64());
        // A call that may still be running lets its key rest before the next message of the key.
        let unsettled = matches!(finished.outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled);
        if let (true, true, Some(key)) = (unsettled, class.in_order, message.taken.key) {
            self.rests.retain(|_, until| *until > now);
            self.rests.insert(key, now + self.settings.rules.order_settle);
        }
        // Only a call's last outcome counts for the route: its messages share one fate.
        call.unanswered -= 1;
        if call.unanswered == 0 {
            if let Some(call) = self.calls.remove(&call_id) {
                self.end_call(now, call_id, call, &finished);
            }
        }
        if finished.complete {
            self.close(finished.message);
        } else if let Some(end) = self.messages.get(&finished.message).and_then(|m| self.last_send(m)) {
            // What can never be sent again is answered at once: it would only fill what may be held and keep
            // its order key from the messages behind it.
            self.deadlines.insert((end.max(now), finished.message));
        }
        self.forget_if_over(finished.message);
    }

    /// Until when a message may be sent again, if that ends before its deadline.
    fn last_send(&self, message: &Message) -> Option<Time> {
        let class = self.class(message);
        match (message.maybe_ran, class.effect) {
            _ if message.attempts >= self.settings.send_cap => Some(Time::ZERO),
            (Some(_), Effect::Unsafe) => Some(Time::ZERO),
            (Some((first, _)), Effect::Keyed) => Some(window_end(class, first)),
            _ => None,
        }
    }

    /// Frees the slot of a call and lets address, connections and route learn from its outcome.
    fn end_call(&mut self, now: Time, id: u64, call: Call, finished: &Finished) {
        if let Some(route) = self.routes.get_mut(&call.route) {
            route.out.remove(&id);
        }
        let lost = matches!(finished.outcome, Outcome::Timeout | Outcome::Reset | Outcome::Cancelled);
        let reaped =
            lost && self.reaping.risk > 0.0 && call.idle.is_some_and(|idle| idle >= self.reaping.idle);
        if !(lost && call.stalled) {
            self.learn_of_idle(now, call.idle, lost, finished.outcome == Outcome::Ok);
        }
        let rules = &self.settings.rules;
        if let Some(address) = self.addresses.get_mut(&call.to) {
            address.calls_out = address.calls_out.saturating_sub(1);
            self.ended.insert(call.to);
            match finished.outcome {
                Outcome::Ok => {
                    let crowding = &mut self.habits.entry(address.entry.kind).or_default().crowding;
                    *crowding -= CROWDING_GAINS.1 * *crowding;
                    address.no_room = None;
                    (address.used, address.failures) = (Some(now), 0);
                }
                Outcome::Full(_) => address.used = Some(now),
                _ if reaped => {}
                Outcome::ConnectFailed | Outcome::Timeout | Outcome::Reset | Outcome::Error => {
                    // One that fails may lack room; what goes on failing for a fall window is down.
                    if finished.outcome == Outcome::ConnectFailed {
                        let crowding = &mut self.habits.entry(address.entry.kind).or_default().crowding;
                        match address.no_room {
                            Some(since) if now - since > rules.fall => {
                                *crowding -= CROWDING_GAINS.0 * *crowding
                            }
                            Some(_) => {}
                            None => *crowding += CROWDING_GAINS.0 * (1.0 - *crowding),
                        }
                        address.no_room.get_or_insert(now);
                    }
                    address.failures += 1;
                    let gap = growing_gap(rules.fall, TRIAL_GAPS_OF_FALL.0, address.failures).min(rules.cold);
                    address.avoid_until = now + gap.mul_f64(self.rng.f64());
                }
                Outcome::Cancelled | Outcome::Moot => {}
            }
        }
        if !reaped {
            self.learn(now, finished, &call);
        }
    }

    /// A loss on an idle connection speaks for connections that are dropped unseen, an answer on one that was
    /// idle as long speaks against it.
    fn learn_of_idle(&mut self, now: Time, idle: Option<Duration>, lost: bool, answered: bool) {
        let Some(idle) =
            idle.filter(|idle| idle.as_secs_f64() > shortest_aim(&self.settings) * REAPED_LEAST_AIM)
        else {
            if lost || answered {
                self.reaping.other += REAPED_GAIN * (f64::from(u8::from(lost)) - self.reaping.other);
            }
            return;
        };
        let reaping = &mut self.reaping;
        if lost {
            reaping.idle = if reaping.risk > 0.0 { reaping.idle.min(idle) } else { idle };
            reaping.risk += REAPED_GAIN * (1.0 - reaping.risk);
            reaping.next_check =
                now + Duration::from_secs_f64(shortest_aim(&self.settings) * REAPED_CHECK_AIMS);
        } else if answered && idle >= reaping.idle {
            reaping.risk -= REAPED_GAIN * reaping.risk;
            reaping.next_check = now;
            if reaping.risk < REAPED_RISKS.0 {
                reaping.risk = 0.0;
            }
        }
    }

    // ---- Health and pace ----

    /// Health and pace of a route, from the outcome of one call.
    fn learn(&mut self, now: Time, finished: &Finished, call: &Call) {
        let (settings, chance) = (&self.settings, self.rng.f64());
        let waiting =
            self.queues.get(&call.route.0).map_or(0, Vec::len) as f64 / self.routes_to(call.route.0);
        let Some(route) = self.routes.get_mut(&call.route) else { return };
        let habits = self.habits.entry(route.kind).or_default();
        if let Some(limit) = finished.allowance.map(|a| a.limit).filter(|limit| *limit > 0.0) {
            route.weight = limit;
        }
        // A time-out is a sample too, of at least its length: else it would stay too short all through a slow
        // spell, and each repeat would meet the first call still running.
        if matches!(finished.outcome, Outcome::Ok | Outcome::Timeout | Outcome::Cancelled) {
            if route.latency.samples == 0 {
                route.latency = Latency { samples: 0, ..self.usual };
            }
            route.latency.learn(finished.latency, LATENCY_GAIN);
        }
        // With a success since it was sent, a lost call says nothing of the route. Nor do errors and resets
        // while an endpoint is left that did not fail; silence does, as a hang mostly takes all.
        let sound = |a: &Address| a.entry.mode == Mode::Ready && a.failures == 0;
        let alone = call.sent >= route.last_answer;
        let all_sick = alone && !route.endpoints.iter().filter_map(|id| self.addresses.get(id)).any(sound);
        let blip = settings.rules.fall.mul_f64(BLIP_OF_FALL);
        match finished.outcome {
            Outcome::Ok => {
                self.usual.learn(finished.latency, LATENCY_GAIN);
                let served = route.served.rate(now, cold_s(settings), 0.0);
                let sick = route.spell.is_some() || route.returned.is_some();
                route.share = if sick { served.max(route.share) } else { served };
                route.served.count += 1.0;
                // A destination that gave no success for a while may be cold: it gets a slow start. Couriers
                // that saw only the end of an outage are covered by counting from the last success.
                if route.spell.as_ref().is_some_and(|s| s.failed && now - s.began > blip) {
                    route.returned = Some(now);
                    route.tokens = 0.0;
                }
                let left = finished.allowance.filter(|a| a.limit > 0.0).map(|a| a.left.clamp(0.0, 1.0));
                if route.bound {
                    let growth = RATE_GROWTH * route.rate.min(shortest_aim(settings).recip());
                    let growth = left.map_or(growth, |left| TOLD_GROWTH * left * route.rate);
                    route.rate += growth;
                }
                if route.cuts > 0 {
                    habits.jam -= JAM_GAIN * habits.jam;
                }
                route.spell = None;
                (route.evidence, route.cuts) = (0, 0);
                route.last_answer = now;
                return;
            }
            // Shut, and told until when: all whom the door refused come back at one moment (issue of later
            // mandeville: 480 of 490 calls at the fall). So the slow start begins there, by chance inside a
            // call of its pace, and nothing is saved up behind the door.
            Outcome::Full(Some(wait)) if wait > blip => {
                (route.spell, route.returned) = (None, Some(route.told_wait));
                (route.filled, route.tokens) = (route.told_wait, chance);
                return;
            }
            Outcome::Full(_) => {
                // Refused though there is room inside the limit: it is shut or hangs with its queue full.
                let left = finished.allowance.filter(|a| a.limit > 0.0).map(|a| a.left);
                let room = left.is_some_and(|left| left > ROOM_LEFT);
                let used_up = left.is_some_and(|left| left < USED_UP);
                if route.cuts > 0 {
                    habits.jam += JAM_GAIN * (f64::from(u8::from(used_up)) - habits.jam);
                }
                let used_up = used_up && (route.cuts > 0 || habits.jam > JAMMED);
                route.evidence += if room { EVIDENCE_LOST } else { EVIDENCE_REFUSED };
                if now - route.last_cut > CUT_EVERY {
                    let cut = RATE_CUTS[route.cuts.min(RATE_CUTS.len() - 1)];
                    route.cuts += 1;
                    // A clump must not wait at the pace of usual days until it has run out; where a call
                    // carries many, what waits goes together, and a call an aim is enough.
                    let an_aim = shortest_aim(settings).recip();
                    let (waiting, most) = match route.batch {
                        _ if used_up => (0.0, 0.0),
                        1 => (waiting, f64::MAX),
                        _ => (0.0, an_aim),
                    };
                    let late = route.sent.rate(now, LATE_S, 0.0).min(most);
                    let own = route.demand.rate(now, cold_s(settings), 0.0);
                    let late = late.max(own).max(route.weight / couriers(settings)).max(waiting * an_aim);
                    let slowest = route.fall_part(now, settings, 0.0);
                    route.rate = (cut * route.rate.min(late)).max(slowest.min(route.rate));
                    route.last_cut = now;
                }
                // By chance, as all that were refused together would come back together.
                let spread = if route.is_light(now, settings) { LIGHT_SPREAD } else { 1.0 };
                route.tokens = route.tokens.min(-chance * spread);
            }
            Outcome::Error | Outcome::Reset if all_sick => route.evidence += EVIDENCE_LOST,
            Outcome::ConnectFailed | Outcome::Timeout | Outcome::Cancelled if alone => {
                route.evidence += EVIDENCE_LOST
            }
            _ => {}
        }
        if route.evidence >= SPELL_AFTER || (route.spell.is_some() && route.evidence >= EVIDENCE_LOST) {
            let spell = route.spell.get_or_insert(Spell { began: route.last_answer, ..Spell::default() });
            spell.failed = true;
            spell.lost |= !matches!(finished.outcome, Outcome::Full(_));
            route.plan_trial(now, settings, chance);
            route.returned = None;
        }
    }

    /// Marks the calls that have been silent for too long, and says when the next one will have been.
    fn note_stalls(&mut self, now: Time) -> Option<Time> {
        let mut next = None;
        for id in self.calls.iter().filter(|(_, call)| !call.stalled).map(|(id, _)| *id).collect::<Vec<_>>() {
            let at = self.calls[&id].sent + self.stall_patience(self.calls[&id].route);
            if at > now {
                earliest(&mut next, Some(at));
            } else if let Some(call) = self.calls.get_mut(&id) {
                call.stalled = true;
                let idle = call.idle;
                self.learn_of_idle(now, idle, true, false);
            }
        }
        next
    }

    /// Latency of a route; before its first answer that over all, as light couriers have few of any one.
    fn latency(&self, id: RouteId) -> Latency {
        self.routes.get(&id).map(|route| route.latency).filter(|own| own.samples > 0).unwrap_or(self.usual)
    }

    fn stall_patience(&self, id: RouteId) -> Duration {
        let usual = self.latency(id).times(STALL_LATENCIES);
        Duration::from_secs_f64(usual.max(shortest_aim(&self.settings) * STALL_AIM))
    }

    /// When a route may take one more call: now, later, or only after some outcome (none).
    fn route_free_at(&mut self, now: Time, id: RouteId) -> Option<Time> {
        let stall = self.stall_patience(id);
        let slots_free = self.slots_free();
        let rate = self.pace(now, id);
        let route = self.routes.get_mut(&id)?;
        if route.told_wait > now {
            return Some(route.told_wait);
        }
        // Hung or dead destinations answer nothing: the silence itself opens the circuit, long before a
        // time-out would, so that only few calls are risked.
        let oldest = route.out.first().and_then(|call| self.calls.get(call)).map(|call| call.sent);
        if let (None, Some(sent)) = (&route.spell, oldest) {
            if now - sent.max(route.last_answer) > stall {
                let (began, next_trial) = (route.last_answer.min(sent), now + stall);
                route.spell = Some(Spell { began, next_trial, lost: true, ..Spell::default() });
            }
        }
        if let Some(spell) = &route.spell {
            // Trials that hang must not gather until they pin the slots of the healthy.
            let room = ((slots_free as f64 * TRIAL_SLOTS) as usize).max(1);
            return (route.out.len() < room).then_some(spell.next_trial);
        }
        // Bulkhead: no destination has more calls out than slots are left for all others.
        if !route.out.is_empty() && route.out.len() >= slots_free.max(1) {
            return None;
        }
        let burst = if route.returned.is_some() { 1.0 } else { (rate * BURST_S).max(1.0) };
        let passed = (now - route.filled).as_secs_f64();
        route.tokens = (route.tokens + passed * rate).min(burst);
        route.filled = now;
        route.bound = route.tokens < 1.0;
        if route.bound {
            return Some(now + Duration::from_secs_f64(((1.0 - route.tokens) / rate).clamp(0.001, 10.0)));
        }
        Some(now)
    }

    /// Calls a second that this courier may send a route now.
    fn pace(&mut self, now: Time, id: RouteId) -> f64 {
        let Some(route) = self.routes.get_mut(&id) else { return 1.0 };
        let Some(returned) = route.returned else { return route.rate };
        let warmth = (now - returned).as_secs_f64() / cold_s(&self.settings);
        if warmth >= 1.0 {
            route.returned = None;
            return route.rate;
        }
        route.fall_part(now, &self.settings, warmth).min(route.rate)
    }

    // ---- Choice ----

    /// Fills free slots: each to the waiting destination with fewest calls out; of those with equally many,
    /// to the one whose best message is worth most for its time. `next` tells when to look again.
    fn send_ready(&mut self, now: Time, next: &mut Option<Time>) {
        let mut ready: Vec<(DestinationId, f64)> = Vec::new();
        if self.slots_free() > 0 {
            for to in self.queues.keys().copied().collect::<Vec<_>>() {
                ready.extend(self.candidate(now, to, next).map(|(.., value)| (to, value)));
            }
        }
        while self.slots_free() > 0 {
            let order = |a: &(DestinationId, f64), b: &(DestinationId, f64)| {
                self.calls_to(a.0).cmp(&self.calls_to(b.0)).then(b.1.total_cmp(&a.1))
            };
            let Some(place) = (0..ready.len()).min_by(|a, b| order(&ready[*a], &ready[*b])) else { break };
            // Slots have gone since: what was free may not be so now.
            let (to, _) = ready.swap_remove(place);
            let Some((route, endpoint, message, _)) = self.candidate(now, to, next) else { continue };
            self.send_call(now, route, endpoint, message);
            ready.extend(self.candidate(now, to, next).map(|(.., value)| (to, value)));
        }
    }

    /// How many routes a destination has: what is its own is theirs in even parts.
    fn routes_to(&self, to: DestinationId) -> f64 {
        self.routes.range(routes_of(to)).count().max(1) as f64
    }

    fn calls_to(&self, destination: DestinationId) -> usize {
        self.routes.range(routes_of(destination)).map(|(_, route)| route.out.len()).sum()
    }

    /// The best message of a destination that may be sent now, by which route and endpoint, and its worth for
    /// the time that a slot is taken; if none, `next` tells when that may be.
    fn candidate(&mut self, now: Time, to: DestinationId, next: &mut Option<Time>) -> Option<Candidate> {
        // Where routes are apart, the least used one that works goes first, as among the endpoints of a route.
        let mut best: Option<(AddressOrder, Candidate)> = None;
        for route in self.routes.range(routes_of(to)).map(|(id, _)| *id).collect::<Vec<_>>() {
            let free = self.route_free_at(now, route);
            if free.is_none_or(|at| at > now) {
                earliest(next, free);
                continue;
            }
            let Some((message, worth)) = self.pick(now, route, next) else { continue };
            let chosen = self.messages.get(&message).and_then(|m| self.address_for(now, route, m));
            let Some(endpoint) = chosen else { continue };
            let takes = self.latency(route).mean.max(0.001);
            let order = (self.routes[&route].spell.is_some(), self.order_of(now, &self.addresses[&endpoint]));
            if best.as_ref().is_none_or(|(least, _)| order < *least) {
                best = Some((order, (route, endpoint, message, worth / takes)));
            }
        }
        best.map(|(_, candidate)| candidate)
    }

    /// Endpoints with fewest calls out first, sick ones last. Ties go by a preference drawn once: where each
    /// courier has few calls, all would pick the same one.
    fn order_of(&self, now: Time, a: &Address) -> (bool, usize, u32, u32) {
        (a.avoid_until > now, a.calls_out, a.failures, a.preference)
    }

    /// The waiting message of most worth that may be sent now. A trial goes by whether it may be repeated.
    fn pick(&self, now: Time, route: RouteId, next: &mut Option<Time>) -> Option<(MessageId, f64)> {
        let trial = self.routes.get(&route).is_some_and(|r| r.spell.is_some());
        let mut best: Option<(bool, f64, MessageId)> = None;
        for message in self.queues.get(&route.0).into_iter().flatten().filter_map(|m| self.messages.get(m)) {
            let at =
                self.sendable_at(now, message).filter(|_| self.address_for(now, route, message).is_some());
            if at.is_none_or(|at| at > now) {
                earliest(next, at);
                continue;
            }
            let fit = !trial || self.repeatable(message);
            let worth = self.worth(now, message);
            if best.is_none_or(|(best_fit, most, _)| (fit, worth) > (best_fit, most)) {
                best = Some((fit, worth, message.taken.id));
            }
        }
        best.map(|(_, worth, id)| (id, worth))
    }

    fn class(&self, message: &Message) -> &Class {
        &self.settings.classes[usize::from(message.taken.class.0)]
    }

    fn repeatable(&self, message: &Message) -> bool {
        self.class(message).effect != Effect::Unsafe
    }

    /// The one gate for every send: when this message may be sent; none if not before some event, or never.
    fn sendable_at(&self, now: Time, message: &Message) -> Option<Time> {
        if message.closed || message.out.is_some() || self.last_send(message).is_some_and(|end| now > end) {
            return None;
        }
        let class = self.class(message);
        let mut at = message.not_before;
        if let (true, Some(key)) = (class.in_order, message.taken.key) {
            if self.keys.get(&key).and_then(|turn| turn.front()) != Some(&message.taken.id) {
                return None;
            }
            // The rest after an unsettled attempt binds the next messages of the key, not the same one.
            if message.attempts == 0 {
                at = at.max(self.rests.get(&key).copied().unwrap_or(Time::ZERO));
            }
        }
        Some(at)
    }

    /// Worth still to be won, and what of it waiting would lose: on time before late, what is about to be
    /// late before what is fresh, and what is about to run out before what may wait.
    fn worth(&self, now: Time, message: &Message) -> f64 {
        // Nothing is left after the deadline, nor of a repeat after its window.
        let end =
            self.last_send(message).map_or(message.taken.deadline, |end| end.min(message.taken.deadline));
        let end = (end - message.born).as_secs_f64();
        let class = self.class(message);
        let (aim, span) = (class.aim.as_secs_f64().max(0.001), class.deadline.as_secs_f64());
        let value = |age: f64| match self.settings.decay {
            _ if age > end => 0.0,
            _ if age <= aim => 1.0,
            Decay::Line => 1.0 - (1.0 - class.late_share) * (age - aim) / (span - aim).max(0.001),
            Decay::Halves => ((aim - age) / aim).exp2().max(class.late_share),
        };
        let age = (now - message.born).as_secs_f64();
        let share = if message.over_share { self.settings.over_share_worth } else { 1.0 };
        class.worth * share * ((1.0 + WAITING_LOSS) * value(age) - WAITING_LOSS * value(age + aim))
    }

    /// The best address of a route, inside the group of a repeat.
    fn address_for(&self, now: Time, id: RouteId, message: &Message) -> Option<EndpointId> {
        let class = self.class(message);
        let zone = match (class.effect, class.group, message.maybe_ran) {
            (Effect::Keyed, Group::Zone, Some((_, zone))) => Some(zone?),
            _ => None,
        };
        let endpoints = self.routes.get(&id)?.endpoints.iter();
        endpoints
            .filter_map(|endpoint| self.addresses.get(endpoint))
            .filter(|a| a.entry.mode == Mode::Ready && zone.is_none_or(|z| a.entry.zone == z))
            .min_by_key(|a| self.order_of(now, a))
            .map(|a| a.entry.id)
    }

    /// One call: the message that was picked and, where a call may carry more, others that wait.
    fn send_call(&mut self, now: Time, id: RouteId, to: EndpointId, first: MessageId) {
        let idle = self.idle_connection(now, to, first);
        let Some(address) = self.addresses.get_mut(&to) else { return };
        address.calls_out += 1;
        let zone = address.entry.zone;
        let Some(route) = self.routes.get_mut(&id) else { return };
        route.tokens -= 1.0;
        route.sent.rate(now, LATE_S, 1.0);
        let mut room = route.batch;
        if let Some(spell) = &mut route.spell {
            spell.trials += 1;
            // What is only refused comes back unharmed, so that a trial may carry all that a call can.
            if spell.lost {
                room = 1;
            }
        }
        route.plan_trial(now, &self.settings, self.rng.f64());
        self.last_call += 1;
        route.out.insert(self.last_call);
        let mut carried = Vec::new();
        let mut next = Some(first);
        while let Some(message) = next {
            let try_for = self.time_out(now, id, message);
            if let Some(m) = self.messages.get_mut(&message) {
                m.attempts += 1;
                m.out = Some(self.last_call);
                self.actions.push(Action::Route { message, endpoint: to, try_for });
            }
            carried.push(message);
            next = if carried.len() == room { None } else { self.pick(now, id, &mut None).map(|(m, _)| m) };
        }
        let (route, sent, unanswered, stalled, called_off) = (id, now, carried.len(), false, false);
        let call = Call { route, to, zone, sent, carried, unanswered, idle, stalled, called_off };
        self.calls.insert(self.last_call, call);
    }

    /// How long the connection has been idle that the next call to an endpoint would use. Where idle ones are
    /// dropped unseen, they are closed first; now and then one is tried, with a message that can be repeated.
    fn idle_connection(&mut self, now: Time, to: EndpointId, first: MessageId) -> Option<Duration> {
        let address = self.addresses.get(&to)?;
        let idle = now - address.used.filter(|used| now - *used < self.settings.conn_idle)?;
        // With calls out, a second connection may have been idle for longer than was seen.
        let alone = address.calls_out == 0;
        let repeatable = self.messages.get(&first).is_some_and(|m| self.repeatable(m));
        let bearable = if repeatable { REAPED_RISKS.1 } else { REAPED_RISKS.0 };
        let reaping = &mut self.reaping;
        let short = alone && idle < reaping.idle.mul_f64(REAPED_MARGIN);
        if reaping.risk < bearable + reaping.other * REAPED_OTHER || short {
            return alone.then_some(idle);
        }
        if repeatable && alone && idle >= reaping.idle && now >= reaping.next_check {
            reaping.next_check =
                now + Duration::from_secs_f64(shortest_aim(&self.settings) * REAPED_CHECK_AIMS);
            return Some(idle);
        }
        self.actions.push(Action::CloseIdle { endpoint: to });
        None
    }

    /// Where endpoints have no room for a connection, those that would idle here are closed once no call takes
    /// them: idle ones count, and with hundreds of couriers they fill the room while nobody is being served.
    fn close_crowding(&mut self, now: Time) {
        for id in std::mem::take(&mut self.ended) {
            let Some(address) = self.addresses.get(&id).filter(|a| a.calls_out == 0 && a.used.is_some())
            else {
                continue;
            };
            let crowded = self.habits.get(&address.entry.kind).is_some_and(|h| h.crowding > CROWDED);
            let Some(route) = self.routes.get_mut(&self.route_of(&address.entry)) else { continue };
            let calls = route.demand.rate(now, cold_s(&self.settings), 0.0) / route.endpoints.len() as f64;
            if crowded && calls * route.latency.mean * KEEP_LATENCIES < 1.0 {
                self.actions.push(Action::CloseIdle { endpoint: id });
                self.addresses.entry(id).and_modify(|a| a.used = None);
            }
        }
    }

    /// Follows the destination's own latency. An attempt that could not be followed by another gets all the
    /// time that the message has: its time-out would be final.
    fn time_out(&self, now: Time, id: RouteId, message: MessageId) -> Duration {
        let Some(m) = self.messages.get(&message) else { return Duration::ZERO };
        let class = self.class(m);
        let left = m.taken.deadline - now;
        let usual = self.latency(id).times(TIMEOUT_LATENCIES);
        let aim = class.aim.as_secs_f64();
        let span = Duration::from_secs_f64(usual.clamp(aim * TIMEOUT_AIMS.0, aim * TIMEOUT_AIMS.1));
        let first = m.maybe_ran.map_or(now, |(first, _)| first);
        let last = m.attempts + 1 >= self.settings.send_cap
            || class.effect == Effect::Unsafe
            || (class.effect == Effect::Keyed && now + span > window_end(class, first));
        let span = if last { left } else { span };
        span.min(left)
    }

    /// All slots taken while messages wait: the oldest call that hangs is called off, an unsafe one later.
    fn free_pinned_slot(&mut self, now: Time) {
        if !self.settings.cancel || self.slots_free() > 0 || self.open <= self.calls.len() {
            return;
        }
        let hanging = |call: &Call| {
            let mut carried = call.carried.iter().filter_map(|m| self.messages.get(m));
            let safe = carried.all(|m| self.repeatable(m));
            let patience = self.stall_patience(call.route) * if safe { 1 } else { UNSAFE_PATIENCE };
            !call.called_off && now - call.sent > patience
        };
        let Some(id) = self.calls.iter().find(|(_, call)| hanging(call)).map(|(id, _)| *id) else { return };
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.called_off = true;
        for message in &call.carried {
            if let Some(m) = self.messages.get(message).filter(|m| m.out == Some(id)) {
                self.actions
                    .push(Action::StopAttempt { message: *message, attempt: (m.attempts - 1) as u16 });
            }
        }
    }

    // ---- Answers ----

    /// The final answer that a message may be given now; none while an attempt may still deliver it.
    fn permitted_answer(&self, id: MessageId) -> Option<Action> {
        let message = self.messages.get(&id).filter(|m| !m.closed)?;
        let refusable = match self.class(message).effect {
            Effect::Safe => true,
            _ => message.maybe_ran.is_none() && message.out.is_none(),
        };
        let stay_away = Duration::ZERO;
        let busy = Action::Busy { message: id, stay_away };
        Some(if refusable { busy } else { Action::ReportFailure { message: id } })
    }

    fn answer(&mut self, id: MessageId) {
        self.actions.extend(self.permitted_answer(id));
        self.close(id);
    }

    /// Every message has a deadline that answers it in time; one that is out is left half of the slack.
    fn answer_due(&mut self, now: Time) {
        while let Some(&(due, id)) = self.deadlines.first().filter(|(due, _)| *due <= now) {
            self.deadlines.remove(&(due, id));
            let Some(message) = self.messages.get(&id).filter(|m| !m.closed) else { continue };
            let last_call = message.taken.deadline + self.settings.rules.answer_slack / 2;
            if message.out.is_some() && now < last_call {
                self.deadlines.insert((last_call, id));
            } else {
                self.answer(id);
            }
        }
    }

    /// Nearly full: the least worth go, before new messages are turned away unseen.
    fn shed(&mut self, now: Time) {
        let most = (self.settings.most_held as f64 * SHED_ABOVE) as usize;
        while self.open > most {
            let least = self
                .messages
                .values()
                .filter(|m| !m.closed && m.out.is_none())
                .map(|m| (self.worth(now, m), m.taken.id))
                .min_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)));
            let Some((_, id)) = least else { return };
            self.answer(id);
        }
    }

    fn close(&mut self, id: MessageId) {
        if let Some(message) = self.messages.get_mut(&id).filter(|m| !m.closed) {
            message.closed = true;
            self.open -= 1;
            self.deadlines.remove(&(message.taken.deadline, id));
            let to = message.taken.destination;
            if let Some(queue) = self.queues.get_mut(&to) {
                queue.retain(|m| *m != id);
                if queue.is_empty() {
                    self.queues.remove(&to);
                }
            }
        }
        self.forget_if_over(id);
    }

    /// A message is forgotten once it is answered and has nothing out; until then its key stays taken.
    fn forget_if_over(&mut self, id: MessageId) {
        if self.messages.get(&id).is_none_or(|m| !m.closed || m.out.is_some()) {
            return;
        }
        if let Some(key) = self.messages.remove(&id).and_then(|m| m.taken.key) {
            if let Some(turn) = self.keys.get_mut(&key) {
                turn.retain(|m| *m != id);
                if turn.is_empty() {
                    self.keys.remove(&key);
                }
            }
        }
    }

    // ---- Settings and timers ----

    fn route_of(&self, entry: &Endpoint) -> RouteId {
        let apart = self.settings.kinds.get(usize::from(entry.kind.0)).is_some_and(|k| k.own_limits);
        RouteId(entry.destination, apart.then_some(entry.id))
    }

    fn weight_of(&self, entry: &Endpoint) -> f64 {
        match self.settings.weights {
            WeightSource::Silent => 0.0,
            WeightSource::Rough | WeightSource::Nominal => entry.weight.max(0.1),
        }
    }

    fn slots_free(&self) -> usize {
        self.settings.call_slots.saturating_sub(self.calls.len())
    }

    /// One timer is outstanding: the earliest moment at which something could be done without an event.
    fn set_wake(&mut self, now: Time, next: Option<Time>) {
        let due = self.deadlines.first().map(|(due, _)| *due);
        let Some(at) = [next, due, self.ask_at].into_iter().flatten().min() else { return };
        if self.wake.is_none_or(|(set, _)| at < set || set <= now) {
            self.token += 1;
            self.wake = Some((at, self.token));
            self.actions.push(Action::Wake { after: at - now, token: self.token });
        }
    }
}

/// Spell or none, then the order of an address.
type AddressOrder = (bool, (bool, usize, u32, u32));

/// The routes of a destination.
fn routes_of(to: DestinationId) -> std::ops::RangeInclusive<RouteId> {
    RouteId(to, None)..=RouteId(to, Some(EndpointId(u32::MAX)))
}

impl Route {
    /// Whether this courier has too few messages here for a figure of its own (`LIGHT`).
    fn is_light(&mut self, now: Time, settings: &Settings) -> bool {
        self.demand.rate(now, cold_s(settings), 0.0) * cold_s(settings) < LIGHT
    }

    /// This courier's part of what all may send together, a second, so that a destination survives a return;
    /// `warmth` runs from 0 to 1 over a cold one. It goes by what was served here before, which adds up to
    /// what the destination can do however many want it (own demand does not: hunted day h1c8921, thirty
    /// times the limit), or by the even part. Trials, slow starts and last cuts share this one budget.
    fn fall_part(&mut self, now: Time, settings: &Settings, warmth: f64) -> f64 {
        let demand = self.demand.rate(now, cold_s(settings), 0.0);
        let most = if self.is_light(now, settings) { demand * 2.5 } else { self.share * DEMAND_OF_SERVED };
        let own = if self.is_light(now, settings) { most } else { demand.min(most) }.max(self.share);
        let part = own.max(self.weight / couriers(settings));
        let share = settings.rules.cold_from + (1.0 - settings.rules.cold_from) * warmth;
        part * share * settings.rules.tip_multiple * FALL_BUDGET_USED
    }

    /// Sets when the next trial call of a spell may go: at growing, jittered gaps, and by this courier's part
    /// of the fall budget; trials that are refused can also use up a small limit by themselves (i2aa64d).
    fn plan_trial(&mut self, now: Time, settings: &Settings, chance: f64) {
        // Chance without memory: the trials of all couriers add up to the budget, however they began.
        let own =
            Duration::from_secs_f64(-chance.max(0.01).ln() / self.fall_part(now, settings, 0.0).max(0.001));
        let Some(spell) = &mut self.spell else { return };
        let (fall, (first, longest)) = (settings.rules.fall, TRIAL_GAPS_OF_FALL);
        let gap = growing_gap(fall, first, spell.trials).min(fall.mul_f64(longest));
        let jitter = TRIAL_JITTER_FROM + chance * (1.0 - TRIAL_JITTER_FROM);
        // Behind a told wait no gap runs out: who waits together must not come back together.
        spell.next_trial = now.max(self.told_wait) + gap.mul_f64(jitter).max(own);
    }
}

/// Couriers that share the destinations: an even part is one over this.
fn couriers(settings: &Settings) -> f64 {
    f64::from(settings.couriers.max(1))
}

/// Until when a keyed message may be resent that may first have run in an attempt sent then.
fn window_end(class: &Class, first: Time) -> Time {
    first + class.repeat_window.mul_f64(1.0 - WINDOW_MARGIN)
}

fn earliest(next: &mut Option<Time>, at: Option<Time>) {
    *next = [*next, at].into_iter().flatten().min();
}

/// A gap that doubles from try to try.
fn growing_gap(unit: Duration, first: f64, tries: u32) -> Duration {
    unit.mul_f64(first * f64::from(tries.min(16)).exp2())
}

/// Shortest aim of a class, in seconds.
fn shortest_aim(settings: &Settings) -> f64 {
    let aim = settings.classes.iter().map(|c| c.aim).min();
    aim.unwrap_or(Duration::from_secs(1)).as_secs_f64().max(0.001)
}

/// How long a cold return lasts, in seconds.
fn cold_s(settings: &Settings) -> f64 {
    settings.rules.cold.as_secs_f64().max(1.0)
}
