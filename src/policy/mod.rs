//! The delivery policy: every decision of a gateway instance. `interface` has its events and actions,
//! `policy_state` the state that it keeps; nothing is decided there.
//!
//! The ordinary path: a message waits in the queue of its destination; a free call slot goes to the waiting
//! destination with the fewest calls out; a message whose attempt may have run goes again under its one key,
//! inside group, window and attempt limit, after a full-jitter exponential gap. All else guards that path.

mod admission;
mod completion;
mod concurrency;
mod discovery;
mod dispatch;
mod health;
mod idle_connections;
mod priority;
mod rate_limiting;
mod retry;
mod selection;

pub use retry::retry_window_end;

use crate::interface::{Action, Event, MessageId, Settings, Time};
use crate::policy_state::{Latency, PolicyState};
use retry::shortest_aim;

/// Latency assumed before the first answer, as a part of the shortest aim.
const FIRST_LATENCY_OF_AIM: f64 = 0.2;

/// Delivery policy of one gateway instance: records events in `on_event`, acts in `next_actions`.
#[derive(Default)]
pub struct DeliveryPolicy {
    state: PolicyState,
}

impl DeliveryPolicy {
    /// A courier that knows only its settings; `seed` is its one source of chance.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let first = shortest_aim(&settings) * FIRST_LATENCY_OF_AIM;
        let usual = Latency { mean: first, deviation: first, samples: 0 };
        let rng = fastrand::Rng::with_seed(seed);
        DeliveryPolicy { state: PolicyState { settings, rng, usual, ..PolicyState::default() } }
    }

    /// Records one event. Call [`DeliveryPolicy::next_actions`] after the last one of a batch.
    pub fn on_event(&mut self, now: Time, event: Event) {
        match event {
            Event::EndpointsUpdated(listing) => self.state.on_listing(now, listing),
            Event::Submitted(message) => self.state.on_accept(now, message),
            Event::Recovered(message, past) => self.state.on_recovered(now, message, past),
            Event::AttemptCompleted(finished) => self.state.on_finished(now, finished),
            Event::RetryAfter { endpoint, wait } => self.state.heed(now, endpoint, wait),
            Event::Cancelled(id) => self.state.close(id),
            Event::TimerFired(token) => self.state.wake = self.state.wake.filter(|(_, set)| *set != token),
            Event::FirstByte(_) | Event::ProbeCompleted { .. } | Event::NoteReceived { .. } => {}
        }
    }

    /// Acts on all that was recorded.
    pub fn next_actions(&mut self, now: Time, actions: &mut Vec<Action>) {
        let ask = self.state.ask_at.take_if(|at| *at <= now);
        self.state.actions.extend(ask.map(|_| Action::SubscribeEndpoints { active: true }));
        self.state.answer_due(now);
        self.state.shed(now);
        let mut next = self.state.note_stalls(now);
        self.state.send_ready(now, &mut next);
        self.state.free_pinned_slot(now);
        self.state.close_crowding(now);
        self.set_wake(now, next);
        actions.append(&mut self.state.actions);
    }

    /// Whether what was decided may still go: a connection may come up late, and a wait, a drain or an outage
    /// come before it. Asked as late as the bytes allow; what may not is `Withheld`, and goes when it may.
    pub fn may_send_now(&self, now: Time, id: MessageId) -> bool {
        let Some(message) = self.state.messages.get(&id).filter(|m| !m.closed) else { return false };
        let Some(call) = message.out.and_then(|call| self.state.calls.get(&call)) else { return false };
        let keeps_work =
            self.state.addresses.get(&call.to).is_some_and(|a| a.entry.state.accepts_scheduled_requests());
        let changed = self.state.routes.get(&call.route).is_none_or(|route| route.changed_since(now, call));
        keeps_work && !changed && now <= self.state.last_send(message)
    }

    /// One timer is outstanding: the earliest moment at which something could be done without an event.
    fn set_wake(&mut self, now: Time, next: Option<Time>) {
        let due = self.state.deadlines.first().map(|(due, _)| *due);
        let Some(at) = [next, due, self.state.ask_at].into_iter().flatten().min() else { return };
        if self.state.wake.is_none_or(|(set, _)| at < set || set <= now) {
            self.state.token += 1;
            self.state.wake = Some((at, self.state.token));
            self.state.actions.push(Action::Wake { after: at - now, token: self.state.token });
        }
    }
}
