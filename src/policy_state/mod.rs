//! The in-memory state of the delivery policy: types, bookkeeping and arithmetic. All decisions and tuned
//! constants are in `policy`.

mod health_changes;
mod ids;
mod message;
mod route;
mod statistics;

pub use health_changes::HealthChanges;
pub use ids::{route_range, RequestId, RouteId};
pub use message::{remaining_value, FirstSend, InFlightRequest, Message, SelectedMessage};
pub use route::{Candidate, EndpointRecord, Outage, RouteFeedback, RouteState, UnexplainedLoss};
pub use statistics::{update_ewma, Backoff, IdleConnectionRisk, KindStats, LatencyEstimate, QuotaBalance};

use crate::interface::{
    Action, Class, DestinationId, Endpoint, EndpointId, EndpointListUpdate, EndpointState, KindId, MessageId,
    OrderKey, Settings, Submission, TenantId, Time,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// When to check whether a message must get its final outcome.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ExpiryCheck {
    pub at: Time,
    pub message: MessageId,
}

/// The timer that the caller was last asked to arm.
#[derive(Clone, Copy)]
pub struct ArmedTimer {
    pub at: Time,
    pub token: u64,
}

/// The complete in-memory state of a delivery policy.
#[derive(Default)]
pub struct PolicyState {
    pub settings: Settings,
    pub rng: fastrand::Rng,
    pub endpoints: BTreeMap<EndpointId, EndpointRecord>,
    pub routes: BTreeMap<RouteId, RouteState>,
    /// Messages not completed, by destination; never contains empty lists.
    pub queues: BTreeMap<DestinationId, Vec<MessageId>>,
    pub messages: BTreeMap<MessageId, Message>,
    pub quota_balances: BTreeMap<TenantId, QuotaBalance>,
    /// Number of messages not completed.
    pub open_messages: usize,
    pub expiry_checks: BTreeSet<ExpiryCheck>,
    /// Messages with an order key, in the order accepted; never contains empty lists.
    pub key_queues: BTreeMap<OrderKey, Vec<MessageId>>,
    /// Per order key, the time before which its next message must not be sent.
    pub key_cooldowns: BTreeMap<OrderKey, Time>,
    /// The time before which the next message of any order key must not be sent.
    pub all_keys_cooldown: Time,
    pub requests: BTreeMap<RequestId, InFlightRequest>,
    pub last_request: RequestId,
    /// Latency over all destinations, used for a route without a response yet.
    pub overall_latency: LatencyEstimate,
    pub idle_risk: IdleConnectionRisk,
    pub kind_stats: BTreeMap<KindId, KindStats>,
    /// Endpoints where a request completed since the last call of `next_actions`.
    pub recently_completed: BTreeSet<EndpointId>,
    /// When to subscribe to the endpoint list.
    pub subscribe_at: Option<Time>,
    /// Consecutive subscription failures.
    pub failed_subscriptions: u32,
    /// Something waits for a slot or for a full bulkhead since the last call of `next_actions`.
    pub slot_wanted: bool,
    pub timer: Option<ArmedTimer>,
    pub last_timer_token: u64,
    /// Actions that `next_actions` has not returned yet.
    pub actions: Vec<Action>,
    /// Changes of health that the caller has not taken yet.
    pub health_changes: HealthChanges,
}

impl PolicyState {
    /// The class of a message. Its index is valid, as a message of an unknown class is not accepted.
    pub fn class(&self, message: &Message) -> &Class {
        &self.settings.classes[usize::from(message.submission.class.0)]
    }

    /// The route of an endpoint: its own if its kind has per-endpoint limits, else that of its destination.
    pub fn route_of(&self, entry: &Endpoint) -> RouteId {
        let kind = self.settings.kinds.get(usize::from(entry.kind.0));
        let separate = kind.is_some_and(|kind| kind.per_endpoint_limits);
        RouteId { destination: entry.destination, endpoint: separate.then_some(entry.id) }
    }

    /// The ids of a destination's routes, as a copy: the caller may change the state while it iterates.
    pub fn route_ids(&self, destination: DestinationId) -> Vec<RouteId> {
        self.routes.range(route_range(destination)).map(|(id, _)| *id).collect()
    }

    /// Number of routes of a destination, at least one; its demand and queue are split evenly among them.
    pub fn route_count(&self, destination: DestinationId) -> f64 {
        self.routes.range(route_range(destination)).count().max(1) as f64
    }

    /// The endpoints of all routes of a destination, including draining and removed ones.
    pub fn endpoints_of(&self, destination: DestinationId) -> impl Iterator<Item = &EndpointRecord> {
        let ids = self.routes.range(route_range(destination)).flat_map(|(_, route)| &route.endpoints);
        ids.filter_map(|endpoint| self.endpoints.get(endpoint))
    }

    /// Number of requests in flight to a destination, over all its routes.
    pub fn requests_in_flight_to(&self, destination: DestinationId) -> usize {
        self.routes.range(route_range(destination)).map(|(_, route)| route.in_flight.len()).sum()
    }

    /// Requests in flight that are not marked as stalled.
    pub fn unstalled_requests(&self) -> Vec<RequestId> {
        self.requests.iter().filter(|(_, request)| !request.stalled).map(|(id, _)| *id).collect()
    }

    /// Number of requests that may still be sent within the concurrency limit.
    pub fn slots_free(&self) -> usize {
        self.settings.concurrency_limit.saturating_sub(self.requests.len())
    }

    /// The highest round-robin position at which an endpoint of a destination was last sent a request.
    pub fn round_robin_front(&self, destination: DestinationId) -> u64 {
        let endpoints = self.endpoints_of(destination);
        endpoints.map(EndpointRecord::previous_round_robin_position).max().unwrap_or(0)
    }

    /// Adds a new message to the demand of its destination, split evenly among the routes.
    pub fn record_demand(&mut self, now: Time, destination: DestinationId, time_constant_s: f64) {
        let share = self.route_count(destination).recip();
        for (_, route) in self.routes.range_mut(route_range(destination)) {
            route.demand.rate(now, time_constant_s, share);
        }
    }

    /// Applies a `Retry-After` to the route of its endpoint at once, whatever the outcome of the message.
    pub fn on_retry_after(&mut self, now: Time, endpoint: EndpointId, wait: Duration) {
        let route = self.endpoints.get(&endpoint).map(|endpoint| self.route_of(&endpoint.entry));
        if let Some(route) = route.and_then(|id| self.routes.get_mut(&id)) {
            route.retry_after_until = route.retry_after_until.max(now + wait);
        }
    }

    /// Returns the entries of an update of the endpoint list. For a snapshot, first marks all known endpoints
    /// as removed, so that those it doesn't contain stay removed.
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

    /// Starts the next attempt of a message as part of this request.
    pub fn start_attempt(
        &mut self,
        id: MessageId,
        request: RequestId,
        endpoint: EndpointId,
        timeout: Duration,
    ) {
        if let Some(message) = self.messages.get_mut(&id) {
            message.attempts += 1;
            message.in_flight = Some(request);
            self.actions.push(Action::Send { message: id, endpoint, timeout });
        }
    }

    /// Records that one attempt of a request has completed. After the last one, frees the request's slot and
    /// returns the request.
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

    /// Number of messages for a destination that are not completed, whether they wait or are in flight.
    pub fn queued(&self, destination: DestinationId) -> usize {
        self.queues.get(&destination).map_or(0, Vec::len)
    }

    /// [`PolicyState::queued`], split evenly among the routes of the destination.
    pub fn queued_per_route(&self, destination: DestinationId) -> f64 {
        self.queued(destination) as f64 / self.route_count(destination)
    }

    /// Whether a destination has a route without an outage.
    pub fn has_healthy_route(&self, destination: DestinationId) -> bool {
        self.routes.range(route_range(destination)).any(|(_, route)| route.outage.is_none())
    }

    /// The messages that [`PolicyState::queued`] counts, in the order accepted.
    pub fn queued_messages(&self, destination: DestinationId) -> impl Iterator<Item = &Message> {
        self.queues.get(&destination).into_iter().flatten().filter_map(|id| self.messages.get(id))
    }

    /// Whether a message is the oldest one of its order key.
    pub fn is_first_of_key(&self, key: OrderKey, id: MessageId) -> bool {
        self.key_queues.get(&key).and_then(|queue| queue.first()) == Some(&id)
    }

    /// End of the cooldown of an order key; [`Time::ZERO`] if there is none.
    pub fn cooldown_end(&self, key: OrderKey) -> Time {
        self.key_cooldowns.get(&key).copied().unwrap_or(Time::ZERO).max(self.all_keys_cooldown)
    }

    /// Adds a new message to the queues of its destination and order key, and schedules its expiry check.
    pub fn enqueue(&mut self, submission: &Submission) {
        let class = self.settings.classes.get(usize::from(submission.class.0));
        let ordered = class.is_some_and(|class| class.ordered);
        if let (true, Some(key)) = (ordered, submission.key) {
            self.key_queues.entry(key).or_default().push(submission.id);
        }
        self.schedule_expiry_check(submission.deadline, submission.id);
        self.queues.entry(submission.destination).or_default().push(submission.id);
        self.open_messages += 1;
    }

    /// Adds a time at which to check whether a message must get its final outcome; earlier checks stay.
    pub fn schedule_expiry_check(&mut self, at: Time, message: MessageId) {
        self.expiry_checks.insert(ExpiryCheck { at, message });
    }

    /// Removes the first expiry check that is due and returns its message.
    pub fn pop_due_expiry_check(&mut self, now: Time) -> Option<MessageId> {
        let due = *self.expiry_checks.first().filter(|check| check.at <= now)?;
        self.expiry_checks.remove(&due);
        Some(due.message)
    }

    /// Marks a message as completed and removes it from its queue.
    pub fn complete(&mut self, id: MessageId) {
        if let Some(message) = self.messages.get_mut(&id).filter(|message| !message.completed) {
            message.completed = true;
            self.open_messages -= 1;
            self.expiry_checks.remove(&ExpiryCheck { at: message.submission.deadline, message: id });
            remove_from_list(&mut self.queues, &message.submission.destination, id);
        }
        self.remove_if_finished(id);
    }

    /// Removes a message that is completed and not in flight; until then it blocks its order key.
    pub fn remove_if_finished(&mut self, id: MessageId) {
        if self.messages.get(&id).is_none_or(|message| !message.completed || message.in_flight.is_some()) {
            return;
        }
        if let Some(key) = self.messages.remove(&id).and_then(|message| message.submission.key) {
            remove_from_list(&mut self.key_queues, &key, id);
        }
    }

    /// Keeps one timer armed, for the earliest time at which there may be something to do without an event.
    pub fn arm_timer(&mut self, now: Time, wake: &WakeTime) {
        let due = self.expiry_checks.first().map(|check| check.at);
        let Some(at) = [wake.0, due, self.subscribe_at].into_iter().flatten().min() else { return };
        if self.timer.is_none_or(|timer| at < timer.at || timer.at <= now) {
            self.last_timer_token += 1;
            let token = self.last_timer_token;
            self.timer = Some(ArmedTimer { at, token });
            self.actions.push(Action::SetTimer { after: at - now, token });
        }
    }

    /// Forgets the armed timer if it is the one with this token, which has fired.
    pub fn clear_timer(&mut self, token: u64) {
        self.timer = self.timer.filter(|timer| timer.token != token);
    }
}

/// Removes a message from the list of a key, and the list itself once it is empty.
fn remove_from_list<K: Ord>(lists: &mut BTreeMap<K, Vec<MessageId>>, key: &K, id: MessageId) {
    if let Some(list) = lists.get_mut(key) {
        list.retain(|message| *message != id);
        if list.is_empty() {
            lists.remove(key);
        }
    }
}

/// Number of instances that share the destinations; a fair share is the reciprocal of it.
pub fn instance_count(settings: &Settings) -> f64 {
    f64::from(settings.instance_count.max(1))
}

/// Shortest latency objective of all classes, in seconds; always positive.
pub fn shortest_objective_s(settings: &Settings) -> f64 {
    let shortest = settings.classes.iter().map(|class| class.latency_objective).min();
    shortest.unwrap_or(Duration::from_secs(1)).as_secs_f64().max(0.001)
}

/// Longest warm-up time of a recovering destination, in seconds; at least one.
pub fn warm_up_s(settings: &Settings) -> f64 {
    settings.rules.warm_up_time.as_secs_f64().max(1.0)
}

/// The earliest time at which there may be something to do without an event, if there is one.
#[derive(Default)]
pub struct WakeTime(Option<Time>);

impl WakeTime {
    /// Moves the wake time forward to `at` if that is earlier.
    pub fn no_later_than(&mut self, at: Option<Time>) {
        self.0 = [self.0, at].into_iter().flatten().min();
    }
}
