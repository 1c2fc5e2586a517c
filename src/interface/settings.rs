//! Settings of the delivery policy.

use super::ids::ZoneId;
use std::time::Duration;

/// What it does when a message that may have taken effect is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeats are harmless.
    Safe,
    /// Repeats under the same idempotency key are dropped, inside a group of endpoints and for a time.
    Keyed,
    /// A repeat takes effect again: such a message is never sent again once it may have run.
    Unsafe,
}

/// Which endpoints of a destination drop repeats of one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All of them.
    All,
    /// Those of the zone that the first attempt was sent to.
    Zone,
}

/// A class of message.
#[derive(Clone, Debug)]
pub struct Class {
    /// A message delivered within this time after its submission has its full value.
    pub latency_objective: Duration,
    /// A message may be delivered until this time after its submission.
    pub deadline: Duration,
    /// What a repeat does.
    pub effect: Effect,
    /// Keyed classes: the endpoints that drop repeats.
    pub group: Group,
    /// Keyed classes: repeats are dropped until this long after the first attempt that may have run was sent.
    pub retry_window: Duration,
    /// Messages with the same order key are delivered one at a time, in the order submitted.
    pub ordered: bool,
    /// Value of a message delivered on time, relative to other classes.
    pub priority_weight: f64,
    /// Part of the value that is left at the deadline, from 0 to 1.
    pub late_value_ratio: f64,
}

impl Default for Class {
    fn default() -> Self {
        Class {
            latency_objective: Duration::from_secs(3),
            deadline: Duration::from_secs(20),
            effect: Effect::Keyed,
            group: Group::All,
            retry_window: Duration::from_secs(10),
            ordered: false,
            priority_weight: 1.0,
            late_value_ratio: 0.5,
        }
    }
}

/// A client with a quota of the service.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Messages a second over all gateway instances; messages beyond have a lower value.
    pub quota: f64,
}

/// A kind of destination.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Most messages that one request may carry.
    pub max_batch: usize,
    /// Rate limits and outages are those of an endpoint, not of its whole destination.
    pub per_endpoint_limits: bool,
}

/// Meaning of the weights in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightSource {
    /// None.
    Ignored,
    /// The limit of the destination: requests a second from all gateway instances together.
    Nominal,
    /// The same, up to half too high or too low.
    Approximate,
}

/// How updates of the endpoint list are received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Without a subscription.
    Push,
    /// Only by subscribers ([`crate::Action::SubscribeEndpoints`], [`crate::Action::RefreshEndpoints`]).
    Subscribe,
}

/// How the value of a message decays after its latency objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decay {
    /// Linearly, down to [`Class::late_value_ratio`] at the deadline.
    Linear,
    /// By half with each further latency objective, but not below [`Class::late_value_ratio`].
    Halving,
}

/// Guarantees and limits of the environment.
#[derive(Clone, Debug)]
pub struct Rules {
    /// A final answer is accepted until this long after the deadline.
    pub outcome_grace: Duration,
    /// Part of its capacity that a destination has at least right after an outage, from 0 to 1.
    pub warm_up_capacity: f64,
    /// It is warmed up after this time at the latest.
    pub warm_up_time: Duration,
    /// A destination that is warming up collapses when it is sent this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for this long.
    pub overload_window: Duration,
    /// Cooldown of an order key after an attempt that may still be running.
    pub key_cooldown: Duration,
    /// With [`Discovery::Subscribe`]: an instance not subscribed for this long counts as informed of the list.
    pub discovery_interval: Duration,
}

/// Settings of a gateway instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Gateway instances that share the destinations, this one included.
    pub instance_count: u32,
    /// The zone of this instance.
    pub zone: ZoneId,
    /// Classes of message.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Kinds of destination.
    pub kinds: Vec<Kind>,
    /// Meaning of the weights in the endpoint list.
    pub weights: WeightSource,
    /// How updates of the endpoint list are received.
    pub discovery: Discovery,
    /// How the value of a message decays.
    pub decay: Decay,
    /// Clients mark resubmitted messages.
    pub clients_mark_resubmissions: bool,
    /// Longest time that clients wait when told to retry later; none where they cannot be told.
    pub max_retry_after: Option<Duration>,
    /// Most requests in flight at once.
    pub concurrency_limit: usize,
    /// Most messages held; further ones are rejected before they reach the policy.
    pub max_queued: usize,
    /// Most attempts for one message.
    pub max_attempts: u32,
    /// [`crate::Action::AbandonAttempt`] is permitted.
    pub can_abandon: bool,
    /// A message may have two attempts in flight at once.
    pub allows_hedging: bool,
    /// Value of a message over its tenant's quota, as a part of the value of its class.
    pub over_quota_weight: f64,
    /// Time-out of connecting.
    pub connect_timeout: Duration,
    /// Idle connections are closed after this time.
    pub connection_idle_timeout: Duration,
    /// Guarantees and limits of the environment.
    pub rules: Rules,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            instance_count: 2,
            zone: ZoneId(0),
            classes: vec![Class::default()],
            tenants: Vec::new(),
            kinds: vec![Kind { max_batch: 1, per_endpoint_limits: false }],
            weights: WeightSource::Nominal,
            discovery: Discovery::Push,
            decay: Decay::Linear,
            clients_mark_resubmissions: false,
            max_retry_after: None,
            concurrency_limit: 16,
            max_queued: 400,
            max_attempts: 8,
            can_abandon: true,
            allows_hedging: false,
            over_quota_weight: 1.0,
            connect_timeout: Duration::from_secs(1),
            connection_idle_timeout: Duration::from_secs(15),
            rules: Rules {
                outcome_grace: Duration::from_millis(20),
                warm_up_capacity: 0.2,
                warm_up_time: Duration::from_secs(10),
                overload_multiple: 2.0,
                overload_window: Duration::from_secs(2),
                key_cooldown: Duration::ZERO,
                discovery_interval: Duration::from_secs(10),
            },
        }
    }
}
