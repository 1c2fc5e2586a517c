//! Admission: accepted messages, their quotas and deadlines, final answers, and load shedding.

use crate::interface::{
    Action, DestinationId, Effect, MessageId, RecoveredAttempts, Submission, TenantId, Time,
};
use crate::policy_state::{
    instance_count, routes_of, warm_up_s, FirstSend, Message, PolicyState, QuotaBalance, RouteState,
};
use std::time::Duration;

/// Part of a tenant's quota assumed to be this instance's, in fair shares; traffic is not even.
const QUOTA_FAIR_SHARES: f64 = 1.25;
/// Share of the messages that may be queued above which those of least priority are shed.
const SHED_THRESHOLD: f64 = 0.93;

/// A message that may be shed: one for a healthy destination, then of higher priority, then older is kept.
struct Sheddable {
    healthy: bool,
    priority: f64,
    id: MessageId,
}

impl PolicyState {
    pub fn on_submitted(&mut self, now: Time, submission: Submission) {
        let Some(class) = self.settings.classes.get(usize::from(submission.class.0)) else { return };
        // Where clients mark resubmitted messages, a new one with little time left is not an old one.
        let marked = self.settings.clients_mark_retries;
        let new = marked && !submission.resubmitted && !submission.from_lost_instance;
        let submitted_at = if new { now } else { (submission.deadline - class.deadline).min(now) };
        // A keyed message of a lost instance may have run there at any time since it was submitted.
        let may_have_run = submission.from_lost_instance && class.effect == Effect::Keyed;
        let (id, destination, tenant) = (submission.id, submission.destination, submission.tenant);
        self.enqueue(&submission);
        self.record_demand(now, destination, warm_up_s(&self.settings));
        let mut message = Message::new(submission, submitted_at, now);
        message.over_quota = self.is_over_quota(now, tenant);
        message.first_may_have_run = may_have_run.then_some(FirstSend { sent_at: submitted_at, zone: None });
        self.messages.insert(id, message);
    }

    /// Attempts of an earlier process may still run, also of messages that nobody knows any longer: every key
    /// cools down.
    pub fn on_restarted(&mut self, now: Time) {
        self.all_keys_cooldown = now + self.settings.rules.key_cooldown;
    }

    /// A restart forgives nothing: attempts used stay used, and the window runs from the first one that may
    /// have run. What can never go again is answered at once.
    pub fn on_recovered(&mut self, now: Time, submission: Submission, past: RecoveredAttempts) {
        let id = submission.id;
        self.on_submitted(now, submission);
        let Some(message) = self.messages.get_mut(&id) else { return };
        message.restore(past);
        let Some(message) = self.messages.get(&id) else { return };
        self.set_deadline(self.last_send_time(message).max(now).min(message.submission.deadline), id);
    }

    /// Whether a tenant is past its quota for all instances together: what passes the part assumed to be this
    /// instance's, saved up over the warm-up time (a second's is under one message), is over quota.
    fn is_over_quota(&mut self, now: Time, tenant: TenantId) -> bool {
        let Some(quota) = self.settings.tenants.get(tenant.0 as usize).map(|t| t.quota) else { return false };
        let part = (QUOTA_FAIR_SHARES / instance_count(&self.settings)).min(1.0);
        let most = quota * part * warm_up_s(&self.settings);
        let balance =
            self.quota_balances.entry(tenant).or_insert(QuotaBalance { messages: most, refilled_at: now });
        balance.refill(now, quota, part, most);
        !balance.take_one()
    }

    /// The final answer that a message may be given now; none while an attempt may still deliver it.
    fn permitted_final_answer(&self, now: Time, id: MessageId) -> Option<Action> {
        let message = self.messages.get(&id).filter(|message| !message.completed)?;
        let rejectable = match self.class(message).effect {
            Effect::Safe => true,
            _ => message.first_may_have_run.is_none() && message.in_flight.is_none(),
        };
        let retry_after = self.client_retry_after(now, message.submission.destination);
        let rejection = Action::Reject { message: id, retry_after };
        Some(if rejectable { rejection } else { Action::Fail { message: id } })
    }

    /// How long a client had better stay away: until this instance may next send to the destination.
    fn client_retry_after(&self, now: Time, to: DestinationId) -> Duration {
        let available = |route: &RouteState| {
            route.retry_after_until.max(route.outage.as_ref().map_or(now, |outage| outage.next_probe))
        };
        let soonest = self.routes.range(routes_of(to)).map(|(_, route)| available(route)).min();
        soonest.map_or(Duration::ZERO, |at| at - now).min(self.settings.max_retry_after.unwrap_or_default())
    }

    fn finish(&mut self, now: Time, id: MessageId) {
        self.actions.extend(self.permitted_final_answer(now, id));
        self.complete(id);
    }

    /// Every message has a deadline that answers it in time; one in flight is left half of the answer grace.
    pub fn expire_due(&mut self, now: Time) {
        while let Some(id) = self.take_due(now) {
            let Some(message) = self.messages.get(&id).filter(|message| !message.completed) else { continue };
            let grace_end = message.submission.deadline + self.settings.rules.answer_grace / 2;
            if message.in_flight.is_some() && now < grace_end {
                self.set_deadline(grace_end, id);
            } else {
                self.finish(now, id);
            }
        }
    }

    /// Nearly full: what waits for an outage and what has least priority goes before new messages do.
    pub fn shed_load(&mut self, now: Time) {
        let most = (self.settings.max_queued as f64 * SHED_THRESHOLD) as usize;
        while self.open_messages > most {
            let waits = |m: &&Message| !m.completed && m.in_flight.is_none() && !m.is_recovered_untried();
            let ranked = self.messages.values().filter(waits).map(|message| Sheddable {
                healthy: self.has_healthy_route(message.submission.destination),
                priority: self.priority(now, message),
                id: message.submission.id,
            });
            let least = ranked.min_by(|a, b| {
                let by_priority = a.priority.total_cmp(&b.priority);
                a.healthy.cmp(&b.healthy).then(by_priority).then(b.id.cmp(&a.id))
            });
            let Some(least) = least else { return };
            self.finish(now, least.id);
        }
    }
}
