//! Logs bytes that answered no request, and counts them.

use crate::endpoint_discovery::EndpointDiscovery;
use crate::message_pipeline::MessagePipeline;
use cloverstile_platform::unsolicited::{UnsolicitedBytes, UnsolicitedSource};
use tracing::warn;

/// Number of reads of unsolicited bytes since the start of the process.
#[derive(Default)]
pub struct UnsolicitedCounter {
    total: u64,
}

impl UnsolicitedCounter {
    /// Number of reads of unsolicited bytes since the start of the process.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Logs and counts the unsolicited bytes that were read since the last call.
    pub fn log_new(&mut self, pipeline: &mut MessagePipeline, discovery: &mut EndpointDiscovery) {
        let from_endpoints = pipeline.outgoing.requests.take_unsolicited();
        let from_agent = discovery.watch.take_unsolicited();
        let to_notifications = pipeline.delivery.notifications.take_unsolicited();
        for bytes in from_endpoints.into_iter().chain(from_agent).chain(to_notifications) {
            self.total += 1;
            self.log(&bytes, pipeline);
        }
    }

    /// A message that has ended has no `client_id` any more; the log at debug has its `message_id` beside it.
    fn log(&self, bytes: &UnsolicitedBytes, pipeline: &MessagePipeline) {
        let endpoint = match bytes.source {
            UnsolicitedSource::Endpoint(endpoint) => Some(endpoint),
            UnsolicitedSource::EndpointWatch | UnsolicitedSource::Notifications => None,
        };
        let address = endpoint.and_then(|endpoint| pipeline.delivery.endpoints.address(endpoint));
        let message = bytes.attempt.map(|attempt| attempt.message);
        warn!(
            connection = bytes.connection.0,
            source = ?bytes.source,
            ?address,
            byte_count = bytes.byte_count,
            status = ?bytes.status,
            since_response = ?bytes.since_response,
            phase = ?bytes.phase,
            message_id = ?message.map(|message| message.0),
            attempt = ?bytes.attempt.map(|attempt| attempt.number),
            client_id = ?message.map(|message| pipeline.delivery.log.client_id(message)),
            total = self.total,
            "unsolicited bytes received, connection closed"
        );
    }
}
