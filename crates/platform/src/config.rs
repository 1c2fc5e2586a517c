//! The JSON configuration. Its nested settings are flattened to lines of `path=value`, the input of the policy's
//! parser.

use crate::endpoint_list_response::EndpointListResponse;
use crate::settings_validation::{validate, InvalidSetting};
use cloverstile::{parse_settings, ParsedSettings, SettingError};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// Why a configuration can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// It is not JSON, or a field is missing or has the wrong type; the error names the field.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The value of a field is invalid.
    #[error("{field}: '{value}' is no {allowed}")]
    InvalidValue {
        /// Name of the field in the configuration file.
        field: &'static str,
        /// The value, as it stands in the file.
        value: String,
        /// Description of the allowed values.
        allowed: &'static str,
    },
    /// The policy's parser rejected a setting.
    #[error("settings: {0}")]
    Setting(#[from] SettingError),
    /// A required setting is missing or has a value that is not allowed.
    #[error("settings: {0}")]
    InvalidSetting(#[from] InvalidSetting),
}

/// Machine resources that the gateway may use.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(default)]
pub struct Limits {
    /// CPU time, in cores.
    pub cores: f64,
    /// Memory, in MB.
    pub memory_mb: f64,
    /// Number of file descriptors.
    pub sockets: usize,
    /// Size of the state directory, in MB.
    pub disk_mb: f64,
}

impl Default for Limits {
    /// The least that the platform provides, for limits that the configuration does not set.
    fn default() -> Self {
        Limits { cores: 1.0, memory_mb: 32.0, sockets: 256, disk_mb: 1.0 }
    }
}

/// The configuration file before its values are checked.
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

/// A valid configuration.
#[derive(Debug)]
pub struct Config {
    /// Name of the gateway instance, for its log lines.
    pub name: String,
    /// Address on which the gateway accepts clients.
    pub listen: SocketAddr,
    /// Address of the discovery agent.
    pub discovery: SocketAddr,
    /// Seed of the policy's random numbers; `None` if the configuration sets none.
    pub seed: Option<u64>,
    /// Machine resources that the gateway may use.
    pub limits: Limits,
    /// The last endpoint list that this gateway had, if the configuration holds one.
    pub known_endpoints: Option<EndpointListResponse>,
    /// Settings of the policy, and the indices of load report fields in [`SettingNames::report_fields`].
    pub parsed_settings: ParsedSettings,
    /// Names of what the settings refer to by index.
    pub names: SettingNames,
}

/// Names of what the settings refer to by index. Each list is in the order of the settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettingNames {
    /// Names of the message classes: `Lanes.N.Name` for index `N`.
    pub classes: Vec<String>,
    /// Names of the endpoint kinds: the list `MachineTypes`.
    pub kinds: Vec<String>,
    /// Names of the zones: the list `Zones`.
    pub zones: Vec<String>,
    /// Names of the fields in load reports: the list `Report.Fields`.
    pub report_fields: Vec<String>,
}

impl SettingNames {
    fn from_settings(settings: &Value) -> Self {
        let classes = settings["Lanes"].as_array().map_or(&[][..], Vec::as_slice);
        SettingNames {
            classes: classes.iter().map(|class| string(&class["Name"]).unwrap_or_default()).collect(),
            kinds: string_list(&settings["MachineTypes"]),
            zones: string_list(&settings["Zones"]),
            report_fields: string_list(&settings["Report"]["Fields"]),
        }
    }
}

fn string(value: &Value) -> Option<String> {
    value.as_str().map(str::to_owned)
}

fn string_list(values: &Value) -> Vec<String> {
    values.as_array().into_iter().flatten().filter_map(string).collect()
}

fn parse_address(field: &'static str, value: &str) -> Result<SocketAddr, ConfigError> {
    let allowed = "address and port, such as 10.0.0.4:6379";
    value.parse().map_err(|_| ConfigError::InvalidValue { field, value: value.to_owned(), allowed })
}

fn parse_seed(value: &str) -> Result<u64, ConfigError> {
    let (field, allowed) = ("seed", "number of up to 16 hexadecimal digits");
    u64::from_str_radix(value, 16).map_err(|_| ConfigError::InvalidValue {
        field,
        value: value.to_owned(),
        allowed,
    })
}

/// Parses and checks a configuration.
///
/// # Errors
///
/// The text is not JSON, or a field or setting is missing or invalid.
pub fn parse(text: &str) -> Result<Config, ConfigError> {
    let file: ConfigFile = serde_json::from_str(text)?;
    let lines = flatten_settings(&file.settings);
    validate(&lines)?;
    Ok(Config {
        listen: parse_address("listen", &file.listen)?,
        discovery: parse_address("discovery", &file.discovery)?,
        seed: file.seed.as_deref().map(parse_seed).transpose()?,
        parsed_settings: parse_settings(&lines)?,
        names: SettingNames::from_settings(&file.settings),
        name: file.name,
        limits: file.limits,
        known_endpoints: file.known,
    })
}

/// Flattens nested settings to lines of `path=value`, the format of the simulator's first message. Lists of plain
/// values are joined by commas, lists of objects have their length under `.count`, and spaces, commas and line breaks
/// in values become underscores.
pub fn flatten_settings(settings: &Value) -> String {
    let mut lines = String::new();
    flatten("", settings, &mut lines);
    lines
}

fn format_value(value: &Value) -> String {
    match value {
        Value::String(text) => text.replace([' ', ',', '\n', '\r'], "_"),
        Value::Null => String::new(),
        other => other.to_string(),
    }
}

fn flatten(path: &str, value: &Value, lines: &mut String) {
    let child_path = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
    match value {
        Value::Object(fields) => {
            fields.iter().for_each(|(name, value)| flatten(&child_path(name), value, lines));
        }
        Value::Array(items) if items.iter().any(Value::is_object) => {
            lines.push_str(&format!("{path}.count={}\n", items.len()));
            for (index, item) in items.iter().enumerate() {
                flatten(&child_path(&index.to_string()), item, lines);
            }
        }
        Value::Array(items) => {
            let values: Vec<String> = items.iter().map(format_value).collect();
            lines.push_str(&format!("{path}={}\n", values.join(",")));
        }
        other => lines.push_str(&format!("{path}={}\n", format_value(other))),
    }
}
