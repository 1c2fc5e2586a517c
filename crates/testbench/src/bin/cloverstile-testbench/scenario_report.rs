//! Prints the results of a fault scenario and writes its record.

use cloverstile_fakes::record::{ObservedEvent, RecordLine};
use cloverstile_testbench::recovery_windows::{recovery_windows, RecoveryWindow};
use cloverstile_testbench::scenario::FaultScenario;
use cloverstile_testbench::scenario_run::RunResult;
use comfy_table::{presets::UTF8_BORDERS_ONLY, Table};
use hdrhistogram::Histogram;
use std::collections::HashMap;
use std::io::Write;
use std::path::Path;

/// Upper bound of the violations printed for each run.
const MAX_VIOLATIONS: usize = 20;
/// Largest answer time that the histogram can hold, in microseconds; longer ones count as this.
const MAX_ANSWER_TIME_US: u64 = 600_000_000;
/// Significant digits of the recorded answer times.
const SIGNIFICANT_DIGITS: u8 = 3;
const HEADINGS: [&str; 9] =
    ["seed", "messages", "delivered", "rejected", "failed", "lost", "late", "repeated", "violations"];

/// Selects what is printed, and the format.
pub struct ReportOptions {
    /// Whether to print each window of a recovering zone.
    pub windows: bool,
    /// Whether to print the report as JSON instead of a table.
    pub json: bool,
}

impl ReportOptions {
    /// Prints each window of recovering zones as a line of JSON, if enabled.
    pub fn print_windows(&self, scenario: &FaultScenario, result: &RunResult) {
        if self.windows {
            for window in recovery_windows(scenario, &result.lines) {
                println!("{}", serde_json::json!(window));
            }
        }
    }

    /// Prints the report of a run as a table or a line of JSON.
    pub fn print_report(&self, scenario: &FaultScenario, seed: u64, result: &RunResult) {
        let times = AnswerTimes::of(&result.lines);
        if self.json {
            print_json(scenario, seed, result, &times);
        } else {
            print_table(seed, result, &times);
        }
    }
}

fn print_json(scenario: &FaultScenario, seed: u64, result: &RunResult, times: &AnswerTimes) {
    let windows = recovery_windows(scenario, &result.lines);
    let over = windows.iter().filter(|window| RecoveryWindow::exceeds_bound(window)).count();
    let report = &result.report;
    let line = serde_json::json!({
        "seed": seed, "messages": report.messages, "answered": report.answered,
        "delivered": report.delivered, "refused": report.rejected, "failed": report.failed,
        "lost_with_courier": report.lost_with_gateway, "never_taken": report.never_accepted,
        "late_answers": report.late_answers, "effects_twice": report.repeated_effects,
        "requests": report.requests, "rules_broken": report.violations.len(),
        "return_windows": windows.len(), "return_windows_over": over, "broken": report.violations,
        "p50_ms": times.quantile_ms(0.5), "p99_ms": times.quantile_ms(0.99),
        "seconds": result.elapsed.as_secs_f64(),
    });
    println!("{line}");
}

fn print_table(seed: u64, result: &RunResult, times: &AnswerTimes) {
    let report = &result.report;
    let mut table = Table::new();
    table.load_preset(UTF8_BORDERS_ONLY);
    table.set_header(HEADINGS);
    let numbers = [
        seed as usize,
        report.messages,
        report.delivered,
        report.rejected,
        report.failed,
        report.lost_with_gateway,
        report.late_answers,
        report.repeated_effects,
        report.violations.len(),
    ];
    table.add_row(numbers.iter().map(usize::to_string));
    println!("{table}");
    let (median, p99) = (times.quantile_ms(0.5), times.quantile_ms(0.99));
    println!("answers: half within {median:.0} ms, 99 of 100 within {p99:.0} ms");
    for violation in report.violations.iter().take(MAX_VIOLATIONS) {
        println!(
            "invariant {}: {} at {:.3} s: {}",
            violation.invariant.name(),
            violation.subject,
            violation.at as f64 / 1e6,
            violation.description
        );
    }
}

/// Distribution of the times from the first submission of a message to its first answer.
struct AnswerTimes {
    /// Answer times in microseconds.
    histogram: Histogram<u64>,
}

impl AnswerTimes {
    fn of(lines: &[RecordLine]) -> AnswerTimes {
        let mut submitted_at: HashMap<&str, u64> = HashMap::new();
        let mut histogram = Histogram::new_with_bounds(1, MAX_ANSWER_TIME_US, SIGNIFICANT_DIGITS)
            .unwrap_or_else(|_| Histogram::new(SIGNIFICANT_DIGITS).expect("valid precision"));
        for line in lines {
            match &line.event {
                ObservedEvent::Submitted { id, .. } => {
                    submitted_at.entry(id).or_insert(line.at);
                }
                ObservedEvent::OutcomeReceived { id, .. } => {
                    if let Some(since) = submitted_at.remove(id.as_str()) {
                        histogram.saturating_record(line.at.saturating_sub(since).max(1));
                    }
                }
                _ => {}
            }
        }
        AnswerTimes { histogram }
    }

    fn quantile_ms(&self, quantile: f64) -> f64 {
        self.histogram.value_at_quantile(quantile) as f64 / 1000.0
    }
}

/// Writes a record to a file, one JSON object per line.
pub fn write_record(path: &Path, lines: &[RecordLine]) -> std::io::Result<()> {
    let mut file = std::io::BufWriter::new(std::fs::File::create(path)?);
    for line in lines {
        serde_json::to_writer(&mut file, line)?;
        file.write_all(b"\n")?;
    }
    file.flush()
}
