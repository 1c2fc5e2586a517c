//! What the settings must tell, and what of it can be used.
//!
//! The platform's pages give no default for any of these, and a guess would be another customer's: one that is missing is
//! refused with its name. The module's parser is more lenient, as the simulator tries settings that no deployment has.

use std::collections::HashMap;

/// What a setting holds.
#[derive(Clone, Copy)]
enum Holds {
    /// A word, or several; the parser knows which there are.
    Words,
    /// `true` or `false`.
    Flag,
    /// A whole number between these.
    Whole(u64, u64),
    /// Nanoseconds, this many at least.
    Span(u64),
    /// A number between these.
    Number(f64, f64),
}
use Holds::{Flag, Number, Span, Whole, Words};

const ANY: f64 = f64::MAX;
const MANY: u64 = u32::MAX as u64;

/// A figure that is divided by, or that nothing would ever be sent without, is at least one.
const NEEDED: &[(&str, Holds)] = &[
    ("Balancers", Whole(1, MANY)),
    ("ClientHabits.MarksRetry", Flag),
    ("Discovery", Words),
    ("FamilyInfo.CallsOut", Whole(1, MANY)),
    ("FamilyInfo.Decay", Words),
    ("FamilyInfo.KindBatch", Words),
    ("FamilyInfo.OwnLimits", Words),
    // A class's place is a byte, and one stands behind them all.
    ("Lanes.count", Whole(1, 250)),
    ("Locality", Whole(0, 255)),
    ("MachineTypes", Words),
    ("Permissions.Cancel", Flag),
    ("Permissions.ConnIdle", Span(1)),
    ("Permissions.ConnectTimeout", Span(1)),
    ("Permissions.MostHeld", Whole(1, MANY)),
    ("Permissions.RetryAfter", Flag),
    ("Permissions.SendCap", Whole(1, MANY)),
    ("Rules.AnswerSlack", Span(0)),
    ("Rules.Cold", Span(0)),
    ("Rules.ColdFrom", Number(0.0, 1.0)),
    ("Rules.Fall", Span(1)),
    ("Rules.TipMultiple", Number(f64::MIN_POSITIVE, ANY)),
    ("WeightSource", Words),
    ("Zones", Words),
];
const OF_A_CLASS: &[(&str, Holds)] = &[
    ("Aim", Span(1)),
    ("Deadline", Span(1)),
    ("Effect", Words),
    ("LateShare", Number(0.0, 1.0)),
    ("Name", Words),
    ("Worth", Number(0.0, ANY)),
];

/// A setting that is missing or can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidSetting {
    /// It is not there, or empty.
    #[error("{path} is missing: it holds {wanted}")]
    Missing {
        /// Which.
        path: String,
        /// What is allowed.
        wanted: String,
    },
    /// It holds something else.
    #[error("{path}: '{value}' is no {wanted}")]
    Value {
        /// Which.
        path: String,
        /// What it says.
        value: String,
        /// What is allowed.
        wanted: String,
    },
}

impl Holds {
    fn wanted(self) -> String {
        match self {
            Words => "name or list of names".to_owned(),
            Flag => "true or false".to_owned(),
            Whole(least, most) => format!("whole number from {least} to {most}"),
            Span(least) => format!("whole number of nanoseconds, {least} at least"),
            Number(least, most) if most == ANY && least > 0.0 => "number above 0".to_owned(),
            Number(_, most) if most == ANY => "number, 0 at least".to_owned(),
            Number(least, most) => format!("number from {least} to {most}"),
        }
    }

    fn takes(self, value: &str) -> bool {
        let whole = |least, most| value.parse().is_ok_and(|value: u64| (least..=most).contains(&value));
        match self {
            Words => true,
            Flag => matches!(value, "true" | "false"),
            Whole(least, most) => whole(least, most),
            Span(least) => whole(least, u64::MAX),
            // What is no number, or without end, lies in no range.
            Number(least, most) => value.parse().is_ok_and(|value: f64| (least..=most).contains(&value)),
        }
    }
}

/// Whether the settings, as lines of path=value, tell all that is needed.
pub fn validate(lines: &str) -> Result<(), InvalidSetting> {
    let values: HashMap<&str, &str> = lines.lines().filter_map(|line| line.split_once('=')).collect();
    let holds = |path: &str, what: Holds| match values.get(path).filter(|value| !value.is_empty()) {
        None => Err(InvalidSetting::Missing { path: path.to_owned(), wanted: what.wanted() }),
        Some(value) if what.takes(value) => Ok(()),
        Some(value) => {
            let value = (*value).to_owned();
            Err(InvalidSetting::Value { path: path.to_owned(), value, wanted: what.wanted() })
        }
    };
    NEEDED.iter().try_for_each(|(path, what)| holds(path, *what))?;
    let is = |path: &str, wanted: &str| values.get(path).is_some_and(|value| *value == wanted);
    let count = |path: &str| values.get(path).and_then(|count| count.parse().ok()).unwrap_or(0u16);
    for class in 0..count("Lanes.count") {
        let at = |name: &str| format!("Lanes.{class}.{name}");
        OF_A_CLASS.iter().try_for_each(|(name, what)| holds(&at(name), *what))?;
        if is(&at("Effect"), "idempotency_key") {
            holds(&at("Group"), Words)?;
            holds(&at("RepeatWindow"), Span(0))?;
        }
    }
    for tenant in 0..count("Projects.count") {
        holds(&format!("Projects.{tenant}.QuotaPerS"), Number(0.0, ANY))?;
    }
    if count("Projects.count") > 0 {
        holds("OverShareWorth", Number(0.0, ANY))?;
    }
    if is("Permissions.RetryAfter", "true") {
        holds("Permissions.MaxRetryAfter", Span(0))?;
    }
    if is("Discovery", "ask") {
        holds("Rules.AskEvery", Span(1))?;
    }
    Ok(())
}
