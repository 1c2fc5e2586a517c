//! Responses that end a message or its attempts: nothing is sent for the message behind them. Judged from what the endpoint
//! read and wrote.

mod gateway_harness;

use cloverstile_fakes::platform::AgentBehaviour;
use gateway_harness::streams::next_request;
use gateway_harness::{notice, GatewayHarness, EVENT_TIMEOUT};
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const OK: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const GONE: &[u8] = b"HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n";
const EXHAUSTED: &[u8] = b"HTTP/1.1 504 Timeout\r\nContent-Length: 0\r\n\r\n";
const GONE_STATUS_LINE: &[u8] = b"HTTP/1.1 410 Gone\r\n";
const GONE_HEAD: &[u8] = b"HTTP/1.1 410 Gone\r\nContent-Length: 9\r\n\r\n";
/// Time of most responses with status 200.
const SERVICE_TIME: Duration = Duration::from_millis(40);
/// Time of few responses with status 200.
const LONG_SERVICE_TIME: Duration = Duration::from_millis(450);

/// Longer than a message waits for its next attempt.
const RETRY_TIME: Duration = Duration::from_secs(3);

/// The platform's slack: a request may be on its way while an answer is.
const READING_TIME: Duration = Duration::from_millis(50);

/// What the endpoint writes in response to a request.
#[derive(Clone, Copy)]
struct Answer {
    delay: Duration,
    /// The connection is kept open behind it.
    bytes: &'static [u8],
}

impl Answer {
    const fn new(delay: Duration, bytes: &'static [u8]) -> Self {
        Answer { delay, bytes }
    }
}

/// What the endpoint read or wrote for a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Exchange {
    /// The last byte of a request arrived.
    Request,
    /// An answer was written.
    Answer,
}

/// An exchange with its message and time.
#[derive(Clone, Debug)]
struct Record {
    id: String,
    at: Instant,
    exchange: Exchange,
}

/// An endpoint whose answer depends on the message id.
struct ScriptedEndpoint {
    address: SocketAddr,
    records: Arc<Mutex<Vec<Record>>>,
}

impl ScriptedEndpoint {
    fn start(answer: fn(&str) -> Answer) -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
        let address = listener.local_addr().unwrap();
        let records = Arc::new(Mutex::new(Vec::new()));
        let shared = records.clone();
        std::thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let shared = shared.clone();
                std::thread::spawn(move || serve(stream, answer, &shared));
            }
        });
        ScriptedEndpoint { address, records }
    }

    /// The messages of this prefix for which a request came later than [`READING_TIME`] after an answer.
    fn sent_after_an_answer(&self, prefix: &str) -> Vec<String> {
        let mut answered_at = HashMap::new();
        let mut sent_again = Vec::new();
        for Record { id, at, exchange } in self.records.lock().unwrap().iter() {
            if *exchange == Exchange::Answer {
                answered_at.entry(id.clone()).or_insert(*at);
            } else if answered_at.get(id).is_some_and(|answered_at| *at > *answered_at + READING_TIME) {
                sent_again.push(id.clone());
            }
        }
        sent_again.retain(|id| id.starts_with(prefix));
        sent_again
    }
}

fn serve(mut stream: TcpStream, answer: fn(&str) -> Answer, records: &Mutex<Vec<Record>>) {
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
    let record = |id: &str, exchange| {
        records.lock().unwrap().push(Record { id: id.to_owned(), at: Instant::now(), exchange });
    };
    while let Some(request) = next_request(&mut stream) {
        let id = request.lines().find_map(|line| line.strip_prefix("Req-Id: ")).unwrap().to_owned();
        record(&id, Exchange::Request);
        let Answer { delay, bytes } = answer(&id);
        std::thread::sleep(delay);
        if stream.write_all(bytes).is_err() {
            return;
        }
        record(&id, Exchange::Answer);
    }
}

/// A running gateway whose only endpoint for destination 3 answers as `answer` says.
fn harness_with_scripted_endpoint(
    name: &str,
    answer: fn(&str) -> Answer,
) -> (GatewayHarness, ScriptedEndpoint) {
    let (mut harness, endpoint) = (GatewayHarness::new(name, &[3]), ScriptedEndpoint::start(answer));
    harness.edit_config(|config| {
        config["known"]["instances"][0]["hostPort"] = endpoint.address.to_string().into();
    });
    // The platform's own list has another endpoint.
    harness.platform.set_agent_behaviour(0, AgentBehaviour::WithholdsLists);
    harness.start();
    (harness, endpoint)
}

/// Draws numbers from a seed.
struct Draw(u64);

impl Draw {
    /// A number below `bound`, by a linear congruential generator.
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

/// Number of gateways that run at once, each with an endpoint of its own.
const RUNS: u64 = 6;
/// How long messages are submitted.
const LOAD_TIME: Duration = Duration::from_secs(8);
/// Length of a pause of the process.
const PAUSE: Duration = Duration::from_millis(150);
/// Time from the start of a pause to the next one.
const PAUSE_INTERVAL: Duration = Duration::from_millis(450);

/// Whether the gateway's process is paused now and then.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Pauses {
    Never,
    Regular,
}

/// Time between two messages.
const SUBMISSION_INTERVAL: Duration = Duration::from_millis(6);

/// Submits messages for a while, one in ten of them already over, and returns those of them that were sent again.
fn messages_sent_again_after_their_end(
    name: &str,
    seed: u64,
    pauses: Pauses,
    answer: fn(&str) -> Answer,
) -> Vec<String> {
    let (harness, endpoint) = harness_with_scripted_endpoint(&format!("{name}-{seed}"), answer);
    let (mut client, mut draw) = (harness.connect_client(), Draw(seed));
    let started = Instant::now();
    let mut next_pause = started + PAUSE_INTERVAL;
    for number in 0.. {
        if started.elapsed() >= LOAD_TIME {
            break;
        }
        if pauses == Pauses::Regular && Instant::now() >= next_pause {
            harness.pause(PAUSE);
            next_pause += PAUSE_INTERVAL;
        }
        let kind = match draw.below(200) {
            0..20 => "over",
            20..40 => "long",
            _ => "ok",
        };
        let put = notice(format!("{kind}-{number}"), 0);
        let _ = harness.platform.submit(&mut client, &put);
        std::thread::sleep(SUBMISSION_INTERVAL);
    }
    std::thread::sleep(RETRY_TIME);
    endpoint.sent_after_an_answer("over")
}

/// Plays [`RUNS`] seeds at once and checks that no message was sent again after the endpoint's answer ended it.
fn assert_none_is_sent_again(name: &'static str, pauses: Pauses, answer: fn(&str) -> Answer) {
    let run =
        |seed| std::thread::spawn(move || messages_sent_again_after_their_end(name, seed, pauses, answer));
    let runs: Vec<_> = (0..RUNS).map(run).collect();
    let sent_again: Vec<Vec<String>> = runs.into_iter().map(|thread| thread.join().unwrap()).collect();
    assert!(sent_again.iter().all(Vec::is_empty), "sent again after their end: {sent_again:?}");
}

/// An answer of status 200, which takes long for some messages, or `end` at once for messages that are over.
fn answer_or_end(id: &str, end: &'static [u8]) -> Answer {
    match id {
        _ if id.starts_with("over") => Answer::new(Duration::ZERO, end),
        _ if id.starts_with("long") => Answer::new(LONG_SERVICE_TIME, OK),
        _ => Answer::new(SERVICE_TIME, OK),
    }
}

/// Guards against a 410 that is read, held as a possible copy of the 410 before it, and forgotten when its attempt times
/// out: the message was sent again 0.4 to 2.7 s after its end.
#[test]
fn message_is_not_sent_again_after_a_410_that_equals_the_response_before() {
    assert_none_is_sent_again("equal-410", Pauses::Never, |id| answer_or_end(id, GONE));
}

/// Guards against a 504 taken for a request that was not sent: the message had no attempt left and got many.
#[test]
fn message_is_not_sent_again_after_a_504() {
    assert_none_is_sent_again("status-504", Pauses::Never, |id| answer_or_end(id, EXHAUSTED));
}

/// Guards against a 410 of which only the status line or the head arrives: its message was sent again after the time-out.
#[test]
fn message_is_not_sent_again_after_a_part_of_a_410() {
    assert_none_is_sent_again("part-410", Pauses::Never, |id| {
        let part = if id.ends_with(['0', '2', '4', '6', '8']) { GONE_STATUS_LINE } else { GONE_HEAD };
        answer_or_end(id, part)
    });
}

/// Guards against a 410 that arrives about when its attempt times out, or in a pause of the process at that time: only a
/// `Retry-After` was read then, and the message was sent again.
#[test]
fn message_is_not_sent_again_after_a_410_at_the_timeout_of_its_attempt() {
    assert_none_is_sent_again("late-410", Pauses::Regular, |id| {
        let last_digit = id.bytes().last().map_or(0, |byte| u64::from(byte - b'0'));
        let Answer { delay, bytes } = answer_or_end(id, GONE);
        let delay = if bytes == GONE { Duration::from_millis(270 + 30 * last_digit) } else { delay };
        Answer { delay, bytes }
    });
}
