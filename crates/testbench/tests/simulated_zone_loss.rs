//! Simulated zone losses and recoveries in adverse conditions. In each, no invariant is violated, spillover stays within
//! its share, and no recovering zone is overloaded.

use cloverstile_simulator::{read_failover_scenario, simulate_failover, SpilloverPolicy, FAILOVER_SCENARIOS};
use cloverstile_testbench::simulation_metrics::SimulationMetrics;

/// Simulates the built-in scenario `surge`, scaled down and with other faults, and checks the bounds that hold in every
/// case.
fn simulate_surge(gateways: usize, rate: f64, faults: &str) -> SimulationMetrics {
    let (_, text) = FAILOVER_SCENARIOS.iter().find(|(name, _)| *name == "surge").unwrap();
    let begins = text.find("trouble").unwrap();
    let text = format!("{}{faults}", &text[..begins])
        .replace("couriers = 8", &format!("couriers = {gateways}"))
        .replace("rate     = 400", &format!("rate = {rate}"))
        .replace("seconds  = 40", "seconds = 30")
        .replace("servers   = 12", "servers = 5")
        .replace("servers = 5\n  }\n}", "servers = 3\n  }\n}");
    let scenario = read_failover_scenario(&text).unwrap();
    let run = simulate_failover(&scenario, SpilloverPolicy::Planner, 7);
    let metrics = SimulationMetrics::new(&scenario, &run);
    assert_eq!(metrics.violations, 0, "{:?}", run.violations);
    assert_eq!(metrics.windows_over_bound, 0, "{metrics:?}");
    // The bounds exceed the share itself because only whole messages can spill.
    assert!(metrics.peak_spill_ratio <= 1.05, "{metrics:?}");
    assert!(metrics.spill_excess <= 2.0, "{metrics:?}");
    metrics
}

const ZONE_LOST: &str = "trouble \"gone\" {\n kind = \"refuse\"\n at = 6\n lasts = 5\n}\n";

#[test]
fn zone_recovering_cold_in_a_surge_while_gateways_restart() {
    let surge = "trouble \"surge\" {\n kind = \"burst\"\n size = 1.4\n at = 9\n lasts = 8\n}\n";
    let restart = "trouble \"restart\" {\n kind = \"restart\"\n couriers = 3\n at = 9\n}\n";
    let metrics = simulate_surge(8, 150.0, &format!("{ZONE_LOST}{surge}{restart}"));
    assert!(metrics.spilled > 200 && metrics.windows >= 100, "{metrics:?}");
}

#[test]
fn zone_that_flaps_and_zone_that_passes_probes_but_not_load() {
    let flapping =
        "trouble \"flaps\" {\n kind = \"silent\"\n at = 5\n lasts = 2.5\n times = 3\n every = 6\n}\n";
    let metrics = simulate_surge(8, 150.0, flapping);
    assert!(metrics.spilled > 100, "{metrics:?}");
    let frail = "trouble \"frail\" {\n kind = \"frail\"\n size = 2\n at = 5\n lasts = 8\n}\n";
    simulate_surge(8, 150.0, frail);
}

#[test]
fn second_tier_that_fails_while_it_carries_the_spillover() {
    let second_tier_fault = "trouble \"south too\" {\n kind = \"reset\"\n tier = 1\n at = 8\n lasts = 2\n}\n";
    let metrics = simulate_surge(8, 150.0, &format!("{ZONE_LOST}{second_tier_fault}"));
    assert!(metrics.delivered_share > 0.5, "{metrics:?}");
}

#[test]
fn partial_zone_loss_and_drained_slow_zone_lose_little_and_do_not_spill() {
    let partial_loss = "trouble \"half\" {\n kind = \"part\"\n endpoints = 2\n at = 6\n lasts = 8\n}\n";
    let metrics = simulate_surge(8, 120.0, partial_loss);
    assert!(metrics.value_ratio > 0.97, "{metrics:?}");
    let slow = "trouble \"slow\" {\n kind = \"slow\"\n size = 3\n at = 6\n lasts = 5\n}\n\
                trouble \"told\" {\n kind = \"drain\"\n endpoints = 4\n at = 7\n lasts = 3\n}\n";
    let metrics = simulate_surge(8, 60.0, slow);
    assert!(metrics.spilled == 0 && metrics.delivered_share > 0.99, "{metrics:?}");
}

#[test]
fn low_traffic_gateways_detect_a_lost_zone_and_recover_gradually() {
    // A hundred gateways with 1.5 messages per second each.
    let metrics = simulate_surge(100, 150.0, ZONE_LOST);
    assert!(metrics.spilled > 50, "{metrics:?}");
}
