//! The table of messages and the turn of the module.

use crate::book::{
    Admission, Attempt, Command, Ending, Entry, FinalOutcome, Out, SubmitRequest, TransportOutcome,
};
use crate::moves::Places;
use cloverstile::{
    Action, AttemptCompleted, AttemptOutcome, DeliveryPolicy, Effect as ClassEffect, Endpoint, EndpointId,
    EndpointState, Event, MessageId, RateLimitStatus, RecoveredAttempts, Settings, Submission, Time,
};
use cloverstile_failover::{FailoverPlanner, FailoverPolicy, RequestResult, TierStatus};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

/// ResultCacheLimits of what is kept beside the messages held.
#[derive(Clone, Copy, Debug)]
pub struct ResultCacheLimits {
    /// Final answers kept for repeated hand-ins, at most.
    pub max_results: usize,
    /// ... and for how long after the message's deadline.
    pub retention: Duration,
}

/// Running sums, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages taken.
    pub submitted: u64,
    /// Answered as delivered, refused, failed.
    pub completed: [u64; 3],
    /// Attempts sent.
    pub attempts: u64,
    /// Hand-ins that met a message already known.
    pub duplicates: u64,
    /// Answers that only the last safeguard gave in time. Not zero: a defect.
    pub forced_completions: u64,
    /// Messages that changed their tier after the hand-in.
    pub relocated: u64,
}

/// A message table around one module.
pub struct Engine {
    courier: DeliveryPolicy,
    pub(crate) planner: Box<dyn FailoverPolicy>,
    pub(crate) settings: Settings,
    bounds: ResultCacheLimits,
    pub(crate) last_id: u32,
    last_call: u64,
    pub(crate) entries: BTreeMap<MessageId, Entry>,
    pub(crate) places: Places,
    names: HashMap<String, MessageId>,
    held: usize,
    /// Messages still unanswered in each call out.
    calls: BTreeMap<u64, usize>,
    time_outs: BTreeSet<(Time, MessageId)>,
    /// When an unanswered message is answered by the engine itself, come what may.
    last_resort: BTreeSet<(Time, MessageId)>,
    /// Answered messages, the oldest first.
    answered: VecDeque<(Time, MessageId)>,
    wakes: BTreeSet<(Time, u64)>,
    pub(crate) listed: BTreeMap<EndpointId, Endpoint>,
    stop: Option<Time>,
    held_back: bool,
    effects: Vec<Command>,
    pub(crate) counts: Counters,
    /// Something happened that the module has not acted on.
    pub(crate) dirty: bool,
}

impl Engine {
    /// An engine that holds nothing; `seed` is the module's one source of chance.
    pub fn new(settings: Settings, bounds: ResultCacheLimits, seed: u64) -> Self {
        Engine {
            courier: DeliveryPolicy::new(settings.clone(), seed),
            planner: Box::new(FailoverPlanner::default()),
            settings,
            bounds,
            last_id: 0,
            last_call: 0,
            entries: BTreeMap::new(),
            places: Places::default(),
            names: HashMap::new(),
            held: 0,
            calls: BTreeMap::new(),
            time_outs: BTreeSet::new(),
            last_resort: BTreeSet::new(),
            answered: VecDeque::new(),
            wakes: BTreeSet::new(),
            listed: BTreeMap::new(),
            stop: None,
            held_back: false,
            effects: Vec::new(),
            counts: Counters::default(),
            dirty: false,
        }
    }

    /// The same with partners of several tiers.
    pub fn with_failover_policy(self, planner: impl FailoverPolicy + 'static) -> Self {
        Engine { planner: Box::new(planner), ..self }
    }

    /// How a partner's tiers stand; empty where it has but one.
    pub fn tier_statuses(&self, partner: cloverstile::DestinationId) -> Vec<TierStatus> {
        self.planner.tier_statuses(partner)
    }

    /// Running sums.
    pub fn counters(&self) -> Counters {
        self.counts
    }

    /// Messages held without a final answer.
    pub fn pending_messages(&self) -> usize {
        self.held
    }

    /// Calls out.
    pub fn requests_in_flight(&self) -> usize {
        self.calls.len()
    }

    // ---- What happens ----

    /// A front hands a message in.
    pub fn submit(&mut self, now: Time, taken: SubmitRequest) -> Admission {
        if let Some(id) = self.names.get(&taken.idempotency_key).copied() {
            if let Some(entry) = self.entries.get(&id) {
                self.counts.duplicates += 1;
                return match entry.answer {
                    // One token with other parameters is another intention: nobody can say which was meant. The
                    // partner sees the name alone, so that another client's message under it would be dropped
                    // there as a repeat.
                    _ if entry.fingerprint != taken.fingerprint || entry.client != taken.client => {
                        Admission::Conflict
                    }
                    // The client was told that it may hand in again, and so it does. While an earlier attempt is
                    // still out (a safe message may be refused then) a second one must not go beside it.
                    Some(FinalOutcome::Rejected(_)) if entry.out.is_none() => {
                        self.forget(id);
                        return self.take(now, SubmitRequest { resubmitted: true, ..taken });
                    }
                    Some(answer) => Admission::Completed(id, answer),
                    None => Admission::InFlight(id),
                };
            }
        }
        self.take(now, taken)
    }

    fn take(&mut self, now: Time, taken: SubmitRequest) -> Admission {
        if self.stop.is_some() {
            return Admission::ShuttingDown;
        }
        if self.held >= self.settings.max_queued {
            return Admission::Overloaded;
        }
        let id = self.book(&taken);
        // What a lost courier held may have taken effect there. An unsafe message must not go again; the module
        // is never asked.
        let class = self.settings.classes.get(usize::from(taken.class.0));
        if taken.from_lost_instance && class.is_none_or(|class| class.effect == ClassEffect::Unsafe) {
            self.answer(now, id, FinalOutcome::Failed);
            return Admission::New(id);
        }
        self.place(now, id);
        if let Some(accepted) = self.entries.get(&id).map(Entry::accepted) {
            self.tell(now, Event::Submitted(Submission { resubmitted: taken.resubmitted, ..accepted }));
        }
        Admission::New(id)
    }

    fn book(&mut self, taken: &SubmitRequest) -> MessageId {
        self.last_id += 1;
        let id = MessageId(self.last_id);
        self.counts.submitted += 1;
        self.held += 1;
        self.names.insert(taken.idempotency_key.clone(), id);
        self.entries.insert(id, Entry::new(id, taken));
        self.last_resort.insert((self.resort_at(taken.deadline), id));
        id
    }

    /// A message that was taken before a restart and is owed still. Call it in the order taken, before all else.
    pub fn recover(&mut self, now: Time, taken: SubmitRequest, past: RecoveredAttempts) -> MessageId {
        // Nothing is final at once for one whose time ran out meanwhile: the module gives the answer.
        let deadline = taken.deadline.max(now);
        let id = self.book(&SubmitRequest { deadline, ..taken });
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.attempts = u16::try_from(past.attempts).unwrap_or(u16::MAX);
            entry.may_have_run = past.may_have_run.is_some();
        }
        self.place(now, id);
        if let Some(accepted) = self.entries.get(&id).map(Entry::accepted) {
            self.tell(now, Event::Recovered(Submission { from_lost_instance: false, ..accepted }, past));
        }
        id
    }

    /// Nobody wants this message any more: no answer is owed, and nothing new is sent for it.
    pub fn cancel(&mut self, now: Time, id: MessageId) {
        self.end(now, id, FinalOutcome::Cancelled);
    }

    /// A message that was just taken can't be kept after all: it is refused, and may come again under its name.
    pub fn reject(&mut self, now: Time, id: MessageId) {
        self.end(now, id, FinalOutcome::Rejected(Duration::ZERO));
    }

    /// Answers a message without the module, which is told that nobody wants it any more.
    fn end(&mut self, now: Time, id: MessageId, answer: FinalOutcome) {
        if self.is_pending(id) {
            self.tell(now, Event::Cancelled(self.inner(id)));
            self.answer(now, id, answer);
        }
    }

    /// Holds the module back, or lets it go on: while held back nothing new is sent, calls out end as ever.
    pub fn set_sending_paused(&mut self, held_back: bool) {
        self.held_back = held_back;
        self.dirty = true;
    }

    /// Whether the module has something to act on that happened since [`Engine::advance`].
    pub fn has_pending_events(&self) -> bool {
        self.dirty && !self.held_back
    }

    /// Until when an attempt that is out will be waited for.
    pub fn attempt_deadline(&self, attempt: Attempt) -> Option<Time> {
        let entry = self.entries.get(&attempt.message).filter(|_| self.is_out(attempt))?;
        entry.out.map(|out| out.until)
    }

    /// Whether an attempt may still go that was decided on earlier: ask before its first byte, and again before its
    /// last. Guards against all that comes between decision and bytes: a wait told, a drain, an outage, a window's
    /// end, a stop. One that may not ends as [`TransportOutcome::NotStarted`].
    pub fn may_send_now(&self, now: Time, attempt: Attempt) -> bool {
        let out = self.is_out(attempt) && !self.held_back;
        out && self.courier.may_send_now(now, self.inner(attempt.message))
    }

    /// Whether an attempt's bytes are on their way; a wire that never says so has begun when it is told to send.
    pub fn set_attempt_started(&mut self, attempt: Attempt, begun: bool) {
        if self.is_out(attempt) {
            let out = self.entries.get_mut(&attempt.message).and_then(|entry| entry.out.as_mut());
            out.into_iter().for_each(|out| out.begun = begun);
        }
    }

    /// The head of an answer told to wait. It binds though the answer is never whole, and nobody waits for it.
    pub fn on_retry_after(&mut self, now: Time, endpoint: EndpointId, wait: Duration) {
        self.tell(now, Event::RetryAfter { endpoint, wait });
    }

    /// A new version of the list of endpoints, whole.
    pub fn update_endpoints(&mut self, now: Time, endpoints: Vec<Endpoint>) {
        self.listed = endpoints.into_iter().map(|endpoint| (endpoint.id, endpoint)).collect();
        self.tell_whole_list(now);
    }

    /// An attempt ended on the wire, with what the partner told of its limit.
    pub fn on_attempt_completed(
        &mut self,
        now: Time,
        attempt: Attempt,
        reported: TransportOutcome,
        allowance: Option<RateLimitStatus>,
    ) {
        if self.is_out(attempt) {
            if reported == TransportOutcome::Obsolete {
                self.cancel(now, attempt.message);
            }
            self.finish(now, attempt.message, (reported.outcome(), allowance));
        } else if reported == TransportOutcome::Processed {
            self.proved(now, attempt.message);
        }
    }

    /// A receipt that counts came on a connection of its own, perhaps after its attempt was given up.
    pub fn on_receipt(&mut self, now: Time, message: MessageId, reported: TransportOutcome) {
        let Some(entry) = self.entries.get(&message) else { return };
        match (entry.out, reported) {
            (Some(_), reported) => {
                let attempt = Attempt { message, number: entry.attempts.saturating_sub(1) };
                self.on_attempt_completed(now, attempt, reported, None);
            }
            (None, TransportOutcome::Processed) => self.proved(now, message),
            (None, _) => {}
        }
    }

    /// A probe's result.
    pub fn on_probe_completed(&mut self, now: Time, endpoint: EndpointId, opened: bool, latency: Duration) {
        let outcome = if opened { AttemptOutcome::Ok } else { AttemptOutcome::ConnectFailed };
        self.tell(now, Event::ProbeCompleted { endpoint, outcome, latency });
    }

    /// Takes no more work from now on; at `until` the rest is answered as it stands.
    pub fn shut_down_by(&mut self, until: Time) {
        self.stop.get_or_insert(until);
    }

    /// The message that a name stands for, while it is known.
    pub fn message_id(&self, name: &str) -> Option<MessageId> {
        self.names.get(name).copied()
    }

    /// The name of a message, while it is known.
    pub fn idempotency_key(&self, id: MessageId) -> Option<&str> {
        self.entries.get(&id).map(|entry| entry.name.as_str())
    }

    /// Whether a message has no final answer yet: nothing may be sent for it afterwards.
    pub fn is_pending(&self, id: MessageId) -> bool {
        self.entries.get(&id).is_some_and(|entry| entry.answer.is_none())
    }

    /// When [`Engine::advance`] must be called at the latest.
    pub fn next_timeout(&self) -> Option<Time> {
        let firsts = [
            self.planner.next_timeout(),
            self.wakes.first().map(|(at, _)| *at),
            self.time_outs.first().map(|(at, _)| *at),
            self.last_resort.first().map(|(at, _)| *at),
            self.stop.filter(|_| self.held > 0),
        ];
        firsts.into_iter().flatten().min()
    }

    /// Lets the module act on all that happened up to `now`, and returns what is to be done. Call it after
    /// every batch of events and at [`Engine::next_timeout`].
    pub fn advance(&mut self, now: Time) -> Vec<Command> {
        while let Some(&(at, token)) = self.wakes.first().filter(|(at, _)| *at <= now) {
            self.wakes.remove(&(at, token));
            self.tell(now, Event::TimerFired(token));
        }
        while let Some(&(_, id)) = self.time_outs.first().filter(|(at, _)| *at <= now) {
            self.abandon(now, id, AttemptOutcome::Timeout);
        }
        if self.stop.is_some_and(|until| until <= now) && self.held > 0 {
            self.answer_all(now);
        }
        self.reconsider(now);
        // What an outcome leads to may end at once (a route without a slot), which leads to more.
        while !self.held_back && self.tell_doors(now) {
            let mut actions = Vec::new();
            self.courier.next_actions(now, &mut actions);
            self.carry_out(now, actions);
        }
        self.resort(now);
        self.forget_old(now);
        std::mem::take(&mut self.effects)
    }

    // ---- The module's turn ----

    pub(crate) fn tell(&mut self, now: Time, event: Event) {
        self.dirty = true;
        self.courier.on_event(now, event);
    }

    fn carry_out(&mut self, now: Time, actions: Vec<Action>) {
        // The call that is being filled; only routes that follow each other share one.
        let mut filling: Option<(EndpointId, u64, Vec<Attempt>)> = None;
        for action in actions {
            if let Action::Send { message, endpoint, timeout: try_for } = action {
                let message = self.places.outer(message);
                self.route(now, message, endpoint, try_for, &mut filling);
                continue;
            }
            match action {
                Action::Reject { message, retry_after: stay_away } => {
                    self.answer(now, self.places.outer(message), FinalOutcome::Rejected(stay_away));
                }
                Action::Fail { message } => {
                    self.answer(now, self.places.outer(message), FinalOutcome::Failed);
                }
                Action::AbandonAttempt { message, attempt } => {
                    let message = self.places.outer(message);
                    let attempt = attempt + self.entries.get(&message).map_or(0, |entry| entry.before);
                    if self.is_out(Attempt { message, number: attempt }) {
                        self.flush(&mut filling);
                        self.abandon(now, message, AttemptOutcome::Abandoned);
                    }
                }
                Action::Wake { after, token } => {
                    self.wakes.insert((now + after, token));
                }
                Action::CloseIdle { endpoint } => {
                    self.flush(&mut filling);
                    self.effects.push(Command::CloseIdle { endpoint });
                }
                Action::Probe { endpoint } => self.effects.push(Command::Probe { endpoint }),
                Action::Log { text } => self.effects.push(Command::Log { text }),
                Action::SubscribeEndpoints { .. } | Action::RefreshEndpoints => {
                    self.tell_whole_list(now);
                }
                Action::SendNote { .. } | Action::Send { .. } => {}
            }
        }
        self.flush(&mut filling);
    }

    fn flush(&mut self, filling: &mut Option<(EndpointId, u64, Vec<Attempt>)>) {
        if let Some((endpoint, _, attempts)) = filling.take() {
            self.effects.push(Command::Send { endpoint, attempts });
        }
    }

    fn route(
        &mut self,
        now: Time,
        message: MessageId,
        endpoint: EndpointId,
        try_for: Duration,
        filling: &mut Option<(EndpointId, u64, Vec<Attempt>)>,
    ) {
        let listed = self.listed.get(&endpoint);
        let sendable = listed.is_some_and(|e| {
            e.state == EndpointState::Ready && self.planner.gate(e.destination) != Some(false)
        });
        let destination = listed.map(|endpoint| endpoint.destination);
        let batch = listed
            .and_then(|e| self.settings.kinds.get(usize::from(e.kind.0)))
            .map_or(1, |kind| kind.max_batch);
        if filling.as_ref().is_some_and(|(to, _, carried)| *to != endpoint || carried.len() >= batch.max(1)) {
            self.flush(filling);
        }
        let slot_free = filling.is_some() || self.calls.len() < self.settings.concurrency_limit;
        let cap = self.settings.max_attempts;
        let Some(entry) = self.entries.get_mut(&message) else { return };
        let open = entry.answer.is_none() && entry.out.is_none() && entry.used() < cap;
        let number = entry.attempts;
        entry.attempts += 1;
        let (_, call, carried) = match filling {
            Some(call) => call,
            None => {
                self.last_call += 1;
                filling.insert((endpoint, self.last_call, Vec::new()))
            }
        };
        if !(sendable && slot_free && open) {
            let empty = carried.is_empty();
            if empty {
                *filling = None;
            }
            return self.tell_finished(
                now,
                message,
                endpoint,
                number,
                Duration::ZERO,
                (AttemptOutcome::Unsent, None),
            );
        }
        let until = now + try_for;
        entry.out = Some(Out { call: *call, endpoint, sent: now, until, begun: true });
        carried.push(Attempt { message, number });
        *self.calls.entry(*call).or_default() += 1;
        self.time_outs.insert((until, message));
        self.counts.attempts += 1;
        if let Some(destination) = destination.filter(|_| carried.len() == 1) {
            self.planner.on_request_sent(now, destination);
        }
    }

    fn is_out(&self, attempt: Attempt) -> bool {
        let entry = self.entries.get(&attempt.message);
        entry.is_some_and(|entry| entry.out.is_some() && entry.attempts == attempt.number + 1)
    }

    fn abandon(&mut self, now: Time, id: MessageId, outcome: AttemptOutcome) {
        let entry = self.entries.get(&id);
        let number = entry.map_or(0, |entry| entry.attempts.saturating_sub(1));
        let begun = entry.and_then(|entry| entry.out).is_none_or(|out| out.begun);
        self.effects.push(Command::Abandon { attempt: Attempt { message: id, number }, started: begun });
        // Guards against a message that ends as "may have taken effect" though its connection never came up.
        self.finish(now, id, (if begun { outcome } else { AttemptOutcome::ConnectFailed }, None));
    }

    /// Ends the attempt that is out.
    fn finish(&mut self, now: Time, id: MessageId, (outcome, allowance): Ending) {
        let Some(entry) = self.entries.get_mut(&id) else { return };
        let Some(out) = entry.out.take() else { return };
        entry.may_have_run |= outcome.may_have_run();
        let number = entry.attempts.saturating_sub(1);
        self.time_outs.remove(&(out.until, id));
        if let Some(left) = self.calls.get_mut(&out.call) {
            *left -= 1;
            if *left == 0 {
                self.calls.remove(&out.call);
            }
        }
        self.tell_finished(now, id, out.endpoint, number, now - out.sent, (outcome, allowance));
        if let Some(entry) = self.entries.get_mut(&id).filter(|_| outcome == AttemptOutcome::NotStarted) {
            // The module counts it as none: its numbers begin one later.
            (entry.withheld, entry.before) = (entry.withheld + 1, entry.before + 1);
        }
        if outcome == AttemptOutcome::Ok {
            self.answer(now, id, FinalOutcome::Delivered);
        }
        self.forget_if_over(id);
    }

    fn tell_finished(
        &mut self,
        now: Time,
        message: MessageId,
        endpoint: EndpointId,
        attempt: u16,
        latency: Duration,
        (outcome, allowance): Ending,
    ) {
        if let Some(listed) = self.listed.get(&endpoint) {
            self.planner.on_request_completed(
                now,
                RequestResult { destination: listed.destination, endpoint, outcome, latency },
            );
        }
        let answered = self.entries.get(&message).is_none_or(|entry| entry.answer.is_some());
        let complete = outcome == AttemptOutcome::Ok || answered;
        let (message, before) =
            self.entries.get(&message).map_or((message, 0), |entry| (entry.inner, entry.before));
        let attempt = attempt.saturating_sub(before);
        let finished = AttemptCompleted {
            message,
            endpoint,
            attempt,
            outcome,
            latency,
            complete,
            rate_limit: allowance,
        };
        self.tell(now, Event::AttemptCompleted(finished));
    }

    /// A receipt proves that a message took effect though its attempt was given up as lost.
    fn proved(&mut self, now: Time, id: MessageId) {
        let Some(entry) = self.entries.get(&id) else { return };
        match entry.answer {
            Some(FinalOutcome::Delivered) => {}
            Some(answer) => self.effects.push(Command::LateReceipt { message: id, outcome: answer }),
            None => {
                // Nobody wants it any more: what is out runs on, nothing new is sent.
                self.end(now, id, FinalOutcome::Delivered);
            }
        }
    }

    // ---- Answers ----

    /// Gives the one final answer; later ones are dropped.
    fn answer(&mut self, now: Time, id: MessageId, answer: FinalOutcome) {
        let resort_at = self.entries.get(&id).map(|entry| self.resort_at(entry.deadline));
        let Some(entry) = self.entries.get_mut(&id).filter(|entry| entry.answer.is_none()) else { return };
        entry.answer = Some(answer);
        self.places.answered(id, entry);
        let attempts = u32::from(entry.attempts);
        let keep_until = entry.deadline.max(now) + self.bounds.retention;
        self.held -= 1;
        self.answered.push_back((keep_until, id));
        if let Some(at) = resort_at {
            self.last_resort.remove(&(at, id));
        }
        let place = match answer {
            FinalOutcome::Delivered => Some(0),
            FinalOutcome::Rejected(_) => Some(1),
            FinalOutcome::Failed => Some(2),
            FinalOutcome::Cancelled => None,
        };
        if let Some(place) = place {
            self.counts.completed[place] += 1;
        }
        self.effects.push(Command::Complete { message: id, outcome: answer, attempts });
    }

    /// What a message may be told that the module no longer decides on: refused only if nothing can have run.
    fn honest_answer(entry: &Entry) -> FinalOutcome {
        match entry.may_have_run || entry.out.is_some() {
            true => FinalOutcome::Failed,
            false => FinalOutcome::Rejected(Duration::ZERO),
        }
    }

    fn answer_all(&mut self, now: Time) {
        let open: Vec<(MessageId, FinalOutcome)> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.answer.is_none())
            .map(|(id, entry)| (*id, Self::honest_answer(entry)))
            .collect();
        for (id, answer) in open {
            self.end(now, id, answer);
        }
    }

    /// Three quarters of the slack after the deadline: the module has answered by its half.
    fn resort_at(&self, deadline: Time) -> Time {
        deadline + self.settings.rules.answer_grace.mul_f64(0.75)
    }

    /// Guards against a message that the module forgot: it is answered all the same, and counted.
    fn resort(&mut self, now: Time) {
        while let Some(&(_, id)) = self.last_resort.first().filter(|(at, _)| *at <= now) {
            let Some(answer) = self.entries.get(&id).map(Self::honest_answer) else {
                self.last_resort.pop_first();
                continue;
            };
            self.counts.forced_completions += 1;
            self.end(now, id, answer);
        }
    }

    // ---- Forgetting ----

    /// Drops the oldest answers, by age and by number; one whose attempt is still out when that has ended.
    fn forget_old(&mut self, now: Time) {
        while let Some(&(until, id)) = self.answered.front() {
            if until > now && self.answered.len() <= self.bounds.max_results {
                return;
            }
            self.answered.pop_front();
            if let Some(entry) = self.entries.get_mut(&id) {
                entry.forget = true;
            }
            self.forget_if_over(id);
        }
    }

    fn forget_if_over(&mut self, id: MessageId) {
        if self.entries.get(&id).is_some_and(|entry| entry.forget && entry.out.is_none()) {
            self.forget(id);
        }
    }

    fn forget(&mut self, id: MessageId) {
        if let Some(entry) = self.entries.remove(&id) {
            self.places.forgotten(&entry);
            if self.names.get(&entry.name) == Some(&id) {
                self.names.remove(&entry.name);
            }
            self.effects.push(Command::Evicted { message: id });
        }
    }
}
