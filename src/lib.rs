//! The delivery policy of an outbound gateway: which message to send to which endpoint of a partner, and when.
//!
//! [`DeliveryPolicy`] receives events ([`Event`]) and returns actions ([`Action`]). It performs no I/O, reads no clock
//! and shares no state: randomness comes from a seed, the time from the caller.
//! Call [`DeliveryPolicy::on_event`] for every event, then [`DeliveryPolicy::next_actions`] once.
//!
//! A message waits in the queue of its destination. A free request slot goes to the destination with queued messages
//! that has the fewest requests in flight. A message whose attempt may have taken effect is retried under the same
//! idempotency key, within its group, retry window and attempt limit, after an exponential backoff with full jitter.
//! Rate limiting, outages and probes, slow start, the handling of idle connections and load shedding protect this
//! normal path.
//!
//! `policy` makes the decisions, `policy_state` holds the state that they are based on. The modules of `policy` build
//! on each other in this order: `retry`, `rate_limiting`, `idle_connections`, `stalled_requests`, `unexplained_loss`,
//! `health`, `concurrency`, `priority`, `selection`, `dispatch`, `completion`, `admission`, `discovery`, and the entry
//! points in `mod`.
//!
//! ```
//! use cloverstile::{Action, Class, DeliveryPolicy, Effect, Endpoint, EndpointListUpdate, EndpointState, Event};
//! use cloverstile::{ClassId, DestinationId, EndpointId, KindId, MessageId, TenantId, ZoneId};
//! use cloverstile::{Settings, Submission, Time};
//! use std::time::Duration;
//!
//! let class = Class { effect: Effect::Unsafe, ..Class::default() };
//! let settings = Settings { classes: vec![class], ..Settings::default() };
//! let mut policy = DeliveryPolicy::new(settings, 7);
//! let now = Time::ZERO + Duration::from_secs(1);
//! policy.on_event(now, Event::EndpointsUpdated(EndpointListUpdate::Snapshot(vec![Endpoint {
//!     id: EndpointId(11), zone: ZoneId(0), kind: KindId(0), destination: DestinationId(3),
//!     state: EndpointState::Ready, weight: 10.0,
//! }])));
//! policy.on_event(now, Event::Submitted(Submission {
//!     id: MessageId(1), class: ClassId(0), destination: DestinationId(3), key: None,
//!     deadline: now + Duration::from_secs(20), from_lost_instance: false, resubmitted: false,
//!     tenant: TenantId(0),
//! }));
//! let mut actions = Vec::new();
//! policy.next_actions(now, &mut actions);
//! assert!(matches!(actions[0], Action::Send { message: MessageId(1), endpoint: EndpointId(11), .. }));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod interface;
mod policy;
mod policy_state;
mod settings_parser;

pub use interface::{
    Action, AttemptCompleted, AttemptOutcome, Class, ClassId, Decay, DestinationId, Discovery, Effect,
    Endpoint, EndpointId, EndpointListUpdate, EndpointState, Event, Group, HealthChange, HealthChangeKind,
    Kind, KindId, MessageId, OrderKey, RateLimitStatus, RecoveredAttempts, Rules, Settings, Submission,
    Tenant, TenantId, Time, WeightSource, ZoneId,
};
pub use policy::{retry_window_end, DeliveryPolicy};
pub use settings_parser::{parse_settings, ParsedSettings, SettingError};
