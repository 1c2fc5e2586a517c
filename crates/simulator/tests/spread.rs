//! Scenes of even load: the same run again, the rules kept, and what the yardstick is there to tell apart.

use cloverstile_load_metrics::{measure, LoadMetrics};
use cloverstile_simulator::{play_spread, read_spread, Choice, Limiter, Scene, SpreadRun, Who, SCENES};
use std::time::Duration;

fn scene(name: &str, couriers: usize) -> Scene {
    let (_, text) = SCENES.iter().find(|(known, _)| *known == name).expect("it comes along");
    read_spread(text).expect("it is right").scaled(couriers)
}

fn figures(scene: &Scene, run: &SpreadRun) -> LoadMetrics {
    measure(&run.record, Duration::from_secs_f64(scene.window), 1)
}

#[test]
fn one_seed_gives_the_same_run_and_another_one_does_not() {
    let scene = scene("burst", 40);
    let [first, again, other] = [1, 1, 2].map(|seed| play_spread(&scene, Who::Module, seed));
    assert_eq!(first.record, again.record);
    assert_ne!(first.record, other.record);
}

#[test]
fn every_scene_ends_with_one_answer_for_each_message_and_no_rule_broken() {
    for (name, _) in SCENES {
        let scene = scene(name, 60);
        let run = play_spread(&scene, Who::Module, 3);
        assert_eq!(run.audit.broken(), 0, "{name}: {:?}", run.audit);
        assert_eq!(run.answers.iter().sum::<u64>(), run.record.messages, "{name}");
    }
}

#[test]
fn baselines_play_every_scene_and_answer_every_message() {
    for choice in Choice::ALL {
        let scene = scene("replaced", 30);
        let run = play_spread(&scene, Who::Plain(choice, Limiter::Aimd), 1);
        assert_eq!(run.answers.iter().sum::<u64>(), run.record.messages, "{}", choice.name());
    }
    for limiter in Limiter::ALL {
        let run = play_spread(&scene("lowered", 30), Who::Plain(Choice::Random, limiter), 1);
        assert_eq!(run.answers.iter().sum::<u64>(), run.record.messages, "{}", limiter.name());
    }
}

#[test]
fn the_first_of_equals_is_a_herd_that_the_yardstick_sees() {
    let scene = scene("calm", 100);
    let peak = |who| figures(&scene, &play_spread(&scene, who, 1)).observed.peak_over_mean;
    let herd = peak(Who::Plain(Choice::LeastOut, Limiter::None));
    let chance = peak(Who::Plain(Choice::Random, Limiter::None));
    assert!(herd > 2.0 * chance, "{herd} against {chance}");
}

#[test]
fn a_scene_that_can_t_be_played_names_block_and_reason() {
    let (_, calm) = SCENES[0];
    let wrong = |from: &str, to: &str| match read_spread(&calm.replacen(from, to, 1)) {
        Ok(_) => panic!("{from} -> {to} was taken"),
        Err(error) => error.to_string(),
    };
    assert!(wrong("limit         = 95", "limit = -1").contains("bank"));
    assert!(wrong("effect   = \"unsafe\"", "effect = \"odd\"").contains("salary-payment"));
    assert!(wrong("rate      = 600", "rate = 0").contains("rate"));
    assert!(wrong("skew", "screw").contains("screw"));
}
