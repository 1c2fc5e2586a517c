//! Loads scenarios by the name of a built-in one, or from a file.

use std::fmt::Display;

/// Parses the built-in scenario of this name, or else the file at this path.
pub fn load<T, E: Display>(
    name: &str,
    built_in: &[(&str, &str)],
    parse: impl FnOnce(&str) -> Result<T, E>,
) -> Result<T, String> {
    let text = match built_in.iter().find(|(known, _)| *known == name) {
        Some((_, text)) => (*text).to_owned(),
        None => std::fs::read_to_string(name).map_err(|error| {
            let names: Vec<&str> = built_in.iter().map(|(known, _)| *known).collect();
            format!("{name}: {error}; built-in scenarios: {}", names.join(", "))
        })?,
    };
    parse(&text).map_err(|error| format!("{name}: {error}"))
}
