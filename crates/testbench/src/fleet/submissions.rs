//! Submission of messages by the clients, and handling of the gateways' replies.

use super::clients::SubmissionReply;
use super::harness_state::HarnessState;
use super::invariants::FinalOutcome;
use super::timers::Timer;
use cloverstile_net::ConnId;
use cloverstile_simulator::Arrival;
use std::time::Duration;

/// Delay after which a client retries a failed connection; its gateway may be restarting.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);
/// Content of every message. The partner model ignores it.
const CONTENT: &[u8] = b"a payslip";
/// Trace id of every submission: none.
const EMPTY_TRACE_ID: &[u8] = b"0000000000000000";

impl HarnessState<'_> {
    /// Submits a randomly drawn message and schedules the next submission, unless that is after the end of the
    /// scenario.
    pub(super) fn submit_next(&mut self, now: Duration) {
        let next = now + self.traffic.draw_interarrival_time(&mut self.rng);
        if next.as_secs_f64() < self.scenario.seconds {
            self.timers.schedule(next, Timer::NextSubmission);
        }
        let Arrival { class, partner, instance: gateway } = self.traffic.draw_arrival(&mut self.rng);
        let message = self.tracker.on_submission(now, gateway, partner, class);
        self.submit(now, message);
    }

    /// Submits a message on an idle connection, or opens one and submits the message when it is established.
    pub(super) fn submit(&mut self, now: Duration, message: usize) {
        let Some(gateway) = self.tracker.message(message).map(|tracked| tracked.gateway) else { return };
        if let Some(connection) = self.clients.reuse_idle(gateway, message) {
            self.send_submission(now, connection, message);
        } else if let Some(supervisor) = &self.supervisor {
            let connection = self.net.connect(supervisor.address(gateway));
            self.clients.on_connecting(connection, gateway, message);
        }
    }

    /// Sends the submission for which a client connection was opened.
    pub(super) fn on_client_connected(&mut self, connection: ConnId) {
        let now = self.started.elapsed();
        if let Some(message) = self.clients.on_connected(connection) {
            self.send_submission(now, connection, message);
        }
    }

    fn send_submission(&mut self, now: Duration, connection: ConnId, index: usize) {
        let Some(message) = self.tracker.message(index) else { return };
        let Some((name, class)) = self.scenario.class.iter().nth(message.class) else { return };
        let remaining = message.deadline.saturating_sub(now).as_millis();
        let key = if class.effect == "keyed" { format!(",k=k{index:x}") } else { String::new() };
        let fields = format!("c={name},d={remaining}{key},dest={}", message.partner);
        let id = format!("{index:016x}");
        let words: [&[u8]; 5] = [b"MSG.PUT", EMPTY_TRACE_ID, id.as_bytes(), fields.as_bytes(), CONTENT];
        self.net.send(connection, &cloverstile_resp::encode_command(&words));
    }

    /// Handles bytes that a client received from its gateway.
    pub(super) fn on_client_bytes(&mut self, now: Duration, connection: ConnId, bytes: &[u8]) {
        match self.clients.on_bytes(connection, bytes) {
            Some((message, SubmissionReply::Accepted)) => self.tracker.on_accepted(now, message),
            Some((message, SubmissionReply::Busy)) => {
                self.tracker.on_final_outcome(now, message, FinalOutcome::Rejected);
            }
            Some((message, SubmissionReply::Failed)) => {
                self.tracker.on_final_outcome(now, message, FinalOutcome::Failed);
            }
            None => {}
        }
    }

    /// Handles a client connection that closed or could not be established: fails its submission or schedules a retry.
    pub(super) fn on_client_closed(&mut self, now: Duration, connection: ConnId) {
        let Some(unanswered) = self.clients.on_closed(connection) else { return };
        let message = unanswered.message;
        let too_late =
            self.tracker.message(message).is_none_or(|tracked| now + RECONNECT_DELAY >= tracked.deadline);
        if unanswered.was_connected || too_late {
            // Without a reply, the client can't tell whether the gateway accepted the message. It gives up here, as it
            // does when no time is left to connect again.
            self.tracker.on_final_outcome(now, message, FinalOutcome::Failed);
        } else {
            self.timers.schedule(now + RECONNECT_DELAY, Timer::RetrySubmission { message });
        }
    }
}
