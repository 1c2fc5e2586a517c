//! Requests of gateways to service discovery: watches (long polls) of the endpoint list, and reports of final outcomes.

use super::invariants::FinalOutcome;
use cloverstile_net::ConnId;
use std::collections::HashMap;

/// Watches of the endpoint list that have no response yet, at most one per connection.
#[derive(Default)]
pub(super) struct Watches {
    /// Number of the open watch, by connection.
    open: HashMap<ConnId, u64>,
    /// Number of the last watch opened. Numbers let a timer detect that its watch was answered or replaced.
    last_number: u64,
}

impl Watches {
    /// Opens a watch and returns its number. It replaces an open watch of the same connection.
    pub fn open(&mut self, connection: ConnId) -> u64 {
        self.last_number += 1;
        self.open.insert(connection, self.last_number);
        self.last_number
    }

    /// Closes a watch. Returns false if it was already answered or replaced.
    pub fn complete(&mut self, connection: ConnId, watch: u64) -> bool {
        let is_open = self.open.get(&connection) == Some(&watch);
        if is_open {
            self.open.remove(&connection);
        }
        is_open
    }

    /// Discards the watch of a closed connection, if any.
    pub fn on_closed(&mut self, connection: ConnId) {
        self.open.remove(&connection);
    }

    /// Connection and number of each open watch, in no particular order.
    pub fn open_watches(&self) -> Vec<(ConnId, u64)> {
        self.open.iter().map(|(connection, watch)| (*connection, *watch)).collect()
    }
}

/// Parses a gateway's report of undelivered messages: one JSON object per line, with the message index in hexadecimal
/// as `id`. The status `deferred` is a rejection, any other a failure. Lines without a valid `id` are skipped.
pub(super) fn parse_final_outcomes(body: &[u8]) -> Vec<(usize, FinalOutcome)> {
    let text = String::from_utf8_lossy(body);
    let parse_line = |line: &str| {
        let notice: serde_json::Value = serde_json::from_str(line).unwrap_or_default();
        let message = usize::from_str_radix(notice["id"].as_str()?, 16).ok()?;
        let rejected = notice["status"] == "deferred";
        Some((message, if rejected { FinalOutcome::Rejected } else { FinalOutcome::Failed }))
    };
    text.lines().filter_map(parse_line).collect()
}
