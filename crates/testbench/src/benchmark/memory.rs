//! Memory use of a gateway process per held message and per idle connection.

use super::workload::scenario;
use crate::process::GatewayProcess;
use crate::scenario_run::{GatewayCommand, RunError};
use cloverstile_as2_gateway::test_cluster::TestCluster;
use cloverstile_fakes::client::{Client, ClientBehaviour, GatewaySet, PlannedMessage, Progress};
use cloverstile_fakes::model::Fault;
use cloverstile_fakes::partner::PartnerCommand;
use cloverstile_fakes::record::{ObservedEvent, Recorder};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Content length of each held message, in bytes.
const CONTENT_LENGTH: usize = 400;
/// Wait after opening connections, within which the gateway has accepted all of them.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// Interval at which accepted messages are counted ...
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// ... at most this many times (30 s in all).
const MAX_POLLS: u32 = 300;
/// Time for which the partner does not respond; longer than the measurement.
const SILENCE: Duration = Duration::from_secs(600);

/// Memory use of a gateway process.
#[derive(Clone, Debug, Serialize)]
pub struct MemoryCost {
    /// Number of messages held.
    pub held: u32,
    /// Content length of each message, in bytes.
    pub body: usize,
    /// Resident memory per held message, in bytes.
    pub bytes_per_held_message: f64,
    /// Number of idle client connections.
    pub connections: usize,
    /// Resident memory per idle connection, in bytes.
    pub bytes_per_connection: f64,
}

/// Resident memory of a process, in bytes; zero if the kernel reports none.
fn resident_bytes(pid: u32) -> std::io::Result<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
    let kibibytes: f64 = line.trim().trim_end_matches("kB").trim().parse().unwrap_or(0.0);
    Ok(kibibytes * 1024.0)
}

/// Measures the memory that a gateway process needs for messages held for an unresponsive partner, and for idle
/// connections.
///
/// # Errors
/// The test cluster, the gateway or the client fails, or the memory use can't be read.
pub fn measure_memory(
    held: u32,
    connections: usize,
    folder: &Path,
    command: &GatewayCommand,
) -> Result<MemoryCost, RunError> {
    let scenario = scenario(held)?;
    let mut cluster_spec = scenario.cluster_spec();
    cluster_spec.gateway_settings = "  call_slots = 8\n  most_held = 1000000\n  stop_within = \"1s\"".into();
    let recorder = Recorder::default();
    let cluster = TestCluster::build(folder, cluster_spec, recorder.clone(), 1)?;
    let text = std::fs::read_to_string(&cluster.settings_files[0])?;
    std::fs::write(&cluster.settings_files[0], text.replace("connections = 4000", "connections = 20000"))?;
    let started = command.start(&cluster.settings_files[0], 0)?;
    let connection_growth = measure_connection_growth(&started.process, started.address, connections)?;
    let fault = Fault::Silent;
    cluster.partners.send(PartnerCommand::Fault { partner: 0, fault, group: None, duration: SILENCE });
    let gateways = cluster.gateway_set(vec![started.address]);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let [mut plan, _] = scenario.plan_messages(&mut rng, 1, recorder.now());
    plan.iter_mut().for_each(|planned| planned.body = vec![b'x'; CONTENT_LENGTH]);
    let message_growth = measure_message_growth(&cluster, &gateways, &started.process, plan, &recorder)?;
    Ok(MemoryCost {
        held,
        body: CONTENT_LENGTH,
        bytes_per_held_message: message_growth / f64::from(held),
        connections,
        bytes_per_connection: connection_growth / connections as f64,
    })
}

/// Opens idle connections and returns by how many bytes the process grows.
fn measure_connection_growth(
    process: &GatewayProcess,
    address: SocketAddr,
    count: usize,
) -> std::io::Result<f64> {
    let before = resident_bytes(process.id())?;
    let mut streams = Vec::new();
    for _ in 0..count {
        streams.push(TcpStream::connect(address)?);
    }
    std::thread::sleep(SETTLE_TIME);
    Ok(resident_bytes(process.id())? - before)
}

/// Submits the planned messages and returns by how many bytes the process has grown once all are accepted.
fn measure_message_growth(
    cluster: &TestCluster,
    gateways: &GatewaySet,
    process: &GatewayProcess,
    plan: Vec<PlannedMessage>,
    recorder: &Recorder,
) -> Result<f64, RunError> {
    let count = plan.len();
    let progress = Progress::default();
    let before = resident_bytes(process.id())?;
    std::thread::scope(|scope| {
        let client = scope.spawn(|| {
            let behaviour = ClientBehaviour { deferred_receipts: true, ..ClientBehaviour::default() };
            Client::new(&cluster.clients[0], behaviour, gateways, plan, recorder.clone(), &progress)?.run()
        });
        for _ in 0..MAX_POLLS {
            let lines = recorder.lines();
            if lines.iter().filter(|line| matches!(line.event, ObservedEvent::Accepted { .. })).count()
                >= count
            {
                break;
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        let after = resident_bytes(process.id());
        progress.stop.store(true, Ordering::Relaxed);
        client.join().unwrap_or_else(|_| Err(std::io::Error::other("the client panicked")))?;
        Ok(after? - before)
    })
}
