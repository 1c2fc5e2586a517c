//! Idle connections: closed if endpoints drop them silently or are at their connection limit.

use crate::interface::{Action, AttemptOutcome, EndpointId, KindId, MessageId, Time};
use crate::policy_state::{shortest_objective_s, update_ewma, warm_up_s, EndpointRecord, PolicyState};
use std::time::Duration;

/// Weight of the newest loss or response on an idle connection in the risk that it was dropped silently.
const STALE_RISK_GAIN: f64 = 0.15;
/// Risk from which on an idle connection is closed before a message is sent on it, by effect of the message.
const MAX_STALE_RISK_UNSAFE: f64 = 0.03;
const MAX_STALE_RISK_REPEATABLE: f64 = 0.25;
/// Added to that threshold: this multiple of the loss risk on new connections, which also varies by chance.
const STALE_RISK_BASELINE_MULTIPLE: f64 = 2.0;
/// A connection used less than this fraction of the shortest latency objective ago is not idle; a loss on it
/// has another cause.
const MIN_IDLE_OBJECTIVES: f64 = 0.1;
/// Connections idle for less than this fraction of the shortest idle time that lost a request are trusted.
const TRUSTED_IDLE_FRACTION: f64 = 0.7;
/// While idle connections are closed, one is tested this many shortest objectives after the last loss.
const STALE_CHECK_OBJECTIVES: f64 = 4.0;

/// Weights of a failed connection attempt and of a response in the risk that a kind is at its connection
/// limit. The risk outlasts a hundred responses, as these succeed only because idle connections are closed.
pub(super) const PRESSURE_GAIN: f64 = 0.3;
pub(super) const PRESSURE_DECAY_GAIN: f64 = 0.03;
/// Risk from which on connections are closed after use, unless the next request is expected within
/// `KEEP_OPEN_LATENCIES`.
const MAX_CONNECTION_LIMIT_PRESSURE: f64 = 0.02;
const KEEP_OPEN_LATENCIES: f64 = 2.0;

impl PolicyState {
    /// Updates the loss risks: a loss on an idle connection raises the stale risk, and a response on one that
    /// was idle at least as long as the shortest loss lowers it.
    pub fn record_connection_outcome(&mut self, now: Time, idle: Option<Duration>, outcome: AttemptOutcome) {
        let (lost, responded) = (outcome.may_still_be_running(), outcome == AttemptOutcome::Ok);
        let objective = shortest_objective_s(&self.settings);
        let risk = &mut self.idle_risk;
        let Some(idle) = idle.filter(|idle| idle.as_secs_f64() > objective * MIN_IDLE_OBJECTIVES) else {
            if lost || responded {
                update_ewma(&mut risk.new_connection_risk, f64::from(lost), STALE_RISK_GAIN);
            }
            return;
        };
        if lost {
            risk.shortest_stale_idle =
                if risk.stale_risk > 0.0 { risk.shortest_stale_idle.min(idle) } else { idle };
            update_ewma(&mut risk.stale_risk, 1.0, STALE_RISK_GAIN);
            risk.next_check = now + Duration::from_secs_f64(objective * STALE_CHECK_OBJECTIVES);
        } else if responded && idle >= risk.shortest_stale_idle {
            update_ewma(&mut risk.stale_risk, 0.0, STALE_RISK_GAIN);
            risk.next_check = now;
            risk.stale_risk *= f64::from(risk.stale_risk >= MAX_STALE_RISK_UNSAFE);
        }
    }

    /// Returns how long the connection for the next request to an endpoint has been idle. If the stale risk
    /// is too high, requests closing the idle connections instead; from time to time one is tested with a
    /// repeatable message.
    pub fn prepare_connection(&mut self, now: Time, to: EndpointId, first: MessageId) -> Option<Duration> {
        let endpoint = self.endpoints.get(&to)?;
        let is_open = |used: &Time| now - *used < self.settings.connection_idle_timeout;
        let idle = now - endpoint.last_used.filter(is_open)?;
        // With requests in flight, another connection may be in use that has been idle for longer than known.
        let none_in_flight = endpoint.requests_in_flight == 0;
        let repeatable = self.messages.get(&first).is_some_and(|message| self.is_repeatable(message));
        let max_risk = if repeatable { MAX_STALE_RISK_REPEATABLE } else { MAX_STALE_RISK_UNSAFE };
        let risk = &mut self.idle_risk;
        let trusted = none_in_flight && idle < risk.shortest_stale_idle.mul_f64(TRUSTED_IDLE_FRACTION);
        if risk.stale_risk < max_risk + risk.new_connection_risk * STALE_RISK_BASELINE_MULTIPLE || trusted {
            return none_in_flight.then_some(idle);
        }
        if repeatable && none_in_flight && idle >= risk.shortest_stale_idle && now >= risk.next_check {
            let delay = shortest_objective_s(&self.settings) * STALE_CHECK_OBJECTIVES;
            risk.next_check = now + Duration::from_secs_f64(delay);
            return Some(idle);
        }
        self.actions.push(Action::CloseIdle { endpoint: to });
        None
    }

    /// If endpoints are at their connection limit, closes idle connections that no request is expected to use
    /// soon: idle connections count towards the limit and keep other clients from being served.
    pub fn close_excess_idle_connections(&mut self, now: Time) {
        for id in std::mem::take(&mut self.recently_completed) {
            let is_idle = |e: &&EndpointRecord| e.requests_in_flight == 0 && e.last_used.is_some();
            let Some(endpoint) = self.endpoints.get(&id).filter(is_idle) else { continue };
            let pressure = self.has_connection_limit_pressure(endpoint.entry.kind);
            let Some(route) = self.routes.get_mut(&self.route_of(&endpoint.entry)) else { continue };
            let demand = route.demand_per_endpoint(now, warm_up_s(&self.settings));
            if pressure && demand * route.latency.mean * KEEP_OPEN_LATENCIES < 1.0 {
                self.actions.push(Action::CloseIdle { endpoint: id });
                self.endpoints.entry(id).and_modify(|endpoint| endpoint.last_used = None);
            }
        }
    }

    /// Whether endpoints of a kind are likely to be at their connection limit.
    pub fn has_connection_limit_pressure(&self, kind: KindId) -> bool {
        let stats = self.kind_stats.get(&kind);
        stats.is_some_and(|kind| kind.connection_limit_pressure > MAX_CONNECTION_LIMIT_PRESSURE)
    }
}
