//! Failover simulation: determinism, invariants under every policy, and the report of violations and invalid input.

use cloverstile_simulator::{
    read_failover_scenario, simulate_failover, FailoverScenario, FailoverViolations, SpilloverPolicy,
    FAILOVER_SCENARIOS,
};

fn built_in(name: &str) -> FailoverScenario {
    let (_, text) =
        FAILOVER_SCENARIOS.iter().find(|(known, _)| *known == name).expect("a scenario of that name");
    read_failover_scenario(text).expect("a valid scenario")
}

#[test]
fn simulate_failover_repeats_a_run_for_the_same_seed_only() {
    let mut scenario = built_in("surge");
    scenario.seconds = 12.0;
    let trace = |seed| format!("{:?}", simulate_failover(&scenario, SpilloverPolicy::Planner, seed));
    assert!(trace(3) == trace(3), "two runs of one seed differ");
    assert!(trace(3) != trace(4), "runs of two seeds are identical");
}

#[test]
fn simulate_failover_keeps_the_invariants_under_every_policy() {
    let scenario = built_in("surge");
    for policy in SpilloverPolicy::ALL {
        let run = simulate_failover(&scenario, policy, 5);
        assert_eq!(run.violations, FailoverViolations::default(), "{}", policy.name());
        assert!(run.messages.len() > 10_000);
    }
}

#[test]
fn simulate_failover_reports_a_site_collapse_as_a_violation() {
    let mut scenario = built_in("surge");
    // The gateways' settings use the same value, but no policy can keep the load of a site that low.
    scenario.rules.overload_multiple = 0.02;
    let run = simulate_failover(&scenario, SpilloverPolicy::NoSpillover, 5);
    assert!(run.violations.collapsed_sites > 0, "{:?}", run.violations);
}

#[test]
fn read_failover_scenario_rejects_invalid_text_with_the_reason() {
    let (_, text) = FAILOVER_SCENARIOS[0];
    for (invalid, reason) in [
        (text.replace("tier    = 1", "tier    = 2"), "must be 0, 1, 2"),
        (text.replace("kind  = \"refuse\"", "kind  = \"sulk\""), "'sulk' is not known"),
        (text.replace("effect   = \"unsafe\"", "effect   = \"none\""), "safe, keyed or unsafe"),
        (text.replace("rate     = 400", "rate     = 0"), "rate must be above zero"),
        (text.replace("couriers = 8", "carriers = 8"), "carriers"),
    ] {
        let error = read_failover_scenario(&invalid).expect_err(reason).to_string();
        assert!(error.contains(reason), "{error}");
    }
}
