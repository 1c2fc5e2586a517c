//! Progress bars of long commands.

use indicatif::{ProgressBar, ProgressStyle};

/// Creates a progress bar that counts up to `length` in the given unit. `hidden` suppresses it, for JSON output.
pub fn bar(hidden: bool, length: u64, unit: &str) -> ProgressBar {
    let bar = if hidden { ProgressBar::hidden() } else { ProgressBar::new(length) };
    let template = format!("{{bar:40}} {{pos}}/{{len}} {unit}, {{elapsed}} elapsed, {{eta}} to go");
    let style = ProgressStyle::with_template(&template).unwrap_or_else(|_| ProgressStyle::default_bar());
    bar.set_style(style);
    bar
}
