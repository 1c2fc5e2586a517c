//! How runs are played.

use super::plan::Profile;
use std::path::PathBuf;

/// How runs are played.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// The program, which takes `node --log FILTER`.
    pub program: PathBuf,
    /// Which troubles are played.
    pub profile: Profile,
    /// Filter of the gateways' logs.
    pub log: String,
    /// Whether faults are played; without them a run shows what its load costs.
    pub with_faults: bool,
    /// Where the folders of runs lie; those of runs on which something was broken stay.
    pub directory: PathBuf,
}

impl RunOptions {
    /// The folder of a seed's run.
    pub fn folder(&self, seed: u64) -> PathBuf {
        self.directory.join(format!("seed-{seed}"))
    }
}
