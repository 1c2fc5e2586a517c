//! Errors that abort a scenario run.

use crate::scenario::ScenarioError;
use cloverstile_as2_gateway::test_cluster::TestClusterError;

/// An error that aborts a scenario run.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The scenario is invalid.
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    /// Keys, files or fake partners of the test cluster could not be set up.
    #[error(transparent)]
    Cluster(#[from] TestClusterError),
    /// The gateway of this number exited although it was not told to stop.
    #[error("run: gateway {0} exited by itself; its standard error says why")]
    GatewayExited(usize),
    /// A process or socket operation failed.
    #[error("run: {0}")]
    Io(#[from] std::io::Error),
}
