//! Decides when a connection to an endpoint may carry another request, and which responses count at once.
//!
//! A response names no request. A second copy of a response that arrives while the next request is in flight would be
//! taken for the response to that request. So a connection is not used again until it has been quiet for a while, and a
//! copy that arrives in this time closes it. Where a copy may have come later than that, `response_doubt` decides what a
//! response that looks like one gives its attempt.

use cloverstile::{EndpointId, Time};
#[cfg(feature = "planted-defects")]
use cloverstile_fault_injection::{is_planted, PlantedDefect};
use cloverstile_http::RESPONSE_QUIET_PERIOD;
use std::collections::HashMap;
use std::time::Duration;

/// Longest time without a byte that a connection is kept waiting for.
const MAX_QUIET_PERIOD: Duration = Duration::from_secs(1);
/// The quiet period as a multiple of the longest known time between a response and unsolicited bytes.
const QUIET_PERIOD_MULTIPLE: u32 = 2;
/// How long the time between a response and unsolicited bytes is remembered.
const QUIET_PERIOD_MEMORY: Duration = Duration::from_secs(600);
/// How long an endpoint is distrusted after it sent unsolicited bytes.
const DISTRUST_PERIOD: Duration = Duration::from_secs(60);
/// How long endpoints count as crowded after one of them had no room for a connection.
const CROWDING_MEMORY: Duration = Duration::from_secs(60);
/// Number of response times that must be known before one counts as implausibly short.
const MIN_RESPONSE_TIMES: u32 = 20;
/// A response is implausibly fast if it took less than the shortest time known divided by this.
const IMPLAUSIBLE_TIME_DIVISOR: u32 = 2;
/// Status with which servers announce that they close an idle connection (RFC 9110, section 15.5.9). It is unsolicited,
/// but no sign of an endpoint that repeats responses.
const REQUEST_TIMEOUT_STATUS: u16 = 408;

/// Whether a message may be sent again after an attempt that may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeatability {
    /// It may, within the limits of its class.
    Repeatable,
    /// It must not.
    Unrepeatable,
}

/// Decides when a connection may carry another request, and which responses count at once.
///
/// The quiet period that one endpoint teaches holds for all of them, since endpoints of one kind and the proxies before
/// them behave alike. Distrust is of a single endpoint.
#[derive(Default)]
pub(crate) struct ReusePolicy {
    learned: Option<LearnedQuietPeriod>,
    /// When the distrust of an endpoint ends.
    distrusted: HashMap<EndpointId, Time>,
    response_times: HashMap<EndpointId, ResponseTimes>,
    /// Until when endpoints count as crowded.
    crowded_until: Time,
}

/// A quiet period that follows from unsolicited bytes.
struct LearnedQuietPeriod {
    period: Duration,
    until: Time,
}

/// Times from the last byte of a request to its response with status 200, of responses that count.
#[derive(Clone, Copy)]
struct ResponseTimes {
    count: u32,
    shortest: Duration,
    longest: Duration,
}

impl ReusePolicy {
    /// How long a connection must have been quiet after a response before it carries another request.
    pub fn quiet_period(&self, now: Time) -> Duration {
        #[cfg(feature = "planted-defects")]
        if is_planted(PlantedDefect::ReuseAtOnce) {
            return Duration::ZERO;
        }
        let learned = self.learned.as_ref().filter(|learned| now < learned.until);
        learned.map_or(RESPONSE_QUIET_PERIOD, |learned| learned.period)
    }

    /// Whether a request may use a connection that has carried an earlier one. Unrepeatable messages get new connections
    /// to a distrusted endpoint: what is credited to them by mistake can't be made good.
    pub fn allows_reuse(&self, now: Time, endpoint: EndpointId, repeatability: Repeatability) -> bool {
        repeatability == Repeatability::Repeatable || !self.is_distrusted(now, endpoint)
    }

    /// Whether an endpoint has repeated a response lately.
    pub fn is_distrusted(&self, now: Time, endpoint: EndpointId) -> bool {
        self.distrusted.get(&endpoint).is_some_and(|until| now < *until)
    }

    /// Whether a delivery that took this time came implausibly fast.
    pub fn is_implausibly_fast(&self, endpoint: EndpointId, response_time: Duration) -> bool {
        let times = self.response_times.get(&endpoint);
        times.is_some_and(|times| times.is_implausible(response_time))
    }

    /// How long to wait for what may follow such a response: if it is a copy, the true response follows.
    pub fn confirmation_time(&self, now: Time, endpoint: EndpointId) -> Duration {
        let longest = self.response_times.get(&endpoint).map_or(Duration::ZERO, |times| times.longest);
        longest.min(MAX_QUIET_PERIOD).max(self.quiet_period(now))
    }

    /// Learns from a response that can't be a copy, came at a plausible time, or was confirmed.
    pub fn on_response(&mut self, endpoint: EndpointId, response_time: Duration) {
        let new = ResponseTimes { count: 0, shortest: response_time, longest: response_time };
        let times = self.response_times.entry(endpoint).or_insert(new);
        times.count = times.count.saturating_add(1);
        times.shortest = times.shortest.min(response_time);
        times.longest = times.longest.max(response_time);
    }

    /// Learns from unsolicited bytes that arrived `since_response` after a response, with this status if they begin with
    /// a status line.
    pub fn on_unsolicited(
        &mut self,
        now: Time,
        endpoint: EndpointId,
        since_response: Duration,
        status: Option<u16>,
    ) {
        if status == Some(REQUEST_TIMEOUT_STATUS) {
            return;
        }
        self.distrusted.insert(endpoint, now + DISTRUST_PERIOD);
        let period = since_response.saturating_mul(QUIET_PERIOD_MULTIPLE);
        let period = period.min(MAX_QUIET_PERIOD).max(self.quiet_period(now));
        self.learned = Some(LearnedQuietPeriod { period, until: now + QUIET_PERIOD_MEMORY });
    }

    /// Learns that an endpoint had no room for another connection.
    pub fn on_no_room(&mut self, now: Time) {
        self.crowded_until = now + CROWDING_MEMORY;
    }

    /// Whether a new connection replaces one that can't be used yet. Where endpoints have no room, connections that rest
    /// would take that of others; elsewhere they are worth keeping, as a new one costs time.
    pub fn replaces_resting_connections(&self, now: Time) -> bool {
        now < self.crowded_until
    }

    /// Forgets endpoints that are no longer listed.
    pub fn retain_listed(&mut self, is_listed: impl Fn(EndpointId) -> bool) {
        self.distrusted.retain(|endpoint, _| is_listed(*endpoint));
        self.response_times.retain(|endpoint, _| is_listed(*endpoint));
    }
}

impl ResponseTimes {
    fn is_implausible(&self, response_time: Duration) -> bool {
        self.count >= MIN_RESPONSE_TIMES && response_time < self.shortest / IMPLAUSIBLE_TIME_DIVISOR
    }
}
