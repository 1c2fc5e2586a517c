//! Client connections of the real program at their end: every request that the gateway has read gets a reply, and what
//! arrives after the gateway closed a connection is left unread, so that the client sees a reset.

mod gateway_harness;

use cloverstile_fakes::platform::read_line;
use gateway_harness::streams::read_until;
use gateway_harness::{payment, GatewayHarness};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

/// Longest wait for the TCP reset that tells a client that its bytes were not read.
const RESET_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest time until an idle connection is closed, from the shutdown signal or from the last reply on it.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// A started gateway with one endpoint for destination 3.
fn started_gateway(name: &str) -> GatewayHarness {
    let mut harness = GatewayHarness::new(name, &[3]);
    harness.start();
    harness
}

/// A client connection that has received a reply and has no request in flight.
fn idle_client(harness: &GatewayHarness) -> TcpStream {
    let mut client = harness.connect_client();
    client.write_all(b"*1\r\n$4\r\nPING\r\n").unwrap();
    assert_eq!(read_line(&mut client).unwrap(), "+PONG");
    client
}

/// Waits until the gateway closes the connection, then sends a request, as if it had crossed the close on the network.
/// Returns whether a reset reports that the request was not read.
fn is_reset_after_sending_on_closed_connection(mut client: TcpStream) -> bool {
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

/// A request crosses the gateway's close of an idle connection, after the idle timeout and in a shutdown. Guards against
/// a request that is read without a reply and so lost; the client sends an unread one again (incident-1).
#[test]
fn request_sent_after_an_idle_connection_is_closed_is_not_read() {
    let gateway = started_gateway("unread-idle");
    let client = idle_client(&gateway);
    assert!(
        is_reset_after_sending_on_closed_connection(client),
        "closed after the idle timeout: its request was read"
    );
    let mut draining = started_gateway("unread-drain");
    let client = idle_client(&draining);
    let signalled = draining.request_shutdown();
    assert!(
        is_reset_after_sending_on_closed_connection(client),
        "closed in a shutdown: its request was read"
    );
    draining.wait_for_exit(signalled);
}

/// A shutdown ends when a client has sent half of a command. Guards against a partly read command without a reply.
#[test]
fn partial_command_at_the_end_of_a_shutdown_gets_a_reply() {
    let mut harness = started_gateway("half-at-end");
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

/// A client shuts down its sending side after its last request and still reads: it gets the reply, and then an orderly
/// end of the connection.
#[test]
fn client_that_half_closes_after_a_request_gets_the_reply() {
    let harness = started_gateway("half-open");
    let mut client = harness.connect_client();
    client.write_all(&payment("only".into()).encode()).unwrap();
    client.shutdown(Shutdown::Write).unwrap();
    let mut replies = Vec::new();
    client.read_to_end(&mut replies).expect("an orderly end");
    assert_eq!(String::from_utf8_lossy(&replies), "+OK\r\n");
    assert_eq!(harness.final_violations(), [""; 0]);
}
