//! Phases of a graceful shutdown, and the time by which the process exits on its own.
//!
//! Clients still open connections for a moment after the signal, and a process that is killed loses its requests in
//! flight. The gateway therefore first keeps accepting connections, then disconnects its clients, which go to other
//! gateway instances, while it continues to deliver, then sends no new requests, and finally exits before it is killed.

use cloverstile::Time;
use std::time::Duration;

/// How long new connections are accepted after the signal.
const ACCEPT_PERIOD: Duration = Duration::from_millis(450);
/// How long new requests are sent after the signal. Requests in flight have the time from then until [`EXIT_TIMEOUT`]
/// to complete.
const SEND_PERIOD: Duration = Duration::from_millis(2200);
/// Time after the signal at which the process exits even if work is pending. The process is killed 3.7 s after the
/// signal; the difference covers the final flush and a stall of the process of 0.15 s.
const EXIT_TIMEOUT: Duration = Duration::from_millis(3350);
/// How long the process waits before it exits for clients to read their last replies and close. Exiting earlier, with
/// unread bytes, resets their connections. By the platform's protocol, the process is killed no sooner than 3.7 s after
/// the signal.
pub const FINAL_FLUSH_TIMEOUT: Duration = Duration::from_millis(150);

/// Phase of a graceful shutdown, which determines what the gateway still does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// The gateway still does everything, including accepting connections.
    Accepting,
    /// Clients are disconnected between requests; pending messages are delivered.
    Draining,
    /// No new requests are sent; those in flight may complete.
    AwaitingResponses,
    /// The gateway does nothing more: the process exits.
    Finished,
}

/// Amount of unfinished work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PendingWork {
    /// Messages without a final outcome.
    pub messages: usize,
    /// Requests in flight.
    pub requests: usize,
    /// Notifications that the platform has not acknowledged.
    pub notifications: usize,
    /// Whether log records are not stored yet; the next process would not know the outcomes in them.
    pub unstored_records: bool,
    /// Connected clients. Once idle clients are disconnected, those left are new or in the middle of a request.
    pub clients: usize,
}

/// A shutdown that was requested; its phases follow from the time of the request and the pending work.
#[derive(Clone, Copy, Debug)]
pub struct GracefulShutdown {
    requested_at: Time,
}

impl GracefulShutdown {
    /// Starts a shutdown that was requested at the given time.
    pub fn new(requested_at: Time) -> Self {
        GracefulShutdown { requested_at }
    }

    /// The phase at `now`, given the work that is still pending.
    pub fn phase(&self, now: Time, pending: PendingWork) -> ShutdownPhase {
        let elapsed = now - self.requested_at;
        // Pending messages are not waited for: they stay in the log, from which the next process recovers them.
        let has_work_in_flight = pending.requests > 0
            || pending.notifications > 0
            || pending.unstored_records
            || pending.clients > 0;
        match elapsed {
            _ if elapsed < ACCEPT_PERIOD => ShutdownPhase::Accepting,
            _ if elapsed >= EXIT_TIMEOUT || pending == PendingWork::default() => ShutdownPhase::Finished,
            _ if elapsed < SEND_PERIOD => ShutdownPhase::Draining,
            _ if has_work_in_flight => ShutdownPhase::AwaitingResponses,
            _ => ShutdownPhase::Finished,
        }
    }

    /// When the phase next changes if the pending work stays the same.
    pub fn next_timeout(&self, now: Time) -> Time {
        [ACCEPT_PERIOD, SEND_PERIOD, EXIT_TIMEOUT]
            .into_iter()
            .map(|period| self.requested_at + period)
            .find(|at| *at > now)
            .unwrap_or(now)
    }
}
