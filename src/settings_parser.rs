//! Parser of the settings: lines of `path=value` to [`Settings`]. Unknown paths are skipped.

use crate::interface::{
    Class, Decay, Discovery, Effect, Group, Kind, Rules, Settings, Tenant, WeightSource, ZoneId,
};
use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;
use thiserror::Error;

/// An error in the text of the settings.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum SettingError {
    /// A line without an equals sign.
    #[error("line {line}: '{text}' is not path=value")]
    InvalidLine {
        /// Its number, from 1.
        line: usize,
        /// Its text.
        text: String,
    },
    /// A value that its setting does not allow.
    #[error("setting {path}: '{value}' cannot be read")]
    InvalidValue {
        /// Path of the setting.
        path: String,
        /// Its text.
        value: String,
    },
}

/// The settings, and the positions of two values in the load report of a response.
#[derive(Debug)]
pub struct ParsedSettings {
    /// Settings of the delivery policy.
    pub settings: Settings,
    /// Position of the part of the rate limit that remains.
    pub remaining_field: Option<usize>,
    /// Position of the rate limit.
    pub limit_field: Option<usize>,
}

/// Values by path.
struct Lines<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Lines<'a> {
    fn split(text: &'a str) -> Result<Self, SettingError> {
        let mut values = BTreeMap::new();
        for (index, line) in text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty()) {
            let unreadable = || SettingError::InvalidLine { line: index + 1, text: line.to_owned() };
            let (path, value) = line.split_once('=').ok_or_else(unreadable)?;
            values.insert(path, value);
        }
        Ok(Lines(values))
    }

    fn get<T: FromStr>(&self, path: &str) -> Result<Option<T>, SettingError> {
        self.0.get(path).map(|value| parse(path, value)).transpose()
    }

    fn or<T: FromStr>(&self, path: &str, absent: T) -> Result<T, SettingError> {
        Ok(self.get(path)?.unwrap_or(absent))
    }

    fn span(&self, path: &str, absent: Duration) -> Result<Duration, SettingError> {
        Ok(self.get(path)?.map_or(absent, Duration::from_nanos))
    }

    fn words(&self, path: &str) -> Vec<&str> {
        self.0.get(path).map_or(Vec::new(), |v| v.split(',').filter(|w| !w.is_empty()).collect())
    }

    fn choice<T>(&self, path: &str, absent: T, known: &[(&str, T)]) -> Result<T, SettingError>
    where
        T: Copy,
    {
        let Some(value) = self.0.get(path) else {
            return Ok(absent);
        };
        known
            .iter()
            .find(|(word, _)| word == value)
            .map(|(_, meaning)| *meaning)
            .ok_or_else(|| bad(path, value))
    }
}

fn bad(path: &str, value: &str) -> SettingError {
    SettingError::InvalidValue { path: path.to_owned(), value: value.to_owned() }
}

fn parse<T: FromStr>(path: &str, value: &str) -> Result<T, SettingError> {
    value.parse().map_err(|_| bad(path, value))
}

/// Parses the text of a `Config` field.
///
/// # Errors
///
/// A line without an equals sign, or a value that its setting does not allow.
pub fn parse_settings(text: &str) -> Result<ParsedSettings, SettingError> {
    let lines = Lines::split(text)?;
    let base = Settings::default();
    let fields = lines.words("Report.Fields");
    let place = |name: &str| fields.iter().position(|field| *field == name);
    let settings = Settings {
        instance_count: lines.or("Balancers", base.instance_count)?,
        zone: lines.get("Locality")?.map_or(base.zone, ZoneId),
        classes: list(&lines, "Lanes", class)?,
        tenants: list(&lines, "Projects", tenant)?,
        kinds: kinds(&lines)?,
        weights: lines.choice(
            "WeightSource",
            WeightSource::Ignored,
            &[
                ("silent", WeightSource::Ignored),
                ("nominal", WeightSource::Nominal),
                ("rough", WeightSource::Approximate),
                ("live", WeightSource::Ignored),
            ],
        )?,
        discovery: lines.choice(
            "Discovery",
            base.discovery,
            &[("push", Discovery::Push), ("ask", Discovery::Subscribe)],
        )?,
        decay: lines.choice(
            "FamilyInfo.Decay",
            base.decay,
            &[("line", Decay::Linear), ("halves", Decay::Halving)],
        )?,
        clients_mark_resubmissions: lines.or("ClientHabits.MarksRetry", base.clients_mark_resubmissions)?,
        max_retry_after: if lines.or("Permissions.RetryAfter", false)? {
            lines.get("Permissions.MaxRetryAfter")?.map(Duration::from_nanos)
        } else {
            None
        },
        concurrency_limit: lines.or("FamilyInfo.CallsOut", base.concurrency_limit)?,
        max_queued: lines.or("Permissions.MostHeld", base.max_queued)?,
        max_attempts: lines.or("Permissions.SendCap", base.max_attempts)?,
        can_abandon: lines.or("Permissions.Cancel", false)?,
        allows_hedging: lines.or("Permissions.SecondCopies", false)?,
        over_quota_weight: lines.or("OverShareWorth", base.over_quota_weight)?,
        connect_timeout: lines.span("Permissions.ConnectTimeout", base.connect_timeout)?,
        connection_idle_timeout: lines.span("Permissions.ConnIdle", base.connection_idle_timeout)?,
        rules: rules(&lines, &base.rules)?,
    };
    Ok(ParsedSettings { settings, remaining_field: place("x0"), limit_field: place("x1") })
}

fn rules(lines: &Lines, base: &Rules) -> Result<Rules, SettingError> {
    Ok(Rules {
        outcome_grace: lines.span("Rules.AnswerSlack", base.outcome_grace)?,
        warm_up_capacity: lines.or("Rules.ColdFrom", base.warm_up_capacity)?,
        warm_up_time: lines.span("Rules.Cold", base.warm_up_time)?,
        overload_multiple: lines.or("Rules.TipMultiple", base.overload_multiple)?,
        overload_window: lines.span("Rules.Fall", base.overload_window)?,
        key_cooldown: lines.span("Rules.OrderSettle", base.key_cooldown)?,
        discovery_interval: lines.span("Rules.AskEvery", base.discovery_interval)?,
    })
}

fn list<T>(
    lines: &Lines,
    path: &str,
    item: fn(&Lines, &str) -> Result<T, SettingError>,
) -> Result<Vec<T>, SettingError> {
    let count: u16 = lines.or(&format!("{path}.count"), 0)?;
    (0..count).map(|index| item(lines, &format!("{path}.{index}"))).collect()
}

fn class(lines: &Lines, path: &str) -> Result<Class, SettingError> {
    let at = |name: &str| format!("{path}.{name}");
    let base = Class::default();
    Ok(Class {
        latency_objective: lines.span(&at("Aim"), base.latency_objective)?,
        deadline: lines.span(&at("Deadline"), base.deadline)?,
        effect: lines.choice(
            &at("Effect"),
            Effect::Unsafe,
            &[
                ("read_like", Effect::Safe),
                ("idempotency_key", Effect::Keyed),
                ("non_idempotent", Effect::Unsafe),
            ],
        )?,
        group: lines.choice(
            &at("Group"),
            Group::Zone,
            &[("all", Group::All), ("zone", Group::Zone), ("cell", Group::All)],
        )?,
        retry_window: lines.span(&at("RepeatWindow"), Duration::ZERO)?,
        ordered: lines.or(&at("OneAtATime"), false)?,
        priority_weight: lines.or(&at("Worth"), base.priority_weight)?,
        late_value_ratio: lines.or(&at("LateShare"), 0.0)?,
    })
}

fn tenant(lines: &Lines, path: &str) -> Result<Tenant, SettingError> {
    Ok(Tenant { quota: lines.or(&format!("{path}.QuotaPerS"), f64::INFINITY)? })
}

fn kinds(lines: &Lines) -> Result<Vec<Kind>, SettingError> {
    let batches = lines.words("FamilyInfo.KindBatch");
    let apart = lines.words("FamilyInfo.OwnLimits");
    (0..batches.len().max(apart.len()))
        .map(|index| {
            Ok(Kind {
                max_batch: batches.get(index).map_or(Ok(1), |v| parse("FamilyInfo.KindBatch", v))?,
                per_endpoint_limits: apart
                    .get(index)
                    .map_or(Ok(false), |v| parse("FamilyInfo.OwnLimits", v))?,
            })
        })
        .collect()
}
