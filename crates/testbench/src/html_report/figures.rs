//! Builds the rows of the tables in a report.

use crate::experiment::{column_values, confidence_interval, ConfidenceInterval};
use crate::table::Table;
use std::collections::{BTreeMap, BTreeSet};

/// The policy whose lead over each other policy is reported.
const OWN_POLICY: &str = "planner";
/// The column in which policies are compared for the lead.
const LEAD_COLUMN: &str = "worst_ten_s";
/// Decimal places of the leads and of the figures by class.
const LEAD_DIGITS: usize = 3;

/// A column of the summary table.
struct Figure {
    /// Name of the column in the record.
    column: &'static str,
    heading: &'static str,
    /// Decimal places.
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

/// Headings of the table by class.
pub(super) const CLASS_HEADINGS: [&str; 6] =
    ["class", "policy", "half within s", "99 of 100 within s", "late", "not delivered"];
/// Columns of the record that the table by class shows after class and policy.
const CLASS_COLUMNS: [&str; 4] = ["p50_s", "p99_s", "late", "not_delivered"];

fn cell(interval: ConfidenceInterval, digits: usize) -> String {
    match interval.count {
        0 => "-".into(),
        _ => format!("{:.digits$} ± {:.digits$}", interval.mean, interval.half_width),
    }
}

/// One row for each policy of a scenario: the mean and confidence interval of each figure, and the lead of the policy
/// `planner` in the worst ten seconds, as the mean of the differences for each seed.
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

/// One row for each class and policy of a scenario, with the columns of [`CLASS_HEADINGS`].
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
