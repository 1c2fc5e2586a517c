//! The JSON configuration. Settings become the path=value lines that the module's one parser reads.

use crate::endpoint_list_response::EndpointListResponse;
use crate::settings_validation::{validate, InvalidSetting};
use cloverstile::{parse_settings, ParsedSettings, SettingError};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// Why a configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// Not JSON, or a field is missing or of another type; the text names it.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// A field's value can't be used.
    #[error("{field}: '{value}' is no {wanted}")]
    Value {
        /// Which.
        field: &'static str,
        /// What it says.
        value: String,
        /// What is allowed.
        wanted: &'static str,
    },
    /// A setting of the module's.
    #[error("settings: {0}")]
    Setting(#[from] SettingError),
    /// A setting that is missing, or that nothing can be done with.
    #[error("settings: {0}")]
    InvalidSetting(#[from] InvalidSetting),
}

/// What the machine gives the courier.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default)]
pub struct Limits {
    /// Share of a core.
    pub cores: f64,
    /// Memory in MB.
    pub memory_mb: f64,
    /// Descriptors.
    pub sockets: usize,
    /// The lasting folder in MB.
    pub disk_mb: f64,
}

impl Default for Limits {
    /// The least that the platform gives, where it does not say.
    fn default() -> Self {
        Limits { cores: 1.0, memory_mb: 32.0, sockets: 256, disk_mb: 1.0 }
    }
}

#[derive(Deserialize)]
struct Raw {
    name: String,
    listen: String,
    discovery: String,
    #[serde(default)]
    seed: Option<String>,
    #[serde(default)]
    limits: Limits,
    #[serde(default)]
    known: Option<EndpointListResponse>,
    settings: Value,
}

/// A checked configuration.
#[derive(Debug)]
pub struct Config {
    /// The courier's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// For the module's random numbers, where one is told.
    pub seed: Option<u64>,
    /// What the machine gives.
    pub limits: Limits,
    /// The endpoint list as this gateway had it last.
    pub known_endpoints: Option<EndpointListResponse>,
    /// What the module is handed, and the places of what load reports tell.
    pub parsed: ParsedSettings,
    /// Names of classes, kinds and zones, by place, and of the fields of load reports.
    pub names: SettingNames,
}

/// Names in the settings, by place.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettingNames {
    /// Classes of message.
    pub classes: Vec<String>,
    /// Kinds of destination.
    pub kinds: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Fields of load reports.
    pub report_fields: Vec<String>,
}

fn address(field: &'static str, value: &str) -> Result<SocketAddr, ConfigError> {
    let wanted = "address and port, such as 10.0.0.4:6379";
    value.parse().map_err(|_| ConfigError::Value { field, value: value.to_owned(), wanted })
}

/// Reads a configuration.
pub fn parse(text: &str) -> Result<Config, ConfigError> {
    let raw: Raw = serde_json::from_str(text)?;
    let seed = raw.seed.map(|seed| {
        let wanted = "number of up to 16 hexadecimal digits";
        u64::from_str_radix(&seed, 16).map_err(|_| ConfigError::Value { field: "seed", value: seed, wanted })
    });
    let settings = &raw.settings;
    let texts = |value: &Value| -> Vec<String> {
        value.as_array().into_iter().flatten().filter_map(|v| v.as_str().map(str::to_owned)).collect()
    };
    let lanes = settings["Lanes"].as_array().map_or(&[][..], Vec::as_slice);
    let names = SettingNames {
        classes: lanes.iter().map(|lane| lane["Name"].as_str().unwrap_or_default().to_owned()).collect(),
        kinds: texts(&settings["MachineTypes"]),
        zones: texts(&settings["Zones"]),
        report_fields: texts(&settings["Report"]["Fields"]),
    };
    let lines = flatten_settings(settings);
    validate(&lines)?;
    Ok(Config {
        name: raw.name,
        listen: address("listen", &raw.listen)?,
        discovery: address("discovery", &raw.discovery)?,
        seed: seed.transpose()?,
        limits: raw.limits,
        known_endpoints: raw.known,
        parsed: parse_settings(&lines)?,
        names,
    })
}

/// Nested settings as lines of path=value, as the simulator's first message has them: lists of plain values joined
/// by commas, lists of objects with their length under `.count`, spaces and commas in values as underscores.
pub fn flatten_settings(settings: &Value) -> String {
    let mut out = String::new();
    flatten("", settings, &mut out);
    out
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace([' ', ',', '\n', '\r'], "_"),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}

fn flatten(path: &str, value: &Value, out: &mut String) {
    let below = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Object(fields) => fields.iter().for_each(|(name, value)| flatten(&below(name), value, out)),
        Value::Array(items) if items.iter().any(Value::is_object) => {
            out.push_str(&format!("{path}.count={}\n", items.len()));
            for (place, item) in items.iter().enumerate() {
                flatten(&below(&place.to_string()), item, out);
            }
        }
        Value::Array(items) => {
            let joined: Vec<String> = items.iter().map(plain).collect();
            out.push_str(&format!("{path}={}\n", joined.join(",")));
        }
        other => out.push_str(&format!("{path}={}\n", plain(other))),
    }
}
