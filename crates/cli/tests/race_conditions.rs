//! Race conditions, each reproduced every time: what happens between a decision and its bytes, between a shutdown signal
//! and the end, between two processes. Real connections, and fakes that act at an exact step.

mod gateway_harness;

use cloverstile_fakes::platform::{read_line, EndpointBehaviour, PlatformEvent, PutCommand};
use gateway_harness::manual_endpoint::ManualEndpoint;
use gateway_harness::streams::{read_request, read_until, received_before};
use gateway_harness::{notice, payment, send_signal, GatewayHarness, EVENT_TIMEOUT};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A gateway whose one endpoint of destination 3 is controlled by the test, and whose connections may come up late.
fn harness_with_manual_endpoint(name: &str) -> (GatewayHarness, ManualEndpoint) {
    let (harness, endpoint) = gateway_harness::harness_with_manual_endpoint(name);
    harness.edit_config(|config| {
        config["settings"]["Permissions"]["ConnectTimeout"] = 6_000_000_000u64.into();
    });
    (harness, endpoint)
}

/// A discovery agent that responds only where the test does: the endpoint list stays as it is in the configuration.
fn silent_discovery(harness: &GatewayHarness) -> TcpListener {
    let agent = TcpListener::bind("127.0.0.1:0").unwrap();
    harness.edit_config(|config| config["discovery"] = agent.local_addr().unwrap().to_string().into());
    agent
}

fn submit(harness: &GatewayHarness, put: &PutCommand) {
    assert_eq!(harness.platform.submit(&mut harness.connect_client(), put).unwrap(), "+OK");
}

/// One message is in flight, and the connection for another one is being established: it comes up a second after it was
/// started, once the backlog that the second of the returned streams fills is free.
fn one_in_flight_and_one_connecting(
    harness: &mut GatewayHarness,
    endpoint: &ManualEndpoint,
) -> (TcpStream, TcpStream) {
    harness.start();
    submit(harness, &payment("first".into()));
    let mut first = endpoint.accept();
    assert!(read_request(&mut first).contains("Req-Id: first"));
    let filler = endpoint.fill_backlog();
    submit(harness, &payment("second".into()));
    std::thread::sleep(Duration::from_millis(100));
    (first, filler)
}

/// Fleet day join, seed 2 (100 instances): a request waited 0.74 s for its connection, was decided on before a 429 with
/// 0.67 s arrived, and left 0.57 s before that time was over.
#[test]
fn retry_after_received_during_connect_delays_the_request() {
    let (mut harness, endpoint) = harness_with_manual_endpoint("retry-after");
    let (mut first, filler) = one_in_flight_and_one_connecting(&mut harness, &endpoint);
    // The endpoint asks to wait, and then has room for the connection.
    first.write_all(b"HTTP/1.1 429 Wait\r\nRetry-After: 2.5\r\nContent-Length: 0\r\n\r\n").unwrap();
    let over = Instant::now() + Duration::from_millis(2500);
    drop((endpoint.accept(), filler));
    let mut second = endpoint.accept();
    assert!(
        Instant::now() + Duration::from_millis(500) < over,
        "the connection came too late to test anything"
    );
    assert_eq!(received_before(&second, over - Duration::from_millis(20)), "", "before the wait was over");
    // It uses no attempt and the message is sent when it may be, as is the one that was rejected.
    let requests = [read_request(&mut second), {
        second.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();
        first.set_read_timeout(Some(Duration::from_secs(6))).unwrap();
        read_until(&mut second, Instant::now() + Duration::from_secs(3))
            + &read_until(&mut first, Instant::now() + Duration::from_millis(100))
    }]
    .concat();
    assert!(requests.contains("Req-Id: second") && requests.contains("Req-Id: first"), "{requests}");
}

/// The head of a response asks to wait though its body never ends: the attempt may have run, and the wait counts.
#[test]
fn retry_after_of_an_unfinished_response_delays_the_retry() {
    let (mut harness, endpoint) = harness_with_manual_endpoint("spoilt-wait");
    harness.start();
    submit(&harness, &notice("first".into(), 0));
    let mut stream = endpoint.accept();
    assert!(read_request(&mut stream).contains("Req-Id: first"));
    let response = b"HTTP/1.1 429 Wait\r\nRetry-After: 1.8\r\nContent-Length: 3000000000\r\n\r\nand so on";
    stream.write_all(response).unwrap();
    let over = Instant::now() + Duration::from_millis(1800);
    let mut again = endpoint.accept();
    assert_eq!(received_before(&again, over - Duration::from_millis(20)), "", "before the wait was over");
    assert!(read_request(&mut again).contains("Req-Id: first"), "it goes again under its key");
}

/// A 429 is on its way when its request is abandoned: the endpoint writes it once it has read the end of the request, so
/// that the gateway has it only afterwards. Others get responses meanwhile, so that only the wait delays more requests.
#[test]
fn retry_after_received_after_the_request_was_abandoned_delays_the_next() {
    let (mut harness, endpoint) = harness_with_manual_endpoint("given-up");
    let _agent = silent_discovery(&harness);
    harness.start();
    submit(&harness, &notice("first".into(), 0));
    let mut first = endpoint.accept();
    assert!(read_request(&mut first).contains("Req-Id: first"));
    first.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
    let requests = endpoint.respond_to_all();
    let abandoned = (0..500).any(|number| {
        submit(&harness, &payment(format!("p{number}")));
        matches!(first.read(&mut [0; 16]), Ok(0))
    });
    assert!(abandoned, "it never was abandoned");
    // A connection that has closed altogether can't carry a response any more.
    let _ = first.write_all(b"HTTP/1.1 429 Wait\r\nRetry-After: 2.5\r\nContent-Length: 0\r\n\r\n");
    let over = Instant::now() + Duration::from_millis(2500);
    first.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
    // It is closed once the response is read; a message submitted from here on comes after the wait.
    let _ = first.read(&mut [0; 16]);
    submit(&harness, &payment("after".into()));
    let after = loop {
        let requests = requests.lock().unwrap();
        let found = requests.iter().find(|(_, text)| text.contains("Req-Id: after")).map(|(at, _)| *at);
        drop(requests);
        if let Some(at) = found {
            break at;
        }
        assert!(Instant::now() < over + EVENT_TIMEOUT, "the message is never sent");
        std::thread::sleep(Duration::from_millis(5));
    };
    let early = over.saturating_duration_since(after);
    assert!(early < Duration::from_millis(20), "{early:?} before the wait was over");
}

/// A drain is reported while a connection is being established: the request goes to another endpoint, not to the draining one.
#[test]
fn endpoint_draining_during_connect_gets_no_request() {
    let (mut harness, endpoint) = harness_with_manual_endpoint("drained");
    let (mut first, filler) = one_in_flight_and_one_connecting(&mut harness, &endpoint);
    // The list reports that the endpoint drains; then its connection is established.
    harness.platform.set_lifecycle(0, "DRAINING");
    let discovery_requests = |seen: &[(Duration, PlatformEvent)]| {
        seen.iter().filter(|(_, seen)| matches!(seen, PlatformEvent::DiscoveryRequested { .. })).count()
    };
    let before = discovery_requests(&harness.platform.events());
    harness.platform.wait_until(Duration::from_secs(1), |seen| discovery_requests(seen) > before);
    drop((endpoint.accept(), filler));
    let mut second = endpoint.accept();
    assert_eq!(read_until(&mut second, Instant::now() + Duration::from_millis(600)), "");
    first.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();
    // It still may be sent, and is once an endpoint is ready: its attempts and position are as before.
    harness.platform.set_lifecycle(0, "SERVING");
    assert!(harness.platform.wait_until(EVENT_TIMEOUT, |seen| {
        seen.iter().any(|(_, seen)| matches!(seen, PlatformEvent::Delivered { id } if id == "second"))
    }));
}

/// A shutdown has reached the phase without new requests when a connection is established: a request started then would
/// be in flight at the end, and one that may not be repeated lost.
#[test]
fn connection_established_late_in_a_shutdown_carries_no_request() {
    let (mut harness, endpoint) = harness_with_manual_endpoint("late-stop");
    harness.start();
    let filler = endpoint.fill_backlog();
    submit(&harness, &payment("only".into()));
    std::thread::sleep(Duration::from_millis(100));
    // The system retries the connect after 1 s (and 2 s), when there is no room yet, and after 3 s, when there is.
    let signalled = harness.request_shutdown();
    std::thread::sleep(Duration::from_millis(2100));
    drop((endpoint.accept(), filler));
    let mut late = endpoint.accept();
    assert!(
        signalled.elapsed() > Duration::from_millis(2300),
        "it was established too soon to test anything: {:?}",
        signalled.elapsed()
    );
    assert_eq!(read_until(&mut late, signalled + Duration::from_millis(3600)), "");
    harness.wait_for_exit(signalled);
    harness.edit_config(|config| {
        config["known"]["instances"][0]["hostPort"] = harness.platform.endpoints[0].to_string().into();
    });
    harness.platform.set_behaviour(0, EndpointBehaviour::Deliver(Duration::ZERO));
    harness.start();
    assert_eq!(harness.violations_at_the_end(), [""; 0]);
    assert_eq!(harness.request_count("only"), 1);
}

/// Messages that a restart finds accepted without an attempt are attempted, though the rate of their destination would
/// leave them waiting until their deadline.
#[test]
fn messages_recovered_without_an_attempt_are_attempted() {
    let mut harness = GatewayHarness::new("untried", &[3]);
    // Nothing may be sent yet: the only endpoint drains.
    harness.platform.set_lifecycle(0, "DRAINING");
    harness.edit_config(|config| config["known"] = harness.platform.endpoint_list());
    harness.start();
    let mut client = harness.connect_client();
    for number in 0..30 {
        let put = PutCommand { time_left_ms: 4000, ..payment(format!("p{number}")) };
        assert_eq!(harness.platform.submit(&mut client, &put).unwrap(), "+OK");
    }
    harness.kill();
    // The list gives it a weight of one request a second.
    harness.platform.set_lifecycle(0, "SERVING");
    harness.edit_config(|config| {
        config["known"] = harness.platform.endpoint_list();
        config["known"]["instances"][0]["weight"] = 1.0.into();
    });
    harness.start();
    assert_eq!(harness.violations_at_the_end(), [""; 0]);
    let unattempted: Vec<usize> =
        (0..30).filter(|number| harness.request_count(&format!("p{number}")) == 0).collect();
    assert!(unattempted.is_empty(), "expired without an attempt: {unattempted:?}");
}

/// An unsafe message whose connection was never established has surely not run at its deadline.
#[test]
fn unsent_unsafe_message_ends_as_deferred_not_as_undeliverable() {
    let (mut harness, endpoint) = harness_with_manual_endpoint("never-left");
    harness.start();
    let _filler = endpoint.fill_backlog();
    submit(&harness, &PutCommand { time_left_ms: 800, ..payment("only".into()) });
    let is_notified = |seen: &PlatformEvent| match seen {
        PlatformEvent::Notification { id, status, .. } if id == "only" => Some(status.clone()),
        _ => None,
    };
    assert!(harness
        .platform
        .wait_until(EVENT_TIMEOUT, |seen| seen.iter().any(|(_, seen)| is_notified(seen).is_some())));
    let seen = harness.platform.events();
    assert_eq!(seen.iter().find_map(|(_, seen)| is_notified(seen)).as_deref(), Some("deferred"));
}

fn pause_process(harness: &GatewayHarness) {
    send_signal(harness.gateway.as_ref().unwrap(), "-STOP");
}

fn resume_process(harness: &GatewayHarness) {
    send_signal(harness.gateway.as_ref().unwrap(), "-CONT");
}

/// Waits until the gateway's shutdown has started: it still replies, and no longer keeps idle clients.
fn start_shutdown(harness: &GatewayHarness) -> Instant {
    let signalled = harness.request_shutdown();
    // The signal is handled in the turn of this reply at the latest.
    let mut client = harness.connect_client();
    client.write_all(b"*1\r\n$4\r\nPING\r\n").unwrap();
    assert_eq!(read_line(&mut client).unwrap(), "+PONG");
    signalled
}

/// Clients that connect, and whose first request arrives, just as a shutdown closes the listener: each gets its reply, and
/// accepted messages outlast the process. The gateway is paused over that moment, so that all of it is in the system's
/// buffers when it polls.
#[test]
fn requests_arriving_as_the_listener_closes_get_replies() {
    let mut harness = GatewayHarness::new("closing", &[3]);
    harness.start();
    let mut known = harness.connect_client();
    assert_eq!(harness.platform.submit(&mut known, &payment("before".into())).unwrap(), "+OK");
    let signalled = start_shutdown(&harness);
    pause_process(&harness);
    let mut fresh: Vec<_> = (0..5).map(|_| harness.connect_client()).collect();
    for (number, stream) in fresh.iter_mut().enumerate() {
        stream.write_all(&payment(format!("fresh{number}")).encode()).unwrap();
    }
    let mut silent = harness.connect_client();
    known.write_all(&payment("known".into()).encode()).unwrap();
    std::thread::sleep(Duration::from_millis(600).saturating_sub(signalled.elapsed()));
    resume_process(&harness);
    for stream in fresh.iter_mut().chain([&mut known]) {
        assert_eq!(read_line(stream).unwrap(), "+OK");
        assert_eq!(
            read_until(stream, Instant::now() + Duration::from_secs(1)),
            "",
            "and then an orderly end"
        );
    }
    // One that connected and submits only now gets a reply as well.
    silent.write_all(&payment("late".into()).encode()).unwrap();
    assert_eq!(read_line(&mut silent).unwrap(), "+OK");
    drop(silent);
    harness.wait_for_exit(signalled);
    let ok = |id: &str| harness.request_count(id) == 1;
    assert!(ok("before") && ok("known") && ok("late") && (0..5).all(|n| ok(&format!("fresh{n}"))));
}

/// A shutdown ends with a request half sent and others behind it: the gateway does not wait for ever, and its replies are
/// not lost to a reset.
#[test]
fn shutdown_ends_in_time_beside_clients_that_never_finish_and_its_replies_arrive() {
    let mut harness = GatewayHarness::new("half", &[3]);
    harness.start();
    let mut half = harness.connect_client();
    let command = payment("half".into()).encode();
    half.write_all(&command[..command.len() - 3]).unwrap();
    let signalled = harness.request_shutdown();
    let mut silent = harness.connect_client();
    std::thread::sleep(Duration::from_millis(600).saturating_sub(signalled.elapsed()));
    half.write_all(&command[command.len() - 3..]).unwrap();
    // Behind it stands more than one turn reads.
    let more: Vec<u8> = command.iter().copied().cycle().take(command.len() * 40).collect();
    half.write_all(&more).unwrap();
    assert_eq!(read_line(&mut half).unwrap(), "+OK");
    silent.set_read_timeout(Some(Duration::from_secs(4))).unwrap();
    assert_eq!(silent.read(&mut [0; 16]).expect("an orderly end"), 0);
    harness.wait_for_exit(signalled);
}

/// Another customer's endpoints (budapest-kozpont) hold few connections, and reject one too many with a 503 that closes
/// it. Guards against idle ones that take all connections: 0.47 of the weighted value served where 0.85 could be.
#[test]
fn connection_limit_pressure_closes_connections_instead_of_keeping_them_idle() {
    let (mut harness, endpoint) = harness_with_manual_endpoint("room");
    harness.start();
    submit(&harness, &payment("only".into()));
    let mut stream = endpoint.accept();
    read_request(&mut stream);
    stream.write_all(b"HTTP/1.1 503 Full\r\nConnection: close\r\nContent-Length: 0\r\n\r\n").unwrap();
    let mut stream = endpoint.accept();
    assert!(read_request(&mut stream).contains("Req-Id: only"), "it never ran, and is sent again");
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();
    // Kept idle it would stay open for 0.7 of five seconds.
    stream.set_read_timeout(Some(Duration::from_secs(2))).unwrap();
    assert_eq!(stream.read(&mut [0; 16]).expect("closed after its response"), 0);
}

/// The next request at a discovery agent controlled by the test, at most `EVENT_TIMEOUT` from now.
fn next_discovery_request(agent: &TcpListener) -> (TcpStream, String) {
    let mut stream = agent.accept().unwrap().0;
    stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
    let text = read_request(&mut stream);
    (stream, text)
}

/// A watch whose agent falls silent before the response's head, in the middle of its body, or at once after a reconnect, is
/// opened again in time: what it misses counts as known 6 s after it fell silent, or 2 s after its wait is over.
#[test]
fn silent_watch_is_reopened_before_missed_updates_count_as_known() {
    let pieces = [
        "",
        "HTTP/1.1 200 OK\r\nContent-Le",
        "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"generation\":1,",
    ];
    let each = |(place, piece): (usize, &'static str)| {
        let mut harness = GatewayHarness::new(&format!("silent-{place}"), &[3]);
        let agent = silent_discovery(&harness);
        std::thread::spawn(move || {
            harness.start();
            let (mut stream, text) = next_discovery_request(&agent);
            assert!(text.contains("GET /registry/instances?after="), "{text}");
            stream.write_all(piece.as_bytes()).unwrap();
            let silent = Instant::now();
            let (_again, text) = next_discovery_request(&agent);
            assert!(text.contains("GET /registry/instances?after="), "{text}");
            assert!(
                silent.elapsed() < Duration::from_millis(5500),
                "{piece:?}: after {:?}",
                silent.elapsed()
            );
        })
    };
    let threads: Vec<_> = pieces.into_iter().enumerate().map(each).collect();
    threads.into_iter().for_each(|thread| thread.join().unwrap());
}

/// An agent that accepts connections and stays silent, at the start and after each new one: the gateway serves by the list
/// it has, and learns of a drain as soon as the agent responds again.
#[test]
fn gateway_started_beside_a_silent_discovery_serves_and_learns_of_a_drain_at_once() {
    let agent = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut harness = GatewayHarness::new("silent-start", &[3, 3]);
    harness.edit_config(|config| config["discovery"] = agent.local_addr().unwrap().to_string().into());
    harness.start();
    submit(&harness, &payment("first".into()));
    let (first, _) = next_discovery_request(&agent);
    let (mut second, _) = next_discovery_request(&agent);
    let mut known = harness.platform.endpoint_list();
    known["generation"] = 7.into();
    known["reset"] = true.into();
    known["instances"][0]["lifecycle"] = "DRAINING".into();
    let body = serde_json::to_string_pretty(&known).unwrap();
    write!(second, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).unwrap();
    drop(first);
    let text = read_request(&mut second);
    assert!(text.contains("after=7"), "requested again at once, from that version on: {text}");
    for number in 0..6 {
        submit(&harness, &payment(format!("p{number}")));
    }
    let delivered = |seen: &[(Duration, PlatformEvent)]| {
        seen.iter().filter(|(_, seen)| matches!(seen, PlatformEvent::Delivered { .. })).count()
    };
    assert!(harness.platform.wait_until(EVENT_TIMEOUT, |seen| delivered(seen) == 7));
    let drained = |seen: &PlatformEvent| matches!(seen, PlatformEvent::RequestReceived { id, endpoint: 0, .. } if id != "first");
    assert!(!harness.platform.events().iter().any(|(_, seen)| drained(seen)));
}

/// Kills the gateway with a message in flight at an endpoint that does not respond.
fn kill_with_one_in_flight(harness: &mut GatewayHarness, put: &PutCommand) {
    harness.platform.set_behaviour(0, EndpointBehaviour::Silent);
    harness.start();
    submit(harness, put);
    let is_in_flight =
        |seen: &PlatformEvent| matches!(seen, PlatformEvent::RequestReceived { id, .. } if *id == put.id);
    assert!(harness
        .platform
        .wait_until(EVENT_TIMEOUT, |seen| seen.iter().any(|(_, seen)| is_in_flight(seen))));
    harness.kill();
    harness.platform.set_behaviour(0, EndpointBehaviour::Deliver(Duration::ZERO));
}

fn assert_notified(harness: &GatewayHarness, id: &str, wanted: &str) {
    let is_notified = |seen: &PlatformEvent| matches!(seen, PlatformEvent::Notification { id: of, status, .. } if of == id && status == wanted);
    assert!(
        harness.platform.wait_until(EVENT_TIMEOUT, |seen| seen.iter().any(|(_, seen)| is_notified(seen))),
        "{id} {wanted}"
    );
}

/// Settings whose classes changed their order between two processes, or one of them its effect: a message that may not be
/// repeated still may not.
#[test]
fn classes_reordered_or_eased_over_a_restart_do_not_affect_accepted_messages() {
    type Change = fn(&mut serde_json::Value);
    let changes: [(&str, Change); 3] = [
        ("reversed", |lanes| lanes.as_array_mut().unwrap().reverse()),
        ("keyed", |lanes| lanes[1]["Effect"] = "idempotency_key".into()),
        ("safe", |lanes| lanes[1]["Effect"] = "read_like".into()),
    ];
    for (name, change) in changes {
        let mut harness = GatewayHarness::new(&format!("classes-{name}"), &[3]);
        kill_with_one_in_flight(&mut harness, &payment("once".into()));
        harness.edit_config(|config| change(&mut config["settings"]["Lanes"]));
        harness.start();
        assert_notified(&harness, "once", "undeliverable");
        assert_eq!(harness.request_count("once"), 1, "{name}");
    }
}

/// Settings that no longer have the class of a message that was accepted and never attempted: it is still attempted.
#[test]
fn unattempted_message_of_a_removed_class_is_attempted() {
    let mut harness = GatewayHarness::new("class-gone", &[3]);
    harness.platform.set_lifecycle(0, "DRAINING");
    harness.edit_config(|config| config["known"] = harness.platform.endpoint_list());
    harness.start();
    submit(&harness, &payment("left".into()));
    harness.kill();
    harness.platform.set_lifecycle(0, "SERVING");
    harness.edit_config(|config| {
        config["known"] = harness.platform.endpoint_list();
        config["settings"]["Lanes"].as_array_mut().unwrap().pop();
    });
    harness.start();
    assert_eq!(harness.violations_at_the_end(), [""; 0]);
    assert_eq!(harness.request_count("left"), 1);
}

/// Endpoints of one zone discard a repeat, and the settings name the zones in another order after a restart: a message that
/// may have run before is sent again, to the zone where it may have run and to no other.
#[test]
fn keyed_message_is_retried_after_a_restart_in_the_zone_where_it_may_have_run() {
    let mut harness = GatewayHarness::new("zones", &[3, 3]);
    let _agent = silent_discovery(&harness);
    harness.edit_config(|config| {
        config["settings"]["Zones"] = serde_json::json!(["here", "there"]);
        config["settings"]["Lanes"][0]["Group"] = "zone".into();
        config["known"]["instances"][0]["zone"] = "there".into();
        config["known"]["instances"][1]["lifecycle"] = "DRAINING".into();
    });
    kill_with_one_in_flight(&mut harness, &notice("again".into(), 0));
    harness.edit_config(|config| {
        config["settings"]["Zones"] = serde_json::json!(["there", "here"]);
        config["known"]["instances"][1]["lifecycle"] = "SERVING".into();
    });
    harness.start();
    let delivered = |seen: &PlatformEvent| matches!(seen, PlatformEvent::Delivered { id } if id == "again");
    assert!(harness.platform.wait_until(EVENT_TIMEOUT, |seen| seen.iter().any(|(_, seen)| delivered(seen))));
    let there = |seen: &PlatformEvent| matches!(seen, PlatformEvent::RequestReceived { id, endpoint: 0, .. } if id == "again");
    let requests = harness.platform.events().iter().filter(|(_, seen)| there(seen)).count();
    assert_eq!((requests, harness.request_count("again")), (2, 2));
}

/// A shutdown with a notification in flight that nobody acknowledges, a reload and the same signal again: it ends in time
/// all the same, and the next process sends the notification, once.
#[test]
fn shutdown_with_a_pending_notification_and_repeated_signals_ends_in_time_and_the_next_process_notifies() {
    let mut harness = GatewayHarness::new("notice-out", &[3]);
    let agent = silent_discovery(&harness);
    harness.platform.set_behaviour(0, EndpointBehaviour::Silent);
    harness.start();
    submit(&harness, &PutCommand { time_left_ms: 700, ..payment("owed".into()) });
    // The watch and the notification use connections of their own; neither gets a response.
    let mut held = Vec::new();
    while !held.last().is_some_and(|(_, text): &(TcpStream, String)| text.contains("POST /v1/notices")) {
        held.push(next_discovery_request(&agent));
    }
    let signalled = harness.request_shutdown();
    for name in ["-HUP", "-TERM"] {
        send_signal(harness.gateway.as_ref().unwrap(), name);
    }
    harness.wait_for_exit(signalled);
    drop((held, agent));
    harness.edit_config(|config| config["discovery"] = harness.platform.discovery[0].to_string().into());
    harness.start();
    assert_notified(&harness, "owed", "undeliverable");
    let notices =
        |seen: &PlatformEvent| matches!(seen, PlatformEvent::Notification { id, .. } if id == "owed");
    assert_eq!(harness.platform.events().iter().filter(|(_, seen)| notices(seen)).count(), 1);
    assert_eq!(harness.request_count("owed"), 1);
}
