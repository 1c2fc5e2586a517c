//! Partners of a load balance scenario: endpoints of their own capacity behind limits that are shared or per endpoint.

use super::scenario::{LoadBalanceScenario, PartnerSpec};
use cloverstile_fakes::limit::{AdvertisedLimit, SharedLimit};
use cloverstile_fakes::model::{Fault, PartnerModel, Reply, ServerDecision};
use cloverstile_load_metrics::{Endpoint, Outcome};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// A fault of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum EndpointFault {
    /// Errors at once.
    Errors,
    /// Silence.
    Silent,
    /// Three times as slow.
    Slow,
}

/// An endpoint.
pub struct SimulatedEndpoint {
    /// Index of its partner.
    pub partner: usize,
    /// Its capacity factor.
    pub capacity_factor: f64,
    /// The model of its server.
    pub model: PartnerModel,
    /// Beginning of its service.
    pub in_service_from: Duration,
    /// End of its service.
    pub in_service_until: Duration,
    /// Connections are refused.
    pub removed: bool,
    errors: bool,
    /// Requests in flight.
    pub in_flight: u32,
    served: u32,
    report: (Duration, LoadReport),
}

/// A report of load, some time old.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight.
    pub in_flight: f64,
    /// Calls served a second.
    pub served_per_second: f64,
}

/// A partner.
pub struct SimulatedPartner {
    /// Its block in the scenario.
    pub spec: PartnerSpec,
    /// Places of its endpoints.
    pub endpoints: Vec<usize>,
    /// One for all, or one for each endpoint in the order of `endpoints`; none without a limit.
    pub limits: Vec<SharedLimit>,
    /// How many times their usual rate those have now.
    factor: f64,
}

impl SimulatedPartner {
    /// Calls a second that it takes from all instances together, where it has a limit.
    pub fn total_limit(&self) -> Option<f64> {
        (!self.limits.is_empty()).then(|| self.limits.iter().map(SharedLimit::rate).sum())
    }

    /// Its limits are so many times their usual rate from now on.
    pub fn set_limit_factor(&mut self, now: Duration, factor: f64) {
        let before = std::mem::replace(&mut self.factor, factor);
        for limit in &mut self.limits {
            limit.set_rate(now, limit.rate() * (factor / before.max(1e-9)));
        }
    }
}

impl SimulatedEndpoint {
    /// Its entry in the load record.
    pub fn record_entry(&self) -> Endpoint {
        Endpoint {
            partner: self.partner,
            weight: self.capacity_factor,
            from: self.in_service_from,
            until: self.in_service_until,
        }
    }
}

/// All partners.
pub struct SimulatedPartners {
    /// By number.
    pub partners: Vec<SimulatedPartner>,
    /// By place.
    pub endpoints: Vec<SimulatedEndpoint>,
    report_interval: Duration,
    reports_frozen: bool,
    /// Weights of endpoints whose partner has no limit: calls a second that the partner can serve.
    partner_capacities: Vec<f64>,
}

/// Response of an endpoint to a call.
pub struct EndpointResponse {
    /// Decision of the server model.
    pub decision: ServerDecision,
    /// Rate limit that the response advertises.
    pub advertised_limit: Option<AdvertisedLimit>,
    /// Load report in the response.
    pub load: LoadReport,
}

impl EndpointResponse {
    /// How the call ends, as the endpoint sees it.
    pub fn outcome(&self) -> Outcome {
        match self.decision.reply {
            Reply::Rejected(_) => Outcome::Rejected,
            Reply::Processed if self.decision.respond_at.is_some() => Outcome::Served,
            _ => Outcome::Failed,
        }
    }
}

impl SimulatedPartners {
    /// All partners of a scenario.
    pub fn new(scenario: &LoadBalanceScenario, rng: &mut ChaCha8Rng) -> SimulatedPartners {
        let report_interval = Duration::from_secs_f64(scenario.report_interval_ms / 1e3);
        let mut sites = SimulatedPartners {
            partners: Vec::new(),
            endpoints: Vec::new(),
            report_interval,
            reports_frozen: false,
            partner_capacities: Vec::new(),
        };
        for spec in scenario.partner.values() {
            for _ in 0..spec.copies {
                let number = sites.partners.len();
                let (endpoints, limits) = (Vec::new(), Vec::new());
                let partner = SimulatedPartner { spec: spec.clone(), endpoints, limits, factor: 1.0 };
                sites.partners.push(partner);
                for _ in 0..spec.endpoints {
                    let [least, most] = spec.capacity_factors;
                    let capacity_factor = least * (most / least).powf(rng.random::<f64>());
                    sites.add_endpoint(scenario, number, capacity_factor, Duration::ZERO, rng);
                }
                let partner = &mut sites.partners[number];
                let factors: Vec<f64> =
                    partner.endpoints.iter().map(|e| sites.endpoints[*e].capacity_factor).collect();
                let (all, count) = (factors.iter().sum::<f64>(), factors.len());
                partner.limits = match spec.limit {
                    None => Vec::new(),
                    Some(limit) if spec.limit_per_endpoint => {
                        let own = |factor: &f64| {
                            SharedLimit::new(scenario.limit_settings(spec, limit * factor / all), 1)
                        };
                        factors.iter().map(own).collect()
                    }
                    Some(limit) => vec![SharedLimit::new(scenario.limit_settings(spec, limit), count)],
                };
            }
        }
        sites
    }

    /// One more endpoint of a partner; returns its place.
    pub fn add_endpoint(
        &mut self,
        scenario: &LoadBalanceScenario,
        partner: usize,
        capacity_factor: f64,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> usize {
        let spec = &self.partners[partner].spec;
        let profile = scenario.server_profile(spec, capacity_factor);
        self.partner_capacities.push(profile.capacity() * spec.endpoints as f64);
        let mut model = PartnerModel::new(profile, ChaCha8Rng::seed_from_u64(rng.random()));
        if now > Duration::ZERO {
            // A new endpoint warms up, as a recovering one does.
            model.begin_fault(Fault::RefuseConnections, now);
            model.end_fault(now);
        }
        let place = self.endpoints.len();
        self.endpoints.push(SimulatedEndpoint {
            partner,
            capacity_factor,
            model,
            in_service_from: now,
            in_service_until: Duration::MAX,
            removed: false,
            errors: false,
            in_flight: 0,
            served: 0,
            report: (now, LoadReport::default()),
        });
        let partner = &mut self.partners[partner];
        partner.endpoints.push(place);
        if partner.spec.limit_per_endpoint && !partner.limits.is_empty() {
            // It takes over the limit of the endpoint that it replaces: the same capacity factor and settings.
            let rate = partner.limits[0].rate();
            partner.limits.push(SharedLimit::new(scenario.limit_settings(&partner.spec, rate), 1));
        } else if let Some(limit) = partner.limits.first_mut() {
            limit.add_endpoint();
        }
        place
    }

    fn limit(&mut self, endpoint: usize) -> Option<(&mut SharedLimit, usize)> {
        let partner = &mut self.partners[self.endpoints[endpoint].partner];
        let place = partner.endpoints.iter().position(|e| *e == endpoint)?;
        match partner.spec.limit_per_endpoint {
            true => partner.limits.get_mut(place).map(|limit| (limit, 0)),
            false => partner.limits.first_mut().map(|limit| (limit, place)),
        }
    }

    /// Weight of an endpoint in the endpoint list: calls a second of its limit, or of its partner's; without a
    /// limit, what its partner can serve.
    pub fn listed_weight(&mut self, endpoint: usize) -> f64 {
        let capacity = self.partner_capacities[endpoint];
        self.limit(endpoint).map_or(capacity, |(limit, _)| limit.rate())
    }

    /// Freezes the reports of load and limits, or resumes them.
    pub fn freeze_reports(&mut self, frozen: bool) {
        self.reports_frozen = frozen;
        for limit in self.partners.iter_mut().flat_map(|partner| &mut partner.limits) {
            limit.freeze_reports(frozen);
        }
    }

    /// The first of a partner's endpoints in service, as many as the share says.
    pub fn first_in_service(&self, partner: usize, share: f64) -> Vec<usize> {
        let of = self.partners[partner].endpoints.iter().copied();
        let there: Vec<usize> = of.filter(|e| !self.endpoints[*e].removed).collect();
        let count = (there.len() as f64 * share).ceil() as usize;
        there.into_iter().take(count).collect()
    }

    /// The load report of an endpoint.
    pub fn load_report(&mut self, now: Duration, endpoint: usize) -> LoadReport {
        let (interval, frozen) = (self.report_interval, self.reports_frozen);
        let at = &mut self.endpoints[endpoint];
        let age = now.saturating_sub(at.report.0);
        if age >= interval && !frozen {
            let served_per_second = f64::from(std::mem::take(&mut at.served)) / age.as_secs_f64().max(1e-3);
            at.report = (now, LoadReport { in_flight: f64::from(at.in_flight), served_per_second });
        }
        at.report.1
    }

    /// Handles a complete request. If the response leaves at a known later time, the caller calls
    /// [`SimulatedPartners::on_response_sent`] at that time.
    pub fn handle_request(&mut self, now: Duration, endpoint: usize, id: &str) -> EndpointResponse {
        let at_once = |reply| ServerDecision { respond_at: Some(now), reply, takes_effect: false };
        let tells = self.partners[self.endpoints[endpoint].partner].spec.sends_retry_after;
        let silent = self.partners[self.endpoints[endpoint].partner].spec.hides_limit;
        let decision = if self.endpoints[endpoint].errors {
            at_once(Reply::Error)
        } else {
            let taken = self.limit(endpoint).map_or(Ok(()), |(limit, _)| limit.try_acquire(now));
            match taken {
                Err(wait) => at_once(Reply::Rejected(tells.then_some(wait))),
                Ok(()) => self.endpoints[endpoint].model.handle_request(now, id),
            }
        };
        let advertised_limit = self.limit(endpoint).and_then(|(limit, place)| limit.advertised(now, place));
        if decision.respond_at.is_some_and(|at| at > now) {
            self.endpoints[endpoint].in_flight += 1;
        }
        EndpointResponse {
            decision,
            advertised_limit: advertised_limit.filter(|_| !silent),
            load: self.load_report(now, endpoint),
        }
    }

    /// Records that the response of a call in service has left.
    pub fn on_response_sent(&mut self, endpoint: usize) {
        let at = &mut self.endpoints[endpoint];
        at.in_flight = at.in_flight.saturating_sub(1);
        at.served += 1;
    }

    /// Begins or ends a fault of an endpoint.
    pub fn set_fault(&mut self, now: Duration, endpoint: usize, fault: EndpointFault, begins: bool) {
        let at = &mut self.endpoints[endpoint];
        match (fault, begins) {
            (EndpointFault::Errors, begins) => at.errors = begins,
            (EndpointFault::Silent, true) => at.model.begin_fault(Fault::Silent, Duration::MAX),
            (EndpointFault::Slow, true) => at.model.begin_fault(Fault::Slow(3.0), Duration::MAX),
            (_, false) => at.model.end_fault(now),
        }
    }
}
