//! Progress bars.

use indicatif::{ProgressBar, ProgressStyle};

/// A bar that counts `unit` up to `length`; hidden where JSON is printed.
pub fn bar(hidden: bool, length: u64, unit: &str) -> ProgressBar {
    let bar = if hidden { ProgressBar::hidden() } else { ProgressBar::new(length) };
    let template = format!("{{bar:40}} {{pos}}/{{len}} {unit}, {{elapsed}} elapsed, {{eta}} to go");
    let style = ProgressStyle::with_template(&template).unwrap_or_else(|_| ProgressStyle::default_bar());
    bar.set_style(style);
    bar
}
