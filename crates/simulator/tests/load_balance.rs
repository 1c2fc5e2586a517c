//! Scenes of even load: the same run again, the rules kept, and what the yardstick is there to tell apart.

use cloverstile_load_metrics::{measure, LoadMetrics};
use cloverstile_simulator::{
    read_load_balance_scenario, simulate_load_balance, ClientPolicy, EndpointSelection, Limiter,
    LoadBalanceRun, LoadBalanceScenario, LOAD_BALANCE_SCENARIOS,
};
use std::time::Duration;

fn scene(name: &str, instances: usize) -> LoadBalanceScenario {
    let (_, text) = LOAD_BALANCE_SCENARIOS.iter().find(|(known, _)| *known == name).expect("it comes along");
    read_load_balance_scenario(text).expect("it is right").scaled(instances)
}

fn figures(scene: &LoadBalanceScenario, run: &LoadBalanceRun) -> LoadMetrics {
    measure(&run.record, Duration::from_secs_f64(scene.window), 1)
}

#[test]
fn one_seed_gives_the_same_run_and_another_one_does_not() {
    let scene = scene("burst", 40);
    let [first, again, other] =
        [1, 1, 2].map(|seed| simulate_load_balance(&scene, ClientPolicy::Delivery, seed));
    assert_eq!(first.record, again.record);
    assert_ne!(first.record, other.record);
}

#[test]
fn every_scene_ends_with_one_answer_for_each_message_and_no_rule_broken() {
    for (name, _) in LOAD_BALANCE_SCENARIOS {
        let scene = scene(name, 60);
        let run = simulate_load_balance(&scene, ClientPolicy::Delivery, 3);
        assert_eq!(run.violations.total(), 0, "{name}: {:?}", run.violations);
        assert_eq!(run.answers.iter().sum::<u64>(), run.record.messages, "{name}");
    }
}

#[test]
fn baselines_play_every_scene_and_answer_every_message() {
    for choice in EndpointSelection::ALL {
        let scene = scene("replaced", 30);
        let run = simulate_load_balance(&scene, ClientPolicy::Baseline(choice, Limiter::Aimd), 1);
        assert_eq!(run.answers.iter().sum::<u64>(), run.record.messages, "{}", choice.name());
    }
    for limiter in Limiter::ALL {
        let run = simulate_load_balance(
            &scene("lowered", 30),
            ClientPolicy::Baseline(EndpointSelection::Random, limiter),
            1,
        );
        assert_eq!(run.answers.iter().sum::<u64>(), run.record.messages, "{}", limiter.name());
    }
}

#[test]
fn the_first_of_equals_is_a_herd_that_the_yardstick_sees() {
    let scene = scene("calm", 100);
    let peak = |who| figures(&scene, &simulate_load_balance(&scene, who, 1)).observed.peak_over_mean;
    let herd = peak(ClientPolicy::Baseline(EndpointSelection::LeastInFlight, Limiter::None));
    let chance = peak(ClientPolicy::Baseline(EndpointSelection::Random, Limiter::None));
    assert!(herd > 2.0 * chance, "{herd} against {chance}");
}

#[test]
fn a_scene_that_can_t_be_played_names_block_and_reason() {
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
