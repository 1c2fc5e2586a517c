//! Admission: accepted messages, tenant quotas, deadlines, final outcomes and load shedding.

use crate::interface::{
    Action, DestinationId, Effect, MessageId, RecoveredAttempts, Submission, TenantId, Time,
};
use crate::policy_state::{
    instance_count, route_range, warm_up_s, FirstSend, Message, PolicyState, QuotaBalance, RouteState,
};
use std::time::Duration;

/// This instance's share of a tenant's quota, in fair shares; above 1 because traffic is spread unevenly.
const QUOTA_FAIR_SHARES: f64 = 1.25;
/// Fraction of `max_queued` above which the messages of lowest priority are shed.
const SHED_THRESHOLD: f64 = 0.93;

/// A message that may be shed. Messages for healthy destinations are kept first, then those of higher
/// priority, then older ones.
struct ShedCandidate {
    healthy: bool,
    priority: f64,
    id: MessageId,
}

impl PolicyState {
    /// Accepts a message: queues it and charges its tenant's quota.
    pub fn on_submitted(&mut self, now: Time, submission: Submission) {
        let Some(class) = self.settings.classes.get(usize::from(submission.class.0)) else { return };
        // If clients mark resubmissions, an unmarked message is new, however little time its deadline leaves.
        let marked = self.settings.clients_mark_resubmissions;
        let new = marked && !submission.resubmitted && !submission.from_lost_instance;
        let submitted_at = if new { now } else { (submission.deadline - class.deadline).min(now) };
        // A lost instance may have sent a keyed message at any time since its submission.
        let may_have_run = submission.from_lost_instance && class.effect == Effect::Keyed;
        let (id, destination, tenant) = (submission.id, submission.destination, submission.tenant);
        self.enqueue(&submission);
        self.record_demand(now, destination, warm_up_s(&self.settings));
        let mut message = Message::new(submission, submitted_at, now);
        message.over_quota = self.exceeds_quota(now, tenant);
        message.first_may_have_run = may_have_run.then_some(FirstSend { sent_at: submitted_at, zone: None });
        self.messages.insert(id, message);
    }

    /// Attempts of an earlier process may still be running, even for messages that are no longer known, so a
    /// cooldown applies to every order key.
    pub fn on_restarted(&mut self, now: Time) {
        self.all_keys_cooldown = now + self.settings.rules.key_cooldown;
    }

    /// Attempts made before the restart still count, and the retry window still starts at the first attempt
    /// that may have run. A message that can't be sent again gets its final outcome at once.
    pub fn on_recovered(&mut self, now: Time, submission: Submission, recovered: RecoveredAttempts) {
        let id = submission.id;
        self.on_submitted(now, submission);
        let Some(message) = self.messages.get_mut(&id) else { return };
        message.restore(recovered);
        let Some(message) = self.messages.get(&id) else { return };
        self.schedule_expiry_check(
            self.last_send_time(message).max(now).min(message.submission.deadline),
            id,
        );
    }

    /// Consumes one message of a tenant's quota and returns whether the quota was already used up. The quota
    /// applies to all instances together: the bucket of this one refills at its assumed share and holds the
    /// share of a whole warm-up time, as the share of one second can be less than one message.
    fn exceeds_quota(&mut self, now: Time, tenant: TenantId) -> bool {
        let Some(quota) = self.settings.tenants.get(tenant.0 as usize).map(|t| t.quota) else { return false };
        let share = (QUOTA_FAIR_SHARES / instance_count(&self.settings)).min(1.0);
        let max_balance = quota * share * warm_up_s(&self.settings);
        let balance = self
            .quota_balances
            .entry(tenant)
            .or_insert(QuotaBalance { messages: max_balance, refilled_at: now });
        balance.refill(now, quota, share, max_balance);
        !balance.take_one()
    }

    /// The final outcome that a message may get now; none if it is completed. A message that is not safe to
    /// repeat is rejected only if no attempt may have run and none is in flight; otherwise it fails.
    fn permitted_final_outcome(&self, now: Time, id: MessageId) -> Option<Action> {
        let message = self.messages.get(&id).filter(|message| !message.completed)?;
        let rejectable = match self.class(message).effect {
            Effect::Safe => true,
            _ => message.first_may_have_run.is_none() && message.in_flight.is_none(),
        };
        let retry_after = self.client_retry_after(now, message.submission.destination);
        let rejection = Action::Reject { message: id, retry_after };
        Some(if rejectable { rejection } else { Action::Fail { message: id } })
    }

    /// `Retry-After` for the client: the time until this instance may next send to the destination.
    fn client_retry_after(&self, now: Time, destination: DestinationId) -> Duration {
        let available_at = |route: &RouteState| {
            route.retry_after_until.max(route.outage.as_ref().map_or(now, |outage| outage.next_probe))
        };
        let soonest = self.routes.range(route_range(destination)).map(|(_, route)| available_at(route)).min();
        soonest.map_or(Duration::ZERO, |at| at - now).min(self.settings.max_retry_after.unwrap_or_default())
    }

    /// Gives a message its final outcome and completes it.
    fn finish_message(&mut self, now: Time, id: MessageId) {
        self.actions.extend(self.permitted_final_outcome(now, id));
        self.complete(id);
    }

    /// Gives messages that are due their final outcome. One that is in flight at its deadline may wait for
    /// its response for half of the outcome grace.
    pub fn expire_due_messages(&mut self, now: Time) {
        while let Some(id) = self.pop_due_expiry_check(now) {
            let Some(message) = self.messages.get(&id).filter(|message| !message.completed) else { continue };
            let grace_end = message.submission.deadline + self.settings.rules.outcome_grace / 2;
            if message.in_flight.is_some() && now < grace_end {
                self.schedule_expiry_check(grace_end, id);
            } else {
                self.finish_message(now, id);
            }
        }
    }

    /// Sheds load when the queue is nearly full, so that new messages need not be refused: messages for
    /// destinations in an outage first, then those of lowest priority.
    pub fn shed_load(&mut self, now: Time) {
        let max_messages = (self.settings.max_queued as f64 * SHED_THRESHOLD) as usize;
        while self.open_messages > max_messages {
            let eligible = |m: &&Message| !m.completed && m.in_flight.is_none() && !m.is_recovered_untried();
            let ranked = self.messages.values().filter(eligible).map(|message| ShedCandidate {
                healthy: self.has_healthy_route(message.submission.destination),
                priority: self.priority(now, message),
                id: message.submission.id,
            });
            let lowest = ranked.min_by(|a, b| {
                let by_priority = a.priority.total_cmp(&b.priority);
                a.healthy.cmp(&b.healthy).then(by_priority).then(b.id.cmp(&a.id))
            });
            let Some(lowest) = lowest else { return };
            self.finish_message(now, lowest.id);
        }
    }
}
