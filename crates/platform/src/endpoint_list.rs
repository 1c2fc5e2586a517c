//! The list of endpoints, as discovery tells it.

use crate::config::SettingNames;
use crate::endpoint_list_response::EndpointListResponse;
use cloverstile::{DestinationId, Endpoint, EndpointId, EndpointState, KindId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

struct Known {
    endpoint: Endpoint,
    address: SocketAddr,
}

/// The list held, with the module's id of each endpoint.
#[derive(Default)]
pub struct EndpointList {
    known: BTreeMap<String, Known>,
    addresses: BTreeMap<EndpointId, (SocketAddr, ZoneId)>,
    destinations: BTreeSet<DestinationId>,
    last: u32,
}

impl EndpointList {
    /// Where an endpoint is, if it is listed.
    pub fn address(&self, id: EndpointId) -> Option<SocketAddr> {
        self.addresses.get(&id).map(|(address, _)| *address)
    }

    /// In which zone an endpoint is, if it is listed.
    pub fn zone(&self, id: EndpointId) -> Option<ZoneId> {
        self.addresses.get(&id).map(|(_, zone)| *zone)
    }

    /// Whether a destination was ever listed: while its endpoints are replaced it still is one.
    pub fn has_destination(&self, to: DestinationId) -> bool {
        self.destinations.contains(&to)
    }

    /// The whole list, as the engine takes it.
    pub fn endpoints(&self) -> Vec<Endpoint> {
        self.known.values().map(|known| known.endpoint.clone()).collect()
    }

    /// Takes an answer. Entries that can't be read are left out and told by their ids; the rest counts.
    pub fn apply(&mut self, answer: &EndpointListResponse, names: &SettingNames) -> Vec<String> {
        let mut unread = Vec::new();
        if answer.is_snapshot {
            let listed: BTreeSet<&str> = answer.entries.iter().map(|entry| entry.id.as_str()).collect();
            self.known.retain(|id, _| listed.contains(id.as_str()));
        }
        for instance in &answer.entries {
            let mode = match instance.lifecycle.as_str() {
                "SERVING" => EndpointState::Ready,
                "DRAINING" => EndpointState::Draining,
                "DELETED" => {
                    self.known.remove(&instance.id);
                    continue;
                }
                _ => {
                    unread.push(instance.id.clone());
                    continue;
                }
            };
            let Ok(address) = instance.address.parse::<SocketAddr>() else {
                unread.push(instance.id.clone());
                continue;
            };
            let place = |names: &[String], name: &str| names.iter().position(|known| known == name);
            // A name that the settings don't have gets a place that they don't have either.
            let zone = place(&names.zones, &instance.zone).and_then(|zone| u8::try_from(zone).ok());
            let kind = place(&names.kinds, &instance.kind).and_then(|kind| u16::try_from(kind).ok());
            let known = self.known.get(&instance.id).map(|known| known.endpoint.id);
            let id = known.unwrap_or_else(|| {
                self.last += 1;
                EndpointId(self.last)
            });
            let endpoint = Endpoint {
                id,
                zone: ZoneId(zone.unwrap_or(u8::MAX)),
                kind: KindId(kind.unwrap_or(u16::MAX)),
                destination: DestinationId(instance.destination),
                state: mode,
                weight: instance.weight,
            };
            self.destinations.insert(endpoint.destination);
            self.known.insert(instance.id.clone(), Known { endpoint, address });
        }
        let at = |known: &Known| (known.endpoint.id, (known.address, known.endpoint.zone));
        self.addresses = self.known.values().map(at).collect();
        unread
    }
}
