//! The engine's record of one message, kept from its submission until its outcome is evicted.

use crate::message::{FinalOutcome, SubmitRequest, TransportOutcome};
use crate::requests::InFlightAttempt;
use cloverstile::{
    Class, ClassId, DestinationId, Effect, Group, MessageId, OrderKey, Settings, Submission, TenantId, Time,
};
use std::time::Duration;

/// The state of one message.
pub(crate) struct MessageRecord {
    /// The id under which the policy knows the message; see [`crate::message_table`].
    pub policy_id: MessageId,
    /// Offset between the engine's attempt numbers and the policy's: the attempts made before the policy's numbering
    /// of this message began, plus those that were not started since.
    pub policy_attempt_offset: u16,
    pub class: ClassId,
    /// The destination that the message was submitted for, which is the partner's preferred tier.
    pub partner: DestinationId,
    /// The tier of the partner to which the message is assigned.
    pub tier: DestinationId,
    /// The message has not yet been counted towards the share of messages that may leave this tier.
    pub spill_uncounted: bool,
    pub order_key: Option<OrderKey>,
    pub tenant: TenantId,
    pub client: u32,
    pub idempotency_key: String,
    pub fingerprint: [u8; 32],
    pub deadline: Time,
    /// Number of attempts, including those that were not started.
    pub attempts: u16,
    /// Number of attempts that were not started; they do not count towards the limit.
    pub not_started: u16,
    pub in_flight: Option<InFlightAttempt>,
    /// An earlier attempt may have taken effect, including one of a lost gateway instance or of an earlier process.
    pub may_have_run: bool,
    pub outcome: Option<FinalOutcome>,
    /// The outcome has been evicted from the result cache; the record is removed once no attempt is in flight.
    pub evicted: bool,
}

impl MessageRecord {
    /// Creates the record of a message that has just been submitted.
    pub fn new(id: MessageId, request: &SubmitRequest) -> Self {
        MessageRecord {
            policy_id: id,
            policy_attempt_offset: 0,
            class: request.class,
            partner: request.destination,
            tier: request.destination,
            spill_uncounted: true,
            order_key: request.order_key,
            tenant: request.tenant,
            client: request.client,
            idempotency_key: request.idempotency_key.clone(),
            fingerprint: request.fingerprint,
            deadline: request.deadline,
            attempts: 0,
            not_started: 0,
            in_flight: None,
            may_have_run: request.from_lost_instance,
            outcome: None,
            evicted: false,
        }
    }

    /// The settings of the message's class; `None` if the class is not configured.
    pub fn class_settings<'a>(&self, settings: &'a Settings) -> Option<&'a Class> {
        settings.classes.get(usize::from(self.class.0))
    }

    /// The priority weight of the message's class; zero if the class is not configured.
    pub fn priority_weight(&self, settings: &Settings) -> f64 {
        self.class_settings(settings).map_or(0.0, |class| class.priority_weight)
    }

    /// The message's order key, if its class is delivered in order.
    pub fn ordering_key(&self, settings: &Settings) -> Option<OrderKey> {
        let ordered = self.class_settings(settings).is_some_and(|class| class.ordered);
        self.order_key.filter(|_| ordered)
    }

    /// The number of the latest attempt; zero before the first.
    pub fn last_attempt_number(&self) -> u16 {
        self.attempts.saturating_sub(1)
    }

    /// Number of attempts that count towards the limit.
    pub fn counted_attempts(&self) -> u32 {
        u32::from(self.attempts.saturating_sub(self.not_started))
    }

    /// Whether the message is pending, has no attempt in flight and has an attempt left.
    pub fn may_attempt(&self, settings: &Settings) -> bool {
        self.outcome.is_none() && self.in_flight.is_none() && self.counted_attempts() < settings.max_attempts
    }

    /// Whether the message may move to another tier now. Its position among messages with the same order key is checked
    /// separately.
    ///
    /// A message never moves while an attempt is in flight. If it may have run, an unsafe message never moves, and a
    /// keyed one moves only if all tiers belong to one group that drops duplicates.
    pub fn may_migrate(&self, settings: &Settings) -> bool {
        let Some(class) = self.class_settings(settings) else { return false };
        let repeat_is_safe = match (self.may_have_run, class.effect) {
            (false, _) | (true, Effect::Safe) => true,
            (true, Effect::Keyed) => class.group == Group::All,
            (true, Effect::Unsafe) => false,
        };
        repeat_is_safe && self.may_attempt(settings)
    }

    /// The outcome of a message that is completed without the policy: rejected only if it can't have taken effect. An
    /// attempt that was scheduled but not started can't have taken effect.
    pub fn outcome_without_policy(&self) -> FinalOutcome {
        let held_response = self.in_flight.and_then(|attempt| attempt.held_response);
        if held_response == Some(TransportOutcome::Processed) {
            FinalOutcome::Delivered
        } else if self.may_have_run || self.in_flight.is_some_and(|attempt| attempt.started) {
            FinalOutcome::Failed
        } else {
            FinalOutcome::Rejected(Duration::ZERO)
        }
    }

    /// The submission that is passed to the policy.
    pub fn submission(&self) -> Submission {
        Submission {
            id: self.policy_id,
            class: self.class,
            destination: self.tier,
            key: self.order_key,
            deadline: self.deadline,
            from_lost_instance: self.may_have_run,
            resubmitted: false,
            tenant: self.tenant,
        }
    }
}
