//! Keeps the message table, passes events to the delivery policy and turns the policy's actions into commands. The
//! crate performs no I/O and reads no clock.
//!
//! The policy ([`cloverstile::DeliveryPolicy`]) decides when and to which endpoint each message is sent, and what its
//! final outcome is. The engine translates between the policy and the gateway, keeps one idempotency key across all
//! attempts, and ensures that each message gets exactly one final outcome. A gateway calls [`Engine::advance`] after
//! each batch of events and carries out the returned [`Command`]s.
//!
//! | policy action | result |
//! | --- | --- |
//! | `Action::Send` | [`Command::Send`]; consecutive sends to one endpoint in one batch of actions share a request, up to the `max_batch` of the endpoint's kind. If the endpoint does not accept requests, no slot is free, the message is not pending or no attempt is left: an immediate `Event::AttemptCompleted` with `AttemptOutcome::Unsent` |
//! | `Action::Reject` | [`Command::Complete`] with [`FinalOutcome::Rejected`] |
//! | `Action::Fail` | [`Command::Complete`] with [`FinalOutcome::Failed`] |
//! | `Action::AbandonAttempt` | [`Command::Abandon`], and an immediate `Event::AttemptCompleted`: with `AttemptOutcome::Abandoned`, or with `AttemptOutcome::ConnectFailed` if the attempt was not started, or with the response that was held |
//! | `Action::SetTimer` | taken into account by [`Engine::next_timeout`], then `Event::TimerFired` |
//! | `Action::CloseIdle` | [`Command::CloseIdle`] |
//! | `Action::Probe` | [`Command::Probe`]: a connection is opened and closed; `Event::ProbeCompleted` reports whether it opened |
//! | `Action::SendPeerMessage` | ignored: gateway instances do not communicate with each other |
//! | `Action::Log` | [`Command::Log`] |
//! | `Action::SubscribeEndpoints`, `Action::RefreshEndpoints` | `Event::EndpointsUpdated` with a snapshot of the current list; later changes are reported without a subscription |
//!
//! | policy event | source |
//! | --- | --- |
//! | `Event::EndpointsUpdated` | [`Engine::update_endpoints`]: a new version of the endpoint list; a recovery gate that opened, closed or was removed |
//! | `Event::Submitted` | [`Engine::submit`] of a message that is newly admitted; a message that moved to another tier |
//! | `Event::Restarted` | [`Engine::on_restarted`] |
//! | `Event::Recovered` | [`Engine::recover`] |
//! | `Event::AttemptCompleted` | [`Engine::on_attempt_completed`], the time-out of an attempt, `Action::AbandonAttempt`, an `Action::Send` that could not be carried out |
//! | `Event::RetryAfter` | [`Engine::on_retry_after`] |
//! | `Event::Cancelled` | a message that was completed without the policy: cancelled or rejected by the gateway, shown to be delivered by a late receipt, still pending at the end of a shutdown, or not completed by the policy in time; a message that moves to another tier. The loss of a client's connection does not cancel its messages: the client resubmits to get the outcome |
//! | `Event::TimerFired` | [`Engine::advance`] |
//! | `Event::ProbeCompleted` | [`Engine::on_probe_completed`] |
//! | `Event::FirstByte`, `Event::PeerMessageReceived` | never: responses are not streamed, and gateway instances send each other no messages |
//!
//! Modules; each one uses only those listed before it:
//!
//! - `deadlines`, `message`, `command`: basic types.
//! - `requests`, `results`, `message_record`, `message_table`, `endpoint_table`: one part of the state each.
//! - `migration`: assignment of messages to tiers.
//! - `state`: the complete state of an engine, and the operations that involve several of its parts.
//! - `policy_turn`: execution of the policy's actions.
//! - `engine`: the interface for gateways.
#![forbid(unsafe_code)]

mod command;
mod deadlines;
mod endpoint_table;
mod engine;
mod message;
mod message_record;
mod message_table;
mod migration;
mod policy_turn;
mod requests;
mod results;
mod state;

pub use command::Command;
pub use engine::Engine;
pub use message::{Admission, Attempt, FinalOutcome, SubmitRequest, TransportOutcome};
pub use results::{Counters, ResultCacheLimits};
