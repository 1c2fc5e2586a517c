//! An endpoint that sends each 200 twice. The second copy must not be taken for the response to the next request on the
//! connection. Judged from what the endpoint read and wrote.

mod gateway_harness;

use cloverstile_fakes::platform::PutCommand;
use gateway_harness::streams::next_request;
use gateway_harness::{notice, payment, wait_until, GatewayHarness, EVENT_TIMEOUT};
use std::collections::BTreeSet;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const BUSY: &[u8] = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
/// Time from the last byte of a request to the response.
const SERVICE_TIME: Duration = Duration::from_millis(30);
/// Number of messages for each delay.
const MESSAGES: usize = 8;

/// What the endpoint read or wrote, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Exchange {
    /// The last byte of a request for this message arrived.
    Request(String),
    /// This status was written for this message.
    Response(String, u16),
}

/// An endpoint that rejects every second message at its first request, and repeats each 200.
struct RepeatingEndpoint {
    address: SocketAddr,
    exchanges: Arc<Mutex<Vec<Exchange>>>,
}

impl RepeatingEndpoint {
    /// Listens, and writes the second copy of a response `copy_delay` after the first one.
    fn start(copy_delay: Duration) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let exchanges = Arc::new(Mutex::new(Vec::new()));
        let shared = exchanges.clone();
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let shared = shared.clone();
                std::thread::spawn(move || serve(stream, copy_delay, &shared));
            }
        });
        RepeatingEndpoint { address, exchanges }
    }

    fn exchanges(&self) -> Vec<Exchange> {
        self.exchanges.lock().unwrap().clone()
    }

    fn statuses(&self, id: &str) -> Vec<u16> {
        let status = |exchange| match exchange {
            Exchange::Response(other, status) if other == id => Some(status),
            _ => None,
        };
        self.exchanges().into_iter().filter_map(status).collect()
    }
}

fn serve(mut stream: TcpStream, copy_delay: Duration, exchanges: &Mutex<Vec<Exchange>>) {
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
    while let Some(request) = next_request(&mut stream) {
        let id = request.lines().find_map(|line| line.strip_prefix("Req-Id: ")).unwrap().to_owned();
        let is_first = !exchanges.lock().unwrap().contains(&Exchange::Request(id.clone()));
        exchanges.lock().unwrap().push(Exchange::Request(id.clone()));
        std::thread::sleep(SERVICE_TIME);
        let is_rejected = is_first && id.ends_with("-rejected");
        let (status, response) = if is_rejected { (503, BUSY) } else { (200, OK) };
        if stream.write_all(response).is_err() {
            return;
        }
        exchanges.lock().unwrap().push(Exchange::Response(id, status));
        if status == 200 {
            let mut copy = stream.try_clone().unwrap();
            std::thread::spawn(move || {
                std::thread::sleep(copy_delay);
                // The gateway may have closed the connection.
                let _ = copy.write_all(OK);
            });
        }
    }
}

/// A gateway whose only endpoint for destination 3 repeats its responses.
fn harness_with_repeating_endpoint(name: &str, copy_delay: Duration) -> (GatewayHarness, RepeatingEndpoint) {
    let (mut harness, endpoint) = (GatewayHarness::new(name, &[3]), RepeatingEndpoint::start(copy_delay));
    harness.edit_config(|config| {
        config["known"]["instances"][0]["hostPort"] = endpoint.address.to_string().into();
    });
    harness.start();
    (harness, endpoint)
}

/// Submits `at_once` messages at a time, the next ones when these are delivered, and checks that each is delivered, once.
fn assert_each_is_delivered_once(
    name: &str,
    copy_delay: Duration,
    at_once: usize,
    message: fn(String) -> PutCommand,
) {
    let (harness, endpoint) = harness_with_repeating_endpoint(name, copy_delay);
    let mut client = harness.connect_client();
    let ids: Vec<String> = (0..MESSAGES)
        .map(|number| format!("m{number}{}", if number % 2 == 1 { "-rejected" } else { "" }))
        .collect();
    for group in ids.chunks(at_once) {
        for id in group {
            let put = message(id.clone());
            assert_eq!(harness.platform.submit(&mut client, &put).unwrap(), "+OK");
        }
        let is_delivered = || group.iter().all(|id| endpoint.statuses(id).contains(&200));
        assert!(
            wait_until(Duration::from_secs(5), is_delivered),
            "copy after {copy_delay:?}: not all of {group:?} were delivered: {:?}",
            endpoint.exchanges()
        );
    }
    for id in &ids {
        let expected: &[u16] = if id.ends_with("-rejected") { &[503, 200] } else { &[200] };
        assert_eq!(endpoint.statuses(id), expected, "{id}, copy after {copy_delay:?}");
        assert!(!harness.is_notified(id, "undeliverable") && !harness.is_notified(id, "deferred"), "{id}");
    }
    assert_one_request_at_a_time_for_each_message(&endpoint.exchanges());
}

/// No request for a message arrives while another one for it has no response.
fn assert_one_request_at_a_time_for_each_message(exchanges: &[Exchange]) {
    let mut open = BTreeSet::new();
    for exchange in exchanges {
        match exchange {
            Exchange::Request(id) => assert!(open.insert(id), "two requests for {id}: {exchanges:?}"),
            Exchange::Response(id, _) => assert!(open.remove(id)),
        }
    }
}

/// Copies of a response behind it by less and by more than a request takes.
const COPY_DELAYS_MS: [u64; 6] = [0, 1, 5, 15, 60, 150];

fn for_each_delay(check: impl Fn(Duration) + Sync) {
    std::thread::scope(|scope| {
        for delay in COPY_DELAYS_MS {
            let check = &check;
            scope.spawn(move || check(Duration::from_millis(delay)));
        }
    });
}

/// Guards against a delivery credited by the second copy of the response before it: the message was lost, and all later
/// responses of the connection were credited to the request behind theirs.
#[test]
fn copy_of_a_response_is_not_credited_to_the_next_unsafe_message() {
    for_each_delay(|delay| {
        assert_each_is_delivered_once(&format!("copy-unsafe-{}", delay.as_millis()), delay, 1, payment);
    });
}

/// The same for messages of one order key, of which the next must wait for the end of the one before.
#[test]
fn copy_of_a_response_is_not_credited_to_the_next_message_of_its_order_key() {
    for_each_delay(|delay| {
        let ordered = |id| notice(id, 7);
        assert_each_is_delivered_once(&format!("copy-ordered-{}", delay.as_millis()), delay, 2, ordered);
    });
}
