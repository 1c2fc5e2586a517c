//! Discovery: applies updates of the endpoint list and schedules subscriptions to it.

use super::rate_limiting::UNADVERTISED_RATE;
use crate::interface::{Discovery, Endpoint, EndpointListUpdate, EndpointState, Time, WeightSource};
use crate::policy_state::{Backoff, EndpointRecord, PolicyState, RouteState};

/// Delay before subscribing, in discovery intervals; with full jitter.
const SUBSCRIBE_BACKOFF: Backoff = Backoff { initial: 0.5, max: 1.5 };

impl PolicyState {
    /// Applies an update of the endpoint list.
    pub fn on_endpoint_list(&mut self, now: Time, update: EndpointListUpdate) {
        self.schedule_subscription(now, matches!(update, EndpointListUpdate::Unavailable));
        for entry in self.listed_entries(update) {
            self.update_listed_endpoint(now, entry);
        }
    }

    /// Schedules a subscription, as drains are announced only to subscribers. All instances start at once and
    /// the discovery service handles a few at a time, so they spread out over half of the discovery interval,
    /// and over more of it after a failure.
    fn schedule_subscription(&mut self, now: Time, failed: bool) {
        let is_first = self.endpoints.is_empty();
        self.failed_subscriptions = if failed { self.failed_subscriptions + 1 } else { 0 };
        if self.settings.discovery == Discovery::Subscribe && (failed || is_first) {
            let delay =
                SUBSCRIBE_BACKOFF.delay(self.settings.rules.discovery_interval, self.failed_subscriptions);
            self.subscribe_at = Some(now + delay.mul_f64(self.rng.f64()));
        }
    }

    fn update_listed_endpoint(&mut self, now: Time, entry: Endpoint) {
        let advertised = self.settings.weights != WeightSource::Ignored;
        let limit = if advertised { entry.weight.max(0.1) } else { 0.0 };
        let kind = self.settings.kinds.get(usize::from(entry.kind.0));
        let max_batch = kind.map_or(1, |kind| kind.max_batch.max(1));
        let step = self.round_robin_step(&entry);
        let route = self.routes.entry(self.route_of(&entry)).or_insert_with(|| {
            let rate = if advertised { limit } else { UNADVERTISED_RATE };
            RouteState { rate, tokens: 1.0, refilled_at: now, last_success: now, ..RouteState::default() }
        });
        // If the endpoint list advertises no limit, the one that responses advertised stays in force.
        route.advertised_limit = if advertised { limit } else { route.advertised_limit };
        (route.max_batch, route.kind) = (max_batch, entry.kind);
        route.one_at_a_time = entry.state == EndpointState::OneAtATime;
        if let Some(known) = self.endpoints.get_mut(&entry.id) {
            (known.entry, known.round_robin_step) = (entry, step);
            return;
        }
        route.endpoints.push(entry.id);
        let position = self.round_robin_front(entry.destination) + self.rng.u64(..step);
        self.endpoints.insert(entry.id, EndpointRecord::new(entry, position, step));
    }
}
