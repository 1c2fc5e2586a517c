//! The stored form of the endpoint list.

use cloverstile_platform::endpoint_list_codec::{
    decode, encode, Fingerprint, StoredEndpointList, StoredListError, StoredSnapshot,
};
use cloverstile_platform::endpoint_list_response::EndpointEntry;
use proptest::prelude::*;

fn entry(number: usize, lifecycle: &str) -> EndpointEntry {
    EndpointEntry {
        id: format!("s-{number:08x}"),
        address: format!("127.0.{}.{}:6379", number / 250, number % 250),
        zone: "abc"[number % 3..=number % 3].to_owned(),
        kind: format!("m{}", number % 4),
        destination: number as u16,
        lifecycle: lifecycle.to_owned(),
        weight: number as f64 / 7.0,
    }
}

fn decode_snapshot(bytes: &[u8]) -> StoredSnapshot {
    match decode(bytes).unwrap() {
        StoredEndpointList::Whole(snapshot) => snapshot,
        StoredEndpointList::Changes(changes) => panic!("changes: {changes:?}"),
    }
}

#[test]
fn stored_list_is_read_as_it_was_written() {
    let entries: Vec<EndpointEntry> =
        (0..3200).map(|number| entry(number, ["SERVING", "DRAINING"][number % 2])).collect();
    let encoded = encode(77, &entries.iter().collect::<Vec<_>>(), usize::MAX);
    assert_eq!((encoded.fingerprinted, encoded.omitted), (0, 0));
    assert!(encoded.bytes.len() < 3200 * 48, "{} bytes", encoded.bytes.len());
    let stored = decode_snapshot(&encoded.bytes);
    assert_eq!((stored.version, stored.fingerprints.len(), stored.omitted), (77, 0, 0));
    assert_eq!(stored.entries, entries);
}

/// Whatever the room, no more is stored; the entries at the front are kept whole, those behind them as fingerprints, and how many
/// were left out is known to the reader. With more room no entry is kept in a lesser form.
#[test]
fn stored_list_without_room_reduces_the_last_entries_first() {
    let entries: Vec<EndpointEntry> = (0..40).map(|number| entry(number, "SERVING")).collect();
    let all: Vec<&EndpointEntry> = entries.iter().collect();
    let whole = encode(5, &all, usize::MAX).bytes.len();
    let least = encode(5, &all, 0).bytes.len() + 10;
    let (mut whole_before, mut known_before) = (0, 0);
    for max_bytes in least..=whole + 20 {
        let encoded = encode(5, &all, max_bytes);
        assert!(encoded.bytes.len() <= max_bytes, "{} of {max_bytes} bytes", encoded.bytes.len());
        let stored = decode_snapshot(&encoded.bytes);
        let kept = stored.entries.len();
        assert_eq!((stored.version, stored.omitted), (5, encoded.omitted));
        assert_eq!(stored.fingerprints.len(), encoded.fingerprinted);
        assert_eq!(kept + encoded.fingerprinted + encoded.omitted, entries.len());
        assert_eq!(stored.entries, entries[..kept]);
        let fingerprinted = &entries[kept..kept + encoded.fingerprinted];
        assert!(fingerprinted.iter().all(|entry| stored.fingerprints.contains(&Fingerprint::of(entry))));
        assert!(kept >= whole_before && kept + encoded.fingerprinted >= known_before, "{max_bytes} bytes");
        (whole_before, known_before) = (kept, kept + encoded.fingerprinted);
    }
    assert_eq!(whole_before, entries.len());
}

/// Any change of an entry changes its fingerprint: an endpoint that has moved must not be taken for the one of before.
#[test]
fn fingerprint_depends_on_every_field() {
    let entry = entry(1, "SERVING");
    let changed = [
        EndpointEntry { id: "s-2".to_owned(), ..entry.clone() },
        EndpointEntry { address: "127.0.0.9:6379".to_owned(), ..entry.clone() },
        EndpointEntry { zone: "z".to_owned(), ..entry.clone() },
        EndpointEntry { kind: "m9".to_owned(), ..entry.clone() },
        EndpointEntry { destination: 7, ..entry.clone() },
        EndpointEntry { lifecycle: "DRAINING".to_owned(), ..entry.clone() },
        EndpointEntry { weight: 0.5, ..entry.clone() },
    ];
    assert_eq!(Fingerprint::of(&entry.clone()), Fingerprint::of(&entry));
    assert!(changed.iter().all(|changed| Fingerprint::of(changed) != Fingerprint::of(&entry)));
}

/// Guards an upgrade: version 0.2.0 stored changes as JSON.
#[test]
fn list_stored_as_json_is_read() {
    let json = r#"{"generation":9,"reset":false,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:1","zone":"here",
        "machineType":"any","cell":3,"lifecycle":"DELETED","weight":2.5}]}"#;
    let Ok(StoredEndpointList::Changes(changes)) = decode(json.as_bytes()) else { panic!() };
    let entry = &changes.entries[0];
    assert_eq!((changes.version, changes.entries.len()), (9, 1));
    assert_eq!((entry.id.as_str(), entry.lifecycle.as_str(), entry.weight), ("s-1", "DELETED", 2.5));
    assert!(matches!(decode(b"{"), Err(StoredListError::Json(_))));
}

#[test]
fn malformed_list_is_an_error() {
    assert_eq!(decode(&[]), Err(StoredListError::UnknownFormat(None)));
    assert_eq!(decode(&[200, 1]), Err(StoredListError::UnknownFormat(Some(200))));
    let entry = entry(1, "SERVING");
    let bytes = encode(1, &[&entry], usize::MAX).bytes;
    assert!(matches!(decode(&bytes[..bytes.len() - 1]), Err(StoredListError::Malformed { .. })));
}

proptest! {
    #[test]
    fn reading_arbitrary_bytes_does_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let _ = decode(&[&[1], &bytes[..]].concat());
        let _ = decode(&bytes);
    }
}
