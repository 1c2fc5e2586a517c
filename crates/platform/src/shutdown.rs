//! Phases of a graceful shutdown, and when the process ends by itself.
//!
//! New connections keep coming for a moment after the signal, and a process that is killed loses its requests in
//! flight. So the gateway accepts connections for a while, then sends its clients elsewhere while it goes on delivering,
//! then sends nothing new, and ends before it is killed.

use cloverstile::Time;
use std::time::Duration;

/// How long after the signal new connections are accepted.
const ACCEPT_PERIOD: Duration = Duration::from_millis(450);
/// Time after the signal from which nothing new is sent. Requests in flight have what remains until [`END`] to end.
const SEND_PERIOD: Duration = Duration::from_millis(2200);
/// Time after the signal at which the process ends, whatever is pending: it is killed 3.7 s after it, and what remains covers
/// the final flush and a hold-up of 0.15 s.
const END: Duration = Duration::from_millis(3350);
/// How long the end waits for clients to read their last replies and close. Ending before them with bytes unread resets
/// their connections; the kill comes no sooner than 3.7 s after the signal (protocol page).
pub const FINAL_FLUSH_TIMEOUT: Duration = Duration::from_millis(150);

/// What the gateway still does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// Everything.
    Accepting,
    /// Clients are disconnected between requests; pending messages are delivered.
    Draining,
    /// Nothing new is sent; requests in flight may end.
    AwaitingResponses,
    /// Nothing: the process ends.
    Finished,
}

/// Work that is not finished.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PendingWork {
    /// Messages without a final outcome.
    pub messages: usize,
    /// Requests in flight.
    pub requests: usize,
    /// Notifications that were not acknowledged.
    pub notifications: usize,
    /// Some records of the log are not stored: outcomes that the next process would not know.
    pub unstored_records: bool,
    /// Clients that are connected. Once the idle ones are disconnected, these are new, or in the middle of a request.
    pub clients: usize,
}

/// A shutdown that was requested.
#[derive(Clone, Copy, Debug)]
pub struct GracefulShutdown {
    requested_at: Time,
}

impl GracefulShutdown {
    /// A shutdown requested at this time.
    pub fn new(requested_at: Time) -> Self {
        GracefulShutdown { requested_at }
    }

    /// The phase now.
    pub fn phase(&self, now: Time, pending: PendingWork) -> ShutdownPhase {
        let elapsed = now - self.requested_at;
        // Pending messages stay in the log; only what is in flight is worth waiting for.
        let has_work_in_flight = pending.requests > 0
            || pending.notifications > 0
            || pending.unstored_records
            || pending.clients > 0;
        match elapsed {
            _ if elapsed < ACCEPT_PERIOD => ShutdownPhase::Accepting,
            _ if elapsed >= END || pending == PendingWork::default() => ShutdownPhase::Finished,
            _ if elapsed < SEND_PERIOD => ShutdownPhase::Draining,
            _ if has_work_in_flight => ShutdownPhase::AwaitingResponses,
            _ => ShutdownPhase::Finished,
        }
    }

    /// When the phase changes next, if nothing else happens.
    pub fn next_timeout(&self, now: Time) -> Time {
        [ACCEPT_PERIOD, SEND_PERIOD, END]
            .into_iter()
            .map(|period| self.requested_at + period)
            .find(|at| *at > now)
            .unwrap_or(now)
    }
}
