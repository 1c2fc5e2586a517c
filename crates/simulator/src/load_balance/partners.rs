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
    pub pace: f64,
    /// The model of its server.
    pub model: PartnerModel,
    /// Beginning of its service.
    pub from: Duration,
    /// End of its service.
    pub until: Duration,
    /// Connections are refused.
    pub gone: bool,
    errors: bool,
    /// Requests in flight.
    pub in_hand: u32,
    served: u32,
    report: (Duration, LoadReport),
}

/// A report of load, some time old.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in flight.
    pub in_hand: f64,
    /// Calls served a second.
    pub served: f64,
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
    pub fn limit(&self) -> Option<f64> {
        (!self.limits.is_empty()).then(|| self.limits.iter().map(SharedLimit::rate).sum())
    }

    /// Its limits are so many times their usual rate from now on.
    pub fn multiply_limits(&mut self, now: Duration, factor: f64) {
        let before = std::mem::replace(&mut self.factor, factor);
        for limit in &mut self.limits {
            limit.set_rate(now, limit.rate() * (factor / before.max(1e-9)));
        }
    }
}

impl SimulatedEndpoint {
    /// Its entry in the load record.
    pub fn entry(&self) -> Endpoint {
        Endpoint { partner: self.partner, weight: self.pace, from: self.from, until: self.until }
    }
}

/// All partners.
pub struct SimulatedPartners {
    /// By number.
    pub partners: Vec<SimulatedPartner>,
    /// By place.
    pub endpoints: Vec<SimulatedEndpoint>,
    report: Duration,
    still: bool,
    /// Weights of endpoints whose partner has no limit: calls a second that the partner can serve.
    able: Vec<f64>,
}

/// Response of an endpoint to a call.
pub struct EndpointResponse {
    /// Decision of the server model.
    pub verdict: ServerDecision,
    /// Rate limit that the response advertises.
    pub told: Option<AdvertisedLimit>,
    /// Load report in the response.
    pub load: LoadReport,
}

impl EndpointResponse {
    /// How the call ends, as the endpoint sees it.
    pub fn outcome(&self) -> Outcome {
        match self.verdict.reply {
            Reply::Rejected(_) => Outcome::Rejected,
            Reply::Processed if self.verdict.respond_at.is_some() => Outcome::Served,
            _ => Outcome::Failed,
        }
    }
}

impl SimulatedPartners {
    /// All partners of a scenario.
    pub fn new(scenario: &LoadBalanceScenario, rng: &mut ChaCha8Rng) -> SimulatedPartners {
        let report = Duration::from_secs_f64(scenario.report_ms / 1e3);
        let mut sites = SimulatedPartners {
            partners: Vec::new(),
            endpoints: Vec::new(),
            report,
            still: false,
            able: Vec::new(),
        };
        for spec in scenario.partner.values() {
            for _ in 0..spec.copies {
                let number = sites.partners.len();
                let (endpoints, limits) = (Vec::new(), Vec::new());
                let partner = SimulatedPartner { spec: spec.clone(), endpoints, limits, factor: 1.0 };
                sites.partners.push(partner);
                for _ in 0..spec.endpoints {
                    let [least, most] = spec.pace;
                    let pace = least * (most / least).powf(rng.random::<f64>());
                    sites.add(scenario, number, pace, Duration::ZERO, rng);
                }
                let partner = &mut sites.partners[number];
                let paces: Vec<f64> = partner.endpoints.iter().map(|e| sites.endpoints[*e].pace).collect();
                let (all, count) = (paces.iter().sum::<f64>(), paces.len());
                partner.limits = match spec.limit {
                    None => Vec::new(),
                    Some(limit) if spec.apart => {
                        let own = |pace: &f64| SharedLimit::new(scenario.terms(spec, limit * pace / all), 1);
                        paces.iter().map(own).collect()
                    }
                    Some(limit) => vec![SharedLimit::new(scenario.terms(spec, limit), count)],
                };
            }
        }
        sites
    }

    /// One more endpoint of a partner; returns its place.
    pub fn add(
        &mut self,
        scenario: &LoadBalanceScenario,
        partner: usize,
        pace: f64,
        now: Duration,
        rng: &mut ChaCha8Rng,
    ) -> usize {
        let spec = &self.partners[partner].spec;
        let nature = scenario.nature(spec, pace);
        self.able.push(nature.capacity() * spec.endpoints as f64);
        let mut model = PartnerModel::new(nature, ChaCha8Rng::seed_from_u64(rng.random()));
        if now > Duration::ZERO {
            // A new endpoint warms up, as a recovering one does.
            model.begin_fault(Fault::RefuseConnections, now);
            model.end_fault(now);
        }
        let place = self.endpoints.len();
        self.endpoints.push(SimulatedEndpoint {
            partner,
            pace,
            model,
            from: now,
            until: Duration::MAX,
            gone: false,
            errors: false,
            in_hand: 0,
            served: 0,
            report: (now, LoadReport::default()),
        });
        let partner = &mut self.partners[partner];
        partner.endpoints.push(place);
        if partner.spec.apart && !partner.limits.is_empty() {
            // It takes over the limit of the endpoint that it replaces: the same capacity factor and settings.
            let rate = partner.limits[0].rate();
            partner.limits.push(SharedLimit::new(scenario.terms(&partner.spec, rate), 1));
        } else if let Some(limit) = partner.limits.first_mut() {
            limit.add_endpoint();
        }
        place
    }

    fn limit(&mut self, endpoint: usize) -> Option<(&mut SharedLimit, usize)> {
        let partner = &mut self.partners[self.endpoints[endpoint].partner];
        let place = partner.endpoints.iter().position(|e| *e == endpoint)?;
        match partner.spec.apart {
            true => partner.limits.get_mut(place).map(|limit| (limit, 0)),
            false => partner.limits.first_mut().map(|limit| (limit, place)),
        }
    }

    /// Weight of an endpoint in the endpoint list: calls a second of its limit, or of its partner's; without a
    /// limit, what its partner can serve.
    pub fn told_weight(&mut self, endpoint: usize) -> f64 {
        let able = self.able[endpoint];
        self.limit(endpoint).map_or(able, |(limit, _)| limit.rate())
    }

    /// Freezes the reports of load and limits, or resumes them.
    pub fn freeze_reports(&mut self, still: bool) {
        self.still = still;
        for limit in self.partners.iter_mut().flat_map(|partner| &mut partner.limits) {
            limit.freeze_reports(still);
        }
    }

    /// The first of a partner's endpoints in service, as many as the share says.
    pub fn part(&self, partner: usize, share: f64) -> Vec<usize> {
        let of = self.partners[partner].endpoints.iter().copied();
        let there: Vec<usize> = of.filter(|e| !self.endpoints[*e].gone).collect();
        let count = (there.len() as f64 * share).ceil() as usize;
        there.into_iter().take(count).collect()
    }

    /// The load report of an endpoint.
    pub fn load(&mut self, now: Duration, endpoint: usize) -> LoadReport {
        let (report, still) = (self.report, self.still);
        let at = &mut self.endpoints[endpoint];
        let age = now.saturating_sub(at.report.0);
        if age >= report && !still {
            let served = f64::from(std::mem::take(&mut at.served)) / age.as_secs_f64().max(1e-3);
            at.report = (now, LoadReport { in_hand: f64::from(at.in_hand), served });
        }
        at.report.1
    }

    /// Handles a complete call. The caller reports a response at a known time to [`SimulatedPartners::answered`] then.
    pub fn reach(&mut self, now: Duration, endpoint: usize, id: &str) -> EndpointResponse {
        let at_once = |reply| ServerDecision { respond_at: Some(now), reply, takes_effect: false };
        let tells = self.partners[self.endpoints[endpoint].partner].spec.tells_wait;
        let silent = self.partners[self.endpoints[endpoint].partner].spec.silent;
        let verdict = if self.endpoints[endpoint].errors {
            at_once(Reply::Error)
        } else {
            let taken = self.limit(endpoint).map_or(Ok(()), |(limit, _)| limit.try_acquire(now));
            match taken {
                Err(wait) => at_once(Reply::Rejected(tells.then_some(wait))),
                Ok(()) => self.endpoints[endpoint].model.handle_request(now, id),
            }
        };
        let told = self.limit(endpoint).and_then(|(limit, place)| limit.advertised(now, place));
        if verdict.respond_at.is_some_and(|at| at > now) {
            self.endpoints[endpoint].in_hand += 1;
        }
        EndpointResponse { verdict, told: told.filter(|_| !silent), load: self.load(now, endpoint) }
    }

    /// Records that the response of a call in service has left.
    pub fn answered(&mut self, endpoint: usize) {
        let at = &mut self.endpoints[endpoint];
        at.in_hand = at.in_hand.saturating_sub(1);
        at.served += 1;
    }

    /// Begins or ends a fault of an endpoint.
    pub fn wrong(&mut self, now: Duration, endpoint: usize, wrong: EndpointFault, begins: bool) {
        let at = &mut self.endpoints[endpoint];
        match (wrong, begins) {
            (EndpointFault::Errors, begins) => at.errors = begins,
            (EndpointFault::Silent, true) => at.model.begin_fault(Fault::Silent, Duration::MAX),
            (EndpointFault::Slow, true) => at.model.begin_fault(Fault::Slow(3.0), Duration::MAX),
            (_, false) => at.model.end_fault(now),
        }
    }
}
