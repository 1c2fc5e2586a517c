//! Applies the endpoint list that discovery reports.

use crate::message_pipeline::MessagePipeline;
use crate::sockets::Sockets;
use cloverstile::Time;
use cloverstile_net::Net;
use cloverstile_platform::config::SettingNames;
use cloverstile_platform::endpoint_list_changes::EndpointListChanges;
use cloverstile_platform::endpoint_list_codec::EncodedEndpointList;
use cloverstile_platform::endpoint_list_response::EndpointListResponse;
use cloverstile_platform::endpoint_watch::EndpointWatch;
use cloverstile_platform::ConnectionId;
use tracing::{debug, warn};

/// Watches the endpoint list and applies its updates.
pub struct EndpointDiscovery {
    /// The connection to discovery and the requests on it.
    pub watch: EndpointWatch,
    /// The configured names, by which entries of the list refer to kinds and zones.
    names: SettingNames,
    /// What was told beyond the configuration, which the next process takes over.
    changes: EndpointListChanges,
}

impl EndpointDiscovery {
    /// Creates the state from a watch that is not connected yet; `known` is the list in the configuration.
    pub fn new(watch: EndpointWatch, names: SettingNames, known: Option<&EndpointListResponse>) -> Self {
        EndpointDiscovery { watch, names, changes: EndpointListChanges::new(known) }
    }

    /// Handles bytes received from discovery.
    pub fn on_bytes(
        &mut self,
        now: Time,
        connection: ConnectionId,
        bytes: &[u8],
        pipeline: &mut MessagePipeline,
        net: &mut Net,
    ) {
        match self.watch.on_bytes(now, connection, bytes, &mut Sockets(net)) {
            Ok(Some(response)) => self.apply_told(now, &response, pipeline, net),
            Ok(None) => {}
            Err(error) => warn!(%error, "endpoint list unreadable, requested again"),
        }
    }

    /// Applies what this or an earlier process was told, and keeps it for the next one.
    pub fn apply_told(
        &mut self,
        now: Time,
        response: &EndpointListResponse,
        pipeline: &mut MessagePipeline,
        net: &mut Net,
    ) {
        self.apply(now, response, pipeline, net);
        if response.changes_nothing() {
            return;
        }
        self.changes.apply(response);
        let max_bytes = pipeline.delivery.log.max_endpoint_list_bytes();
        let Some(EncodedEndpointList { bytes, omitted }) = self.changes.encode(max_bytes) else { return };
        if omitted > 0 {
            warn!(
                omitted,
                max_bytes, "endpoint list is too large, entries are not kept for the next process"
            );
        }
        pipeline.delivery.log.record_endpoint_list(bytes);
    }

    /// Applies a snapshot of the endpoint list or changes to it.
    pub fn apply(
        &self,
        now: Time,
        response: &EndpointListResponse,
        pipeline: &mut MessagePipeline,
        net: &mut Net,
    ) {
        if response.changes_nothing() {
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
