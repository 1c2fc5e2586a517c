//! Recovery after truncation at every byte, corruption and crashes; commits that fail; the capacity limit.

mod support;

use cloverstile_wal::store::{DirectoryStore, MemoryStore, SegmentStore};
use cloverstile_wal::{
    AttemptStart, BootId, ClockReference, DecodeError, FinishedOutcome, LiveMessage, Log, NameTable, Record,
    TerminalState, UndecodableRecord, UNKNOWN_INDEX,
};
use proptest::prelude::*;
use std::collections::BTreeMap;
use support::{attempt_start, class_entry, frame, message, FailingStore, CAPACITY_BYTES};

/// Opens a log; returns it with the recovered messages and the number of discarded bytes.
fn open(store: MemoryStore) -> (Log<MemoryStore>, Vec<LiveMessage>, usize) {
    let (log, recovered) = Log::open(store, CAPACITY_BYTES).unwrap();
    (log, recovered.messages, recovered.discarded_bytes)
}

fn newest_segment_name(store: &MemoryStore) -> String {
    store.files.keys().next_back().unwrap().clone()
}

/// Commits a series of records one by one, and returns a copy of the store after each commit.
fn stores_after_each_record() -> Vec<MemoryStore> {
    let records = vec![
        Record::Submitted { message_number: 1, message: Box::new(message(1, 30)) },
        Record::Submitted { message_number: 2, message: Box::new(message(2, 300)) },
        Record::AttemptStarted { message_number: 1, start: attempt_start(11) },
        Record::AttemptCompleted { message_number: 1, may_have_run: false },
        Record::AttemptStarted { message_number: 2, start: attempt_start(12) },
        Record::AttemptCompleted { message_number: 2, may_have_run: true },
        Record::AttemptStarted { message_number: 2, start: attempt_start(13) },
        Record::AttemptStarted { message_number: 1, start: attempt_start(14) },
        Record::NotificationPending { message_number: 2, state: TerminalState::Deferred(Some(700)) },
        Record::Completed { message_number: 1 },
        Record::Completed { message_number: 2 },
    ];
    let (mut log, ..) = open(MemoryStore::default());
    log.commit().unwrap();
    records
        .iter()
        .map(|record| {
            log.record(record.clone());
            log.commit().unwrap();
            log.store().clone()
        })
        .collect()
}

#[test]
fn recovery_of_a_segment_truncated_at_any_byte_discards_only_the_torn_record() {
    let states = stores_after_each_record();
    let whole = states.last().unwrap();
    let name = newest_segment_name(whole);
    let ends: Vec<usize> = states.iter().map(|state| state.files[&name].len()).collect();
    for cut in ends[0]..=whole.files[&name].len() {
        let mut store = whole.clone();
        store.files.get_mut(&name).unwrap().truncate(cut);
        let steps_left = ends.iter().filter(|end| **end <= cut).count();
        let (_, live, discarded) = open(store);
        let (_, expected, none_discarded) = open(states[steps_left - 1].clone());
        assert_eq!(live, expected, "cut at {cut}");
        assert_eq!((discarded, none_discarded), (cut - ends[steps_left - 1], 0), "cut at {cut}");
    }
}

#[test]
fn recovery_stops_before_a_corrupted_record() {
    let states = stores_after_each_record();
    let (before, whole) = (&states[3], &states[10]);
    let name = newest_segment_name(whole);
    let at = before.files[&name].len();
    for damaged in at..states[4].files[&name].len() {
        let mut store = whole.clone();
        store.files.get_mut(&name).unwrap()[damaged] ^= 0x41;
        assert_eq!(open(store).1, open(before.clone()).1, "byte {damaged}");
    }
}

#[test]
fn recovery_restores_attempts_first_possible_run_and_pending_notification() {
    let states = stores_after_each_record();
    let at = |step: usize| open(states[step].clone()).1;
    let second = &at(7)[1];
    assert_eq!(
        (second.attempts, second.first_possible_run, second.open_attempt),
        (2, Some(attempt_start(12)), Some(attempt_start(13)))
    );
    let first = &at(7)[0];
    assert_eq!(
        (first.attempts, first.first_possible_run, first.open_attempt),
        (2, None, Some(attempt_start(14)))
    );
    assert_eq!(at(8)[1].pending_notification, Some(TerminalState::Deferred(Some(700))));
    assert!(at(8)[1].body.is_empty());
    assert!(at(10).is_empty());
}

#[test]
fn compaction_stays_within_the_capacity_and_keeps_all_live_messages() {
    fill_and_compact(&NameTable::default());
}

/// Guards against names of classes and zones that have no share of the capacity.
#[test]
fn compaction_stays_within_the_capacity_with_long_names() {
    let classes = (0..5).map(|class| class_entry(&"c".repeat(20_000 + class), 1)).collect();
    fill_and_compact(&NameTable { classes, zones: Vec::new() });
}

/// Submits and completes messages, as many as there is room for, beside the largest endpoint list.
fn fill_and_compact(names: &NameTable) {
    let (mut log, ..) = open(MemoryStore::default());
    log.record(Record::NameTable(names.clone()));
    log.record(Record::EndpointList(vec![1; log.max_endpoint_list_bytes()]));
    let mut live = BTreeMap::new();
    for number in 1..6000u32 {
        let body_length = (number as usize * 37) % 1500;
        if log.has_room(body_length) {
            log.record(Record::Submitted {
                message_number: number,
                message: Box::new(message(number, body_length)),
            });
            log.record(Record::AttemptStarted { message_number: number, start: attempt_start(5) });
            live.insert(number, body_length);
        }
        if number % 5 != 0 && number > 200 {
            log.record(Record::Completed { message_number: number - 200 });
            live.remove(&(number - 200));
        }
        log.commit().unwrap();
    }
    let store = log.store().clone();
    assert!(store.peak_bytes <= CAPACITY_BYTES as usize, "{} of {CAPACITY_BYTES}", store.peak_bytes);
    assert!(store.peak_bytes > CAPACITY_BYTES as usize / 3, "the test never came near the capacity");
    let found: Vec<usize> = open(store).1.iter().map(|message| message.body.len()).collect();
    assert_eq!(found, live.into_values().collect::<Vec<_>>());
}

#[test]
fn recovery_reads_only_the_newest_segment() {
    let (mut log, ..) = open(MemoryStore::default());
    log.record(Record::Submitted { message_number: 1, message: Box::new(message(1, 9)) });
    log.commit().unwrap();
    let mut store = log.store().clone();
    let name = newest_segment_name(&store);
    let old = store.files[&name].clone();
    store.files.insert("log.0".into(), old.clone());
    store.files.insert("log.tmp".into(), old[..old.len() / 2].to_vec());
    let (_, live, discarded) = open(store);
    assert_eq!((live.len(), discarded), (1, 0));
}

#[test]
fn commit_to_a_full_store_fails_and_the_next_one_starts_a_new_segment() {
    let (mut log, ..) = open(MemoryStore::default());
    log.record(Record::Submitted { message_number: 1, message: Box::new(message(1, 100)) });
    log.commit().unwrap();
    log.store_mut().free_bytes = Some(20);
    log.record(Record::Completed { message_number: 1 });
    log.record(Record::Submitted { message_number: 2, message: Box::new(message(2, 100)) });
    assert!(log.commit().is_err());
    // No record of the turn is stored: recovery would not read batches behind a torn one.
    assert_eq!(open(log.store_mut().clone()).1.len(), 1);
    assert!(log.commit().is_err(), "still full");
    log.store_mut().free_bytes = None;
    log.record(Record::Completed { message_number: 2 });
    log.commit().unwrap();
    assert!(open(log.store().clone()).1.is_empty());
}

#[test]
fn directory_store_appends_renames_and_removes_files() {
    let path = std::env::temp_dir().join(format!("cloverstile-wal-{}", std::process::id()));
    std::fs::create_dir_all(&path).unwrap();
    for round in 0..3u32 {
        let (mut log, recovered) = Log::open(DirectoryStore::new(&path), CAPACITY_BYTES).unwrap();
        assert_eq!(recovered.messages.len() as u32, round);
        for (number, message) in (0..).zip(recovered.messages) {
            log.record(Record::Submitted { message_number: number, message: Box::new(message) });
        }
        log.commit().unwrap();
        log.record(Record::Submitted { message_number: 100, message: Box::new(message(100, 10)) });
        log.commit().unwrap();
        assert_eq!(DirectoryStore::new(&path).file_names().unwrap().len(), 1);
    }
    std::fs::remove_dir_all(&path).unwrap();
}

proptest! {
    #[test]
    fn recovery_of_arbitrary_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let head = b"cloverstile-log 1\n".to_vec();
        let files = BTreeMap::from([("log.3".to_owned(), [head, bytes].concat())]);
        open(MemoryStore { files, ..MemoryStore::default() });
    }
}

/// The name table must survive a restart, which compacts the log into a new segment.
#[test]
fn name_table_is_recovered_from_every_segment() {
    let mut store = MemoryStore::default();
    for round in 0..3 {
        let (mut log, recovered) = Log::open(store, 1 << 20).unwrap();
        let names = |round: u8| NameTable {
            classes: vec![class_entry(&format!("a{round}"), round), class_entry("b", 3)],
            zones: vec!["here".to_owned(), format!("z{round}")],
        };
        assert_eq!(recovered.names, if round == 0 { NameTable::default() } else { names(round - 1) });
        log.record(Record::NameTable(names(round)));
        log.record(Record::Submitted { message_number: 1, message: Box::new(message(1, 30)) });
        log.commit().unwrap();
        store = log.store().clone();
    }
}

/// Guards an upgrade from the version that did not store zones and effects against losing records: their payloads end
/// before these fields.
#[test]
fn records_without_zones_and_effects_are_decoded() {
    let encode_without_last_bytes = |record: Record, by: usize| {
        let mut bytes = Vec::new();
        record.encode(&mut bytes);
        let payload = bytes[8..bytes.len() - by].to_vec();
        let length = (payload.len() as u32).to_le_bytes();
        [&length[..], &crc32fast::hash(&payload).to_le_bytes(), &payload].concat()
    };
    let submitted = LiveMessage {
        first_possible_run: Some(attempt_start(11)),
        open_attempt: Some(attempt_start(12)),
        ..message(1, 30)
    };
    let names = NameTable { classes: vec![class_entry("a", 1), class_entry("b", 2)], zones: Vec::new() };
    let bytes = [
        b"cloverstile-log 1\n".to_vec(),
        encode_without_last_bytes(Record::NameTable(names), 2),
        encode_without_last_bytes(Record::Submitted { message_number: 1, message: Box::new(submitted) }, 2),
        encode_without_last_bytes(
            Record::Submitted { message_number: 2, message: Box::new(message(2, 30)) },
            2,
        ),
        encode_without_last_bytes(Record::AttemptStarted { message_number: 2, start: attempt_start(13) }, 1),
    ];
    let files = BTreeMap::from([("log.3".to_owned(), bytes.concat())]);
    let (_, recovered) = Log::open(MemoryStore { files, ..MemoryStore::default() }, CAPACITY_BYTES).unwrap();
    let start_in_unknown_zone = |at| Some(AttemptStart { started_at: at, zone: UNKNOWN_INDEX });
    let found: Vec<_> =
        recovered.messages.iter().map(|message| (message.first_possible_run, message.open_attempt)).collect();
    assert_eq!(
        (found, recovered.discarded_bytes),
        (vec![(start_in_unknown_zone(11), start_in_unknown_zone(12)), (None, start_in_unknown_zone(13))], 0)
    );
    assert_eq!(recovered.names.classes, [class_entry("a", UNKNOWN_INDEX), class_entry("b", UNKNOWN_INDEX)]);
}

/// Simulates a process that crashes at its Nth change of the store: an append is cut off half way, and all later
/// changes fail.
struct CrashingStore<'a> {
    store: &'a mut MemoryStore,
    /// Number of changes up to and including the one that crashes.
    changes_left: usize,
}

impl CrashingStore<'_> {
    /// Counts a change and returns the store, or an error from the crash on.
    fn change(&mut self) -> std::io::Result<&mut MemoryStore> {
        self.changes_left = self.changes_left.saturating_sub(1);
        if self.changes_left == 0 {
            Err(std::io::Error::other("killed"))
        } else {
            Ok(self.store)
        }
    }
}

impl SegmentStore for CrashingStore<'_> {
    fn file_names(&self) -> std::io::Result<Vec<String>> {
        self.store.file_names()
    }
    fn read(&self, name: &str) -> std::io::Result<Vec<u8>> {
        self.store.read(name)
    }
    fn length(&self, name: &str) -> std::io::Result<u64> {
        self.store.length(name)
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()> {
        if self.changes_left == 1 {
            self.store.append(name, &bytes[..bytes.len() / 2])?;
        }
        self.change()?.append(name, bytes)
    }
    fn truncate(&mut self, name: &str, length: u64) -> std::io::Result<()> {
        self.change()?.truncate(name, length)
    }
    fn rename(&mut self, from: &str, to: &str) -> std::io::Result<()> {
        self.change()?.rename(from, to)
    }
    fn remove(&mut self, name: &str) -> std::io::Result<()> {
        self.change()?.remove(name)
    }
}

/// Simulates a process that recovers the messages and then submits a new one. Returns whether the new one was
/// committed.
fn run_process(store: &mut MemoryStore, changes_left: usize, new_message: u32) -> bool {
    let Ok((mut log, recovered)) = Log::open(CrashingStore { store, changes_left }, CAPACITY_BYTES) else {
        return false;
    };
    log.record(Record::NameTable(NameTable { zones: vec!["here".to_owned()], ..NameTable::default() }));
    for (number, message) in (1..).zip(recovered.messages) {
        log.record(Record::Submitted { message_number: number, message: Box::new(message) });
    }
    if log.commit().is_err() {
        return false;
    }
    log.record(Record::Submitted {
        message_number: 90 + new_message,
        message: Box::new(message(new_message, 40)),
    });
    log.commit().is_ok()
}

/// Two processes in a row crash, each at any of its changes of the store. The third must recover every committed
/// message exactly once.
#[test]
fn two_consecutive_crashes_neither_lose_nor_duplicate_messages() {
    let (mut log, ..) = open(MemoryStore::default());
    (1..4).for_each(|number| {
        log.record(Record::Submitted { message_number: number, message: Box::new(message(number, 30)) });
    });
    log.commit().unwrap();
    let mut start = log.store().clone();
    // Files left by an earlier process: an older segment and an incomplete one.
    let name = newest_segment_name(&start);
    let old = start.files[&name].clone();
    start.files.insert("log.0".into(), old.clone());
    start.files.insert("log.tmp".into(), old[..old.len() / 2].to_vec());
    let (mut crashes, mut commits) = (0, 0);
    for first in 1..10 {
        for second in 1..10 {
            let mut expected: Vec<Vec<u8>> = (1..4).map(|number| message(number, 30).id).collect();
            let mut store = start.clone();
            for (changes_left, new_message) in [(first, 10), (second, 11)] {
                let committed = run_process(&mut store, changes_left, new_message);
                expected.extend(committed.then(|| message(new_message, 40).id));
                crashes += u32::from(!committed);
                commits += u32::from(committed);
            }
            let found: Vec<Vec<u8>> = open(store).1.into_iter().map(|message| message.id).collect();
            assert_eq!(found, expected, "crashes at {first} and {second}");
        }
    }
    assert!(crashes > 60 && commits > 40, "{crashes} crashes, {commits} commits");
}

/// Guards against recovering part of a batch: a message that was submitted and rejected in the same turn would come
/// back as a live one.
#[test]
fn recovery_applies_no_record_of_a_truncated_batch() {
    let (mut log, ..) = open(MemoryStore::default());
    log.record(Record::Submitted { message_number: 1, message: Box::new(message(1, 30)) });
    log.commit().unwrap();
    let before = log.store().clone();
    log.record(Record::Submitted { message_number: 2, message: Box::new(message(2, 30)) });
    log.record(Record::Completed { message_number: 2 });
    log.record(Record::Submitted { message_number: 3, message: Box::new(message(3, 30)) });
    log.commit().unwrap();
    let (name, whole) = (newest_segment_name(&before), log.store().clone());
    for cut in before.files[&name].len()..whole.files[&name].len() {
        let mut store = whole.clone();
        store.files.get_mut(&name).unwrap().truncate(cut);
        assert_eq!(open(store).1, open(before.clone()).1, "cut at {cut}");
    }
    assert_eq!(open(whole).1.len(), 2);
}

/// A write can fail after any number of bytes. Recovery must find all records of the turn if the commit reported
/// success, and none if it reported an error.
#[test]
fn torn_batch_is_recovered_if_and_only_if_its_commit_succeeded() {
    for written in 0..300 {
        let store = FailingStore { truncate_fails: true, ..FailingStore::default() };
        let (mut log, _) = Log::open(store, CAPACITY_BYTES).unwrap();
        log.commit().unwrap();
        log.store_mut().tear_append_after = Some(written);
        log.record(Record::Submitted { message_number: 1, message: Box::new(message(1, 30)) });
        log.record(Record::Submitted { message_number: 2, message: Box::new(message(2, 30)) });
        let committed = log.commit().is_ok();
        let found = open(log.store().store.clone()).1.len();
        assert_eq!(found, if committed { 2 } else { 0 }, "{written} bytes");
        assert!(!log.is_stored(), "the next commit starts a new segment");
        log.commit().unwrap();
        assert!(log.is_stored() && open(log.store().store.clone()).1.len() == 2);
    }
}

/// Guards against segments that pile up because they can't be removed: the platform treats a process that exceeds its
/// disk capacity as crashed.
#[test]
fn segments_that_can_not_be_removed_stay_within_the_capacity() {
    let (mut log, _) = Log::open(FailingStore::default(), CAPACITY_BYTES).unwrap();
    log.commit().unwrap();
    log.store_mut().remove_fails = true;
    let mut failed = 0;
    for number in 1..3000u32 {
        log.record(Record::Submitted { message_number: number, message: Box::new(message(number, 900)) });
        log.record(Record::Completed { message_number: number });
        failed += u32::from(log.commit().is_err());
    }
    assert!(log.store().store.peak_bytes <= CAPACITY_BYTES as usize && failed > 0);
    log.store_mut().remove_fails = false;
    log.record(Record::Submitted { message_number: 1, message: Box::new(message(1, 9)) });
    log.commit().unwrap();
    assert_eq!(log.store().store.files.len(), 1);
    assert_eq!(open(log.store().store.clone()).1.len(), 1);
}

/// Guards against the loss of both segments: a renaming that reports an error behind its effect is undone by a removal, which may
/// report an error behind its effect as well. The old segment then is the current one.
#[test]
fn old_segment_is_kept_if_the_new_one_is_removed_with_an_error() {
    let (mut log, _) = Log::open(FailingStore::default(), CAPACITY_BYTES).unwrap();
    log.record(Record::Submitted { message_number: 1, message: Box::new(message(1, 30)) });
    log.commit().unwrap();
    log.store_mut().tear_append_after = Some(0);
    log.record(Record::Submitted { message_number: 2, message: Box::new(message(2, 30)) });
    assert!(log.commit().is_err());
    log.store_mut().fails_behind_effect = true;
    assert!(log.commit().is_err());
    assert_eq!(open(log.store().store.clone()).1, [message(1, 30)]);
    log.store_mut().fails_behind_effect = false;
    log.commit().unwrap();
    assert_eq!(open(log.store().store.clone()).1.len(), 2);
}

/// An attempt that was logged but not sent must not count as an attempt.
#[test]
fn withdrawn_attempt_is_not_counted() {
    let (mut log, ..) = open(MemoryStore::default());
    log.record(Record::Submitted { message_number: 1, message: Box::new(message(1, 30)) });
    log.record(Record::AttemptStarted { message_number: 1, start: attempt_start(11) });
    log.record(Record::AttemptWithdrawn { message_number: 1 });
    log.commit().unwrap();
    assert_eq!(open(log.store().clone()).1, [message(1, 30)]);
}

/// The clock reference must be in every segment, or the times in it could not be interpreted.
#[test]
fn clock_reference_is_recovered_from_every_segment() {
    let reference = ClockReference { unix_time: 1 << 60, monotonic: 77, boot: BootId([9; 16]) };
    let mut store = MemoryStore::default();
    for round in 0..3 {
        let (mut log, recovered) = Log::open(store, CAPACITY_BYTES).unwrap();
        assert_eq!(recovered.clock, (round > 0).then_some(reference));
        log.record(Record::ClockReference(reference));
        log.commit().unwrap();
        store = log.store().clone();
    }
}

/// A discarded tail must be reported with the decode error; an intact segment is reported without one.
#[test]
fn recovery_reports_the_decode_error_of_a_discarded_tail() {
    let whole = stores_after_each_record().pop().unwrap();
    let name = newest_segment_name(&whole);
    let decode_error_after = |change: fn(&mut Vec<u8>)| {
        let mut store = whole.clone();
        change(store.files.get_mut(&name).unwrap());
        Log::open(store, CAPACITY_BYTES).unwrap().1.decode_error
    };
    assert_eq!(decode_error_after(|_| ()), None);
    assert_eq!(decode_error_after(|bytes| bytes.truncate(bytes.len() - 1)), Some(DecodeError::Truncated));
    assert_eq!(
        decode_error_after(|bytes| *bytes.last_mut().unwrap() ^= 1),
        Some(DecodeError::ChecksumMismatch)
    );
    assert_eq!(decode_error_after(|bytes| bytes.extend([0xff; 16])), Some(DecodeError::TooLong(0xffff_ffff)));
    let unknown_kind = [&[1, 0, 0, 0][..], &crc32fast::hash(&[99]).to_le_bytes(), &[99]].concat();
    let decode_error_of_tail = |tail: Vec<u8>| {
        let mut store = whole.clone();
        store.files.get_mut(&name).unwrap().extend(tail);
        let recovered = Log::open(store, CAPACITY_BYTES).unwrap().1;
        (recovered.decode_error, recovered.discarded_bytes)
    };
    // The segment holds 12 frames: the one that compaction wrote, and one for each of the 11 records.
    let repeated = frame(11, &[]);
    assert_eq!(decode_error_of_tail(repeated), (Some(DecodeError::OutOfSequence), 16));
    // The same record in a segment of format version 1, which has no frames.
    let files = BTreeMap::from([("log.3".to_owned(), [b"cloverstile-log 1\n", &unknown_kind[..]].concat())]);
    let store = MemoryStore { files, ..MemoryStore::default() };
    let recovered = Log::open(store, CAPACITY_BYTES).unwrap().1;
    assert_eq!((recovered.decode_error, recovered.discarded_bytes), (Some(DecodeError::InvalidPayload), 9));
}

/// Guards against a record of a later version that costs the messages beside it and behind it: it costs itself alone, whatever is
/// wrong with it. Its message may have run since its submission, as the record may have said so.
#[test]
fn record_that_can_not_be_decoded_costs_only_itself() {
    let encode = |record: Record| {
        let mut bytes = Vec::new();
        record.encode(&mut bytes);
        bytes
    };
    let submitted = |number: u32| {
        encode(Record::Submitted { message_number: number, message: Box::new(message(number, 9)) })
    };
    let record = |payload: &[u8]| {
        let length = (payload.len() as u32).to_le_bytes();
        [&length[..], &crc32fast::hash(payload).to_le_bytes(), payload].concat()
    };
    let unknown_kind = record(&[99, 1, 0, 0, 0, 5]);
    let too_short = record(&[2, 1, 0, 0, 0]);
    let wrong_checksum = [&[6, 0, 0, 0][..], &[0; 4], &[2, 1, 0, 0, 0, 0]].concat();
    let behind_the_end = [&[0xff, 0xff, 0, 0][..], &[0; 4], &[2, 1, 0, 0, 0, 0]].concat();
    let cases = [
        (unknown_kind, DecodeError::InvalidPayload),
        (too_short, DecodeError::InvalidPayload),
        (wrong_checksum, DecodeError::ChecksumMismatch),
        (behind_the_end, DecodeError::Truncated),
    ];
    for (undecodable, error) in cases {
        // The last one hides what follows in its batch.
        let beside = if error == DecodeError::Truncated { Vec::new() } else { submitted(2) };
        let expected = if error == DecodeError::Truncated { 2 } else { 3 };
        let bytes = [
            b"cloverstile-log 2\n".to_vec(),
            frame(0, &[submitted(1), undecodable.clone(), beside].concat()),
            frame(1, &submitted(3)),
        ];
        let files = BTreeMap::from([("log.3".to_owned(), bytes.concat())]);
        let store = MemoryStore { files, ..MemoryStore::default() };
        let recovered = Log::open(store, CAPACITY_BYTES).unwrap().1;
        assert_eq!((recovered.discarded_bytes, recovered.decode_error), (0, None), "{error}");
        let skipped = UndecodableRecord { error, length: undecodable.len(), message_number: Some(1) };
        assert_eq!((recovered.skipped_records, recovered.messages.len()), (vec![skipped], expected));
        let possible_run = AttemptStart { started_at: message(1, 9).submitted_at, zone: UNKNOWN_INDEX };
        let first = &recovered.messages[0];
        assert_eq!((first.attempts, first.first_possible_run), (1, Some(possible_run)), "{error}");
        assert_eq!(recovered.messages[1].first_possible_run, None, "{error}");
    }
}

/// Delivered and undeliverable messages stay known over compactions and restarts, so that their ids do not run again. A message
/// that was never attempted, or may be submitted again, is forgotten.
#[test]
fn finished_messages_are_recovered_until_they_expire() {
    let (mut log, ..) = open(MemoryStore::default());
    let endings =
        [(1, None), (2, Some(TerminalState::Undeliverable)), (3, Some(TerminalState::Deferred(None)))];
    for (number, state) in endings {
        log.record(Record::Submitted { message_number: number, message: Box::new(message(number, 10)) });
        log.record(Record::AttemptStarted { message_number: number, start: attempt_start(11) });
        if let Some(state) = state {
            log.record(Record::NotificationPending { message_number: number, state });
        }
        log.record(Record::Completed { message_number: number });
    }
    log.record(Record::Submitted { message_number: 4, message: Box::new(message(4, 10)) });
    log.record(Record::Completed { message_number: 4 });
    log.commit().unwrap();
    let mut store = log.store().clone();
    for _ in 0..2 {
        let (mut log, recovered) = Log::open(store, CAPACITY_BYTES).unwrap();
        let known: Vec<_> =
            recovered.finished.iter().map(|finished| (finished.id.clone(), finished.outcome)).collect();
        let expected =
            [(b"m1".to_vec(), FinishedOutcome::Delivered), (b"m2".to_vec(), FinishedOutcome::Undeliverable)];
        assert_eq!(known, expected);
        recovered.finished.into_iter().for_each(|finished| log.record(Record::Finished(finished)));
        log.commit().unwrap();
        store = log.store().clone();
    }
    let (mut log, recovered) = Log::open(store, CAPACITY_BYTES).unwrap();
    let later = LiveMessage { submitted_at: 60_000_000_000, ..message(5, 10) };
    log.record(Record::Submitted { message_number: 5, message: Box::new(later) });
    recovered.finished.into_iter().for_each(|finished| log.record(Record::Finished(finished)));
    log.commit().unwrap();
    let (_, recovered) = Log::open(log.store().clone(), CAPACITY_BYTES).unwrap();
    assert_eq!(recovered.finished, [], "expired");
}

/// However many messages end, what is kept of them leaves the log within its capacity.
#[test]
fn finished_messages_stay_within_their_share_of_the_capacity() {
    let (mut log, ..) = open(MemoryStore::default());
    for number in 1..20_000 {
        log.record(Record::Submitted { message_number: number, message: Box::new(message(number, 10)) });
        log.record(Record::AttemptStarted { message_number: number, start: attempt_start(11) });
        log.record(Record::Completed { message_number: number });
        log.commit().unwrap();
    }
    assert!(log.store().peak_bytes as u64 <= CAPACITY_BYTES);
    let (_, recovered) = Log::open(log.store().clone(), CAPACITY_BYTES).unwrap();
    let newest = recovered.finished.last().map(|finished| finished.id.clone());
    assert!(newest == Some(b"m19999".to_vec()) && recovered.finished.len() > 1000);
}

/// Guards against records that are written and can't be read, which cost all messages in their batch and behind it (review/6).
/// `by_compaction` is whether the records are read from the batch that compaction writes or from the batches of the turns.
#[test]
fn records_of_any_size_within_the_capacity_are_recovered() {
    const LARGE_CAPACITY_BYTES: u64 = 64 << 20;
    let sizes = [1, 256 << 10, (256 << 10) + 1, 3 << 20];
    for (size, by_compaction) in sizes.into_iter().flat_map(|size| [(size, false), (size, true)]) {
        let (mut log, _) = Log::open(MemoryStore::default(), LARGE_CAPACITY_BYTES).unwrap();
        if !by_compaction {
            log.commit().unwrap();
        }
        let names =
            NameTable { classes: vec![class_entry(&"c".repeat(size), 1)], zones: vec!["z".repeat(size)] };
        let submitted = [message(1, size), LiveMessage { id: vec![b'i'; size], ..message(2, 1) }];
        assert!(size <= log.max_endpoint_list_bytes(), "the test's list is larger than the log takes");
        log.record(Record::NameTable(names.clone()));
        log.record(Record::EndpointList(vec![7; size]));
        for (number, message) in (1..).zip(&submitted) {
            log.record(Record::Submitted { message_number: number, message: Box::new(message.clone()) });
        }
        log.commit().unwrap();
        let recovered = Log::open(log.store().clone(), LARGE_CAPACITY_BYTES).unwrap().1;
        assert_eq!((recovered.discarded_bytes, recovered.decode_error), (0, None), "{size} bytes");
        assert!(recovered.messages == submitted && recovered.names == names, "{size} bytes");
        assert_eq!(recovered.endpoint_list.len(), size);
    }
}
