//! The engine as gateways use it: submissions, events of the transport, time.

use crate::command::Command;
use crate::message::{Admission, Attempt, FinalOutcome, SubmitRequest, TransportOutcome};
use crate::message_record::MessageRecord;
use crate::policy_turn;
use crate::results::{Counters, ResultCacheLimits};
use crate::state::{AttemptEnd, EngineState};
use cloverstile::{
    AttemptOutcome, DestinationId, Effect, Endpoint, EndpointId, Event, MessageId, RateLimitStatus,
    RecoveredAttempts, Settings, Submission, Time,
};
use cloverstile_failover::{FailoverPolicy, TierStatus};
use std::time::Duration;

/// A message table around one delivery policy.
pub struct Engine {
    state: EngineState,
    /// No submission is admitted any more; at this time all pending messages are completed.
    shutdown_deadline: Option<Time>,
}

impl Engine {
    /// An engine that holds no message; `seed` is the policy's only source of randomness.
    pub fn new(settings: Settings, cache_limits: ResultCacheLimits, seed: u64) -> Self {
        Engine { state: EngineState::new(settings, cache_limits, seed), shutdown_deadline: None }
    }

    /// The same engine with a failover policy for partners with several tiers.
    pub fn with_failover_policy(mut self, failover: impl FailoverPolicy + 'static) -> Self {
        self.state.failover = Box::new(failover);
        self
    }

    /// The status of each of a partner's tiers, the preferred one first; empty where it has only one.
    pub fn tier_statuses(&self, partner: DestinationId) -> Vec<TierStatus> {
        self.state.failover.tier_statuses(partner)
    }

    /// Running totals.
    pub fn counters(&self) -> Counters {
        self.state.counters
    }

    /// Messages without a final outcome.
    pub fn pending_messages(&self) -> usize {
        self.state.messages.pending()
    }

    /// Requests in flight.
    pub fn requests_in_flight(&self) -> usize {
        self.state.requests.len()
    }

    // ---- Messages ----

    /// Submits a message; one that is known already is not admitted twice.
    pub fn submit(&mut self, now: Time, request: SubmitRequest) -> Admission {
        let known = self.message_id(&request.idempotency_key);
        let Some((id, record)) = known.and_then(|id| Some((id, self.state.messages.get(id)?))) else {
            return self.admit(now, &request);
        };
        self.state.counters.duplicates += 1;
        // One key with other content is another intention: nobody can say which was meant. The partner sees the key
        // alone, so that another client's message under it would be dropped there as a duplicate.
        if record.fingerprint != request.fingerprint || record.client != request.client {
            return Admission::Conflict;
        }
        match record.outcome {
            None => Admission::InFlight(id),
            // The rejection permits the client to resubmit, and so it does. While an earlier attempt is still in flight (a
            // safe message may be rejected then) a second one must not go beside it.
            Some(FinalOutcome::Rejected(_)) if record.in_flight.is_none() => {
                self.state.remove(id);
                self.admit(now, &SubmitRequest { resubmitted: true, ..request })
            }
            Some(outcome) => Admission::Completed(id, outcome),
        }
    }

    fn admit(&mut self, now: Time, request: &SubmitRequest) -> Admission {
        if self.shutdown_deadline.is_some() {
            return Admission::ShuttingDown;
        }
        if self.pending_messages() >= self.state.settings.max_queued {
            return Admission::Overloaded;
        }
        let id = self.state.insert(request);
        // What a lost instance held may have taken effect there. An unsafe message must not go again; the policy is
        // never asked.
        let class = self.state.settings.classes.get(usize::from(request.class.0));
        if request.from_lost_instance && class.is_none_or(|class| class.effect == Effect::Unsafe) {
            self.state.complete(now, id, FinalOutcome::Failed);
            return Admission::New(id);
        }
        self.state.assign_tier(now, id);
        if let Some(submission) = self.state.messages.get(id).map(MessageRecord::submission) {
            let submission = Submission { resubmitted: request.resubmitted, ..submission };
            self.state.notify_policy(now, Event::Submitted(submission));
        }
        Admission::New(id)
    }

    /// An earlier process has ended, whose attempts may still run. Call it before all else.
    pub fn on_restarted(&mut self, now: Time) {
        self.state.notify_policy(now, Event::Restarted);
    }

    /// Adds a message that was admitted before a restart and is still pending. Call it in the order of admission, behind
    /// [`Engine::on_restarted`].
    pub fn recover(&mut self, now: Time, request: SubmitRequest, recovered: RecoveredAttempts) -> MessageId {
        // Nothing is final at once for one whose deadline passed meanwhile: the policy gives the outcome.
        let deadline = request.deadline.max(now);
        let id = self.state.insert(&SubmitRequest { deadline, ..request });
        if let Some(record) = self.state.messages.get_mut(id) {
            record.attempts = u16::try_from(recovered.attempts).unwrap_or(u16::MAX);
            record.may_have_run = recovered.may_have_run.is_some();
        }
        self.state.assign_tier(now, id);
        if let Some(submission) = self.state.messages.get(id).map(MessageRecord::submission) {
            let submission = Submission { from_lost_instance: false, ..submission };
            self.state.notify_policy(now, Event::Recovered(submission, recovered));
        }
        id
    }

    /// Cancels a message: no outcome is owed for it, and no further attempt is made.
    pub fn cancel(&mut self, now: Time, id: MessageId) {
        self.state.complete_without_policy(now, id, FinalOutcome::Cancelled);
    }

    /// Rejects a message that was just admitted and can't be kept after all; the client may resubmit it under its key.
    pub fn reject(&mut self, now: Time, id: MessageId) {
        self.state.complete_without_policy(now, id, FinalOutcome::Rejected(Duration::ZERO));
    }

    /// The message that an idempotency key stands for, while it is known.
    pub fn message_id(&self, idempotency_key: &str) -> Option<MessageId> {
        self.state.messages.id_of_key(idempotency_key)
    }

    /// The idempotency key of a message, while it is known.
    pub fn idempotency_key(&self, id: MessageId) -> Option<&str> {
        self.state.messages.get(id).map(|record| record.idempotency_key.as_str())
    }

    /// Whether a message has no final outcome yet: nothing may be sent for it afterwards.
    pub fn is_pending(&self, id: MessageId) -> bool {
        self.state.messages.is_pending(id)
    }

    // ---- Attempts ----

    /// When an attempt in flight times out.
    pub fn attempt_deadline(&self, attempt: Attempt) -> Option<Time> {
        let record = self.state.messages.get(attempt.message).filter(|_| self.state.is_in_flight(attempt))?;
        record.in_flight.map(|in_flight| in_flight.deadline)
    }

    /// Whether an attempt may still go that was decided on earlier: ask before its first byte, and again before its
    /// last. Guards against all that comes between decision and bytes: `Retry-After`, draining, an outage, the end of
    /// a retry window, a shutdown. One that may not ends as [`TransportOutcome::NotStarted`].
    pub fn may_send_now(&self, now: Time, attempt: Attempt) -> bool {
        let may_send = self.state.is_in_flight(attempt) && !self.state.sending_paused;
        may_send && self.state.policy.may_send_now(now, self.state.messages.policy_id(attempt.message))
    }

    /// Whether an attempt's bytes are on their way; a transport that never reports this counts as started from its
    /// [`Command::Send`] on.
    pub fn set_attempt_started(&mut self, attempt: Attempt, started: bool) {
        if !self.state.is_in_flight(attempt) {
            return;
        }
        let record = self.state.messages.get_mut(attempt.message);
        if let Some(in_flight) = record.and_then(|record| record.in_flight.as_mut()) {
            in_flight.started = started;
        }
    }

    /// An attempt ended on the transport, with what the partner said of its rate limit.
    pub fn on_attempt_completed(
        &mut self,
        now: Time,
        attempt: Attempt,
        outcome: TransportOutcome,
        rate_limit: Option<RateLimitStatus>,
    ) {
        if self.state.is_in_flight(attempt) {
            if outcome == TransportOutcome::Obsolete {
                self.cancel(now, attempt.message);
            }
            let end = AttemptEnd { outcome: outcome.attempt_outcome(), rate_limit };
            self.state.finish_attempt(now, attempt.message, end);
        } else if outcome == TransportOutcome::Processed {
            self.on_late_receipt(now, attempt.message);
        }
    }

    /// A valid receipt came on a connection of its own, perhaps after its attempt was abandoned.
    pub fn on_receipt(&mut self, now: Time, message: MessageId, outcome: TransportOutcome) {
        let Some(record) = self.state.messages.get(message) else { return };
        if record.in_flight.is_some() {
            let attempt = Attempt { message, number: record.last_attempt() };
            self.on_attempt_completed(now, attempt, outcome, None);
        } else if outcome == TransportOutcome::Processed {
            self.on_late_receipt(now, message);
        }
    }

    /// A receipt proves that a message took effect though its attempt was abandoned.
    fn on_late_receipt(&mut self, now: Time, message: MessageId) {
        let Some(record) = self.state.messages.get(message) else { return };
        match record.outcome {
            Some(FinalOutcome::Delivered) => {}
            Some(outcome) => self.state.commands.push(Command::LateReceipt { message, outcome }),
            // The policy is done with it: what is in flight runs on, nothing new is sent.
            None => self.state.complete_without_policy(now, message, FinalOutcome::Delivered),
        }
    }

    // ---- Endpoints ----

    /// A response's head carries `Retry-After`. It binds though the response may never be whole, and nobody waits for
    /// it.
    pub fn on_retry_after(&mut self, now: Time, endpoint: EndpointId, wait: Duration) {
        self.state.notify_policy(now, Event::RetryAfter { endpoint, wait });
    }

    /// Replaces the whole endpoint list.
    pub fn update_endpoints(&mut self, now: Time, endpoints: Vec<Endpoint>) {
        self.state.endpoints.replace(endpoints);
        self.state.notify_endpoint_snapshot(now);
    }

    /// A probe ended: whether its connection opened, and how long that took.
    pub fn on_probe_completed(&mut self, now: Time, endpoint: EndpointId, opened: bool, latency: Duration) {
        let outcome = if opened { AttemptOutcome::Ok } else { AttemptOutcome::ConnectFailed };
        self.state.notify_policy(now, Event::ProbeCompleted { endpoint, outcome, latency });
    }

    // ---- Time ----

    /// Pauses or resumes sending: while paused nothing new is sent, attempts in flight end as ever.
    pub fn set_sending_paused(&mut self, paused: bool) {
        self.state.sending_paused = paused;
        self.state.has_policy_events = true;
    }

    /// Whether sending is paused.
    pub fn is_sending_paused(&self) -> bool {
        self.state.sending_paused
    }

    /// Whether the policy has something to act on that happened since [`Engine::advance`].
    pub fn has_pending_events(&self) -> bool {
        self.state.has_policy_events && !self.state.sending_paused
    }

    /// Admits nothing from now on; at `deadline` all pending messages are completed, as far as their outcome is known.
    /// The first call counts.
    pub fn shut_down_by(&mut self, deadline: Time) {
        self.shutdown_deadline.get_or_insert(deadline);
    }

    /// When [`Engine::advance`] must be called at the latest.
    pub fn next_timeout(&self) -> Option<Time> {
        let timeouts = [
            self.state.failover.next_timeout(),
            self.state.policy_timers.next_at(),
            self.state.requests.next_timeout(),
            self.state.fallback_completions.next_at(),
            self.shutdown_deadline.filter(|_| self.pending_messages() > 0),
        ];
        timeouts.into_iter().flatten().min()
    }

    /// Ends the attempts whose time is over, and returns what is to be done for that. Call it ahead of the events of a poll
    /// where a response behind that time counts for nothing: an attempt that is over takes none.
    pub fn time_out_attempts(&mut self, now: Time) -> Vec<Command> {
        self.state.time_out_attempts(now);
        std::mem::take(&mut self.state.commands)
    }

    /// Lets the policy act on all that happened up to `now`, and returns what is to be done. Call it after every batch
    /// of events and at [`Engine::next_timeout`].
    pub fn advance(&mut self, now: Time) -> Vec<Command> {
        let state = &mut self.state;
        while let Some(token) = state.policy_timers.pop_due(now) {
            state.notify_policy(now, Event::TimerFired(token));
        }
        state.time_out_attempts(now);
        if self.shutdown_deadline.is_some_and(|deadline| deadline <= now) {
            state.complete_all(now);
        }
        state.reassign_waiting(now);
        policy_turn::run(state, now);
        state.complete_overdue(now);
        state.evict_expired(now);
        std::mem::take(&mut state.commands)
    }
}
