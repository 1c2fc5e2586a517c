//! The invariants of delivery, checked on what passed on the sockets.

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

/// By how much every time limit is longer than stated (protocol page).
const LIMIT_SLACK: Duration = Duration::from_millis(50);

/// How many requests a recovering endpoint bears (standing page).
#[derive(Clone, Copy, Debug)]
pub struct SlowStartRule {
    /// Requests a second that a healthy endpoint takes.
    pub capacity: f64,
    /// Share of its capacity that it has at once.
    pub initial_capacity_share: f64,
    /// When it has all of it.
    pub warm_up_time: Duration,
    /// It falls when it gets more than this multiple of its capacity,
    pub overload_multiple: f64,
    /// for this long.
    pub overload_window: Duration,
}

/// What is allowed beside the invariants themselves. The default allows all that depends on time.
#[derive(Clone, Copy, Debug)]
pub struct InvariantRules {
    /// How long after its first request a message with an idempotency key may be sent again.
    pub repeat_window: Duration,
    /// How long after its deadline a message may get its end.
    pub outcome_slack: Duration,
    /// How long after a restarted gateway is ready its messages may still get their ends.
    pub restart_grace: Duration,
    /// Share of its time before which a message that never was sent may not be given up.
    pub min_give_up_share: f64,
    /// How long a key rests behind an attempt that may still run.
    pub settle_time: Duration,
    /// How long after a gateway was told that an endpoint drains it may send there.
    pub drain_grace: Duration,
    /// What recovering endpoints bear; none where they bear everything.
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

/// Which invariant is violated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ViolationKind {
    /// A command was read and had no reply, or an accepted message had its end too late.
    Lost,
    /// A client got bytes that are no reply to its command.
    WrongReply,
    /// A connection that the system had taken was dropped.
    Dropped,
    /// A message whose client was told that it is refused was sent.
    RefusedAndForwarded,
    /// A message was sent after the notification of its end.
    ForwardedAfterEnd,
    /// A message that may have run was sent again, against its class.
    Duplicate,
    /// An accepted message was given up without a request, with most of its time left.
    EarlyGivenUp,
    /// A message was sent before one of its key that was accepted ahead of it was over.
    OrderBroken,
    /// A request was sent inside the wait that an endpoint had asked for.
    RetryAfterBroken,
    /// A request was sent to an endpoint that was known to drain.
    DrainBroken,
    /// A recovering endpoint got more than it bears.
    SlowStartBroken,
    /// An accepted message never had an end.
    NoEnd,
}

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Which.
    pub kind: ViolationKind,
    /// When it was seen; none for what never came.
    pub at: Option<Duration>,
    /// The message.
    pub id: String,
    /// The message of its key that it overtook.
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
            ViolationKind::Lost => write!(formatter, "{id} had no reply, or its end too late"),
            ViolationKind::WrongReply => write!(formatter, "{id} had a reply that is none"),
            ViolationKind::Dropped => write!(formatter, "{id}: its connection was dropped"),
            ViolationKind::RefusedAndForwarded => write!(formatter, "{id} was refused and sent"),
            ViolationKind::ForwardedAfterEnd => write!(formatter, "{id} was sent after its end"),
            ViolationKind::Duplicate => write!(formatter, "{id} was sent again, which may have run"),
            ViolationKind::EarlyGivenUp => write!(formatter, "{id} was given up early, never sent"),
            ViolationKind::OrderBroken => {
                let before = self.overtaken.as_deref().unwrap_or_default();
                write!(formatter, "{id} was sent before {before} of its key was over")
            }
            ViolationKind::RetryAfterBroken => write!(formatter, "{id} was sent inside a Retry-After"),
            ViolationKind::DrainBroken => write!(formatter, "{id} was sent to a draining endpoint"),
            ViolationKind::SlowStartBroken => {
                write!(formatter, "{id} was too much for a recovering endpoint")
            }
            ViolationKind::NoEnd => write!(formatter, "{id} was taken on and is lost"),
        }
    }
}

/// Violations of the delivery rules: each accepted message is delivered or notified of, one without idempotency key is
/// never sent again after it may have run, and messages of a key are sent in the order of their acceptance.
pub fn check_invariants(events: &[TimedEvent]) -> Vec<String> {
    find_violations(events, InvariantRules::default()).iter().map(ToString::to_string).collect()
}

/// All violations of the invariants by these rules, in the order in which they were seen.
pub fn find_violations(events: &[TimedEvent], rules: InvariantRules) -> Vec<Violation> {
    // Threads record beside each other: the order of the times is that on the sockets.
    let mut in_order: Vec<&TimedEvent> = events.iter().collect();
    in_order.sort_by_key(|(at, _)| *at);
    // A request may be seen before its client has read that the message is accepted, or refused.
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
    violations.extend(outcomes.without_end());
    violations
}
