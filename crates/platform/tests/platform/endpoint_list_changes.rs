//! The endpoint list that a process was told, kept for the next one.

use cloverstile_platform::endpoint_list_changes::EndpointListChanges;
use cloverstile_platform::endpoint_list_codec::decode;
use cloverstile_platform::endpoint_list_response::{EndpointEntry, EndpointListResponse};

fn entry(id: &str, address: &str, lifecycle: &str) -> EndpointEntry {
    let (zone, kind) = ("here".to_owned(), "any".to_owned());
    let (id, address, lifecycle) = (id.to_owned(), address.to_owned(), lifecycle.to_owned());
    EndpointEntry { id, address, zone, kind, destination: 1, lifecycle, weight: 1.0 }
}

fn response(version: u64, is_snapshot: bool, entries: &[EndpointEntry]) -> EndpointListResponse {
    EndpointListResponse { version, is_snapshot, entries: entries.to_vec() }
}

/// Whether told by changes or by a whole list, what differs from the configuration is kept: the endpoint that is gone as
/// deleted, the one that came, and the one that drains.
#[test]
fn kept_changes_are_those_against_the_configured_list() {
    let [gone, drains, stays, comes] = [
        entry("s-1", "127.0.0.1:1", "SERVING"),
        entry("s-2", "127.0.0.1:2", "SERVING"),
        entry("s-3", "127.0.0.1:3", "SERVING"),
        entry("s-4", "127.0.0.1:1", "SERVING"),
    ];
    let known = response(4, true, &[gone.clone(), drains.clone(), stays.clone()]);
    let deleted = entry("s-1", "127.0.0.1:1", "DELETED");
    let draining = entry("s-2", "127.0.0.1:2", "DRAINING");
    let expected = response(9, false, &[deleted.clone(), draining.clone(), comes.clone()]);
    let mut by_changes = EndpointListChanges::new(Some(&known));
    assert_eq!(by_changes.to_response(), None);
    by_changes.apply(&response(8, false, &[deleted, draining.clone()]));
    by_changes.apply(&response(9, false, std::slice::from_ref(&comes)));
    assert_eq!(by_changes.to_response().as_ref(), Some(&expected));
    let mut by_snapshot = EndpointListChanges::new(Some(&known));
    by_snapshot.apply(&response(9, true, &[draining, stays, comes]));
    assert_eq!(by_snapshot.to_response().as_ref(), Some(&expected));
    // The next process starts from the same configuration and the kept changes.
    let mut next = EndpointListChanges::new(Some(&known));
    next.apply(&expected);
    assert_eq!(next.to_response(), Some(expected));
    // An endpoint that serves again as configured is no change any more.
    next.apply(&response(10, false, &[drains]));
    assert_eq!(next.to_response().map(|changes| changes.entries.len()), Some(2));
}

/// Guards against going back to the configured entry of an endpoint that is gone, drains or has moved, for want of room
/// (review/10): new endpoints are left out before these.
#[test]
fn changes_without_room_leave_out_new_endpoints_first() {
    let known =
        response(1, true, &[entry("t-1", "127.0.0.1:1", "SERVING"), entry("t-2", "127.0.0.1:2", "SERVING")]);
    let moved = entry("t-2", "127.0.0.1:9", "SERVING");
    let drains = entry("t-3", "127.0.0.1:3", "DRAINING");
    let new = (0..50).map(|number| entry(&format!("a-{number}"), "127.0.0.1:4", "SERVING"));
    let told: Vec<EndpointEntry> = new.chain([moved, drains]).collect();
    let mut changes = EndpointListChanges::new(Some(&known));
    changes.apply(&response(2, true, &told));
    let encoded = changes.encode(400).unwrap();
    let stored = decode(&encoded.bytes).unwrap();
    assert!(encoded.omitted > 30 && encoded.bytes.len() <= 400, "{} omitted", encoded.omitted);
    let ids: Vec<&str> = stored.entries.iter().map(|entry| entry.id.as_str()).collect();
    assert_eq!(ids[..3], ["t-1", "t-2", "t-3"]);
}
