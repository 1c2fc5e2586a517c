//! The gateway started on state directories that earlier versions wrote: the requests and notifications that it sends.
//! `crates/wal/tests/data/README.md` describes these directories.

mod gateway_harness;

use cloverstile_fakes::platform::PlatformEvent;
use gateway_harness::{GatewayHarness, EVENT_TIMEOUT};
use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

/// Starts a gateway on a copy of a stored state directory, waits for `count` requests and notifications, and shuts it down.
/// Returns each request as `ID sent key=KEY body=BODY` and each notification as `ID STATUS`.
fn events_after_start_on_stored_data(directory: &str, count: usize) -> BTreeSet<String> {
    let mut harness = GatewayHarness::new(directory, &[3, 3]);
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("../wal/tests/data").join(directory);
    for entry in fs::read_dir(source).unwrap() {
        let entry = entry.unwrap();
        fs::copy(entry.path(), harness.directory.join("state").join(entry.file_name())).unwrap();
    }
    harness.start();
    let describe = |event: &PlatformEvent| match event {
        PlatformEvent::RequestReceived { id, idempotency, body, .. } => {
            let key = idempotency.as_deref().unwrap_or("-");
            Some(format!("{id} sent key={key} body={}", String::from_utf8_lossy(body)))
        }
        PlatformEvent::Notification { id, status, .. } => Some(format!("{id} {status}")),
        _ => None,
    };
    harness.platform.wait_until(EVENT_TIMEOUT, |events| {
        events.iter().filter_map(|(_, event)| describe(event)).count() >= count
    });
    // After an orderly shutdown nothing more can arrive.
    let signalled = harness.request_shutdown();
    harness.wait_for_exit(signalled);
    let all: Vec<String> =
        harness.platform.events().iter().filter_map(|(_, event)| describe(event)).collect();
    let distinct: BTreeSet<String> = all.iter().cloned().collect();
    assert_eq!(distinct.len(), all.len(), "a request or notification arrived twice: {all:?}");
    distinct
}

fn line_set(lines: &[&str]) -> BTreeSet<String> {
    lines.iter().map(|line| (*line).to_owned()).collect()
}

#[test]
fn gateway_recovering_unexpired_messages_delivers_those_that_never_ran_and_reports_the_rest() {
    let expected = line_set(&[
        "untried-payment sent key=- body=body of untried-payment",
        "untried-notice sent key=k2 body=body of untried-notice",
        "never-ran-payment sent key=- body=body of never-ran-payment",
        "never-ran-notice sent key=k6 body=body of never-ran-notice",
        "out-payment undeliverable",
        "out-notice undeliverable",
        "may-have-run-payment undeliverable",
        "after-loss-notice undeliverable",
        "owed-deferred-no-time deferred",
        "owed-deferred deferred",
        "owed-undeliverable undeliverable",
    ]);
    assert_eq!(events_after_start_on_stored_data("time-left", expected.len()), expected);
}

#[test]
fn gateway_recovering_the_log_of_a_killed_process_reports_every_expired_message() {
    let expected = line_set(&[
        "notice-0 undeliverable",
        "notice-2 deferred",
        "notice-4 deferred",
        "notice-6 undeliverable",
        "notice-8 deferred",
        "notice-10 deferred",
        "payment-1 undeliverable",
        "payment-3 undeliverable",
        "payment-5 undeliverable",
        "payment-7 undeliverable",
        "payment-9 undeliverable",
        "payment-11 undeliverable",
        "payment-12 deferred",
        "payment-13 deferred",
        "payment-14 deferred",
        "payment-15 deferred",
    ]);
    assert_eq!(events_after_start_on_stored_data("gateway-killed", expected.len()), expected);
}

#[test]
fn gateway_recovering_two_segments_reports_the_messages_of_the_newer_one() {
    let expected = line_set(&[
        "untried-notice deferred",
        "out-payment undeliverable",
        "out-notice undeliverable",
        "never-ran-payment deferred",
        "never-ran-notice deferred",
        "may-have-run-payment undeliverable",
        "after-loss-notice undeliverable",
        "after-the-restart deferred",
        "owed-deferred-no-time deferred",
        "owed-deferred deferred",
        "owed-undeliverable undeliverable",
    ]);
    assert_eq!(events_after_start_on_stored_data("two-segments", expected.len()), expected);
}
