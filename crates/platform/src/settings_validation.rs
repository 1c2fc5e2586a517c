//! Validation of the settings: which are required, and which values they may have.
//!
//! The platform documents no default for any of these settings, and a guessed default would be some other customer's
//! value. A missing setting is therefore rejected, with its path. The policy's own parser is more lenient, as the
//! simulator tries settings that no deployment has.

use std::collections::HashMap;

/// The values that a setting may have.
#[derive(Clone, Copy)]
enum Allowed {
    /// A name or a list of names; the policy's parser checks that it knows them.
    Names,
    /// `true` or `false`.
    Flag,
    /// A whole number in this range.
    Integer { min: u64, max: u64 },
    /// A whole number of nanoseconds, not below `min`.
    Nanoseconds { min: u64 },
    /// A number in this range.
    Number { min: f64, max: f64 },
}

impl Allowed {
    const POSITIVE_INTEGER: Allowed = Allowed::Integer { min: 1, max: u32::MAX as u64 };
    const POSITIVE_NUMBER: Allowed = Allowed::Number { min: f64::MIN_POSITIVE, max: UNBOUNDED };
    const NON_NEGATIVE_NUMBER: Allowed = Allowed::Number { min: 0.0, max: UNBOUNDED };
    const SHARE: Allowed = Allowed::Number { min: 0.0, max: 1.0 };
    const DURATION: Allowed = Allowed::Nanoseconds { min: 0 };
    const POSITIVE_DURATION: Allowed = Allowed::Nanoseconds { min: 1 };
}

/// Maximum of a number without an upper limit.
const UNBOUNDED: f64 = f64::MAX;
/// Maximum number of classes. The index of a class is a byte, and the gateway adds a class after those of the settings.
const MAX_CLASSES: u64 = 250;

/// A required setting.
struct RequiredSetting {
    path: &'static str,
    allowed: Allowed,
}

const fn required(path: &'static str, allowed: Allowed) -> RequiredSetting {
    RequiredSetting { path, allowed }
}

/// Settings that every deployment requires. A number must be positive if the gateway divides by it, or if nothing could
/// ever be sent with 0.
const REQUIRED: &[RequiredSetting] = &[
    required("Balancers", Allowed::POSITIVE_INTEGER),
    required("ClientHabits.MarksRetry", Allowed::Flag),
    required("Discovery", Allowed::Names),
    required("FamilyInfo.CallsOut", Allowed::POSITIVE_INTEGER),
    required("FamilyInfo.Decay", Allowed::Names),
    required("FamilyInfo.KindBatch", Allowed::Names),
    required("FamilyInfo.OwnLimits", Allowed::Names),
    required("Lanes.count", Allowed::Integer { min: 1, max: MAX_CLASSES }),
    required("Locality", Allowed::Integer { min: 0, max: 255 }),
    required("MachineTypes", Allowed::Names),
    required("Permissions.Cancel", Allowed::Flag),
    required("Permissions.ConnIdle", Allowed::POSITIVE_DURATION),
    required("Permissions.ConnectTimeout", Allowed::POSITIVE_DURATION),
    required("Permissions.MostHeld", Allowed::POSITIVE_INTEGER),
    required("Permissions.RetryAfter", Allowed::Flag),
    required("Permissions.SendCap", Allowed::POSITIVE_INTEGER),
    required("Rules.AnswerSlack", Allowed::DURATION),
    required("Rules.Cold", Allowed::DURATION),
    required("Rules.ColdFrom", Allowed::SHARE),
    required("Rules.Fall", Allowed::POSITIVE_DURATION),
    required("Rules.TipMultiple", Allowed::POSITIVE_NUMBER),
    required("WeightSource", Allowed::Names),
    required("Zones", Allowed::Names),
];

/// Settings that every class requires, with paths relative to `Lanes.N`.
const REQUIRED_OF_CLASS: &[RequiredSetting] = &[
    required("Aim", Allowed::POSITIVE_DURATION),
    required("Deadline", Allowed::POSITIVE_DURATION),
    required("Effect", Allowed::Names),
    required("LateShare", Allowed::SHARE),
    required("Name", Allowed::Names),
    required("Worth", Allowed::NON_NEGATIVE_NUMBER),
];

/// A setting that is missing or invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidSetting {
    /// The setting is missing or empty.
    #[error("{path} is missing: it holds {allowed}")]
    Missing {
        /// Path of the setting, such as `Lanes.0.Aim`.
        path: String,
        /// Description of the allowed values.
        allowed: String,
    },
    /// The setting has a value that is not allowed.
    #[error("{path}: '{value}' is no {allowed}")]
    InvalidValue {
        /// Path of the setting, such as `Lanes.0.Aim`.
        path: String,
        /// The value, as it stands in the settings.
        value: String,
        /// Description of the allowed values.
        allowed: String,
    },
}

impl Allowed {
    fn description(self) -> String {
        match self {
            Allowed::Names => "name or list of names".to_owned(),
            Allowed::Flag => "true or false".to_owned(),
            Allowed::Integer { min, max } => format!("whole number from {min} to {max}"),
            Allowed::Nanoseconds { min } => format!("whole number of nanoseconds, {min} at least"),
            Allowed::Number { min, max: UNBOUNDED } if min > 0.0 => "number above 0".to_owned(),
            Allowed::Number { max: UNBOUNDED, .. } => "number, 0 at least".to_owned(),
            Allowed::Number { min, max } => format!("number from {min} to {max}"),
        }
    }

    fn contains(self, value: &str) -> bool {
        let is_integer = |min, max| value.parse().is_ok_and(|value: u64| (min..=max).contains(&value));
        match self {
            Allowed::Names => true,
            Allowed::Flag => matches!(value, "true" | "false"),
            Allowed::Integer { min, max } => is_integer(min, max),
            Allowed::Nanoseconds { min } => is_integer(min, u64::MAX),
            // No range contains NaN or infinity.
            Allowed::Number { min, max } => {
                value.parse().is_ok_and(|value: f64| (min..=max).contains(&value))
            }
        }
    }
}

/// Settings by path.
struct Settings<'a> {
    values: HashMap<&'a str, &'a str>,
}

impl Settings<'_> {
    /// Checks that a setting is present and has an allowed value.
    fn require(&self, path: &str, allowed: Allowed) -> Result<(), InvalidSetting> {
        let path = path.to_owned();
        match self.values.get(path.as_str()).filter(|value| !value.is_empty()) {
            None => Err(InvalidSetting::Missing { path, allowed: allowed.description() }),
            Some(value) if allowed.contains(value) => Ok(()),
            Some(value) => {
                let value = (*value).to_owned();
                Err(InvalidSetting::InvalidValue { path, value, allowed: allowed.description() })
            }
        }
    }

    fn has_value(&self, path: &str, value: &str) -> bool {
        self.values.get(path).is_some_and(|found| *found == value)
    }

    /// The length of a list, from its `.count` setting; 0 if that is missing or not a number.
    fn list_length(&self, path: &str) -> u16 {
        self.values.get(path).and_then(|count| count.parse().ok()).unwrap_or(0)
    }

    fn require_class(&self, class: u16) -> Result<(), InvalidSetting> {
        let path = |name: &str| format!("Lanes.{class}.{name}");
        REQUIRED_OF_CLASS
            .iter()
            .try_for_each(|setting| self.require(&path(setting.path), setting.allowed))?;
        if self.has_value(&path("Effect"), "idempotency_key") {
            self.require(&path("Group"), Allowed::Names)?;
            self.require(&path("RepeatWindow"), Allowed::DURATION)?;
        }
        Ok(())
    }
}

/// Checks that the settings, given as lines of `path=value`, contain every required setting with an allowed value.
///
/// # Errors
///
/// The first setting that is missing or has a value that is not allowed.
pub fn validate(lines: &str) -> Result<(), InvalidSetting> {
    let settings = Settings { values: lines.lines().filter_map(|line| line.split_once('=')).collect() };
    REQUIRED.iter().try_for_each(|setting| settings.require(setting.path, setting.allowed))?;
    (0..settings.list_length("Lanes.count")).try_for_each(|class| settings.require_class(class))?;
    let tenants = settings.list_length("Projects.count");
    for tenant in 0..tenants {
        settings.require(&format!("Projects.{tenant}.QuotaPerS"), Allowed::NON_NEGATIVE_NUMBER)?;
    }
    if tenants > 0 {
        settings.require("OverShareWorth", Allowed::NON_NEGATIVE_NUMBER)?;
    }
    if settings.has_value("Permissions.RetryAfter", "true") {
        settings.require("Permissions.MaxRetryAfter", Allowed::DURATION)?;
    }
    if settings.has_value("Discovery", "ask") {
        settings.require("Rules.AskEvery", Allowed::POSITIVE_DURATION)?;
    }
    Ok(())
}
