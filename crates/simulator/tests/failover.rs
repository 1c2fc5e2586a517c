//! Failover runs are deterministic, keep the invariants, and report violations.

use cloverstile_simulator::{
    read_failover_scenario, simulate_failover, FailoverScenario, FailoverViolations, SpilloverPolicy,
    FAILOVER_SCENARIOS,
};

fn built_in(name: &str) -> FailoverScenario {
    let (_, text) =
        FAILOVER_SCENARIOS.iter().find(|(known, _)| *known == name).expect("a scenario of that name");
    read_failover_scenario(text).expect("a scenario that can be played")
}

#[test]
fn same_seed_repeats_a_run_and_another_seed_does_not() {
    let mut scenario = built_in("surge");
    scenario.seconds = 12.0;
    let told = |seed| format!("{:?}", simulate_failover(&scenario, SpilloverPolicy::Planner, seed));
    assert!(told(3) == told(3), "two runs of one seed differ");
    assert!(told(3) != told(4), "two seeds give one run");
}

#[test]
fn every_spillover_policy_keeps_the_invariants() {
    let scenario = built_in("surge");
    for policy in SpilloverPolicy::ALL {
        let run = simulate_failover(&scenario, policy, 5);
        assert_eq!(run.violations, FailoverViolations::default(), "{}", policy.name());
        assert!(run.messages.len() > 10_000);
    }
}

#[test]
fn site_collapse_is_reported_as_a_violation() {
    let mut scenario = built_in("surge");
    // Gateways have the same figure in their settings, but cannot keep to so little.
    scenario.rules.overload_multiple = 0.02;
    let run = simulate_failover(&scenario, SpilloverPolicy::NoSpillover, 5);
    assert!(run.violations.collapsed_sites > 0, "{:?}", run.violations);
}

#[test]
fn invalid_scenarios_are_rejected_with_the_reason() {
    let (_, text) = FAILOVER_SCENARIOS[0];
    for (wrong, told) in [
        (text.replace("tier    = 1", "tier    = 2"), "must be 0, 1, 2"),
        (text.replace("kind  = \"refuse\"", "kind  = \"sulk\""), "'sulk' is not known"),
        (text.replace("effect   = \"unsafe\"", "effect   = \"none\""), "safe, keyed or unsafe"),
        (text.replace("rate     = 400", "rate     = 0"), "rate must be above zero"),
        (text.replace("couriers = 8", "carriers = 8"), "carriers"),
    ] {
        let error = read_failover_scenario(&wrong).expect_err(told).to_string();
        assert!(error.contains(told), "{error}");
    }
}
