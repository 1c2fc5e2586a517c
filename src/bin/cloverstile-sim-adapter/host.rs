//! Table of simulated gateway instances: translates records to events of their policies, and actions to replies.
//! Field names of records and replies are those of the simulator's wire.

use crate::wire::{Entry, FinishedRecord, Record, Reply, WireError};
use cloverstile::{
    parse_settings, Action, AttemptCompleted, AttemptOutcome, ClassId, DeliveryPolicy, DestinationId,
    Endpoint, EndpointId, EndpointListUpdate, EndpointState, Event, KindId, MessageId, OrderKey,
    ParsedSettings, RateLimitStatus, SettingError, Submission, TenantId, Time, ZoneId,
};
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::Duration;

/// Option bits of an `Accept` record.
const OPTION_RESUBMITTED: u8 = 2;
const OPTION_FROM_LOST_INSTANCE: u8 = 16;

struct Instance {
    policy: DeliveryPolicy,
    /// Positions in the report of a response.
    remaining_field: Option<usize>,
    limit_field: Option<usize>,
}

/// All instances of this process, and the numbered endpoint lists that records refer to.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, Instance>,
    sheets: BTreeMap<u16, Vec<Endpoint>>,
}

/// An error that a batch cannot be processed for.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    #[error("instance {who}: {error}")]
    Setting { who: u16, error: SettingError },
    #[error(transparent)]
    Wire(#[from] WireError),
}

impl Host {
    /// Processes the records of a batch at this time, in nanoseconds, and returns the replies of their instances.
    pub fn run(&mut self, clock: u64, records: Vec<Record>) -> Result<Vec<Reply>, HostError> {
        let now = Time(clock);
        let mut touched = Vec::new();
        let mut replies = Vec::new();
        for record in records {
            let Some((who, event)) = self.translate(record)? else {
                continue;
            };
            if let Some(instance) = self.instances.get_mut(&who) {
                if !touched.contains(&who) {
                    touched.push(who);
                }
                guarded(who, &mut replies, || instance.policy.on_event(now, event));
            }
        }
        let mut actions = Vec::new();
        for who in touched {
            let Some(instance) = self.instances.get_mut(&who) else {
                continue;
            };
            guarded(who, &mut replies, || instance.policy.next_actions(now, &mut actions));
            replies.extend(actions.drain(..).map(|action| reply(who, action)));
        }
        Ok(replies)
    }

    /// The event of a record, or none where the record concerns the table alone.
    fn translate(&mut self, record: Record) -> Result<Option<(u16, Event)>, HostError> {
        Ok(Some(match record {
            Record::NewInstance { who, nonce, config } => {
                let ParsedSettings { settings, remaining_field, limit_field } =
                    parse_settings(&config).map_err(|error| HostError::Setting { who, error })?;
                let policy = DeliveryPolicy::new(settings, nonce);
                self.instances.insert(who, Instance { policy, remaining_field, limit_field });
                return Ok(None);
            }
            Record::Teardown { who } => {
                self.instances.remove(&who);
                return Ok(None);
            }
            Record::Sheet { slot, entries } => {
                let entries = entries.iter().map(endpoint).collect::<Result<_, _>>()?;
                self.sheets.insert(slot, entries);
                return Ok(None);
            }
            Record::Members { who, slot, kind, .. } => {
                (who, Event::EndpointsUpdated(self.endpoint_list_update(slot, kind)?))
            }
            Record::Accept { who, call, profile, dest, key, deadline, opts, owner, .. } => {
                let submission = Submission {
                    id: MessageId(call),
                    class: ClassId(profile),
                    destination: DestinationId(dest as u16),
                    key: (key != 0).then_some(OrderKey(key)),
                    deadline: Time(deadline),
                    from_lost_instance: opts & OPTION_FROM_LOST_INSTANCE != 0,
                    resubmitted: opts & OPTION_RESUBMITTED != 0,
                    tenant: TenantId(owner),
                };
                (who, Event::Submitted(submission))
            }
            Record::ProbeDone { who, code, delay, endpoint, .. } => {
                let outcome = outcome(code, 0)?;
                let endpoint = EndpointId(endpoint);
                (who, Event::ProbeCompleted { endpoint, outcome, latency: Duration::from_nanos(delay) })
            }
            Record::ClientGone { who, call } => (who, Event::Cancelled(MessageId(call))),
            Record::FirstByte { who, call, .. } => (who, Event::FirstByte(MessageId(call))),
            Record::Finished(record) => (record.who, self.attempt_completed(&record)?),
            Record::TickDue { who, cookie } => (who, Event::TimerFired(cookie)),
            Record::NoteFrom { who, from, msg } => (who, Event::PeerMessageReceived { from, text: msg }),
        }))
    }

    fn endpoint_list_update(&self, slot: u16, kind: u8) -> Result<EndpointListUpdate, HostError> {
        let entries = || self.sheets.get(&slot).cloned().unwrap_or_default();
        Ok(match kind {
            0 => EndpointListUpdate::Delta(entries()),
            1 | 2 => EndpointListUpdate::Snapshot(entries()),
            3 => EndpointListUpdate::Unavailable,
            other => return Err(unknown("Kind", u32::from(other))),
        })
    }

    fn attempt_completed(&self, record: &FinishedRecord) -> Result<Event, HostError> {
        let instance = self.instances.get(&record.who);
        let value = |at: Option<usize>| at.and_then(|at| record.report.get(at)).map(|v| f64::from(*v));
        let remaining = value(instance.and_then(|instance| instance.remaining_field));
        let limit = value(instance.and_then(|instance| instance.limit_field));
        Ok(Event::AttemptCompleted(AttemptCompleted {
            message: MessageId(record.call),
            endpoint: EndpointId(record.endpoint),
            attempt: record.trial,
            outcome: outcome(record.code, record.detail)?,
            latency: Duration::from_nanos(record.delay),
            message_completed: record.complete,
            rate_limit: remaining.zip(limit).map(|(remaining, limit)| RateLimitStatus { remaining, limit }),
        }))
    }
}

/// Runs a step of a policy; a panic becomes a reply with its text.
fn guarded(who: u16, replies: &mut Vec<Reply>, step: impl FnOnce()) {
    if let Err(cause) = catch_unwind(AssertUnwindSafe(step)) {
        let text = cause.downcast_ref::<&str>().map(|s| (*s).to_owned());
        let text = text.or_else(|| cause.downcast_ref::<String>().cloned());
        replies.push(Reply::Panic { who, words: text.unwrap_or_else(|| "panic without a text".to_owned()) });
    }
}

fn unknown(field: &'static str, value: u32) -> HostError {
    HostError::Wire(WireError::Value { at: 0, field, value })
}

fn outcome(code: u16, detail: u32) -> Result<AttemptOutcome, HostError> {
    Ok(match code {
        100 => AttemptOutcome::Ok,
        301 => AttemptOutcome::Error,
        302 => AttemptOutcome::Rejected((detail > 0).then(|| Duration::from_millis(u64::from(detail)))),
        303 => AttemptOutcome::Timeout,
        304 => AttemptOutcome::ConnectFailed,
        305 => AttemptOutcome::Reset,
        306 => AttemptOutcome::Abandoned,
        307 => AttemptOutcome::Unsent,
        other => return Err(unknown("Code", u32::from(other))),
    })
}

fn endpoint(entry: &Entry) -> Result<Endpoint, HostError> {
    Ok(Endpoint {
        id: EndpointId(entry.endpoint),
        zone: ZoneId(entry.zone),
        kind: KindId(entry.kind),
        destination: DestinationId(entry.cell),
        state: match entry.mode {
            3 => EndpointState::Ready,
            1 => EndpointState::Draining,
            2 => EndpointState::Removed,
            other => return Err(unknown("Mode", u32::from(other))),
        },
        weight: f64::from(entry.weight),
    })
}

fn nanos(span: Duration) -> u64 {
    u64::try_from(span.as_nanos()).unwrap_or(u64::MAX)
}

/// The reply of an action. A time-out of zero means none on the wire, so that the shortest is a nanosecond.
fn reply(who: u16, action: Action) -> Reply {
    match action {
        Action::Send { message, endpoint, timeout } => {
            Reply::Route { who, call: message.0, endpoint: endpoint.0, try_for: nanos(timeout).max(1) }
        }
        Action::Reject { message, retry_after } => {
            Reply::Busy { who, call: message.0, stay_away: nanos(retry_after) }
        }
        Action::Fail { message } => Reply::ReportFailure { who, call: message.0 },
        Action::AbandonAttempt { message, attempt } => {
            Reply::StopAttempt { who, call: message.0, trial: attempt }
        }
        Action::SetTimer { after, token } => Reply::After { who, after: nanos(after), cookie: token },
        Action::CloseIdle { endpoint } => Reply::CloseIdle { who, endpoint: endpoint.0 },
        Action::Probe { endpoint } => Reply::SoundOut { who, endpoint: endpoint.0 },
        Action::SendPeerMessage { to, text } => Reply::Tell { who, peer: to.unwrap_or(u16::MAX), msg: text },
        Action::Log { text } => Reply::Log { who, words: text },
        Action::SubscribeEndpoints { active } => Reply::KeepInformed { who, active },
        Action::RefreshEndpoints => Reply::Refresh { who },
    }
}
