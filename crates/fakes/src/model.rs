//! How a partner behaves: capacity, queue, limit, repeats, outages and the cold time after them. No I/O; time
//! is an argument, chance comes from a seed.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// What a partner is like on an ordinary day.
#[derive(Clone, Debug)]
pub struct ServerProfile {
    /// Calls that it serves at once, over all its endpoints.
    pub servers: usize,
    /// Calls that may wait for one.
    pub queue: usize,
    /// Least time of a call, and the mean of what chance adds.
    pub service: (Duration, Duration),
    /// Calls a second that it takes from all couriers together; none: its capacity is the only limit.
    pub limit: Option<f64>,
    /// Refusals say how long to wait.
    pub sends_retry_after: bool,
    /// How long a repeat of a message is dropped.
    pub repeat_window: Duration,
    /// After an outage: share of its capacity at first, and how long until it is warm.
    pub cold: (f64, Duration),
    /// Sent more than this multiple of its present capacity ...
    pub collapse_multiple: f64,
    /// ... over this time while it is cold, it falls over.
    pub collapse_window: Duration,
}

impl Default for ServerProfile {
    fn default() -> Self {
        ServerProfile {
            servers: 8,
            queue: 16,
            service: (Duration::from_millis(10), Duration::from_millis(20)),
            limit: None,
            sends_retry_after: false,
            repeat_window: Duration::from_secs(10),
            cold: (0.2, Duration::from_secs(4)),
            collapse_multiple: 2.0,
            collapse_window: Duration::from_secs(1),
        }
    }
}

impl ServerProfile {
    /// Calls a second that it can serve when warm.
    pub fn capacity(&self) -> f64 {
        self.servers as f64 / (self.service.0 + self.service.1).as_secs_f64().max(1e-6)
    }

    /// Calls a second that it takes when warm: its limit, where that is less than its capacity.
    pub fn rate(&self) -> f64 {
        self.limit.unwrap_or(f64::INFINITY).min(self.capacity())
    }

    /// Share of its capacity that it has so long after the end of an outage.
    pub fn capacity_share(&self, after: Duration) -> f64 {
        let (from, whole) = self.cold;
        let part = after.as_secs_f64() / whole.as_secs_f64().max(1e-6);
        (from + (1.0 - from) * part).min(1.0)
    }
}

/// What goes wrong at a partner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// It takes messages, they take effect, and it never answers.
    Silent,
    /// Messages take effect; this share of the answers breaks off halfway.
    TruncateResponses(f64),
    /// Connections are refused.
    RefuseConnections,
    /// Requests are cut off as they come; nothing takes effect.
    ResetConnections,
    /// Answers come so much later.
    Delay(Duration),
    /// This share of the messages is answered by an error at once.
    ErrorResponses(f64),
    /// All are turned away, with a wait to the end of it where waits are told.
    Unavailable,
    /// Everything takes so many times as long.
    Slow(f64),
    /// Connections are dropped unseen after so long without use: the next request on one is cut off.
    DropIdle(Duration),
    /// It answers so many requests a second, as trial calls are; what comes beyond is taken and never answered.
    RespondAtRate(f64),
}

impl Fault {
    /// The fault that scripts call so; `size` is its share, factor, rate or seconds.
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

    /// Whether nothing gets through, so that the partner comes back cold.
    pub fn is_outage(self) -> bool {
        matches!(
            self,
            Fault::Silent | Fault::RefuseConnections | Fault::ResetConnections | Fault::Unavailable
        )
    }
}

/// What is done with a request.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerDecision {
    /// When the answer leaves; none: never.
    pub respond_at: Option<Duration>,
    /// What it says.
    pub reply: Reply,
    /// It takes effect, now or while it is served.
    pub takes_effect: bool,
}

/// An answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reply {
    /// A receipt: processed.
    Processed,
    /// A receipt: an error.
    Error,
    /// Turned away, told to wait, or not.
    Rejected(Option<Duration>),
    /// A receipt that breaks off halfway.
    Truncated,
    /// The connection is reset.
    Reset,
}

/// One partner, all its endpoints together.
pub struct PartnerModel {
    nature: ServerProfile,
    rng: ChaCha8Rng,
    /// When each server is free.
    free: Vec<Duration>,
    /// Ends of calls taken and not served yet.
    taken: VecDeque<Duration>,
    tokens: f64,
    filled: Duration,
    /// First taken when, by message.
    known: HashMap<String, Duration>,
    fault: Option<(Fault, Duration)>,
    returned: Option<Duration>,
    /// Requests since the return, within the last fall time.
    since_return: VecDeque<Duration>,
    fallen: bool,
    /// When a frail partner last answered.
    spared: Duration,
}

impl PartnerModel {
    /// A warm partner with nothing to do.
    pub fn new(nature: ServerProfile, rng: ChaCha8Rng) -> Self {
        let tokens = nature.limit.unwrap_or(0.0).max(1.0);
        PartnerModel {
            free: vec![Duration::ZERO; nature.servers.max(1)],
            nature,
            rng,
            taken: VecDeque::new(),
            tokens,
            filled: Duration::ZERO,
            known: HashMap::new(),
            fault: None,
            returned: None,
            since_return: VecDeque::new(),
            fallen: false,
            spared: Duration::ZERO,
        }
    }

    /// What it is like.
    pub fn profile(&self) -> &ServerProfile {
        &self.nature
    }

    /// The fault in force.
    pub fn fault(&self) -> Option<Fault> {
        self.fault.map(|(fault, _)| fault)
    }

    /// Whether it was pushed over.
    pub fn has_collapsed(&self) -> bool {
        self.fallen
    }

    /// A fault begins, to end at a time known to it alone.
    pub fn begin_fault(&mut self, fault: Fault, until: Duration) {
        self.fault = Some((fault, until));
    }

    /// The fault ends; after an outage it is cold.
    pub fn end_fault(&mut self, now: Duration) {
        if self.fault.take().is_some_and(|(fault, _)| fault.is_outage()) {
            self.returned = Some(now);
            self.since_return.clear();
            self.free.fill(now);
            self.taken.clear();
        }
    }

    /// Share of its capacity that it has just now.
    pub fn capacity_share(&self, now: Duration) -> f64 {
        self.returned.map_or(1.0, |since| self.nature.capacity_share(now.saturating_sub(since)))
    }

    /// Share of the limit that is left and the limit, as the answers tell them.
    pub fn allowance(&self) -> Option<(f64, f64)> {
        self.nature.limit.map(|limit| ((self.tokens / limit.max(1.0)).clamp(0.0, 1.0), limit))
    }

    /// A request has come whole.
    pub fn handle_request(&mut self, now: Duration, id: &str) -> ServerDecision {
        let verdict = |reply, effect| ServerDecision { respond_at: Some(now), reply, takes_effect: effect };
        self.weigh(now);
        if self.fallen {
            return verdict(Reply::Rejected(None), false);
        }
        let window = self.nature.repeat_window;
        let fresh = self.known.get(id).is_none_or(|first| now.saturating_sub(*first) >= window);
        let fault = self.fault;
        match fault {
            Some((Fault::Silent, _)) => {
                self.note_known(now, id, fresh);
                return ServerDecision { respond_at: None, reply: Reply::Processed, takes_effect: fresh };
            }
            Some((Fault::Unavailable, until)) => {
                let wait = self.nature.sends_retry_after.then(|| until.saturating_sub(now));
                return verdict(Reply::Rejected(wait), false);
            }
            Some((Fault::ResetConnections | Fault::RefuseConnections, _)) => {
                return verdict(Reply::Reset, false)
            }
            Some((Fault::RespondAtRate(rate), _)) if !self.spare(now, rate) => {
                self.note_known(now, id, fresh);
                return ServerDecision { respond_at: None, reply: Reply::Processed, takes_effect: fresh };
            }
            Some((Fault::ErrorResponses(share), _)) if self.rng.random_bool(share.clamp(0.0, 1.0)) => {
                return verdict(Reply::Error, false);
            }
            _ => {}
        }
        if let Some(wait) = self.over_limit(now) {
            return verdict(Reply::Rejected(self.nature.sends_retry_after.then_some(wait)), false);
        }
        while self.taken.front().is_some_and(|end| *end <= now) {
            self.taken.pop_front();
        }
        let room = (self.free.len() as f64 * self.capacity_share(now)).ceil() as usize + self.nature.queue;
        if self.taken.len() >= room {
            return verdict(Reply::Rejected(None), false);
        }
        let end = self.serve(now);
        self.note_known(now, id, fresh);
        let (answer_at, reply) = match self.fault {
            Some((Fault::TruncateResponses(share), _)) if self.rng.random_bool(share.clamp(0.0, 1.0)) => {
                (end, Reply::Truncated)
            }
            Some((Fault::Delay(more), _)) => (end + more, Reply::Processed),
            _ => (end, Reply::Processed),
        };
        ServerDecision { respond_at: Some(answer_at), reply, takes_effect: fresh }
    }

    /// Whether a frail partner, that answers so many requests a second, answers one more.
    fn spare(&mut self, now: Duration, rate: f64) -> bool {
        let passed = now.saturating_sub(self.spared).as_secs_f64();
        let ready = passed * rate >= 1.0;
        self.spared = if ready { now } else { self.spared };
        ready
    }

    fn note_known(&mut self, now: Duration, id: &str, fresh: bool) {
        if fresh {
            self.known.insert(id.to_owned(), now);
        }
    }

    /// Counts a request against what a cold partner survives.
    fn weigh(&mut self, now: Duration) {
        let Some(since) = self.returned else { return };
        if now.saturating_sub(since) > self.nature.cold.1 {
            self.returned = None;
            return;
        }
        self.since_return.push_back(now);
        let fall = self.nature.collapse_window;
        while self.since_return.front().is_some_and(|at| now.saturating_sub(*at) > fall) {
            self.since_return.pop_front();
        }
        if self.since_return.len() as f64 > self.collapse_threshold(now) {
            self.fallen = true;
        }
    }

    /// Requests over a fall time that it survives at this moment; four more for chance.
    pub fn collapse_threshold(&self, now: Duration) -> f64 {
        let nature = &self.nature;
        nature.collapse_multiple
            * nature.rate()
            * self.capacity_share(now)
            * nature.collapse_window.as_secs_f64()
            + 4.0
    }

    /// Takes a token; without one, tells when there will be.
    fn over_limit(&mut self, now: Duration) -> Option<Duration> {
        let limit = self.nature.limit?;
        let passed = now.saturating_sub(self.filled).as_secs_f64();
        self.tokens = (self.tokens + passed * limit).min(limit.max(1.0));
        self.filled = now;
        if self.tokens < 1.0 {
            return Some(Duration::from_secs_f64((1.0 - self.tokens) / limit));
        }
        self.tokens -= 1.0;
        None
    }

    /// Gives the call to the server that is free first; returns when it is served.
    fn serve(&mut self, now: Duration) -> Duration {
        let (least, more) = self.nature.service;
        let drawn: f64 = -(1.0 - self.rng.random::<f64>()).max(1e-9).ln();
        let factor = match self.fault {
            Some((Fault::Slow(times), _)) => times,
            _ => 1.0,
        };
        let time = (least + more.mul_f64(drawn)).mul_f64(factor / self.capacity_share(now).max(0.01));
        let server = (0..self.free.len()).min_by_key(|server| self.free[*server]).unwrap_or(0);
        let end = self.free[server].max(now) + time;
        self.free[server] = end;
        let place = self.taken.partition_point(|other| *other <= end);
        self.taken.insert(place, end);
        end
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;

    fn partner(nature: ServerProfile) -> PartnerModel {
        PartnerModel::new(nature, ChaCha8Rng::seed_from_u64(1))
    }

    fn s(seconds: f64) -> Duration {
        Duration::from_secs_f64(seconds)
    }

    #[test]
    fn a_repeat_takes_effect_again_only_after_the_window() {
        let mut partner = partner(ServerProfile::default());
        assert!(partner.handle_request(s(0.0), "a").takes_effect);
        assert!(!partner.handle_request(s(9.9), "a").takes_effect);
        assert!(partner.handle_request(s(10.0), "a").takes_effect);
    }

    #[test]
    fn what_is_over_the_limit_or_the_queue_is_turned_away() {
        let mut limited =
            partner(ServerProfile { limit: Some(2.0), sends_retry_after: true, ..ServerProfile::default() });
        let replies: Vec<Reply> =
            (0..3).map(|i| limited.handle_request(s(0.0), &i.to_string()).reply).collect();
        assert_eq!(replies, [Reply::Processed, Reply::Processed, Reply::Rejected(Some(s(0.5)))]);
        let mut small = partner(ServerProfile { servers: 1, queue: 1, ..ServerProfile::default() });
        let replies: Vec<Reply> =
            (0..3).map(|i| small.handle_request(s(0.0), &i.to_string()).reply).collect();
        assert_eq!(replies, [Reply::Processed, Reply::Processed, Reply::Rejected(None)]);
    }

    #[test]
    fn a_cold_partner_that_is_pushed_falls_over_and_stays_down() {
        let nature = ServerProfile { servers: 3, service: (s(0.1), s(0.0)), ..ServerProfile::default() };
        let mut pushed = partner(nature.clone());
        pushed.begin_fault(Fault::Unavailable, s(1.0));
        pushed.end_fault(s(1.0));
        for i in 0..100 {
            pushed.handle_request(s(1.0 + f64::from(i) / 1000.0), &i.to_string());
        }
        assert!(pushed.has_collapsed());
        let mut gentle = partner(nature);
        gentle.begin_fault(Fault::Unavailable, s(1.0));
        gentle.end_fault(s(1.0));
        for i in 0..30 {
            gentle.handle_request(s(1.0 + f64::from(i) / 6.0), &i.to_string());
        }
        assert!(!gentle.has_collapsed());
    }

    #[test]
    fn silent_partners_let_messages_take_effect_and_shut_ones_do_not() {
        let mut partner = partner(ServerProfile::default());
        partner.begin_fault(Fault::Silent, s(5.0));
        let verdict = partner.handle_request(s(1.0), "a");
        assert_eq!((verdict.respond_at, verdict.takes_effect), (None, true));
        partner.begin_fault(Fault::Unavailable, s(5.0));
        assert!(!partner.handle_request(s(2.0), "b").takes_effect);
    }
}
