//! Applies the endpoint list that discovery reports.

use crate::message_log::MessageLog;
use crate::message_pipeline::MessagePipeline;
use crate::sockets::Sockets;
use cloverstile::Time;
use cloverstile_net::Net;
use cloverstile_platform::config::SettingNames;
use cloverstile_platform::endpoint_list_codec::EncodedEndpointList;
use cloverstile_platform::endpoint_list_response::EndpointListResponse;
use cloverstile_platform::endpoint_watch::EndpointWatch;
use cloverstile_platform::told_endpoint_list::ToldEndpointList;
use cloverstile_platform::ConnectionId;
use tracing::{debug, warn};

/// Watches the endpoint list and applies its updates.
pub struct EndpointDiscovery {
    /// The connection to discovery and the requests on it.
    pub watch: EndpointWatch,
    /// The configured names, by which entries of the list refer to kinds and zones.
    names: SettingNames,
    /// The list as last told, which the next process takes over.
    told: ToldEndpointList,
    /// Whether the list was too large to be kept whole.
    is_reduced: bool,
}

impl EndpointDiscovery {
    /// Creates the state from a watch that is not connected yet; `told` is the list that the process starts with.
    pub fn new(watch: EndpointWatch, names: SettingNames, told: ToldEndpointList) -> Self {
        EndpointDiscovery { watch, names, told, is_reduced: false }
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

    /// Applies what discovery told, and keeps it for the next process.
    fn apply_told(
        &mut self,
        now: Time,
        response: &EndpointListResponse,
        pipeline: &mut MessagePipeline,
        net: &mut Net,
    ) {
        if response.changes_nothing() {
            return;
        }
        self.apply(now, response, pipeline, net);
        self.told.apply(response);
        self.keep(&mut pipeline.delivery.log);
    }

    /// Applies the list that the process starts with.
    pub fn apply_starting_list(&self, now: Time, pipeline: &mut MessagePipeline, net: &mut Net) {
        self.apply(now, &self.told.to_response(), pipeline, net);
    }

    /// Records the list for the next process.
    pub fn keep(&mut self, log: &mut MessageLog) {
        let max_bytes = log.max_endpoint_list_bytes();
        let EncodedEndpointList { bytes, fingerprinted, omitted } = self.told.encode(max_bytes);
        let was_reduced = std::mem::replace(&mut self.is_reduced, fingerprinted + omitted > 0);
        if self.is_reduced && !was_reduced {
            warn!(
                version = self.told.version(),
                max_bytes,
                fingerprinted,
                omitted,
                "endpoint list is too large to be kept whole for the next process"
            );
        }
        log.record_endpoint_list(bytes);
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
