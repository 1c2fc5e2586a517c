//! Every decision of a courier. Types, events and actions are in `interface.rs`, what it keeps in mind in
//! `books.rs`; nothing is decided there.
//!
//! The ordinary path: a message waits in the queue of its destination; a free call slot goes to the waiting
//! destination with the fewest calls out; a message whose attempt may have run goes again under its one key,
//! inside group, window and attempt limit, after a full-jitter exponential gap. All else guards that path.

use crate::books::*;
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

// ---- Tuned values ----

/// First and longest gap before a repeat, as parts of the class's aim.
const BACKOFF_OF_AIM: (f64, f64) = (0.05, 0.7);
/// A keyed message is not resent in the last part of its window: the call must still arrive inside it.
const WINDOW_MARGIN: f64 = 0.1;
/// Latency assumed before the first answer, as a part of the shortest aim.
const FIRST_LATENCY_OF_AIM: f64 = 0.2;
/// Least weight of the newest latency in the running mean; the first few weigh more.
const LATENCY_GAIN: f64 = 0.15;
/// Time-out of a repeatable attempt, in latencies (mean and deviation) of its destination, bounded in aims.
const TIMEOUT_LATENCIES: f64 = 4.0;
const TIMEOUT_AIMS: (f64, f64) = (0.5, 3.0);
/// A call is stalled after so many latencies, and at least this part of the shortest aim: pauses pass by.
const STALL_LATENCIES: f64 = 3.0;
const STALL_AIM: f64 = 0.25;
/// An unsafe call gets so many times that patience before it is called off: what it carries is lost then.
const UNSAFE_PATIENCE: u32 = 2;
/// First gap between trial calls, as a part of the fall window, and the longest one; both are jittered.
const TRIAL_GAPS_OF_FALL: (f64, f64) = (0.1, 0.6);
/// Own demand counts towards the fall budget up to so many times what was served here before.
const DEMAND_OF_SERVED: f64 = 1.5;
/// With fewer messages than this over a cold return's length a courier is light: what was served to it tells
/// nothing, and so many times its demand stands for its part, as its messages would run out untried.
const LIGHT: f64 = 2.0;
const LIGHT_DEMAND: f64 = 2.5;
/// After a refusal its next call comes by chance within so many calls of its pace more, for they are many.
const LIGHT_SPREAD: f64 = 3.0;
/// First and longest gap before asking for the list, as parts of the time that may pass without; full jitter.
const ASK_GAPS: (f64, f64) = (0.5, 1.5);
/// Shortest part of a gap that chance may leave: who failed together must not come back together.
const TRIAL_JITTER_FROM: f64 = 0.25;
/// A spell without success shorter than this part of the fall window needs no slow start.
const BLIP_OF_FALL: f64 = 0.6;
/// Evidence that opens a spell, and what each outcome adds: a lost call, an error or no connection hints at
/// an outage (two in a row, as a light courier has few), single refusals are everyday life.
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
/// Growth of a rate that binds with each answer, as a part of itself or of one call an aim.
const RATE_GROWTH: f64 = 0.25;
/// A refusal with more than this share of the limit left, as told, is not for the limit.
const ROOM_LEFT: f64 = 0.3;
/// A refusal with less than this share left is for a limit that is used up: a clump must wait too.
const USED_UP: f64 = 0.05;
/// Weight of what follows a refusal in the risk that refused calls use up the limit (the next one finds
/// nothing left either), and the risk from which on a first refusal counts as such.
const JAM_GAIN: f64 = 0.1;
const JAMMED: f64 = 0.1;
/// Growth where the share of a limit that is left is told: to this use of it, if all do as this courier,
/// in so many aims (what is told is old, and where spans are counted all is left as each begins; one where
/// an even part is no call an aim), as if this share were used at least: one answer does not tell how little.
const TOLD_USE: (f64, f64) = (0.1, 0.9);
const TOLD_AIMS: f64 = 3.0;
/// Where a limit is told, what waits raises the pace after a refusal to so many calls an aim at most.
const CLUMP_CALLS: f64 = 4.0;
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
/// Risk from which on idle connections are closed before use: by unsafe messages, and by repeatable ones.
const REAPED_RISKS: (f64, f64) = (0.03, 0.25);
/// ... beyond so many times the risk of a call on a new connection, which chance moves too.
const REAPED_OTHER: f64 = 2.0;
/// A connection in use until this part of the shortest aim ago was not idle: what it loses has other causes.
const REAPED_LEAST_AIM: f64 = 0.1;
/// Connections idle for this part of the shortest time that lost a call are trusted.
const REAPED_MARGIN: f64 = 0.7;
/// While idle connections are closed, one is tried so many of the shortest aim after the last loss.
const REAPED_CHECK_AIMS: f64 = 4.0;

/// Weight of a failed connection, and of an answer, in the risk that a kind has no room for one. It outlasts
/// a hundred answers, as closing idle connections makes the room that speaks against it.
const CROWDING_GAINS: (f64, f64) = (0.3, 0.03);
/// Risk from which on they are closed, unless the next call is expected within so many times what one takes.
const CROWDED: f64 = 0.02;
const KEEP_LATENCIES: f64 = 2.0;
/// Endpoints take turns where each is called so often while an idle connection lasts: one in 400 lapses.
const TURN_CALLS: f64 = 6.0;

// ---- State ----

/// A courier: records events in `handle`, acts in `decide`.
#[derive(Default)]
pub struct DeliveryPolicy {
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
    keys: BTreeMap<OrderKey, Vec<MessageId>>,
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
    /// Something waits for a slot, or for a place in a bulkhead: since the last look.
    pinned: bool,
    wake: Option<(Time, u64)>,
    token: u64,
    /// What is to be done, until `decide` hands it over.
    actions: Vec<Action>,
}

impl DeliveryPolicy {
    /// A courier that knows only its settings; `seed` is its one source of chance.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let first = shortest_aim(&settings) * FIRST_LATENCY_OF_AIM;
        let usual = Latency { mean: first, deviation: first, samples: 0 };
        DeliveryPolicy { settings, rng: fastrand::Rng::with_seed(seed), usual, ..DeliveryPolicy::default() }
    }

    /// Records one event. Call [`DeliveryPolicy::next_actions`] after the last one of a batch.
    pub fn on_event(&mut self, now: Time, event: Event) {
        match event {
            Event::EndpointsUpdated(listing) => self.on_listing(now, listing),
            Event::Submitted(message) => self.on_accept(now, message),
            Event::Recovered(message, past) => self.on_recovered(now, message, past),
            Event::AttemptCompleted(finished) => self.on_finished(now, finished),
            Event::RetryAfter { endpoint, wait } => self.heed(now, endpoint, wait),
            Event::Cancelled(id) => self.close(id),
            Event::TimerFired(token) => self.wake = self.wake.filter(|(_, set)| *set != token),
            Event::FirstByte(_) | Event::ProbeCompleted { .. } | Event::NoteReceived { .. } => {}
        }
    }

    /// Acts on all that was recorded.
    pub fn next_actions(&mut self, now: Time, actions: &mut Vec<Action>) {
        let ask = self.ask_at.take_if(|at| *at <= now);
        self.actions.extend(ask.map(|_| Action::SubscribeEndpoints { active: true }));
        self.answer_due(now);
        self.shed(now);
        let mut next = self.note_stalls(now);
        self.send_ready(now, &mut next);
        self.free_pinned_slot(now);
        self.close_crowding(now);
        self.set_wake(now, next);
        actions.append(&mut self.actions);
    }

    /// Whether what was decided may still go: a connection may come up late, and a wait, a drain or an outage
    /// come before it. Asked as late as the bytes allow; what may not is `Withheld`, and goes when it may.
    pub fn may_send_now(&self, now: Time, id: MessageId) -> bool {
        let Some(message) = self.messages.get(&id).filter(|m| !m.closed) else { return false };
        let Some(call) = message.out.and_then(|call| self.calls.get(&call)) else { return false };
        let keeps_work =
            self.addresses.get(&call.to).is_some_and(|a| a.entry.state.accepts_scheduled_requests());
        let changed = self.routes.get(&call.route).is_none_or(|route| route.changed_since(now, call));
        keeps_work && !changed && now <= self.last_send(message)
    }

    // ---- Events ----

    fn on_listing(&mut self, now: Time, listing: EndpointListUpdate) {
        // Without a subscription no drain is told. All couriers start at once and the list answers only so
        // many: they ask spread over half of what the rules let pass, and after a failure later still.
        let (first, failed) = (self.addresses.is_empty(), matches!(listing, EndpointListUpdate::Unavailable));
        self.asks_failed = if failed { self.asks_failed + 1 } else { 0 };
        if self.settings.discovery == Discovery::Ask && (failed || first) {
            let gap = growing_gap(self.settings.rules.discovery_interval, ASK_GAPS, self.asks_failed);
            self.ask_at = Some(now + gap.mul_f64(self.rng.f64()));
        }
        let entries = match listing {
            EndpointListUpdate::Unavailable => return,
            EndpointListUpdate::Delta(entries) => entries,
            EndpointListUpdate::Snapshot(entries) => {
                // What a whole list does not name is gone: it gets nothing new from now on.
                for address in self.addresses.values_mut() {
                    address.entry.state = EndpointState::Removed;
                }
                entries
            }
        };
        for entry in entries {
            let told = self.settings.weights != WeightSource::Silent;
            let weight = if told { entry.weight.max(0.1) } else { 0.0 };
            let batch = self.settings.kinds.get(usize::from(entry.kind.0)).map_or(1, |k| k.max_batch.max(1));
            let route = self.routes.entry(self.route_of(&entry)).or_insert_with(|| {
                let rate = if told { weight } else { UNTOLD_RATE };
                Route { rate, tokens: 1.0, filled: now, last_answer: now, ..Route::default() }
            });
            // Where the list is silent, what answers told of the limit stays.
            route.weight = if told { weight } else { route.weight };
            (route.batch, route.kind, route.gentle) =
                (batch, entry.kind, entry.state == EndpointState::OneAtATime);
            if let Some(known) = self.addresses.get_mut(&entry.id) {
                known.entry = entry;
                continue;
            }
            route.endpoints.push(entry.id);
            let turn = self.turns_taken(entry.destination) + self.rng.u64(..self.turn_of(&entry));
            self.addresses.insert(entry.id, Address::new(entry, turn));
        }
    }

    fn on_accept(&mut self, now: Time, taken: Submission) {
        let Some(class) = self.settings.classes.get(usize::from(taken.class.0)) else { return };
        // Where clients mark what they hand in again, a fresh one with little time left is not an old one.
        let fresh = self.settings.clients_mark_retries && !taken.resubmitted && !taken.from_lost_instance;
        let born = if fresh { now } else { (taken.deadline - class.deadline).min(now) };
        // A keyed message of a courier that died may have run there at any time since it was handed in.
        let may_have_run = taken.from_lost_instance && class.effect == Effect::Keyed;
        if let (true, Some(key)) = (class.ordered, taken.key) {
            self.keys.entry(key).or_default().push(taken.id);
        }
        self.deadlines.insert((taken.deadline, taken.id));
        self.queues.entry(taken.destination).or_default().push(taken.id);
        self.open += 1;
        let part = self.routes_to(taken.destination).recip();
        for (_, route) in self.routes.range_mut(routes_of(taken.destination)) {
            route.demand.rate(now, cold_s(&self.settings), part);
        }
        let mut message = Message::new(taken, born, now);
        message.over_share = self.is_over_share(now, message.taken.tenant);
        message.maybe_ran = may_have_run.then_some((born, None));
        self.messages.insert(message.taken.id, message);
    }

    /// A restart forgives nothing: attempts used stay used, the window runs from the first one that may have
    /// run, and a call that was out then lets its key rest. What can never go again is answered at once.
    fn on_recovered(&mut self, now: Time, taken: Submission, past: RecoveredAttempts) {
        let (id, key, settle) = (taken.id, taken.key, self.settings.rules.key_cooldown);
        self.on_accept(now, taken);
        let Some(message) = self.messages.get_mut(&id) else { return };
        (message.born, message.attempts) = (past.submitted_at, past.attempts);
        (message.maybe_ran, message.left_untried) = (past.may_have_run, past.attempts == 0);
        self.rests.extend(key.filter(|_| past.last_attempt_open).map(|key| (key, now + settle)));
        let Some(message) = self.messages.get(&id) else { return };
        self.deadlines.insert((self.last_send(message).max(now).min(message.taken.deadline), id));
    }

    /// Whether a tenant is past its quota for all couriers together: what passes the part assumed to be this
    /// courier's, saved up over a cold return's length (a second's is under one message), counts as beyond.
    fn is_over_share(&mut self, now: Time, tenant: TenantId) -> bool {
        let Some(quota) = self.settings.tenants.get(tenant.0 as usize).map(|t| t.quota) else { return false };
        let part = (QUOTA_PART / couriers(&self.settings)).min(1.0);
        let most = quota * part * cold_s(&self.settings);
        let (left, since) = self.shares.entry(tenant).or_insert((most, now));
        *left = (*left + (now - *since).as_secs_f64() * quota * part).min(most);
        *since = now;
        let over = *left < 1.0;
        *left -= f64::from(!over);
        over
    }

    /// A wait binds from the batch that tells it, whatever became of the message that brings it.
    fn heed(&mut self, now: Time, endpoint: EndpointId, wait: Duration) {
        let route = self.addresses.get(&endpoint).map(|a| self.route_of(&a.entry));
        if let Some(route) = route.and_then(|id| self.routes.get_mut(&id)) {
            route.told_wait = route.told_wait.max(now + wait);
        }
    }

    fn on_finished(&mut self, now: Time, finished: AttemptCompleted) {
        if let AttemptOutcome::Rejected(Some(wait)) = finished.outcome {
            self.heed(now, finished.endpoint, wait);
        }
        let Some(message) = self.messages.get_mut(&finished.message) else { return };
        let Some(call_id) = message.out.take() else { return };
        let Some(call) = self.calls.get_mut(&call_id) else { return };
        let class = &self.settings.classes[usize::from(message.taken.class.0)];
        if finished.outcome.may_have_run() && message.maybe_ran.is_none() {
            message.maybe_ran = Some((call.sent, Some(call.zone)));
        }
        if finished.outcome == AttemptOutcome::NotStarted {
            message.attempts -= 1;
        } else {
            let gap = growing_gap(class.latency_objective, BACKOFF_OF_AIM, message.attempts);
            message.not_before = now + gap.mul_f64(self.rng.f64());
        }
        // A call that may still be running lets its key rest before the next message of the key.
        let unsettled = matches!(
            finished.outcome,
            AttemptOutcome::Timeout | AttemptOutcome::Reset | AttemptOutcome::Abandoned
        );
        if let (true, true, Some(key)) = (unsettled, class.ordered, message.taken.key) {
            self.rests.retain(|_, until| *until > now);
            self.rests.insert(key, now + self.settings.rules.key_cooldown);
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
        } else if let Some(message) = self.messages.get(&finished.message) {
            // What can never be sent again is answered at once: it would fill the hold and keep its key.
            let end = self.last_send(message);
            let due = if message.not_before > end { now } else { end.max(now) };
            self.deadlines.insert((due, finished.message));
        }
        self.forget_if_over(finished.message);
    }

    /// Until when a message may be sent again.
    fn last_send(&self, message: &Message) -> Time {
        let class = self.class(message);
        match (message.maybe_ran, class.effect) {
            _ if message.attempts - u32::from(message.out.is_some()) >= self.settings.max_attempts => {
                Time::ZERO
            }
            (Some(_), Effect::Unsafe) => Time::ZERO,
            (Some((first, _)), Effect::Keyed) => retry_window_end(class, first).min(message.taken.deadline),
            _ => message.taken.deadline,
        }
    }

    /// Frees the slot of a call and lets address, connections and route learn from its outcome.
    fn end_call(&mut self, now: Time, id: u64, call: Call, finished: &AttemptCompleted) {
        if let Some(route) = self.routes.get_mut(&call.route) {
            route.out.remove(&id);
        }
        let lost = matches!(
            finished.outcome,
            AttemptOutcome::Timeout | AttemptOutcome::Reset | AttemptOutcome::Abandoned
        );
        let reaped =
            lost && self.reaping.risk > 0.0 && call.idle.is_some_and(|idle| idle >= self.reaping.idle);
        if !(lost && call.stalled) {
            self.learn_of_idle(now, call.idle, lost, finished.outcome == AttemptOutcome::Ok);
        }
        let rules = &self.settings.rules;
        if let Some(address) = self.addresses.get_mut(&call.to) {
            address.calls_out = address.calls_out.saturating_sub(1);
            self.ended.insert(call.to);
            let habits = self.habits.entry(address.entry.kind).or_default();
            match finished.outcome {
                AttemptOutcome::Ok => {
                    lean(&mut habits.crowding, 0.0, CROWDING_GAINS.1);
                    (address.no_room, address.used, address.failures) = (None, Some(now), 0);
                }
                AttemptOutcome::Rejected(_) => address.used = Some(now),
                _ if reaped => {}
                AttemptOutcome::ConnectFailed
                | AttemptOutcome::Timeout
                | AttemptOutcome::Reset
                | AttemptOutcome::Error => {
                    // One that fails may lack room; what goes on failing for a fall window is down.
                    if finished.outcome == AttemptOutcome::ConnectFailed {
                        let since = *address.no_room.get_or_insert(now);
                        if since == now || now - since > rules.overload_window {
                            lean(&mut habits.crowding, f64::from(since == now), CROWDING_GAINS.0);
                        }
                    }
                    address.failures += 1;
                    let longest = rules.warm_up_time.as_secs_f64() / rules.overload_window.as_secs_f64();
                    let gap =
                        growing_gap(rules.overload_window, (TRIAL_GAPS_OF_FALL.0, longest), address.failures);
                    address.avoid_until = now + gap.mul_f64(self.rng.f64());
                }
                AttemptOutcome::Abandoned | AttemptOutcome::Unsent | AttemptOutcome::NotStarted => {}
            }
        }
        if !reaped {
            self.learn(now, finished, &call);
        }
    }

    /// A loss on an idle connection speaks for ones dropped unseen, an answer on one idle as long against it.
    fn learn_of_idle(&mut self, now: Time, idle: Option<Duration>, lost: bool, answered: bool) {
        let aim = shortest_aim(&self.settings);
        let Some(idle) = idle.filter(|idle| idle.as_secs_f64() > aim * REAPED_LEAST_AIM) else {
            if lost || answered {
                lean(&mut self.reaping.other, f64::from(lost), REAPED_GAIN);
            }
            return;
        };
        let reaping = &mut self.reaping;
        if lost {
            reaping.idle = if reaping.risk > 0.0 { reaping.idle.min(idle) } else { idle };
            lean(&mut reaping.risk, 1.0, REAPED_GAIN);
            reaping.next_check = now + Duration::from_secs_f64(aim * REAPED_CHECK_AIMS);
        } else if answered && idle >= reaping.idle {
            lean(&mut reaping.risk, 0.0, REAPED_GAIN);
            reaping.next_check = now;
            reaping.risk *= f64::from(reaping.risk >= REAPED_RISKS.0);
        }
    }

    // ---- Health and pace ----

    /// Health and pace of a route, from the outcome of one call.
    fn learn(&mut self, now: Time, finished: &AttemptCompleted, call: &Call) {
        let patience = self.stall_patience(call.route);
        let (settings, chance) = (&self.settings, self.rng.f64());
        let waiting = self.queues.get(&call.route.0).map_or(0, Vec::len) as f64;
        let waiting = waiting / self.routes_to(call.route.0);
        let Some(route) = self.routes.get_mut(&call.route) else { return };
        let habits = self.habits.entry(route.kind).or_default();
        let told = finished.rate_limit.filter(|a| a.limit > 0.0);
        route.weight = told.map_or(route.weight, |a| a.limit);
        let left = told.map(|a| a.remaining.clamp(0.0, 1.0));
        let an_aim = shortest_aim(settings).recip();
        // A time-out is a sample too: else repeats would meet first calls still running in slow spells. Not
        // of one that was overtaken: it was lost with its connection, and would teach ever longer patience.
        let sample = match finished.outcome {
            AttemptOutcome::Ok => true,
            AttemptOutcome::Timeout | AttemptOutcome::Abandoned => !route.overtook(call, patience),
            _ => false,
        };
        if sample {
            if route.latency.samples == 0 {
                route.latency = Latency { samples: 0, ..self.usual };
            }
            route.latency.learn(finished.latency, LATENCY_GAIN);
        }
        // With a success since it was sent, a lost call says nothing of the route. Nor do errors and resets
        // while an endpoint is left that did not fail; silence does, as a hang mostly takes all.
        let sound = |a: &Address| a.entry.state.accepts_new_requests() && a.failures == 0;
        let alone = call.sent >= route.last_answer;
        let all_sick = alone && !route.endpoints.iter().filter_map(|id| self.addresses.get(id)).any(sound);
        let blip = settings.rules.overload_window.mul_f64(BLIP_OF_FALL);
        match finished.outcome {
            AttemptOutcome::Ok => {
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
                if route.bound {
                    let growth = RATE_GROWTH * route.rate.min(an_aim);
                    // By the time that passed, not by the answer: what is left comes late, and hundreds that
                    // double with each answer stand far above it at once. Fewer share less than a call each.
                    let aims = ((now - route.last_answer).as_secs_f64() * an_aim).min(1.0);
                    let room = |left: f64| (TOLD_USE.1 / (1.0 - left).max(TOLD_USE.0)).max(1.0);
                    let slow = (TOLD_AIMS * route.weight / an_aim / couriers(settings)).clamp(1.0, TOLD_AIMS);
                    let told_growth = |left| route.rate * (room(left).powf(aims / slow) - 1.0);
                    route.rate += left.map_or(growth, told_growth);
                }
                if route.cuts > 0 {
                    lean(&mut habits.jam, 0.0, JAM_GAIN);
                }
                route.spell = None;
                (route.evidence, route.cuts) = (0, 0);
                route.last_answer = now;
                return;
            }
            // Shut, and told until when: all whom the door refused come back at one moment. So the slow start
            // begins there, by chance inside a call of its pace, with nothing saved behind the door.
            AttemptOutcome::Rejected(Some(wait)) if wait > blip => {
                (route.spell, route.returned) = (None, Some(route.told_wait));
                (route.filled, route.tokens) = (route.told_wait, chance);
                return;
            }
            AttemptOutcome::Rejected(_) => {
                // Refused though there is room inside the limit: it is shut or hangs with its queue full.
                let room = left.is_some_and(|left| left > ROOM_LEFT);
                let used_up = left.is_some_and(|left| left < USED_UP);
                if route.cuts > 0 {
                    lean(&mut habits.jam, f64::from(used_up), JAM_GAIN);
                }
                let used_up = used_up && (route.cuts > 0 || habits.jam > JAMMED);
                // Without any limit a refusal tells of a full queue or an outage: no clump may go on.
                let used_up = used_up || finished.rate_limit.is_some_and(|a| a.limit <= 0.0);
                route.evidence += if room { EVIDENCE_LOST } else { EVIDENCE_REFUSED };
                if now - route.last_cut > CUT_EVERY {
                    let cut = RATE_CUTS[route.cuts.min(RATE_CUTS.len() - 1)];
                    route.cuts += 1;
                    // A clump must not wait at usual pace; where one call carries many, one an aim will do.
                    let late = route.sent.rate(now, LATE_S, 0.0).max(waiting * an_aim);
                    let late = match route.batch {
                        _ if used_up => 0.0,
                        1 => late,
                        _ => route.sent.rate(now, LATE_S, 0.0).min(an_aim),
                    };
                    let own = route.demand.rate(now, cold_s(settings), 0.0);
                    // What waits at all who were refused adds up to many times a limit that many share.
                    let most = told.map_or(f64::MAX, |_| (CLUMP_CALLS * an_aim).max(route.share));
                    let late = late.max(own).min(most).max(route.weight / couriers(settings));
                    let slowest = route.fall_part(now, settings, 0.0);
                    route.rate = (cut * route.rate.min(late)).max(slowest.min(route.rate));
                    route.last_cut = now;
                }
                // By chance, as all that were refused together would come back together.
                let spread = if route.is_light(now, settings) { LIGHT_SPREAD } else { 1.0 };
                route.tokens = route.tokens.min(-chance * spread);
            }
            // A pace set since was meant for what is still to go.
            AttemptOutcome::NotStarted => return route.tokens += f64::from(!route.changed_since(now, call)),
            AttemptOutcome::Error | AttemptOutcome::Reset if all_sick => route.evidence += EVIDENCE_LOST,
            AttemptOutcome::Error | AttemptOutcome::Reset | AttemptOutcome::Unsent => {}
            _ if alone => route.evidence += EVIDENCE_LOST,
            _ => {}
        }
        if route.evidence >= SPELL_AFTER || (route.spell.is_some() && route.evidence >= EVIDENCE_LOST) {
            let spell = route.spell.get_or_insert(Spell { began: route.last_answer, ..Spell::default() });
            spell.failed = true;
            spell.lost |= !matches!(finished.outcome, AttemptOutcome::Rejected(_));
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
        let route = self.routes.get_mut(&id)?;
        let rate = route.pace(now, &self.settings);
        route.paced = false;
        if route.told_wait > now {
            return Some(route.told_wait);
        }
        // Hung destinations answer nothing: the silence itself opens the spell, long before a time-out would.
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
            // Calls that hang at every destination fill all bulkheads while a few slots are free.
            self.pinned |= self.queues.get(&id.0).is_some_and(|queue| queue.len() > route.out.len());
            return None;
        }
        let burst = if route.returned.is_some() || route.gentle { 1.0 } else { (rate * BURST_S).max(1.0) };
        let passed = (now - route.filled).as_secs_f64();
        route.tokens = (route.tokens + passed * rate).min(burst);
        route.filled = now;
        route.bound = route.tokens < 1.0;
        route.paced = route.bound && route.returned.is_none();
        if route.bound {
            return Some(now + Duration::from_secs_f64(((1.0 - route.tokens) / rate).clamp(0.001, 10.0)));
        }
        Some(now)
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
            let calls_to = |to| self.routes.range(routes_of(to)).map(|(_, route)| route.out.len());
            let calls = |to| calls_to(to).sum::<usize>();
            let order = |a: &(DestinationId, f64), b: &(DestinationId, f64)| {
                calls(a.0).cmp(&calls(b.0)).then(b.1.total_cmp(&a.1))
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

    /// The best message of a destination that may be sent now, by which route and endpoint, and its worth for
    /// the time that a slot is taken; if none, `next` tells when that may be.
    fn candidate(&mut self, now: Time, to: DestinationId, next: &mut Option<Time>) -> Option<Candidate> {
        // Of routes apart the least used one that works goes first, as among the endpoints of a route.
        let mut best: Option<Candidate> = None;
        for route in self.routes.range(routes_of(to)).map(|(id, _)| *id).collect::<Vec<_>>() {
            let free = self.route_free_at(now, route);
            earliest(next, free.filter(|at| *at > now));
            let paced = self.routes.get(&route).is_some_and(|route| route.paced);
            if free.is_none_or(|at| at > now) && !paced {
                continue;
            }
            let Some((message, worth)) = self.pick(now, route, next) else { continue };
            let chosen = self.messages.get(&message).and_then(|m| self.address_for(now, route, m));
            let Some(endpoint) = chosen else { continue };
            let takes = self.latency(route).mean.max(0.001);
            let order = |endpoint| self.order_of(now, &self.addresses[&endpoint]);
            if best.is_none_or(|(_, least, ..)| order(endpoint) < order(least)) {
                best = Some((route, endpoint, message, worth / takes));
            }
        }
        best
    }

    /// Fewest calls out first, sick ones last, near before far; ties in turn, from a start of its own.
    fn order_of(&self, now: Time, a: &Address) -> (bool, bool, usize, u32, bool, bool, u64) {
        let route = self.routes.get(&self.route_of(&a.entry));
        let spell = route.is_some_and(|route| route.spell.is_some());
        let far = a.entry.zone != self.settings.zone;
        let closed = |idle| a.used.is_none_or(|used| now - used >= idle);
        let lapsed = route.is_none_or(|route| route.stays) && closed(self.settings.connection_idle_timeout);
        (spell, a.avoid_until > now, a.calls_out, a.failures, far, lapsed, a.turn)
    }

    /// How far one call moves an endpoint's turn on: routes apart have turns by their told limits.
    fn turn_of(&self, entry: &Endpoint) -> u64 {
        let apart = self.route_of(entry).1.is_some() && self.settings.weights != WeightSource::Silent;
        ((1u64 << 32) as f64 / if apart { entry.weight.max(0.1) } else { 1.0 }) as u64
    }

    /// How far the turns at a destination are: where its latest call went. What is new begins there.
    fn turns_taken(&self, to: DestinationId) -> u64 {
        let of = self.routes.range(routes_of(to)).flat_map(|(_, route)| &route.endpoints);
        let taken = |a: &Address| a.turn.saturating_sub(self.turn_of(&a.entry));
        of.filter_map(|endpoint| self.addresses.get(endpoint)).map(taken).max().unwrap_or(0)
    }

    /// An endpoint had its turn. What was left out (sick, far, not open) owes one call, not all: everybody's
    /// next calls would meet at one that came back. In whole turns, as its own start stays.
    fn take_turn(&mut self, now: Time, id: RouteId, to: EndpointId) {
        let taken = self.turns_taken(id.0);
        let Some(entry) = self.addresses.get(&to).map(|a| a.entry.clone()) else { return };
        let turn = self.turn_of(&entry);
        let crowded = self.habits.get(&entry.kind).is_some_and(|h| h.crowding > CROWDED);
        let (Some(address), Some(route)) = (self.addresses.get_mut(&to), self.routes.get_mut(&id)) else {
            return;
        };
        address.turn += turn * (1 + taken.saturating_sub(address.turn + turn).div_ceil(turn.max(1)));
        let calls = route.demand.rate(now, cold_s(&self.settings), 0.0) / route.endpoints.len() as f64;
        route.stays = crowded || calls * self.settings.connection_idle_timeout.as_secs_f64() < TURN_CALLS;
    }

    /// The waiting message of most worth that may go now. A trial goes by whether it may be repeated. What an
    /// earlier process left untried goes first, and it alone past the pace, when its time is nearly up.
    fn pick(&self, now: Time, id: RouteId, next: &mut Option<Time>) -> Option<(MessageId, f64)> {
        let route = self.routes.get(&id)?;
        let usual = Duration::from_secs_f64(self.latency(id).times(TIMEOUT_LATENCIES));
        let mut best: Option<((bool, bool, f64), MessageId)> = None;
        for message in self.queues.get(&id.0).into_iter().flatten().filter_map(|m| self.messages.get(m)) {
            let untried = message.is_left_untried();
            let last = if route.paced { message.taken.deadline - usual } else { now };
            let at = self.sendable_at(now, message).filter(|_| untried || !route.paced);
            let at = at.filter(|_| self.address_for(now, id, message).is_some()).map(|at| at.max(last));
            if at.is_none_or(|at| at > now) {
                earliest(next, at);
                continue;
            }
            let fit = route.spell.is_none() || self.repeatable(message);
            let order = (fit, untried, self.worth(now, message));
            if best.is_none_or(|(best, _)| order > best) {
                best = Some((order, message.taken.id));
            }
        }
        best.map(|((.., worth), id)| (id, worth))
    }

    fn class(&self, message: &Message) -> &Class {
        &self.settings.classes[usize::from(message.taken.class.0)]
    }

    fn repeatable(&self, message: &Message) -> bool {
        self.class(message).effect != Effect::Unsafe
    }

    /// The one gate for every send: when this message may be sent; none if not before some event, or never.
    fn sendable_at(&self, now: Time, message: &Message) -> Option<Time> {
        if message.closed || message.out.is_some() || now > self.last_send(message) {
            return None;
        }
        let class = self.class(message);
        let mut at = message.not_before;
        if let (true, Some(key)) = (class.ordered, message.taken.key) {
            if self.keys.get(&key).and_then(|turn| turn.first()) != Some(&message.taken.id) {
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
        let end = (self.last_send(message) - message.born).as_secs_f64();
        let class = self.class(message);
        let (aim, span) = (class.latency_objective.as_secs_f64().max(0.001), class.deadline.as_secs_f64());
        let value = |age: f64| match self.settings.decay {
            _ if age > end => 0.0,
            _ if age <= aim => 1.0,
            Decay::Linear => 1.0 - (1.0 - class.late_value_ratio) * (age - aim) / (span - aim).max(0.001),
            Decay::Halving => ((aim - age) / aim).exp2().max(class.late_value_ratio),
        };
        let age = (now - message.born).as_secs_f64();
        let share = if message.over_share { self.settings.over_quota_weight } else { 1.0 };
        class.priority_weight * share * ((1.0 + WAITING_LOSS) * value(age) - WAITING_LOSS * value(age + aim))
    }

    /// The best address of a route, inside the group of a repeat.
    fn address_for(&self, now: Time, id: RouteId, message: &Message) -> Option<EndpointId> {
        let class = self.class(message);
        let zone = match (class.effect, class.group, message.maybe_ran) {
            (Effect::Keyed, Group::Zone, Some((_, zone))) => Some(zone?),
            _ => None,
        };
        let of = self.routes.get(&id)?.endpoints.iter().filter_map(|endpoint| self.addresses.get(endpoint));
        let fit =
            |a: &&Address| a.entry.state.accepts_new_requests() && zone.is_none_or(|z| a.entry.zone == z);
        of.filter(fit).min_by_key(|a| self.order_of(now, a)).map(|a| a.entry.id)
    }

    /// One call: the message that was picked and, where a call may carry more, others that wait.
    fn send_call(&mut self, now: Time, id: RouteId, to: EndpointId, first: MessageId) {
        let idle = self.idle_connection(now, to, first);
        let Some(address) = self.addresses.get_mut(&to) else { return };
        address.calls_out += 1;
        let zone = address.entry.zone;
        self.take_turn(now, id, to);
        let Some(route) = self.routes.get_mut(&id) else { return };
        route.tokens -= f64::from(!route.paced);
        route.sent.rate(now, LATE_S, 1.0);
        let (mut room, trial) = (route.batch, route.spell.is_some());
        if let Some(spell) = &mut route.spell {
            spell.trials += 1;
            // What is only refused comes back unharmed, so that a trial may carry all that a call can.
            room = if spell.lost { 1 } else { room };
        }
        route.plan_trial(now, &self.settings, self.rng.f64());
        self.last_call += 1;
        route.out.insert(self.last_call);
        let (mut carried, mut next) = (Vec::new(), Some(first));
        while let Some(message) = next {
            let try_for = self.time_out(now, id, message);
            if let Some(m) = self.messages.get_mut(&message) {
                (m.attempts, m.out) = (m.attempts + 1, Some(self.last_call));
                self.actions.push(Action::Send { message, endpoint: to, timeout: try_for });
            }
            carried.push(message);
            next = if carried.len() == room { None } else { self.pick(now, id, &mut None).map(|(m, _)| m) };
        }
        let (route, sent, unanswered, stalled, called_off) = (id, now, carried.len(), false, false);
        let call = Call { route, to, zone, sent, carried, unanswered, idle, stalled, called_off, trial };
        self.calls.insert(self.last_call, call);
    }

    /// How long the connection has been idle that the next call to an endpoint would use. Where idle ones are
    /// dropped unseen, they are closed first; now and then one is tried, with a message that can be repeated.
    fn idle_connection(&mut self, now: Time, to: EndpointId, first: MessageId) -> Option<Duration> {
        let address = self.addresses.get(&to)?;
        let idle = now - address.used.filter(|used| now - *used < self.settings.connection_idle_timeout)?;
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

    /// Where endpoints have no room for a connection, those that would idle are closed unless a call takes
    /// them at once: others' idle ones count, and fill the room while nobody is served.
    fn close_crowding(&mut self, now: Time) {
        for id in std::mem::take(&mut self.ended) {
            let unused = |a: &&Address| a.calls_out == 0 && a.used.is_some();
            let Some(address) = self.addresses.get(&id).filter(unused) else { continue };
            let crowded = self.habits.get(&address.entry.kind).is_some_and(|h| h.crowding > CROWDED);
            let Some(route) = self.routes.get_mut(&self.route_of(&address.entry)) else { continue };
            let calls = route.demand.rate(now, cold_s(&self.settings), 0.0) / route.endpoints.len() as f64;
            if crowded && calls * route.latency.mean * KEEP_LATENCIES < 1.0 {
                self.actions.push(Action::CloseIdle { endpoint: id });
                self.addresses.entry(id).and_modify(|a| a.used = None);
            }
        }
    }

    /// Follows the destination's own latency; the last possible attempt gets all the time that is left.
    fn time_out(&self, now: Time, id: RouteId, message: MessageId) -> Duration {
        let Some(m) = self.messages.get(&message) else { return Duration::ZERO };
        let class = self.class(m);
        let left = m.taken.deadline - now;
        let usual = self.latency(id).times(TIMEOUT_LATENCIES);
        let aim = class.latency_objective.as_secs_f64();
        let span = Duration::from_secs_f64(usual.clamp(aim * TIMEOUT_AIMS.0, aim * TIMEOUT_AIMS.1));
        let first = m.maybe_ran.map_or(now, |(first, _)| first);
        let last = m.attempts + 1 >= self.settings.max_attempts
            || class.effect == Effect::Unsafe
            || (class.effect == Effect::Keyed && now + span > retry_window_end(class, first));
        let span = if last { left } else { span };
        span.min(left)
    }

    /// All slots taken while messages wait: the oldest call that hangs is called off, an unsafe one later.
    /// Behind a full bulkhead only one that was overtaken: its route answers, so that it is lost with its
    /// connection; at a partner that hangs as a whole it may be answered yet.
    fn free_pinned_slot(&mut self, now: Time) {
        let any = self.slots_free() == 0;
        let pinned = std::mem::take(&mut self.pinned) || any;
        if !self.settings.can_abandon || !pinned || self.open <= self.calls.len() {
            return;
        }
        let hanging = |call: &Call| {
            let mut carried = call.carried.iter().filter_map(|m| self.messages.get(m));
            let safe = carried.all(|m| self.repeatable(m));
            let patience = self.stall_patience(call.route) * if safe { 1 } else { UNSAFE_PATIENCE };
            let lost =
                any || self.routes.get(&call.route).is_some_and(|route| route.overtook(call, patience));
            !call.called_off && lost && now - call.sent > patience
        };
        let Some(id) = self.calls.iter().find(|(_, call)| hanging(call)).map(|(id, _)| *id) else { return };
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.called_off = true;
        for message in &call.carried {
            if let Some(m) = self.messages.get(message).filter(|m| m.out == Some(id)) {
                self.actions
                    .push(Action::AbandonAttempt { message: *message, attempt: (m.attempts - 1) as u16 });
            }
        }
    }

    // ---- Answers ----

    /// The final answer that a message may be given now; none while an attempt may still deliver it.
    fn permitted_answer(&self, now: Time, id: MessageId) -> Option<Action> {
        let message = self.messages.get(&id).filter(|m| !m.closed)?;
        let refusable = match self.class(message).effect {
            Effect::Safe => true,
            _ => message.maybe_ran.is_none() && message.out.is_none(),
        };
        let busy =
            Action::Reject { message: id, retry_after: self.stay_away(now, message.taken.destination) };
        Some(if refusable { busy } else { Action::Fail { message: id } })
    }

    /// How long a client had better stay away: until this courier may next call the destination.
    fn stay_away(&self, now: Time, to: DestinationId) -> Duration {
        let free = |r: &Route| r.told_wait.max(r.spell.as_ref().map_or(now, |spell| spell.next_trial));
        let soonest = self.routes.range(routes_of(to)).map(|(_, route)| free(route)).min();
        soonest.map_or(Duration::ZERO, |at| at - now).min(self.settings.max_retry_after.unwrap_or_default())
    }

    fn answer(&mut self, now: Time, id: MessageId) {
        self.actions.extend(self.permitted_answer(now, id));
        self.close(id);
    }

    /// Every message has a deadline that answers it in time; one that is out is left half of the slack.
    fn answer_due(&mut self, now: Time) {
        while let Some(&(due, id)) = self.deadlines.first().filter(|(due, _)| *due <= now) {
            self.deadlines.remove(&(due, id));
            let Some(message) = self.messages.get(&id).filter(|m| !m.closed) else { continue };
            let last_call = message.taken.deadline + self.settings.rules.answer_grace / 2;
            if message.out.is_some() && now < last_call {
                self.deadlines.insert((last_call, id));
            } else {
                self.answer(now, id);
            }
        }
    }

    /// Nearly full: what waits for the sick and the least worth go, before new messages are turned away.
    fn shed(&mut self, now: Time) {
        let most = (self.settings.max_queued as f64 * SHED_ABOVE) as usize;
        while self.open > most {
            let sick = |to| self.routes.range(routes_of(to)).all(|(_, route)| route.spell.is_some());
            let free = |m: &&Message| !m.closed && m.out.is_none() && !m.is_left_untried();
            let waiting = self.messages.values().filter(free);
            let ranked = waiting.map(|m| (!sick(m.taken.destination), self.worth(now, m), m.taken.id));
            let least = ranked.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(b.2.cmp(&a.2)));
            let Some((.., id)) = least else { return };
            self.answer(now, id);
        }
    }

    fn close(&mut self, id: MessageId) {
        if let Some(message) = self.messages.get_mut(&id).filter(|m| !m.closed) {
            message.closed = true;
            self.open -= 1;
            self.deadlines.remove(&(message.taken.deadline, id));
            let to = message.taken.destination;
            take_out(&mut self.queues, to, id);
        }
        self.forget_if_over(id);
    }

    /// A message is forgotten once it is answered and has nothing out; until then its key stays taken.
    fn forget_if_over(&mut self, id: MessageId) {
        if self.messages.get(&id).is_none_or(|m| !m.closed || m.out.is_some()) {
            return;
        }
        if let Some(key) = self.messages.remove(&id).and_then(|m| m.taken.key) {
            take_out(&mut self.keys, key, id);
        }
    }

    // ---- Settings and timers ----

    fn route_of(&self, entry: &Endpoint) -> RouteId {
        let apart = self.settings.kinds.get(usize::from(entry.kind.0)).is_some_and(|k| k.per_endpoint_limits);
        RouteId(entry.destination, apart.then_some(entry.id))
    }

    fn slots_free(&self) -> usize {
        self.settings.concurrency_limit.saturating_sub(self.calls.len())
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

impl Route {
    /// Whether a wait was told, or an outage was seen or ended, since a call was decided on.
    fn changed_since(&self, now: Time, call: &Call) -> bool {
        let lost = !call.trial && self.spell.as_ref().is_some_and(|spell| spell.failed);
        lost || self.told_wait > now || self.returned.is_some_and(|at| at > call.sent)
    }

    /// Whether a success came on the route beyond the patience with a call: it answers, and the call is lost.
    fn overtook(&self, call: &Call, patience: Duration) -> bool {
        self.last_answer > call.sent + patience
    }

    /// Whether this courier has too few messages here for a figure of its own (`LIGHT`).
    fn is_light(&mut self, now: Time, settings: &Settings) -> bool {
        self.demand.rate(now, cold_s(settings), 0.0) * cold_s(settings) < LIGHT
    }

    /// Calls a second that this courier may send now.
    fn pace(&mut self, now: Time, settings: &Settings) -> f64 {
        let warmth = self.returned.map_or(1.0, |since| (now - since).as_secs_f64() / cold_s(settings));
        if warmth >= 1.0 {
            self.returned = None;
            return self.rate;
        }
        self.fall_part(now, settings, warmth).min(self.rate)
    }

    /// This courier's part of what all may send together, a second, so that a destination survives a return;
    /// `warmth` runs from 0 to 1. It goes by what was served here before, which adds up to what the
    /// destination can do (demand does not: h1c8921), or by the even part. Trials, returns and cuts share it.
    fn fall_part(&mut self, now: Time, settings: &Settings, warmth: f64) -> f64 {
        let demand = self.demand.rate(now, cold_s(settings), 0.0);
        let most = self.share * DEMAND_OF_SERVED;
        let own = if self.is_light(now, settings) { demand * LIGHT_DEMAND } else { demand.min(most) };
        let part = own.max(self.share).max(self.weight / couriers(settings));
        let share = settings.rules.warm_up_capacity + (1.0 - settings.rules.warm_up_capacity) * warmth;
        part * share * settings.rules.overload_multiple * FALL_BUDGET_USED
    }

    /// Sets when the next trial call of a spell may go: at growing, jittered gaps, and by this courier's part
    /// of the fall budget; trials that are refused can also use up a small limit by themselves (i2aa64d).
    fn plan_trial(&mut self, now: Time, settings: &Settings, chance: f64) {
        // Chance without memory: the trials of light couriers add up to the budget, however they began.
        let jitter = TRIAL_JITTER_FROM + chance * (1.0 - TRIAL_JITTER_FROM);
        let part = self.fall_part(now, settings, 0.0).max(0.001);
        let drawn = if self.is_light(now, settings) { -chance.max(0.01).ln() } else { jitter };
        let own = Duration::from_secs_f64(drawn / part);
        let Some(spell) = &mut self.spell else { return };
        let gap = growing_gap(settings.rules.overload_window, TRIAL_GAPS_OF_FALL, spell.trials);
        // Behind a told wait no gap runs out: who waits together must not come back together.
        spell.next_trial = now.max(self.told_wait) + gap.mul_f64(jitter).max(own);
    }
}

/// Until when a keyed message may be resent that may first have run in an attempt sent then.
pub fn retry_window_end(class: &Class, first: Time) -> Time {
    first + class.retry_window.mul_f64(1.0 - WINDOW_MARGIN)
}

/// A gap that doubles from try to try, up to the longest one.
fn growing_gap(unit: Duration, (first, longest): (f64, f64), tries: u32) -> Duration {
    unit.mul_f64((first * f64::from(tries.min(16)).exp2()).min(longest))
}

/// Shortest aim of a class, in seconds.
fn shortest_aim(settings: &Settings) -> f64 {
    let aim = settings.classes.iter().map(|c| c.latency_objective).min();
    aim.unwrap_or(Duration::from_secs(1)).as_secs_f64().max(0.001)
}

/// How long a cold return lasts, in seconds.
fn cold_s(settings: &Settings) -> f64 {
    settings.rules.warm_up_time.as_secs_f64().max(1.0)
}
