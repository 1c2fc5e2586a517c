//! Rows of the tables in a report.

use crate::experiment::{column_values, confidence_interval, ConfidenceInterval};
use crate::table::Table;
use std::collections::{BTreeMap, BTreeSet};

/// The policy whose lead over each other is reported.
const OWN_POLICY: &str = "planner";
/// The column in which the lead is taken.
const LEAD_COLUMN: &str = "worst_ten_s";
/// Digits behind the point of leads and of the figures of classes.
const LEAD_DIGITS: usize = 3;

/// A column of the table of figures.
struct Figure {
    /// Its name in the record.
    column: &'static str,
    heading: &'static str,
    /// Digits behind the point.
    digits: usize,
}

const fn figure(column: &'static str, heading: &'static str, digits: usize) -> Figure {
    Figure { column, heading, digits }
}

const FIGURES: [Figure; 8] = [
    figure("worth", "worth", 3),
    figure("worst_ten_s", "worst 10 s", 3),
    figure("full_service_s", "full service after s", 1),
    figure("windows_over_bound", "windows over bound", 2),
    figure("worst_of_bound", "fullest window of bound", 2),
    figure("worst_of_capacity", "... of capacity", 2),
    figure("worst_spill", "spill of its share, worst second", 2),
    figure("broken", "rules broken", 2),
];

/// Headings of the table of classes.
pub(super) const CLASS_HEADINGS: [&str; 6] =
    ["class", "policy", "half within s", "99 of 100 within s", "late", "not delivered"];
/// Columns of the record for the table of classes, behind class and policy.
const CLASS_COLUMNS: [&str; 4] = ["p50_s", "p99_s", "late", "not_delivered"];

fn cell(interval: ConfidenceInterval, digits: usize) -> String {
    match interval.count {
        0 => "-".into(),
        _ => format!("{:.digits$} ± {:.digits$}", interval.mean, interval.half_width),
    }
}

/// The figures of a scenario as rows: policy, mean and interval of each figure, and the lead of the policy `planner`
/// over each other on the worst ten seconds, seed by seed.
pub fn summary_rows(runs: &Table, scenario: &str) -> Vec<Vec<String>> {
    let policies: BTreeSet<&String> = runs.text_column("policy").iter().collect();
    let own = column_values(runs, scenario, OWN_POLICY, LEAD_COLUMN);
    let row = |policy: &String| {
        let mut row = vec![policy.clone()];
        for Figure { column, digits, .. } in FIGURES {
            let values = column_values(runs, scenario, policy, column);
            row.push(cell(confidence_interval(values.into_iter()), digits));
        }
        let other = column_values(runs, scenario, policy, LEAD_COLUMN);
        let lead = own.iter().zip(&other).map(|(own, other)| own - other);
        let is_own = policy == OWN_POLICY;
        row.push(if is_own { "-".into() } else { cell(confidence_interval(lead), LEAD_DIGITS) });
        row
    };
    policies.into_iter().map(row).collect()
}

/// Headings of [`summary_rows`].
pub fn summary_headings() -> Vec<&'static str> {
    let figures = FIGURES.iter().map(|figure| figure.heading);
    std::iter::once("policy").chain(figures).chain(["planner's lead, worst 10 s"]).collect()
}

/// The figures of a scenario's classes as rows, under [`CLASS_HEADINGS`].
pub(super) fn class_rows(classes: &Table, scenario: &str) -> Vec<Vec<String>> {
    let mut values: BTreeMap<(&str, &str), [Vec<f64>; 4]> = BTreeMap::new();
    let columns = CLASS_COLUMNS.map(|name| classes.number_column(name));
    for row in 0..classes.row_count() {
        if classes.text_column("scenario").get(row).is_some_and(|of| of == scenario) {
            let key =
                (classes.text_column("class")[row].as_str(), classes.text_column("policy")[row].as_str());
            for (values, column) in values.entry(key).or_default().iter_mut().zip(columns) {
                values.extend(column.get(row));
            }
        }
    }
    let row = |((class, policy), values): ((&str, &str), [Vec<f64>; 4])| {
        let mut row = vec![class.to_owned(), policy.to_owned()];
        let cells = values.into_iter().map(|values| confidence_interval(values.into_iter()));
        row.extend(cells.map(|interval| cell(interval, LEAD_DIGITS)));
        row
    };
    values.into_iter().map(row).collect()
}
