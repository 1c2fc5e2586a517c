//! Responses that arrive after the deadline of their message, and the settle time: how long the next message of an order
//! key waits after an abandoned attempt that may still run. Each test forces the faulty order of events on real connections.

mod gateway_harness;

use cloverstile_fakes::platform::{read_line, PutCommand};
use cloverstile_fault_injection::{Call, Effect, Rule};
use gateway_harness::manual_endpoint::ManualEndpoint;
use gateway_harness::streams::read_request;
use gateway_harness::{
    harness_with_manual_endpoint, notice, payment, send_signal, wait_until, GatewayHarness,
};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Order key of all messages in a test.
const ORDER_KEY: u64 = 7;
/// Time until the deadline of a message whose attempt times out at that deadline.
const SHORT_TIME_LEFT: Duration = Duration::from_millis(800);
/// Settle time of the harness's configuration (`Rules.OrderSettle`).
const SETTLE_TIME: Duration = Duration::from_millis(100);
/// Settle time of another deployment, longer than a restart takes.
const LONG_SETTLE_TIME: Duration = Duration::from_secs(2);
/// Upper bound of the clock reads that a turn makes before it ends its timed-out attempts.
const MAX_CLOCK_READS_PER_TURN: u64 = 8;
/// How long the process is stalled.
const STALL: Duration = Duration::from_millis(150);
/// Short delay between two events, and the tolerance of compared times.
const MARGIN: Duration = Duration::from_millis(20);
/// Longest wait for a final outcome, including the stall that the test causes.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(3);

/// Submits two messages of one order key, the first with a short deadline. Returns the connection on which the first one's
/// request has arrived.
fn first_in_flight_and_second_waiting(harness: &GatewayHarness, endpoint: &ManualEndpoint) -> TcpStream {
    let first =
        PutCommand { time_left_ms: SHORT_TIME_LEFT.as_millis() as u64, ..notice("first".into(), ORDER_KEY) };
    let mut client = harness.connect_client();
    assert_eq!(harness.platform.submit(&mut client, &first).unwrap(), "+OK");
    assert_eq!(harness.platform.submit(&mut client, &notice("second".into(), ORDER_KEY)).unwrap(), "+OK");
    let mut stream = endpoint.accept();
    assert!(read_request(&mut stream).contains("Req-Id: first"));
    stream
}

/// A 200 arrived after its attempt's timeout and was read in the same turn in which the attempt timed out. Guards against
/// counting it as a delivery, which left the message without a final outcome while the next one of its key was sent
/// (incident-10321).
#[test]
fn response_read_in_the_turn_of_its_attempt_timeout_is_not_a_delivery() {
    let (mut harness, endpoint) = harness_with_manual_endpoint("late-response");
    harness.start();
    let submitted = Instant::now();
    let mut stream = first_in_flight_and_second_waiting(&harness, &endpoint);
    let gateway = harness.gateway.as_ref().unwrap();
    send_signal(gateway, "-STOP");
    std::thread::sleep((SHORT_TIME_LEFT + Duration::from_millis(100)).saturating_sub(submitted.elapsed()));
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();
    send_signal(gateway, "-CONT");
    let is_notified = || harness.is_notified("first", "undeliverable");
    assert!(wait_until(OUTCOME_TIMEOUT, is_notified), "the message has no final outcome");
    let mut stream = endpoint.accept();
    assert!(read_request(&mut stream).contains("Req-Id: second"));
}

/// The deadline was counted from when the submission was read. Guards against counting a 200 as a delivery that arrives
/// after the deadline as the client counts it, when the process was stalled before it read the submission (incident-10321).
#[test]
fn response_after_the_deadline_of_a_submission_read_late_is_not_a_delivery() {
    let (mut harness, endpoint) = harness_with_manual_endpoint("late-submission");
    harness.start();
    let mut client = harness.connect_client();
    let put =
        PutCommand { time_left_ms: SHORT_TIME_LEFT.as_millis() as u64, ..notice("first".into(), ORDER_KEY) };
    send_signal(harness.gateway.as_ref().unwrap(), "-STOP");
    client.write_all(&put.encode()).unwrap();
    let deadline = Instant::now() + SHORT_TIME_LEFT;
    std::thread::sleep(STALL - 2 * MARGIN);
    send_signal(harness.gateway.as_ref().unwrap(), "-CONT");
    assert_eq!(read_line(&mut client).unwrap(), "+OK");
    let response_at = deadline.max(Instant::now() + SHORT_TIME_LEFT - STALL) + MARGIN;
    let mut stream = endpoint.accept();
    assert!(read_request(&mut stream).contains("Req-Id: first"));
    std::thread::sleep(response_at.saturating_duration_since(Instant::now()));
    // The write fails if the gateway has abandoned the request and closed the connection.
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    let is_notified = || harness.is_notified("first", "undeliverable");
    assert!(wait_until(OUTCOME_TIMEOUT, is_notified), "the message has no final outcome");
}

/// The settle time counted from the clock reading by which the attempt was abandoned. When the process stalled after that
/// reading, the next message of the key was sent a few milliseconds after the end of the attempt's connection.
#[test]
fn settle_time_is_kept_after_an_attempt_abandoned_during_a_process_stall() {
    // One of the first clock reads after the timeout is the one that the turn uses; the test stalls after each of them.
    let run = |skipped: u64| std::thread::spawn(move || (skipped, delay_after_abandoned_attempt(skipped)));
    for thread in (0..MAX_CLOCK_READS_PER_TURN).map(run).collect::<Vec<_>>() {
        let (skipped, delay) = thread.join().unwrap();
        assert!(
            delay >= SETTLE_TIME - MARGIN,
            "clock read {skipped}: {delay:?} after the end of the attempt"
        );
    }
}

/// Time from the end of an abandoned attempt to the request for the next message of its key, when the process stalls right
/// after one read of the monotonic clock, which follows `skipped` other reads.
fn delay_after_abandoned_attempt(skipped: u64) -> Duration {
    let (mut harness, endpoint) = harness_with_manual_endpoint(&format!("settle-hold-up-{skipped}"));
    harness.edit_config(|config| config["settings"]["Lanes"][1]["OneAtATime"] = true.into());
    let faults = harness.fault_control();
    harness.start_with_faults(&faults);
    let ordered = |id: &str| PutCommand { key: ORDER_KEY, ..payment(id.into()) };
    let first = PutCommand { time_left_ms: SHORT_TIME_LEFT.as_millis() as u64, ..ordered("first") };
    let mut client = harness.connect_client();
    assert_eq!(harness.platform.submit(&mut client, &first).unwrap(), "+OK");
    assert_eq!(harness.platform.submit(&mut client, &ordered("second")).unwrap(), "+OK");
    let mut stream = endpoint.accept();
    assert!(read_request(&mut stream).contains("Req-Id: first"));
    std::thread::sleep(MARGIN);
    let effect = Effect::Delay(STALL - MARGIN);
    faults.set_rule(0, &Rule { skip: skipped, ..Rule::once(Call::MonotonicClock, effect) }).unwrap();
    assert_eq!(stream.read(&mut [0; 16]).expect("the gateway ends its sending"), 0);
    let ended = Instant::now();
    let mut stream = endpoint.accept();
    assert!(read_request(&mut stream).contains("Req-Id: second"));
    ended.elapsed()
}

/// After a restart the settle time applied only to attempts that were in flight at the kill. Guards against forgetting an
/// attempt that was abandoned just before it, whose message had its final outcome and an acknowledged notification.
#[test]
fn settle_time_of_an_abandoned_attempt_is_kept_across_a_restart() {
    for (name, submitted_before) in [("settle-held", true), ("settle-new", false)] {
        let (mut harness, endpoint) = harness_with_manual_endpoint(name);
        harness.edit_config(|config| {
            config["settings"]["Lanes"][1]["OneAtATime"] = true.into();
            config["settings"]["Rules"]["OrderSettle"] = (LONG_SETTLE_TIME.as_nanos() as u64).into();
        });
        harness.start();
        let ordered = |id: &str| PutCommand { key: ORDER_KEY, ..payment(id.into()) };
        let submit = |harness: &GatewayHarness, put: &PutCommand| {
            assert_eq!(harness.platform.submit(&mut harness.connect_client(), put).unwrap(), "+OK");
        };
        submit(&harness, &PutCommand { time_left_ms: 500, ..ordered("first") });
        let mut stream = endpoint.accept();
        assert!(read_request(&mut stream).contains("Req-Id: first"));
        if submitted_before {
            submit(&harness, &ordered("second"));
        }
        assert_eq!(stream.read(&mut [0; 16]).expect("the gateway ends its sending"), 0);
        let ended = Instant::now();
        assert!(wait_until(OUTCOME_TIMEOUT, || harness.is_notified("first", "undeliverable")));
        std::thread::sleep(MARGIN);
        harness.kill();
        harness.start();
        if !submitted_before {
            submit(&harness, &ordered("second"));
        }
        let mut stream = endpoint.accept();
        assert!(read_request(&mut stream).contains("Req-Id: second"));
        let delay = ended.elapsed();
        assert!(delay >= LONG_SETTLE_TIME - MARGIN, "{name}: {delay:?} after the end of the attempt");
    }
}
