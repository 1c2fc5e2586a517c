//! What the delivery policy keeps in memory: types, bookkeeping and arithmetic only. Every decision and every
//! tuned value is in `policy`.

mod ids;
mod message;
mod route;
mod statistics;

pub use ids::{routes_of, RequestId, RouteId};
pub use message::{remaining_value, FirstSend, InFlightRequest, Message, SelectedMessage};
pub use route::{Candidate, EndpointRecord, Outage, RouteFeedback, RouteState};
pub use statistics::{update_ewma, Backoff, IdleConnectionRisk, KindStats, LatencyEstimate, QuotaBalance};

use crate::interface::{
    Action, Class, DestinationId, Endpoint, EndpointId, EndpointListUpdate, EndpointState, KindId, MessageId,
    OrderKey, Settings, Submission, TenantId, Time,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// When a message is to be looked at again for its final answer.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline {
    pub at: Time,
    pub message: MessageId,
}

/// The timer that the caller was asked for.
#[derive(Clone, Copy)]
pub struct ArmedTimer {
    pub at: Time,
    pub token: u64,
}

/// All that a delivery policy keeps in memory.
#[derive(Default)]
pub struct PolicyState {
    pub settings: Settings,
    pub rng: fastrand::Rng,
    pub endpoints: BTreeMap<EndpointId, EndpointRecord>,
    pub routes: BTreeMap<RouteId, RouteState>,
    /// Messages not completed, by destination; no empty lists.
    pub queues: BTreeMap<DestinationId, Vec<MessageId>>,
    pub messages: BTreeMap<MessageId, Message>,
    pub quota_balances: BTreeMap<TenantId, QuotaBalance>,
    /// Messages not completed.
    pub open_messages: usize,
    pub deadlines: BTreeSet<Deadline>,
    /// Messages with an order key, in the order taken; no empty lists.
    pub key_queues: BTreeMap<OrderKey, Vec<MessageId>>,
    /// Until when the next message of a key must wait.
    pub key_cooldowns: BTreeMap<OrderKey, Time>,
    /// Until when the next message of every key must wait.
    pub all_keys_cooldown: Time,
    pub requests: BTreeMap<RequestId, InFlightRequest>,
    pub last_request: RequestId,
    /// Latency over all destinations: what one that was never called is assumed to need.
    pub overall_latency: LatencyEstimate,
    pub idle_risk: IdleConnectionRisk,
    pub kind_stats: BTreeMap<KindId, KindStats>,
    /// Endpoints where a request completed since the last look.
    pub recently_completed: BTreeSet<EndpointId>,
    /// When to subscribe to the endpoint list.
    pub subscribe_at: Option<Time>,
    /// Subscriptions that failed in a row.
    pub failed_subscriptions: u32,
    /// Something waits for a slot, or for a place in a bulkhead, since the last look.
    pub slot_wanted: bool,
    pub timer: Option<ArmedTimer>,
    pub last_timer_token: u64,
    /// Actions until `next_actions` hands them over.
    pub actions: Vec<Action>,
}

impl PolicyState {
    /// The class of a message.
    pub fn class(&self, message: &Message) -> &Class {
        &self.settings.classes[usize::from(message.submission.class.0)]
    }

    /// The route of an endpoint.
    pub fn route_of(&self, entry: &Endpoint) -> RouteId {
        let kind = self.settings.kinds.get(usize::from(entry.kind.0));
        let separate = kind.is_some_and(|kind| kind.per_endpoint_limits);
        RouteId { destination: entry.destination, endpoint: separate.then_some(entry.id) }
    }

    /// The ids of the routes of a destination.
    pub fn route_ids(&self, to: DestinationId) -> Vec<RouteId> {
        self.routes.range(routes_of(to)).map(|(id, _)| *id).collect()
    }

    /// How many routes a destination has, at least one: its figures are split evenly among them.
    pub fn route_count(&self, to: DestinationId) -> f64 {
        self.routes.range(routes_of(to)).count().max(1) as f64
    }

    /// The endpoints of a destination.
    pub fn endpoints_of(&self, to: DestinationId) -> impl Iterator<Item = &EndpointRecord> {
        let ids = self.routes.range(routes_of(to)).flat_map(|(_, route)| &route.endpoints);
        ids.filter_map(|endpoint| self.endpoints.get(endpoint))
    }

    /// Requests in flight to a destination.
    pub fn requests_in_flight_to(&self, to: DestinationId) -> usize {
        self.routes.range(routes_of(to)).map(|(_, route)| route.in_flight.len()).sum()
    }

    /// Requests in flight that are not marked as stalled.
    pub fn unstalled_requests(&self) -> Vec<RequestId> {
        self.requests.iter().filter(|(_, request)| !request.stalled).map(|(id, _)| *id).collect()
    }

    /// Requests that may still be sent under the concurrency limit.
    pub fn slots_free(&self) -> usize {
        self.settings.concurrency_limit.saturating_sub(self.requests.len())
    }

    /// The position of round robin at a destination where its latest request went.
    pub fn round_robin_front(&self, to: DestinationId) -> u64 {
        let endpoints = self.endpoints_of(to);
        endpoints.map(EndpointRecord::last_round_robin_position).max().unwrap_or(0)
    }

    /// Counts a new message in the demand of its destination's routes, in even parts, over `span` seconds.
    pub fn record_demand(&mut self, now: Time, to: DestinationId, span: f64) {
        let part = self.route_count(to).recip();
        for (_, route) in self.routes.range_mut(routes_of(to)) {
            route.demand.rate(now, span, part);
        }
    }

    /// A `Retry-After` binds from the batch that brings it, whatever became of its message.
    pub fn on_retry_after(&mut self, now: Time, endpoint: EndpointId, wait: Duration) {
        let route = self.endpoints.get(&endpoint).map(|endpoint| self.route_of(&endpoint.entry));
        if let Some(route) = route.and_then(|id| self.routes.get_mut(&id)) {
            route.retry_after_until = route.retry_after_until.max(now + wait);
        }
    }

    /// The entries of an update of the endpoint list; what a snapshot does not name is removed.
    pub fn listed_entries(&mut self, update: EndpointListUpdate) -> Vec<Endpoint> {
        match update {
            EndpointListUpdate::Unavailable => Vec::new(),
            EndpointListUpdate::Delta(entries) => entries,
            EndpointListUpdate::Snapshot(entries) => {
                for endpoint in self.endpoints.values_mut() {
                    endpoint.entry.state = EndpointState::Removed;
                }
                entries
            }
        }
    }

    /// Hands the attempt of a message over to be sent with this request.
    pub fn start_attempt(&mut self, id: MessageId, request: RequestId, to: EndpointId, timeout: Duration) {
        if let Some(message) = self.messages.get_mut(&id) {
            message.attempts += 1;
            message.in_flight = Some(request);
            self.actions.push(Action::Send { message: id, endpoint: to, timeout });
        }
    }

    /// An attempt of a request has completed; after the last one, frees its slot and returns the request.
    pub fn take_completed_request(&mut self, id: RequestId) -> Option<InFlightRequest> {
        let request = self.requests.get_mut(&id)?;
        request.pending_outcomes -= 1;
        if request.pending_outcomes > 0 {
            return None;
        }
        if let Some(route) = self.routes.get_mut(&request.route) {
            route.in_flight.remove(&id);
        }
        self.requests.remove(&id)
    }

    /// Abandons the attempts of a request; their outcomes are still to come.
    pub fn abandon(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.abandoned = true;
        for message in &request.messages {
            if let Some(state) = self.messages.get(message).filter(|state| state.in_flight == Some(id)) {
                let attempt = (state.attempts - 1) as u16;
                self.actions.push(Action::AbandonAttempt { message: *message, attempt });
            }
        }
    }

    /// Messages queued for a destination.
    pub fn queued(&self, to: DestinationId) -> usize {
        self.queues.get(&to).map_or(0, Vec::len)
    }

    /// Messages queued for each route of a destination.
    pub fn queued_per_route(&self, to: DestinationId) -> f64 {
        self.queued(to) as f64 / self.route_count(to)
    }

    /// Whether a destination has a route without an outage.
    pub fn has_healthy_route(&self, to: DestinationId) -> bool {
        self.routes.range(routes_of(to)).any(|(_, route)| route.outage.is_none())
    }

    /// The messages queued for a destination, in the order taken.
    pub fn queued_messages(&self, to: DestinationId) -> impl Iterator<Item = &Message> {
        self.queues.get(&to).into_iter().flatten().filter_map(|id| self.messages.get(id))
    }

    /// Whether a message is the oldest one of its order key.
    pub fn is_first_of_key(&self, key: OrderKey, id: MessageId) -> bool {
        self.key_queues.get(&key).and_then(|queue| queue.first()) == Some(&id)
    }

    /// Until when the next message of a key must wait; zero if it need not.
    pub fn cooldown_end(&self, key: OrderKey) -> Time {
        self.key_cooldowns.get(&key).copied().unwrap_or(Time::ZERO).max(self.all_keys_cooldown)
    }

    /// Queues a new message for its destination and its key, with its deadline.
    pub fn enqueue(&mut self, submission: &Submission) {
        let class = self.settings.classes.get(usize::from(submission.class.0));
        let ordered = class.is_some_and(|class| class.ordered);
        if let (true, Some(key)) = (ordered, submission.key) {
            self.key_queues.entry(key).or_default().push(submission.id);
        }
        self.set_deadline(submission.deadline, submission.id);
        self.queues.entry(submission.destination).or_default().push(submission.id);
        self.open_messages += 1;
    }

    /// Has a message looked at again at this time.
    pub fn set_deadline(&mut self, at: Time, message: MessageId) {
        self.deadlines.insert(Deadline { at, message });
    }

    /// Takes out the first message whose deadline has come.
    pub fn take_due(&mut self, now: Time) -> Option<MessageId> {
        let due = *self.deadlines.first().filter(|deadline| deadline.at <= now)?;
        self.deadlines.remove(&due);
        Some(due.message)
    }

    /// Marks a message as completed and takes it out of its queue.
    pub fn complete(&mut self, id: MessageId) {
        if let Some(message) = self.messages.get_mut(&id).filter(|message| !message.completed) {
            message.completed = true;
            self.open_messages -= 1;
            self.deadlines.remove(&Deadline { at: message.submission.deadline, message: id });
            remove_from_list(&mut self.queues, &message.submission.destination, id);
        }
        self.forget_if_done(id);
    }

    /// A message is forgotten once it is completed and not in flight; until then it blocks its key.
    pub fn forget_if_done(&mut self, id: MessageId) {
        if self.messages.get(&id).is_none_or(|message| !message.completed || message.in_flight.is_some()) {
            return;
        }
        if let Some(key) = self.messages.remove(&id).and_then(|message| message.submission.key) {
            remove_from_list(&mut self.key_queues, &key, id);
        }
    }

    /// Keeps one timer armed, for the earliest moment at which something could be done without an event.
    pub fn arm_timer(&mut self, now: Time, wake: &WakeTime) {
        let due = self.deadlines.first().map(|deadline| deadline.at);
        let Some(at) = [wake.0, due, self.subscribe_at].into_iter().flatten().min() else { return };
        if self.timer.is_none_or(|timer| at < timer.at || timer.at <= now) {
            self.last_timer_token += 1;
            let token = self.last_timer_token;
            self.timer = Some(ArmedTimer { at, token });
            self.actions.push(Action::Wake { after: at - now, token });
        }
    }

    /// The timer with this token has fired.
    pub fn clear_timer(&mut self, token: u64) {
        self.timer = self.timer.filter(|timer| timer.token != token);
    }
}

/// Takes a message out of the list that it stands in; no empty list is left.
fn remove_from_list<K: Ord>(lists: &mut BTreeMap<K, Vec<MessageId>>, of: &K, id: MessageId) {
    if let Some(list) = lists.get_mut(of) {
        list.retain(|message| *message != id);
        if list.is_empty() {
            lists.remove(of);
        }
    }
}

/// Instances that share the destinations: a fair share is one over this.
pub fn instance_count(settings: &Settings) -> f64 {
    f64::from(settings.instance_count.max(1))
}

/// Shortest latency objective of all classes, in seconds; more than zero.
pub fn shortest_objective_s(settings: &Settings) -> f64 {
    let shortest = settings.classes.iter().map(|class| class.latency_objective).min();
    shortest.unwrap_or(Duration::from_secs(1)).as_secs_f64().max(0.001)
}

/// Longest warm-up of a recovering destination, in seconds; one at least.
pub fn warm_up_s(settings: &Settings) -> f64 {
    settings.rules.warm_up_time.as_secs_f64().max(1.0)
}

/// The earliest time at which something could be done without an event; none so far.
#[derive(Default)]
pub struct WakeTime(Option<Time>);

impl WakeTime {
    /// Wakes by this time, if there is one.
    pub fn by(&mut self, at: Option<Time>) {
        self.0 = [self.0, at].into_iter().flatten().min();
    }
}
