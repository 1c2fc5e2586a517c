//! Why a scenario could not be played.

use crate::scenario::ScenarioError;
use cloverstile_as2_gateway::test_cluster::TestClusterError;

/// Why a scenario could not be played.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The scenario is invalid.
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    /// Keys, files or fake partners of the test cluster could not be set up.
    #[error(transparent)]
    Cluster(#[from] TestClusterError),
    /// A gateway exited without having been told to.
    #[error("run: gateway {0} exited by itself; its standard error says why")]
    GatewayExited(usize),
    /// A process or socket operation failed.
    #[error("run: {0}")]
    Io(#[from] std::io::Error),
}
