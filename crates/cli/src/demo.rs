//! `cloverstile demo`: a test cluster on loopback with two partners at fault.

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

/// Part of the run that each fault lasts.
const FAULT_PART: f64 = 0.3;
/// Share of its responses that the second faulty partner loses.
const LOST_RESPONSES: f64 = 0.2;
/// Interval at which the progress bar is redrawn.
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

struct RunningGateway {
    address: SocketAddr,
    shutdown_handle: ShutdownHandle,
    thread: std::thread::JoinHandle<Option<RunSummary>>,
}

impl Demo {
    /// Runs the test cluster and prints the outcomes.
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
            // A gateway that panicked has printed so; messages that it left unanswered are in the table.
            let _ = gateway.thread.join();
        }
        Ok(recorder)
    }

    /// Lets the client submit while two partners are at fault.
    fn send_messages(
        &self,
        cluster: &TestCluster,
        gateways: &GatewaySet,
        recorder: &Recorder,
    ) -> Result<(), TestClusterError> {
        let span = Duration::from_secs_f64(f64::from(self.messages) / f64::from(self.rate));
        let messages = scenario::plan_messages(self.messages, span, self.seed, recorder.now());
        inject_faults(cluster, span.mul_f64(FAULT_PART));
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

/// Starts a gateway on a thread: its event loop must stay on the thread that made it.
fn start_gateway(number: usize, file: &Path, seed: u64) -> Result<RunningGateway, TestClusterError> {
    let (config, directory) = load(file)?;
    let (sender, receiver) = std::sync::mpsc::channel();
    let thread = std::thread::spawn(move || {
        let mut service = Service::start(config, directory, None, seed).ok()?;
        // The receiver waits for this, or the demo has ended.
        let _ = sender.send((service.address(), service.shutdown_handle()));
        service.run().ok()
    });
    let (address, shutdown_handle) = receiver.recv().map_err(|_| TestClusterError::Start(number))?;
    Ok(RunningGateway { address, shutdown_handle, thread })
}

/// Makes one partner silent and another one lose responses.
fn inject_faults(cluster: &TestCluster, duration: Duration) {
    let silent = PartnerCommand::Fault { partner: 1, fault: Fault::Silent, zone: None, duration };
    cluster.partners.send(silent);
    let fault = Fault::TruncateResponses(LOST_RESPONSES);
    cluster.partners.send(PartnerCommand::Fault { partner: 2, fault, zone: None, duration });
}
