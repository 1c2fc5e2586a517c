//! Runs a small fleet of real gateway processes on loopback through gateway restarts, endpoint replacements and traffic
//! bursts, and checks the traffic observed by the load harness.

use cloverstile_simulator::{read_load_balance_scenario, LoadBalanceScenario};
use cloverstile_testbench::fleet::run_fleet;
use cloverstile_testbench::load_report::LoadReport;
use std::path::Path;
use std::time::Duration;

/// The testbench itself, whose subcommand `node` runs the same gateway as `cloverstile node`.
const PROGRAM: &str = env!("CARGO_BIN_EXE_cloverstile-testbench");

fn scenario(seconds: f64, rate: f64, faults: &str) -> LoadBalanceScenario {
    let text = format!(
        r#"
        couriers = 6
        seconds  = {seconds}
        rate     = {rate}
        skew     = 0.7
        window   = 2
        class "payment" {{
          share    = 0.5
          effect   = "unsafe"
          aim      = 1
          deadline = 6
        }}
        class "notice" {{
          share    = 0.5
          effect   = "keyed"
          window   = 4
          aim      = 1
          deadline = 6
        }}
        partner "limited" {{
          share      = 0.5
          endpoints  = 2
          limit      = 90
          span       = 1
          tells_wait = true
        }}
        partner "open" {{
          share     = 0.5
          endpoints = 3
        }}
        {faults}
        "#
    );
    read_load_balance_scenario(&text).expect("the scenario is valid")
}

/// A process that neither was killed by the test nor exited successfully counts as a violation.
#[test]
fn killed_gateways_and_replaced_endpoints_violate_no_invariant_and_idle_no_endpoint() {
    let faults = r#"
        trouble "killed" {
          kind = "restart"
          at   = 1.5
          size = 0.5
        }
        trouble "replaced" {
          kind    = "replace"
          partner = "open"
          at      = 2
          lasts   = 1
          size    = 0.3
        }"#;
    let scenario = scenario(4.0, 100.0, faults);
    let run = run_fleet(&scenario, Path::new(PROGRAM), 1).expect("the fleet runs");
    assert_eq!(run.violations.total(), 0, "{:?}", run.violations);
    let report = LoadReport::new(&scenario, &run, 1, Duration::ZERO);
    assert_eq!(report.answered, report.messages);
    assert!(report.messages > 250, "{report:?}");
    assert_eq!(report.endpoints, 6, "one was replaced");
    // Submissions without a reply fail when their gateway is killed (three are); accepted messages must survive.
    assert!(run.outcome_counts[0] as f64 > 0.85 * report.messages as f64, "{report:?}");
    // Sending all requests to one of three endpoints would leave two thirds of that partner idle.
    assert!(report.idle_share < 0.1, "{report:?}");
    assert!(report.new_connections_per_message < 0.6, "{report:?}");
}

/// Guards against gateways that leave a shared limit unused while messages wait for it. During the burst, demand is
/// about one and a half times the limit.
#[test]
fn shared_limit_is_utilized_while_messages_wait() {
    let burst = r#"
        trouble "burst" {
          kind  = "burst"
          at    = 1
          lasts = 3
          size  = 2.6
        }"#;
    let scenario = scenario(4.0, 100.0, burst);
    let run = run_fleet(&scenario, Path::new(PROGRAM), 2).expect("the fleet runs");
    assert_eq!(run.violations.total(), 0, "{:?}", run.violations);
    let report = LoadReport::new(&scenario, &run, 2, Duration::ZERO);
    assert!(run.record.waiting_intervals.len() > 30, "too few messages waited for the limit to test its use");
    assert!(report.limit_use_while_waiting > 0.5, "{report:?}");
    assert_eq!(report.answered, report.messages);
}

#[test]
fn program_that_is_not_a_gateway_is_named_in_the_error() {
    let error = run_fleet(&scenario(1.0, 10.0, ""), Path::new("/nowhere/cloverstile"), 3).err();
    let error = error.expect("a missing program is an error").to_string();
    assert!(error.contains("/nowhere/cloverstile node"), "{error}");
}
