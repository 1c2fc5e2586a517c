//! Race conditions, reproduced deterministically: events between the decision to send and the request's bytes, between the
//! shutdown signal and the exit, and between two processes. Connections are real; fakes act at an exact step.

mod gateway_harness;

use cloverstile_fakes::platform::{read_line, EndpointBehaviour, PlatformEvent, PutCommand};
use gateway_harness::manual_endpoint::ManualEndpoint;
use gateway_harness::streams::{read_request, read_until, received_before};
use gateway_harness::{notice, payment, send_signal, GatewayHarness, EVENT_TIMEOUT};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// [`gateway_harness::harness_with_manual_endpoint`] with a connect timeout of 6 s, so that connections may be established
/// late.
fn harness_with_manual_endpoint(name: &str) -> (GatewayHarness, ManualEndpoint) {
    let (harness, endpoint) = gateway_harness::harness_with_manual_endpoint(name);
    harness.edit_config(|config| {
        config["settings"]["Permissions"]["ConnectTimeout"] = 6_000_000_000u64.into();
    });
    (harness, endpoint)
}

/// Sets up a discovery agent that responds only where the test does, so that the endpoint list of the configuration stays
/// in use.
fn silent_discovery(harness: &GatewayHarness) -> TcpListener {
    let agent = TcpListener::bind("127.0.0.1:0").unwrap();
    harness.edit_config(|config| config["discovery"] = agent.local_addr().unwrap().to_string().into());
    agent
}

/// Submits a message on a connection of its own and expects it to be accepted.
fn submit(harness: &GatewayHarness, put: &PutCommand) {
    assert_eq!(harness.platform.submit(&mut harness.connect_client(), put).unwrap(), "+OK");
}

/// Starts a gateway with one message in flight and the connection for another one being established. The second returned
/// stream fills the endpoint's backlog; once that is free, the connection is established a second after its first try.
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

/// Guards against a request that ignores a 429 received while its connection is established. In the fleet scenario `join`,
/// seed 2 (100 instances), a request chosen before the 429 (`Retry-After` 0.67 s) waited 0.74 s for its connection and was
/// sent 0.57 s before that time was over.
#[test]
fn retry_after_received_during_connect_delays_the_request() {
    let (mut harness, endpoint) = harness_with_manual_endpoint("retry-after");
    let (mut first, filler) = one_in_flight_and_one_connecting(&mut harness, &endpoint);
    // The endpoint sends Retry-After, and then has room in its backlog for the connection.
    first.write_all(b"HTTP/1.1 429 Wait\r\nRetry-After: 2.5\r\nContent-Length: 0\r\n\r\n").unwrap();
    let wait_end = Instant::now() + Duration::from_millis(2500);
    drop((endpoint.accept(), filler));
    let mut second = endpoint.accept();
    assert!(
        Instant::now() + Duration::from_millis(500) < wait_end,
        "the connection was established too late for this test"
    );
    assert_eq!(
        received_before(&second, wait_end - Duration::from_millis(20)),
        "",
        "before the wait was over"
    );
    // The delay uses no attempt: this message and the one that got the 429 are both sent after the wait.
    let requests = [read_request(&mut second), {
        second.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();
        first.set_read_timeout(Some(Duration::from_secs(6))).unwrap();
        read_until(&mut second, Instant::now() + Duration::from_secs(3))
            + &read_until(&mut first, Instant::now() + Duration::from_millis(100))
    }]
    .concat();
    assert!(requests.contains("Req-Id: second") && requests.contains("Req-Id: first"), "{requests}");
}

/// A response has a `Retry-After` in its head and a body that never ends. The attempt may have run, and its retry still waits
/// for the given time.
#[test]
fn retry_after_of_an_unfinished_response_delays_the_retry() {
    let (mut harness, endpoint) = harness_with_manual_endpoint("spoilt-wait");
    harness.start();
    submit(&harness, &notice("first".into(), 0));
    let mut stream = endpoint.accept();
    assert!(read_request(&mut stream).contains("Req-Id: first"));
    let response = b"HTTP/1.1 429 Wait\r\nRetry-After: 1.8\r\nContent-Length: 3000000000\r\n\r\nand so on";
    stream.write_all(response).unwrap();
    let wait_end = Instant::now() + Duration::from_millis(1800);
    let mut again = endpoint.accept();
    assert_eq!(received_before(&again, wait_end - Duration::from_millis(20)), "", "before the wait was over");
    assert!(read_request(&mut again).contains("Req-Id: first"), "it is sent again under its idempotency key");
}

/// A 429 arrives after its request was abandoned: the endpoint writes it once it has read the gateway's end of the
/// connection. Guards against ignoring its `Retry-After`. Other requests get responses meanwhile, so that only this wait can
/// delay the next one.
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
    assert!(abandoned, "the request was never abandoned");
    // The write fails if the gateway has closed the connection in both directions.
    let _ = first.write_all(b"HTTP/1.1 429 Wait\r\nRetry-After: 2.5\r\nContent-Length: 0\r\n\r\n");
    let wait_end = Instant::now() + Duration::from_millis(2500);
    first.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
    // The gateway closes the connection once it has read the response; a message submitted from here on must wait.
    let _ = first.read(&mut [0; 16]);
    submit(&harness, &payment("after".into()));
    let after = loop {
        let requests = requests.lock().unwrap();
        let found = requests.iter().find(|(_, text)| text.contains("Req-Id: after")).map(|(at, _)| *at);
        drop(requests);
        if let Some(at) = found {
            break at;
        }
        assert!(Instant::now() < wait_end + EVENT_TIMEOUT, "the message is never sent");
        std::thread::sleep(Duration::from_millis(5));
    };
    let early = wait_end.saturating_duration_since(after);
    assert!(early < Duration::from_millis(20), "{early:?} before the wait was over");
}

/// Discovery reports a drain while the connection to the endpoint is being established. Guards against sending the request to
/// the draining endpoint; it waits for one that serves.
#[test]
fn endpoint_draining_during_connect_gets_no_request() {
    let (mut harness, endpoint) = harness_with_manual_endpoint("drained");
    let (mut first, filler) = one_in_flight_and_one_connecting(&mut harness, &endpoint);
    // The endpoint list reports the drain before the connection is established.
    harness.platform.set_lifecycle(0, "DRAINING");
    let discovery_requests = |events: &[(Duration, PlatformEvent)]| {
        events.iter().filter(|(_, event)| matches!(event, PlatformEvent::DiscoveryRequested { .. })).count()
    };
    let before = discovery_requests(&harness.platform.events());
    harness.platform.wait_until(Duration::from_secs(1), |events| discovery_requests(events) > before);
    drop((endpoint.accept(), filler));
    let mut second = endpoint.accept();
    assert_eq!(read_until(&mut second, Instant::now() + Duration::from_millis(600)), "");
    first.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();
    // The message has used no attempt and kept its place in the queue: it is sent once an endpoint serves.
    harness.platform.set_lifecycle(0, "SERVING");
    assert!(harness.platform.wait_until(EVENT_TIMEOUT, |events| {
        events.iter().any(|(_, event)| matches!(event, PlatformEvent::Delivered { id } if id == "second"))
    }));
}

/// A connection is established when a shutdown has reached the phase without new requests. Guards against a request that is
/// started then: it would be in flight at the exit, and an unsafe message would be lost.
#[test]
fn connection_established_late_in_a_shutdown_carries_no_request() {
    let (mut harness, endpoint) = harness_with_manual_endpoint("late-stop");
    harness.start();
    let filler = endpoint.fill_backlog();
    submit(&harness, &payment("only".into()));
    std::thread::sleep(Duration::from_millis(100));
    // The kernel retries the connect after 1 s (and 2 s), when the backlog is full, and after 3 s, when it has room.
    let signalled = harness.request_shutdown();
    std::thread::sleep(Duration::from_millis(2100));
    drop((endpoint.accept(), filler));
    let mut late = endpoint.accept();
    assert!(
        signalled.elapsed() > Duration::from_millis(2300),
        "the connection was established too early for this test: {:?}",
        signalled.elapsed()
    );
    assert_eq!(read_until(&mut late, signalled + Duration::from_millis(3600)), "");
    harness.wait_for_exit(signalled);
    harness.edit_config(|config| {
        config["known"]["instances"][0]["hostPort"] = harness.platform.endpoints[0].to_string().into();
    });
    harness.platform.set_behaviour(0, EndpointBehaviour::Deliver(Duration::ZERO));
    harness.start();
    assert_eq!(harness.final_violations(), [""; 0]);
    assert_eq!(harness.request_count("only"), 1);
}

/// Guards against messages recovered without an attempt that wait until their deadline because the rate limit of their
/// destination is too low for all of them.
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
    // The endpoint list gives the endpoint a weight of one request per second.
    harness.platform.set_lifecycle(0, "SERVING");
    harness.edit_config(|config| {
        config["known"] = harness.platform.endpoint_list();
        config["known"]["instances"][0]["weight"] = 1.0.into();
    });
    harness.start();
    assert_eq!(harness.final_violations(), [""; 0]);
    let unattempted: Vec<usize> =
        (0..30).filter(|number| harness.request_count(&format!("p{number}")) == 0).collect();
    assert!(unattempted.is_empty(), "expired without an attempt: {unattempted:?}");
}

/// An unsafe message whose connection is never established has certainly not run at its deadline, and is reported so.
#[test]
fn unsent_unsafe_message_ends_as_deferred_not_as_undeliverable() {
    let (mut harness, endpoint) = harness_with_manual_endpoint("never-left");
    harness.start();
    let _filler = endpoint.fill_backlog();
    submit(&harness, &PutCommand { time_left_ms: 800, ..payment("only".into()) });
    let is_notified = |event: &PlatformEvent| match event {
        PlatformEvent::Notification { id, status, .. } if id == "only" => Some(status.clone()),
        _ => None,
    };
    assert!(harness
        .platform
        .wait_until(EVENT_TIMEOUT, |events| events.iter().any(|(_, event)| is_notified(event).is_some())));
    let events = harness.platform.events();
    assert_eq!(events.iter().find_map(|(_, event)| is_notified(event)).as_deref(), Some("deferred"));
}

/// Stops the gateway process until [`resume_process`].
fn pause_process(harness: &GatewayHarness) {
    send_signal(harness.gateway.as_ref().unwrap(), "-STOP");
}

fn resume_process(harness: &GatewayHarness) {
    send_signal(harness.gateway.as_ref().unwrap(), "-CONT");
}

/// Starts a shutdown and waits until the gateway has handled the signal. It then still replies, but closes idle clients.
fn start_shutdown(harness: &GatewayHarness) -> Instant {
    let signalled = harness.request_shutdown();
    // The signal is handled in the turn of this reply at the latest.
    let mut client = harness.connect_client();
    client.write_all(b"*1\r\n$4\r\nPING\r\n").unwrap();
    assert_eq!(read_line(&mut client).unwrap(), "+PONG");
    signalled
}

/// Clients connect and send their first request just as a shutdown closes the listener. Guards against requests without a
/// reply. The gateway is paused meanwhile, so that all connections and requests are in the kernel's buffers when it polls.
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
    // A client that connected before the listener closed and submits only now gets a reply as well.
    silent.write_all(&payment("late".into()).encode()).unwrap();
    assert_eq!(read_line(&mut silent).unwrap(), "+OK");
    drop(silent);
    harness.wait_for_exit(signalled);
    let has_one_request = |id: &str| harness.request_count(id) == 1;
    assert!(
        has_one_request("before")
            && has_one_request("known")
            && has_one_request("late")
            && (0..5).all(|n| has_one_request(&format!("fresh{n}")))
    );
}

/// A shutdown ends while a client has sent part of a request, and then many more. Guards against a gateway that waits
/// indefinitely, and against replies that are lost to a TCP reset.
#[test]
fn shutdown_with_unfinished_client_requests_ends_in_time_and_its_replies_arrive() {
    let mut harness = GatewayHarness::new("half", &[3]);
    harness.start();
    let mut half = harness.connect_client();
    let command = payment("half".into()).encode();
    half.write_all(&command[..command.len() - 3]).unwrap();
    let signalled = harness.request_shutdown();
    let mut silent = harness.connect_client();
    std::thread::sleep(Duration::from_millis(600).saturating_sub(signalled.elapsed()));
    half.write_all(&command[command.len() - 3..]).unwrap();
    // More bytes follow than the gateway reads in one turn.
    let more: Vec<u8> = command.iter().copied().cycle().take(command.len() * 40).collect();
    half.write_all(&more).unwrap();
    assert_eq!(read_line(&mut half).unwrap(), "+OK");
    silent.set_read_timeout(Some(Duration::from_secs(4))).unwrap();
    assert_eq!(silent.read(&mut [0; 16]).expect("an orderly end"), 0);
    harness.wait_for_exit(signalled);
}

/// Endpoints of another deployment (budapest-kozpont) allow few connections and reject an excess one with a 503 that closes
/// it. Guards against idle connections that use up this limit: 0.47 of the weighted value was served where 0.85 was possible.
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
    // An idle connection would stay open for 3.5 s, 0.7 of the five seconds of `ConnIdle`.
    stream.set_read_timeout(Some(Duration::from_secs(2))).unwrap();
    assert_eq!(stream.read(&mut [0; 16]).expect("closed after its response"), 0);
}

/// Accepts the next connection at a discovery agent controlled by the test and reads its request, which must arrive within
/// `EVENT_TIMEOUT` of that.
fn next_discovery_request(agent: &TcpListener) -> (TcpStream, String) {
    let mut stream = agent.accept().unwrap().0;
    stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
    let text = read_request(&mut stream);
    (stream, text)
}

/// The discovery agent falls silent before the head of a watch's response, in the head, or in the body. The gateway must reopen
/// the watch in time: updates count as known to it 6 s after the silence began, or 2 s after the watch's wait is over.
#[test]
fn silent_watch_is_reopened_before_missed_updates_count_as_known() {
    let partial_responses = [
        "",
        "HTTP/1.1 200 OK\r\nContent-Le",
        "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{\"generation\":1,",
    ];
    let spawn_test = |(index, partial_response): (usize, &'static str)| {
        let mut harness = GatewayHarness::new(&format!("silent-{index}"), &[3]);
        let agent = silent_discovery(&harness);
        std::thread::spawn(move || {
            harness.start();
            let (mut stream, text) = next_discovery_request(&agent);
            assert!(text.contains("GET /registry/instances?after="), "{text}");
            stream.write_all(partial_response.as_bytes()).unwrap();
            let silent = Instant::now();
            let (_again, text) = next_discovery_request(&agent);
            assert!(text.contains("GET /registry/instances?after="), "{text}");
            assert!(
                silent.elapsed() < Duration::from_millis(5500),
                "{partial_response:?}: after {:?}",
                silent.elapsed()
            );
        })
    };
    let threads: Vec<_> = partial_responses.into_iter().enumerate().map(spawn_test).collect();
    threads.into_iter().for_each(|thread| thread.join().unwrap());
}

/// A discovery agent accepts connections and does not respond, at the start and after a reconnect. The gateway serves with the
/// endpoint list of its configuration, and applies a drain as soon as the agent responds.
#[test]
fn gateway_started_with_a_silent_discovery_serves_and_applies_a_drain_at_once() {
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
    let delivered = |events: &[(Duration, PlatformEvent)]| {
        events.iter().filter(|(_, event)| matches!(event, PlatformEvent::Delivered { .. })).count()
    };
    assert!(harness.platform.wait_until(EVENT_TIMEOUT, |events| delivered(events) == 7));
    let is_sent_to_draining = |event: &PlatformEvent| matches!(event, PlatformEvent::RequestReceived { id, endpoint: 0, .. } if id != "first");
    assert!(!harness.platform.events().iter().any(|(_, event)| is_sent_to_draining(event)));
}

/// Starts the gateway, and kills it with a message in flight at an endpoint that does not respond; the endpoint delivers from
/// then on.
fn kill_with_one_in_flight(harness: &mut GatewayHarness, put: &PutCommand) {
    harness.platform.set_behaviour(0, EndpointBehaviour::Silent);
    harness.start();
    submit(harness, put);
    let is_in_flight =
        |event: &PlatformEvent| matches!(event, PlatformEvent::RequestReceived { id, .. } if *id == put.id);
    assert!(harness
        .platform
        .wait_until(EVENT_TIMEOUT, |events| events.iter().any(|(_, event)| is_in_flight(event))));
    harness.kill();
    harness.platform.set_behaviour(0, EndpointBehaviour::Deliver(Duration::ZERO));
}

/// Waits for a notification of this status for a message.
fn assert_notified(harness: &GatewayHarness, id: &str, expected: &str) {
    let is_notified = |event: &PlatformEvent| matches!(event, PlatformEvent::Notification { id: other, status, .. } if other == id && status == expected);
    assert!(
        harness
            .platform
            .wait_until(EVENT_TIMEOUT, |events| events.iter().any(|(_, event)| is_notified(event))),
        "{id} {expected}"
    );
}

/// Between two processes the settings list the classes in another order, or give the unsafe class another effect. Guards
/// against a retry of a message that was accepted as unsafe.
#[test]
fn classes_reordered_or_relaxed_across_a_restart_do_not_affect_accepted_messages() {
    type Change = fn(&mut serde_json::Value);
    let changes: [(&str, Change); 3] = [
        ("reversed", |classes| classes.as_array_mut().unwrap().reverse()),
        ("keyed", |classes| classes[1]["Effect"] = "idempotency_key".into()),
        ("safe", |classes| classes[1]["Effect"] = "read_like".into()),
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

/// After a restart the settings no longer have the class of an accepted message without an attempt. Guards against a message
/// that is never attempted.
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
    assert_eq!(harness.final_violations(), [""; 0]);
    assert_eq!(harness.request_count("left"), 1);
}

/// Endpoints deduplicate keyed messages within their zone, and after a restart the settings list the zones in another order.
/// Guards against a retry in another zone than the one where the message may have run, which could run it twice.
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
    let delivered = |event: &PlatformEvent| matches!(event, PlatformEvent::Delivered { id } if id == "again");
    assert!(harness
        .platform
        .wait_until(EVENT_TIMEOUT, |events| events.iter().any(|(_, event)| delivered(event))));
    let is_request_in_first_zone = |event: &PlatformEvent| matches!(event, PlatformEvent::RequestReceived { id, endpoint: 0, .. } if id == "again");
    let requests =
        harness.platform.events().iter().filter(|(_, event)| is_request_in_first_zone(event)).count();
    assert_eq!((requests, harness.request_count("again")), (2, 2));
}

/// A shutdown with an unacknowledged notification in flight, followed by a reload signal and a second shutdown signal. The
/// process must still end in time, and the next one sends the notification, once.
#[test]
fn shutdown_with_a_pending_notification_and_repeated_signals_ends_in_time_and_the_next_process_notifies() {
    let mut harness = GatewayHarness::new("notice-out", &[3]);
    let agent = silent_discovery(&harness);
    harness.platform.set_behaviour(0, EndpointBehaviour::Silent);
    harness.start();
    submit(&harness, &PutCommand { time_left_ms: 700, ..payment("owed".into()) });
    // The watch and the notification have a connection each; neither gets a response.
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
    let is_notification =
        |event: &PlatformEvent| matches!(event, PlatformEvent::Notification { id, .. } if id == "owed");
    assert_eq!(harness.platform.events().iter().filter(|(_, event)| is_notification(event)).count(), 1);
    assert_eq!(harness.request_count("owed"), 1);
}
