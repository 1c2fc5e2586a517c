//! The endpoint list that a process was told, kept for the next one.

use cloverstile_platform::endpoint_list_codec::{decode, StoredEndpointList};
use cloverstile_platform::endpoint_list_response::{EndpointEntry, EndpointListResponse};
use cloverstile_platform::told_endpoint_list::{StartingList, ToldEndpointList};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

fn entry(id: &str, address: &str, lifecycle: &str) -> EndpointEntry {
    let (zone, kind) = ("here".to_owned(), "any".to_owned());
    let (id, address, lifecycle) = (id.to_owned(), address.to_owned(), lifecycle.to_owned());
    EndpointEntry { id, address, zone, kind, destination: 1, lifecycle, weight: 1.0 }
}

fn response(version: u64, is_snapshot: bool, entries: &[EndpointEntry]) -> EndpointListResponse {
    EndpointListResponse { version, is_snapshot, entries: entries.to_vec() }
}

/// The list that the process behind `earlier` starts with, with this configuration.
fn next_start(earlier: &ToldEndpointList, max_bytes: usize, known: &EndpointListResponse) -> StartingList {
    let stored = decode(&earlier.encode(max_bytes).bytes).unwrap();
    ToldEndpointList::at_start(Some(known), Some(stored))
}

/// Whether told by changes or by a whole list, the next process starts with all of it: without the endpoint that is gone, with the
/// one that came, and with the state of the one that drains.
#[test]
fn next_process_starts_with_the_list_that_was_told() {
    let [gone, drains, stays, comes] = [
        entry("s-1", "127.0.0.1:1", "SERVING"),
        entry("s-2", "127.0.0.1:2", "SERVING"),
        entry("s-3", "127.0.0.1:3", "SERVING"),
        entry("s-4", "127.0.0.1:1", "SERVING"),
    ];
    let known = response(4, true, &[gone, drains.clone(), stays.clone()]);
    let deleted = entry("s-1", "127.0.0.1:1", "DELETED");
    let draining = entry("s-2", "127.0.0.1:2", "DRAINING");
    let expected = response(9, true, &[draining.clone(), stays.clone(), comes.clone()]);
    let mut by_changes = ToldEndpointList::at_start(Some(&known), None).told;
    by_changes.apply(&response(8, false, &[deleted, draining.clone()]));
    by_changes.apply(&response(9, false, std::slice::from_ref(&comes)));
    let mut by_snapshot = ToldEndpointList::at_start(Some(&known), None).told;
    by_snapshot.apply(&response(9, true, &[draining, stays, comes]));
    for told in [by_changes, by_snapshot] {
        assert_eq!(told.to_response(), expected);
        let mut next = next_start(&told, usize::MAX, &known);
        assert_eq!((next.told.to_response(), next.changes_after), (expected.clone(), 9));
        assert!(next.is_from_earlier_process);
        // An endpoint that serves again does so for the process after that, too.
        next.told.apply(&response(10, false, std::slice::from_ref(&drains)));
        let after_next = next_start(&next.told, usize::MAX, &known).told.to_response();
        assert!(after_next.version == 10 && after_next.entries.contains(&drains), "{after_next:?}");
    }
}

/// Guards against changes that are applied to another list than the one to which they were made (review/7): an endpoint came and
/// went, and the next configuration is of the time in between.
#[test]
fn endpoint_that_came_and_went_is_not_listed_with_a_configuration_of_the_time_between() {
    let (stays, replaced) = (entry("s-1", "127.0.0.1:1", "SERVING"), entry("s-2", "127.0.0.1:2", "SERVING"));
    let new = entry("s-3", "127.0.0.1:2", "SERVING");
    let mut told =
        ToldEndpointList::at_start(Some(&response(10, true, std::slice::from_ref(&stays))), None).told;
    let between = response(20, true, &[stays.clone(), replaced]);
    told.apply(&between);
    let last = response(40, true, &[stays, new]);
    told.apply(&last);
    let start = next_start(&told, usize::MAX, &between);
    assert_eq!((start.told.to_response(), start.changes_after), (last, 40));
}

/// The configuration goes first if it is newer, and nothing of what an earlier process was told is mixed with it.
#[test]
fn newer_configuration_replaces_the_list_that_was_told() {
    let (old, new) = (entry("s-1", "127.0.0.1:1", "SERVING"), entry("s-2", "127.0.0.1:2", "SERVING"));
    let told = ToldEndpointList::at_start(Some(&response(10, true, &[old])), None).told;
    let known = response(11, true, &[new]);
    let start = next_start(&told, usize::MAX, &known);
    assert_eq!((start.told.to_response(), start.changes_after), (known, 11));
    assert!(!start.is_from_earlier_process);
}

/// Changes that version 0.2.0 stored may have been made to another configuration: discovery is asked for all since this one.
#[test]
fn changes_of_an_earlier_version_are_applied_and_asked_for_again() {
    let known =
        response(20, true, &[entry("s-1", "127.0.0.1:1", "SERVING"), entry("s-2", "127.0.0.1:2", "SERVING")]);
    let changes = response(40, false, &[entry("s-1", "127.0.0.1:1", "DELETED")]);
    let start = ToldEndpointList::at_start(Some(&known), Some(StoredEndpointList::Changes(changes)));
    assert_eq!((start.told.to_response().entries.len(), start.changes_after), (1, 20));
    assert_eq!(start.told.version(), 40);
}

/// Guards against going back to the configured entry of an endpoint that drains or has moved, for want of room (review/10). What
/// the configuration has as well is reduced first.
#[test]
fn list_without_room_keeps_whole_what_the_configuration_does_not_have() {
    let fleet: Vec<EndpointEntry> =
        (0..50).map(|number| entry(&format!("a-{number:02}"), "127.0.0.1:4", "SERVING")).collect();
    let [gone, moved, moves_to, drains] = [
        entry("t-1", "127.0.0.1:1", "SERVING"),
        entry("t-2", "127.0.0.1:2", "SERVING"),
        entry("t-2", "127.0.0.1:9", "SERVING"),
        entry("t-3", "127.0.0.1:3", "DRAINING"),
    ];
    let known = response(1, true, &[fleet.clone(), vec![gone, moved]].concat());
    let mut told = ToldEndpointList::at_start(Some(&known), None).told;
    let last = response(2, true, &[fleet, vec![moves_to, drains]].concat());
    told.apply(&last);
    let max_bytes = 600;
    let encoded = told.encode(max_bytes);
    assert!(
        encoded.bytes.len() <= max_bytes && encoded.fingerprinted > 40 && encoded.omitted == 0,
        "{encoded:?}"
    );
    let start = next_start(&told, max_bytes, &known);
    // The configuration fills up what is stored as a fingerprint.
    assert_eq!((start.told.to_response(), start.changes_after), (last, 1));
    // Without room even for that, discovery is asked for the whole list.
    assert_eq!(next_start(&told, 200, &known).changes_after, 0);
}

/// A step of a random history: which endpoints are told, and in which form.
#[derive(Clone, Debug)]
struct Step {
    /// For each endpoint: not listed, or a state of its entry.
    entries: Vec<Option<u8>>,
    is_snapshot: bool,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let entries = prop::collection::vec(prop::option::weighted(0.7, 0u8..4), 12);
    let step = (entries, any::<bool>()).prop_map(|(entries, is_snapshot)| Step { entries, is_snapshot });
    prop::collection::vec(step, 1..8)
}

fn entries_of(step: &Step) -> Vec<EndpointEntry> {
    let entry = |(number, state): (usize, &Option<u8>)| {
        let state = (*state)?;
        let lifecycle = if state == 0 { "DRAINING" } else { "SERVING" };
        Some(entry(
            &format!("s-{number}"),
            &format!("127.0.0.1:{}", number + 100 * usize::from(state)),
            lifecycle,
        ))
    };
    step.entries.iter().enumerate().filter_map(entry).collect()
}

/// The response that tells a step behind the step before.
fn told_as(version: u64, before: &[EndpointEntry], step: &Step) -> EndpointListResponse {
    let after = entries_of(step);
    if step.is_snapshot {
        return response(version, true, &after);
    }
    let by_id: BTreeMap<&str, &EndpointEntry> =
        after.iter().map(|entry| (entry.id.as_str(), entry)).collect();
    let gone = before.iter().filter(|entry| !by_id.contains_key(entry.id.as_str()));
    let deleted = gone.map(|entry| EndpointEntry { lifecycle: "DELETED".to_owned(), ..entry.clone() });
    let changed = after.iter().filter(|entry| !before.contains(entry)).cloned();
    response(version, false, &deleted.chain(changed).collect::<Vec<_>>())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever was told, whatever the room and whichever earlier list the next configuration holds: the next process lists
    /// nothing but what was told last, and what discovery answers to its first request completes the list.
    #[test]
    fn next_process_never_lists_what_was_told_as_gone(
        steps in steps(), known in 0usize..8, next_known in 0usize..8, max_bytes in 80usize..900
    ) {
        let lists: Vec<EndpointListResponse> =
            (1..).zip(&steps).map(|(version, step)| response(version, true, &entries_of(step))).collect();
        let known = &lists[known % lists.len()];
        let next_known = &lists[next_known % lists.len()];
        let last = lists.last().unwrap();
        let mut told = ToldEndpointList::at_start(Some(known), None).told;
        for (list, step) in lists.iter().zip(&steps).filter(|(list, _)| list.version > known.version) {
            let before = told.to_response().entries;
            told.apply(&told_as(list.version, &before, step));
        }
        let mut sorted = last.clone();
        sorted.entries.sort_by(|a, b| a.id.cmp(&b.id));
        prop_assert_eq!(&told.to_response(), &sorted);
        let mut start = next_start(&told, max_bytes, next_known);
        let listed = start.told.to_response().entries;
        prop_assert!(listed.iter().all(|entry| last.entries.contains(entry)), "{:?}", listed);
        // Discovery answers with the entries that differ from the list of that version.
        let base = lists.iter().find(|list| list.version == start.changes_after);
        let before = base.map_or(&[][..], |list| &list.entries);
        start.told.apply(&told_as(last.version, before, &Step { is_snapshot: false, ..steps.last().unwrap().clone() }));
        prop_assert_eq!(&start.told.to_response(), &sorted);
    }
}
