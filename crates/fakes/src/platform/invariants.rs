//! Checks of the delivery invariants against the recorded events.

mod endpoint_limits;
mod facts;
mod key_order;
mod outcomes;

use super::events::{PlatformEvent, TimedEvent};
use endpoint_limits::EndpointLimits;
use facts::Facts;
use key_order::KeyOrder;
use outcomes::Outcomes;
use std::fmt;
use std::time::Duration;

/// Tolerance that the protocol adds to every time limit.
const LIMIT_SLACK: Duration = Duration::from_millis(50);

/// How many requests an endpoint can take while it recovers from an outage. Its capacity grows linearly during the
/// warm-up.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartRule {
    /// Requests per second that a healthy endpoint can take.
    pub capacity: f64,
    /// Share of the capacity that is available right after the outage.
    pub initial_capacity_share: f64,
    /// Time after the outage at which the whole capacity is available.
    pub warm_up_time: Duration,
    /// Multiple of the current capacity above which an endpoint is overloaded.
    pub overload_multiple: f64,
    /// Time over which the requests are counted for that.
    pub overload_window: Duration,
}

/// Time limits and tolerances of the invariants. The default sets no time limits.
#[derive(Clone, Copy, Debug)]
pub struct InvariantRules {
    /// How long after its first request a message with an idempotency key may be sent again.
    pub repeat_window: Duration,
    /// How long after its deadline a message may get its final outcome.
    pub outcome_slack: Duration,
    /// How long after a restarted gateway is ready its overdue messages may still get their final outcomes.
    pub restart_grace: Duration,
    /// Share of the time until its deadline that must have passed before a message that was never sent may be given up.
    pub min_give_up_share: f64,
    /// How long no other message of an order key may be sent after an attempt that may still be running.
    pub settle_time: Duration,
    /// How long a gateway may still send to an endpoint after it received a list in which the endpoint drains.
    pub drain_grace: Duration,
    /// Limit of the load on recovering endpoints; none for no limit.
    pub slow_start: Option<SlowStartRule>,
}

impl Default for InvariantRules {
    fn default() -> Self {
        InvariantRules {
            repeat_window: Duration::MAX,
            outcome_slack: Duration::MAX,
            restart_grace: Duration::MAX,
            min_give_up_share: 0.0,
            settle_time: Duration::ZERO,
            drain_grace: Duration::MAX,
            slow_start: None,
        }
    }
}

/// Kind of a violated invariant. Reports print its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ViolationKind {
    /// A command was read but not replied to, or an accepted message got its final outcome too late.
    Lost,
    /// A client read bytes that are not a valid reply to its command.
    WrongReply,
    /// A connection that the gateway, or the operating system for it, had accepted was dropped.
    Dropped,
    /// A message was sent although its client had been told that it is not accepted.
    RefusedAndForwarded,
    /// A message was sent after the notification of its final outcome, or after a response that ended it or its attempts.
    ForwardedAfterEnd,
    /// An unrepeatable message was reported as undeliverable although its response with status 200 had been read.
    DeliveredAndFailed,
    /// A message that may have been processed was sent again, which its class forbids.
    Duplicate,
    /// An accepted message was given up without a request too long before its deadline.
    EarlyGivenUp,
    /// A message was sent before an earlier message of its order key was settled.
    OrderBroken,
    /// A request was sent before the end of a `Retry-After` that its endpoint had sent.
    RetryAfterBroken,
    /// A request was sent to an endpoint that the gateway knew to be draining.
    DrainBroken,
    /// Gateways that knew of an outage overloaded the recovering endpoint.
    SlowStartBroken,
    /// An accepted message never got a final outcome.
    NoEnd,
}

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which invariant is violated.
    pub kind: ViolationKind,
    /// Time of the event that shows the violation; none if an event is missing.
    pub at: Option<Duration>,
    /// Id of the message.
    pub id: String,
    /// Id of the message of the same order key that it overtook, if the order is violated.
    pub overtaken: Option<String>,
}

impl Violation {
    fn new(kind: ViolationKind, at: Duration, id: &str) -> Self {
        Violation { kind, at: Some(at), id: id.to_owned(), overtaken: None }
    }
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let id = &self.id;
        if let Some(at) = self.at {
            write!(formatter, "{at:?}: ")?;
        }
        match self.kind {
            ViolationKind::Lost => write!(formatter, "{id} had no reply, or its final outcome too late"),
            ViolationKind::WrongReply => write!(formatter, "{id} had an invalid reply"),
            ViolationKind::Dropped => write!(formatter, "{id}: its connection was dropped"),
            ViolationKind::RefusedAndForwarded => write!(formatter, "{id} was refused, but sent"),
            ViolationKind::ForwardedAfterEnd => write!(formatter, "{id} was sent after its final outcome"),
            ViolationKind::DeliveredAndFailed => {
                write!(formatter, "{id} was reported as undeliverable long after its delivery")
            }
            ViolationKind::Duplicate => write!(formatter, "{id} was sent again, but may have been processed"),
            ViolationKind::EarlyGivenUp => write!(formatter, "{id} was given up early without a request"),
            ViolationKind::OrderBroken => {
                let earlier = self.overtaken.as_deref().unwrap_or_default();
                write!(formatter, "{id} was sent before {earlier} of its order key was settled")
            }
            ViolationKind::RetryAfterBroken => {
                write!(formatter, "{id} was sent before the end of a Retry-After")
            }
            ViolationKind::DrainBroken => write!(formatter, "{id} was sent to a draining endpoint"),
            ViolationKind::SlowStartBroken => {
                write!(formatter, "{id} overloaded a recovering endpoint")
            }
            ViolationKind::NoEnd => write!(formatter, "{id} was accepted, but had no final outcome"),
        }
    }
}

/// Describes the violations of the invariants under the default rules. Among others, each accepted message is delivered
/// or notified of, a message without an idempotency key is never sent again once it may have been processed, and
/// messages of an order key are sent in the order in which they were accepted.
pub fn check_invariants(events: &[TimedEvent]) -> Vec<String> {
    find_violations(events, InvariantRules::default()).iter().map(ToString::to_string).collect()
}

/// All violations of the invariants under these rules, in the order of the events that show them.
pub fn find_violations(events: &[TimedEvent], rules: InvariantRules) -> Vec<Violation> {
    // Threads record events concurrently; the order of the event times is the order on the sockets.
    let mut in_order: Vec<&TimedEvent> = events.iter().collect();
    in_order.sort_by_key(|(at, _)| *at);
    // Collected first, because a request can be received before its client has read whether the message is accepted.
    let facts = Facts::collect(&in_order, rules.restart_grace);
    let mut outcomes = Outcomes::new(&facts, rules);
    let mut key_order = KeyOrder::new(&facts, rules.settle_time);
    let mut endpoint_limits = EndpointLimits::new(&facts, rules);
    let mut violations = Vec::new();
    for (at, event) in in_order {
        if let PlatformEvent::WrongReply { id, .. } = event {
            violations.push(Violation::new(ViolationKind::WrongReply, *at, id));
        }
        violations.extend(outcomes.on_event(*at, event));
        violations.extend(key_order.on_event(*at, event));
        violations.extend(endpoint_limits.on_event(*at, event));
    }
    violations.extend(outcomes.without_outcome());
    violations
}
