//! Load balance scenarios: deterministic runs, invariants, and differences that the metrics show.

use cloverstile_load_metrics::{measure, LoadMetrics};
use cloverstile_simulator::{
    read_load_balance_scenario, simulate_load_balance, ClientPolicy, EndpointSelection, Limiter,
    LoadBalanceRun, LoadBalanceScenario, LOAD_BALANCE_SCENARIOS,
};
use std::time::Duration;

fn scenario(name: &str, instances: usize) -> LoadBalanceScenario {
    let (_, text) = LOAD_BALANCE_SCENARIOS.iter().find(|(known, _)| *known == name).expect("it comes along");
    read_load_balance_scenario(text).expect("it is right").scaled(instances)
}

fn figures(scenario: &LoadBalanceScenario, run: &LoadBalanceRun) -> LoadMetrics {
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
fn least_in_flight_with_first_of_equals_shows_a_thundering_herd() {
    let scenario = scenario("calm", 100);
    let peak = |who| figures(&scenario, &simulate_load_balance(&scenario, who, 1)).observed.peak_over_mean;
    let herd = peak(ClientPolicy::Baseline(EndpointSelection::LeastInFlight, Limiter::None));
    let chance = peak(ClientPolicy::Baseline(EndpointSelection::Random, Limiter::None));
    assert!(herd > 2.0 * chance, "{herd} against {chance}");
}

#[test]
fn invalid_scenarios_are_rejected_with_block_and_reason() {
    let (_, calm) = LOAD_BALANCE_SCENARIOS[0];
    let wrong = |from: &str, to: &str| match read_load_balance_scenario(&calm.replacen(from, to, 1)) {
        Ok(_) => panic!("{from} -> {to} was taken"),
        Err(error) => error.to_string(),
    };
    assert!(wrong("limit         = 95", "limit = -1").contains("bank"));
    assert!(wrong("effect   = \"unsafe\"", "effect = \"odd\"").contains("salary-payment"));
    assert!(wrong("rate      = 600", "rate = 0").contains("rate"));
    assert!(wrong("skew", "screw").contains("screw"));
}
