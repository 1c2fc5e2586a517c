//! Simulated partners of a load balance scenario: endpoints of different capacity, behind a rate limit that either all
//! endpoints of a partner share or each endpoint has for itself.

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
    /// Every request gets an error response at once.
    Errors,
    /// No request gets a response.
    Silent,
    /// Requests take three times as long.
    Slow,
}

/// An endpoint of a partner: its server model, state and load report.
pub struct SimulatedEndpoint {
    /// Index of its partner.
    pub partner: usize,
    /// Its capacity relative to an endpoint of factor 1; also its weight in the load record.
    pub capacity_factor: f64,
    /// The model that decides how and when requests are answered.
    pub model: PartnerModel,
    /// When it was added.
    pub in_service_from: Duration,
    /// When it leaves service; [`Duration::MAX`] until it is replaced.
    pub in_service_until: Duration,
    /// Replaced and out of service: connections are refused.
    pub removed: bool,
    /// Whether [`EndpointFault::Errors`] is in effect.
    errors: bool,
    /// Requests queued or in service.
    pub in_flight: u32,
    /// Responses sent since the last load report.
    served: u32,
    /// The last load report and its time.
    report: (Duration, LoadReport),
}

/// The load of an endpoint as last reported. It may be out of date.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests queued or in service at the endpoint.
    pub in_flight: f64,
    /// Responses per second since the report before.
    pub served_per_second: f64,
}

/// A partner: its endpoints and rate limits.
pub struct SimulatedPartner {
    /// Its settings in the scenario.
    pub spec: PartnerSpec,
    /// Indices of its endpoints in [`SimulatedPartners::endpoints`].
    pub endpoints: Vec<usize>,
    /// Either one limit that all endpoints share, or one for each endpoint in the order of `endpoints`; empty without
    /// a limit.
    pub limits: Vec<SharedLimit>,
    /// Current multiple of the usual rate of `limits`.
    limit_factor: f64,
}

impl SimulatedPartner {
    /// Requests per second that it accepts from all instances together; `None` without a limit.
    pub fn total_limit(&self) -> Option<f64> {
        (!self.limits.is_empty()).then(|| self.limits.iter().map(SharedLimit::rate).sum())
    }

    /// Sets its limits to a multiple of their usual rate. A factor set before is replaced.
    pub fn set_limit_factor(&mut self, now: Duration, factor: f64) {
        let previous = std::mem::replace(&mut self.limit_factor, factor);
        for limit in &mut self.limits {
            limit.set_rate(now, limit.rate() * (factor / previous.max(1e-9)));
        }
    }
}

impl SimulatedEndpoint {
    /// Its entry in the load record, weighted by the capacity factor.
    pub fn record_entry(&self) -> Endpoint {
        Endpoint {
            partner: self.partner,
            weight: self.capacity_factor,
            from: self.in_service_from,
            until: self.in_service_until,
        }
    }
}

/// All partners of a run and their endpoints.
pub struct SimulatedPartners {
    /// Partners by index; each copy has its own.
    pub partners: Vec<SimulatedPartner>,
    /// Endpoints of all partners by index. Replaced endpoints stay in the list.
    pub endpoints: Vec<SimulatedEndpoint>,
    report_interval: Duration,
    reports_frozen: bool,
    /// For each endpoint, the requests per second that its partner can serve; its weight if the partner has no limit.
    partner_capacities: Vec<f64>,
}

/// Response of an endpoint to a request.
pub struct EndpointResponse {
    /// Reply, time of the response and effect, as the server model decided.
    pub decision: ServerDecision,
    /// Rate limit that the response advertises, if any.
    pub advertised_limit: Option<AdvertisedLimit>,
    /// Load report that the response carries.
    pub load: LoadReport,
}

impl EndpointResponse {
    /// Outcome of the request as the endpoint sees it. A request with an error or without a complete response
    /// has failed.
    pub fn outcome(&self) -> Outcome {
        match self.decision.reply {
            Reply::Rejected(_) => Outcome::Rejected,
            Reply::Processed if self.decision.respond_at.is_some() => Outcome::Served,
            _ => Outcome::Failed,
        }
    }
}

impl SimulatedPartners {
    /// Creates the partners of a scenario; draws the capacity factors of their endpoints.
    pub fn new(scenario: &LoadBalanceScenario, rng: &mut ChaCha8Rng) -> SimulatedPartners {
        let report_interval = Duration::from_secs_f64(scenario.report_interval_ms / 1e3);
        let mut simulated = SimulatedPartners {
            partners: Vec::new(),
            endpoints: Vec::new(),
            report_interval,
            reports_frozen: false,
            partner_capacities: Vec::new(),
        };
        for spec in scenario.partner.values() {
            for _ in 0..spec.copies {
                let partner_index = simulated.partners.len();
                let (endpoints, limits) = (Vec::new(), Vec::new());
                let partner = SimulatedPartner { spec: spec.clone(), endpoints, limits, limit_factor: 1.0 };
                simulated.partners.push(partner);
                for _ in 0..spec.endpoints {
                    let [least, most] = spec.capacity_factors;
                    let capacity_factor = least * (most / least).powf(rng.random::<f64>());
                    simulated.add_endpoint(scenario, partner_index, capacity_factor, Duration::ZERO, rng);
                }
                let partner = &mut simulated.partners[partner_index];
                let factors: Vec<f64> =
                    partner.endpoints.iter().map(|e| simulated.endpoints[*e].capacity_factor).collect();
                let (total_factor, count) = (factors.iter().sum::<f64>(), factors.len());
                partner.limits = match spec.limit {
                    None => Vec::new(),
                    Some(limit) if spec.limit_per_endpoint => {
                        let own_limit = |factor: &f64| {
                            SharedLimit::new(scenario.limit_settings(spec, limit * factor / total_factor), 1)
                        };
                        factors.iter().map(own_limit).collect()
                    }
                    Some(limit) => vec![SharedLimit::new(scenario.limit_settings(spec, limit), count)],
                };
            }
        }
        simulated
    }

    /// Adds an endpoint to a partner and returns its index. After the start of the run, it has to warm up.
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
            // A new endpoint warms up like one that recovers from an outage, so an outage begins and ends here.
            model.begin_fault(Fault::RefuseConnections, now);
            model.end_fault(now);
        }
        let index = self.endpoints.len();
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
        partner.endpoints.push(index);
        if partner.spec.limit_per_endpoint && !partner.limits.is_empty() {
            // The new endpoint takes over the limit of the one it replaces, which has the same capacity factor and
            // settings.
            let rate = partner.limits[0].rate();
            partner.limits.push(SharedLimit::new(scenario.limit_settings(&partner.spec, rate), 1));
        } else if let Some(limit) = partner.limits.first_mut() {
            limit.add_endpoint();
        }
        index
    }

    /// The limit that applies to an endpoint, and the position of the endpoint in it.
    fn limit(&mut self, endpoint: usize) -> Option<(&mut SharedLimit, usize)> {
        let partner = &mut self.partners[self.endpoints[endpoint].partner];
        let position = partner.endpoints.iter().position(|e| *e == endpoint)?;
        match partner.spec.limit_per_endpoint {
            true => partner.limits.get_mut(position).map(|limit| (limit, 0)),
            false => partner.limits.first_mut().map(|limit| (limit, position)),
        }
    }

    /// Weight of an endpoint in the endpoint list, in requests per second: its own limit or the one that its partner
    /// shares; without a limit, what its partner can serve.
    pub fn listed_weight(&mut self, endpoint: usize) -> f64 {
        let capacity = self.partner_capacities[endpoint];
        self.limit(endpoint).map_or(capacity, |(limit, _)| limit.rate())
    }

    /// Freezes the reports of load and limits at their current values, or resumes them.
    pub fn freeze_reports(&mut self, frozen: bool) {
        self.reports_frozen = frozen;
        for limit in self.partners.iter_mut().flat_map(|partner| &mut partner.limits) {
            limit.freeze_advertised(frozen);
        }
    }

    /// The first endpoints in service of a partner, as many as make up this share (rounded up).
    pub fn first_in_service(&self, partner: usize, share: f64) -> Vec<usize> {
        let endpoints = self.partners[partner].endpoints.iter().copied();
        let in_service: Vec<usize> = endpoints.filter(|e| !self.endpoints[*e].removed).collect();
        let count = (in_service.len() as f64 * share).ceil() as usize;
        in_service.into_iter().take(count).collect()
    }

    /// The load report of an endpoint; renewed first if it is older than the report interval and reports are not
    /// frozen.
    pub fn load_report(&mut self, now: Duration, endpoint: usize) -> LoadReport {
        let (interval, frozen) = (self.report_interval, self.reports_frozen);
        let state = &mut self.endpoints[endpoint];
        let age = now.saturating_sub(state.report.0);
        if age >= interval && !frozen {
            let served_per_second =
                f64::from(std::mem::take(&mut state.served)) / age.as_secs_f64().max(1e-3);
            state.report = (now, LoadReport { in_flight: f64::from(state.in_flight), served_per_second });
        }
        state.report.1
    }

    /// Handles a complete request. If the response leaves at a known later time, the caller calls
    /// [`SimulatedPartners::on_response_sent`] at that time.
    pub fn handle_request(&mut self, now: Duration, endpoint: usize, id: &str) -> EndpointResponse {
        let at_once = |reply| ServerDecision { respond_at: Some(now), reply, takes_effect: false };
        let sends_retry_after = self.partners[self.endpoints[endpoint].partner].spec.sends_retry_after;
        let hides_limit = self.partners[self.endpoints[endpoint].partner].spec.hides_limit;
        let decision = if self.endpoints[endpoint].errors {
            at_once(Reply::Error)
        } else {
            let acquired = self.limit(endpoint).map_or(Ok(()), |(limit, _)| limit.try_acquire(now));
            match acquired {
                Err(wait) => at_once(Reply::Rejected(sends_retry_after.then_some(wait))),
                Ok(()) => self.endpoints[endpoint].model.handle_request(now, id),
            }
        };
        let advertised_limit =
            self.limit(endpoint).and_then(|(limit, position)| limit.advertised(now, position));
        if decision.respond_at.is_some_and(|at| at > now) {
            self.endpoints[endpoint].in_flight += 1;
        }
        EndpointResponse {
            decision,
            advertised_limit: advertised_limit.filter(|_| !hides_limit),
            load: self.load_report(now, endpoint),
        }
    }

    /// Records that the response of a request in service has left the endpoint.
    pub fn on_response_sent(&mut self, endpoint: usize) {
        let state = &mut self.endpoints[endpoint];
        state.in_flight = state.in_flight.saturating_sub(1);
        state.served += 1;
    }

    /// Begins or ends a fault of an endpoint.
    pub fn set_fault(&mut self, now: Duration, endpoint: usize, fault: EndpointFault, begins: bool) {
        let state = &mut self.endpoints[endpoint];
        match (fault, begins) {
            (EndpointFault::Errors, begins) => state.errors = begins,
            (EndpointFault::Silent, true) => state.model.begin_fault(Fault::Silent, Duration::MAX),
            (EndpointFault::Slow, true) => state.model.begin_fault(Fault::Slow(3.0), Duration::MAX),
            (_, false) => state.model.end_fault(now),
        }
    }
}
