//! Settings of the delivery policy.

use super::ids::ZoneId;
use std::time::Duration;

/// What happens when a message that may have taken effect is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A message that takes effect twice leaves the same result as one that takes effect once, so it may be sent again
    /// at any time.
    Safe,
    /// Endpoints of one group drop repeats with the same idempotency key for a limited time.
    Keyed,
    /// A repeat takes effect again. Such a message is not sent again once an attempt may have taken effect.
    Unsafe,
}

/// Which endpoints of a destination drop each other's repeats of an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All endpoints of the destination.
    All,
    /// The endpoints in the zone that the first attempt was sent to.
    Zone,
}

/// Delivery rules of a class of messages: time limits, repeats, order and value.
#[derive(Clone, Debug)]
pub struct Class {
    /// A message that is delivered within this time after its submission has its full value.
    pub latency_objective: Duration,
    /// Time after its submission until which a message may be delivered.
    pub deadline: Duration,
    /// Whether a message may be sent again after an attempt that may have taken effect.
    pub effect: Effect,
    /// For keyed classes: the endpoints that drop each other's repeats.
    pub group: Group,
    /// For keyed classes: how long repeats are dropped, counted from the sending of the first attempt that may have
    /// taken effect.
    pub retry_window: Duration,
    /// Messages with the same order key are delivered one at a time, in the order of submission.
    pub ordered: bool,
    /// Value of a message that is delivered on time, relative to other classes.
    pub priority_weight: f64,
    /// Fraction of the value that is left at the deadline, from 0 to 1.
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

/// A tenant: a client with a quota of its own.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Messages per second for all gateway instances together. Messages over the quota have a lower value
    /// ([`Settings::over_quota_weight`]).
    pub quota: f64,
}

/// Properties that all destinations of a kind share.
#[derive(Clone, Debug)]
pub struct Kind {
    /// Maximum number of messages in a request.
    pub max_batch: usize,
    /// Each endpoint has its own rate limit and outages; otherwise the destination's endpoints share them.
    pub per_endpoint_limits: bool,
}

/// What the weights in the endpoint list mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WeightSource {
    /// Nothing: the list advertises no rate limits.
    Ignored,
    /// The rate limit of the destination in requests per second, for all gateway instances together.
    Nominal,
    /// Like [`WeightSource::Nominal`], but up to half too high or too low.
    Approximate,
}

/// How an instance gets updates of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Updates arrive without a subscription.
    Push,
    /// Updates arrive only on request ([`crate::Action::SubscribeEndpoints`], [`crate::Action::RefreshEndpoints`]).
    Subscribe,
}

/// How the value of a message decays after its latency objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decay {
    /// Linearly, to [`Class::late_value_ratio`] at the deadline.
    Linear,
    /// By half for each further latency objective that passes, but not below [`Class::late_value_ratio`].
    Halving,
}

/// Guarantees that clients, destinations and discovery give, and limits that they set.
#[derive(Clone, Debug)]
pub struct Rules {
    /// Time after a message's deadline until which its final outcome is accepted.
    pub outcome_grace: Duration,
    /// Minimum capacity of a destination right after an outage, as a fraction of its full capacity.
    pub warm_up_capacity: f64,
    /// Maximum time that a destination needs after an outage to reach its full capacity.
    pub warm_up_time: Duration,
    /// A destination that is warming up collapses when it receives this multiple of its current capacity for the
    /// length of [`Rules::overload_window`].
    pub overload_multiple: f64,
    /// How long the overload of [`Rules::overload_multiple`] must last for the destination to collapse.
    pub overload_window: Duration,
    /// How long an order key is not used after an attempt that may still be running.
    pub key_cooldown: Duration,
    /// With [`Discovery::Subscribe`]: an instance that has not subscribed for this long is assumed to know the endpoint
    /// list.
    pub discovery_interval: Duration,
}

/// Settings of a gateway instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of gateway instances that share the destinations, including this one.
    pub instance_count: u32,
    /// The zone of this instance. Endpoints in the same zone are preferred.
    pub zone: ZoneId,
    /// Classes of messages, indexed by [`crate::ClassId`].
    pub classes: Vec<Class>,
    /// Tenants, indexed by [`crate::TenantId`]. Messages of a tenant that is not listed have no quota.
    pub tenants: Vec<Tenant>,
    /// Kinds of destination, indexed by [`crate::KindId`].
    pub kinds: Vec<Kind>,
    /// What the weights in the endpoint list mean.
    pub weights: WeightSource,
    /// How this instance gets updates of the endpoint list.
    pub discovery: Discovery,
    /// How the value of a message decays after its latency objective.
    pub decay: Decay,
    /// Whether clients mark resubmitted messages. If they do, an unmarked message is new, however near its deadline is.
    pub clients_mark_resubmissions: bool,
    /// Maximum `Retry-After` that clients honour; `None` if clients cannot be told to wait.
    pub max_retry_after: Option<Duration>,
    /// Maximum number of requests in flight.
    pub concurrency_limit: usize,
    /// Maximum number of pending messages. The gateway rejects further ones before they reach the policy.
    pub max_queued: usize,
    /// Maximum number of attempts per message.
    pub max_attempts: u32,
    /// Whether the policy may use [`crate::Action::AbandonAttempt`].
    pub can_abandon: bool,
    /// Whether a message may have two attempts in flight at once.
    pub allows_hedging: bool,
    /// Value of a message over its tenant's quota, as a fraction of the value of its class.
    pub over_quota_weight: f64,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub connection_idle_timeout: Duration,
    /// Guarantees and limits of the gateway's environment.
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
