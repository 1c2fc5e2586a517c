//! What the real program was told of the endpoint list outlives it, however large the list is and whatever the configuration of
//! the next start says.

mod gateway_harness;

use cloverstile_fakes::platform::{
    AgentBehaviour, ExternalEndpoint, PlatformEvent, PutCommand, AGENTS_PER_GATEWAY,
};
use gateway_harness::endpoint_process::EndpointProcess;
use gateway_harness::{payment, GatewayHarness, EVENT_TIMEOUT};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Destination of the endpoint that goes, and of the one that stays.
const DESTINATION: u16 = 3;
/// Destination that is listed all the time, at an endpoint of its own.
const OTHER_DESTINATION: u16 = 5;
/// First of the destinations of the rest of the fleet, to which nothing is submitted.
const FIRST_FLEET_DESTINATION: u16 = 100;
/// Number of destinations of the rest of the fleet.
const FLEET_DESTINATIONS: usize = 50;
/// Payments that are submitted after the restart.
const PAYMENTS: usize = 20;
/// Time in which requests for them arrive.
const REQUESTS_ARRIVE: Duration = Duration::from_millis(500);

/// Lists these endpoints, and waits until the gateway was told and has recorded it.
fn tell(harness: &GatewayHarness, endpoints: Vec<ExternalEndpoint>) {
    let is_list = |event: &PlatformEvent| matches!(event, PlatformEvent::ListSent { .. });
    let is_request = |event: &PlatformEvent| matches!(event, PlatformEvent::DiscoveryRequested { .. });
    let lists_before = harness.platform.events().iter().filter(|(_, event)| is_list(event)).count();
    harness.platform.replace_external_endpoints(endpoints);
    let is_read = harness.platform.wait_until(EVENT_TIMEOUT, |events| {
        // The gateway sends the next request when it has read the list.
        let list = events.iter().enumerate().filter(|(_, (_, event))| is_list(event)).nth(lists_before);
        list.is_some_and(|(index, _)| events[index..].iter().any(|(_, event)| is_request(event)))
    });
    assert!(is_read, "the list was not read");
    // The reply to a submission comes behind the record of what was read before.
    let settled = PutCommand { destination: OTHER_DESTINATION, ..payment(format!("told-{lists_before}")) };
    assert_eq!(harness.platform.submit(&mut harness.connect_client(), &settled).unwrap(), "+OK");
}

fn endpoint(id: &str, address: SocketAddr) -> ExternalEndpoint {
    ExternalEndpoint { id: id.to_owned(), address, destination: DESTINATION }
}

/// Endpoints of other destinations with these numbers. Nothing listens at their addresses.
fn fleet(numbers: std::ops::Range<usize>) -> Vec<ExternalEndpoint> {
    let endpoint = |number: usize| ExternalEndpoint {
        id: format!("s-{number:08x}"),
        address: SocketAddr::from(([127, 0, (100 + number / 250) as u8, (1 + number % 250) as u8], 6379)),
        destination: FIRST_FLEET_DESTINATION + (number % FLEET_DESTINATIONS) as u16,
    };
    numbers.map(endpoint).collect()
}

/// A gateway, not yet started, with the processes of the endpoint that goes and of the one that stays.
struct Deployment {
    harness: GatewayHarness,
    goes: EndpointProcess,
    stays: EndpointProcess,
}

impl Deployment {
    fn new(name: &str) -> Deployment {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let (goes, stays) = (EndpointProcess::start(any_port), EndpointProcess::start(any_port));
        Deployment { harness: GatewayHarness::new(name, &[OTHER_DESTINATION]), goes, stays }
    }

    /// Both endpoints beside the others.
    fn with_both(&self, others: Vec<ExternalEndpoint>) -> Vec<ExternalEndpoint> {
        let both = [endpoint("s-goes", self.goes.address()), endpoint("s-stays", self.stays.address())];
        [both.to_vec(), others].concat()
    }

    /// The endpoint that stays beside the others.
    fn without_gone(&self, others: Vec<ExternalEndpoint>) -> Vec<ExternalEndpoint> {
        [vec![endpoint("s-stays", self.stays.address())], others].concat()
    }

    /// Makes the present list of discovery that of the configuration.
    fn configure_known(&self) {
        self.harness.edit_config(|config| config["known"] = self.harness.platform.endpoint_list());
    }

    /// Kills the gateway, if it runs, while discovery is silent, and starts it with the configuration as it is.
    fn restart_without_discovery(&mut self) {
        for agent in 0..AGENTS_PER_GATEWAY {
            self.harness.platform.set_agent_behaviour(agent, AgentBehaviour::WithholdsLists);
        }
        self.harness.kill();
        self.harness.start();
    }

    /// Submits payments. Returns the numbers of those that arrived at the endpoint that is gone, and at the one that stays.
    fn submit_payments(self) -> (usize, usize) {
        let mut stream = self.harness.connect_client();
        for number in 0..PAYMENTS {
            self.harness.platform.submit(&mut stream, &payment(format!("after-{number}"))).unwrap();
        }
        std::thread::sleep(REQUESTS_ARRIVE);
        let count = |process: EndpointProcess| {
            process.end().iter().filter(|request| request.id.starts_with("after-")).count()
        };
        (count(self.goes), count(self.stays))
    }
}

/// Guards against a list of changes that is not kept at all because it is too large (review/10): half of a fleet is replaced, and
/// the gateway is killed while discovery is down.
#[test]
fn endpoint_that_is_gone_gets_nothing_after_a_restart_behind_a_large_deployment() {
    let mut deployment = Deployment::new("list-large");
    deployment.harness.platform.replace_external_endpoints(deployment.with_both(fleet(0..400)));
    deployment.configure_known();
    deployment.harness.start();
    tell(&deployment.harness, deployment.without_gone(fleet(400..800)));
    deployment.restart_without_discovery();
    assert_eq!(deployment.submit_payments(), (0, PAYMENTS));
}

/// Guards against a list that is stored and can't be read, with which all messages are discarded (review/6): a record of over
/// 256 KiB, written ahead of the messages that the gateway holds at a kill.
#[test]
fn messages_held_behind_a_large_endpoint_list_survive_a_kill() {
    let mut deployment = Deployment::new("list-record");
    deployment.harness.edit_config(|config| config["limits"]["disk_mb"] = 8.into());
    deployment.configure_known();
    deployment.harness.start();
    let long_id =
        |endpoint: ExternalEndpoint| ExternalEndpoint { id: format!("{:0>80}", endpoint.id), ..endpoint };
    tell(&deployment.harness, deployment.without_gone(fleet(0..3100).into_iter().map(long_id).collect()));
    let mut stream = deployment.harness.connect_client();
    for number in 0..PAYMENTS {
        // Nothing listens at the address of the endpoint, so that the message is held until its time is over.
        let held = PutCommand { destination: FIRST_FLEET_DESTINATION, ..payment(format!("held-{number}")) };
        let held = PutCommand { time_left_ms: 3000, ..held };
        assert_eq!(deployment.harness.platform.submit(&mut stream, &held).unwrap(), "+OK");
    }
    deployment.restart_without_discovery();
    assert_eq!(deployment.harness.final_violations(), Vec::<String>::new());
}

/// Guards against changes of the list that are applied to another configuration than the one to which they were made
/// (review/7): an endpoint came and went, and the next configuration is of the time in between.
#[test]
fn endpoint_that_came_and_went_gets_nothing_with_a_configuration_of_the_time_between() {
    let mut deployment = Deployment::new("list-between");
    deployment.harness.platform.replace_external_endpoints(deployment.without_gone(Vec::new()));
    deployment.configure_known();
    deployment.harness.start();
    tell(&deployment.harness, deployment.with_both(Vec::new()));
    let between = deployment.harness.platform.endpoint_list();
    tell(&deployment.harness, deployment.without_gone(fleet(0..1)));
    deployment.harness.edit_config(|config| config["known"] = between);
    deployment.restart_without_discovery();
    assert_eq!(deployment.submit_payments(), (0, PAYMENTS));
}

/// Guards against a list that a process starts with and does not keep (review/7): the configuration is newer at the second start,
/// and older again at the third, before discovery has answered.
#[test]
fn endpoint_that_is_gone_gets_nothing_after_a_newer_and_then_an_older_configuration() {
    let mut deployment = Deployment::new("list-twice");
    deployment.harness.platform.replace_external_endpoints(deployment.with_both(Vec::new()));
    deployment.configure_known();
    let older = deployment.harness.platform.endpoint_list();
    deployment.harness.start();
    // Tells the gateway nothing: its discovery agent is silent from the next start on.
    deployment.harness.kill();
    deployment.harness.platform.replace_external_endpoints(deployment.without_gone(Vec::new()));
    deployment.configure_known();
    deployment.restart_without_discovery();
    deployment.harness.edit_config(|config| config["known"] = older);
    deployment.restart_without_discovery();
    assert_eq!(deployment.submit_payments(), (0, PAYMENTS));
}

/// Guards against a list that does not fit and is not kept (review/10), where even the entries alone are too many: 2,500 endpoints
/// take more than 0.06 of 1 MB.
#[test]
fn list_that_does_not_fit_is_completed_by_the_configuration() {
    let mut deployment = Deployment::new("list-fingerprints");
    deployment.harness.platform.replace_external_endpoints(deployment.with_both(fleet(0..2500)));
    deployment.configure_known();
    deployment.harness.start();
    tell(&deployment.harness, deployment.without_gone(fleet(100..2600)));
    deployment.restart_without_discovery();
    // The endpoint that stays is served as it is in the configuration, the one that is gone is not.
    assert_eq!(deployment.submit_payments(), (0, PAYMENTS));
}

/// Guards an upgrade: version 0.2.0 stored changes to its configuration as JSON, here that `s-goes` is gone
/// (`crates/wal/tests/data/README.md`).
#[test]
fn changes_that_an_earlier_version_stored_are_applied() {
    let mut deployment = Deployment::new("list-json");
    deployment.harness.platform.replace_external_endpoints(deployment.with_both(Vec::new()));
    deployment.configure_known();
    let stored = Path::new(env!("CARGO_MANIFEST_DIR")).join("../wal/tests/data/json-endpoint-list/log.1");
    std::fs::copy(stored, deployment.harness.directory.join("state/log.1")).unwrap();
    deployment.restart_without_discovery();
    assert_eq!(deployment.submit_payments(), (0, PAYMENTS));
}
