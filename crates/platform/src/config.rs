//! The JSON configuration. Its settings become lines of `path=value`, which the policy's one parser reads.

use crate::endpoint_list_response::EndpointListResponse;
use crate::settings_validation::{validate, InvalidSetting};
use cloverstile::{parse_settings, ParsedSettings, SettingError};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// Why a configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// It is not JSON, or a field is missing or of another type; the text names it.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The value of a field can't be used.
    #[error("{field}: '{value}' is no {allowed}")]
    Value {
        /// Name of the field.
        field: &'static str,
        /// Its value.
        value: String,
        /// What is allowed.
        allowed: &'static str,
    },
    /// A setting that the policy can't use.
    #[error("settings: {0}")]
    Setting(#[from] SettingError),
    /// A setting that is missing or has a value that is not allowed.
    #[error("settings: {0}")]
    InvalidSetting(#[from] InvalidSetting),
}

/// Resources of the machine that the gateway may use.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default)]
pub struct Limits {
    /// Share of a core.
    pub cores: f64,
    /// Memory, in MB.
    pub memory_mb: f64,
    /// Number of file descriptors.
    pub sockets: usize,
    /// Size of the state folder, in MB.
    pub disk_mb: f64,
}

impl Default for Limits {
    /// The least that the platform gives, where the configuration does not say.
    fn default() -> Self {
        Limits { cores: 1.0, memory_mb: 32.0, sockets: 256, disk_mb: 1.0 }
    }
}

/// The configuration as it stands in the file.
#[derive(Deserialize)]
struct ConfigFile {
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
    /// Name of the gateway instance.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Address of the discovery agent.
    pub discovery: SocketAddr,
    /// Seed of the policy's random numbers, where there is one.
    pub seed: Option<u64>,
    /// Resources of the machine.
    pub limits: Limits,
    /// The endpoint list as this gateway had it last.
    pub known_endpoints: Option<EndpointListResponse>,
    /// Settings of the policy, and indices of the fields of load reports.
    pub parsed_settings: ParsedSettings,
    /// Names behind the indices in the settings.
    pub names: SettingNames,
}

/// Names in the settings, by index.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettingNames {
    /// Classes of message.
    pub classes: Vec<String>,
    /// Kinds of endpoint.
    pub kinds: Vec<String>,
    /// Zones.
    pub zones: Vec<String>,
    /// Fields of load reports.
    pub report_fields: Vec<String>,
}

impl SettingNames {
    fn of(settings: &Value) -> Self {
        let classes = settings["Lanes"].as_array().map_or(&[][..], Vec::as_slice);
        SettingNames {
            classes: classes.iter().map(|class| text(&class["Name"]).unwrap_or_default()).collect(),
            kinds: texts(&settings["MachineTypes"]),
            zones: texts(&settings["Zones"]),
            report_fields: texts(&settings["Report"]["Fields"]),
        }
    }
}

fn text(value: &Value) -> Option<String> {
    value.as_str().map(str::to_owned)
}

fn texts(values: &Value) -> Vec<String> {
    values.as_array().into_iter().flatten().filter_map(text).collect()
}

fn parse_address(field: &'static str, value: &str) -> Result<SocketAddr, ConfigError> {
    let allowed = "address and port, such as 10.0.0.4:6379";
    value.parse().map_err(|_| ConfigError::Value { field, value: value.to_owned(), allowed })
}

fn parse_seed(value: &str) -> Result<u64, ConfigError> {
    let (field, allowed) = ("seed", "number of up to 16 hexadecimal digits");
    u64::from_str_radix(value, 16).map_err(|_| ConfigError::Value { field, value: value.to_owned(), allowed })
}

/// Parses and checks a configuration.
///
/// # Errors
///
/// Text that is not JSON, a field or setting that is missing, or one whose value can't be used.
pub fn parse(text: &str) -> Result<Config, ConfigError> {
    let file: ConfigFile = serde_json::from_str(text)?;
    let lines = flatten_settings(&file.settings);
    validate(&lines)?;
    Ok(Config {
        listen: parse_address("listen", &file.listen)?,
        discovery: parse_address("discovery", &file.discovery)?,
        seed: file.seed.as_deref().map(parse_seed).transpose()?,
        parsed_settings: parse_settings(&lines)?,
        names: SettingNames::of(&file.settings),
        name: file.name,
        limits: file.limits,
        known_endpoints: file.known,
    })
}

/// Nested settings as lines of `path=value`, as in the simulator's first message: lists of plain values are joined by
/// commas, lists of objects have their length under `.count`, spaces and commas in values become underscores.
pub fn flatten_settings(settings: &Value) -> String {
    let mut lines = String::new();
    flatten("", settings, &mut lines);
    lines
}

fn plain_value(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace([' ', ',', '\n', '\r'], "_"),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}

fn flatten(path: &str, value: &Value, lines: &mut String) {
    let child = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Object(fields) => {
            fields.iter().for_each(|(name, value)| flatten(&child(name), value, lines));
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            lines.push_str(&format!("{path}.count={}\n", items.len()));
            for (index, item) in items.iter().enumerate() {
                flatten(&child(&index.to_string()), item, lines);
            }
        }
        Value::Array(items) => {
            let values: Vec<String> = items.iter().map(plain_value).collect();
            lines.push_str(&format!("{path}={}\n", values.join(",")));
        }
        other => lines.push_str(&format!("{path}={}\n", plain_value(other))),
    }
}
