//! Runs the built-in load balance scenarios: runs are deterministic, keep the invariants, and policies differ in the
//! metrics. Invalid scenarios are rejected.

use cloverstile_load_metrics::{measure, LoadMetrics};
use cloverstile_simulator::{
    read_load_balance_scenario, simulate_load_balance, ClientPolicy, EndpointSelection, Limiter,
    LoadBalanceRun, LoadBalanceScenario, LOAD_BALANCE_SCENARIOS,
};
use std::time::Duration;

fn scenario(name: &str, instances: usize) -> LoadBalanceScenario {
    let (_, text) =
        LOAD_BALANCE_SCENARIOS.iter().find(|(known, _)| *known == name).expect("a built-in scenario");
    read_load_balance_scenario(text).expect("a valid scenario").scaled(instances)
}

fn load_metrics(scenario: &LoadBalanceScenario, run: &LoadBalanceRun) -> LoadMetrics {
    measure(&run.record, Duration::from_secs_f64(scenario.balance_window), 1)
}

#[test]
fn same_seed_repeats_a_run_and_another_seed_does_not() {
    let scenario = scenario("burst", 40);
    let [first, again, other] =
        [1, 1, 2].map(|seed| simulate_load_balance(&scenario, ClientPolicy::Delivery, seed));
    assert_eq!(first.record, again.record);
    assert_ne!(first.record, other.record);
}

#[test]
fn every_scenario_completes_each_message_once_without_violations() {
    for (name, _) in LOAD_BALANCE_SCENARIOS {
        let scenario = scenario(name, 60);
        let run = simulate_load_balance(&scenario, ClientPolicy::Delivery, 3);
        assert_eq!(run.violations.total(), 0, "{name}: {:?}", run.violations);
        assert_eq!(run.outcome_counts.iter().sum::<u64>(), run.record.messages, "{name}");
    }
}

#[test]
fn baseline_clients_complete_every_message() {
    for choice in EndpointSelection::ALL {
        let scenario = scenario("replaced", 30);
        let run = simulate_load_balance(&scenario, ClientPolicy::Baseline(choice, Limiter::Aimd), 1);
        assert_eq!(run.outcome_counts.iter().sum::<u64>(), run.record.messages, "{}", choice.name());
    }
    for limiter in Limiter::ALL {
        let run = simulate_load_balance(
            &scenario("lowered", 30),
            ClientPolicy::Baseline(EndpointSelection::Random, limiter),
            1,
        );
        assert_eq!(run.outcome_counts.iter().sum::<u64>(), run.record.messages, "{}", limiter.name());
    }
}

#[test]
fn least_in_flight_with_ties_to_the_first_endpoint_has_twice_the_peak_load_of_random() {
    let scenario = scenario("calm", 100);
    let peak = |policy| {
        load_metrics(&scenario, &simulate_load_balance(&scenario, policy, 1)).observed.peak_over_mean
    };
    let least_in_flight = peak(ClientPolicy::Baseline(EndpointSelection::LeastInFlight, Limiter::None));
    let random = peak(ClientPolicy::Baseline(EndpointSelection::Random, Limiter::None));
    assert!(
        least_in_flight > 2.0 * random,
        "peak over mean: least in flight {least_in_flight}, random {random}"
    );
}

#[test]
fn invalid_scenarios_are_rejected_with_block_and_reason() {
    let (_, calm) = LOAD_BALANCE_SCENARIOS[0];
    let error_after = |from: &str, to: &str| match read_load_balance_scenario(&calm.replacen(from, to, 1)) {
        Ok(_) => panic!("{from} -> {to} was accepted"),
        Err(error) => error.to_string(),
    };
    assert!(error_after("limit         = 95", "limit = -1").contains("bank"));
    assert!(error_after("effect   = \"unsafe\"", "effect = \"odd\"").contains("salary-payment"));
    assert!(error_after("rate      = 600", "rate = 0").contains("rate"));
    assert!(error_after("skew", "screw").contains("screw"));
}
