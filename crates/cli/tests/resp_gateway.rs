//! The RESP gateway as the platform runs it: killed, shut down, reconfigured, with misbehaving clients and malformed
//! responses. The tests check what the sockets of the fake platform received.

mod gateway_harness;

use cloverstile_fakes::platform::{read_line, EndpointBehaviour, PlatformEvent, PutCommand};
use gateway_harness::manual_endpoint::ManualEndpoint;
use gateway_harness::{notice, payment, send_signal, GatewayHarness, EVENT_TIMEOUT, PROGRAM};
use std::fs;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

#[test]
fn submitted_messages_arrive_unchanged_and_malformed_input_is_rejected() {
    let mut harness = GatewayHarness::new("calm", &[3, 3, 4]);
    harness.start();
    let mut client = harness.connect_client();
    let malformed: [&[u8]; 9] = [
        b"GET / HTTP/1.1\r\n\r\n",
        b"*5\r\n$7\r\nMSG.PUT\r\n$60000000\r\n",
        b"*-3\r\n",
        b"*2\r\n$-9\r\nxx",
        b"*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$1\r\na\r\n$20\r\nc=other,d=9,dest=300\r\n$0\r\n\r\n",
        b"*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0\r\n$0\r\n\r\n$21\r\nc=payment,d=9,dest=03\r\n$0\r\n\r\n",
        b"*5\r\n$7\r\nMSG.PUT\r\n$1\r\n0",
        b"*99999999999999999999999999999999999999999",
        b"",
    ];
    let mut others: Vec<TcpStream> = malformed.iter().map(|_| harness.connect_client()).collect();
    for (stream, bytes) in others.iter_mut().zip(malformed) {
        stream.write_all(bytes).unwrap();
    }
    for number in 0..20 {
        let put =
            if number % 2 == 0 { notice(format!("n{number}"), 7) } else { payment(format!("p{number}")) };
        assert_eq!(harness.platform.submit(&mut client, &put).unwrap(), "+OK");
    }
    // Pipelined commands get their replies in order.
    client.write_all(&[b"*1\r\n$4\r\nPING\r\n".to_vec(), payment("late".into()).encode()].concat()).unwrap();
    assert_eq!([read_line(&mut client).unwrap(), read_line(&mut client).unwrap()], ["+PONG", "+OK"]);
    assert_eq!(harness.final_violations(), [""; 0]);
    for (_, event) in harness.platform.events() {
        if let PlatformEvent::RequestReceived { id, idempotency, endpoint, body } = event {
            assert_eq!(body, notice(id.clone(), 0).body);
            assert_eq!(idempotency, id.starts_with('n').then(|| format!("k-{id}")));
            assert_ne!(endpoint, 2, "endpoint 2 serves another destination");
        }
    }
    let end = Instant::now() + Duration::from_secs(3);
    for (stream, bytes) in others.iter_mut().zip(malformed) {
        let mut reply = [0; 4];
        // An error reply, or the end of the connection.
        let closed_or_error = stream.read(&mut reply).map_or(true, |count| count == 0 || reply[0] == b'-');
        assert!(closed_or_error, "{}", String::from_utf8_lossy(bytes));
    }
    assert!(Instant::now() < end, "the malformed inputs were not all rejected within 3 s");
}

#[test]
fn kill_under_load_loses_no_message_and_repeats_no_unsafe_one() {
    let mut harness = GatewayHarness::new("killed", &[3, 3]);
    harness.start();
    (0..2).for_each(|endpoint| harness.platform.set_behaviour(endpoint, EndpointBehaviour::Silent));
    for round in 0..3 {
        let mut client = harness.connect_client();
        for number in 0..40 {
            let id = format!("{round}-{number}");
            let put = if number % 2 == 0 { notice(id, number % 3 + 1) } else { payment(id) };
            let _ = harness.platform.submit(&mut client, &put);
        }
        // Payments must be in flight at the kill, or the test checks nothing.
        let is_payment_request = |event: &PlatformEvent| matches!(event, PlatformEvent::RequestReceived { id, .. } if id.ends_with(['1', '3', '5', '7', '9']));
        assert!(harness
            .platform
            .wait_until(EVENT_TIMEOUT, |events| events.iter().any(|(_, event)| is_payment_request(event))));
        harness.kill();
        if round == 2 {
            (0..2).for_each(|endpoint| {
                harness.platform.set_behaviour(endpoint, EndpointBehaviour::Deliver(Duration::ZERO));
            });
        }
        harness.start();
    }
    assert_eq!(harness.final_violations(), [""; 0]);
    let (_, again) =
        harness.platform.events().iter().fold((0, 0), |(requests, again), (_, event)| match event {
            PlatformEvent::RequestReceived { id, .. } if harness.request_count(id) > 1 => {
                (requests + 1, again + 1)
            }
            _ => (requests, again),
        });
    assert!(again > 0, "no keyed message was in flight at a kill, so no retry was tested");
}

#[test]
fn shutdown_ends_in_time_and_the_next_process_continues() {
    let mut harness = GatewayHarness::new("stopped", &[3]);
    harness.start();
    harness.platform.set_behaviour(0, EndpointBehaviour::Deliver(Duration::from_millis(150)));
    let mut client = harness.connect_client();
    for number in 0..60 {
        let put =
            if number % 2 == 0 { notice(format!("n{number}"), 0) } else { payment(format!("p{number}")) };
        assert_eq!(harness.platform.submit(&mut client, &put).unwrap(), "+OK");
    }
    let mut gateway = harness.gateway.take().unwrap();
    let signalled = Instant::now();
    send_signal(&gateway, "-TERM");
    assert!(TcpStream::connect(harness.listen).is_ok(), "new connections are accepted for a moment");
    assert!(gateway.wait().unwrap().success());
    assert!(
        signalled.elapsed() < Duration::from_millis(3700),
        "{:?}: it would have been killed",
        signalled.elapsed()
    );
    harness.platform.set_behaviour(0, EndpointBehaviour::Deliver(Duration::ZERO));
    harness.start();
    assert_eq!(harness.final_violations(), [""; 0]);
    let is_undeliverable = |event: &PlatformEvent| matches!(event, PlatformEvent::Notification { status, .. } if status == "undeliverable");
    let lost = harness.platform.events().iter().filter(|(_, event)| is_undeliverable(event)).count();
    assert_eq!(lost, 0, "every request in flight has time to finish");
}

#[test]
fn reload_moves_watch_and_notifications_to_the_new_address_and_rejects_a_malformed_file() {
    let mut harness = GatewayHarness::new("moved", &[3, 4]);
    harness.start();
    let discovery_requests = |event: &PlatformEvent, at: usize| matches!(event, PlatformEvent::DiscoveryRequested { address } if *address == at);
    assert!(harness
        .platform
        .wait_until(EVENT_TIMEOUT, |events| events.iter().any(|(_, event)| discovery_requests(event, 0))));
    fs::write(harness.config_path(), "{ not json").unwrap();
    send_signal(harness.gateway.as_ref().unwrap(), "-HUP");
    let mut client = harness.connect_client();
    assert_eq!(harness.platform.submit(&mut client, &payment("p1".into())).unwrap(), "+OK");
    harness.configure(1);
    send_signal(harness.gateway.as_ref().unwrap(), "-HUP");
    assert!(harness.platform.wait_until(Duration::from_secs(4), |events| events
        .iter()
        .any(|(_, event)| discovery_requests(event, 1))));
    // The notification for `p2` must arrive at the new address.
    harness.platform.set_lifecycle(1, "DRAINING");
    harness.platform.set_behaviour(0, EndpointBehaviour::Disconnect);
    assert_eq!(harness.platform.submit(&mut client, &payment("p2".into())).unwrap(), "+OK");
    assert_eq!(harness.final_violations(), [""; 0]);
    let is_notified = |event: &PlatformEvent| matches!(event, PlatformEvent::Notification { id, address: 1, status } if id == "p2" && status == "undeliverable");
    assert!(harness.platform.events().iter().any(|(_, event)| is_notified(event)));
}

#[test]
fn malformed_responses_count_as_possibly_run_unless_their_status_is_200() {
    let mut harness = GatewayHarness::new("spoilt", &[3]);
    harness.start();
    let mut client = harness.connect_client();
    let rest = "Content-Length: 3000000000\r\n\r\n";
    for (name, response, expected_requests, expected_status) in [
        ("noise", "\x01\x02\x03\r\n\r\n".to_owned(), 1, "undeliverable"),
        ("busy", format!("HTTP/1.1 429 Slow\r\nRetry-After: 1\r\n{rest}"), 1, "undeliverable"),
        ("true", format!("HTTP/1.1 200 OK\r\n{rest}"), 1, ""),
        (
            "twice",
            "HTTP/1.1 100 Go on\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200".to_owned(),
            1,
            "",
        ),
    ] {
        harness.platform.set_behaviour(0, EndpointBehaviour::Respond(response.into_bytes()));
        assert_eq!(harness.platform.submit(&mut client, &payment(name.into())).unwrap(), "+OK");
        assert_eq!(harness.final_violations(), [""; 0]);
        assert_eq!(harness.request_count(name), expected_requests, "{name}");
        let is_notified = |event: &PlatformEvent| matches!(event, PlatformEvent::Notification { id, status, .. } if id == name && status == expected_status);
        let was_notified = || harness.platform.events().iter().any(|(_, event)| is_notified(event));
        assert_eq!(was_notified(), !expected_status.is_empty(), "{name}");
    }
}

#[test]
fn startup_errors_name_the_variable_or_setting() {
    let harness = GatewayHarness::new("wrong", &[3]);
    let startup_error = |command: &mut Command| {
        let output = command.stderr(Stdio::piped()).output().unwrap();
        assert_eq!(output.status.code(), Some(3));
        String::from_utf8_lossy(&output.stderr).into_owned()
    };
    assert!(startup_error(harness.command().env_remove("ROUTER_CONFIG")).contains("ROUTER_CONFIG"));
    assert!(startup_error(harness.command().env_remove("ROUTER_STATE")).contains("ROUTER_STATE"));
    assert!(
        startup_error(harness.command().env("ROUTER_STATE", Path::new("/nowhere"))).contains("ROUTER_STATE")
    );
    let text = fs::read_to_string(harness.config_path()).unwrap();
    fs::write(harness.config_path(), text.replace("\"listen\":\"127", "\"listen\":\"here 127")).unwrap();
    let message = startup_error(&mut harness.command());
    assert!(message.contains("listen") && message.contains("config.json"), "{message}");
    // A missing setting is an error: no default of another deployment may take its place.
    fs::write(harness.config_path(), text.replace("\"SendCap\":8", "\"Sendcap\":8")).unwrap();
    let message = startup_error(&mut harness.command());
    assert!(
        message.contains("Permissions.SendCap is missing") && message.contains("config.json"),
        "{message}"
    );
}

/// Guards against a retry that runs after the endpoint has forgotten its idempotency key. In the fleet scenario `split`, seed 3,
/// a retry was chosen within its retry window, but its connection was established only after a network partition had ended.
#[test]
fn retry_is_not_sent_when_its_connection_is_established_after_the_retry_window() {
    let mut harness = GatewayHarness::new("window", &[3]);
    let endpoint = ManualEndpoint::new();
    harness.edit_config(|config| {
        config["known"]["instances"][0]["hostPort"] = endpoint.address.to_string().into();
        config["settings"]["Lanes"][0]["RepeatWindow"] = 1_500_000_000u64.into();
        config["settings"]["Permissions"]["ConnectTimeout"] = 6_000_000_000u64.into();
    });
    harness.start();
    let mut client = harness.connect_client();
    assert_eq!(harness.platform.submit(&mut client, &notice("late".into(), 7)).unwrap(), "+OK");

    let (text, late) = endpoint.delay_retry_connection("Req-Id: late", Duration::from_millis(1600));
    assert_eq!(text, "", "sent {late:?} after the first request");
    let is_notified =
        |event: &PlatformEvent| matches!(event, PlatformEvent::Notification { id, .. } if id == "late");
    assert!(
        harness
            .platform
            .wait_until(EVENT_TIMEOUT, |events| events.iter().any(|(_, event)| is_notified(event))),
        "no notification"
    );
}

/// Users run the gateway in fleet scenarios with an injected library that supports neither child processes nor socket
/// families other than IPv4. Guards against a child process, a socket of another family or an `io_uring` descriptor under load.
#[test]
fn gateway_under_load_is_one_process_with_ipv4_sockets_only() {
    let mut harness = GatewayHarness::new("alone", &[3]);
    harness.platform.set_behaviour(0, EndpointBehaviour::Deliver(Duration::from_millis(30)));
    harness.start();
    let id = harness.gateway.as_ref().unwrap().id();
    let mut client = harness.connect_client();
    for number in 0..60 {
        assert_eq!(harness.platform.submit(&mut client, &payment(format!("p{number}"))).unwrap(), "+OK");
    }
    let process_directory = PathBuf::from(format!("/proc/{id}"));
    let mut ipv4_sockets = 0;
    for entry in fs::read_dir(process_directory.join("fd")).unwrap() {
        let Ok(target) = fs::read_link(entry.unwrap().path()) else { continue };
        let target = target.display().to_string();
        assert!(!target.contains("io_uring"), "{target}");
        let Some(inode) = target.strip_prefix("socket:[").and_then(|rest| rest.strip_suffix(']')) else {
            continue;
        };
        let is_listed = |table: &str, column: usize| {
            let text = fs::read_to_string(process_directory.join("net").join(table)).unwrap();
            text.lines().any(|line| line.split_whitespace().nth(column) == Some(inode))
        };
        // A connection closed meanwhile is in no table, so the check is that the socket is in no other family's table.
        assert!(!is_listed("unix", 6) && !is_listed("tcp6", 9) && !is_listed("udp6", 9), "{target}");
        ipv4_sockets += usize::from(is_listed("tcp", 9) || is_listed("udp", 9));
    }
    assert!(ipv4_sockets >= 2, "only {ipv4_sockets} IPv4 sockets: the gateway is not under load");
    // Processes start and end while `/proc` is read: one that can't be read has ended.
    for process in fs::read_dir("/proc").unwrap().flatten() {
        let Ok(stat) = fs::read_to_string(process.path().join("stat")) else { continue };
        let parent = stat.rsplit(')').next().and_then(|rest| rest.split_whitespace().nth(1));
        assert_ne!(parent, Some(id.to_string().as_str()), "it started {stat}");
    }
    assert_eq!(harness.final_violations(), [""; 0]);
}

/// CPU time that a process has used so far, in clock ticks of 10 ms.
fn cpu_time(child: &Child) -> u64 {
    let text = fs::read_to_string(format!("/proc/{}/stat", child.id())).unwrap();
    let fields: Vec<&str> = text.rsplit(')').next().unwrap().split_whitespace().collect();
    fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
}

#[test]
fn gateway_out_of_descriptors_pauses_accepting_and_serves_again() {
    let mut harness = GatewayHarness::new("descriptors", &[3]);
    let mut command = Command::new("sh");
    command.args(["-c", &format!("ulimit -n 24; exec {PROGRAM} node")]);
    command.env("ROUTER_CONFIG", harness.config_path()).env("ROUTER_STATE", harness.directory.join("state"));
    harness.gateway = Some(command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap());
    let end = Instant::now() + EVENT_TIMEOUT;
    while TcpStream::connect(harness.listen).is_err() {
        assert!(Instant::now() < end, "it never listened");
        std::thread::sleep(Duration::from_millis(5));
    }
    let clients: Vec<TcpStream> = (0..30).map(|_| harness.connect_client()).collect();
    let (before, began) = (cpu_time(harness.gateway.as_ref().unwrap()), Instant::now());
    // The listener stays paused until the idle timeout disconnects silent clients, which makes room for the last one.
    let mut last = &clients[29];
    last.write_all(b"*1\r\n$4\r\nPING\r\n").unwrap();
    last.set_read_timeout(Some(Duration::from_secs(30))).unwrap();
    let mut line = [0; 7];
    last.read_exact(&mut line).unwrap();
    assert_eq!(&line, b"+PONG\r\n");
    let used_ticks = cpu_time(harness.gateway.as_ref().unwrap()) - before;
    let elapsed_ticks = began.elapsed().as_millis() as u64 / 10;
    assert!(used_ticks * 4 < elapsed_ticks, "used {used_ticks} of {elapsed_ticks} ticks of 10 ms");
}

#[test]
fn unwritable_state_directory_makes_submissions_busy_until_it_is_writable() {
    let mut harness = GatewayHarness::new("folder", &[3]);
    harness.platform.set_behaviour(0, EndpointBehaviour::Silent);
    // No file may grow beyond 20 KiB: a write can fail partway, as on a full disk.
    let mut command = Command::new("sh");
    command.args(["-c", &format!("ulimit -f 40; trap '' XFSZ; exec {PROGRAM} node")]);
    command.env("ROUTER_CONFIG", harness.config_path()).env("ROUTER_STATE", harness.directory.join("state"));
    harness.start_as(&mut command);
    let mut client = harness.connect_client();
    let mut submit = |number: usize| {
        let put = PutCommand { body: vec![7; 2000], ..notice(format!("m{number}"), 0) };
        harness.platform.submit(&mut client, &put).unwrap()
    };
    let rejected = (0..100).find(|number| submit(*number) != "+OK").expect("a rejection");
    assert!((3..20).contains(&rejected), "rejected after {rejected} messages of 2 KB in 20 KiB");
    assert!(submit(rejected).starts_with("-BUSY"));
    harness.platform.set_behaviour(0, EndpointBehaviour::Deliver(Duration::ZERO));
    let end = Instant::now() + EVENT_TIMEOUT;
    while submit(rejected) != "+OK" {
        assert!(Instant::now() < end, "it never accepted a message again");
        std::thread::sleep(Duration::from_millis(10));
    }
    harness.kill();
    harness.start();
    assert_eq!(harness.final_violations(), [""; 0]);
}
