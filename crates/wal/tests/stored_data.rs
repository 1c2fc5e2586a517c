//! Recovery of logs written by earlier versions: each must yield the same messages as with the version that wrote it.
//! The logs are described in `tests/data/README.md`.

use cloverstile_wal::store::DirectoryStore;
use cloverstile_wal::{AttemptStart, LiveMessage, Log, RecoveredState, TerminalState};
use std::fmt::Write;
use std::fs;
use std::path::{Path, PathBuf};

const CAPACITY_BYTES: u64 = 1 << 20;

/// Copies a stored log directory to a temporary one, because opening a log modifies its directory.
fn copy_to_temporary_directory(directory: &str) -> PathBuf {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data").join(directory);
    let copy = std::env::temp_dir().join(format!("cloverstile-stored-{}-{directory}", std::process::id()));
    let _ = fs::remove_dir_all(&copy);
    fs::create_dir_all(&copy).unwrap();
    for entry in fs::read_dir(source).unwrap() {
        let entry = entry.unwrap();
        fs::copy(entry.path(), copy.join(entry.file_name())).unwrap();
    }
    copy
}

fn start_text(start: Option<AttemptStart>) -> String {
    start.map_or_else(|| "-".to_owned(), |start| format!("{}@{}", start.started_at, start.zone))
}

fn pending_notification_text(state: Option<TerminalState>) -> String {
    match state {
        None => "-".to_owned(),
        Some(TerminalState::Undeliverable) => "undeliverable".to_owned(),
        Some(TerminalState::Deferred(None)) => "deferred".to_owned(),
        Some(TerminalState::Deferred(Some(milliseconds))) => format!("deferred:{milliseconds}"),
    }
}

fn message_text(message: &LiveMessage) -> String {
    let key = message.idempotency_key.as_deref().map_or("-".into(), String::from_utf8_lossy);
    let body: String = message.body.iter().map(|byte| format!("{byte:02x}")).collect();
    format!(
        "id={} key={key} class={} destination={} order={} taken_at={} deadline={} after_loss={} attempts={} \
         may_have_run={} open={} owed={} body={body}",
        String::from_utf8_lossy(&message.id),
        message.class,
        message.destination,
        message.order_key,
        message.submitted_at,
        message.deadline,
        message.from_lost_instance,
        message.attempts,
        start_text(message.first_possible_run),
        start_text(message.open_attempt),
        pending_notification_text(message.pending_notification),
    )
}

/// Formats the recovered state like `recovered.txt`.
fn recovered_state_text(recovered: &RecoveredState) -> String {
    let mut text = format!("discarded_bytes={}\n", recovered.discarded_bytes);
    for class in &recovered.names.classes {
        writeln!(text, "class={} effect={}", class.name, class.effect).unwrap();
    }
    for zone in &recovered.names.zones {
        writeln!(text, "zone={zone}").unwrap();
    }
    for message in &recovered.messages {
        writeln!(text, "{}", message_text(message)).unwrap();
    }
    text
}

/// Asserts that the stored log in `directory` is recovered to the state in its `recovered.txt`.
fn assert_recovers(directory: &str) {
    let copy = copy_to_temporary_directory(directory);
    let expected = fs::read_to_string(copy.join("recovered.txt")).unwrap();
    let (_, recovered) = Log::open(DirectoryStore::new(&copy), CAPACITY_BYTES).unwrap();
    assert_eq!(recovered_state_text(&recovered), expected, "{directory}");
    fs::remove_dir_all(copy).unwrap();
}

#[test]
fn stored_log_with_every_record_kind_and_a_torn_end_is_recovered() {
    assert_recovers("every-record-torn");
}

#[test]
fn stored_log_with_two_segments_is_recovered_from_the_newer() {
    assert_recovers("two-segments");
}

#[test]
fn stored_log_with_unexpired_deadlines_is_recovered() {
    assert_recovers("time-left");
}

#[test]
fn stored_log_of_a_killed_gateway_is_recovered() {
    assert_recovers("gateway-killed");
}
