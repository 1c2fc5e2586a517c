//! What the engine keeps of one message, from its submission until its outcome is evicted.

use crate::message::{FinalOutcome, SubmitRequest};
use crate::requests::InFlightAttempt;
use cloverstile::{
    Class, ClassId, DestinationId, Effect, Group, MessageId, OrderKey, Settings, Submission, TenantId, Time,
};
use std::time::Duration;

/// The state of one message.
pub(crate) struct MessageRecord {
    /// The id by which the policy knows it.
    pub policy_id: MessageId,
    /// Attempt numbers used up before the policy's numbering of this message began.
    pub policy_attempt_offset: u16,
    pub class: ClassId,
    /// The destination that it was submitted for.
    pub partner: DestinationId,
    /// Which of the partner's tiers it waits for.
    pub tier: DestinationId,
    /// It has not yet been counted towards the share that may leave this tier.
    pub spill_undecided: bool,
    pub order_key: Option<OrderKey>,
    pub tenant: TenantId,
    pub client: u32,
    pub idempotency_key: String,
    pub fingerprint: [u8; 32],
    pub deadline: Time,
    /// Attempt numbers used, those of attempts that were not started included.
    pub attempts: u16,
    /// Attempts that were not started; they do not count towards the limit.
    pub not_started: u16,
    pub in_flight: Option<InFlightAttempt>,
    /// Some attempt may have taken effect.
    pub may_have_run: bool,
    pub outcome: Option<FinalOutcome>,
    /// Its outcome has left the result cache; the record goes once no attempt is in flight.
    pub evicted: bool,
}

impl MessageRecord {
    /// The record of a message that has just been submitted.
    pub fn new(id: MessageId, request: &SubmitRequest) -> Self {
        MessageRecord {
            policy_id: id,
            policy_attempt_offset: 0,
            class: request.class,
            partner: request.destination,
            tier: request.destination,
            spill_undecided: true,
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

    /// The settings of its class; none where they name no such class.
    pub fn class_settings<'a>(&self, settings: &'a Settings) -> Option<&'a Class> {
        settings.classes.get(usize::from(self.class.0))
    }

    /// The priority weight of its class; zero where the settings name no such class.
    pub fn priority_weight(&self, settings: &Settings) -> f64 {
        self.class_settings(settings).map_or(0.0, |class| class.priority_weight)
    }

    /// Its order key, if its class is delivered in order.
    pub fn ordering_key(&self, settings: &Settings) -> Option<OrderKey> {
        let ordered = self.class_settings(settings).is_some_and(|class| class.ordered);
        self.order_key.filter(|_| ordered)
    }

    /// The number of its latest attempt; zero before the first.
    pub fn last_attempt(&self) -> u16 {
        self.attempts.saturating_sub(1)
    }

    /// Attempts that count towards the limit.
    pub fn counted_attempts(&self) -> u32 {
        u32::from(self.attempts.saturating_sub(self.not_started))
    }

    /// Whether it is neither completed nor in flight, and has an attempt left.
    pub fn may_attempt(&self, settings: &Settings) -> bool {
        self.outcome.is_none() && self.in_flight.is_none() && self.counted_attempts() < settings.max_attempts
    }

    /// Whether it may change its tier now; its place in the queue of its order key is looked at apart.
    ///
    /// Never while an attempt is in flight; never an unsafe one that may have run; a keyed one that may have run only
    /// where all tiers belong to one group that drops duplicates.
    pub fn may_migrate(&self, settings: &Settings) -> bool {
        let Some(class) = self.class_settings(settings) else { return false };
        let repeat_is_safe = match (self.may_have_run, class.effect) {
            (false, _) | (true, Effect::Safe) => true,
            (true, Effect::Keyed) => class.group == Group::All,
            (true, Effect::Unsafe) => false,
        };
        repeat_is_safe && self.may_attempt(settings)
    }

    /// The outcome where the policy is not asked: rejected only if nothing can have taken effect. An attempt that was
    /// decided on and not sent can't.
    pub fn outcome_without_policy(&self) -> FinalOutcome {
        if self.may_have_run || self.in_flight.is_some_and(|attempt| attempt.started) {
            FinalOutcome::Failed
        } else {
            FinalOutcome::Rejected(Duration::ZERO)
        }
    }

    /// The submission as the policy gets it.
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
