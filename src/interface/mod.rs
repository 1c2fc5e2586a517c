//! Types of the delivery policy's interface: time, identifiers, settings, events and actions. The decisions are in
//! `policy`.

mod events;
mod health;
mod ids;
mod settings;
mod time;

pub use events::{
    Action, AttemptCompleted, AttemptOutcome, Endpoint, EndpointListUpdate, EndpointState, Event,
    RateLimitStatus, RecoveredAttempts, Submission,
};
pub use health::{HealthChange, HealthChangeKind};
pub use ids::{ClassId, DestinationId, EndpointId, KindId, MessageId, OrderKey, TenantId, ZoneId};
pub use settings::{Class, Decay, Discovery, Effect, Group, Kind, Rules, Settings, Tenant, WeightSource};
pub use time::Time;
