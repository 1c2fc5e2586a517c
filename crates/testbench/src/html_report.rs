//! One HTML page, whole in itself, with SVG plots of an experiment's record.

use crate::experiment::{confidence_interval, values, ConfidenceInterval};
use crate::table::{Table, TableError};
use plotters::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::path::Path;

/// Names of the record's files in its folder.
pub const FILES: [&str; 4] = ["runs.parquet", "seconds.parquet", "windows.parquet", "classes.parquet"];
/// Colours of policies, in the order of their names; told apart by those who see no red or no green.
const COLOURS: [RGBColor; 4] =
    [RGBColor(0, 114, 178), RGBColor(213, 94, 0), RGBColor(0, 158, 115), RGBColor(120, 94, 180)];

/// A line of a plot: its name and points.
type Line = (String, Vec<(f64, f64)>);

/// Draws lines as an SVG of its own.
fn plot(title: &str, x: &str, y: &str, lines: &[Line], mark: Option<(f64, &str)>) -> Result<String, String> {
    let points = || lines.iter().flat_map(|(_, points)| points.iter()).filter(|(_, y)| y.is_finite());
    let x_most = points().map(|point| point.0).fold(1e-9, f64::max);
    let y_most = points().map(|point| point.1).chain(mark.map(|(at, _)| at)).fold(1e-9, f64::max) * 1.08;
    let x_least = points().map(|point| point.0).fold(x_most, f64::min);
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (860, 340)).into_drawing_area();
        let wrong = |error: &dyn std::fmt::Display| format!("{title}: {error}");
        area.fill(&WHITE).map_err(|error| wrong(&error))?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 18))
            .margin(8)
            .x_label_area_size(36)
            .y_label_area_size(56)
            .build_cartesian_2d(x_least..x_most, 0.0..y_most)
            .map_err(|error| wrong(&error))?;
        chart
            .configure_mesh()
            .light_line_style(WHITE)
            .x_desc(x)
            .y_desc(y)
            .draw()
            .map_err(|error| wrong(&error))?;
        for (place, (name, line)) in lines.iter().enumerate() {
            let colour = COLOURS[place % COLOURS.len()];
            chart
                .draw_series(LineSeries::new(line.iter().copied(), colour.stroke_width(2)))
                .map_err(|error| wrong(&error))?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
        }
        if let Some((at, name)) = mark {
            let grey = RGBColor(110, 110, 110);
            chart
                .draw_series(LineSeries::new([(x_least, at), (x_most, at)], grey))
                .map_err(|error| wrong(&error))?
                .label(name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], grey));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.3))
            .draw()
            .map_err(|error| wrong(&error))?;
        area.present().map_err(|error| wrong(&error))?;
    }
    Ok(svg)
}

/// For each policy of a scenario: a column over another, put together over the seeds.
fn lines(table: &Table, scenario: &str, x: &str, y: &str, join: fn(&[f64]) -> f64) -> Vec<Line> {
    let mut by: BTreeMap<&str, BTreeMap<u64, Vec<f64>>> = BTreeMap::new();
    let who = table.text("scenario").iter().zip(table.text("policy"));
    for ((of, policy), (x, y)) in who.zip(table.number(x).iter().zip(table.number(y))) {
        if of == scenario {
            by.entry(policy).or_default().entry((*x * 1000.0) as u64).or_default().push(*y);
        }
    }
    let line = |points: BTreeMap<u64, Vec<f64>>| {
        points.into_iter().map(|(x, values)| (x as f64 / 1000.0, join(&values))).collect()
    };
    by.into_iter().map(|(policy, points)| (policy.to_owned(), line(points))).collect()
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn most(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

fn cell(told: ConfidenceInterval, digits: usize) -> String {
    match told.count {
        0 => "-".into(),
        _ => format!("{:.digits$} ± {:.digits$}", told.mean, told.half),
    }
}

/// Columns of the table of figures: name in the record, heading, digits.
const FIGURES: [(&str, &str, usize); 8] = [
    ("worth", "worth", 3),
    ("worst_ten_s", "worst 10 s", 3),
    ("full_service_s", "full service after s", 1),
    ("windows_over_bound", "windows over bound", 2),
    ("worst_of_bound", "fullest window of bound", 2),
    ("worst_of_capacity", "... of capacity", 2),
    ("worst_spill", "spill of its share, worst second", 2),
    ("broken", "rules broken", 2),
];

/// The figures of a scenario as rows: policy, then mean and interval of each figure, and the lead of the first policy
/// named `planner` over each other on the worst ten seconds, seed by seed.
pub fn rows(runs: &Table, scenario: &str) -> Vec<Vec<String>> {
    let policies: BTreeSet<&String> = runs.text("policy").iter().collect();
    let own = values(runs, scenario, "planner", "worst_ten_s");
    let row = |policy: &&String| {
        let mut row = vec![(*policy).clone()];
        for (column, _, digits) in FIGURES {
            row.push(cell(confidence_interval(values(runs, scenario, policy, column).into_iter()), digits));
        }
        let other = values(runs, scenario, policy, "worst_ten_s");
        let lead = own.iter().zip(&other).map(|(own, other)| own - other);
        row.push(if *policy == "planner" { "-".into() } else { cell(confidence_interval(lead), 3) });
        row
    };
    policies.iter().map(row).collect()
}

/// Headings of [`rows`].
pub fn headings() -> Vec<&'static str> {
    let figures = FIGURES.iter().map(|(_, heading, _)| *heading);
    std::iter::once("policy").chain(figures).chain(["planner's lead, worst 10 s"]).collect()
}

fn html_table(headings: &[&str], rows: &[Vec<String>]) -> String {
    let mut text = String::from("<table><tr>");
    for heading in headings {
        let _ = write!(text, "<th>{heading}</th>");
    }
    text.push_str("</tr>\n");
    for row in rows {
        text.push_str("<tr>");
        for cell in row {
            let _ = write!(text, "<td>{cell}</td>");
        }
        text.push_str("</tr>\n");
    }
    text.push_str("</table>\n");
    text
}

fn class_rows(classes: &Table, scenario: &str) -> Vec<Vec<String>> {
    let mut by: BTreeMap<(&str, &str), [Vec<f64>; 4]> = BTreeMap::new();
    let columns = ["p50_s", "p99_s", "late", "not_delivered"].map(|name| classes.number(name));
    for row in 0..classes.rows() {
        if classes.text("scenario").get(row).is_some_and(|of| of == scenario) {
            let who = (classes.text("class")[row].as_str(), classes.text("policy")[row].as_str());
            for (kept, column) in by.entry(who).or_default().iter_mut().zip(columns) {
                kept.extend(column.get(row));
            }
        }
    }
    let row = |((class, policy), kept): ((&str, &str), [Vec<f64>; 4])| {
        let mut row = vec![class.to_owned(), policy.to_owned()];
        row.extend(kept.into_iter().map(|values| cell(confidence_interval(values.into_iter()), 3)));
        row
    };
    by.into_iter().map(row).collect()
}

/// Makes the page from a record's folder; also writes each plot there as an SVG file.
///
/// # Errors
/// The record can't be read, or nothing can be written.
pub fn report(folder: &Path) -> Result<String, String> {
    let read = |name: &str| Table::read(&folder.join(name)).map_err(|error: TableError| error.to_string());
    let [runs, seconds, windows, classes] = FILES.map(read);
    let (runs, seconds, windows, classes) = (runs?, seconds?, windows?, classes?);
    let mut page = String::from(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Losing and regaining a zone</title>\n\
         <style>body{font:15px sans-serif;max-width:1100px;margin:2em auto;padding:0 1em}table{border-collapse:\
         collapse;margin:1em 0}th,td{border:1px solid #bbb;padding:.25em .6em;text-align:right}th:first-child,\
         td:first-child{text-align:left}svg{max-width:100%;height:auto}</style></head>\n<body>\n\
         <h1>Losing and regaining a zone</h1>\n<p>From simulated servers, on virtual time. Means over seeds with 95 % \
         intervals (Student's t); the lead is taken seed by seed.</p>\n",
    );
    let scenarios: BTreeSet<&String> = runs.text("scenario").iter().collect();
    for scenario in scenarios {
        let seeds: BTreeSet<u64> = runs.number("seed").iter().map(|seed| *seed as u64).collect();
        let _ = write!(page, "<h2>{scenario}</h2>\n<p>{} seeds.</p>\n", seeds.len());
        page.push_str(&html_table(&headings(), &rows(&runs, scenario)));
        let plots = [
            (
                "load",
                "Load of the fullest returning site, worst seed",
                "ms since its return",
                "of what it survives",
                lines(&windows, scenario, "after_ms", "fullest_of_bound", most),
                Some((1.0, "what it survives")),
            ),
            (
                "capacity",
                "The same, mean over seeds",
                "ms since its return",
                "of what it serves",
                lines(&windows, scenario, "after_ms", "fullest_of_capacity", mean),
                Some((1.0, "what it serves")),
            ),
            (
                "spill",
                "Messages that went on to the second tier",
                "second",
                "of those handed in",
                lines(&seconds, scenario, "second", "spilt_of_handed", mean),
                None,
            ),
            (
                "worth",
                "Worth delivered in each second",
                "second",
                "worth",
                lines(&seconds, scenario, "second", "worth_delivered", mean),
                None,
            ),
        ];
        for (name, title, x, y, lines, mark) in plots {
            let svg = plot(title, x, y, &lines, mark)?;
            let file = folder.join(format!("{}-{name}.svg", scenario.replace(['/', '.'], "-")));
            std::fs::write(&file, &svg).map_err(|error| format!("{}: {error}", file.display()))?;
            page.push_str(&svg);
        }
        page.push_str("\n<h3>By class</h3>\n");
        let headings = ["class", "policy", "half within s", "99 of 100 within s", "late", "not delivered"];
        page.push_str(&html_table(&headings, &class_rows(&classes, scenario)));
    }
    if let Ok(scale) = read("scale.parquet") {
        let of = |column: &str| -> Line {
            let points = scale.number("endpoints").iter().copied().zip(scale.number(column).iter().copied());
            (column.to_owned(), points.collect())
        };
        let svg = plot(
            "Cost of a decision as endpoints grow",
            "endpoints",
            "microseconds a turn",
            &[of("us_a_turn")],
            None,
        )?;
        let file = folder.join("scale.svg");
        std::fs::write(&file, &svg).map_err(|error| format!("{}: {error}", file.display()))?;
        page.push_str(&format!("<h2>Size</h2>\n{svg}"));
    }
    page.push_str("</body></html>\n");
    let file = folder.join("report.html");
    std::fs::write(&file, &page).map_err(|error| format!("{}: {error}", file.display()))?;
    Ok(page)
}
