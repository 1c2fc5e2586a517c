//! Manages the gateway processes of a scenario and their test cluster.

use super::error::RunError;
use super::gateway_command::{GatewayCommand, StartedGateway};
use crate::process::GatewayProcess;
use cloverstile_as2::Identity;
use cloverstile_as2_gateway::test_cluster::TestCluster;
use cloverstile_fakes::client::GatewaySet;
use cloverstile_fakes::model::Fault;
use cloverstile_fakes::partner::{PartnerCommand, ReceiptFault};
use cloverstile_fakes::record::{ObservedEvent, Recorder};
use rustix::process::Signal;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A gateway that is shutting down gracefully and still answers the messages it holds.
struct StoppingGateway {
    gateway: usize,
    process: GatewayProcess,
}

/// The gateway processes, the test cluster with the fake partners, and the set of draining endpoints.
pub(super) struct ScenarioGateways<'a> {
    cluster: TestCluster,
    command: &'a GatewayCommand,
    /// The process of each gateway; `None` while it is stopped or shutting down.
    processes: Vec<Option<GatewayProcess>>,
    stopping: Vec<StoppingGateway>,
    addresses: Vec<SocketAddr>,
    /// Partner number and endpoint number of each draining endpoint.
    draining: BTreeSet<(usize, usize)>,
    recorder: Recorder,
}

impl<'a> ScenarioGateways<'a> {
    /// Starts the first `count` gateways of a cluster.
    pub fn start(
        cluster: TestCluster,
        command: &'a GatewayCommand,
        count: usize,
        recorder: Recorder,
    ) -> Result<Self, RunError> {
        let mut gateways = ScenarioGateways {
            cluster,
            command,
            processes: Vec::new(),
            stopping: Vec::new(),
            addresses: Vec::new(),
            draining: BTreeSet::new(),
            recorder,
        };
        for number in 0..count {
            let StartedGateway { process, address } =
                command.start(&gateways.cluster.settings_files[number], number)?;
            gateways.processes.push(Some(process));
            gateways.addresses.push(address);
            // A restarted gateway must listen on the same address.
            gateways.cluster.write_settings(number, address, &BTreeSet::new())?;
        }
        Ok(gateways)
    }

    /// The addresses and running states of the gateways, as known to the clients.
    pub fn client_view(&self) -> GatewaySet {
        self.cluster.gateway_set(self.addresses.clone())
    }

    /// The AS2 identities of the clients, by client number.
    pub fn client_identities(&self) -> Arc<Vec<Identity>> {
        self.cluster.clients.clone()
    }

    /// Makes a partner fail for `duration`, in one zone or in all.
    pub fn begin_partner_fault(&self, partner: usize, fault: Fault, zone: Option<usize>, duration: Duration) {
        self.cluster.partners.send(PartnerCommand::Fault { partner, fault, group: zone, duration });
    }

    /// Makes the receipts of a partner faulty, or correct again with `None`.
    pub fn set_receipt_fault(&self, partner: usize, fault: Option<ReceiptFault>) {
        self.cluster.partners.send(PartnerCommand::SetReceiptFault { partner, fault });
    }

    /// Marks an endpoint as draining or ready, and makes all gateways reload their settings.
    pub fn set_draining(&mut self, partner: usize, endpoint: usize, draining: bool) -> Result<(), RunError> {
        if draining {
            self.draining.insert((partner, endpoint));
        } else {
            self.draining.remove(&(partner, endpoint));
        }
        for (number, address) in self.addresses.iter().enumerate() {
            self.cluster.write_settings(number, *address, &self.draining)?;
        }
        if !draining {
            // Recorded before the reload: the first gateway to reload may send at once.
            self.record_listed(partner, endpoint, true);
        }
        for process in self.processes.iter().flatten() {
            process.signal(Signal::HUP);
        }
        if draining {
            self.record_listed(partner, endpoint, false);
        }
        Ok(())
    }

    fn record_listed(&self, partner: usize, endpoint: usize, ready: bool) {
        let partner = self.cluster.spec.partners[partner].name.clone();
        self.recorder.record(ObservedEvent::EndpointListed { partner, endpoint, ready });
    }

    /// Kills a gateway process, after telling the clients that it does not run.
    pub fn kill(&mut self, gateway: usize, clients: &GatewaySet) {
        if let Some(process) = self.processes[gateway].take() {
            // Clients are told first, so that they do not take the lost connection for a transient failure.
            self.record_end(gateway, true, clients);
            drop(process);
        }
    }

    /// Starts the graceful shutdown of a gateway. Clients see it as running until it has answered its messages and exited.
    pub fn stop(&mut self, gateway: usize) {
        if let Some(process) = self.processes[gateway].take() {
            process.signal(Signal::TERM);
            self.stopping.push(StoppingGateway { gateway, process });
        }
    }

    fn record_end(&self, gateway: usize, killed: bool, clients: &GatewaySet) {
        clients.running[gateway].store(false, Ordering::Relaxed);
        self.recorder.record(ObservedEvent::GatewayProcess { gateway, running: false, killed });
    }

    /// Records the end of each gateway that was told to stop and has exited.
    pub fn record_stopped(&mut self, clients: &GatewaySet) {
        for StoppingGateway { gateway, mut process } in std::mem::take(&mut self.stopping) {
            if process.has_exited() {
                self.record_end(gateway, false, clients);
            } else {
                self.stopping.push(StoppingGateway { gateway, process });
            }
        }
    }

    /// The first gateway that exited without being told to stop.
    pub fn find_unexpected_exit(&mut self) -> Option<usize> {
        let exited =
            |process: &mut Option<GatewayProcess>| process.as_mut().is_some_and(GatewayProcess::has_exited);
        self.processes.iter_mut().position(exited)
    }

    /// Restarts a gateway that was killed or stopped.
    pub fn restart(&mut self, gateway: usize, clients: &GatewaySet) -> Result<(), RunError> {
        let started = self.command.start(&self.cluster.settings_files[gateway], gateway)?;
        self.processes[gateway] = Some(started.process);
        self.recorder.record(ObservedEvent::GatewayProcess { gateway, running: true, killed: false });
        clients.running[gateway].store(true, Ordering::Relaxed);
        Ok(())
    }

    /// Shuts down all gateways gracefully and waits up to `timeout` for each.
    pub fn shut_down(&mut self, timeout: Duration) {
        for process in self.processes.iter().flatten() {
            process.signal(Signal::TERM);
        }
        for process in self.processes.iter_mut().flatten() {
            process.wait_until(Instant::now() + timeout);
        }
    }
}
