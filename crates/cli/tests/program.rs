//! The program as its users see it: responses of the AS2 gateway to invalid requests, and exit codes and output of the
//! subcommands.

use cloverstile_as2::NewKey;
use cloverstile_as2_gateway::test_cluster::{ClassSpec, ClusterSpec, PartnerSpec, TestCluster};
use cloverstile_fakes::model::{Fault, ServerProfile};
use cloverstile_fakes::partner::{PartnerCommand, ReceiptFault};
use cloverstile_fakes::record::Recorder;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;

mod gateway_harness;

const PROGRAM: &str = env!("CARGO_BIN_EXE_cloverstile");

/// An AS2 gateway process with one partner and one client, and what a test needs to send to it.
struct As2Harness {
    cluster: TestCluster,
    directory: PathBuf,
    gateway: Child,
    address: SocketAddr,
}

impl Drop for As2Harness {
    fn drop(&mut self) {
        let _ = self.gateway.kill();
        let _ = self.gateway.wait();
    }
}

/// One gateway, one client, and a partner `bank` that takes messages of the unsafe class `pay`.
fn default_cluster_spec() -> ClusterSpec {
    let partner = PartnerSpec {
        name: "bank".into(),
        kind: "any".into(),
        profile: ServerProfile::default(),
        zones: vec![0],
        key: NewKey::P256,
        async_receipts: false,
        certificate_mismatch: false,
        spill_share: None,
    };
    let class = ClassSpec {
        name: "pay".into(),
        effect: "unsafe".into(),
        group: "all".into(),
        ordered: false,
        latency_objective: Duration::from_millis(300),
        deadline: Duration::from_millis(900),
        repeat_window: Duration::ZERO,
        priority_weight: 1.0,
    };
    ClusterSpec {
        gateways: 1,
        clients: 1,
        partners: vec![partner],
        classes: vec![class],
        zones: 1,
        gateway_settings: "  stop_within = \"2s\"".into(),
        rule_and_kind_blocks: "kind \"any\" {}\nrules { answer_slack = \"300ms\" }".into(),
    }
}

/// A gateway with low limits of connections, body size and time for a request head.
fn start_gateway(name: &str) -> As2Harness {
    start_gateway_with(name, default_cluster_spec(), |text| {
        text.replace("connections = 4000", "connections = 3\n  body = \"4KiB\"\n  head_time = \"300ms\"")
    })
}

/// A gateway of this cluster; `settings` rewrites its settings file before the start.
fn start_gateway_with(name: &str, spec: ClusterSpec, settings: impl Fn(String) -> String) -> As2Harness {
    let directory = std::env::temp_dir().join(format!("cloverstile-program-{}-{name}", std::process::id()));
    let cluster = TestCluster::build(&directory, spec, Recorder::default(), 1).unwrap();
    let text = fs::read_to_string(&cluster.settings_files[0]).unwrap();
    fs::write(&cluster.settings_files[0], settings(text)).unwrap();
    let mut gateway = Command::new(PROGRAM)
        .arg("serve")
        .arg(&cluster.settings_files[0])
        .args(["--announce", "--log", "error"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(gateway.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let announcement: serde_json::Value = serde_json::from_str(&line).unwrap();
    let address = announcement["listening"].as_str().unwrap().parse().unwrap();
    As2Harness { cluster, directory, gateway, address }
}

impl As2Harness {
    /// Sends raw bytes on a new connection and returns everything received until it ends.
    fn exchange(&self, bytes: &[u8]) -> String {
        let mut stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        stream.write_all(bytes).unwrap();
        let mut response = String::new();
        stream.read_to_string(&mut response).unwrap();
        response
    }

    /// Sends a message by the `send` subcommand; `overrides` holds pairs of an option and its value that replace or extend the
    /// default ones.
    fn send(&self, overrides: &[&str]) -> Output {
        self.send_content("salary 100", overrides)
    }

    /// [`As2Harness::send`] with this body.
    fn send_content(&self, content: &str, overrides: &[&str]) -> Output {
        let file = |name: &str| self.directory.join(name).display().to_string();
        fs::write(self.directory.join("body"), content).unwrap();
        let mut arguments: Vec<String> = [
            "send",
            "--json",
            "--url",
            &format!("http://{}/as2", self.address),
            "--to",
            "courier-0",
            "--from",
            "client-0",
            "--partner",
            "bank",
            "--class",
            "pay",
        ]
        .map(str::to_owned)
        .to_vec();
        arguments.extend([
            "--to-certificate".into(),
            file("courier-0.crt"),
            "--key".into(),
            file("client-0.key"),
        ]);
        arguments.extend(["--certificate".into(), file("client-0.crt")]);
        for pair in overrides.chunks(2) {
            match arguments.iter().position(|argument| argument == pair[0]) {
                Some(index) => arguments[index + 1] = pair[1].to_owned(),
                None => arguments.extend(pair.iter().map(|text| (*text).to_owned())),
            }
        }
        arguments.push(file("body"));
        Command::new(PROGRAM).args(&arguments).output().unwrap()
    }

    /// Exit code of [`As2Harness::send`].
    fn send_exit_code(&self, overrides: &[&str]) -> i32 {
        self.send(overrides).status.code().unwrap()
    }
}

#[test]
fn invalid_requests_get_their_http_status() {
    let harness = start_gateway("status");
    for (bytes, status) in [
        ("GET /as2 HTTP/1.1\r\nConnection: close\r\n\r\n", "405"),
        ("POST /other HTTP/1.1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", "404"),
        ("POST /as2 HTTP/1.1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", "400"),
        ("POST /as2 HTTP/1.1\r\nContent-Length: 5000\r\n\r\n", "413"),
        ("POST /as2 HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", "400"),
        ("nonsense\r\n\r\n", "400"),
        ("POST /as2 HTTP/1.1\r\nSlow: ", "408"),
        (
            "POST /as2 HTTP/1.1\r\nConnection: close\r\nAS2-From: stranger\r\nAS2-To: courier-0\r\n\
             Message-ID: <1>\r\nContent-Length: 0\r\n\r\n",
            "403",
        ),
    ] {
        let response = harness.exchange(bytes.as_bytes());
        assert!(response.starts_with(&format!("HTTP/1.1 {status} ")), "{bytes:?}: {response}");
    }
}

#[test]
fn connections_over_the_limit_get_503_and_others_are_served() {
    let harness = start_gateway("limit");
    let held: Vec<TcpStream> = (0..3).map(|_| TcpStream::connect(harness.address).unwrap()).collect();
    // A response shows that the gateway has accepted the connection and counts it.
    for mut stream in &held {
        stream.write_all(b"GET /as2 HTTP/1.1\r\n\r\n").unwrap();
        let mut start = [0; 12];
        stream.read_exact(&mut start).unwrap();
        assert_eq!(&start, b"HTTP/1.1 405");
    }
    assert!(harness.exchange(b"").starts_with("HTTP/1.1 503 "));
}

#[test]
fn client_that_never_reads_responses_is_no_longer_read_from() {
    let harness = start_gateway("unread");
    let mut stream = TcpStream::connect(harness.address).unwrap();
    stream.set_write_timeout(Some(Duration::from_millis(400))).unwrap();
    let requests = "GET /as2 HTTP/1.1\r\n\r\n".repeat(4000);
    let accepted_writes = (0..400).take_while(|_| stream.write_all(requests.as_bytes()).is_ok()).count();
    assert!(accepted_writes < 400, "the gateway read {} bytes from it", accepted_writes * requests.len());
    // The gateway waits for this client to read, and still serves others.
    assert!(harness.exchange(b"nonsense\r\n\r\n").starts_with("HTTP/1.1 400 "));
}

#[test]
fn exit_code_of_send_is_the_outcome() {
    let harness = start_gateway("send");
    assert_eq!(harness.send_exit_code(&["--id", "one@client-0"]), 0);
    let again = harness.send(&["--id", "one@client-0"]);
    let result: serde_json::Value = serde_json::from_slice(&again.stdout).unwrap();
    assert_eq!((again.status.code(), result["answer"].as_str()), (Some(0), Some("delivered")));
    assert_eq!(harness.send_exit_code(&["--partner", "nobody"]), 12);
    assert_eq!(harness.send_exit_code(&["--class", "none"]), 12);
    assert_eq!(harness.send_exit_code(&["--id", "one@client-0", "--time-left", "0"]), 12);
    // A receipt signed with another key than the gateway's is invalid.
    let other = harness.directory.join("client-0.crt").display().to_string();
    assert_eq!(harness.send_exit_code(&["--to-certificate", &other]), 13);
    let silent = PartnerCommand::Fault {
        partner: 0,
        fault: Fault::Silent,
        group: None,
        duration: Duration::from_secs(60),
    };
    harness.cluster.partners.send(silent);
    assert_eq!(harness.send_exit_code(&["--id", "two@client-0"]), 11);
}

#[test]
fn reusing_an_id_for_other_content_is_a_conflict() {
    let harness = start_gateway("conflict");
    assert_eq!(harness.send_exit_code(&["--id", "one@client-0"]), 0);
    assert_eq!(
        harness.send_exit_code(&["--id", "one@client-0", "--time-left", "500"]),
        0,
        "the same message with less time left"
    );
    let other = harness.send_content("salary 999", &["--id", "one@client-0"]);
    assert_eq!(other.status.code(), Some(12));
    let result: serde_json::Value = serde_json::from_slice(&other.stdout).unwrap();
    assert_eq!(result["status"], 409);
    assert_eq!(harness.send_exit_code(&["--id", "one@client-0"]), 0, "the first message keeps its outcome");
}

/// Existing deployments start the gateways by the former names of the subcommands, which `--help` no longer lists.
#[test]
fn subcommands_accept_their_current_and_former_names() {
    for name in ["resp-gateway", "node"] {
        let mut command = Command::new(PROGRAM);
        command.arg(name).env("ROUTER_STATE", std::env::temp_dir()).env_remove("ROUTER_CONFIG");
        let output = command.output().unwrap();
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(output.status.code() == Some(3) && error.contains("ROUTER_CONFIG"), "{name}: {error}");
    }
    for name in ["as2-gateway", "serve"] {
        let output = Command::new(PROGRAM).args([name, "/nowhere/settings.hcl"]).output().unwrap();
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            output.status.code() == Some(3) && error.contains("/nowhere/settings.hcl"),
            "{name}: {error}"
        );
    }
    let help = Command::new(PROGRAM).arg("--help").output().unwrap();
    let help = String::from_utf8_lossy(&help.stdout).into_owned();
    let is_listed = |name: &str| help.lines().any(|line| line.split_whitespace().next() == Some(name));
    assert!(is_listed("resp-gateway") && is_listed("as2-gateway"), "{help}");
    assert!(!is_listed("node") && !is_listed("serve"), "former names are hidden: {help}");
}

/// Runs the `check` subcommand on a settings file; its exit code and standard error.
fn run_check(file: &Path) -> (Option<i32>, String) {
    let output = Command::new(PROGRAM).arg("check").arg(file).output().unwrap();
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

#[test]
fn check_reports_invalid_settings_and_keys() {
    let harness = start_gateway("check");
    let file = &harness.cluster.settings_files[0];
    assert_eq!(run_check(file).0, Some(0));
    let valid = fs::read_to_string(file).unwrap();
    let invalid = harness.directory.join("bad.hcl");
    fs::write(&invalid, valid.replace("effect = \"unsafe\"", "effect = \"maybe\"")).unwrap();
    let (code, text) = run_check(&invalid);
    assert!(
        code == Some(3) && text.contains("effect is 'maybe'") && text.contains("safe, keyed, unsafe"),
        "{text}"
    );
    fs::write(&invalid, valid.replace("\"bank.crt\"", "\"missing.crt\"")).unwrap();
    let (code, text) = run_check(&invalid);
    assert!(code == Some(3) && text.contains("missing.crt"), "{text}");
    fs::set_permissions(harness.directory.join("courier-0.key"), fs::Permissions::from_mode(0o644)).unwrap();
    let (code, text) = run_check(file);
    assert!(code == Some(3) && text.contains("chmod 600"), "{text}");
}

#[test]
fn keys_are_never_overwritten_and_readable_by_their_owner_only() {
    let directory = std::env::temp_dir().join(format!("cloverstile-keys-{}", std::process::id()));
    fs::create_dir_all(&directory).unwrap();
    let create_key = || {
        let arguments = ["keys", "station", "--kind", "p256", "--out", directory.to_str().unwrap()];
        Command::new(PROGRAM).args(arguments).output().unwrap().status.code()
    };
    assert_eq!((create_key(), create_key()), (Some(0), Some(1)));
    let mode = fs::metadata(directory.join("station.key")).unwrap().permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    fs::remove_dir_all(&directory).unwrap();
}

#[test]
fn plan_reports_which_losses_exceed_the_capacity_and_unknown_partners() {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/three-banks.hcl");
    let plan = |more: &[&str]| {
        let output = Command::new(PROGRAM).args(["plan", example, "--json"]).args(more).output().unwrap();
        let text = String::from_utf8(output.stdout).unwrap();
        let lines: Vec<serde_json::Value> =
            text.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
        (output.status.code(), lines, String::from_utf8(output.stderr).unwrap())
    };
    let (code, losses, _) = plan(&["--two"]);
    assert_eq!((code, losses.len()), (Some(5), 1 + 3 + 3));
    let kingston = &losses[1];
    assert_eq!((&kingston["zones"][0], &kingston["whole"]), (&"kingston".into(), &false.into()));
    assert_eq!(kingston["partners"][0]["binds"], "spill-share");
    assert!(kingston["best_worth"].as_f64() > kingston["worth"].as_f64());
    // With less demand, the capacity suffices after every loss.
    let (code, losses, _) = plan(&["--wanted", "alpha=0", "--wanted", "gamma=0"]);
    assert_eq!((code, losses.iter().all(|loss| loss["whole"] == true)), (Some(0), true));
    let (code, _, error) = plan(&["--wanted", "delta=1"]);
    assert!(code == Some(3) && error.contains("'delta'") && error.contains("alpha, beta, gamma"), "{error}");
}

/// A partner's first connection breaks after a request, and the connection of the retry is established after the retry window.
/// Guards against sending the retry on it, which could take effect a second time. `resp_gateway.rs` has the same case.
#[test]
fn as2_retry_is_not_sent_when_its_connection_is_established_after_the_retry_window() {
    let endpoint = gateway_harness::manual_endpoint::ManualEndpoint::new();
    let mut spec = default_cluster_spec();
    let (window, deadline) = (Duration::from_millis(1500), Duration::from_secs(9));
    spec.classes[0] = ClassSpec {
        effect: "keyed".into(),
        repeat_window: window,
        deadline,
        latency_objective: Duration::from_secs(1),
        ..spec.classes[0].clone()
    };
    spec.gateway_settings += "\n  connect_timeout = \"6s\"";
    let harness = start_gateway_with("window", spec, |text| {
        let (head, tail) = text.split_once("address = \"").unwrap();
        let (_, tail) = tail.split_once('"').unwrap();
        format!("{head}address = \"{}\"{tail}", endpoint.address)
    });
    std::thread::scope(|scope| {
        let sent = scope.spawn(|| harness.send_exit_code(&["--id", "late@client-0"]));
        let (text, late) = endpoint.delay_retry_connection("late@client-0", Duration::from_millis(1600));
        assert_eq!(text, "", "sent {late:?} after the first request");
        assert_eq!(sent.join().unwrap(), 11, "exit code 11: it may have taken effect");
    });
}

/// Guards against a receipt taken for that of the next message on its connection: the partner writes each response a second
/// time, when the next message is in progress. Its receipt then failed verification, and the message counted as one that may
/// have taken effect.
#[test]
fn copy_of_a_receipt_is_not_taken_for_the_receipt_of_the_next_message() {
    let mut spec = default_cluster_spec();
    spec.partners[0].profile = ServerProfile {
        min_service_time: Duration::from_millis(90),
        mean_extra_service_time: Duration::ZERO,
        ..ServerProfile::default()
    };
    for copy_delay_ms in [30, 60, 90, 120] {
        let harness = start_gateway_with(&format!("copy-{copy_delay_ms}"), spec.clone(), |text| text);
        let fault = Some(ReceiptFault::RepeatedResponse(copy_delay_ms));
        harness.cluster.partners.send(PartnerCommand::SetReceiptFault { partner: 0, fault });
        let exit_code = |number| harness.send_exit_code(&["--id", &format!("m{number}@client-0")]);
        let exit_codes: Vec<i32> = (0..6).map(exit_code).collect();
        assert_eq!(exit_codes, [0; 6], "copies after {copy_delay_ms} ms");
    }
}
