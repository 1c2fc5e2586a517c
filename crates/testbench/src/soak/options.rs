//! Options of soak runs.

use super::plan::Profile;
use std::path::PathBuf;

/// Options that all runs of a series share.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Path of the gateway program, which is started with `node --log FILTER`.
    pub program: PathBuf,
    /// Which kinds of faults the plans are drawn from.
    pub profile: Profile,
    /// Filter for the gateways' logs, in the syntax of their `--log` option.
    pub log: String,
    /// Whether faults are injected; without them, a run measures what its load costs the gateways.
    pub with_faults: bool,
    /// Parent of the runs' folders; only the folders of failed runs are kept.
    pub directory: PathBuf,
}

impl RunOptions {
    /// Folder for the state, logs and timeline of a seed's run.
    pub fn folder(&self, seed: u64) -> PathBuf {
        self.directory.join(format!("seed-{seed}"))
    }
}
