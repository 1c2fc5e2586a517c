//! Runs the real program against a fake platform, with test clients and endpoints that act at an exact step.
#![allow(dead_code, reason = "each test file uses a part of the harness")]

pub mod endpoint_process;
pub mod hostile_clients;
pub mod manual_endpoint;
pub mod process_memory;
pub mod state_folder;
pub mod streams;
pub mod usual_clients;

use cloverstile_fakes::platform::{check_invariants, read_line, Platform, PlatformEvent, PutCommand};
use cloverstile_fault_injection::FaultControl;
use manual_endpoint::ManualEndpoint;
use std::fs;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

/// The program under test.
pub const PROGRAM: &str = env!("CARGO_BIN_EXE_cloverstile");
/// Longest wait for an event that must happen.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(20);
/// The platform kills a gateway that is still running this long after the shutdown signal.
const KILL_AFTER: Duration = Duration::from_millis(3700);

/// A gateway process with its configuration and state directory, and the fake platform that it talks to.
pub struct GatewayHarness {
    pub platform: Platform,
    pub directory: PathBuf,
    pub listen: SocketAddr,
    pub gateway: Option<Child>,
}

impl Drop for GatewayHarness {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_dir_all(&self.directory);
    }
}

/// Polls a condition until it holds or the time is over. Returns whether it holds.
pub fn wait_until(timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + timeout;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    condition()
}

/// A gateway, not yet started, whose only endpoint for destination 3 is controlled by the test.
pub fn harness_with_manual_endpoint(name: &str) -> (GatewayHarness, ManualEndpoint) {
    let (harness, endpoint) = (GatewayHarness::new(name, &[3]), ManualEndpoint::new());
    harness.edit_config(|config| {
        config["known"]["instances"][0]["hostPort"] = endpoint.address.to_string().into();
    });
    (harness, endpoint)
}

/// Sends a signal to a process; `name` is the option of `kill`, such as `-TERM`.
pub fn send_signal(child: &Child, name: &str) {
    assert!(Command::new("kill").args([name, &child.id().to_string()]).status().unwrap().success());
}

impl GatewayHarness {
    /// Starts a platform with one endpoint for each of `destinations` and writes a configuration. The gateway is not started.
    pub fn new(name: &str, destinations: &[u16]) -> GatewayHarness {
        // The gateway keeps its address over restarts. A free port could be taken by another process before the gateway
        // starts again, so each harness has a loopback address of its own.
        static NEXT_ADDRESS: AtomicU8 = AtomicU8::new(64);
        let process = std::process::id();
        let directory = std::env::temp_dir().join(format!("cloverstile-resp-gateway-{process}-{name}"));
        fs::create_dir_all(directory.join("state")).unwrap();
        let address = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed);
        let listen = SocketAddr::from(([127, address, (process >> 8) as u8, process as u8], 6379));
        let platform = Platform::start(destinations).unwrap();
        let harness = GatewayHarness { platform, directory, listen, gateway: None };
        harness.configure(0);
        harness
    }

    /// Path of the configuration file.
    pub fn config_path(&self) -> PathBuf {
        self.directory.join("config.json")
    }

    /// Replaces the configuration file; `discovery` is the index of the platform's discovery address in it.
    pub fn configure(&self, discovery: usize) {
        let class = |name: &str, effect: &str, in_order: bool| {
            serde_json::json!({"Name": name, "Effect": effect, "Group": "all", "Aim": 1_000_000_000u64, "Deadline": 12_000_000_000u64,
                "RepeatWindow": 8_000_000_000u64, "OneAtATime": in_order, "Worth": 1.0, "LateShare": 0.4})
        };
        let text = serde_json::json!({
            "name": "n0", "listen": self.listen.to_string(), "discovery": self.platform.discovery[discovery].to_string(),
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256, "disk_mb": 1},
            "known": self.platform.endpoint_list(),
            "settings": {"Balancers": 1, "ClientHabits": {"MarksRetry": false}, "Discovery": "push", "Locality": 0,
                "FamilyInfo": {"CallsOut": 16, "KindBatch": [1], "OwnLimits": [false], "Decay": "line"},
                "Lanes": [class("notice", "idempotency_key", true), class("payment", "non_idempotent", false)],
                "MachineTypes": ["any"], "Zones": ["here"], "Permissions": {"MostHeld": 400, "SendCap": 8, "Cancel": true, "RetryAfter": false,
                "ConnIdle": 5_000_000_000u64, "ConnectTimeout": 1_000_000_000u64}, "WeightSource": "nominal",
                "Rules": {"AnswerSlack": 20_000_000, "OrderSettle": 100_000_000, "Cold": 10_000_000_000u64, "ColdFrom": 0.2,
                "TipMultiple": 2.0, "Fall": 2_000_000_000u64}},
        });
        let new_file = self.directory.join("config.new");
        fs::write(&new_file, text.to_string()).unwrap();
        fs::rename(new_file, self.config_path()).unwrap();
    }

    /// Rewrites the configuration file with a change of its JSON.
    pub fn edit_config(&self, change: impl FnOnce(&mut serde_json::Value)) {
        let mut config = serde_json::from_str(&fs::read_to_string(self.config_path()).unwrap()).unwrap();
        change(&mut config);
        fs::write(self.config_path(), config.to_string()).unwrap();
    }

    /// The command that starts the gateway, by the subcommand's former name `node`, with its output discarded.
    pub fn command(&self) -> Command {
        let mut command = Command::new(PROGRAM);
        command
            .arg("node")
            .env("ROUTER_CONFIG", self.config_path())
            .env("ROUTER_STATE", self.directory.join("state"));
        command.stdout(Stdio::null()).stderr(Stdio::null());
        command
    }

    /// Starts the gateway and waits until it replies to a PING.
    pub fn start(&mut self) {
        let mut command = self.command();
        self.start_as(&mut command);
    }

    /// [`GatewayHarness::start`] with fault injection controlled by `faults`.
    pub fn start_with_faults(&mut self, faults: &FaultControl) {
        let mut command = self.command();
        faults.attach(&mut command).unwrap();
        self.start_as(&mut command);
    }

    /// Creates the fault injection control, with no fault set.
    pub fn fault_control(&self) -> FaultControl {
        FaultControl::create(&self.directory.join("faults")).unwrap()
    }

    /// Whether the platform has received a notification of this status for a message.
    pub fn is_notified(&self, id: &str, expected_status: &str) -> bool {
        let is_notification = |event: &PlatformEvent| matches!(event, PlatformEvent::Notification { id: other, status, .. } if other == id && status == expected_status);
        self.platform.events().iter().any(|(_, event)| is_notification(event))
    }

    /// [`GatewayHarness::start`] with another command.
    pub fn start_as(&mut self, command: &mut Command) {
        self.gateway = Some(command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap());
        let end = Instant::now() + EVENT_TIMEOUT;
        loop {
            if let Ok(mut stream) = TcpStream::connect(self.listen) {
                stream.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
                let _ = stream.write_all(b"*1\r\n$4\r\nPING\r\n");
                if read_line(&mut stream).is_ok_and(|line| line == "+PONG") {
                    return;
                }
            }
            assert!(Instant::now() < end, "the gateway never replied to a PING");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Pauses the gateway with SIGSTOP and SIGCONT.
    pub fn pause(&self, time: Duration) {
        let gateway = self.gateway.as_ref().unwrap();
        send_signal(gateway, "-STOP");
        std::thread::sleep(time);
        send_signal(gateway, "-CONT");
    }

    /// Kills the gateway with SIGKILL, if it runs, and waits for its exit.
    pub fn kill(&mut self) {
        if let Some(mut gateway) = self.gateway.take() {
            let _ = gateway.kill();
            let _ = gateway.wait();
        }
    }

    /// Sends the shutdown signal (SIGTERM) and returns the time just after it.
    pub fn request_shutdown(&self) -> Instant {
        send_signal(self.gateway.as_ref().unwrap(), "-TERM");
        Instant::now()
    }

    /// Waits until the gateway has exited; fails once the platform would have killed it.
    pub fn wait_for_exit(&mut self, signalled: Instant) {
        let mut gateway = self.gateway.take().unwrap();
        while gateway.try_wait().unwrap().is_none() {
            assert!(
                signalled.elapsed() < KILL_AFTER,
                "the gateway is still running when the platform would kill it"
            );
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Connects a client to the gateway, with a read timeout of 8 s.
    pub fn connect_client(&self) -> TcpStream {
        let stream = TcpStream::connect(self.listen).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(8))).unwrap();
        stream
    }

    /// Waits until every accepted message has its final outcome, at most [`EVENT_TIMEOUT`]. Returns the violated invariants.
    pub fn final_violations(&self) -> Vec<String> {
        self.platform.wait_until(EVENT_TIMEOUT, |events| {
            !check_invariants(events).iter().any(|violation| violation.ends_with("had no final outcome"))
        });
        check_invariants(&self.platform.events())
    }

    /// Number of requests for a message that the platform's endpoints have received.
    pub fn request_count(&self, id: &str) -> usize {
        let is_request = |event: &PlatformEvent| matches!(event, PlatformEvent::RequestReceived { id: other, .. } if other == id);
        self.platform.events().iter().filter(|(_, event)| is_request(event)).count()
    }
}

/// A message of the ordered, keyed class `notice` with this order key, 0 for none.
pub fn notice(id: String, key: u64) -> PutCommand {
    let body = [b"slip \r\n\x00\xff ".as_slice(), id.as_bytes()].concat();
    let idempotency = Some(format!("k-{id}"));
    PutCommand { id, key, class: "notice".into(), time_left_ms: 9000, destination: 3, idempotency, body }
}

/// A message of the unsafe, unordered class `payment`.
pub fn payment(id: String) -> PutCommand {
    PutCommand { key: 0, class: "payment".into(), idempotency: None, ..notice(id, 0) }
}
