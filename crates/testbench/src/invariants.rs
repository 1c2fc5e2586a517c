//! Checks of the delivery invariants against the record of a run. No I/O; gateway logs are never read.
//!
//! Fake partners and clients write the record. Their times are a little later than what caused them, and those of
//! different threads do not agree to the microsecond: what lies within [`CLOCK_SKEW_US`] of a bound passes.

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

/// Checks a record against all invariants.
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
