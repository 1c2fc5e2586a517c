//! The program as its users meet it: the front's answers to what is no message, and the command line's exit codes.

use cloverstile_as2::NewKey;
use cloverstile_as2_gateway::test_cluster::{ClassSpec, ClusterSpec, PartnerSpec, TestCluster};
use cloverstile_fakes::model::{Fault, ServerProfile};
use cloverstile_fakes::partner::PartnerCommand;
use cloverstile_fakes::record::Recorder;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::Duration;

mod gateway_harness;

const PROGRAM: &str = env!("CARGO_BIN_EXE_cloverstile");

/// A courier process with one partner and one client, and what is needed to talk to it.
struct World {
    rig: TestCluster,
    folder: PathBuf,
    courier: Child,
    address: SocketAddr,
}

impl Drop for World {
    fn drop(&mut self) {
        let _ = self.courier.kill();
        let _ = self.courier.wait();
    }
}

fn spec() -> ClusterSpec {
    let partner = PartnerSpec {
        name: "bank".into(),
        kind: "any".into(),
        profile: ServerProfile::default(),
        zones: vec![0],
        key: NewKey::P256,
        deferred: false,
        mismatched: false,
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
        blocks: "kind \"any\" {}\nrules { answer_slack = \"300ms\" }".into(),
    }
}

fn world(name: &str) -> World {
    world_of(name, spec(), |text| {
        text.replace("connections = 4000", "connections = 3\n  body = \"4KiB\"\n  head_time = \"300ms\"")
    })
}

fn world_of(name: &str, spec: ClusterSpec, settings: impl Fn(String) -> String) -> World {
    let folder = std::env::temp_dir().join(format!("cloverstile-program-{}-{name}", std::process::id()));
    let rig = TestCluster::build(&folder, spec, Recorder::default(), 1).unwrap();
    let text = fs::read_to_string(&rig.files[0]).unwrap();
    fs::write(&rig.files[0], settings(text)).unwrap();
    let mut courier = Command::new(PROGRAM)
        .arg("serve")
        .arg(&rig.files[0])
        .args(["--announce", "--log", "error"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(courier.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let told: serde_json::Value = serde_json::from_str(&line).unwrap();
    let address = told["listening"].as_str().unwrap().parse().unwrap();
    World { rig, folder, courier, address }
}

impl World {
    /// All that is answered to some bytes until the connection ends.
    fn ask(&self, bytes: &[u8]) -> String {
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
fn what_is_no_message_gets_a_clear_status() {
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
        let answer = world.ask(bytes.as_bytes());
        assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{bytes:?}: {answer}");
    }
}

#[test]
fn connections_over_the_limit_are_turned_away_and_those_below_it_still_served() {
    let world = world("limit");
    let held: Vec<TcpStream> = (0..3).map(|_| TcpStream::connect(world.address).unwrap()).collect();
    // Each of them is known to the courier once it has answered something.
    for mut stream in &held {
        stream.write_all(b"GET /as2 HTTP/1.1\r\n\r\n").unwrap();
        let mut one = [0; 12];
        stream.read_exact(&mut one).unwrap();
        assert_eq!(&one, b"HTTP/1.1 405");
    }
    assert!(world.ask(b"").starts_with("HTTP/1.1 503 "));
}

#[test]
fn a_client_that_asks_on_and_on_and_never_reads_is_no_longer_read_from() {
    let world = world("unread");
    let mut stream = TcpStream::connect(world.address).unwrap();
    stream.set_write_timeout(Some(Duration::from_millis(400))).unwrap();
    let asked = "GET /as2 HTTP/1.1\r\n\r\n".repeat(4000);
    let taken = (0..400).take_while(|_| stream.write_all(asked.as_bytes()).is_ok()).count();
    assert!(taken < 400, "{} bytes were read from it", taken * asked.len());
    // It was left waiting, not the courier brought down.
    assert!(world.ask(b"nonsense\r\n\r\n").starts_with("HTTP/1.1 400 "));
}

#[test]
fn the_exit_code_of_send_tells_the_answer() {
    let world = world("send");
    assert_eq!(world.code(&["--id", "one@client-0"]), 0);
    let again = world.send(&["--id", "one@client-0"]);
    let told: serde_json::Value = serde_json::from_slice(&again.stdout).unwrap();
    assert_eq!((again.status.code(), told["answer"].as_str()), (Some(0), Some("delivered")));
    assert_eq!(world.code(&["--partner", "nobody"]), 12);
    assert_eq!(world.code(&["--class", "none"]), 12);
    assert_eq!(world.code(&["--id", "one@client-0", "--time-left", "0"]), 12);
    // The courier's answer must be the courier's: another certificate is none that counts.
    let other = world.folder.join("client-0.crt").display().to_string();
    assert_eq!(world.code(&["--to-certificate", &other]), 13);
    let silent = PartnerCommand::Fault {
        partner: 0,
        fault: Fault::Silent,
        zone: None,
        duration: Duration::from_secs(60),
    };
    world.rig.partners.send(silent);
    assert_eq!(world.code(&["--id", "two@client-0"]), 11);
}

#[test]
fn an_id_used_for_other_content_is_a_conflict_and_changes_nothing() {
    let world = world("conflict");
    assert_eq!(world.code(&["--id", "one@client-0"]), 0);
    assert_eq!(
        world.code(&["--id", "one@client-0", "--time-left", "500"]),
        0,
        "the same message in less time"
    );
    let other = world.send_content("salary 999", &["--id", "one@client-0"]);
    assert_eq!(other.status.code(), Some(12));
    let told: serde_json::Value = serde_json::from_slice(&other.stdout).unwrap();
    assert_eq!(told["status"], 409);
    assert_eq!(world.code(&["--id", "one@client-0"]), 0, "the first one keeps its answer");
}

fn check(file: &Path) -> (Option<i32>, String) {
    let output = Command::new(PROGRAM).arg("check").arg(file).output().unwrap();
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

#[test]
fn check_tells_what_is_wrong_with_settings_and_keys() {
    let world = world("check");
    let file = &world.rig.files[0];
    assert_eq!(check(file).0, Some(0));
    let good = fs::read_to_string(file).unwrap();
    let bad = world.folder.join("bad.hcl");
    fs::write(&bad, good.replace("effect = \"unsafe\"", "effect = \"maybe\"")).unwrap();
    let (code, told) = check(&bad);
    assert!(
        code == Some(3) && told.contains("effect is 'maybe'") && told.contains("safe, keyed, unsafe"),
        "{told}"
    );
    fs::write(&bad, good.replace("\"bank.crt\"", "\"missing.crt\"")).unwrap();
    let (code, told) = check(&bad);
    assert!(code == Some(3) && told.contains("missing.crt"), "{told}");
    use std::os::unix::fs::PermissionsExt;
    fs::set_permissions(world.folder.join("courier-0.key"), fs::Permissions::from_mode(0o644)).unwrap();
    let (code, told) = check(file);
    assert!(code == Some(3) && told.contains("chmod 600"), "{told}");
}

#[test]
fn keys_are_made_once_and_for_their_owner_alone() {
    let folder = std::env::temp_dir().join(format!("cloverstile-keys-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    let make = || {
        let arguments = ["keys", "station", "--kind", "p256", "--out", folder.to_str().unwrap()];
        Command::new(PROGRAM).args(arguments).output().unwrap().status.code()
    };
    assert_eq!((make(), make()), (Some(0), Some(1)));
    use std::os::unix::fs::PermissionsExt;
    let mode = fs::metadata(folder.join("station.key")).unwrap().permissions().mode();
    assert_eq!(mode & 0o777, 0o600);
    fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn plan_tells_which_losses_can_be_carried_and_check_of_wrong_figures() {
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
    // With little wanted all is carried but what has one site alone.
    let (code, losses, _) = plan(&["--wanted", "alpha=0", "--wanted", "gamma=0"]);
    assert_eq!((code, losses.iter().all(|loss| loss["whole"] == true)), (Some(0), true));
    let (code, _, why) = plan(&["--wanted", "delta=1"]);
    assert!(code == Some(3) && why.contains("'delta'") && why.contains("alpha, beta, gamma"), "{why}");
}

/// A partner whose first connection breaks behind a call, and whose next one comes up when the window for repeats is over:
/// nothing goes out on it. Guards against a second effect, as it did at the node.
#[test]
fn a_repeat_whose_connection_comes_up_behind_its_window_is_not_sent() {
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
        assert_eq!(sent.join().unwrap(), 11, "it may have taken effect, and is told so");
    });
}
