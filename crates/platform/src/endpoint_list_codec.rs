//! Binary form in which the endpoint list outlives the process.
//!
//! A stored list is a format byte, a header and the entries up to the end, each encoded by `postcard`. Names that recur, of
//! zones, kinds and lifecycles, stand in the header once. Where there is no room for all entries, some are stored as a
//! fingerprint: of them a reader knows only whether an entry of another list is the same. What does not even fit as that is
//! counted. Lists of the version before, in the JSON form of discovery, are read as well.

use crate::endpoint_list_response::{EndpointEntry, EndpointListResponse};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;
use twox_hash::XxHash64;

/// First byte of a stored list.
const FORMAT: u8 = 1;
/// First byte of a list that an earlier version stored as JSON.
const FORMAT_JSON: u8 = b'{';
/// Seed of the hash function of fingerprints.
const FINGERPRINT_SEED: u64 = 0;
/// Size of a stored fingerprint.
const FINGERPRINT_BYTES: usize = size_of::<u64>();
/// Maximum size of the stored number of fingerprints.
const MAX_COUNT_BYTES: usize = 10;

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

/// Identifies an entry with all its fields.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint([u8; FINGERPRINT_BYTES]);

impl Fingerprint {
    /// The fingerprint of an entry.
    pub fn of(entry: &EndpointEntry) -> Self {
        let mut bytes = Vec::new();
        append(&mut bytes, entry);
        Fingerprint(XxHash64::oneshot(FINGERPRINT_SEED, &bytes).to_le_bytes())
    }
}

/// An encoded list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedEndpointList {
    /// The stored form.
    pub bytes: Vec<u8>,
    /// Number of entries of which only a fingerprint is stored.
    pub fingerprinted: usize,
    /// Number of entries of which nothing is stored.
    pub omitted: usize,
}

/// What was read of a list.
#[derive(Clone, Debug, PartialEq)]
pub enum StoredEndpointList {
    /// A list that stands by itself.
    Whole(StoredSnapshot),
    /// Changes to the list in the configuration of the process that stored them, as an earlier version did.
    Changes(EndpointListResponse),
}

/// A list as it was stored.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredSnapshot {
    /// Version of the list.
    pub version: u64,
    /// The entries that are stored as a whole.
    pub entries: Vec<EndpointEntry>,
    /// Fingerprints of others.
    pub fingerprints: BTreeSet<Fingerprint>,
    /// Number of entries of which nothing is stored.
    pub omitted: usize,
}

#[derive(Default, Serialize, Deserialize)]
struct Header {
    version: u64,
    omitted: usize,
    names: Vec<String>,
    fingerprints: Vec<Fingerprint>,
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

/// Encodes a list in at most `max_bytes`. If there is no room for all entries, those at the end are stored as a fingerprint; if
/// there is not even room for that, they are left out.
pub fn encode(version: u64, entries: &[&EndpointEntry], max_bytes: usize) -> EncodedEndpointList {
    let mut index = NameIndex::default();
    let mut body = Vec::new();
    let mut ends = Vec::with_capacity(entries.len());
    for entry in entries {
        append(&mut body, &index.store_entry(entry));
        ends.push(body.len());
    }
    let names = index.names.into_iter().map(str::to_owned).collect();
    // The stored number of omitted entries is longest if all are.
    let mut header = Header { version, omitted: entries.len(), names, fingerprints: Vec::new() };
    let room = max_bytes.saturating_sub(1 + encoded_size(&header) + MAX_COUNT_BYTES);
    let fits_whole = |count: usize| {
        let fingerprints = (entries.len() - count) * FINGERPRINT_BYTES;
        count == 0 || ends[count - 1] + fingerprints <= room
    };
    let whole = (0..=entries.len()).rev().find(|count| fits_whole(*count)).unwrap_or(0);
    body.truncate(whole.checked_sub(1).map_or(0, |last| ends[last]));
    let fingerprinted = ((room - body.len().min(room)) / FINGERPRINT_BYTES).min(entries.len() - whole);
    let rest = &entries[whole..whole + fingerprinted];
    header.fingerprints = rest.iter().map(|entry| Fingerprint::of(entry)).collect();
    header.omitted = entries.len() - whole - fingerprinted;
    let mut bytes = vec![FORMAT];
    append(&mut bytes, &header);
    bytes.append(&mut body);
    EncodedEndpointList { bytes, fingerprinted, omitted: header.omitted }
}

/// Appends the encoded form of a value.
fn append(out: &mut Vec<u8>, value: &impl Serialize) {
    // Encoding into a vector fails only for types without a known length, which none of these are.
    if let Ok(extended) = postcard::to_extend(value, std::mem::take(out)) {
        *out = extended;
    }
}

fn encoded_size(value: &impl Serialize) -> usize {
    let mut bytes = Vec::new();
    append(&mut bytes, value);
    bytes.len()
}

/// Reads the stored form of a list.
///
/// # Errors
/// The bytes are no stored list of a known format.
pub fn decode(bytes: &[u8]) -> Result<StoredEndpointList, StoredListError> {
    let (format, mut rest) = bytes.split_first().ok_or(StoredListError::UnknownFormat(None))?;
    match *format {
        FORMAT => {}
        FORMAT_JSON => {
            let changes = serde_json::from_slice(bytes);
            return changes
                .map(StoredEndpointList::Changes)
                .map_err(|error| StoredListError::Json(error.to_string()));
        }
        format => return Err(StoredListError::UnknownFormat(Some(format))),
    }
    let Header { version, omitted, names, fingerprints } = take(bytes, &mut rest)?;
    let mut entries = Vec::new();
    while !rest.is_empty() {
        let stored: StoredEntry = take(bytes, &mut rest)?;
        entries.push(restore_entry(&stored, &names)?);
    }
    let fingerprints = fingerprints.into_iter().collect();
    Ok(StoredEndpointList::Whole(StoredSnapshot { version, entries, fingerprints, omitted }))
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
