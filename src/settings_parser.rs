//! Parses [`Settings`] from lines of `path=value`. Unknown paths are ignored.

use crate::interface::{
    Class, Decay, Discovery, Effect, Group, Kind, Rules, Settings, Tenant, WeightSource, ZoneId,
};
use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;
use thiserror::Error;

/// Why a settings text cannot be parsed.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum SettingError {
    /// A line without an equals sign.
    #[error("line {line}: '{text}' is not path=value")]
    InvalidLine {
        /// Number of the line, from 1.
        line: usize,
        /// Content of the line.
        text: String,
    },
    /// A value that the setting does not allow.
    #[error("setting {path}: '{value}' cannot be read")]
    InvalidValue {
        /// Path of the setting.
        path: String,
        /// The rejected value.
        value: String,
    },
}

/// The parsed settings, and the positions of the rate limit values in the load report of a response.
#[derive(Debug)]
pub struct ParsedSettings {
    /// Settings of the delivery policy.
    pub settings: Settings,
    /// Position of the fraction of the rate limit that remains (`x0` in `Report.Fields`).
    pub remaining_field: Option<usize>,
    /// Position of the rate limit (`x1` in `Report.Fields`).
    pub limit_field: Option<usize>,
}

/// The unparsed values of a settings text, by path (such as `Lanes.0.Effect`).
struct SettingValues<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> SettingValues<'a> {
    /// Splits the text into lines, and each line at its first equals sign. Empty lines are skipped.
    fn split(text: &'a str) -> Result<Self, SettingError> {
        let mut values = BTreeMap::new();
        for (index, line) in text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()) {
            let invalid_line = || SettingError::InvalidLine { line: index + 1, text: line.to_owned() };
            let (path, value) = line.split_once('=').ok_or_else(invalid_line)?;
            values.insert(path, value);
        }
        Ok(SettingValues(values))
    }

    /// Parses the value at this path, if there is one.
    fn get<T: FromStr>(&self, path: &str) -> Result<Option<T>, SettingError> {
        self.0.get(path).map(|value| parse(path, value)).transpose()
    }

    /// Parses the value at this path, or returns the default.
    fn get_or<T: FromStr>(&self, path: &str, default: T) -> Result<T, SettingError> {
        Ok(self.get(path)?.unwrap_or(default))
    }

    /// Parses a duration in nanoseconds, or returns the default.
    fn duration_or(&self, path: &str, default: Duration) -> Result<Duration, SettingError> {
        Ok(self.get(path)?.map_or(default, Duration::from_nanos))
    }

    /// Splits a comma-separated list. Empty elements are skipped.
    fn comma_separated(&self, path: &str) -> Vec<&str> {
        self.0
            .get(path)
            .map_or(Vec::new(), |value| value.split(',').filter(|item| !item.is_empty()).collect())
    }

    /// Looks a value up in a table of allowed texts, or returns the default.
    fn choice_or<T>(&self, path: &str, default: T, choices: &[(&str, T)]) -> Result<T, SettingError>
    where
        T: Copy,
    {
        let Some(value) = self.0.get(path) else {
            return Ok(default);
        };
        choices
            .iter()
            .find(|(text, _)| text == value)
            .map(|(_, choice)| *choice)
            .ok_or_else(|| invalid_value(path, value))
    }
}

fn invalid_value(path: &str, value: &str) -> SettingError {
    SettingError::InvalidValue { path: path.to_owned(), value: value.to_owned() }
}

fn parse<T: FromStr>(path: &str, value: &str) -> Result<T, SettingError> {
    value.parse().map_err(|_| invalid_value(path, value))
}

/// Parses settings from lines of `path=value`. A setting that the text leaves out gets its
/// default; a permission that it leaves out is not granted.
///
/// # Errors
///
/// Returns an error for a line without an equals sign, and for a value that its setting does not allow.
pub fn parse_settings(text: &str) -> Result<ParsedSettings, SettingError> {
    let values = SettingValues::split(text)?;
    let defaults = Settings::default();
    let report_fields = values.comma_separated("Report.Fields");
    let report_position = |name: &str| report_fields.iter().position(|field| *field == name);
    let settings = Settings {
        instance_count: values.get_or("Balancers", defaults.instance_count)?,
        zone: values.get("Locality")?.map_or(defaults.zone, ZoneId),
        classes: parse_list(&values, "Lanes", parse_class)?,
        tenants: parse_list(&values, "Projects", parse_tenant)?,
        kinds: parse_kinds(&values)?,
        weights: values.choice_or(
            "WeightSource",
            WeightSource::Ignored,
            &[
                ("silent", WeightSource::Ignored),
                ("nominal", WeightSource::Nominal),
                ("rough", WeightSource::Approximate),
                ("live", WeightSource::Ignored),
            ],
        )?,
        discovery: values.choice_or(
            "Discovery",
            defaults.discovery,
            &[("push", Discovery::Push), ("ask", Discovery::Subscribe)],
        )?,
        decay: values.choice_or(
            "FamilyInfo.Decay",
            defaults.decay,
            &[("line", Decay::Linear), ("halves", Decay::Halving)],
        )?,
        clients_mark_resubmissions: values
            .get_or("ClientHabits.MarksRetry", defaults.clients_mark_resubmissions)?,
        max_retry_after: if values.get_or("Permissions.RetryAfter", false)? {
            values.get("Permissions.MaxRetryAfter")?.map(Duration::from_nanos)
        } else {
            None
        },
        concurrency_limit: values.get_or("FamilyInfo.CallsOut", defaults.concurrency_limit)?,
        max_queued: values.get_or("Permissions.MostHeld", defaults.max_queued)?,
        max_attempts: values.get_or("Permissions.SendCap", defaults.max_attempts)?,
        can_abandon: values.get_or("Permissions.Cancel", false)?,
        allows_hedging: values.get_or("Permissions.SecondCopies", false)?,
        over_quota_weight: values.get_or("OverShareWorth", defaults.over_quota_weight)?,
        connect_timeout: values.duration_or("Permissions.ConnectTimeout", defaults.connect_timeout)?,
        connection_idle_timeout: values
            .duration_or("Permissions.ConnIdle", defaults.connection_idle_timeout)?,
        rules: parse_rules(&values, &defaults.rules)?,
    };
    Ok(ParsedSettings {
        settings,
        remaining_field: report_position("x0"),
        limit_field: report_position("x1"),
    })
}

fn parse_rules(values: &SettingValues, defaults: &Rules) -> Result<Rules, SettingError> {
    Ok(Rules {
        outcome_grace: values.duration_or("Rules.AnswerSlack", defaults.outcome_grace)?,
        warm_up_capacity: values.get_or("Rules.ColdFrom", defaults.warm_up_capacity)?,
        warm_up_time: values.duration_or("Rules.Cold", defaults.warm_up_time)?,
        overload_multiple: values.get_or("Rules.TipMultiple", defaults.overload_multiple)?,
        overload_window: values.duration_or("Rules.Fall", defaults.overload_window)?,
        key_cooldown: values.duration_or("Rules.OrderSettle", defaults.key_cooldown)?,
        discovery_interval: values.duration_or("Rules.AskEvery", defaults.discovery_interval)?,
    })
}

/// Parses a list whose length is at `path.count` and whose items are at `path.0`, `path.1` and so on.
fn parse_list<T>(
    values: &SettingValues,
    path: &str,
    parse_item: fn(&SettingValues, &str) -> Result<T, SettingError>,
) -> Result<Vec<T>, SettingError> {
    let count: u16 = values.get_or(&format!("{path}.count"), 0)?;
    (0..count).map(|index| parse_item(values, &format!("{path}.{index}"))).collect()
}

fn parse_class(values: &SettingValues, path: &str) -> Result<Class, SettingError> {
    let setting = |name: &str| format!("{path}.{name}");
    let defaults = Class::default();
    Ok(Class {
        latency_objective: values.duration_or(&setting("Aim"), defaults.latency_objective)?,
        deadline: values.duration_or(&setting("Deadline"), defaults.deadline)?,
        effect: values.choice_or(
            &setting("Effect"),
            Effect::Unsafe,
            &[
                ("read_like", Effect::Safe),
                ("idempotency_key", Effect::Keyed),
                ("non_idempotent", Effect::Unsafe),
            ],
        )?,
        group: values.choice_or(
            &setting("Group"),
            Group::Zone,
            &[("all", Group::All), ("zone", Group::Zone), ("cell", Group::All)],
        )?,
        retry_window: values.duration_or(&setting("RepeatWindow"), Duration::ZERO)?,
        ordered: values.get_or(&setting("OneAtATime"), false)?,
        priority_weight: values.get_or(&setting("Worth"), defaults.priority_weight)?,
        late_value_ratio: values.get_or(&setting("LateShare"), 0.0)?,
    })
}

fn parse_tenant(values: &SettingValues, path: &str) -> Result<Tenant, SettingError> {
    Ok(Tenant { quota: values.get_or(&format!("{path}.QuotaPerS"), f64::INFINITY)? })
}

/// Parses the kinds from two lists by index. The shorter list is filled up with the defaults: one message per request,
/// shared limits.
fn parse_kinds(values: &SettingValues) -> Result<Vec<Kind>, SettingError> {
    let max_batches = values.comma_separated("FamilyInfo.KindBatch");
    let per_endpoint_limits = values.comma_separated("FamilyInfo.OwnLimits");
    (0..max_batches.len().max(per_endpoint_limits.len()))
        .map(|index| {
            Ok(Kind {
                max_batch: max_batches
                    .get(index)
                    .map_or(Ok(1), |value| parse("FamilyInfo.KindBatch", value))?,
                per_endpoint_limits: per_endpoint_limits
                    .get(index)
                    .map_or(Ok(false), |value| parse("FamilyInfo.OwnLimits", value))?,
            })
        })
        .collect()
}
