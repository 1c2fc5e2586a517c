//! A log line about clients: the memory that they hold, why they were disconnected, and how many commands were turned away.

use cloverstile::Time;
use cloverstile_memory_budget::Account;
use cloverstile_platform::client_sessions::DisconnectReason;
use std::collections::BTreeMap;
use std::time::Duration;
use tracing::info;

/// Least time between two lines.
const LINE_INTERVAL: Duration = Duration::from_secs(10);
/// Share of its limit above which the peak of an account gets a line.
const REPORTED_SHARE: f64 = 0.5;

/// Counts what happens to clients until the next line.
#[derive(Default)]
pub struct ClientLog {
    /// Number of clients that were disconnected, by the name of the reason.
    disconnected: BTreeMap<&'static str, u64>,
    /// Commands that were read and refused without being executed.
    refused_commands: u64,
    /// Commands that were answered with an error.
    rejected_commands: u64,
    /// Commands that were read and dropped, because their client had left.
    dropped_commands: u64,
    next_line_at: Time,
}

/// The accounts that a line reports.
pub struct ClientAccounts<'a> {
    /// Received bytes that are not executed yet.
    pub input: &'a mut Account,
    /// Replies that are not read yet.
    pub replies: &'a mut Account,
}

impl ClientLog {
    /// Counts a client that is disconnected.
    pub fn on_disconnected(&mut self, reason: &DisconnectReason) {
        *self.disconnected.entry(reason.name()).or_default() += 1;
    }

    /// Counts a client that is closed because it does not read its replies.
    pub fn on_unread_replies(&mut self) {
        *self.disconnected.entry("unread_replies").or_default() += 1;
    }

    /// Counts commands that are refused without being executed.
    pub fn on_refused(&mut self, commands: usize) {
        self.refused_commands += commands as u64;
    }

    /// Counts a command that is answered with an error.
    pub fn on_rejected(&mut self) {
        self.rejected_commands += 1;
    }

    /// Counts commands of a client that has left.
    pub fn on_dropped(&mut self, commands: usize) {
        self.dropped_commands += commands as u64;
    }

    /// Logs a line if one is due and there is something to tell.
    pub fn log_if_due(&mut self, now: Time, clients: usize, accounts: ClientAccounts<'_>) {
        if now >= self.next_line_at {
            self.next_line_at = now + LINE_INTERVAL;
            self.log(clients, accounts);
        }
    }

    /// Logs a line if there is something to tell, and starts to count anew.
    pub fn log(&mut self, clients: usize, ClientAccounts { input, replies }: ClientAccounts<'_>) {
        if !self.has_news() && !is_notable(input) && !is_notable(replies) {
            return;
        }
        info!(
            clients,
            input_bytes = input.held(),
            input_peak = input.take_peak(),
            input_limit = input.limit(),
            reply_bytes = replies.held(),
            reply_peak = replies.take_peak(),
            reply_limit = replies.limit(),
            disconnected = ?self.disconnected,
            refused_commands = self.refused_commands,
            rejected_commands = self.rejected_commands,
            dropped_commands = self.dropped_commands,
            "client connections"
        );
        *self = ClientLog { next_line_at: self.next_line_at, ..ClientLog::default() };
    }

    /// Whether anything happened but clients that ended in the usual way.
    fn has_news(&self) -> bool {
        let is_usual = |reason: &&str| matches!(*reason, "client_finished" | "idle_timeout" | "shutdown");
        let turned_away = self.refused_commands + self.rejected_commands + self.dropped_commands;
        turned_away > 0 || self.disconnected.keys().any(|reason| !is_usual(reason))
    }
}

fn is_notable(account: &Account) -> bool {
    account.peak() as f64 > account.limit() as f64 * REPORTED_SHARE
}
