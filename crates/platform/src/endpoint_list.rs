//! The endpoint list that the gateway holds, kept up to date from discovery's responses.

use crate::config::SettingNames;
use crate::endpoint_list_response::{EndpointEntry, EndpointListResponse};
use cloverstile::{DestinationId, Endpoint, EndpointId, EndpointState, KindId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

struct ListedEndpoint {
    endpoint: Endpoint,
    address: SocketAddr,
}

/// Where an endpoint is.
struct Location {
    address: SocketAddr,
    zone: ZoneId,
}

/// An entry as the list takes it.
enum EntryChange {
    /// The endpoint is listed, in this state and at this address.
    Listed(EndpointState, SocketAddr),
    /// The endpoint is gone.
    Deleted,
}

/// The endpoint list, with the policy's id of each endpoint.
#[derive(Default)]
pub struct EndpointList {
    /// Endpoints by discovery's id.
    listed: BTreeMap<String, ListedEndpoint>,
    locations: BTreeMap<EndpointId, Location>,
    destinations: BTreeSet<DestinationId>,
    /// The id given last; ids are not reused.
    last_id: u32,
}

impl EndpointList {
    /// The address of an endpoint, if it is listed.
    pub fn address(&self, id: EndpointId) -> Option<SocketAddr> {
        self.locations.get(&id).map(|location| location.address)
    }

    /// The zone of an endpoint, if it is listed.
    pub fn zone(&self, id: EndpointId) -> Option<ZoneId> {
        self.locations.get(&id).map(|location| location.zone)
    }

    /// Whether a destination was ever listed: while its endpoints are replaced it still is one.
    pub fn has_destination(&self, id: DestinationId) -> bool {
        self.destinations.contains(&id)
    }

    /// All listed endpoints.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        self.listed.values().map(|listed| listed.endpoint.clone()).collect()
    }

    /// Applies a response of discovery. Entries that can't be read are left out, and their ids returned; the others
    /// count.
    pub fn apply(&mut self, response: &EndpointListResponse, names: &SettingNames) -> Vec<String> {
        if response.is_snapshot {
            let ids: BTreeSet<&str> = response.entries.iter().map(|entry| entry.id.as_str()).collect();
            self.listed.retain(|id, _| ids.contains(id.as_str()));
        }
        let mut unreadable = Vec::new();
        for entry in &response.entries {
            match change(entry) {
                Some(EntryChange::Listed(state, address)) => self.insert(entry, state, address, names),
                Some(EntryChange::Deleted) => drop(self.listed.remove(&entry.id)),
                None => unreadable.push(entry.id.clone()),
            }
        }
        let location = |listed: &ListedEndpoint| {
            let ListedEndpoint { endpoint, address } = listed;
            (endpoint.id, Location { address: *address, zone: endpoint.zone })
        };
        self.locations = self.listed.values().map(location).collect();
        unreadable
    }

    fn insert(
        &mut self,
        entry: &EndpointEntry,
        state: EndpointState,
        address: SocketAddr,
        names: &SettingNames,
    ) {
        let known_id = self.listed.get(&entry.id).map(|listed| listed.endpoint.id);
        let id = known_id.unwrap_or_else(|| {
            self.last_id += 1;
            EndpointId(self.last_id)
        });
        // A name that the settings don't have gets an index that they don't have either.
        let index = |names: &[String], name: &str| names.iter().position(|known| known == name);
        let zone = index(&names.zones, &entry.zone).and_then(|index| u8::try_from(index).ok());
        let kind = index(&names.kinds, &entry.kind).and_then(|index| u16::try_from(index).ok());
        let endpoint = Endpoint {
            id,
            zone: ZoneId(zone.unwrap_or(u8::MAX)),
            kind: KindId(kind.unwrap_or(u16::MAX)),
            destination: DestinationId(entry.destination),
            state,
            weight: entry.weight,
        };
        self.destinations.insert(endpoint.destination);
        self.listed.insert(entry.id.clone(), ListedEndpoint { endpoint, address });
    }
}

/// What an entry changes; none where its lifecycle or address can't be read.
fn change(entry: &EndpointEntry) -> Option<EntryChange> {
    let state = match entry.lifecycle.as_str() {
        "SERVING" => EndpointState::Ready,
        "DRAINING" => EndpointState::Draining,
        "DELETED" => return Some(EntryChange::Deleted),
        _ => return None,
    };
    entry.address.parse().ok().map(|address| EntryChange::Listed(state, address))
}
