//! Every request that was read is answered, and what arrives behind a close is left unread: the real program, and clients
//! whose bytes cross the end of their connection.

mod gateway_harness;

use cloverstile_fakes::platform::read_line;
use gateway_harness::streams::read_until;
use gateway_harness::{payment, GatewayHarness};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// How long a client waits for the reset that tells it that its bytes were not read.
const RESET_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time from the shutdown signal to the close of a resting connection, or from its last reply to that close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

fn running_gateway(name: &str) -> GatewayHarness {
    let mut harness = GatewayHarness::new(name, &[3]);
    harness.start();
    harness
}

/// A client that has had a reply and rests.
fn resting_client(harness: &GatewayHarness) -> TcpStream {
    let mut client = harness.connect_client();
    client.write_all(b"*1\r\n$4\r\nPING\r\n").unwrap();
    assert_eq!(read_line(&mut client).unwrap(), "+PONG");
    client
}

/// Waits for the gateway's close, then sends a request that was under way; whether a reset tells that it was not read.
fn is_reset_after_sending_behind_the_close(mut client: TcpStream) -> bool {
    client.set_read_timeout(Some(CLOSE_TIMEOUT)).unwrap();
    assert_eq!(client.read(&mut [0; 16]).expect("an orderly end"), 0);
    client.write_all(&payment("crossing".into()).encode()).unwrap();
    let end = Instant::now() + RESET_TIMEOUT;
    while Instant::now() < end {
        if client.take_error().unwrap().is_some() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    false
}

/// A request that crosses the close of a resting connection. One that is read and has no reply is lost; one that is left
/// unread is sent again by its client (incident-1).
#[test]
fn request_behind_the_close_of_a_resting_connection_is_left_unread() {
    let idle = running_gateway("unread-idle");
    let resting = resting_client(&idle);
    assert!(is_reset_after_sending_behind_the_close(resting), "closed for idleness: its request was read");
    let mut draining = running_gateway("unread-drain");
    let resting = resting_client(&draining);
    let signalled = draining.request_shutdown();
    assert!(is_reset_after_sending_behind_the_close(resting), "closed for a shutdown: its request was read");
    draining.wait_for_exit(signalled);
}

/// The end of a shutdown comes while a client is in the middle of a command: what was read of it gets a reply.
#[test]
fn half_a_command_at_the_end_of_a_shutdown_gets_a_reply() {
    let mut harness = running_gateway("half-at-end");
    let signalled = harness.request_shutdown();
    std::thread::sleep(Duration::from_millis(300));
    let mut client = harness.connect_client();
    std::thread::sleep(Duration::from_millis(2900).saturating_sub(signalled.elapsed()));
    let command = payment("half".into()).encode();
    client.write_all(&command[..command.len() / 2]).unwrap();
    let replies = read_until(&mut client, signalled + Duration::from_millis(3700));
    assert_eq!(replies, "-BUSY\r\n");
    harness.wait_for_exit(signalled);
}

/// A client that ends its sending behind its last request still reads: it gets the reply, and then an orderly end.
#[test]
fn client_that_ends_its_sending_behind_a_request_gets_the_reply() {
    let harness = running_gateway("half-open");
    let mut client = harness.connect_client();
    client.write_all(&payment("only".into()).encode()).unwrap();
    client.shutdown(Shutdown::Write).unwrap();
    let mut replies = Vec::new();
    client.read_to_end(&mut replies).expect("an orderly end");
    assert_eq!(String::from_utf8_lossy(&replies), "+OK\r\n");
    assert_eq!(harness.violations_at_the_end(), [""; 0]);
}
