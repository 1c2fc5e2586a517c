//! Idle connections: which are closed because endpoints drop them unseen or have no room for more.

use super::rate_limiting::cold_s;
use super::retry::shortest_aim;
use crate::interface::{Action, EndpointId, MessageId, Time};
use crate::policy_state::{lean, Address, PolicyState};
use std::time::Duration;

/// Weight of the newest loss or answer on an idle connection in the risk that such are dropped unseen.
pub(super) const REAPED_GAIN: f64 = 0.15;
/// Risk from which on idle connections are closed before use: by unsafe messages, and by repeatable ones.
pub(super) const REAPED_RISKS: (f64, f64) = (0.03, 0.25);
/// ... beyond so many times the risk of a call on a new connection, which chance moves too.
pub(super) const REAPED_OTHER: f64 = 2.0;
/// A connection in use until this part of the shortest aim ago was not idle: what it loses has other causes.
pub(super) const REAPED_LEAST_AIM: f64 = 0.1;
/// Connections idle for this part of the shortest time that lost a call are trusted.
pub(super) const REAPED_MARGIN: f64 = 0.7;
/// While idle connections are closed, one is tried so many of the shortest aim after the last loss.
pub(super) const REAPED_CHECK_AIMS: f64 = 4.0;
/// Weight of a failed connection, and of an answer, in the risk that a kind has no room for one. It outlasts
/// a hundred answers, as closing idle connections makes the room that speaks against it.
pub(super) const CROWDING_GAINS: (f64, f64) = (0.3, 0.03);
/// Risk from which on they are closed, unless the next call is expected within so many times what one takes.
pub(super) const CROWDED: f64 = 0.02;
pub(super) const KEEP_LATENCIES: f64 = 2.0;

impl PolicyState {
    /// A loss on an idle connection speaks for ones dropped unseen, an answer on one idle as long against it.
    pub(super) fn learn_of_idle(&mut self, now: Time, idle: Option<Duration>, lost: bool, answered: bool) {
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

    /// How long the connection has been idle that the next call to an endpoint would use. Where idle ones are
    /// dropped unseen, they are closed first; now and then one is tried, with a message that can be repeated.
    pub(super) fn idle_connection(
        &mut self,
        now: Time,
        to: EndpointId,
        first: MessageId,
    ) -> Option<Duration> {
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
    pub(super) fn close_crowding(&mut self, now: Time) {
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
}
