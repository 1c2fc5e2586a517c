//! The gateway started on state folders that earlier versions wrote: what it sends and reports, as seen on sockets.
//! The folders and what they hold: `crates/wal/tests/data/README.md`.

mod gateway_harness;

use cloverstile_fakes::platform::PlatformEvent;
use gateway_harness::{GatewayHarness, EVENT_TIMEOUT};
use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

/// Every request to an endpoint (`message key body`) and every notification (`message status`) after a start on a
/// stored folder, once there are `count` of them.
fn observed_after_start(folder: &str, count: usize) -> BTreeSet<String> {
    let mut harness = GatewayHarness::new(folder, &[3, 3]);
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("../wal/tests/data").join(folder);
    for entry in fs::read_dir(source).unwrap() {
        let entry = entry.unwrap();
        fs::copy(entry.path(), harness.directory.join("state").join(entry.file_name())).unwrap();
    }
    harness.start();
    let describe = |seen: &PlatformEvent| match seen {
        PlatformEvent::RequestReceived { id, idempotency, body, .. } => {
            let key = idempotency.as_deref().unwrap_or("-");
            Some(format!("{id} sent key={key} body={}", String::from_utf8_lossy(body)))
        }
        PlatformEvent::Notification { id, status, .. } => Some(format!("{id} {status}")),
        _ => None,
    };
    harness.platform.wait_until(EVENT_TIMEOUT, |seen| {
        seen.iter().filter_map(|(_, seen)| describe(seen)).count() >= count
    });
    // A clean stop: whatever else would be sent or reported has been by its end.
    let signalled = harness.request_shutdown();
    harness.wait_for_exit(signalled);
    let all: Vec<String> = harness.platform.events().iter().filter_map(|(_, seen)| describe(seen)).collect();
    let distinct: BTreeSet<String> = all.iter().cloned().collect();
    assert_eq!(distinct.len(), all.len(), "something came twice: {all:?}");
    distinct
}

fn set(lines: &[&str]) -> BTreeSet<String> {
    lines.iter().map(|line| (*line).to_owned()).collect()
}

#[test]
fn gateway_on_a_stored_log_with_time_left_delivers_what_never_ran_and_reports_the_rest() {
    let expected = set(&[
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
    assert_eq!(observed_after_start("time-left", expected.len()), expected);
}

#[test]
fn gateway_on_the_stored_log_of_a_killed_one_reports_every_expired_message() {
    let expected = set(&[
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
    assert_eq!(observed_after_start("gateway-killed", expected.len()), expected);
}

#[test]
fn gateway_on_a_stored_log_with_two_segments_reports_the_messages_of_the_newer() {
    let expected = set(&[
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
    assert_eq!(observed_after_start("two-segments", expected.len()), expected);
}
