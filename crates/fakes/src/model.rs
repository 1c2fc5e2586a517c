//! Model of a partner's server: capacity, queue, rate limit, deduplication, faults, and the warm-up after an outage.
//!
//! The model does no I/O. The caller passes in the current time and a seeded random number generator, so that runs are
//! reproducible.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Capacity, rate limit and recovery of a partner. Faults are set separately, by [`PartnerModel::begin_fault`].
#[derive(Clone, Debug)]
pub struct ServerProfile {
    /// Number of requests served concurrently, over all endpoints.
    pub servers: usize,
    /// Number of requests that may wait for a free server; further ones are rejected.
    pub queue: usize,
    /// Minimum service time of a request.
    pub min_service_time: Duration,
    /// Mean of the exponentially distributed time that is added to the minimum.
    pub mean_extra_service_time: Duration,
    /// Requests per second accepted from all gateways together. `None`: only the capacity limits them.
    pub rate_limit: Option<f64>,
    /// Whether rejections for the rate limit and for unavailability carry `Retry-After`.
    pub sends_retry_after: bool,
    /// Time after the first request of a message during which repeats of it take no effect.
    pub deduplication_window: Duration,
    /// Share of the capacity (0 to 1) that is available right after an outage.
    pub initial_capacity_share: f64,
    /// Time from the end of an outage until the whole capacity is available again; the share grows linearly.
    pub warm_up_time: Duration,
    /// While warming up, the partner collapses once it receives more than this multiple of its current rate within
    /// `collapse_window`.
    pub collapse_multiple: f64,
    /// Length of the sliding window in which requests are counted for `collapse_multiple`.
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
    /// Requests per second that all servers complete when warmed up.
    pub fn capacity(&self) -> f64 {
        let mean = self.min_service_time + self.mean_extra_service_time;
        self.servers as f64 / mean.as_secs_f64().max(1e-6)
    }

    /// Requests per second sustained when warmed up: the lesser of rate limit and capacity.
    pub fn rate(&self) -> f64 {
        self.rate_limit.unwrap_or(f64::INFINITY).min(self.capacity())
    }

    /// Share of the capacity (0 to 1) at a time `after` the end of an outage.
    pub fn capacity_share(&self, after: Duration) -> f64 {
        let initial = self.initial_capacity_share;
        let progress = after.as_secs_f64() / self.warm_up_time.as_secs_f64().max(1e-6);
        (initial + (1.0 - initial) * progress).min(1.0)
    }
}

/// A fault injected into a partner; at most one is in force at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Messages take effect, but the partner never responds.
    Silent,
    /// Messages take effect, but this share of the responses (0 to 1) is cut off halfway.
    TruncateResponses(f64),
    /// The listening sockets are closed, so that new connections are refused.
    RefuseConnections,
    /// Connections are reset when a request arrives; nothing takes effect.
    ResetConnections,
    /// Each response is sent this much later.
    Delay(Duration),
    /// This share of the messages (0 to 1) gets an error receipt at once and takes no effect.
    ErrorResponses(f64),
    /// All requests are rejected. Where the profile sends `Retry-After`, it names the time until the fault ends.
    Unavailable,
    /// Service times are multiplied by this factor.
    Slow(f64),
    /// A connection that was idle for longer than this is reset by the next request on it, as if it had been
    /// dropped silently before.
    DropIdle(Duration),
    /// At most this many requests per second are responded to, which is enough for probes. The others take effect
    /// without a response.
    RespondAtRate(f64),
}

impl Fault {
    /// The fault with this name in scenario files, or `None` if the name is unknown.
    ///
    /// `size` is the fault's parameter: a share, a factor, a rate in requests per second, or seconds.
    pub fn from_name(kind: &str, size: f64) -> Option<Fault> {
        let duration = Duration::from_secs_f64(size.clamp(0.0, 1e6));
        Some(match kind {
            "silent" => Fault::Silent,
            "lose-answers" => Fault::TruncateResponses(size),
            "refuse" => Fault::RefuseConnections,
            "reset" => Fault::ResetConnections,
            "late" => Fault::Delay(duration),
            "errors" => Fault::ErrorResponses(size),
            "shut" => Fault::Unavailable,
            "slow" => Fault::Slow(size),
            "reap" => Fault::DropIdle(duration),
            "frail" => Fault::RespondAtRate(size),
            _ => return None,
        })
    }

    /// Whether the fault affects all requests, so that the partner has to warm up afterwards.
    pub fn is_outage(self) -> bool {
        matches!(
            self,
            Fault::Silent | Fault::RefuseConnections | Fault::ResetConnections | Fault::Unavailable
        )
    }
}

/// What the partner does with a request.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerDecision {
    /// When the response is sent; `None` if there is none.
    pub respond_at: Option<Duration>,
    /// Content of the response; without meaning if `respond_at` is `None`.
    pub reply: Reply,
    /// Whether the message takes effect; false for rejected requests and for repeats.
    pub takes_effect: bool,
}

/// The response to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reply {
    /// A receipt with the disposition "processed".
    Processed,
    /// A receipt with an error disposition.
    Error,
    /// The request is rejected without any effect; the duration is the `Retry-After`, if it is sent.
    Rejected(Option<Duration>),
    /// A "processed" receipt that is cut off halfway.
    Truncated,
    /// The connection is reset.
    Reset,
}

/// State of a partner, or of one deduplication group of its endpoints.
pub struct PartnerModel {
    profile: ServerProfile,
    rng: ChaCha8Rng,
    /// When each server becomes free.
    server_free_at: Vec<Duration>,
    /// Completion times of the accepted requests, in ascending order; past ones are removed lazily.
    completion_times: VecDeque<Duration>,
    /// Tokens left of the rate limit's token bucket.
    tokens: f64,
    /// When the token bucket was last refilled.
    refilled_at: Duration,
    /// Start of the current deduplication window, by message id.
    first_seen: HashMap<String, Duration>,
    /// The fault in force and when it will end.
    fault: Option<(Fault, Duration)>,
    /// End of the last outage; `None` when warmed up.
    recovering_since: Option<Duration>,
    /// Arrival times of the requests since the outage that lie within the collapse window.
    recent_requests: VecDeque<Duration>,
    /// Set by overload during the warm-up; from then on all requests are rejected.
    collapsed: bool,
    /// Time of the last response under [`Fault::RespondAtRate`].
    last_limited_response: Duration,
}

impl PartnerModel {
    /// Creates an idle, warmed-up partner without a fault.
    pub fn new(profile: ServerProfile, rng: ChaCha8Rng) -> Self {
        let tokens = profile.rate_limit.unwrap_or(0.0).max(1.0);
        PartnerModel {
            server_free_at: vec![Duration::ZERO; profile.servers.max(1)],
            profile,
            rng,
            completion_times: VecDeque::new(),
            tokens,
            refilled_at: Duration::ZERO,
            first_seen: HashMap::new(),
            fault: None,
            recovering_since: None,
            recent_requests: VecDeque::new(),
            collapsed: false,
            last_limited_response: Duration::ZERO,
        }
    }

    /// The parameters that the partner was created with.
    pub fn profile(&self) -> &ServerProfile {
        &self.profile
    }

    /// The fault in force, if any.
    pub fn fault(&self) -> Option<Fault> {
        self.fault.map(|(fault, _)| fault)
    }

    /// Whether the partner collapsed under overload while warming up. It does not recover from that.
    pub fn has_collapsed(&self) -> bool {
        self.collapsed
    }

    /// Begins a fault, in place of any earlier one. `until` only determines `Retry-After`: the fault lasts until
    /// [`Self::end_fault`].
    pub fn begin_fault(&mut self, fault: Fault, until: Duration) {
        self.fault = Some((fault, until));
    }

    /// Ends the fault. After an outage the partner starts to warm up, with idle servers and an empty queue.
    pub fn end_fault(&mut self, now: Duration) {
        if self.fault.take().is_some_and(|(fault, _)| fault.is_outage()) {
            self.recovering_since = Some(now);
            self.recent_requests.clear();
            self.server_free_at.fill(now);
            self.completion_times.clear();
        }
    }

    /// Share of the capacity that is available at this time, from 0 to 1.
    pub fn capacity_share(&self, now: Duration) -> f64 {
        self.recovering_since.map_or(1.0, |since| self.profile.capacity_share(now.saturating_sub(since)))
    }

    /// Remaining share of the rate limit (0 to 1) and the rate limit (requests per second), as responses advertise
    /// them; `None` without a rate limit.
    pub fn rate_limit_state(&self) -> Option<(f64, f64)> {
        self.profile.rate_limit.map(|limit| ((self.tokens / limit.max(1.0)).clamp(0.0, 1.0), limit))
    }

    /// Decides what to do with a request that was received completely; `id` identifies its message for deduplication.
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
        if let Some(wait) = self.take_token(now) {
            return decision(Reply::Rejected(self.profile.sends_retry_after.then_some(wait)), false);
        }
        while self.completion_times.front().is_some_and(|end| *end <= now) {
            self.completion_times.pop_front();
        }
        let max_pending = (self.server_free_at.len() as f64 * self.capacity_share(now)).ceil() as usize
            + self.profile.queue;
        if self.completion_times.len() >= max_pending {
            return decision(Reply::Rejected(None), false);
        }
        let end = self.serve(now);
        self.record_first_seen(now, id, is_first);
        let (respond_at, reply) = match self.fault {
            Some((Fault::TruncateResponses(share), _)) if self.rng.random_bool(share.clamp(0.0, 1.0)) => {
                (end, Reply::Truncated)
            }
            Some((Fault::Delay(more), _)) => (end + more, Reply::Processed),
            _ => (end, Reply::Processed),
        };
        ServerDecision { respond_at: Some(respond_at), reply, takes_effect: is_first }
    }

    /// Whether one more response is allowed under [`Fault::RespondAtRate`]; if so, counts it.
    fn take_limited_response(&mut self, now: Duration, rate: f64) -> bool {
        let passed = now.saturating_sub(self.last_limited_response).as_secs_f64();
        let is_allowed = passed * rate >= 1.0;
        self.last_limited_response = if is_allowed { now } else { self.last_limited_response };
        is_allowed
    }

    fn record_first_seen(&mut self, now: Duration, id: &str, is_first: bool) {
        if is_first {
            self.first_seen.insert(id.to_owned(), now);
        }
    }

    /// While warming up, counts a request and collapses above [`Self::collapse_threshold`]. Ends the warm-up when its
    /// time has passed.
    fn count_recent_request(&mut self, now: Duration) {
        let Some(since) = self.recovering_since else { return };
        if now.saturating_sub(since) > self.profile.warm_up_time {
            self.recovering_since = None;
            return;
        }
        self.recent_requests.push_back(now);
        let window = self.profile.collapse_window;
        while self.recent_requests.front().is_some_and(|at| now.saturating_sub(*at) > window) {
            self.recent_requests.pop_front();
        }
        if self.recent_requests.len() as f64 > self.collapse_threshold(now) {
            self.collapsed = true;
        }
    }

    /// Number of requests within a collapse window that the partner survives at this time. Four more than the mean are
    /// allowed, since random arrivals exceed their mean by chance.
    pub fn collapse_threshold(&self, now: Duration) -> f64 {
        let profile = &self.profile;
        profile.collapse_multiple
            * profile.rate()
            * self.capacity_share(now)
            * profile.collapse_window.as_secs_f64()
            + 4.0
    }

    /// Takes a token of the rate limit. If there is none, returns the time until the next one.
    fn take_token(&mut self, now: Duration) -> Option<Duration> {
        let limit = self.profile.rate_limit?;
        let passed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + passed * limit).min(limit.max(1.0));
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return Some(Duration::from_secs_f64((1.0 - self.tokens) / limit));
        }
        self.tokens -= 1.0;
        None
    }

    /// Assigns the request to the server that becomes free first, and returns when its service ends.
    fn serve(&mut self, now: Duration) -> Duration {
        let (min_time, mean_extra_time) =
            (self.profile.min_service_time, self.profile.mean_extra_service_time);
        let exponential: f64 = -(1.0 - self.rng.random::<f64>()).max(1e-9).ln();
        let factor = match self.fault {
            Some((Fault::Slow(factor), _)) => factor,
            _ => 1.0,
        };
        let time = (min_time + mean_extra_time.mul_f64(exponential))
            .mul_f64(factor / self.capacity_share(now).max(0.01));
        let server =
            (0..self.server_free_at.len()).min_by_key(|server| self.server_free_at[*server]).unwrap_or(0);
        let end = self.server_free_at[server].max(now) + time;
        self.server_free_at[server] = end;
        let position = self.completion_times.partition_point(|other| *other <= end);
        self.completion_times.insert(position, end);
        end
    }
}
