//! Runs the policies of simulated gateway instances: converts records into events, and actions into replies.

use crate::wire::{AttemptCompletedRecord, EndpointEntry, Record, Reply, WireError};
use cloverstile::{
    parse_settings, Action, AttemptCompleted, AttemptOutcome, ClassId, DeliveryPolicy, DestinationId,
    Endpoint, EndpointId, EndpointListUpdate, EndpointState, Event, KindId, MessageId, OrderKey,
    ParsedSettings, RateLimitStatus, SettingError, Submission, TenantId, Time, ZoneId,
};
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::time::Duration;

/// Option bits of a [`Record::Submitted`].
const OPTION_RESUBMITTED: u8 = 2;
const OPTION_FROM_LOST_INSTANCE: u8 = 16;

/// The policy of a simulated gateway instance, and where its load reports state the rate limit.
struct Instance {
    policy: DeliveryPolicy,
    /// Position in a load report of the fraction of the rate limit that remains, if reports have it.
    remaining_field: Option<usize>,
    /// Position in a load report of the rate limit, if reports have it.
    limit_field: Option<usize>,
}

/// The instances of this process by number, and the endpoint lists that records refer to by number.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, Instance>,
    endpoint_lists: BTreeMap<u16, Vec<Endpoint>>,
}

/// Why a batch cannot be processed.
#[derive(Debug, thiserror::Error)]
pub enum HostError {
    /// The settings of a new instance are invalid; `instance` is its number.
    #[error("instance {instance}: {error}")]
    Setting { instance: u16, error: SettingError },
    /// A record has a value that is not defined.
    #[error(transparent)]
    Wire(#[from] WireError),
}

impl Host {
    /// Processes the records of a batch in order, then takes the actions of each instance that was sent an event, and
    /// returns them as replies. `clock` is the time in nanoseconds.
    pub fn process_batch(&mut self, clock: u64, records: Vec<Record>) -> Result<Vec<Reply>, HostError> {
        let now = Time(clock);
        let mut notified = Vec::new();
        let mut replies = Vec::new();
        for record in records {
            let Some((number, event)) = self.apply(record)? else {
                continue;
            };
            if let Some(instance) = self.instances.get_mut(&number) {
                if !notified.contains(&number) {
                    notified.push(number);
                }
                catch_panic(number, &mut replies, || instance.policy.on_event(now, event));
            }
        }
        let mut actions = Vec::new();
        for number in notified {
            let Some(instance) = self.instances.get_mut(&number) else {
                continue;
            };
            catch_panic(number, &mut replies, || instance.policy.next_actions(now, &mut actions));
            replies.extend(actions.drain(..).map(|action| to_reply(number, action)));
        }
        Ok(replies)
    }

    /// Converts a record to an event and the number of its instance. A record that creates or removes an instance or
    /// defines an endpoint list takes effect here and has no event.
    fn apply(&mut self, record: Record) -> Result<Option<(u16, Event)>, HostError> {
        Ok(Some(match record {
            Record::NewInstance { instance, seed, settings } => {
                let ParsedSettings { settings, remaining_field, limit_field } =
                    parse_settings(&settings).map_err(|error| HostError::Setting { instance, error })?;
                let policy = DeliveryPolicy::new(settings, seed);
                self.instances.insert(instance, Instance { policy, remaining_field, limit_field });
                return Ok(None);
            }
            Record::RemoveInstance { instance } => {
                self.instances.remove(&instance);
                return Ok(None);
            }
            Record::EndpointList { list, entries } => {
                let entries = entries.iter().map(to_endpoint).collect::<Result<_, _>>()?;
                self.endpoint_lists.insert(list, entries);
                return Ok(None);
            }
            Record::EndpointsUpdated { instance, list, update_kind, .. } => {
                (instance, Event::EndpointsUpdated(self.endpoint_list_update(list, update_kind)?))
            }
            Record::Submitted {
                instance,
                message,
                class,
                destination,
                order_key,
                deadline,
                options,
                tenant,
                ..
            } => {
                let submission = Submission {
                    id: MessageId(message),
                    class: ClassId(class),
                    destination: DestinationId(destination as u16),
                    key: (order_key != 0).then_some(OrderKey(order_key)),
                    deadline: Time(deadline),
                    from_lost_instance: options & OPTION_FROM_LOST_INSTANCE != 0,
                    resubmitted: options & OPTION_RESUBMITTED != 0,
                    tenant: TenantId(tenant),
                };
                (instance, Event::Submitted(submission))
            }
            Record::ProbeCompleted { instance, outcome_code, latency, endpoint, .. } => {
                let outcome = to_outcome(outcome_code, 0)?;
                let endpoint = EndpointId(endpoint);
                (
                    instance,
                    Event::ProbeCompleted { endpoint, outcome, latency: Duration::from_nanos(latency) },
                )
            }
            Record::Cancelled { instance, message } => (instance, Event::Cancelled(MessageId(message))),
            Record::FirstByte { instance, message, .. } => (instance, Event::FirstByte(MessageId(message))),
            Record::AttemptCompleted(record) => (record.instance, self.attempt_completed(&record)?),
            Record::TimerFired { instance, token } => (instance, Event::TimerFired(token)),
            Record::PeerMessageReceived { instance, from, payload } => {
                (instance, Event::PeerMessageReceived { from, payload })
            }
        }))
    }

    fn endpoint_list_update(&self, list: u16, update_kind: u8) -> Result<EndpointListUpdate, HostError> {
        let entries = || self.endpoint_lists.get(&list).cloned().unwrap_or_default();
        Ok(match update_kind {
            0 => EndpointListUpdate::Delta(entries()),
            1 | 2 => EndpointListUpdate::Snapshot(entries()),
            3 => EndpointListUpdate::Unavailable,
            other => return Err(unknown_value("Kind", u32::from(other))),
        })
    }

    fn attempt_completed(&self, record: &AttemptCompletedRecord) -> Result<Event, HostError> {
        let instance = self.instances.get(&record.instance);
        let value = |position: Option<usize>| {
            position.and_then(|position| record.load_report.get(position)).map(|value| f64::from(*value))
        };
        let remaining = value(instance.and_then(|instance| instance.remaining_field));
        let limit = value(instance.and_then(|instance| instance.limit_field));
        Ok(Event::AttemptCompleted(AttemptCompleted {
            message: MessageId(record.message),
            endpoint: EndpointId(record.endpoint),
            attempt: record.attempt,
            outcome: to_outcome(record.outcome_code, record.detail)?,
            latency: Duration::from_nanos(record.latency),
            message_completed: record.message_completed,
            rate_limit: remaining.zip(limit).map(|(remaining, limit)| RateLimitStatus { remaining, limit }),
        }))
    }
}

/// Calls a policy; a panic becomes a reply with its text.
fn catch_panic(instance: u16, replies: &mut Vec<Reply>, call: impl FnOnce()) {
    if let Err(payload) = catch_unwind(AssertUnwindSafe(call)) {
        let text = payload.downcast_ref::<&str>().map(|text| (*text).to_owned());
        let text = text.or_else(|| payload.downcast_ref::<String>().cloned());
        replies
            .push(Reply::Panic { instance, text: text.unwrap_or_else(|| "panic without a text".to_owned()) });
    }
}

/// Error for a value whose offset in the frame is no longer known once the record is decoded; reports offset 0.
fn unknown_value(field: &'static str, value: u32) -> HostError {
    HostError::Wire(WireError::UnknownValue { at: 0, field, value })
}

fn to_outcome(code: u16, detail: u32) -> Result<AttemptOutcome, HostError> {
    Ok(match code {
        100 => AttemptOutcome::Ok,
        301 => AttemptOutcome::Error,
        302 => AttemptOutcome::Rejected((detail > 0).then(|| Duration::from_millis(u64::from(detail)))),
        303 => AttemptOutcome::Timeout,
        304 => AttemptOutcome::ConnectFailed,
        305 => AttemptOutcome::Reset,
        306 => AttemptOutcome::Abandoned,
        307 => AttemptOutcome::Unsent,
        other => return Err(unknown_value("Code", u32::from(other))),
    })
}

fn to_endpoint(entry: &EndpointEntry) -> Result<Endpoint, HostError> {
    Ok(Endpoint {
        id: EndpointId(entry.endpoint),
        zone: ZoneId(entry.zone),
        kind: KindId(entry.kind),
        destination: DestinationId(entry.destination),
        state: match entry.state {
            3 => EndpointState::Ready,
            1 => EndpointState::Draining,
            2 => EndpointState::Removed,
            other => return Err(unknown_value("Mode", u32::from(other))),
        },
        weight: f64::from(entry.weight),
    })
}

fn to_nanos(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX)
}

/// Converts an action to a reply. On the wire a timeout of zero means none; an attempt that has no time left gets one
/// nanosecond.
fn to_reply(instance: u16, action: Action) -> Reply {
    match action {
        Action::Send { message, endpoint, timeout } => Reply::Send {
            instance,
            message: message.0,
            endpoint: endpoint.0,
            timeout: to_nanos(timeout).max(1),
        },
        Action::Reject { message, retry_after } => {
            Reply::Reject { instance, message: message.0, retry_after: to_nanos(retry_after) }
        }
        Action::Fail { message } => Reply::Fail { instance, message: message.0 },
        Action::AbandonAttempt { message, attempt } => {
            Reply::AbandonAttempt { instance, message: message.0, attempt }
        }
        Action::SetTimer { after, token } => Reply::SetTimer { instance, after: to_nanos(after), token },
        Action::CloseIdle { endpoint } => Reply::CloseIdle { instance, endpoint: endpoint.0 },
        Action::Probe { endpoint } => Reply::Probe { instance, endpoint: endpoint.0 },
        Action::SendPeerMessage { to, payload } => {
            Reply::SendPeerMessage { instance, to: to.unwrap_or(u16::MAX), payload }
        }
        Action::Log { text } => Reply::Log { instance, text },
        Action::SubscribeEndpoints { active } => Reply::SubscribeEndpoints { instance, active },
        Action::RefreshEndpoints => Reply::RefreshEndpoints { instance },
    }
}
