//! The stored form of the endpoint list.

use cloverstile_platform::endpoint_list_codec::{decode, encode, StoredEndpointList, StoredListError};
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

#[test]
fn stored_list_is_read_as_it_was_written() {
    let entries: Vec<EndpointEntry> =
        (0..3200).map(|number| entry(number, ["SERVING", "DRAINING", "DELETED"][number % 3])).collect();
    let encoded = encode(77, &entries.iter().collect::<Vec<_>>(), usize::MAX);
    assert_eq!(encoded.omitted, 0);
    assert!(encoded.bytes.len() < 3200 * 48, "{} bytes", encoded.bytes.len());
    assert_eq!(decode(&encoded.bytes), Ok(StoredEndpointList { version: 77, omitted: 0, entries }));
}

/// Whatever the room, no more is stored; the entries at the front are kept, and how many were left out is known to the reader.
#[test]
fn stored_list_without_room_keeps_the_first_entries() {
    let entries: Vec<EndpointEntry> = (0..40).map(|number| entry(number, "SERVING")).collect();
    let all: Vec<&EndpointEntry> = entries.iter().collect();
    let whole = encode(5, &all, usize::MAX).bytes.len();
    let least = encode(5, &all, 0).bytes.len();
    let mut kept_before = 0;
    for max_bytes in least..=whole + 1 {
        let encoded = encode(5, &all, max_bytes);
        assert!(encoded.bytes.len() <= max_bytes, "{} of {max_bytes} bytes", encoded.bytes.len());
        let stored = decode(&encoded.bytes).unwrap();
        assert_eq!((stored.version, stored.omitted), (5, encoded.omitted));
        assert_eq!(stored.entries, entries[..entries.len() - encoded.omitted]);
        assert!(stored.entries.len() >= kept_before, "fewer entries in {max_bytes} bytes");
        kept_before = stored.entries.len();
    }
    assert_eq!(kept_before, entries.len());
}

/// Guards an upgrade: version 0.2.0 stored the changes as JSON.
#[test]
fn list_stored_as_json_is_read() {
    let json = r#"{"generation":9,"reset":false,"instances":[{"instanceId":"s-1","hostPort":"127.0.0.1:1","zone":"here",
        "machineType":"any","cell":3,"lifecycle":"DELETED","weight":2.5}]}"#;
    let stored = decode(json.as_bytes()).unwrap();
    let entry = &stored.entries[0];
    assert_eq!((stored.version, stored.omitted, stored.entries.len()), (9, 0, 1));
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
