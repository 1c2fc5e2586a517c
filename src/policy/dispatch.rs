//! Dispatch: fills the free request slots.

use super::rate_limiting::LATE_S;
use crate::interface::{Action, DestinationId, EndpointId, MessageId, Time};
use crate::policy_state::{routes_of, Call, PolicyState, RouteId};

impl PolicyState {
    /// Fills free slots: each to the waiting destination with fewest calls out; of those with equally many,
    /// to the one whose best message is worth most for its time. `next` tells when to look again.
    pub(super) fn send_ready(&mut self, now: Time, next: &mut Option<Time>) {
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

    /// One call: the message that was picked and, where a call may carry more, others that wait.
    pub(super) fn send_call(&mut self, now: Time, id: RouteId, to: EndpointId, first: MessageId) {
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
}
