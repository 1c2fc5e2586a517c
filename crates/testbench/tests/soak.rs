//! A few seeds of machine faults, and what a seed decides.

use cloverstile_testbench::machine_faults::{play_seed, FaultPlan, RunOptions, SeedResult};

#[test]
fn plan_of_a_seed_is_always_the_same() {
    for seed in 0..50 {
        let (first, again) = (FaultPlan::new(seed, 4), FaultPlan::new(seed, 4));
        assert_eq!((first.gateways, first.load, first.faults), (again.gateways, again.load, again.faults));
    }
}

#[test]
fn seeds_of_machine_faults_violate_no_invariant() {
    let options = RunOptions {
        program: env!("CARGO_BIN_EXE_cloverstile-testbench").into(),
        log: "debug".to_owned(),
        with_faults: true,
        directory: std::env::temp_dir().join(format!("cloverstile-machine-faults-{}", std::process::id())),
    };
    let play = |seed: u64| {
        let options = options.clone();
        std::thread::spawn(move || play_seed(seed, &options).unwrap())
    };
    let results: Vec<SeedResult> =
        [4, 18, 21].map(play).into_iter().map(|thread| thread.join().unwrap()).collect();
    for result in results {
        assert!(!result.is_broken(), "{result:#?}");
        assert!(result.messages > 100, "{result:#?}");
    }
}
