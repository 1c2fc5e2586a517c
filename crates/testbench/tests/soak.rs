//! Soak runs of a few seeds, and the determinism of fault plans.

use cloverstile_testbench::soak::{run_seed, FaultPlan, Profile, RunOptions, SeedResult};

#[test]
fn plan_of_a_seed_is_always_the_same() {
    for seed in 0..50 {
        for profile in [Profile::MachineFaults, Profile::Soak] {
            let (first, again) = (FaultPlan::new(seed, profile, 4), FaultPlan::new(seed, profile, 4));
            assert_eq!(
                (first.gateways, first.load, first.faults),
                (again.gateways, again.load, again.faults)
            );
        }
    }
}

/// Runs seeds in parallel, and checks that each submitted messages and violated no invariant.
fn assert_no_failures(profile: Profile, seeds: &[u64]) {
    let name = format!("cloverstile-{profile:?}-{}", std::process::id());
    let options = RunOptions {
        program: env!("CARGO_BIN_EXE_cloverstile-testbench").into(),
        profile,
        log: "debug".to_owned(),
        with_faults: true,
        directory: std::env::temp_dir().join(name),
    };
    let run = |seed: &u64| {
        let (options, seed) = (options.clone(), *seed);
        std::thread::spawn(move || run_seed(seed, &options).unwrap())
    };
    let threads: Vec<_> = seeds.iter().map(run).collect();
    let results: Vec<SeedResult> = threads.into_iter().map(|thread| thread.join().unwrap()).collect();
    for result in results {
        assert!(!result.has_failed(), "{result:#?}");
        assert!(result.messages > 100, "{result:#?}");
    }
}

#[test]
fn seeds_of_machine_faults_violate_no_invariant() {
    assert_no_failures(Profile::MachineFaults, &[4, 18, 21]);
}

#[test]
fn seeds_of_the_soak_violate_no_invariant() {
    assert_no_failures(Profile::Soak, &[1, 8, 23]);
}
