//! Keeps the table of messages, feeds the delivery policy with events and turns its actions into commands. Free of I/O
//! and clocks.
//!
//! The policy ([`cloverstile::DeliveryPolicy`]) decides which message goes where and when, and its final outcome. The
//! engine translates, keeps one idempotency key through all attempts, and sees to it that each message gets exactly one
//! final outcome. A gateway calls [`Engine::advance`] after each batch of events and carries out its [`Command`]s.
//!
//! | action of the policy | becomes |
//! | --- | --- |
//! | `Action::Send` | [`Command::Send`]; consecutive sends of one round to one endpoint share a request as far as the kind's `max_batch` allows. Without a free slot, a pending message or an attempt left: `Event::AttemptCompleted` with `AttemptOutcome::Unsent` at once |
//! | `Action::Reject` | [`Command::Complete`] with [`FinalOutcome::Rejected`] |
//! | `Action::Fail` | [`Command::Complete`] with [`FinalOutcome::Failed`] |
//! | `Action::AbandonAttempt` | [`Command::Abandon`], and `Event::AttemptCompleted` with `AttemptOutcome::Abandoned` at once |
//! | `Action::SetTimer` | part of [`Engine::next_timeout`], then `Event::TimerFired` |
//! | `Action::CloseIdle` | [`Command::CloseIdle`] |
//! | `Action::Probe` | [`Command::Probe`]: a connection opened and closed; `Event::ProbeCompleted` says whether it opened |
//! | `Action::SendPeerMessage` | nothing: instances share nothing |
//! | `Action::Log` | [`Command::Log`] |
//! | `Action::SubscribeEndpoints`, `Action::RefreshEndpoints` | `Event::EndpointsUpdated` with a snapshot of the list held; changes come without a subscription |
//!
//! | event for the policy | comes from |
//! | --- | --- |
//! | `Event::EndpointsUpdated` | [`Engine::update_endpoints`]: a new version of the endpoint list; a recovery gate that opened or closed |
//! | `Event::Submitted` | [`Engine::submit`], where nothing under that idempotency key is known; a message that changed its tier |
//! | `Event::Restarted` | [`Engine::on_restarted`] |
//! | `Event::Recovered` | [`Engine::recover`] |
//! | `Event::AttemptCompleted` | [`Engine::on_attempt_completed`], an attempt's time-out, `Action::AbandonAttempt`, a send that could not be carried out |
//! | `Event::RetryAfter` | [`Engine::on_retry_after`] |
//! | `Event::Cancelled` | a message completed by the engine itself: cancelled or rejected by the gateway, proved delivered by a late receipt, or pending at the end of a shutdown; a message that changes its tier. A client's lost connection is none: the client resubmits to get its outcome |
//! | `Event::TimerFired` | [`Engine::advance`] |
//! | `Event::ProbeCompleted` | [`Engine::on_probe_completed`] |
//! | `Event::FirstByte`, `Event::PeerMessageReceived` | never: responses are not streamed, instances send each other no messages |
//!
//! Modules, each of which uses only those above it:
//!
//! - `deadlines`, `message`, `command`: basic types.
//! - `requests`, `results`, `message_record`, `message_table`, `endpoint_table`: state, each of one kind.
//! - `migration`: tiers of messages.
//! - `state`: all state of an engine and the steps that its parts share.
//! - `policy_turn`: the policy's actions.
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
