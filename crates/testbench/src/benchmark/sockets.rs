//! Throughput of one gateway over loopback sockets.

use super::workload::scenario;
use crate::scenario_run::RunError;
use cloverstile_as2_gateway::test_cluster::{TestCluster, TestClusterError};
use cloverstile_as2_gateway::{load, Service};
use cloverstile_fakes::client::{Client, ClientBehaviour, Progress};
use cloverstile_fakes::record::{ObservedEvent, RecordLine, Recorder};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::path::Path;
use std::time::Duration;

/// Throughput and CPU shares of one gateway over sockets.
#[derive(Clone, Debug, Serialize)]
pub struct SocketCost {
    /// Number of messages.
    pub messages: u32,
    /// Number of cryptography threads; with 0, the event loop's thread does this work.
    pub workers: usize,
    /// Messages per second, from the first submission to the last answer.
    pub messages_per_second: f64,
    /// Share of the event loop's busy time spent in the engine and the policy.
    #[serde(rename = "module_share")]
    pub decision_share: f64,
    /// Share of the wall time in which the event loop was busy.
    pub loop_busy: f64,
}

/// Measures the throughput of one gateway while a client submits messages as fast as they are accepted.
///
/// # Errors
/// The test cluster, the gateway or the client fails.
pub fn measure_sockets(messages: u32, workers: usize, folder: &Path) -> Result<SocketCost, RunError> {
    let scenario = scenario(messages)?;
    let mut cluster_spec = scenario.cluster_spec();
    cluster_spec.gateway_settings =
        format!("  call_slots = 64\n  most_held = 1000000\n  stop_within = \"5s\"\n  workers = {workers}");
    let recorder = Recorder::default();
    let cluster = TestCluster::build(folder, cluster_spec, recorder.clone(), 1)?;
    let (config, directory) = load(&cluster.settings_files[0]).map_err(TestClusterError::Load)?;
    let (started_sender, started_receiver) = std::sync::mpsc::channel();
    let gateway = std::thread::spawn(move || {
        let mut service = Service::start(config, directory, None, 1).ok()?;
        let _ = started_sender.send((service.address(), service.shutdown_handle()));
        service.run().ok()
    });
    let (address, shutdown) = started_receiver.recv().map_err(|_| TestClusterError::Start(0))?;
    let gateways = cluster.gateway_set(vec![address]);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let [plan, _] = scenario.plan_messages(&mut rng, 1, recorder.now());
    let progress = Progress::default();
    let behaviour = ClientBehaviour { deferred_receipts: true, ..ClientBehaviour::default() };
    Client::new(&cluster.clients[0], behaviour, &gateways, plan, recorder.clone(), &progress)?.run()?;
    shutdown.shut_down();
    let elapsed = time_to_last_answer(&recorder.lines());
    let summary = gateway.join().ok().flatten().ok_or(TestClusterError::Start(0))?;
    Ok(SocketCost {
        messages,
        workers,
        messages_per_second: f64::from(messages) / elapsed.as_secs_f64(),
        decision_share: summary.decision_time.as_secs_f64() / summary.busy_time.as_secs_f64(),
        loop_busy: summary.busy_time.as_secs_f64() / elapsed.as_secs_f64(),
    })
}

/// Time from the first submission to the last answer; at least one microsecond, since it is a divisor.
fn time_to_last_answer(lines: &[RecordLine]) -> Duration {
    let first = lines.iter().find(|line| matches!(line.event, ObservedEvent::Submitted { .. }));
    let last = lines.iter().rev().find(|line| matches!(line.event, ObservedEvent::OutcomeReceived { .. }));
    let at = |line: Option<&RecordLine>| line.map_or(0, |line| line.at);
    Duration::from_micros(at(last).saturating_sub(at(first)).max(1))
}
