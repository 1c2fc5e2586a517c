//! What a gateway was told of the endpoint list beyond its configuration, in a form that the next process can apply.

use crate::endpoint_list_codec::{encode, EncodedEndpointList};
use crate::endpoint_list_response::{EndpointEntry, EndpointListResponse, DELETED, SERVING};
use std::collections::{BTreeMap, BTreeSet};

/// The changes of the endpoint list since the one in the configuration.
#[derive(Debug, Default)]
pub struct EndpointListChanges {
    /// Version of the list in the configuration.
    known_version: u64,
    /// Entries of the list in the configuration, by endpoint id.
    known: BTreeMap<String, EndpointEntry>,
    /// Version of the latest list.
    version: u64,
    /// Entries that differ from the known ones, and `DELETED` ones for those that are gone.
    changed: BTreeMap<String, EndpointEntry>,
}

impl EndpointListChanges {
    /// Starts from the list in the configuration, if it holds one.
    pub fn new(known: Option<&EndpointListResponse>) -> Self {
        let Some(known) = known else { return EndpointListChanges::default() };
        let entries = known.entries.iter().map(|entry| (entry.id.clone(), entry.clone())).collect();
        let (known_version, version) = (known.version, known.version);
        EndpointListChanges { known_version, known: entries, version, changed: BTreeMap::new() }
    }

    /// Applies a response of service discovery, or the changes that an earlier process kept.
    pub fn apply(&mut self, response: &EndpointListResponse) {
        self.version = response.version;
        if response.is_snapshot {
            let listed: BTreeSet<&str> = response.entries.iter().map(|entry| entry.id.as_str()).collect();
            let gone = self.known.iter().filter(|(id, _)| !listed.contains(id.as_str()));
            self.changed = gone.map(|(id, known)| (id.clone(), deleted(known))).collect();
        }
        for entry in &response.entries {
            if self.known.get(&entry.id) == Some(entry) {
                self.changed.remove(&entry.id);
            } else {
                self.changed.insert(entry.id.clone(), entry.clone());
            }
        }
    }

    /// The changes as a response of service discovery; `None` if the list in the configuration is the latest.
    pub fn to_response(&self) -> Option<EndpointListResponse> {
        (self.version > self.known_version).then(|| EndpointListResponse {
            version: self.version,
            is_snapshot: false,
            entries: self.changed.values().cloned().collect(),
        })
    }

    /// The changes in their stored form; `None` if the list in the configuration is the latest. What does not fit in `max_bytes`
    /// is left out: new endpoints first, which only discovery can tell then; last of all what is gone, drains or has changed,
    /// without which the next process would go by the list in the configuration.
    pub fn encode(&self, max_bytes: usize) -> Option<EncodedEndpointList> {
        let is_new =
            |entry: &&EndpointEntry| entry.lifecycle == SERVING && !self.known.contains_key(&entry.id);
        let (new, needed): (Vec<_>, Vec<_>) = self.changed.values().partition(is_new);
        let entries = [needed, new].concat();
        (self.version > self.known_version).then(|| encode(self.version, &entries, max_bytes))
    }
}

/// The entry that says that an endpoint is gone.
fn deleted(known: &EndpointEntry) -> EndpointEntry {
    EndpointEntry { lifecycle: DELETED.to_owned(), ..known.clone() }
}
