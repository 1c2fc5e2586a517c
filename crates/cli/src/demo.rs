//! `cloverstile demo`: runs gateways, fake partners and a client on loopback while two of the partners are faulty.

mod report;
mod scenario;

use crate::exit_status::ExitStatus;
use clap::Args;
use cloverstile_as2_gateway::test_cluster::{TestCluster, TestClusterError};
use cloverstile_as2_gateway::{load, RunSummary, Service, ShutdownHandle};
use cloverstile_fakes::client::{Client, ClientBehaviour, GatewaySet, Progress};
use cloverstile_fakes::model::Fault;
use cloverstile_fakes::partner::PartnerCommand;
use cloverstile_fakes::record::Recorder;
use indicatif::{ProgressBar, ProgressStyle};
use report::Report;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Duration of each fault, as a share of the run.
const FAULT_DURATION_SHARE: f64 = 0.3;
/// Share of its responses that the second faulty partner truncates, so that the gateway can't read the outcome.
const LOST_RESPONSE_SHARE: f64 = 0.2;
/// Interval between updates of the progress bar.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(100);

/// Arguments of `demo`.
#[derive(Args)]
pub struct Demo {
    /// Number of messages.
    #[arg(long, default_value_t = 3000, value_parser = clap::value_parser!(u32).range(10..=200_000))]
    messages: u32,
    /// Number of gateways, each in a thread of its own.
    #[arg(long = "couriers", default_value_t = 2, value_parser = clap::value_parser!(u16).range(1..=8))]
    gateways: u16,
    /// Messages per second.
    #[arg(long, default_value_t = 250, value_parser = clap::value_parser!(u32).range(1..=5000))]
    rate: u32,
    /// Seed of all randomness.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Prints JSON.
    #[arg(long)]
    json: bool,
}

/// A gateway on a thread of its own.
struct RunningGateway {
    address: SocketAddr,
    shutdown_handle: ShutdownHandle,
    /// Ends with none if the gateway could not start or failed.
    thread: std::thread::JoinHandle<Option<RunSummary>>,
}

impl Demo {
    /// Runs the test cluster and prints the outcomes; fails if a message is unanswered or took effect twice.
    pub fn run(&self) -> ExitStatus {
        let folder = std::env::temp_dir().join(format!("cloverstile-demo-{}", std::process::id()));
        match self.run_cluster(&folder) {
            Ok(recorder) => self.report(&recorder),
            Err(error) => {
                eprintln!("cloverstile demo: {error}");
                ExitStatus::Failure
            }
        }
    }

    /// Starts the cluster, sends all messages, shuts the gateways down and returns what was recorded.
    fn run_cluster(&self, folder: &Path) -> Result<Recorder, TestClusterError> {
        let recorder = Recorder::default();
        if !self.json {
            println!("Making keys, starting {} gateways and four partners on loopback ...", self.gateways);
        }
        let spec = scenario::cluster_spec(usize::from(self.gateways), self.rate);
        let cluster = TestCluster::build(folder, spec, recorder.clone(), self.seed)?;
        let mut running = Vec::new();
        for (number, file) in cluster.settings_files.iter().enumerate() {
            running.push(start_gateway(number, file, self.seed ^ number as u64)?);
        }
        let addresses = running.iter().map(|gateway| gateway.address).collect();
        self.send_messages(&cluster, &cluster.gateway_set(addresses), &recorder)?;
        for gateway in running {
            gateway.shutdown_handle.shut_down();
            // The panic message of a gateway is already on standard error, and the report counts the messages that it
            // left unanswered.
            let _ = gateway.thread.join();
        }
        Ok(recorder)
    }

    /// Injects the faults, and submits the messages from one client while the progress bar is updated.
    fn send_messages(
        &self,
        cluster: &TestCluster,
        gateways: &GatewaySet,
        recorder: &Recorder,
    ) -> Result<(), TestClusterError> {
        let run_duration = Duration::from_secs_f64(f64::from(self.messages) / f64::from(self.rate));
        let messages = scenario::plan_messages(self.messages, run_duration, self.seed, recorder.now());
        inject_faults(cluster, run_duration.mul_f64(FAULT_DURATION_SHARE));
        let progress = Progress::default();
        let bar = self.progress_bar();
        std::thread::scope(|scope| {
            let client = scope.spawn(|| {
                let behaviour = ClientBehaviour::default();
                let identity = &cluster.clients[0];
                Client::new(identity, behaviour, gateways, messages, recorder.clone(), &progress)?.run()
            });
            while !client.is_finished() {
                bar.set_position(progress.completed.load(Ordering::Relaxed) as u64);
                std::thread::sleep(PROGRESS_INTERVAL);
            }
            bar.finish_and_clear();
            client.join().unwrap_or_else(|_| Err(std::io::Error::other("the client panicked")))
        })?;
        Ok(())
    }

    fn progress_bar(&self) -> ProgressBar {
        let bar = if self.json { ProgressBar::hidden() } else { ProgressBar::new(u64::from(self.messages)) };
        let style = "{bar:40} {pos}/{len} answered, {elapsed} elapsed, {eta} to go";
        bar.set_style(ProgressStyle::with_template(style).unwrap_or_else(|_| ProgressStyle::default_bar()));
        bar
    }

    /// Prints the report; success only if each message has a final outcome and took effect once at most.
    fn report(&self, recorder: &Recorder) -> ExitStatus {
        let report = Report::from_record(&recorder.lines());
        if self.json {
            report.print_json();
        } else {
            report.print_table();
        }
        if report.is_success() {
            ExitStatus::Success
        } else {
            ExitStatus::Failure
        }
    }
}

/// Starts a gateway on a thread of its own, because its event loop must stay on the thread that created it. `number` is
/// its position in the cluster, for errors.
fn start_gateway(number: usize, file: &Path, seed: u64) -> Result<RunningGateway, TestClusterError> {
    let (config, directory) = load(file)?;
    let (sender, receiver) = std::sync::mpsc::channel();
    let thread = std::thread::spawn(move || {
        let mut service = Service::start(config, directory, None, seed).ok()?;
        // Sending fails only if the receiver is gone, which means that the demo has ended.
        let _ = sender.send((service.address(), service.shutdown_handle()));
        service.run().ok()
    });
    let (address, shutdown_handle) = receiver.recv().map_err(|_| TestClusterError::Start(number))?;
    Ok(RunningGateway { address, shutdown_handle, thread })
}

/// Makes one partner silent and truncates responses of another one, for `duration` from now on.
fn inject_faults(cluster: &TestCluster, duration: Duration) {
    let silent = PartnerCommand::Fault { partner: 1, fault: Fault::Silent, group: None, duration };
    cluster.partners.send(silent);
    let fault = Fault::TruncateResponses(LOST_RESPONSE_SHARE);
    cluster.partners.send(PartnerCommand::Fault { partner: 2, fault, group: None, duration });
}
