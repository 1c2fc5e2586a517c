//! A small fleet of real processes on loopback: couriers killed, endpoints replaced, limits lowered. Judged from what
//! passed on our sockets.

use cloverstile_simulator::{read_spread, Scene};
use cloverstile_testbench::fleet::play_fleet;
use cloverstile_testbench::load_report::figures;
use std::path::Path;
use std::time::Duration;

/// Its `node` is what `cloverstile node` runs.
const PROGRAM: &str = env!("CARGO_BIN_EXE_cloverstile-testbench");

fn scene(seconds: f64, rate: f64, troubles: &str) -> Scene {
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
        {troubles}
        "#
    );
    read_spread(&text).expect("the scene is right")
}

/// Every process is one that was killed or ended in order, and no rule was broken.
#[test]
fn kills_and_replaced_endpoints_break_no_rule_and_leave_no_endpoint_idle() {
    let troubles = r#"
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
    let scene = scene(4.0, 100.0, troubles);
    let run = play_fleet(&scene, Path::new(PROGRAM), 1).expect("it can be played");
    assert_eq!(run.audit.broken(), 0, "{:?}", run.audit);
    let told = figures(&scene, &run, 1, Duration::ZERO);
    assert_eq!(told.answered, told.messages);
    assert!(told.messages > 250, "{told:?}");
    assert_eq!(told.endpoints, 6, "one was replaced");
    // What three killed couriers were being handed is lost to its client; what they had taken on is not.
    assert!(run.answers[0] as f64 > 0.85 * told.messages as f64, "{told:?}");
    // All calls to one of three would leave two thirds of that partner idle.
    assert!(told.idle_share < 0.1, "{told:?}");
    assert!(told.new_connections_a_message < 0.6, "{told:?}");
}

/// The yardstick on sockets: a limit that is wanted half as much again stands used while messages wait.
#[test]
fn a_shared_limit_is_used_while_messages_wait() {
    let burst = r#"
        trouble "burst" {
          kind  = "burst"
          at    = 1
          lasts = 3
          size  = 2.6
        }"#;
    let scene = scene(4.0, 100.0, burst);
    let run = play_fleet(&scene, Path::new(PROGRAM), 2).expect("it can be played");
    assert_eq!(run.audit.broken(), 0, "{:?}", run.audit);
    let told = figures(&scene, &run, 2, Duration::ZERO);
    assert!(run.record.stays.len() > 30, "nobody waited: not the case that is tested");
    assert!(told.limit_use_while_waiting > 0.5, "{told:?}");
    assert_eq!(told.answered, told.messages);
}

#[test]
fn a_program_that_is_no_courier_is_named() {
    let error = play_fleet(&scene(1.0, 10.0, ""), Path::new("/nowhere/cloverstile"), 3).err();
    let told = error.expect("it can't be played").to_string();
    assert!(told.contains("/nowhere/cloverstile node"), "{told}");
}
