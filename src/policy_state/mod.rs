//! What the delivery policy keeps in memory: types, bookkeeping and arithmetic only. Every decision and every
//! tuned value is in `policy`.

mod message;
mod route;
mod statistics;

pub use message::{Call, Message};
pub use route::{routes_of, Address, Candidate, Route, RouteId, Spell};
pub use statistics::{lean, Habits, Latency, Reaping};

use crate::interface::{
    Action, Class, DestinationId, Endpoint, EndpointId, KindId, MessageId, OrderKey, Settings, TenantId, Time,
};
use std::collections::{BTreeMap, BTreeSet};

/// All that a delivery policy keeps in memory.
#[derive(Default)]
pub struct PolicyState {
    pub settings: Settings,
    pub rng: fastrand::Rng,
    pub addresses: BTreeMap<EndpointId, Address>,
    pub routes: BTreeMap<RouteId, Route>,
    /// Messages not answered, by destination; no empty ones.
    pub queues: BTreeMap<DestinationId, Vec<MessageId>>,
    pub messages: BTreeMap<MessageId, Message>,
    /// What is left of each tenant's share, and since when.
    pub shares: BTreeMap<TenantId, (f64, Time)>,
    pub open: usize,
    pub deadlines: BTreeSet<(Time, MessageId)>,
    pub keys: BTreeMap<OrderKey, Vec<MessageId>>,
    pub rests: BTreeMap<OrderKey, Time>,
    pub calls: BTreeMap<u64, Call>,
    pub last_call: u64,
    /// Latency over all destinations: what one that was never called is assumed to need.
    pub usual: Latency,
    pub reaping: Reaping,
    pub habits: BTreeMap<KindId, Habits>,
    /// Where a call just ended.
    pub ended: BTreeSet<EndpointId>,
    /// When to ask to be kept informed of the list, and calls for it that failed in a row.
    pub ask_at: Option<Time>,
    pub asks_failed: u32,
    /// Something waits for a slot, or for a place in a bulkhead: since the last look.
    pub pinned: bool,
    pub wake: Option<(Time, u64)>,
    pub token: u64,
    /// What is to be done, until `decide` hands it over.
    pub actions: Vec<Action>,
}

impl PolicyState {
    /// How many routes a destination has: what is its own is theirs in even parts.
    pub fn routes_to(&self, to: DestinationId) -> f64 {
        self.routes.range(routes_of(to)).count().max(1) as f64
    }

    pub fn class(&self, message: &Message) -> &Class {
        &self.settings.classes[usize::from(message.taken.class.0)]
    }

    pub fn route_of(&self, entry: &Endpoint) -> RouteId {
        let apart = self.settings.kinds.get(usize::from(entry.kind.0)).is_some_and(|k| k.per_endpoint_limits);
        RouteId(entry.destination, apart.then_some(entry.id))
    }

    pub fn slots_free(&self) -> usize {
        self.settings.concurrency_limit.saturating_sub(self.calls.len())
    }

    pub fn close(&mut self, id: MessageId) {
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
    pub fn forget_if_over(&mut self, id: MessageId) {
        if self.messages.get(&id).is_none_or(|m| !m.closed || m.out.is_some()) {
            return;
        }
        if let Some(key) = self.messages.remove(&id).and_then(|m| m.taken.key) {
            take_out(&mut self.keys, key, id);
        }
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
