//! The gateway's endpoint list, updated from the responses of service discovery.

use crate::config::SettingNames;
use crate::endpoint_list_response::{EndpointEntry, EndpointListResponse, DELETED, DRAINING, SERVING};
use cloverstile::{DestinationId, Endpoint, EndpointId, EndpointState, KindId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// An endpoint as the policy knows it, with the address to connect to.
struct ListedEndpoint {
    endpoint: Endpoint,
    address: SocketAddr,
}

/// Address and zone of an endpoint.
struct Location {
    address: SocketAddr,
    zone: ZoneId,
}

/// The change that an entry makes to the list.
enum EntryChange {
    /// The endpoint is added or updated, with this state and address.
    Listed(EndpointState, SocketAddr),
    /// The endpoint is removed.
    Deleted,
}

/// The endpoint list. It assigns each endpoint the id that the policy knows it by.
#[derive(Default)]
pub struct EndpointList {
    /// Endpoints by their id in service discovery.
    listed: BTreeMap<String, ListedEndpoint>,
    /// Address and zone of each listed endpoint, by the policy's id.
    locations: BTreeMap<EndpointId, Location>,
    /// Destinations that were ever listed.
    destinations: BTreeSet<DestinationId>,
    /// The most recently assigned id; ids are not reused.
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

    /// Whether a destination was ever listed. It remains a destination while all its endpoints are being replaced.
    pub fn has_destination(&self, id: DestinationId) -> bool {
        self.destinations.contains(&id)
    }

    /// All listed endpoints in the form of the policy, sorted by their id in service discovery.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        self.listed.values().map(|listed| listed.endpoint.clone()).collect()
    }

    /// Applies a response of service discovery. Returns the ids of the entries that can't be parsed; these are skipped,
    /// the others are applied.
    pub fn apply(&mut self, response: &EndpointListResponse, names: &SettingNames) -> Vec<String> {
        if response.is_snapshot {
            let ids: BTreeSet<&str> = response.entries.iter().map(|entry| entry.id.as_str()).collect();
            self.listed.retain(|id, _| ids.contains(id.as_str()));
        }
        let mut unreadable = Vec::new();
        for entry in &response.entries {
            match parse_entry(entry) {
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

    /// Adds or updates an endpoint. A known endpoint keeps its id.
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
        // A name that the settings don't define gets an index that they don't define either.
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

/// The change that an entry makes; `None` if its lifecycle or address can't be parsed.
fn parse_entry(entry: &EndpointEntry) -> Option<EntryChange> {
    let state = match entry.lifecycle.as_str() {
        SERVING => EndpointState::Ready,
        DRAINING => EndpointState::Draining,
        DELETED => return Some(EntryChange::Deleted),
        _ => return None,
    };
    entry.address.parse().ok().map(|address| EntryChange::Listed(state, address))
}
