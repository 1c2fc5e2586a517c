//! The endpoint list as a gateway was last told, which outlives the process.

use crate::endpoint_list_codec::{
    encode, EncodedEndpointList, Fingerprint, StoredEndpointList, StoredSnapshot,
};
use crate::endpoint_list_response::{EndpointEntry, EndpointListResponse, DELETED, SERVING};
use std::collections::{BTreeMap, BTreeSet};

/// The whole endpoint list as last told. It does not depend on the list in the configuration, which may be another one, older or
/// newer, at the next start.
#[derive(Clone, Debug, Default)]
pub struct ToldEndpointList {
    /// Version of the list.
    version: u64,
    /// Entries by endpoint id.
    entries: BTreeMap<String, EndpointEntry>,
    /// Fingerprints of the entries in the configuration, which the next process is likely to have as well.
    configured: BTreeSet<Fingerprint>,
}

/// The list that a process starts with.
#[derive(Clone, Debug)]
pub struct StartingList {
    /// The list.
    pub told: ToldEndpointList,
    /// The version after which discovery has to be asked for changes.
    pub changes_after: u64,
    /// Whether it is the list that an earlier process was told, not the one in the configuration.
    pub is_from_earlier_process: bool,
}

impl ToldEndpointList {
    /// Selects the newer one of the list in the configuration and the list that an earlier process was told. If some of the
    /// latter could not be stored, discovery has to be asked for it again.
    pub fn at_start(
        known: Option<&EndpointListResponse>,
        stored: Option<StoredEndpointList>,
    ) -> StartingList {
        let known_version = known.map_or(0, |known| known.version);
        let mut configuration = ToldEndpointList::default();
        if let Some(known) = known {
            configuration.apply(known);
            configuration.configured = known.entries.iter().map(Fingerprint::of).collect();
        }
        match stored {
            Some(StoredEndpointList::Whole(stored)) if stored.version > known_version => {
                let changes_after = match (stored.omitted, stored.fingerprints.is_empty()) {
                    (0, true) => stored.version,
                    // An entry of which the fingerprint matches none in the configuration has changed since.
                    (0, false) => known_version,
                    _ => 0,
                };
                let told = configuration.replaced_by(stored);
                StartingList { told, changes_after, is_from_earlier_process: true }
            }
            // The configuration to which these changes were made may have been another one.
            Some(StoredEndpointList::Changes(changes)) if changes.version > known_version => {
                let mut told = configuration;
                told.apply(&changes);
                StartingList { told, changes_after: known_version, is_from_earlier_process: true }
            }
            _ => {
                let (told, changes_after) = (configuration, known_version);
                StartingList { told, changes_after, is_from_earlier_process: false }
            }
        }
    }

    /// The stored list. An entry of which it has only the fingerprint is taken from this list, if it is the same there.
    fn replaced_by(self, stored: StoredSnapshot) -> ToldEndpointList {
        let is_stored = |entry: &EndpointEntry| stored.fingerprints.contains(&Fingerprint::of(entry));
        let mut entries = self.entries;
        entries.retain(|_, entry| !stored.fingerprints.is_empty() && is_stored(entry));
        entries.extend(stored.entries.into_iter().map(|entry| (entry.id.clone(), entry)));
        ToldEndpointList { version: stored.version, entries, configured: self.configured }
    }

    /// Applies a response of service discovery.
    pub fn apply(&mut self, response: &EndpointListResponse) {
        self.version = response.version;
        if response.is_snapshot {
            self.entries.clear();
        }
        for entry in &response.entries {
            if entry.lifecycle == DELETED {
                self.entries.remove(&entry.id);
            } else {
                self.entries.insert(entry.id.clone(), entry.clone());
            }
        }
    }

    /// Version of the list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The list as a response of service discovery.
    pub fn to_response(&self) -> EndpointListResponse {
        let entries = self.entries.values().cloned().collect();
        EndpointListResponse { version: self.version, is_snapshot: true, entries }
    }

    /// The list in its stored form, in at most `max_bytes`. What the next process can do without is reduced first: serving endpoints
    /// that the configuration has as well, then other serving ones, then the rest. An endpoint that is gone is in no stored
    /// list, so that it takes no room.
    pub fn encode(&self, max_bytes: usize) -> EncodedEndpointList {
        let entries: Vec<&EndpointEntry> = self.entries.values().collect();
        let whole = encode(self.version, &entries, max_bytes);
        if whole.fingerprinted + whole.omitted == 0 {
            return whole;
        }
        let (serving, rest): (Vec<_>, Vec<_>) =
            entries.into_iter().partition(|entry| entry.lifecycle == SERVING);
        let is_configured = |entry: &&EndpointEntry| self.configured.contains(&Fingerprint::of(entry));
        let (configured, new): (Vec<_>, Vec<_>) = serving.into_iter().partition(is_configured);
        encode(self.version, &[rest, new, configured].concat(), max_bytes)
    }
}
