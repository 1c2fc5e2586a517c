//! How a partner behaves: capacity, queue, rate limit, deduplication, outages and the warm-up after them. No I/O; time
//! is an argument, randomness comes from a seed.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// A partner's capacity, limits and recovery, without faults.
#[derive(Clone, Debug)]
pub struct ServerProfile {
    /// Requests that it serves at once, over all its endpoints.
    pub servers: usize,
    /// Requests that may wait for a server.
    pub queue: usize,
    /// Least service time of a request.
    pub min_service_time: Duration,
    /// Mean of the exponentially distributed time on top of it.
    pub mean_extra_service_time: Duration,
    /// Requests a second that it accepts from all gateways together; none: its capacity is the only limit.
    pub rate_limit: Option<f64>,
    /// Rejections carry `Retry-After`.
    pub sends_retry_after: bool,
    /// How long a repeat of a message takes no effect.
    pub deduplication_window: Duration,
    /// Share of its capacity (0 to 1) right after an outage.
    pub initial_capacity_share: f64,
    /// Time after an outage until it has its whole capacity again.
    pub warm_up_time: Duration,
    /// It collapses under more than this multiple of its present capacity while warming up ...
    pub collapse_multiple: f64,
    /// ... over this time.
    pub collapse_window: Duration,
}

impl Default for ServerProfile {
    fn default() -> Self {
        ServerProfile {
            servers: 8,
            queue: 16,
            min_service_time: Duration::from_millis(10),
            mean_extra_service_time: Duration::from_millis(20),
            rate_limit: None,
            sends_retry_after: false,
            deduplication_window: Duration::from_secs(10),
            initial_capacity_share: 0.2,
            warm_up_time: Duration::from_secs(4),
            collapse_multiple: 2.0,
            collapse_window: Duration::from_secs(1),
        }
    }
}

impl ServerProfile {
    /// Requests a second that it can serve when warmed up.
    pub fn capacity(&self) -> f64 {
        let mean = self.min_service_time + self.mean_extra_service_time;
        self.servers as f64 / mean.as_secs_f64().max(1e-6)
    }

    /// Requests a second that it accepts when warmed up: the lesser of limit and capacity.
    pub fn rate(&self) -> f64 {
        self.rate_limit.unwrap_or(f64::INFINITY).min(self.capacity())
    }

    /// Share of its capacity (0 to 1) so long after the end of an outage.
    pub fn capacity_share(&self, after: Duration) -> f64 {
        let from = self.initial_capacity_share;
        let part = after.as_secs_f64() / self.warm_up_time.as_secs_f64().max(1e-6);
        (from + (1.0 - from) * part).min(1.0)
    }
}

/// A fault of a partner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Messages take effect, but it never responds.
    Silent,
    /// Messages take effect; this share of the responses breaks off halfway.
    TruncateResponses(f64),
    /// Connections are refused.
    RefuseConnections,
    /// Requests are cut off as they come; nothing takes effect.
    ResetConnections,
    /// Responses come so much later.
    Delay(Duration),
    /// This share of the messages gets an error response at once.
    ErrorResponses(f64),
    /// All requests are rejected, with `Retry-After` until its end where the profile sends it.
    Unavailable,
    /// Service takes so many times as long.
    Slow(f64),
    /// Connections are dropped silently after so long without use: the next request on one is reset.
    DropIdle(Duration),
    /// It responds to so many requests a second, enough for probes; the others take effect without a response.
    RespondAtRate(f64),
}

impl Fault {
    /// The fault of this name in scenario files; `size` is its share, factor, rate or seconds. None if unknown.
    pub fn from_name(kind: &str, size: f64) -> Option<Fault> {
        let span = Duration::from_secs_f64(size.clamp(0.0, 1e6));
        Some(match kind {
            "silent" => Fault::Silent,
            "lose-answers" => Fault::TruncateResponses(size),
            "refuse" => Fault::RefuseConnections,
            "reset" => Fault::ResetConnections,
            "late" => Fault::Delay(span),
            "errors" => Fault::ErrorResponses(size),
            "shut" => Fault::Unavailable,
            "slow" => Fault::Slow(size),
            "reap" => Fault::DropIdle(span),
            "frail" => Fault::RespondAtRate(size),
            _ => return None,
        })
    }

    /// Whether nothing gets through, so that the partner warms up afterwards.
    pub fn is_outage(self) -> bool {
        matches!(
            self,
            Fault::Silent | Fault::RefuseConnections | Fault::ResetConnections | Fault::Unavailable
        )
    }
}

/// How a request is handled.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerDecision {
    /// When the response leaves; none: never.
    pub respond_at: Option<Duration>,
    /// The response.
    pub reply: Reply,
    /// The message takes effect, now or while it is served.
    pub takes_effect: bool,
}

/// A response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reply {
    /// A receipt that says processed.
    Processed,
    /// A receipt that says error.
    Error,
    /// Rejected unexecuted, with `Retry-After` or without.
    Rejected(Option<Duration>),
    /// A receipt that breaks off halfway.
    Truncated,
    /// The connection is reset.
    Reset,
}

/// State of one partner, or of one deduplication group of its endpoints.
pub struct PartnerModel {
    profile: ServerProfile,
    rng: ChaCha8Rng,
    /// When each server is free.
    free: Vec<Duration>,
    /// Ends of accepted requests that are not served yet, in order.
    accepted_until: VecDeque<Duration>,
    tokens: f64,
    filled: Duration,
    /// First acceptance, by message.
    first_seen: HashMap<String, Duration>,
    fault: Option<(Fault, Duration)>,
    /// End of the last outage, while warming up.
    recovering_since: Option<Duration>,
    /// Requests since the outage, within the last collapse window.
    recent_requests: VecDeque<Duration>,
    collapsed: bool,
    /// Last response under [`Fault::RespondAtRate`].
    last_limited_response: Duration,
}

impl PartnerModel {
    /// An idle, warmed-up partner.
    pub fn new(profile: ServerProfile, rng: ChaCha8Rng) -> Self {
        let tokens = profile.rate_limit.unwrap_or(0.0).max(1.0);
        PartnerModel {
            free: vec![Duration::ZERO; profile.servers.max(1)],
            profile,
            rng,
            accepted_until: VecDeque::new(),
            tokens,
            filled: Duration::ZERO,
            first_seen: HashMap::new(),
            fault: None,
            recovering_since: None,
            recent_requests: VecDeque::new(),
            collapsed: false,
            last_limited_response: Duration::ZERO,
        }
    }

    /// Its parameters.
    pub fn profile(&self) -> &ServerProfile {
        &self.profile
    }

    /// The fault in force.
    pub fn fault(&self) -> Option<Fault> {
        self.fault.map(|(fault, _)| fault)
    }

    /// Whether it collapsed under overload while warming up.
    pub fn has_collapsed(&self) -> bool {
        self.collapsed
    }

    /// Begins a fault; `until` is only for `Retry-After`.
    pub fn begin_fault(&mut self, fault: Fault, until: Duration) {
        self.fault = Some((fault, until));
    }

    /// Ends the fault; after an outage the partner warms up.
    pub fn end_fault(&mut self, now: Duration) {
        if self.fault.take().is_some_and(|(fault, _)| fault.is_outage()) {
            self.recovering_since = Some(now);
            self.recent_requests.clear();
            self.free.fill(now);
            self.accepted_until.clear();
        }
    }

    /// Share of its capacity at this moment, from 0 to 1.
    pub fn capacity_share(&self, now: Duration) -> f64 {
        self.recovering_since.map_or(1.0, |since| self.profile.capacity_share(now.saturating_sub(since)))
    }

    /// Remaining share of the limit (0 to 1) and the limit (requests a second), as responses advertise them.
    pub fn rate_limit_state(&self) -> Option<(f64, f64)> {
        self.profile.rate_limit.map(|limit| ((self.tokens / limit.max(1.0)).clamp(0.0, 1.0), limit))
    }

    /// Decides how a whole request is handled.
    pub fn handle_request(&mut self, now: Duration, id: &str) -> ServerDecision {
        let decision = |reply, effect| ServerDecision { respond_at: Some(now), reply, takes_effect: effect };
        self.count_recent_request(now);
        if self.collapsed {
            return decision(Reply::Rejected(None), false);
        }
        let window = self.profile.deduplication_window;
        let is_first = self.first_seen.get(id).is_none_or(|first| now.saturating_sub(*first) >= window);
        let fault = self.fault;
        match fault {
            Some((Fault::Silent, _)) => {
                self.record_first_seen(now, id, is_first);
                return ServerDecision { respond_at: None, reply: Reply::Processed, takes_effect: is_first };
            }
            Some((Fault::Unavailable, until)) => {
                let wait = self.profile.sends_retry_after.then(|| until.saturating_sub(now));
                return decision(Reply::Rejected(wait), false);
            }
            Some((Fault::ResetConnections | Fault::RefuseConnections, _)) => {
                return decision(Reply::Reset, false)
            }
            Some((Fault::RespondAtRate(rate), _)) if !self.take_limited_response(now, rate) => {
                self.record_first_seen(now, id, is_first);
                return ServerDecision { respond_at: None, reply: Reply::Processed, takes_effect: is_first };
            }
            Some((Fault::ErrorResponses(share), _)) if self.rng.random_bool(share.clamp(0.0, 1.0)) => {
                return decision(Reply::Error, false);
            }
            _ => {}
        }
        if let Some(wait) = self.wait_for_token(now) {
            return decision(Reply::Rejected(self.profile.sends_retry_after.then_some(wait)), false);
        }
        while self.accepted_until.front().is_some_and(|end| *end <= now) {
            self.accepted_until.pop_front();
        }
        let room = (self.free.len() as f64 * self.capacity_share(now)).ceil() as usize + self.profile.queue;
        if self.accepted_until.len() >= room {
            return decision(Reply::Rejected(None), false);
        }
        let end = self.serve(now);
        self.record_first_seen(now, id, is_first);
        let (answer_at, reply) = match self.fault {
            Some((Fault::TruncateResponses(share), _)) if self.rng.random_bool(share.clamp(0.0, 1.0)) => {
                (end, Reply::Truncated)
            }
            Some((Fault::Delay(more), _)) => (end + more, Reply::Processed),
            _ => (end, Reply::Processed),
        };
        ServerDecision { respond_at: Some(answer_at), reply, takes_effect: is_first }
    }

    /// Whether one more response is due under [`Fault::RespondAtRate`].
    fn take_limited_response(&mut self, now: Duration, rate: f64) -> bool {
        let passed = now.saturating_sub(self.last_limited_response).as_secs_f64();
        let ready = passed * rate >= 1.0;
        self.last_limited_response = if ready { now } else { self.last_limited_response };
        ready
    }

    fn record_first_seen(&mut self, now: Duration, id: &str, is_first: bool) {
        if is_first {
            self.first_seen.insert(id.to_owned(), now);
        }
    }

    /// Counts a request against the collapse threshold while warming up.
    fn count_recent_request(&mut self, now: Duration) {
        let Some(since) = self.recovering_since else { return };
        if now.saturating_sub(since) > self.profile.warm_up_time {
            self.recovering_since = None;
            return;
        }
        self.recent_requests.push_back(now);
        let fall = self.profile.collapse_window;
        while self.recent_requests.front().is_some_and(|at| now.saturating_sub(*at) > fall) {
            self.recent_requests.pop_front();
        }
        if self.recent_requests.len() as f64 > self.collapse_threshold(now) {
            self.collapsed = true;
        }
    }

    /// Requests within a collapse window that it survives at this moment; four more for randomness.
    pub fn collapse_threshold(&self, now: Duration) -> f64 {
        let profile = &self.profile;
        profile.collapse_multiple
            * profile.rate()
            * self.capacity_share(now)
            * profile.collapse_window.as_secs_f64()
            + 4.0
    }

    /// Takes a token; without one, returns the time until there is one.
    fn wait_for_token(&mut self, now: Duration) -> Option<Duration> {
        let limit = self.profile.rate_limit?;
        let passed = now.saturating_sub(self.filled).as_secs_f64();
        self.tokens = (self.tokens + passed * limit).min(limit.max(1.0));
        self.filled = now;
        if self.tokens < 1.0 {
            return Some(Duration::from_secs_f64((1.0 - self.tokens) / limit));
        }
        self.tokens -= 1.0;
        None
    }

    /// Gives the request to the server that is free first; returns when it is served.
    fn serve(&mut self, now: Duration) -> Duration {
        let (least, more) = (self.profile.min_service_time, self.profile.mean_extra_service_time);
        let drawn: f64 = -(1.0 - self.rng.random::<f64>()).max(1e-9).ln();
        let factor = match self.fault {
            Some((Fault::Slow(times), _)) => times,
            _ => 1.0,
        };
        let time = (least + more.mul_f64(drawn)).mul_f64(factor / self.capacity_share(now).max(0.01));
        let server = (0..self.free.len()).min_by_key(|server| self.free[*server]).unwrap_or(0);
        let end = self.free[server].max(now) + time;
        self.free[server] = end;
        let place = self.accepted_until.partition_point(|other| *other <= end);
        self.accepted_until.insert(place, end);
        end
    }
}
