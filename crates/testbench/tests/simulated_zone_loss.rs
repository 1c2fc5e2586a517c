//! The hard cases of losing and regaining a zone, on virtual time: rules kept, spill inside its share, returns inside
//! what a site survives.

use cloverstile_simulator::{play, read, PolicyKind, BUILT_IN};
use cloverstile_testbench::simulation_metrics::{figures, Figures};

/// The surge in small, with other troubles.
fn surge(couriers: usize, rate: f64, troubles: &str) -> Figures {
    let (_, text) = BUILT_IN.iter().find(|(name, _)| *name == "surge").unwrap();
    let begins = text.find("trouble").unwrap();
    let text = format!("{}{troubles}", &text[..begins])
        .replace("couriers = 8", &format!("couriers = {couriers}"))
        .replace("rate     = 400", &format!("rate = {rate}"))
        .replace("seconds  = 40", "seconds = 30")
        .replace("servers   = 12", "servers = 5")
        .replace("servers = 5\n  }\n}", "servers = 3\n  }\n}");
    let scenario = read(&text).unwrap();
    let run = play(&scenario, PolicyKind::Planner, 7);
    let told = figures(&scenario, &run);
    assert_eq!(told.broken, 0, "{:?}", run.audit);
    assert_eq!(told.windows_over_bound, 0, "{told:?}");
    // A share of what is wanted; a whole message cannot be split.
    assert!(told.worst_spill <= 1.05, "{told:?}");
    assert!(told.spill_excess <= 2.0, "{told:?}");
    told
}

const GONE: &str = "trouble \"gone\" {\n kind = \"refuse\"\n at = 6\n lasts = 5\n}\n";

#[test]
fn a_site_back_cold_in_a_surge_and_couriers_restarted_during_the_loss() {
    let surge_too = "trouble \"surge\" {\n kind = \"burst\"\n size = 1.4\n at = 9\n lasts = 8\n}\n";
    let restart = "trouble \"restart\" {\n kind = \"restart\"\n couriers = 3\n at = 9\n}\n";
    let told = surge(8, 150.0, &format!("{GONE}{surge_too}{restart}"));
    assert!(told.spilt > 200 && told.windows >= 100, "{told:?}");
}

#[test]
fn a_site_that_flaps_three_times_and_one_that_answers_its_trials_but_not_its_load() {
    let flaps = "trouble \"flaps\" {\n kind = \"silent\"\n at = 5\n lasts = 2.5\n times = 3\n every = 6\n}\n";
    let told = surge(8, 150.0, flaps);
    assert!(told.spilt > 100, "{told:?}");
    let frail = "trouble \"frail\" {\n kind = \"frail\"\n size = 2\n at = 5\n lasts = 8\n}\n";
    surge(8, 150.0, frail);
}

#[test]
fn a_second_tier_that_fails_while_it_carries_the_spill() {
    let south = "trouble \"south too\" {\n kind = \"reset\"\n tier = 1\n at = 8\n lasts = 2\n}\n";
    let told = surge(8, 150.0, &format!("{GONE}{south}"));
    assert!(told.delivered > 0.5, "{told:?}");
}

#[test]
fn half_a_site_lost_and_a_slow_one_told_as_drained_lose_little_and_spill_nothing() {
    let half = "trouble \"half\" {\n kind = \"part\"\n endpoints = 2\n at = 6\n lasts = 8\n}\n";
    let told = surge(8, 120.0, half);
    assert!(told.worth > 0.97, "{told:?}");
    let slow = "trouble \"slow\" {\n kind = \"slow\"\n size = 3\n at = 6\n lasts = 5\n}\n\
                trouble \"told\" {\n kind = \"drain\"\n endpoints = 4\n at = 7\n lasts = 3\n}\n";
    let told = surge(8, 60.0, slow);
    assert!(told.spilt == 0 && told.delivered > 0.99, "{told:?}");
}

#[test]
fn light_couriers_notice_a_loss_of_the_zone_and_come_back_in_turn() {
    // A hundred couriers with a message and a half a second each.
    let told = surge(100, 150.0, GONE);
    assert!(told.spilt > 50, "{told:?}");
}
