//! Idle connections: closed where endpoints drop them unseen, or have no room for more connections.

use crate::interface::{Action, AttemptOutcome, EndpointId, KindId, MessageId, Time};
use crate::policy_state::{shortest_objective_s, update_ewma, warm_up_s, EndpointRecord, PolicyState};
use std::time::Duration;

/// Weight of the newest loss or response on an idle connection in the risk that such are dropped unseen.
const STALE_RISK_GAIN: f64 = 0.15;
/// Risk from which on idle connections are closed before use by a message.
const MAX_STALE_RISK_UNSAFE: f64 = 0.03;
const MAX_STALE_RISK_REPEATABLE: f64 = 0.25;
/// ... beyond so many times the risk of a request on a new connection, which chance moves too.
const STALE_RISK_BASELINES: f64 = 2.0;
/// A connection used less than this part of the shortest objective ago was not idle: it fails otherwise.
const MIN_IDLE_OBJECTIVES: f64 = 0.1;
/// Connections idle for this part of the shortest idle time that lost a request are trusted.
const TRUSTED_IDLE: f64 = 0.7;
/// While idle connections are closed, one is tried so many of the shortest objective after the last loss.
const STALE_CHECK_OBJECTIVES: f64 = 4.0;

/// Weight of a failed connection, and of a response, in the risk that a kind has no room for one. It outlasts
/// a hundred responses, as closing idle connections makes the room that speaks against it.
pub(super) const PRESSURE_GAIN: f64 = 0.3;
pub(super) const PRESSURE_DECAY_GAIN: f64 = 0.03;
/// Risk from which on they are closed, unless the next request is expected within so many latencies.
const MAX_CONNECTION_LIMIT_PRESSURE: f64 = 0.02;
const KEEP_OPEN_LATENCIES: f64 = 2.0;

impl PolicyState {
    /// A loss on an idle connection speaks for stale ones, a response on one idle as long against it.
    pub fn record_connection_outcome(&mut self, now: Time, idle: Option<Duration>, outcome: AttemptOutcome) {
        let (lost, answered) = (outcome.is_lost(), outcome == AttemptOutcome::Ok);
        let objective = shortest_objective_s(&self.settings);
        let risk = &mut self.idle_risk;
        let Some(idle) = idle.filter(|idle| idle.as_secs_f64() > objective * MIN_IDLE_OBJECTIVES) else {
            if lost || answered {
                update_ewma(&mut risk.new_connection_risk, f64::from(lost), STALE_RISK_GAIN);
            }
            return;
        };
        if lost {
            risk.shortest_stale_idle =
                if risk.stale_risk > 0.0 { risk.shortest_stale_idle.min(idle) } else { idle };
            update_ewma(&mut risk.stale_risk, 1.0, STALE_RISK_GAIN);
            risk.next_check = now + Duration::from_secs_f64(objective * STALE_CHECK_OBJECTIVES);
        } else if answered && idle >= risk.shortest_stale_idle {
            update_ewma(&mut risk.stale_risk, 0.0, STALE_RISK_GAIN);
            risk.next_check = now;
            risk.stale_risk *= f64::from(risk.stale_risk >= MAX_STALE_RISK_UNSAFE);
        }
    }

    /// How long the connection has been idle that the next request to an endpoint would use. Where idle ones
    /// are dropped unseen, they are closed first; now and then one is tried, with a repeatable message.
    pub fn prepare_connection(&mut self, now: Time, to: EndpointId, first: MessageId) -> Option<Duration> {
        let endpoint = self.endpoints.get(&to)?;
        let open = |used: &Time| now - *used < self.settings.connection_idle_timeout;
        let idle = now - endpoint.last_used.filter(open)?;
        // With requests in flight, a second connection may have been idle for longer than was seen.
        let alone = endpoint.requests_in_flight == 0;
        let repeatable = self.messages.get(&first).is_some_and(|message| self.is_repeatable(message));
        let most = if repeatable { MAX_STALE_RISK_REPEATABLE } else { MAX_STALE_RISK_UNSAFE };
        let risk = &mut self.idle_risk;
        let trusted = alone && idle < risk.shortest_stale_idle.mul_f64(TRUSTED_IDLE);
        if risk.stale_risk < most + risk.new_connection_risk * STALE_RISK_BASELINES || trusted {
            return alone.then_some(idle);
        }
        if repeatable && alone && idle >= risk.shortest_stale_idle && now >= risk.next_check {
            let gap = shortest_objective_s(&self.settings) * STALE_CHECK_OBJECTIVES;
            risk.next_check = now + Duration::from_secs_f64(gap);
            return Some(idle);
        }
        self.actions.push(Action::CloseIdle { endpoint: to });
        None
    }

    /// Where endpoints have no room for a connection, those that would idle are closed unless a request takes
    /// them at once: the idle ones of others count, and fill the room while nobody is served.
    pub fn close_excess_idle_connections(&mut self, now: Time) {
        for id in std::mem::take(&mut self.recently_completed) {
            let unused = |e: &&EndpointRecord| e.requests_in_flight == 0 && e.last_used.is_some();
            let Some(endpoint) = self.endpoints.get(&id).filter(unused) else { continue };
            let pressure = self.has_connection_limit_pressure(endpoint.entry.kind);
            let Some(route) = self.routes.get_mut(&self.route_of(&endpoint.entry)) else { continue };
            let demand = route.demand_per_endpoint(now, warm_up_s(&self.settings));
            if pressure && demand * route.latency.mean * KEEP_OPEN_LATENCIES < 1.0 {
                self.actions.push(Action::CloseIdle { endpoint: id });
                self.endpoints.entry(id).and_modify(|endpoint| endpoint.last_used = None);
            }
        }
    }

    pub fn has_connection_limit_pressure(&self, kind: KindId) -> bool {
        let stats = self.kind_stats.get(&kind);
        stats.is_some_and(|kind| kind.connection_limit_pressure > MAX_CONNECTION_LIMIT_PRESSURE)
    }
}
