//! Responses that arrive behind the time that their request was given, and how long a key rests behind an attempt that may
//! still run. Real connections; the bad order is forced.

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

/// The order key of the messages of a test.
const KEY: u64 = 7;
/// Time that a message has whose attempt ends with it.
const SHORT_TIME: Duration = Duration::from_millis(800);
/// How long a key rests behind an attempt that may still run (`Rules.OrderSettle`).
const SETTLE_TIME: Duration = Duration::from_millis(100);
/// The same of another customer, longer than a restart takes.
const LONG_SETTLE_TIME: Duration = Duration::from_secs(2);
/// More readings of the clock than a turn has ahead of the end of its attempts.
const READINGS_IN_A_TURN: u64 = 8;
/// How long a process may be held up.
const HOLD_UP: Duration = Duration::from_millis(150);
/// A moment behind another one.
const MOMENT: Duration = Duration::from_millis(20);
/// How late the end of a message may be, with the hold-up of the test.
const END_TIMEOUT: Duration = Duration::from_secs(3);

/// Submits two messages of a key, the first with little time, and returns the connection with the request of the first.
fn first_in_flight_and_second_waiting(harness: &GatewayHarness, endpoint: &ManualEndpoint) -> TcpStream {
    let first = PutCommand { time_left_ms: SHORT_TIME.as_millis() as u64, ..notice("first".into(), KEY) };
    let mut client = harness.connect_client();
    assert_eq!(harness.platform.submit(&mut client, &first).unwrap(), "+OK");
    assert_eq!(harness.platform.submit(&mut client, &notice("second".into(), KEY)).unwrap(), "+OK");
    let mut stream = endpoint.accept();
    assert!(read_request(&mut stream).contains("Req-Id: first"));
    stream
}

/// incident-10321: a 200 that arrives behind the time of its attempt, and is read in the same turn in which the attempt times
/// out, was taken for a delivery: the message had no end, and the next one of its key was sent.
#[test]
fn response_read_together_with_the_timeout_of_its_attempt_is_no_delivery() {
    let (mut harness, endpoint) = harness_with_manual_endpoint("late-response");
    harness.start();
    let submitted = Instant::now();
    let mut stream = first_in_flight_and_second_waiting(&harness, &endpoint);
    let gateway = harness.gateway.as_ref().unwrap();
    send_signal(gateway, "-STOP");
    std::thread::sleep((SHORT_TIME + Duration::from_millis(100)).saturating_sub(submitted.elapsed()));
    stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").unwrap();
    send_signal(gateway, "-CONT");
    let is_notified = || harness.is_notified("first", "undeliverable");
    assert!(wait_until(END_TIMEOUT, is_notified), "the message has no end");
    let mut stream = endpoint.accept();
    assert!(read_request(&mut stream).contains("Req-Id: second"));
}

/// incident-10321: the time of a message was counted from when its submission was read. A 200 that came behind its time, as its
/// client counts it, was taken for a delivery where the process had been held up ahead of that.
#[test]
fn response_behind_the_time_of_a_submission_that_was_read_late_is_no_delivery() {
    let (mut harness, endpoint) = harness_with_manual_endpoint("late-submission");
    harness.start();
    let mut client = harness.connect_client();
    let put = PutCommand { time_left_ms: SHORT_TIME.as_millis() as u64, ..notice("first".into(), KEY) };
    send_signal(harness.gateway.as_ref().unwrap(), "-STOP");
    client.write_all(&put.encode()).unwrap();
    let over = Instant::now() + SHORT_TIME;
    std::thread::sleep(HOLD_UP - 2 * MOMENT);
    send_signal(harness.gateway.as_ref().unwrap(), "-CONT");
    assert_eq!(read_line(&mut client).unwrap(), "+OK");
    let late = over.max(Instant::now() + SHORT_TIME - HOLD_UP) + MOMENT;
    let mut stream = endpoint.accept();
    assert!(read_request(&mut stream).contains("Req-Id: first"));
    std::thread::sleep(late.saturating_duration_since(Instant::now()));
    // The gateway may have given the request up.
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    let is_notified = || harness.is_notified("first", "undeliverable");
    assert!(wait_until(END_TIMEOUT, is_notified), "the message has no end");
}

/// The settle time of a key counted from the time at which an attempt was abandoned as the process read it: where it was held up
/// behind that reading, the next message of the key was sent a few milliseconds behind the end of the attempt's connection.
#[test]
fn key_rests_behind_an_attempt_that_was_abandoned_in_a_hold_up() {
    // One of the first readings of the clock behind the time-out is the one that the turn goes by.
    let play =
        |skipped: u64| std::thread::spawn(move || (skipped, rest_behind_an_abandoned_attempt(skipped)));
    for thread in (0..READINGS_IN_A_TURN).map(play).collect::<Vec<_>>() {
        let (skipped, rest) = thread.join().unwrap();
        assert!(rest >= SETTLE_TIME - MOMENT, "reading {skipped}: {rest:?} behind the end of the attempt");
    }
}

/// How long behind the end of an abandoned attempt the next message of its key is sent, where the process is held up behind one
/// reading of its clock, after so many others.
fn rest_behind_an_abandoned_attempt(skipped: u64) -> Duration {
    let (mut harness, endpoint) = harness_with_manual_endpoint(&format!("settle-hold-up-{skipped}"));
    harness.edit_config(|config| config["settings"]["Lanes"][1]["OneAtATime"] = true.into());
    let faults = harness.fault_control();
    harness.start_with_faults(&faults);
    let ordered = |id: &str| PutCommand { key: KEY, ..payment(id.into()) };
    let first = PutCommand { time_left_ms: SHORT_TIME.as_millis() as u64, ..ordered("first") };
    let mut client = harness.connect_client();
    assert_eq!(harness.platform.submit(&mut client, &first).unwrap(), "+OK");
    assert_eq!(harness.platform.submit(&mut client, &ordered("second")).unwrap(), "+OK");
    let mut stream = endpoint.accept();
    assert!(read_request(&mut stream).contains("Req-Id: first"));
    std::thread::sleep(MOMENT);
    let effect = Effect::Delay(HOLD_UP - MOMENT);
    faults.set_rule(0, &Rule { skip: skipped, ..Rule::once(Call::MonotonicClock, effect) }).unwrap();
    assert_eq!(stream.read(&mut [0; 16]).expect("the gateway ends its sending"), 0);
    let ended = Instant::now();
    let mut stream = endpoint.accept();
    assert!(read_request(&mut stream).contains("Req-Id: second"));
    ended.elapsed()
}

/// Only an attempt that was in flight at a kill let its key rest in the next process. One that had been abandoned just before,
/// its message ended and acknowledged, was forgotten.
#[test]
fn key_rests_over_a_restart_behind_an_attempt_that_was_abandoned() {
    for (name, submitted_before) in [("settle-held", true), ("settle-new", false)] {
        let (mut harness, endpoint) = harness_with_manual_endpoint(name);
        harness.edit_config(|config| {
            config["settings"]["Lanes"][1]["OneAtATime"] = true.into();
            config["settings"]["Rules"]["OrderSettle"] = (LONG_SETTLE_TIME.as_nanos() as u64).into();
        });
        harness.start();
        let ordered = |id: &str| PutCommand { key: KEY, ..payment(id.into()) };
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
        assert!(wait_until(END_TIMEOUT, || harness.is_notified("first", "undeliverable")));
        std::thread::sleep(MOMENT);
        harness.kill();
        harness.start();
        if !submitted_before {
            submit(&harness, &ordered("second"));
        }
        let mut stream = endpoint.accept();
        assert!(read_request(&mut stream).contains("Req-Id: second"));
        let rest = ended.elapsed();
        assert!(rest >= LONG_SETTLE_TIME - MOMENT, "{name}: {rest:?} behind the end of the attempt");
    }
}
