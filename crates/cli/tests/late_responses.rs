//! Responses that arrive behind the time that their request was given, and how long a key rests behind an attempt that may
//! still run. Real connections; the bad order is forced.

mod gateway_harness;

use cloverstile_fakes::platform::{read_line, PutCommand};
use gateway_harness::manual_endpoint::ManualEndpoint;
use gateway_harness::streams::read_request;
use gateway_harness::{notice, send_signal, GatewayHarness};
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// The order key of the messages of a test.
const KEY: u64 = 7;
/// Time that a message has whose attempt ends with it.
const SHORT_TIME: Duration = Duration::from_millis(800);
/// How long a process may be held up.
const HOLD_UP: Duration = Duration::from_millis(150);
/// A moment behind another one.
const MOMENT: Duration = Duration::from_millis(20);
/// How late the end of a message may be, with the hold-up of the test.
const END_TIMEOUT: Duration = Duration::from_secs(3);

/// A gateway whose one endpoint of destination 3 is controlled by the test.
fn harness_with_manual_endpoint(name: &str) -> (GatewayHarness, ManualEndpoint) {
    let (harness, endpoint) = (GatewayHarness::new(name, &[3]), ManualEndpoint::new());
    harness.edit_config(|config| {
        config["known"]["instances"][0]["hostPort"] = endpoint.address.to_string().into();
    });
    (harness, endpoint)
}

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

fn wait_until(timeout: Duration, condition: impl Fn() -> bool) -> bool {
    let end = Instant::now() + timeout;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    false
}
