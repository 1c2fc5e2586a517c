//! Recovery after a cut at every byte, damage, a full folder, and segments under the bound.

use cloverstile_wal::store::{DirectoryStore, MemoryStore, SegmentStore};
use cloverstile_wal::{
    AttemptStart, ClassName, LiveMessage, Log, NameTable, Record, TerminalState, UNKNOWN_INDEX,
};
use proptest::prelude::*;
use std::collections::BTreeMap;

const BOUND: u64 = 1 << 20;

fn message(number: u32, body: usize) -> LiveMessage {
    LiveMessage {
        id: format!("m{number}").into_bytes(),
        idempotency_key: number.is_multiple_of(2).then(|| b"key".to_vec()),
        class: 1,
        destination: 7,
        order_key: u64::from(number % 3),
        submitted_at: 10,
        deadline: 20,
        body: vec![number as u8; body],
        ..LiveMessage::default()
    }
}

fn began(at: u64) -> AttemptStart {
    AttemptStart { started_at: at, zone: at as u8 % 3 }
}

fn class(name: &str, effect: u8) -> ClassName {
    ClassName { name: name.to_owned(), effect }
}

fn open(folder: MemoryStore) -> (Log<MemoryStore>, Vec<LiveMessage>, usize) {
    let (log, recovered) = Log::open(folder, BOUND).unwrap();
    (log, recovered.messages, recovered.discarded_bytes)
}

fn newest(folder: &MemoryStore) -> String {
    folder.files.keys().next_back().unwrap().clone()
}

/// A log's steps, each in a turn of its own, with the folder as it stood after each.
fn steps() -> Vec<MemoryStore> {
    let records = vec![
        Record::Submitted { message_number: 1, message: Box::new(message(1, 30)) },
        Record::Submitted { message_number: 2, message: Box::new(message(2, 300)) },
        Record::AttemptStarted { message_number: 1, start: began(11) },
        Record::AttemptCompleted { message_number: 1, may_have_run: false },
        Record::AttemptStarted { message_number: 2, start: began(12) },
        Record::AttemptCompleted { message_number: 2, may_have_run: true },
        Record::AttemptStarted { message_number: 2, start: began(13) },
        Record::AttemptStarted { message_number: 1, start: began(14) },
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
fn a_cut_at_any_byte_costs_the_torn_record_only() {
    let states = steps();
    let whole = states.last().unwrap();
    let name = newest(whole);
    let ends: Vec<usize> = states.iter().map(|state| state.files[&name].len()).collect();
    for cut in ends[0]..=whole.files[&name].len() {
        let mut folder = whole.clone();
        folder.files.get_mut(&name).unwrap().truncate(cut);
        let steps_left = ends.iter().filter(|end| **end <= cut).count();
        let (_, living, torn) = open(folder);
        let (_, expected, none) = open(states[steps_left - 1].clone());
        assert_eq!(living, expected, "cut at {cut}");
        assert_eq!((torn, none), (cut - ends[steps_left - 1], 0), "cut at {cut}");
    }
}

#[test]
fn a_damaged_byte_costs_its_record_and_what_follows() {
    let states = steps();
    let (before, whole) = (&states[3], &states[10]);
    let name = newest(whole);
    let at = before.files[&name].len();
    for damaged in at..states[4].files[&name].len() {
        let mut folder = whole.clone();
        folder.files.get_mut(&name).unwrap()[damaged] ^= 0x41;
        assert_eq!(open(folder).1, open(before.clone()).1, "byte {damaged}");
    }
}

#[test]
fn a_restart_knows_attempts_first_sending_and_what_is_owed() {
    let states = steps();
    let at = |step: usize| open(states[step].clone()).1;
    let second = &at(7)[1];
    assert_eq!(
        (second.attempts, second.may_have_run, second.open_attempt),
        (2, Some(began(12)), Some(began(13)))
    );
    let first = &at(7)[0];
    assert_eq!((first.attempts, first.may_have_run, first.open_attempt), (2, None, Some(began(14))));
    assert_eq!(at(8)[1].pending_notification, Some(TerminalState::Deferred(Some(700))));
    assert!(at(8)[1].body.is_empty());
    assert!(at(10).is_empty());
}

#[test]
fn segments_stay_under_the_bound_and_lose_nothing() {
    let (mut log, ..) = open(MemoryStore::default());
    let mut living = BTreeMap::new();
    for number in 1..6000u32 {
        let body = (number as usize * 37) % 1500;
        if log.has_room(body) {
            log.record(Record::Submitted {
                message_number: number,
                message: Box::new(message(number, body)),
            });
            log.record(Record::AttemptStarted { message_number: number, start: began(5) });
            living.insert(number, body);
        }
        if number % 5 != 0 && number > 200 {
            log.record(Record::Completed { message_number: number - 200 });
            living.remove(&(number - 200));
        }
        log.commit().unwrap();
    }
    let folder = log.store().clone();
    assert!(folder.most <= BOUND as usize, "{} of {BOUND}", folder.most);
    assert!(folder.most > BOUND as usize / 3, "the bound was never near");
    let found: Vec<usize> = open(folder).1.iter().map(|living| living.body.len()).collect();
    assert_eq!(found, living.into_values().collect::<Vec<_>>());
}

#[test]
fn a_start_between_the_new_segment_and_the_end_of_the_old_one_reads_the_new() {
    let (mut log, ..) = open(MemoryStore::default());
    log.record(Record::Submitted { message_number: 1, message: Box::new(message(1, 9)) });
    log.commit().unwrap();
    let mut folder = log.store().clone();
    let name = newest(&folder);
    let old = folder.files[&name].clone();
    folder.files.insert("log.0".into(), old.clone());
    folder.files.insert("log.tmp".into(), old[..old.len() / 2].to_vec());
    let (_, living, torn) = open(folder);
    assert_eq!((living.len(), torn), (1, 0));
}

#[test]
fn a_full_folder_is_an_error_and_the_next_commit_writes_all_anew() {
    let (mut log, ..) = open(MemoryStore::default());
    log.record(Record::Submitted { message_number: 1, message: Box::new(message(1, 100)) });
    log.commit().unwrap();
    log.store_mut().room = Some(20);
    log.record(Record::Completed { message_number: 1 });
    log.record(Record::Submitted { message_number: 2, message: Box::new(message(2, 100)) });
    assert!(log.commit().is_err());
    // Nothing of the turn is there: half of it would hide what comes later.
    assert_eq!(open(log.store_mut().clone()).1.len(), 1);
    assert!(log.commit().is_err(), "still full");
    log.store_mut().room = None;
    log.record(Record::Completed { message_number: 2 });
    log.commit().unwrap();
    assert!(open(log.store().clone()).1.is_empty());
}

#[test]
fn files_are_written_renamed_and_removed() {
    let path = std::env::temp_dir().join(format!("cloverstile-wal-{}", std::process::id()));
    std::fs::create_dir_all(&path).unwrap();
    for round in 0..3u32 {
        let (mut log, recovered) = Log::open(DirectoryStore::new(&path), BOUND).unwrap();
        assert_eq!(recovered.messages.len() as u32, round);
        for (place, living) in recovered.messages.into_iter().enumerate() {
            log.record(Record::Submitted { message_number: place as u32, message: Box::new(living) });
        }
        log.commit().unwrap();
        log.record(Record::Submitted { message_number: 100, message: Box::new(message(100, 10)) });
        log.commit().unwrap();
        assert_eq!(DirectoryStore::new(&path).names().unwrap().len(), 1);
    }
    std::fs::remove_dir_all(&path).unwrap();
}

proptest! {
    #[test]
    fn any_bytes_are_a_log_that_can_be_read(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let head = b"cloverstile-log 1\n".to_vec();
        let files = BTreeMap::from([("log.3".to_owned(), [head, bytes].concat())]);
        open(MemoryStore { files, ..MemoryStore::default() });
    }
}

/// What places mean outlasts the process and each new segment.
#[test]
fn names_of_classes_and_zones_come_back_from_whichever_segment() {
    let mut folder = MemoryStore::default();
    for round in 0..3 {
        let (mut log, recovered) = Log::open(folder, 1 << 20).unwrap();
        let names = |round: u8| NameTable {
            classes: vec![class(&format!("a{round}"), round), class("b", 3)],
            zones: vec!["here".to_owned(), format!("z{round}")],
        };
        assert_eq!(recovered.names, if round == 0 { NameTable::default() } else { names(round - 1) });
        log.record(Record::NameTable(names(round)));
        log.record(Record::Submitted { message_number: 1, message: Box::new(message(1, 30)) });
        log.commit().unwrap();
        folder = log.store().clone();
    }
}

/// A log of the version before zones and effects were kept: nothing of it is lost by the change of versions.
#[test]
fn records_of_before_zones_were_kept_are_read() {
    let shorter = |record: Record, by: usize| {
        let mut bytes = Vec::new();
        record.write(&mut bytes);
        let payload = bytes[8..bytes.len() - by].to_vec();
        let length = (payload.len() as u32).to_le_bytes();
        [&length[..], &crc32fast::hash(&payload).to_le_bytes(), &payload].concat()
    };
    let taken =
        LiveMessage { may_have_run: Some(began(11)), open_attempt: Some(began(12)), ..message(1, 30) };
    let names = NameTable { classes: vec![class("a", 1), class("b", 2)], zones: Vec::new() };
    let bytes = [
        b"cloverstile-log 1\n".to_vec(),
        shorter(Record::NameTable(names), 2),
        shorter(Record::Submitted { message_number: 1, message: Box::new(taken) }, 2),
        shorter(Record::Submitted { message_number: 2, message: Box::new(message(2, 30)) }, 2),
        shorter(Record::AttemptStarted { message_number: 2, start: began(13) }, 1),
    ];
    let files = BTreeMap::from([("log.3".to_owned(), bytes.concat())]);
    let (_, recovered) = Log::open(MemoryStore { files, ..MemoryStore::default() }, BOUND).unwrap();
    let old = |at| Some(AttemptStart { started_at: at, zone: UNKNOWN_INDEX });
    let found: Vec<_> =
        recovered.messages.iter().map(|living| (living.may_have_run, living.open_attempt)).collect();
    assert_eq!((found, recovered.discarded_bytes), (vec![(old(11), old(12)), (None, old(13))], 0));
    assert_eq!(recovered.names.classes, [class("a", UNKNOWN_INDEX), class("b", UNKNOWN_INDEX)]);
}

/// A folder of a process that is killed at its Nth change: a write is done by half then, and nothing after it.
struct Dying<'a> {
    folder: &'a mut MemoryStore,
    left: usize,
}

impl Dying<'_> {
    fn lives(&mut self) -> std::io::Result<&mut MemoryStore> {
        self.left = self.left.saturating_sub(1);
        if self.left == 0 {
            Err(std::io::Error::other("killed"))
        } else {
            Ok(self.folder)
        }
    }
}

impl SegmentStore for Dying<'_> {
    fn names(&self) -> std::io::Result<Vec<String>> {
        self.folder.names()
    }
    fn read(&self, name: &str) -> std::io::Result<Vec<u8>> {
        self.folder.read(name)
    }
    fn append(&mut self, name: &str, bytes: &[u8]) -> std::io::Result<()> {
        if self.left == 1 {
            self.folder.append(name, &bytes[..bytes.len() / 2])?;
        }
        self.lives()?.append(name, bytes)
    }
    fn truncate(&mut self, name: &str, length: u64) -> std::io::Result<()> {
        self.lives()?.truncate(name, length)
    }
    fn rename(&mut self, from: &str, to: &str) -> std::io::Result<()> {
        self.lives()?.rename(from, to)
    }
    fn remove(&mut self, name: &str) -> std::io::Result<()> {
        self.lives()?.remove(name)
    }
}

/// One process: takes the living on again, and then one message more; whether that was written.
fn process(folder: &mut MemoryStore, left: usize, fresh: u32) -> bool {
    let Ok((mut log, recovered)) = Log::open(Dying { folder, left }, BOUND) else { return false };
    log.record(Record::NameTable(NameTable { zones: vec!["here".to_owned()], ..NameTable::default() }));
    for (seq, living) in (1..).zip(recovered.messages) {
        log.record(Record::Submitted { message_number: seq, message: Box::new(living) });
    }
    if log.commit().is_err() {
        return false;
    }
    log.record(Record::Submitted { message_number: 90 + fresh, message: Box::new(message(fresh, 40)) });
    log.commit().is_ok()
}

/// Kills at every change of the folder, in one process, and in the next one as well: what was written is found by the
/// third, once each.
#[test]
fn a_kill_at_any_step_of_recovering_and_another_one_lose_and_double_nothing() {
    let (mut log, ..) = open(MemoryStore::default());
    (1..4).for_each(|number| {
        log.record(Record::Submitted { message_number: number, message: Box::new(message(number, 30)) })
    });
    log.commit().unwrap();
    let mut start = log.store().clone();
    // Left by a process before: an older segment and one half written.
    let name = newest(&start);
    let old = start.files[&name].clone();
    start.files.insert("log.0".into(), old.clone());
    start.files.insert("log.tmp".into(), old[..old.len() / 2].to_vec());
    let (mut kills, mut wrote) = (0, 0);
    for first in 1..10 {
        for second in 1..10 {
            let mut expected: Vec<Vec<u8>> = (1..4).map(|number| message(number, 30).id).collect();
            let mut folder = start.clone();
            for (left, fresh) in [(first, 10), (second, 11)] {
                let written = process(&mut folder, left, fresh);
                expected.extend(written.then(|| message(fresh, 40).id));
                (kills, wrote) = (kills + u32::from(!written), wrote + u32::from(written));
            }
            let found: Vec<Vec<u8>> = open(folder).1.into_iter().map(|living| living.id).collect();
            assert_eq!(found, expected, "killed at {first} and {second}");
        }
    }
    assert!(kills > 60 && wrote > 40, "{kills} kills, {wrote} that lived on");
}
