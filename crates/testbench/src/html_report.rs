//! Writes a self-contained HTML page with tables and SVG plots of an experiment's record.

mod figures;
mod plot;

pub use figures::{summary_headings, summary_rows};

use crate::table::{Table, TableError};
use figures::{class_rows, CLASS_HEADINGS};
use plot::{lines_by_policy, Line, Plot, PlotError, Reference};
use std::collections::BTreeSet;
use std::fmt::Write;
use std::path::Path;

/// File names of the record's tables: runs, seconds, windows and classes.
pub const RECORD_FILES: [&str; 4] = ["runs.parquet", "seconds.parquet", "windows.parquet", "classes.parquet"];
/// Name of the optional file with the cost of a decision by number of endpoints.
pub const SCALE_FILE: &str = "scale.parquet";
/// File name of the HTML page.
pub const PAGE_FILE: &str = "report.html";

const PAGE_HEAD: &str =
    "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>Losing and regaining a zone</title>\n\
     <style>body{font:15px sans-serif;max-width:1100px;margin:2em auto;padding:0 1em}table{border-collapse:\
     collapse;margin:1em 0}th,td{border:1px solid #bbb;padding:.25em .6em;text-align:right}th:first-child,\
     td:first-child{text-align:left}svg{max-width:100%;height:auto}</style></head>\n<body>\n\
     <h1>Losing and regaining a zone</h1>\n<p>From simulated servers, on virtual time. Means over seeds with 95 % \
     intervals (Student's t); the lead is taken seed by seed.</p>\n";

/// An error while a report is read, drawn or written.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// A table of the record can't be read.
    #[error(transparent)]
    Table(#[from] TableError),
    /// A plot can't be drawn.
    #[error(transparent)]
    Plot(#[from] PlotError),
    /// A file can't be written.
    #[error("{file}: {error}")]
    Write {
        /// Path of the file.
        file: String,
        /// The error of the operating system.
        #[source]
        error: std::io::Error,
    },
}

/// The tables of an experiment's record, one for each of [`RECORD_FILES`].
struct Tables {
    runs: Table,
    seconds: Table,
    windows: Table,
    classes: Table,
}

impl Tables {
    fn read(folder: &Path) -> Result<Tables, TableError> {
        let [runs, seconds, windows, classes] = RECORD_FILES.map(|file| Table::read(&folder.join(file)));
        Ok(Tables { runs: runs?, seconds: seconds?, windows: windows?, classes: classes? })
    }
}

/// Writes the HTML page and each SVG plot of a record to the record's folder, and returns the page.
///
/// # Errors
/// The record can't be read, a plot can't be drawn, or a file can't be written.
pub fn write_report(folder: &Path) -> Result<String, ReportError> {
    let tables = Tables::read(folder)?;
    let mut page = String::from(PAGE_HEAD);
    let scenarios: BTreeSet<&String> = tables.runs.text_column("scenario").iter().collect();
    for scenario in scenarios {
        write_scenario(&mut page, folder, &tables, scenario)?;
    }
    if let Ok(scale) = Table::read(&folder.join(SCALE_FILE)) {
        let svg = scale_plot(&scale).to_svg()?;
        write_file(&folder.join("scale.svg"), &svg)?;
        let _ = write!(page, "<h2>Size</h2>\n{svg}");
    }
    page.push_str("</body></html>\n");
    write_file(&folder.join(PAGE_FILE), &page)?;
    Ok(page)
}

fn write_file(file: &Path, text: &str) -> Result<(), ReportError> {
    std::fs::write(file, text).map_err(|error| ReportError::Write { file: file.display().to_string(), error })
}

fn write_scenario(
    page: &mut String,
    folder: &Path,
    tables: &Tables,
    scenario: &str,
) -> Result<(), ReportError> {
    let seeds: BTreeSet<u64> = tables.runs.number_column("seed").iter().map(|seed| *seed as u64).collect();
    let _ = write!(page, "<h2>{scenario}</h2>\n<p>{} seeds.</p>\n", seeds.len());
    page.push_str(&html_table(&summary_headings(), &summary_rows(&tables.runs, scenario)));
    for (name, plot) in scenario_plots(tables, scenario) {
        let svg = plot.to_svg()?;
        write_file(&folder.join(format!("{}-{name}.svg", scenario.replace(['/', '.'], "-"))), &svg)?;
        page.push_str(&svg);
    }
    page.push_str("\n<h3>By class</h3>\n");
    page.push_str(&html_table(&CLASS_HEADINGS, &class_rows(&tables.classes, scenario)));
    Ok(())
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

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn maximum(values: &[f64]) -> f64 {
    values.iter().copied().fold(0.0, f64::max)
}

/// The plots of a scenario, each with the suffix of its file name.
fn scenario_plots(tables: &Tables, scenario: &str) -> [(&'static str, Plot<'static>); 4] {
    let windows =
        |column: &str, aggregate| lines_by_policy(&tables.windows, scenario, ["after_ms", column], aggregate);
    let seconds = |column: &str| lines_by_policy(&tables.seconds, scenario, ["second", column], mean);
    let load = Plot {
        title: "Load of the fullest recovering site, worst seed",
        x_label: "ms since its return",
        y_label: "of what it survives",
        lines: windows("fullest_of_bound", maximum),
        reference: Some(Reference { y: 1.0, name: "what it survives" }),
    };
    let capacity = Plot {
        title: "The same, mean over seeds",
        x_label: "ms since its return",
        y_label: "of what it serves",
        lines: windows("fullest_of_capacity", mean),
        reference: Some(Reference { y: 1.0, name: "what it serves" }),
    };
    let spill = Plot {
        title: "Messages that spilled to the second tier",
        x_label: "second",
        y_label: "of those submitted",
        lines: seconds("spilt_of_handed"),
        reference: None,
    };
    let value = Plot {
        title: "Value delivered in each second",
        x_label: "second",
        y_label: "value",
        lines: seconds("worth_delivered"),
        reference: None,
    };
    [("load", load), ("capacity", capacity), ("spill", spill), ("worth", value)]
}

fn scale_plot(scale: &Table) -> Plot<'static> {
    let column = "us_a_turn";
    let points =
        scale.number_column("endpoints").iter().copied().zip(scale.number_column(column).iter().copied());
    Plot {
        title: "Cost of a decision as endpoints grow",
        x_label: "endpoints",
        y_label: "microseconds a turn",
        lines: vec![Line { name: column.to_owned(), points: points.collect() }],
        reference: None,
    }
}
