//! Binary form in which the endpoint list outlives the process.
//!
//! A stored list is a format byte, a header and the entries up to the end, each encoded by `postcard`. Names that recur, of
//! zones, kinds and lifecycles, stand in the header once. Entries are stored in the given order while there is room; how many
//! were left out is stored with them. Lists of the version before, in the JSON form of discovery, are read as well.

use crate::endpoint_list_response::{EndpointEntry, EndpointListResponse};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use thiserror::Error;

/// First byte of a stored list.
const FORMAT: u8 = 1;

/// First byte of a list that an earlier version stored as JSON.
const FORMAT_JSON: u8 = b'{';

/// Why a stored list can't be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoredListError {
    /// Its first byte names another format.
    #[error("unknown format: {0:?}, expected {FORMAT}")]
    UnknownFormat(Option<u8>),
    /// The header or an entry is malformed.
    #[error("malformed at byte {offset}: {error}")]
    Malformed {
        /// Position of the header or entry.
        offset: usize,
        /// What is wrong with it.
        error: postcard::Error,
    },
    /// A list of an earlier version is malformed; the error says where and why.
    #[error("{0}")]
    Json(String),
    /// An entry refers to a name that the header does not hold.
    #[error("name {index} of entry {endpoint} is missing, the header holds {count}")]
    UnknownName {
        /// Id of the endpoint.
        endpoint: String,
        /// Index of the name.
        index: u32,
        /// Number of names.
        count: usize,
    },
}

/// An encoded list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedEndpointList {
    /// The stored form.
    pub bytes: Vec<u8>,
    /// Number of entries that were left out for want of room.
    pub omitted: usize,
}

/// A list that was read from its stored form.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredEndpointList {
    /// Version of the list.
    pub version: u64,
    /// Number of entries that were left out for want of room.
    pub omitted: usize,
    /// The other entries.
    pub entries: Vec<EndpointEntry>,
}

#[derive(Serialize, Deserialize)]
struct Header {
    version: u64,
    omitted: usize,
    names: Vec<String>,
}

/// An entry whose names are indices into [`Header::names`].
#[derive(Serialize, Deserialize)]
struct StoredEntry<'a> {
    id: &'a str,
    address: &'a str,
    zone: u32,
    kind: u32,
    lifecycle: u32,
    destination: u16,
    weight: f64,
}

/// Assigns indices to names.
#[derive(Default)]
struct NameIndex<'a> {
    names: Vec<&'a str>,
    indices: BTreeMap<&'a str, u32>,
}

impl<'a> NameIndex<'a> {
    fn index(&mut self, name: &'a str) -> u32 {
        *self.indices.entry(name).or_insert_with(|| {
            self.names.push(name);
            (self.names.len() - 1) as u32
        })
    }

    fn store_entry(&mut self, entry: &'a EndpointEntry) -> StoredEntry<'a> {
        StoredEntry {
            id: &entry.id,
            address: &entry.address,
            zone: self.index(&entry.zone),
            kind: self.index(&entry.kind),
            lifecycle: self.index(&entry.lifecycle),
            destination: entry.destination,
            weight: entry.weight,
        }
    }
}

/// Encodes entries in at most `max_bytes`; those at the end are left out if there is no room for all.
pub fn encode(version: u64, entries: &[&EndpointEntry], max_bytes: usize) -> EncodedEndpointList {
    let mut index = NameIndex::default();
    let stored: Vec<StoredEntry> = entries.iter().map(|entry| index.store_entry(entry)).collect();
    let names: Vec<String> = index.names.iter().map(|name| (*name).to_owned()).collect();
    // The header is largest with all entries left out.
    let header = |omitted| Header { version, omitted, names: names.clone() };
    let room = max_bytes.saturating_sub(1 + encode_value(&header(entries.len())).len());
    let mut body = Vec::new();
    let mut kept = 0;
    for entry in stored.iter().map(encode_value) {
        if body.len() + entry.len() > room {
            break;
        }
        body.extend(entry);
        kept += 1;
    }
    let omitted = entries.len() - kept;
    let bytes = [vec![FORMAT], encode_value(&header(omitted)), body].concat();
    EncodedEndpointList { bytes, omitted }
}

fn encode_value(value: &impl Serialize) -> Vec<u8> {
    // Fails only for types without a known length, which none of these are.
    postcard::to_allocvec(value).unwrap_or_default()
}

/// Reads the stored form of a list.
///
/// # Errors
/// The bytes are no stored list of this format.
pub fn decode(bytes: &[u8]) -> Result<StoredEndpointList, StoredListError> {
    let (format, mut rest) = bytes.split_first().ok_or(StoredListError::UnknownFormat(None))?;
    match *format {
        FORMAT => {}
        FORMAT_JSON => return decode_json(bytes),
        format => return Err(StoredListError::UnknownFormat(Some(format))),
    }
    let Header { version, omitted, names } = take(bytes, &mut rest)?;
    let mut entries = Vec::new();
    while !rest.is_empty() {
        let stored: StoredEntry = take(bytes, &mut rest)?;
        entries.push(restore_entry(&stored, &names)?);
    }
    Ok(StoredEndpointList { version, omitted, entries })
}

fn decode_json(bytes: &[u8]) -> Result<StoredEndpointList, StoredListError> {
    let EndpointListResponse { version, entries, .. } =
        serde_json::from_slice(bytes).map_err(|error| StoredListError::Json(error.to_string()))?;
    Ok(StoredEndpointList { version, omitted: 0, entries })
}

/// Reads a value from the front of `rest`, the end of `bytes`.
fn take<'a, T: Deserialize<'a>>(bytes: &'a [u8], rest: &mut &'a [u8]) -> Result<T, StoredListError> {
    let offset = bytes.len() - rest.len();
    let malformed = |error| StoredListError::Malformed { offset, error };
    let (value, behind) = postcard::take_from_bytes(rest).map_err(malformed)?;
    *rest = behind;
    Ok(value)
}

fn restore_entry(stored: &StoredEntry, names: &[String]) -> Result<EndpointEntry, StoredListError> {
    let name = |index: u32| {
        names.get(index as usize).cloned().ok_or_else(|| StoredListError::UnknownName {
            endpoint: stored.id.to_owned(),
            index,
            count: names.len(),
        })
    };
    Ok(EndpointEntry {
        id: stored.id.to_owned(),
        address: stored.address.to_owned(),
        zone: name(stored.zone)?,
        kind: name(stored.kind)?,
        destination: stored.destination,
        lifecycle: name(stored.lifecycle)?,
        weight: stored.weight,
    })
}
