//! A small fleet of real processes on loopback: gateways killed, endpoints replaced, traffic bursts. Checked from what
//! passed on the sockets of the load harness.

use cloverstile_simulator::{read_load_balance_scenario, LoadBalanceScenario};
use cloverstile_testbench::fleet::run_fleet;
use cloverstile_testbench::load_report::LoadReport;
use std::path::Path;
use std::time::Duration;

/// Its subcommand `node` is what `cloverstile node` runs.
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

/// Every process was killed by the test or exited successfully, and no invariant was violated.
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
    let run = run_fleet(&scenario, Path::new(PROGRAM), 1).expect("it can be played");
    assert_eq!(run.violations.total(), 0, "{:?}", run.violations);
    let report = LoadReport::new(&scenario, &run, 1, Duration::ZERO);
    assert_eq!(report.answered, report.messages);
    assert!(report.messages > 250, "{report:?}");
    assert_eq!(report.endpoints, 6, "one was replaced");
    // Submissions in progress at the three killed gateways are lost to their clients; accepted messages are not.
    assert!(run.outcome_counts[0] as f64 > 0.85 * report.messages as f64, "{report:?}");
    // All requests to one of three would leave two thirds of that partner idle.
    assert!(report.idle_share < 0.1, "{report:?}");
    assert!(report.new_connections_per_message < 0.6, "{report:?}");
}

/// The metrics on sockets: a limit for which there is half as much demand again is used while messages wait.
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
    let run = run_fleet(&scenario, Path::new(PROGRAM), 2).expect("it can be played");
    assert_eq!(run.violations.total(), 0, "{:?}", run.violations);
    let report = LoadReport::new(&scenario, &run, 2, Duration::ZERO);
    assert!(run.record.waiting_intervals.len() > 30, "nobody waited: not the case that is tested");
    assert!(report.limit_use_while_waiting > 0.5, "{report:?}");
    assert_eq!(report.answered, report.messages);
}

#[test]
fn program_that_is_not_a_gateway_is_named_in_the_error() {
    let error = run_fleet(&scenario(1.0, 10.0, ""), Path::new("/nowhere/cloverstile"), 3).err();
    let error = error.expect("it can't be played").to_string();
    assert!(error.contains("/nowhere/cloverstile node"), "{error}");
}
