//! Requests that arrive at sites, their effects and their responses.

use super::{time, Event, Simulation, SiteResponse};
use cloverstile::{Effect, EndpointId, Group, RateLimitStatus};
use cloverstile_engine::{Attempt, TransportOutcome};
use cloverstile_fakes::model::Reply;
use std::time::Duration;

impl Simulation<'_> {
    pub(super) fn on_request_arrival(
        &mut self,
        instance: u32,
        epoch: u32,
        endpoint: EndpointId,
        attempt: Attempt,
    ) {
        let (now, target) = (self.now, &self.endpoints[endpoint.0 as usize]);
        let (id, down) = (target.site, target.down);
        let grace = Duration::from_secs_f64(self.scenario.rules.drain_grace);
        if target.draining_since.is_some_and(|since| now > since + grace) {
            self.run.violations.sends_after_drain += 1;
        }
        let gateway = &self.gateways[instance as usize];
        let number = gateway.held_messages.get(&attempt.message).copied().filter(|_| gateway.epoch == epoch);
        self.run.requests += 1;
        self.current_second().requests += 1;
        let site = &mut self.sites[id as usize];
        site.count_request(now);
        if down || matches!(site.model.fault(), Some(cloverstile_fakes::model::Fault::RefuseConnections)) {
            let reply = SiteResponse::NoConnection;
            return self.schedule_response(
                now,
                Event::ResponseArrival { instance, epoch, attempt, site: id, reply },
            );
        }
        // The instance has evicted the message or has restarted since: the request counts towards the site's load, but
        // has no effect.
        let Some(number) = number else { return };
        let decision = site.model.handle_request(now, &number.to_string());
        let remaining = site.model.rate_limit_state().map(|(remaining, _)| (remaining * 1e6) as u32);
        let tier = site.tier;
        self.record_tier(number, tier);
        if decision.takes_effect {
            self.record_effect(number, id);
        }
        let reply = match decision.reply {
            Reply::Processed => SiteResponse::Processed(remaining),
            Reply::Error => SiteResponse::Error,
            Reply::Rejected(wait) => SiteResponse::Rejected(wait, remaining),
            Reply::Truncated | Reply::Reset => SiteResponse::Reset,
        };
        if let Some(at) = decision.respond_at {
            self.schedule_response(at, Event::ResponseArrival { instance, epoch, attempt, site: id, reply });
        }
    }

    fn schedule_response(&mut self, at: Duration, event: Event) {
        let at = at + self.network_delay();
        self.schedule(at, event);
    }

    fn record_tier(&mut self, number: u32, tier: usize) {
        let message = &mut self.run.messages[number as usize];
        message.first_tier.get_or_insert(tier);
        if tier > 0 && message.spilled_at.is_none() {
            message.spilled_at = Some(self.now);
            self.current_second().spilled += 1;
        }
    }

    fn record_effect(&mut self, number: u32, site: u32) {
        let message = &mut self.run.messages[number as usize];
        let class = &self.settings.classes[usize::from(message.class)];
        // With group `all`, the sites share idempotency keys and drop a repeat at whichever site it arrives.
        let window = self.sites[site as usize].model.profile().deduplication_window;
        let deduplicated = message.last_effect_at.is_some_and(|at| self.now < at + window);
        if class.effect == Effect::Keyed && class.group == Group::All && deduplicated {
            return;
        }
        message.effects += 1;
        message.last_effect_at = Some(self.now);
        if message.effects > 1 && class.effect != Effect::Safe {
            self.run.violations.repeated_effects += 1;
        }
        if let (Some((key, position)), 1) = (message.key, message.effects) {
            let (_, last) = self.key_positions.entry(key).or_default();
            if position < *last {
                self.run.violations.out_of_order += 1;
            }
            *last = position.max(*last);
        }
    }

    pub(super) fn on_response_arrival(
        &mut self,
        instance: u32,
        epoch: u32,
        attempt: Attempt,
        site: u32,
        reply: SiteResponse,
    ) {
        if !self.in_flight.remove(&(instance, epoch, attempt)) {
            return;
        }
        let limit = self.sites[site as usize].model.profile().rate_limit.unwrap_or(0.0);
        let status = |remaining: u32| RateLimitStatus { remaining: f64::from(remaining) / 1e6, limit };
        let (outcome, rate_limit) = match reply {
            SiteResponse::Processed(remaining) => (TransportOutcome::Processed, remaining.map(status)),
            SiteResponse::Error => (TransportOutcome::Error, None),
            SiteResponse::Rejected(wait, remaining) => {
                (TransportOutcome::Rejected(wait), remaining.map(status))
            }
            SiteResponse::Reset => (TransportOutcome::Reset, None),
            SiteResponse::NoConnection => (TransportOutcome::ConnectFailed, None),
        };
        let gateway = &mut self.gateways[instance as usize];
        if gateway.down || gateway.epoch != epoch {
            return;
        }
        if let TransportOutcome::Rejected(Some(wait)) = outcome {
            let until = gateway.retry_after_until.entry(site).or_default();
            *until = (*until).max(self.now + wait);
        }
        gateway.engine.on_attempt_completed(time(self.now), attempt, outcome, rate_limit);
        self.advance(instance);
    }
}
