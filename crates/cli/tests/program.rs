//! The program from outside: responses of the AS2 gateway to invalid requests, and exit codes of the command line.

use cloverstile_as2::NewKey;
use cloverstile_as2_gateway::test_cluster::{ClassSpec, ClusterSpec, PartnerSpec, TestCluster};
use cloverstile_fakes::model::{Fault, ServerProfile};
use cloverstile_fakes::partner::PartnerCommand;
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

/// A gateway process with one partner and one client, and what is needed to talk to it.
struct World {
    cluster: TestCluster,
    folder: PathBuf,
    gateway: Child,
    address: SocketAddr,
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = self.gateway.kill();
        let _ = self.gateway.wait();
    }
}

fn spec() -> ClusterSpec {
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

fn world(name: &str) -> World {
    world_of(name, spec(), |text| {
        text.replace("connections = 4000", "connections = 3\n  body = \"4KiB\"\n  head_time = \"300ms\"")
    })
}

fn world_of(name: &str, spec: ClusterSpec, settings: impl Fn(String) -> String) -> World {
    let folder = std::env::temp_dir().join(format!("cloverstile-program-{}-{name}", std::process::id()));
    let cluster = TestCluster::build(&folder, spec, Recorder::default(), 1).unwrap();
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
    World { cluster, folder, gateway, address }
}

impl World {
    /// The whole response to some bytes, until the connection ends.
    fn exchange(&self, bytes: &[u8]) -> String {
        let mut stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        stream.write_all(bytes).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        answer
    }

    fn send(&self, change: &[&str]) -> Output {
        self.send_content("salary 100", change)
    }

    fn send_content(&self, content: &str, change: &[&str]) -> Output {
        let file = |name: &str| self.folder.join(name).display().to_string();
        fs::write(self.folder.join("body"), content).unwrap();
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
        for pair in change.chunks(2) {
            match arguments.iter().position(|known| known == pair[0]) {
                Some(place) => arguments[place + 1] = pair[1].to_owned(),
                None => arguments.extend(pair.iter().map(|text| (*text).to_owned())),
            }
        }
        arguments.push(file("body"));
        Command::new(PROGRAM).args(&arguments).output().unwrap()
    }

    fn code(&self, change: &[&str]) -> i32 {
        self.send(change).status.code().unwrap()
    }
}

#[test]
fn invalid_requests_get_their_http_status() {
    let world = world("status");
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
        let answer = world.exchange(bytes.as_bytes());
        assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{bytes:?}: {answer}");
    }
}

#[test]
fn connections_over_the_limit_get_503_and_others_are_served() {
    let world = world("limit");
    let held: Vec<TcpStream> = (0..3).map(|_| TcpStream::connect(world.address).unwrap()).collect();
    // Each of them is known to the gateway once it has responded to something.
    for mut stream in &held {
        stream.write_all(b"GET /as2 HTTP/1.1\r\n\r\n").unwrap();
        let mut one = [0; 12];
        stream.read_exact(&mut one).unwrap();
        assert_eq!(&one, b"HTTP/1.1 405");
    }
    assert!(world.exchange(b"").starts_with("HTTP/1.1 503 "));
}

#[test]
fn a_client_that_never_reads_responses_is_no_longer_read_from() {
    let world = world("unread");
    let mut stream = TcpStream::connect(world.address).unwrap();
    stream.set_write_timeout(Some(Duration::from_millis(400))).unwrap();
    let asked = "GET /as2 HTTP/1.1\r\n\r\n".repeat(4000);
    let taken = (0..400).take_while(|_| stream.write_all(asked.as_bytes()).is_ok()).count();
    assert!(taken < 400, "{} bytes were read from it", taken * asked.len());
    // It was left waiting, and the gateway still serves others.
    assert!(world.exchange(b"nonsense\r\n\r\n").starts_with("HTTP/1.1 400 "));
}

#[test]
fn exit_code_of_send_is_the_outcome() {
    let world = world("send");
    assert_eq!(world.code(&["--id", "one@client-0"]), 0);
    let again = world.send(&["--id", "one@client-0"]);
    let result: serde_json::Value = serde_json::from_slice(&again.stdout).unwrap();
    assert_eq!((again.status.code(), result["answer"].as_str()), (Some(0), Some("delivered")));
    assert_eq!(world.code(&["--partner", "nobody"]), 12);
    assert_eq!(world.code(&["--class", "none"]), 12);
    assert_eq!(world.code(&["--id", "one@client-0", "--time-left", "0"]), 12);
    // A response signed by another station than the gateway is no valid receipt.
    let other = world.folder.join("client-0.crt").display().to_string();
    assert_eq!(world.code(&["--to-certificate", &other]), 13);
    let silent = PartnerCommand::Fault {
        partner: 0,
        fault: Fault::Silent,
        zone: None,
        duration: Duration::from_secs(60),
    };
    world.cluster.partners.send(silent);
    assert_eq!(world.code(&["--id", "two@client-0"]), 11);
}

#[test]
fn reusing_an_id_for_other_content_is_a_conflict() {
    let world = world("conflict");
    assert_eq!(world.code(&["--id", "one@client-0"]), 0);
    assert_eq!(
        world.code(&["--id", "one@client-0", "--time-left", "500"]),
        0,
        "the same message in less time"
    );
    let other = world.send_content("salary 999", &["--id", "one@client-0"]);
    assert_eq!(other.status.code(), Some(12));
    let result: serde_json::Value = serde_json::from_slice(&other.stdout).unwrap();
    assert_eq!(result["status"], 409);
    assert_eq!(world.code(&["--id", "one@client-0"]), 0, "the first one keeps its answer");
}

/// Deployments start the gateways by the subcommands' former names too.
#[test]
fn subcommands_run_under_their_present_and_former_names() {
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

fn check(file: &Path) -> (Option<i32>, String) {
    let output = Command::new(PROGRAM).arg("check").arg(file).output().unwrap();
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

#[test]
fn check_reports_invalid_settings_and_keys() {
    let world = world("check");
    let file = &world.cluster.settings_files[0];
    assert_eq!(check(file).0, Some(0));
    let good = fs::read_to_string(file).unwrap();
    let bad = world.folder.join("bad.hcl");
    fs::write(&bad, good.replace("effect = \"unsafe\"", "effect = \"maybe\"")).unwrap();
    let (code, text) = check(&bad);
    assert!(
        code == Some(3) && text.contains("effect is 'maybe'") && text.contains("safe, keyed, unsafe"),
        "{text}"
    );
    fs::write(&bad, good.replace("\"bank.crt\"", "\"missing.crt\"")).unwrap();
    let (code, text) = check(&bad);
    assert!(code == Some(3) && text.contains("missing.crt"), "{text}");
    fs::set_permissions(world.folder.join("courier-0.key"), fs::Permissions::from_mode(0o644)).unwrap();
    let (code, text) = check(file);
    assert!(code == Some(3) && text.contains("chmod 600"), "{text}");
}

#[test]
fn keys_are_never_overwritten_and_readable_by_their_owner_only() {
    let folder = std::env::temp_dir().join(format!("cloverstile-keys-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let make = || {
        let arguments = ["keys", "station", "--kind", "p256", "--out", folder.to_str().unwrap()];
        Command::new(PROGRAM).args(arguments).output().unwrap().status.code()
    };
    assert_eq!((make(), make()), (Some(0), Some(1)));
    let mode = fs::metadata(folder.join("station.key")).unwrap().permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    fs::remove_dir_all(&folder).unwrap();
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
    // With little demand all is carried.
    let (code, losses, _) = plan(&["--wanted", "alpha=0", "--wanted", "gamma=0"]);
    assert_eq!((code, losses.iter().all(|loss| loss["whole"] == true)), (Some(0), true));
    let (code, _, why) = plan(&["--wanted", "delta=1"]);
    assert!(code == Some(3) && why.contains("'delta'") && why.contains("alpha, beta, gamma"), "{why}");
}

/// A partner whose first connection breaks after a request, and whose next one is established after the repeat window: nothing
/// is sent on it. Guards against a second effect, as the same case of the RESP gateway does.
#[test]
fn a_repeat_whose_connection_opens_after_the_repeat_window_is_not_sent() {
    let slow = gateway_harness::manual_endpoint::ManualEndpoint::new();
    let mut spec = spec();
    let (window, deadline) = (Duration::from_millis(1500), Duration::from_secs(9));
    spec.classes[0] = ClassSpec {
        effect: "keyed".into(),
        repeat_window: window,
        deadline,
        latency_objective: Duration::from_secs(1),
        ..spec.classes[0].clone()
    };
    spec.gateway_settings += "\n  connect_timeout = \"6s\"";
    let world = world_of("window", spec, |text| {
        let (head, tail) = text.split_once("address = \"").unwrap();
        let (_, tail) = tail.split_once('"').unwrap();
        format!("{head}address = \"{}\"{tail}", slow.address)
    });
    std::thread::scope(|scope| {
        let sent = scope.spawn(|| world.code(&["--id", "late@client-0"]));
        let (text, late) = slow.late_retry("late@client-0", Duration::from_millis(1600));
        assert_eq!(text, "", "sent {late:?} after the first call");
        assert_eq!(sent.join().unwrap(), 11, "it may have taken effect, and the exit code says so");
    });
}
