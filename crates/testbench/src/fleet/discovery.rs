//! Requests that gateways make of service discovery: watches of the endpoint list and final outcomes.

use super::invariants::FinalOutcome;
use cloverstile_net::ConnId;
use std::collections::HashMap;

/// Watches of the endpoint list that wait for a response, at most one on each connection.
#[derive(Default)]
pub(super) struct Watches {
    waiting: HashMap<ConnId, u64>,
    opened: u64,
}

impl Watches {
    /// Notes a new watch and returns its number; it replaces an earlier one of the connection.
    pub fn open(&mut self, connection: ConnId) -> u64 {
        self.opened += 1;
        self.waiting.insert(connection, self.opened);
        self.opened
    }

    /// Ends a watch; false if it has been answered or replaced.
    pub fn complete(&mut self, connection: ConnId, watch: u64) -> bool {
        let waits = self.waiting.get(&connection) == Some(&watch);
        if waits {
            self.waiting.remove(&connection);
        }
        waits
    }

    /// Drops the watch of a closed connection.
    pub fn on_closed(&mut self, connection: ConnId) {
        self.waiting.remove(&connection);
    }

    /// All watches that wait: connection and number.
    pub fn waiting(&self) -> Vec<(ConnId, u64)> {
        self.waiting.iter().map(|(connection, watch)| (*connection, *watch)).collect()
    }
}

/// Reads the final outcomes that a gateway reports, one JSON object a line: message number and outcome.
pub(super) fn read_final_outcomes(body: &[u8]) -> Vec<(usize, FinalOutcome)> {
    let text = String::from_utf8_lossy(body);
    let outcome = |line: &str| {
        let notice: serde_json::Value = serde_json::from_str(line).unwrap_or_default();
        let message = usize::from_str_radix(notice["id"].as_str()?, 16).ok()?;
        let rejected = notice["status"] == "deferred";
        Some((message, if rejected { FinalOutcome::Rejected } else { FinalOutcome::Failed }))
    };
    text.lines().filter_map(outcome).collect()
}
