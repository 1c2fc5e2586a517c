//! The state directory of the real program stays within `disk_mb`, whatever clients send.

mod gateway_harness;

use cloverstile_fakes::platform::{EndpointBehaviour, PutCommand};
use gateway_harness::{notice, payment, GatewayHarness};
use std::time::{Duration, Instant};

/// Latency objective of all classes, in nanoseconds: longer than the test, so that messages are sent in their order.
const LATENCY_OBJECTIVE: u64 = 9_000_000_000;
/// Limit of the harness' configuration, in bytes.
const DISK_BYTES: u64 = 1_000_000;
/// Number of messages that the gateway may hold.
const MAX_QUEUED: usize = 60;
/// Number of requests that the gateway may have in flight, and the time that the endpoint takes for one: the queue is still full
/// when the large messages come for the first time.
const REQUESTS_IN_FLIGHT: usize = 4;
const SERVICE_TIME: Duration = Duration::from_millis(150);
/// Clients that submit large messages, and the number of messages of each: together more than twice the disk limit.
const CLIENTS: usize = 5;
const MESSAGES_PER_CLIENT: usize = 8;
const LARGE_BODY_BYTES: usize = 60_000;
/// How long a client submits its rejected messages again.
const RESUBMISSION_TIME: Duration = Duration::from_secs(4);

/// Numbers of accepted and of rejected submissions.
#[derive(Clone, Copy, Debug, Default)]
struct Replies {
    accepted: usize,
    rejected: usize,
}

/// Submits messages on one connection, and those that are rejected again at once and unchanged, until all are accepted or the
/// time is over.
fn submit_until_accepted(harness: &GatewayHarness, messages: Vec<PutCommand>) -> Replies {
    let mut stream = harness.connect_client();
    let end = Instant::now() + RESUBMISSION_TIME;
    let (mut waiting, mut replies) = (messages, Replies::default());
    while !waiting.is_empty() && Instant::now() < end {
        waiting.retain(|message| {
            let accepted = harness.platform.submit(&mut stream, message).unwrap() == "+OK";
            replies.accepted += usize::from(accepted);
            replies.rejected += usize::from(!accepted);
            !accepted
        });
    }
    replies
}

/// Submits a burst of small messages that fills the queue, and then large ones, of which each is rejected at least once.
fn play(name: &str, message: fn(String) -> PutCommand) {
    let mut harness = GatewayHarness::new(&format!("disk-{name}"), &[3]);
    harness.platform.set_behaviour(0, EndpointBehaviour::Deliver(SERVICE_TIME));
    harness.edit_config(|config| {
        config["settings"]["Permissions"]["MostHeld"] = MAX_QUEUED.into();
        config["settings"]["FamilyInfo"]["CallsOut"] = REQUESTS_IN_FLIGHT.into();
        for class in config["settings"]["Lanes"].as_array_mut().unwrap() {
            class["Aim"] = LATENCY_OBJECTIVE.into();
        }
    });
    harness.start();
    let size = harness.watch_state_size();
    let mut stream = harness.connect_client();
    for number in 0..MAX_QUEUED {
        harness.platform.submit(&mut stream, &message(format!("{name}-small-{number}"))).unwrap();
    }
    let large = |client: usize, number: usize| PutCommand {
        body: vec![b'n'; LARGE_BODY_BYTES],
        ..message(format!("{name}-large-{client}-{number}"))
    };
    let harness_of_clients = &harness;
    let replies: Vec<Replies> = std::thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENTS)
            .map(|client| {
                let messages = (0..MESSAGES_PER_CLIENT).map(|number| large(client, number)).collect();
                scope.spawn(move || submit_until_accepted(harness_of_clients, messages))
            })
            .collect();
        clients.into_iter().map(|client| client.join().unwrap()).collect()
    });
    let largest = size.stop();
    let accepted: usize = replies.iter().map(|replies| replies.accepted).sum();
    let rejected: usize = replies.iter().map(|replies| replies.rejected).sum();
    println!("{name}: {largest} bytes at most; {accepted} large messages accepted, {rejected} rejections");
    assert!(accepted > 0 && rejected > MESSAGES_PER_CLIENT, "{accepted} accepted, {rejected} rejections");
    assert!(largest <= DISK_BYTES, "{name}: {largest} bytes, {DISK_BYTES} allowed");
    assert_eq!(harness.final_violations(), Vec::<String>::new());
}

/// Guards against messages that pass the check of the log's room because they were rejected before (review/9).
#[test]
fn rejected_messages_that_come_again_stay_within_the_disk_limit() {
    play("notice", |id| notice(id, 0));
    play("payment", payment);
}
