//! The endpoint list as discovery reports it.

use crate::message_pipeline::MessagePipeline;
use crate::sockets::Sockets;
use cloverstile::Time;
use cloverstile_net::Net;
use cloverstile_platform::config::SettingNames;
use cloverstile_platform::endpoint_list_response::EndpointListResponse;
use cloverstile_platform::endpoint_watch::EndpointWatch;
use cloverstile_platform::ConnectionId;
use tracing::{debug, warn};

/// The watch of the endpoint list.
pub struct EndpointDiscovery {
    /// The connection to discovery and its questions.
    pub watch: EndpointWatch,
    /// Names of the settings, by which entries of the list name their kinds and zones.
    names: SettingNames,
}

impl EndpointDiscovery {
    /// A watch that has not connected yet.
    pub fn new(watch: EndpointWatch, names: SettingNames) -> Self {
        EndpointDiscovery { watch, names }
    }

    /// Bytes arrived from discovery.
    pub fn on_bytes(
        &mut self,
        now: Time,
        connection: ConnectionId,
        bytes: &[u8],
        pipeline: &mut MessagePipeline,
        net: &mut Net,
    ) {
        match self.watch.on_bytes(now, connection, bytes, &mut Sockets(net)) {
            Ok(Some(response)) => self.apply(now, &response, pipeline, net),
            Ok(None) => {}
            Err(error) => warn!(%error, "endpoint list unreadable, requested again"),
        }
    }

    /// Applies a snapshot or a change of the endpoint list.
    pub fn apply(
        &self,
        now: Time,
        response: &EndpointListResponse,
        pipeline: &mut MessagePipeline,
        net: &mut Net,
    ) {
        if response.entries.is_empty() && !response.is_snapshot {
            return;
        }
        let delivery = &mut pipeline.delivery;
        for endpoint in delivery.endpoints.apply(response, &self.names) {
            warn!(%endpoint, "endpoint entry unreadable, left out");
        }
        let (version, snapshot, entries) = (response.version, response.is_snapshot, response.entries.len());
        debug!(version, snapshot, entries, "endpoint list updated");
        delivery.engine.update_endpoints(now, delivery.endpoints.endpoints());
        let endpoints = &delivery.endpoints;
        pipeline.outgoing.requests.retain_listed(|id| endpoints.address(id), &mut Sockets(net));
    }
}
