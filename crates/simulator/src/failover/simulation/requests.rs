//! Requests at sites, their effects and their responses.

use super::{time, Event, Simulation, SiteResponse};
use cloverstile::{Effect, EndpointId, Group, RateLimitStatus};
use cloverstile_engine::{Attempt, TransportOutcome};
use cloverstile_fakes::model::Reply;
use std::time::Duration;

impl Simulation<'_> {
    pub(super) fn reach(&mut self, instance: u32, epoch: u32, endpoint: EndpointId, attempt: Attempt) {
        let (now, address) = (self.now, &self.addresses[endpoint.0 as usize]);
        let (id, down) = (address.site, address.down);
        let grace = Duration::from_secs_f64(self.scenario.rules.drain_grace);
        if address.draining.is_some_and(|since| now > since + grace) {
            self.run.violations.sends_after_drain += 1;
        }
        let gateway = &self.gateways[instance as usize];
        let number = gateway.held.get(&attempt.message).copied().filter(|_| gateway.epoch == epoch);
        self.run.requests += 1;
        self.second().requests += 1;
        let site = &mut self.sites[id as usize];
        site.count(now);
        if down || matches!(site.model.fault(), Some(cloverstile_fakes::model::Fault::RefuseConnections)) {
            let reply = SiteResponse::NoConnection;
            return self.reply(now, Event::Response { instance, epoch, attempt, site: id, reply });
        }
        // A message that its instance has forgotten, or a lost instance's: the site sees it all the same.
        let Some(number) = number else { return };
        let verdict = site.model.handle_request(now, &number.to_string());
        let left = site.model.allowance().map(|(left, _)| (left * 1e6) as u32);
        let tier = site.tier;
        self.reached(number, tier);
        if verdict.takes_effect {
            self.record_effect(number, id);
        }
        let reply = match verdict.reply {
            Reply::Processed => SiteResponse::Processed(left),
            Reply::Error => SiteResponse::Error,
            Reply::Rejected(wait) => SiteResponse::Rejected(wait, left),
            Reply::Truncated | Reply::Reset => SiteResponse::Reset,
        };
        if let Some(at) = verdict.respond_at {
            self.reply(at, Event::Response { instance, epoch, attempt, site: id, reply });
        }
    }

    fn reply(&mut self, at: Duration, event: Event) {
        let at = at + self.network_delay();
        self.schedule(at, event);
    }

    fn reached(&mut self, number: u32, tier: usize) {
        let message = &mut self.run.messages[number as usize];
        message.first_tier.get_or_insert(tier);
        if tier > 0 && message.spilled_at.is_none() {
            message.spilled_at = Some(self.now);
            self.second().spilled += 1;
        }
    }

    fn record_effect(&mut self, number: u32, site: u32) {
        let message = &mut self.run.messages[number as usize];
        let class = &self.settings.classes[usize::from(message.class)];
        // Sites of one group share their idempotency keys: a repeat is dropped at whichever site it arrives.
        let window = self.sites[site as usize].model.profile().repeat_window;
        let known = message.last_effect_at.is_some_and(|at| self.now < at + window);
        if class.effect == Effect::Keyed && class.group == Group::All && known {
            return;
        }
        message.effects += 1;
        message.last_effect_at = Some(self.now);
        if message.effects > 1 && class.effect != Effect::Safe {
            self.run.violations.repeated_effects += 1;
        }
        if let (Some((key, place)), 1) = (message.key, message.effects) {
            let (_, last) = self.keys.entry(key).or_default();
            if place < *last {
                self.run.violations.out_of_order += 1;
            }
            *last = place.max(*last);
        }
    }

    pub(super) fn answered(
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
        let limit = self.sites[site as usize].model.profile().limit.unwrap_or(0.0);
        let told = |left: u32| RateLimitStatus { remaining: f64::from(left) / 1e6, limit };
        let (reported, allowance) = match reply {
            SiteResponse::Processed(left) => (TransportOutcome::Processed, left.map(told)),
            SiteResponse::Error => (TransportOutcome::Error, None),
            SiteResponse::Rejected(wait, left) => (TransportOutcome::Rejected(wait), left.map(told)),
            SiteResponse::Reset => (TransportOutcome::Reset, None),
            SiteResponse::NoConnection => (TransportOutcome::ConnectFailed, None),
        };
        let gateway = &mut self.gateways[instance as usize];
        if gateway.down || gateway.epoch != epoch {
            return;
        }
        if let TransportOutcome::Rejected(Some(wait)) = reported {
            let until = gateway.waits.entry(site).or_default();
            *until = (*until).max(self.now + wait);
        }
        gateway.engine.on_attempt_completed(time(self.now), attempt, reported, allowance);
        self.advance(instance);
    }
}
