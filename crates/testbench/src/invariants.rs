//! Checks the delivery invariants against the record of a run. Does no I/O and never reads gateway logs.
//!
//! Fake partners and clients write the record. Each timestamp is slightly later than the event itself, and timestamps
//! of different threads differ slightly, so every bound has a tolerance of [`CLOCK_SKEW_US`].

mod history;
mod ordering;
mod outcomes;
mod recovery;
mod repeats;
mod report;
mod send_restrictions;
mod settings;

pub use report::{Invariant, InvariantReport, Violation};
pub use settings::{ClassRule, InvariantSettings, PartnerRule, CLOCK_SKEW_US};

use cloverstile_fakes::record::RecordLine;
use history::RunHistory;

/// Checks the record of a whole run against all invariants; violations are sorted by time.
pub fn check_invariants(lines: &[RecordLine], settings: &InvariantSettings) -> InvariantReport {
    let run = RunHistory::from_lines(lines);
    let mut report = InvariantReport {
        messages: run.messages.len(),
        requests: run.messages.values().map(|history| history.requests.len()).sum(),
        ..InvariantReport::default()
    };
    for (id, history) in &run.messages {
        outcomes::check(id, history, &run, settings, &mut report);
        repeats::check(id, history, settings, &mut report);
    }
    ordering::check(&run, settings, &mut report);
    send_restrictions::check(lines, &run, settings, &mut report);
    recovery::check(lines, &run, settings, &mut report);
    report.violations.sort_by_key(|violation| violation.at);
    report
}
