//! Means with confidence intervals, from columns of the record.

use crate::table::Table;
use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};

/// Quantile of Student's t distribution at the upper end of a two-sided 95 % interval.
const UPPER_QUANTILE: f64 = 0.975;

/// A mean with the half width of its 95 % confidence interval (Student's t).
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ConfidenceInterval {
    /// The mean; zero without values.
    pub mean: f64,
    /// Half of the interval's width; zero for fewer than two values.
    #[serde(rename = "half")]
    pub half_width: f64,
    /// Number of finite values.
    pub count: usize,
}

/// Computes the mean and its confidence interval. Values that are not finite are skipped.
pub fn confidence_interval(values: impl Iterator<Item = f64>) -> ConfidenceInterval {
    let values: Vec<f64> = values.filter(|value| value.is_finite()).collect();
    let count = values.len();
    let mean = values.iter().sum::<f64>() / count.max(1) as f64;
    let sum_of_squares = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>();
    let half_width = match (count, StudentsT::new(0.0, 1.0, count.saturating_sub(1).max(1) as f64)) {
        (0 | 1, _) | (_, Err(_)) => 0.0,
        (_, Ok(distribution)) => {
            distribution.inverse_cdf(UPPER_QUANTILE)
                * (sum_of_squares / (count - 1) as f64 / count as f64).sqrt()
        }
    };
    ConfidenceInterval { mean, half_width, count }
}

/// Values of a column for the runs of one scenario and policy, in the order of the rows (by seed).
pub fn column_values(runs: &Table, scenario: &str, policy: &str, column: &str) -> Vec<f64> {
    let run_keys = runs.text_column("scenario").iter().zip(runs.text_column("policy"));
    let rows = run_keys.zip(runs.number_column(column));
    rows.filter(|((row_scenario, row_policy), _)| *row_scenario == scenario && *row_policy == policy)
        .map(|(_, value)| *value)
        .collect()
}
