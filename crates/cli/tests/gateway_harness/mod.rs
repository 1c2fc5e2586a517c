//! The real program beside fakes: platform, clients, and endpoints that act at an exact step.
#![allow(dead_code, reason = "each test file uses a part of the harness")]

pub mod manual_endpoint;
pub mod streams;

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
/// How long a test waits for an event that must come.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(20);
/// The platform kills a gateway that has not ended this long after its shutdown signal.
const KILL_AFTER: Duration = Duration::from_millis(3700);

/// A gateway process with its configuration and state directory, beside a fake platform.
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

/// Waits until a condition holds, at most for a time; whether it does.
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

/// A gateway whose one endpoint of destination 3 is controlled by the test.
pub fn harness_with_manual_endpoint(name: &str) -> (GatewayHarness, ManualEndpoint) {
    let (harness, endpoint) = (GatewayHarness::new(name, &[3]), ManualEndpoint::new());
    harness.edit_config(|config| {
        config["known"]["instances"][0]["hostPort"] = endpoint.address.to_string().into();
    });
    (harness, endpoint)
}

/// Sends a signal, by its option of `kill`, to a process.
pub fn send_signal(child: &Child, name: &str) {
    assert!(Command::new("kill").args([name, &child.id().to_string()]).status().unwrap().success());
}

impl GatewayHarness {
    /// A platform with one endpoint for each of `destinations`, and a configuration; no gateway runs yet.
    pub fn new(name: &str, destinations: &[u16]) -> GatewayHarness {
        // The gateway's address must outlast its processes. Guards against a port that was free a moment ago and is
        // another's when the gateway starts again: this whole address is nobody else's.
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

    /// Writes the configuration, with the platform's discovery of this index.
    pub fn configure(&self, discovery: usize) {
        let lane = |name: &str, effect: &str, in_order: bool| {
            serde_json::json!({"Name": name, "Effect": effect, "Group": "all", "Aim": 1_000_000_000u64, "Deadline": 12_000_000_000u64,
                "RepeatWindow": 8_000_000_000u64, "OneAtATime": in_order, "Worth": 1.0, "LateShare": 0.4})
        };
        let text = serde_json::json!({
            "name": "n0", "listen": self.listen.to_string(), "discovery": self.platform.discovery[discovery].to_string(),
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256, "disk_mb": 1},
            "known": self.platform.endpoint_list(),
            "settings": {"Balancers": 1, "ClientHabits": {"MarksRetry": false}, "Discovery": "push", "Locality": 0,
                "FamilyInfo": {"CallsOut": 16, "KindBatch": [1], "OwnLimits": [false], "Decay": "line"},
                "Lanes": [lane("notice", "idempotency_key", true), lane("payment", "non_idempotent", false)],
                "MachineTypes": ["any"], "Zones": ["here"], "Permissions": {"MostHeld": 400, "SendCap": 8, "Cancel": true, "RetryAfter": false,
                "ConnIdle": 5_000_000_000u64, "ConnectTimeout": 1_000_000_000u64}, "WeightSource": "nominal",
                "Rules": {"AnswerSlack": 20_000_000, "OrderSettle": 100_000_000, "Cold": 10_000_000_000u64, "ColdFrom": 0.2,
                "TipMultiple": 2.0, "Fall": 2_000_000_000u64}},
        });
        let new_file = self.directory.join("config.new");
        fs::write(&new_file, text.to_string()).unwrap();
        fs::rename(new_file, self.config_path()).unwrap();
    }

    /// Changes the configuration.
    pub fn edit_config(&self, change: impl FnOnce(&mut serde_json::Value)) {
        let mut config = serde_json::from_str(&fs::read_to_string(self.config_path()).unwrap()).unwrap();
        change(&mut config);
        fs::write(self.config_path(), config.to_string()).unwrap();
    }

    /// The command that starts the gateway.
    pub fn command(&self) -> Command {
        let mut command = Command::new(PROGRAM);
        command
            .arg("node")
            .env("ROUTER_CONFIG", self.config_path())
            .env("ROUTER_STATE", self.directory.join("state"));
        command.stdout(Stdio::null()).stderr(Stdio::null());
        command
    }

    /// Starts the gateway and waits until it replies.
    pub fn start(&mut self) {
        let mut command = self.command();
        self.start_as(&mut command);
    }

    /// Starts the gateway under faults of the machine and waits until it replies.
    pub fn start_with_faults(&mut self, faults: &FaultControl) {
        let mut command = self.command();
        faults.attach(&mut command).unwrap();
        self.start_as(&mut command);
    }

    /// A control of the gateway's faults, without one so far.
    pub fn fault_control(&self) -> FaultControl {
        FaultControl::create(&self.directory.join("faults")).unwrap()
    }

    /// Whether a notification of this status came for a message.
    pub fn is_notified(&self, id: &str, wanted: &str) -> bool {
        let is_notification = |seen: &PlatformEvent| matches!(seen, PlatformEvent::Notification { id: of, status, .. } if of == id && status == wanted);
        self.platform.events().iter().any(|(_, seen)| is_notification(seen))
    }

    /// Starts the gateway by another command and waits until it replies.
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
            assert!(Instant::now() < end, "it never replied to a PING");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Kills the gateway.
    pub fn kill(&mut self) {
        if let Some(mut gateway) = self.gateway.take() {
            let _ = gateway.kill();
            let _ = gateway.wait();
        }
    }

    /// Sends the shutdown signal.
    pub fn request_shutdown(&self) -> Instant {
        send_signal(self.gateway.as_ref().unwrap(), "-TERM");
        Instant::now()
    }

    /// Waits until the gateway has ended, at most until it would be killed.
    pub fn wait_for_exit(&mut self, signalled: Instant) {
        let mut gateway = self.gateway.take().unwrap();
        while gateway.try_wait().unwrap().is_none() {
            assert!(signalled.elapsed() < KILL_AFTER, "it would have been killed");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// A client's connection to the gateway.
    pub fn connect_client(&self) -> TcpStream {
        let stream = TcpStream::connect(self.listen).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(8))).unwrap();
        stream
    }

    /// Waits until every accepted message has its outcome, and returns the violated invariants.
    pub fn violations_at_the_end(&self) -> Vec<String> {
        self.platform.wait_until(EVENT_TIMEOUT, |events| {
            !check_invariants(events).iter().any(|violation| violation.ends_with("is lost"))
        });
        check_invariants(&self.platform.events())
    }

    /// How many requests for a message have arrived at endpoints.
    pub fn request_count(&self, id: &str) -> usize {
        let is_request = |event: &PlatformEvent| matches!(event, PlatformEvent::RequestReceived { id: other, .. } if other == id);
        self.platform.events().iter().filter(|(_, event)| is_request(event)).count()
    }
}

/// A message of the ordered class with idempotency keys; order key 0 for none.
pub fn notice(id: String, key: u64) -> PutCommand {
    let body = [b"slip \r\n\x00\xff ".as_slice(), id.as_bytes()].concat();
    let idempotency = Some(format!("k-{id}"));
    PutCommand { id, key, class: "notice".into(), time_left_ms: 9000, destination: 3, idempotency, body }
}

/// A message of the class that may not be repeated.
pub fn payment(id: String) -> PutCommand {
    PutCommand { key: 0, class: "payment".into(), idempotency: None, ..notice(id, 0) }
}
