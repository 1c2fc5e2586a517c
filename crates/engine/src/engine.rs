//! The engine's interface for gateways: submissions, transport events and the passing of time.

use crate::command::Command;
use crate::message::{Admission, Attempt, FinalOutcome, SubmitRequest, TransportOutcome};
use crate::message_record::MessageRecord;
use crate::policy_turn;
use crate::results::{Counters, ResultCacheLimits};
use crate::state::{AttemptResult, EngineState};
use cloverstile::{
    AttemptOutcome, DestinationId, Effect, Endpoint, EndpointId, Event, HealthChange, MessageId,
    RateLimitStatus, RecoveredAttempts, Settings, Submission, Time,
};
use cloverstile_failover::{FailoverPolicy, TierStatus};
use std::time::Duration;

/// Holds the messages of one gateway instance and runs the delivery policy on them.
pub struct Engine {
    state: EngineState,
    /// Set once shutdown has begun: no submission is admitted any more, and at this time all pending messages are
    /// completed.
    shutdown_deadline: Option<Time>,
}

impl Engine {
    /// Creates an engine without messages; `seed` is the policy's only source of randomness.
    pub fn new(settings: Settings, cache_limits: ResultCacheLimits, seed: u64) -> Self {
        Engine { state: EngineState::new(settings, cache_limits, seed), shutdown_deadline: None }
    }

    /// Sets the failover policy, which selects among the tiers of partners that have several.
    pub fn with_failover_policy(mut self, failover: impl FailoverPolicy + 'static) -> Self {
        self.state.failover = Box::new(failover);
        self
    }

    /// The status of each tier of a partner, the preferred tier first; empty if the partner has only one tier.
    pub fn tier_statuses(&self, partner: DestinationId) -> Vec<TierStatus> {
        self.state.failover.tier_statuses(partner)
    }

    /// Totals since the engine was created.
    pub fn counters(&self) -> Counters {
        self.state.counters
    }

    /// Takes the changes of health of destinations since the last call, for the log.
    pub fn take_health_changes(&mut self) -> Vec<HealthChange> {
        self.state.policy.take_health_changes()
    }

    /// Number of messages without a final outcome.
    pub fn pending_messages(&self) -> usize {
        self.state.messages.pending()
    }

    /// Number of requests with at least one attempt in flight.
    pub fn requests_in_flight(&self) -> usize {
        self.state.requests.len()
    }

    // ---- Messages ----

    /// Submits a message. A message whose idempotency key is already known is not admitted a second time, unless it was
    /// rejected and has no attempt in flight.
    pub fn submit(&mut self, now: Time, request: SubmitRequest) -> Admission {
        let Some(known) = self.message_id(&request.idempotency_key) else {
            return self.admit(now, &request);
        };
        self.state.counters.duplicates += 1;
        if let Some(admission) = self.known_admission(&request) {
            return admission;
        }
        self.state.remove(known);
        self.admit(now, &SubmitRequest { resubmitted: true, ..request })
    }

    /// The result of a submission that adds no message, since one with its idempotency key is pending or completed. `None` if
    /// [`Engine::submit`] would admit the message anew, also one that was rejected before.
    pub fn known_admission(&self, request: &SubmitRequest) -> Option<Admission> {
        let id = self.message_id(&request.idempotency_key)?;
        let record = self.state.messages.get(id)?;
        // An idempotency key reused for other content is ambiguous: either message may be the intended one. The key
        // must also be unique across clients, because the partner sees only the key and would drop another client's
        // message under it as a duplicate.
        if record.fingerprint != request.fingerprint || record.client != request.client {
            return Some(Admission::Conflict);
        }
        match record.outcome {
            None => Some(Admission::InFlight(id)),
            // A rejection permits the client to resubmit. A safe message may be rejected while an attempt is still in
            // flight; until that attempt ends, a second one must not run concurrently with it.
            Some(FinalOutcome::Rejected(_)) if record.in_flight.is_none() => None,
            Some(outcome) => Some(Admission::Completed(id, outcome)),
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
        // A message held by a lost gateway instance may have taken effect. An unsafe one must not be sent again, so it
        // fails without involving the policy. A message of an unknown class is treated as unsafe.
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

    /// Notifies the policy that an earlier process ended and that its attempts may still be running. Must be called
    /// before any other event is reported.
    pub fn on_restarted(&mut self, now: Time) {
        self.state.notify_policy(now, Event::Restarted);
    }

    /// Adds a message that was admitted before a restart and is still pending. Must be called after
    /// [`Engine::on_restarted`], in the order of admission.
    pub fn recover(&mut self, now: Time, request: SubmitRequest, recovered: RecoveredAttempts) -> MessageId {
        // A message whose deadline passed in the meantime is not completed here; the policy decides its outcome.
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

    /// Adds a message that ended before a restart: a submission under its idempotency key gets its outcome. Must be called in
    /// the order of completion.
    pub fn recover_completed(&mut self, now: Time, request: &SubmitRequest, outcome: FinalOutcome) {
        let id = self.state.messages.insert(request);
        self.state.messages.complete(id, outcome);
        self.state.results.insert(now, id, request.deadline);
    }

    /// Cancels a pending message: no further attempt is made, and nobody waits for its outcome.
    pub fn cancel(&mut self, now: Time, id: MessageId) {
        self.state.complete_without_policy(now, id, FinalOutcome::Cancelled);
    }

    /// Rejects a message that was just admitted but can't be stored. The client may resubmit it under the same
    /// idempotency key.
    pub fn reject(&mut self, now: Time, id: MessageId) {
        self.state.complete_without_policy(now, id, FinalOutcome::Rejected(Duration::ZERO));
    }

    /// The message with this idempotency key; `None` if it is unknown or was removed.
    pub fn message_id(&self, idempotency_key: &str) -> Option<MessageId> {
        self.state.messages.id_by_idempotency_key(idempotency_key)
    }

    /// The idempotency key of a message; `None` if it is unknown or was removed.
    pub fn idempotency_key(&self, id: MessageId) -> Option<&str> {
        self.state.messages.get(id).map(|record| record.idempotency_key.as_str())
    }

    /// What a second delivery of a message does; `None` if the message or its class is unknown.
    pub fn effect(&self, id: MessageId) -> Option<Effect> {
        let class = self.state.messages.get(id)?.class_settings(&self.state.settings)?;
        Some(class.effect)
    }

    /// Whether a message is known and has no final outcome. Nothing may be sent for a message that is not pending.
    pub fn is_pending(&self, id: MessageId) -> bool {
        self.state.messages.is_pending(id)
    }

    // ---- Attempts ----

    /// When an attempt times out; `None` if it is not in flight.
    pub fn attempt_deadline(&self, attempt: Attempt) -> Option<Time> {
        let record = self.state.messages.get(attempt.message).filter(|_| self.state.is_in_flight(attempt))?;
        record.in_flight.map(|in_flight| in_flight.deadline)
    }

    /// Whether a scheduled attempt may still be sent. Check this before its first byte is written, and again before its
    /// last. It catches anything that happened since the policy decided on the attempt: `Retry-After`, draining, an
    /// outage, the end of a retry window or a shutdown. An attempt that may not be sent must be reported as
    /// [`TransportOutcome::NotStarted`].
    pub fn may_send_now(&self, now: Time, attempt: Attempt) -> bool {
        let may_send = self.state.is_in_flight(attempt) && !self.state.sending_paused;
        may_send && self.state.policy.may_send_now(now, self.state.messages.policy_id(attempt.message))
    }

    /// Reports whether the transport has started to send an attempt. Without a report, an attempt counts as started
    /// from its [`Command::Send`] on.
    pub fn set_attempt_started(&mut self, attempt: Attempt, started: bool) {
        if !self.state.is_in_flight(attempt) {
            return;
        }
        let record = self.state.messages.get_mut(attempt.message);
        if let Some(in_flight) = record.and_then(|record| record.in_flight.as_mut()) {
            in_flight.started = started;
        }
    }

    /// Reports that a response with this outcome was read but may be contradicted until the attempt is reported as
    /// completed. From now on the attempt ends with this outcome if it times out or is abandoned before.
    pub fn on_response_held(&mut self, attempt: Attempt, outcome: TransportOutcome) {
        if !self.state.is_in_flight(attempt) {
            return;
        }
        let record = self.state.messages.get_mut(attempt.message);
        if let Some(in_flight) = record.and_then(|record| record.in_flight.as_mut()) {
            in_flight.held_response = Some(outcome);
        }
    }

    /// Whether this attempt was sent and has not ended.
    pub fn is_in_flight(&self, attempt: Attempt) -> bool {
        self.state.is_in_flight(attempt)
    }

    /// Reports that an attempt ended on the transport, with the rate limit status that the partner sent, if any. Of an attempt
    /// that has been abandoned, only a receipt counts, and that no further attempt may be made.
    pub fn on_attempt_completed(
        &mut self,
        now: Time,
        attempt: Attempt,
        outcome: TransportOutcome,
        rate_limit: Option<RateLimitStatus>,
    ) {
        if self.state.is_in_flight(attempt) {
            // The attempt had no effect, so that it doesn't count for the message's outcome.
            if outcome == TransportOutcome::AttemptsExhausted {
                self.set_attempt_started(attempt, false);
            }
            self.complete_if_ended(now, attempt.message, outcome);
            let result = AttemptResult { outcome: outcome.attempt_outcome(), rate_limit };
            self.state.finish_attempt(now, attempt.message, result);
        } else if outcome == TransportOutcome::Processed {
            self.on_late_receipt(now, attempt.message);
        } else {
            self.complete_if_ended(now, attempt.message, outcome);
        }
    }

    /// Completes a message whose response says that it is over or has no attempt left.
    fn complete_if_ended(&mut self, now: Time, message: MessageId, outcome: TransportOutcome) {
        match outcome {
            TransportOutcome::AttemptsExhausted => {
                let known = self.state.messages.get(message).map(MessageRecord::outcome_without_policy);
                if let Some(outcome) = known {
                    self.state.complete_without_policy(now, message, outcome);
                }
            }
            TransportOutcome::Obsolete => self.cancel(now, message),
            TransportOutcome::ObsoleteInDoubt => {
                self.state.complete_without_policy(now, message, FinalOutcome::Failed);
            }
            _ => {}
        }
    }

    /// Reports a valid receipt that arrived on a separate connection, possibly after its attempt was abandoned.
    pub fn on_receipt(&mut self, now: Time, message: MessageId, outcome: TransportOutcome) {
        let Some(record) = self.state.messages.get(message) else { return };
        if record.in_flight.is_some() {
            let attempt = Attempt { message, number: record.last_attempt_number() };
            self.on_attempt_completed(now, attempt, outcome, None);
        } else if outcome == TransportOutcome::Processed {
            self.on_late_receipt(now, message);
        }
    }

    /// Handles a receipt that proves that a message took effect after its attempt was abandoned.
    fn on_late_receipt(&mut self, now: Time, message: MessageId) {
        let Some(record) = self.state.messages.get(message) else { return };
        match record.outcome {
            Some(FinalOutcome::Delivered) => {}
            Some(outcome) => self.state.commands.push(Command::LateReceipt { message, outcome }),
            // The policy is told that the message is cancelled: an attempt in flight continues, and no new one is
            // sent.
            None => self.state.complete_without_policy(now, message, FinalOutcome::Delivered),
        }
    }

    // ---- Endpoints ----

    /// Reports a `Retry-After` header as soon as the response head is read. It applies even if the rest of the response
    /// never arrives or is no longer awaited.
    pub fn on_retry_after(&mut self, now: Time, endpoint: EndpointId, wait: Duration) {
        self.state.notify_policy(now, Event::RetryAfter { endpoint, wait });
    }

    /// Replaces the whole endpoint list and notifies the policy of it.
    pub fn update_endpoints(&mut self, now: Time, endpoints: Vec<Endpoint>) {
        self.state.endpoints.replace(endpoints);
        self.state.notify_endpoint_snapshot(now);
    }

    /// Reports the result of a [`Command::Probe`]: whether the connection opened, and how long that took.
    pub fn on_probe_completed(&mut self, now: Time, endpoint: EndpointId, opened: bool, latency: Duration) {
        let outcome = if opened { AttemptOutcome::Ok } else { AttemptOutcome::ConnectFailed };
        self.state.notify_policy(now, Event::ProbeCompleted { endpoint, outcome, latency });
    }

    // ---- Pausing, shutdown and time-outs ----

    /// Pauses or resumes sending. While paused, no new attempt is sent; attempts in flight end as usual.
    pub fn set_sending_paused(&mut self, paused: bool) {
        self.state.sending_paused = paused;
        self.state.has_policy_events = true;
    }

    /// Whether [`Engine::set_sending_paused`] has paused sending.
    pub fn is_sending_paused(&self) -> bool {
        self.state.sending_paused
    }

    /// Whether the policy has events that it has not acted on since the last [`Engine::advance`]. False while sending
    /// is paused.
    pub fn has_pending_events(&self) -> bool {
        self.state.has_policy_events && !self.state.sending_paused
    }

    /// Starts the shutdown: no submission is admitted any more, and at `deadline` all pending messages are completed
    /// with the outcome that is known by then. Later calls have no effect.
    pub fn shut_down_by(&mut self, deadline: Time) {
        self.shutdown_deadline.get_or_insert(deadline);
    }

    /// The latest time at which [`Engine::advance`] must be called; `None` if nothing is scheduled.
    pub fn next_timeout(&self) -> Option<Time> {
        let timeouts = [
            self.state.failover.next_timeout(),
            self.state.policy_timers.next_deadline(),
            self.state.requests.next_timeout(),
            self.state.fallback_completions.next_deadline(),
            self.shutdown_deadline.filter(|_| self.pending_messages() > 0),
        ];
        timeouts.into_iter().flatten().min()
    }

    /// Times out the attempts that are due and returns the resulting commands. Call this before handling the events of
    /// a poll if a response that arrives after the time-out must be ignored: a timed-out attempt accepts no response.
    pub fn time_out_attempts(&mut self, now: Time) -> Vec<Command> {
        self.state.time_out_attempts(now);
        std::mem::take(&mut self.state.commands)
    }

    /// Ends the attempts whose response is held with that response, and returns the resulting commands. To be called before
    /// the process ends: the next one would know only that they may have taken effect.
    pub fn credit_held_responses(&mut self, now: Time) -> Vec<Command> {
        for message in self.state.messages.ids_with_held_response() {
            self.state.abandon_attempt(now, message, AttemptOutcome::Abandoned);
        }
        std::mem::take(&mut self.state.commands)
    }

    /// Lets the policy act on everything that happened up to `now` and returns the resulting commands. Call this after
    /// every batch of events and at [`Engine::next_timeout`].
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
