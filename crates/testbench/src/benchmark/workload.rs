//! Workload of the benchmarks over sockets: one gateway, and one partner with enough capacity never to be the
//! bottleneck.

use crate::scenario::{parse_scenario, FaultScenario, ScenarioError};

const SCENARIO: &str = "messages = 1\nrate = 100000\ncouriers = 1\n\
    class \"pay-notice\" {\n share = 1\n effect = \"keyed\"\n window = 50\n aim = 20\n deadline = 60\n}\n\
    partner \"bank\" {\n share = 1\n servers = 2000\n queue = 100000\n service_ms = [1, 1]\n encrypted = true\n}\n";

/// The scenario with the given number of messages.
pub(super) fn scenario(messages: u32) -> Result<FaultScenario, ScenarioError> {
    Ok(FaultScenario { messages, ..parse_scenario(SCENARIO)? })
}
