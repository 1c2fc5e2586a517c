//! Confidence intervals against tabulated values, independence of the record from threads, errors of invalid files.

use super::{
    confidence_interval, run_experiment, ConfidenceInterval, Experiment, NamedScenario, ScenarioOverrides,
};
use cloverstile_simulator::SpilloverPolicy;

#[test]
fn confidence_interval_uses_students_t() {
    // Five values with mean 3 and standard deviation sqrt(2.5). The tabulated t for four degrees of freedom is 2.776.
    let interval = confidence_interval([1.0, 2.0, 3.0, 4.0, 5.0, f64::NAN].into_iter());
    assert_eq!((interval.mean, interval.count), (3.0, 5));
    assert!((interval.half_width - 2.776 * (2.5_f64 / 5.0).sqrt()).abs() < 1e-3, "{interval:?}");
    let single = ConfidenceInterval { mean: 7.0, half_width: 0.0, count: 1 };
    assert_eq!(confidence_interval([7.0].into_iter()), single);
}

#[test]
fn record_is_independent_of_threads_and_invalid_files_are_explained() {
    let (_, text) = cloverstile_simulator::FAILOVER_SCENARIOS[0];
    let mut scenario = cloverstile_simulator::read_failover_scenario(text).unwrap();
    let overrides = ScenarioOverrides { seconds: Some(4.0), rate: Some(100.0), ..Default::default() };
    overrides.apply(&mut scenario);
    let scenarios = [NamedScenario { name: "surge".to_owned(), scenario }];
    let run = |threads| run_experiment(&scenarios, &SpilloverPolicy::ALL, 2, threads, &|_, _| {});
    let (one, many) = (run(1), run(3));
    assert_eq!(one.runs.row_count(), 8);
    assert_eq!(format!("{one:?}"), format!("{many:?}"));
    let error = |text: &str| Experiment::parse(text).unwrap_err().to_string();
    assert!(error("seeds = 0\nscenario \"surge\" {}").contains("above zero"));
    assert!(error("seeds = 1\npolicies = [\"x\"]\nscenario \"surge\" {}").contains("'x'"));
}
