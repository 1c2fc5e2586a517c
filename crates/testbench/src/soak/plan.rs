//! Fault plans, drawn from a seed.

use super::faults::Fault;
use super::troubles;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::ops::Range;
use std::time::Duration;

/// Largest number of gateways in a run.
const MAX_GATEWAYS: usize = 8;
/// Largest number of gateways in most runs: narrow race windows are hit by many runs rather than by many gateways.
const USUAL_MAX_GATEWAYS: usize = 3;
/// Share of runs with up to [`MAX_GATEWAYS`] gateways.
const MANY_GATEWAYS_SHARE: f64 = 0.1;
/// Range of the duration of the load, in milliseconds.
const LOAD_MS: Range<u64> = 7_000..11_000;
/// Share of the runs of [`Profile::Soak`] with a period without faults in the middle.
const QUIET_SHARE: f64 = 0.15;
/// Length of the period without faults.
const QUIET_TIME: Duration = Duration::from_secs(10);
/// How many times in a run faults begin.
const FAULT_TIMES: Range<usize> = 6..14;
/// How many faults begin at about the same time in [`Profile::Soak`].
const CONCURRENT_FAULTS: Range<usize> = 1..5;
/// How long after that time each fault begins, in milliseconds.
const CONCURRENT_FAULT_DELAY_MS: Range<u64> = 0..400;

/// How many faults of bytes that belong to no request a run of [`Profile::Soak`] has in addition.
const UNSOLICITED_FAULTS: Range<usize> = 6..15;
/// The generator that they are drawn from is seeded with the seed plus this.
const UNSOLICITED_SEED_OFFSET: u64 = 1 << 32;

/// How many faults of responses that end a message, and of slow agents, a run of [`Profile::Soak`] has in addition.
const FINAL_RESPONSE_FAULTS: Range<usize> = 4..10;
/// The generator that they are drawn from is seeded with the seed plus this.
const FINAL_RESPONSE_SEED_OFFSET: u64 = 2 << 32;

/// How many faults of clients that take what they can get a run of [`Profile::Soak`] has in addition.
const CLIENT_FAULTS: Range<usize> = 1..4;
/// The generator that they are drawn from is seeded with the seed plus this.
const CLIENT_SEED_OFFSET: u64 = 3 << 32;

/// Which kinds of faults a run draws from. The value is the index into their weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Profile {
    /// Faults of the machine, restarts, and some faults of endpoints. They begin one at a time, but may overlap.
    MachineFaults = 0,
    /// All kinds of faults, several at once.
    Soak = 1,
}

/// Draws a fault for this number of endpoints, with the name of its kind.
type DrawFault = fn(&mut ChaCha8Rng, usize) -> (&'static str, Fault);

/// A fault with the time at which it begins and the gateway that it affects.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    /// When it begins, counted from the start of the load.
    pub at: Duration,
    /// Number of the gateway that it affects; unused for faults of endpoints and of the whole machine.
    pub gateway: usize,
    /// Name of its kind, under which the summary counts it.
    pub kind: &'static str,
    /// The fault itself, with its parameters.
    pub fault: Fault,
}

/// Everything that a seed decides. A seed always gives the same plan.
#[derive(Clone, Debug)]
pub struct FaultPlan {
    /// The seed, from which the clients' random choices are drawn as well.
    pub seed: u64,
    /// Number of gateways.
    pub gateways: usize,
    /// How long clients submit new messages.
    pub load: Duration,
    /// The faults, in the order of their times.
    pub faults: Vec<PlannedFault>,
}

impl FaultPlan {
    /// The same load without faults, to measure what it costs.
    pub fn without_faults(self) -> FaultPlan {
        FaultPlan { faults: Vec::new(), ..self }
    }

    /// Draws the plan of a seed for this number of endpoints.
    pub fn new(seed: u64, profile: Profile, endpoints: usize) -> FaultPlan {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let has_many = rng.random_bool(MANY_GATEWAYS_SHARE);
        let gateways = rng.random_range(1..=if has_many { MAX_GATEWAYS } else { USUAL_MAX_GATEWAYS });
        let load = Duration::from_millis(rng.random_range(LOAD_MS));
        let mut faults = Vec::new();
        for _ in 0..rng.random_range(FAULT_TIMES) {
            let at = load.mul_f64(rng.random_range(0.05..0.95));
            let gateway = rng.random_range(0..gateways);
            let count = if profile == Profile::Soak { rng.random_range(CONCURRENT_FAULTS) } else { 1 };
            for _ in 0..count {
                let (kind, fault) = troubles::draw(&mut rng, profile, endpoints);
                let delay = Duration::from_millis(rng.random_range(CONCURRENT_FAULT_DELAY_MS));
                // Most faults that begin together affect the same gateway.
                let gateway = if rng.random_bool(0.7) { gateway } else { rng.random_range(0..gateways) };
                faults.push(PlannedFault { at: at + delay, gateway, kind, fault });
            }
        }
        let mut plan = FaultPlan { seed, gateways, load, faults };
        if profile == Profile::Soak && rng.random_bool(QUIET_SHARE) {
            plan.insert_quiet_time();
        }
        if profile == Profile::Soak {
            plan.add_faults(
                UNSOLICITED_SEED_OFFSET,
                UNSOLICITED_FAULTS,
                endpoints,
                troubles::draw_unsolicited,
            );
            plan.add_faults(
                FINAL_RESPONSE_SEED_OFFSET,
                FINAL_RESPONSE_FAULTS,
                endpoints,
                troubles::draw_final_response,
            );
            plan.add_faults(CLIENT_SEED_OFFSET, CLIENT_FAULTS, endpoints, troubles::draw_clients);
        }
        plan.faults.sort_by_key(|planned| planned.at);
        plan
    }

    /// Adds faults from a generator of their own, so that the other faults of the seed stay the same.
    fn add_faults(&mut self, seed_offset: u64, count: Range<usize>, endpoints: usize, draw: DrawFault) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed + seed_offset);
        for _ in 0..rng.random_range(count) {
            let at = self.load.mul_f64(rng.random_range(0.0..0.9));
            let gateway = rng.random_range(0..self.gateways);
            let (kind, fault) = draw(&mut rng, endpoints);
            self.faults.push(PlannedFault { at, gateway, kind, fault });
        }
    }

    /// Delays the faults of the second half, which leaves a period without new faults in the middle.
    fn insert_quiet_time(&mut self) {
        let middle = self.load / 2;
        let late = self.faults.iter_mut().filter(|planned| planned.at >= middle);
        late.for_each(|planned| planned.at += QUIET_TIME);
        self.load += QUIET_TIME;
    }
}
