//! Books messages, hands the module its events and turns its actions into effects. Free of I/O and of clocks.
//!
//! The module ([`cloverstile::DeliveryPolicy`]) decides which message goes where and when, and the final answer. The
//! engine translates, keeps one idempotency key through all tries, and sees to it that each message gets
//! exactly one final answer.
//!
//! | action of the module | becomes |
//! | --- | --- |
//! | `Route` | [`Command::Send`]; routes of one turn to one endpoint share a call as far as the kind's batch allows. Without a free slot, an open message or an attempt left: `AttemptCompleted(Moot)` at once |
//! | `Busy` | [`Command::Complete`] with [`FinalOutcome::Rejected`] |
//! | `ReportFailure` | [`Command::Complete`] with [`FinalOutcome::Failed`] |
//! | `StopAttempt` | [`Command::Abandon`], and `AttemptCompleted(Cancelled)` at once |
//! | `Wake` | part of [`Engine::next_timeout`], then `TickDue` |
//! | `CloseIdle` | [`Command::CloseIdle`] |
//! | `Probe` | [`Command::Probe`]: a connection opened and closed; `Probed` tells whether it opened |
//! | `Tell` | nothing: couriers share nothing |
//! | `Log` | [`Command::Log`] |
//! | `KeepInformed` | nothing: changes of the list come unasked; the list held is handed over again |
//! | `Refresh` | `Listed(Whole)` with the list held |
//!
//! | event for the module | comes from |
//! | --- | --- |
//! | `Listed` | [`Engine::update_endpoints`]: a new version of the settings' partners |
//! | `Accept` | [`Engine::submit`], where nothing of that name is known |
//! | `AttemptCompleted` | [`Engine::on_attempt_completed`], an attempt's time-out, a `StopAttempt`, a route that could not be sent |
//! | `ClientGone` | a message answered by the engine itself: a late receipt proved it delivered, or the courier stops. A client's lost connection is none: it comes again for its answer |
//! | `TickDue` | [`Engine::advance`] |
//! | `Probed` | [`Engine::on_probe_completed`] |
//! | `FirstByte`, `Note` | never: answers are not streamed, couriers send no notes |
#![forbid(unsafe_code)]

mod book;
mod engine;
mod moves;

pub use book::{Admission, Attempt, Command, FinalOutcome, SubmitRequest, TransportOutcome};
pub use engine::{Counters, Engine, ResultCacheLimits};
