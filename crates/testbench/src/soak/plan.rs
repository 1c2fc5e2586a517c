//! What happens in a run, drawn from its seed.

use super::faults::Fault;
use super::troubles;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::ops::Range;
use std::time::Duration;

/// Most gateways of a run.
const MAX_GATEWAYS: usize = 8;
/// Gateways of most runs: narrow moments need many runs more than many gateways.
const USUAL_GATEWAYS: usize = 3;
/// Share of runs with up to [`MAX_GATEWAYS`].
const CROWDED_SHARE: f64 = 0.1;
/// Shortest and longest time of load, in milliseconds.
const LOAD_MS: Range<u64> = 7_000..11_000;
/// Share of runs of the soak with a quiet time in the middle, and its length.
const QUIET_SHARE: f64 = 0.15;
const QUIET_TIME: Duration = Duration::from_secs(10);
/// Moments of trouble in a run.
const MOMENTS: Range<usize> = 6..14;
/// Troubles that begin together at a moment of the soak.
const OVERLAPS: Range<usize> = 1..5;
/// How far apart they begin, in milliseconds.
const OVERLAP_MS: Range<u64> = 0..400;

/// Which troubles a run is drawn from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Profile {
    /// Faults of the machine, one at each moment; one that lasts may meet the next.
    MachineFaults = 0,
    /// All troubles, several at once.
    Soak = 1,
}

/// A fault with its time and its gateway.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    /// When it begins, since the start of the load.
    pub at: Duration,
    /// Number of the gateway that it is for; not used for endpoints.
    pub gateway: usize,
    /// Its kind, as the summary counts it.
    pub kind: &'static str,
    /// What it is.
    pub fault: Fault,
}

/// All that a seed decides.
#[derive(Clone, Debug)]
pub struct FaultPlan {
    /// Seed of the clients' choices.
    pub seed: u64,
    /// Number of gateways.
    pub gateways: usize,
    /// How long clients submit new messages.
    pub load: Duration,
    /// The faults, in the order of their times.
    pub faults: Vec<PlannedFault>,
}

impl FaultPlan {
    /// The same load without a fault, to see what it costs.
    pub fn without_faults(self) -> FaultPlan {
        FaultPlan { faults: Vec::new(), ..self }
    }

    /// The plan of a seed, with so many endpoints.
    pub fn new(seed: u64, profile: Profile, endpoints: usize) -> FaultPlan {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let crowded = rng.random_bool(CROWDED_SHARE);
        let gateways = rng.random_range(1..=if crowded { MAX_GATEWAYS } else { USUAL_GATEWAYS });
        let load = Duration::from_millis(rng.random_range(LOAD_MS));
        let mut faults = Vec::new();
        for _ in 0..rng.random_range(MOMENTS) {
            let at = load.mul_f64(rng.random_range(0.05..0.95));
            let gateway = rng.random_range(0..gateways);
            let count = if profile == Profile::Soak { rng.random_range(OVERLAPS) } else { 1 };
            for _ in 0..count {
                let (kind, fault) = troubles::draw(&mut rng, profile, endpoints);
                let apart = Duration::from_millis(rng.random_range(OVERLAP_MS));
                // Most that begin together are one gateway's.
                let gateway = if rng.random_bool(0.7) { gateway } else { rng.random_range(0..gateways) };
                faults.push(PlannedFault { at: at + apart, gateway, kind, fault });
            }
        }
        let mut plan = FaultPlan { seed, gateways, load, faults };
        if profile == Profile::Soak && rng.random_bool(QUIET_SHARE) {
            plan.insert_quiet_time();
        }
        plan.faults.sort_by_key(|planned| planned.at);
        plan
    }

    /// Moves the second half of the faults behind a quiet time.
    fn insert_quiet_time(&mut self) {
        let middle = self.load / 2;
        let late = self.faults.iter_mut().filter(|planned| planned.at >= middle);
        late.for_each(|planned| planned.at += QUIET_TIME);
        self.load += QUIET_TIME;
    }
}
