//! What a courier that was told to stop still does, and when it ends by itself.
//!
//! New connections keep coming for a moment, and a killed process loses whatever call is out: so it listens on,
//! then sends its clients elsewhere while it delivers on, then sends nothing new, and ends before it is killed.

use cloverstile::Time;
use std::time::Duration;

/// Until when new connections keep coming.
const LISTENS: Duration = Duration::from_millis(450);
/// From when on nothing new is sent: what is out then has this much less than the last moment to end.
const SENDS: Duration = Duration::from_millis(2200);
/// When the courier ends, whatever is out: it is killed a little later.
const ENDS: Duration = Duration::from_millis(3400);
/// How long the end waits for clients to read their last answers and close. Ending before them with bytes unread resets
/// their connections; the kill comes no sooner than 3.7 s after the signal (protocol page).
pub const FINAL_FLUSH_TIMEOUT: Duration = Duration::from_millis(150);

/// What is still done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// Everything.
    Accepting,
    /// Clients are closed between requests; what is held is delivered on.
    Draining,
    /// Nothing new is sent; calls out may end.
    AwaitingResponses,
    /// Nothing: the process ends.
    Finished,
}

/// What is left.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PendingWork {
    /// Messages without an end.
    pub messages: usize,
    /// Calls out.
    pub requests: usize,
    /// Notices not answered.
    pub notifications: usize,
    /// Clients whose request is on its way, once nobody else is left: new ones, and those in the middle of one.
    pub clients: usize,
}

/// A stop that was asked for.
#[derive(Clone, Copy, Debug)]
pub struct GracefulShutdown {
    since: Time,
}

impl GracefulShutdown {
    /// Asked for at this moment.
    pub fn new(since: Time) -> Self {
        GracefulShutdown { since }
    }

    /// What is still done now.
    pub fn phase(&self, now: Time, left: PendingWork) -> ShutdownPhase {
        let passed = now - self.since;
        match passed {
            _ if passed < LISTENS => ShutdownPhase::Accepting,
            _ if passed >= ENDS || left == PendingWork::default() => ShutdownPhase::Finished,
            _ if passed < SENDS => ShutdownPhase::Draining,
            // What is held stays in the log; only what is out or owed is worth waiting for.
            _ if left.requests == 0 && left.notifications == 0 && left.clients == 0 => {
                ShutdownPhase::Finished
            }
            _ => ShutdownPhase::AwaitingResponses,
        }
    }

    /// When the stage changes next, if nothing else happens.
    pub fn next_timeout(&self, now: Time) -> Time {
        let next = [LISTENS, SENDS, ENDS].into_iter().map(|span| self.since + span).find(|at| *at > now);
        next.unwrap_or(now)
    }
}
