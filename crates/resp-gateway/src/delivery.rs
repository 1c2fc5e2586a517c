//! The state that client commands and outgoing requests share.

use crate::message_log::MessageLog;
use cloverstile_engine::Engine;
use cloverstile_platform::endpoint_list::EndpointList;
use cloverstile_platform::notifications::Notifications;

/// The messages that the gateway holds, and the endpoints that they can be sent to.
pub struct DeliveryState {
    /// Runs the delivery policy, which decides which message goes where and when.
    pub engine: Engine,
    /// The write-ahead log, from which the next process recovers the messages.
    pub log: MessageLog,
    /// The endpoints, with their addresses and zones.
    pub endpoints: EndpointList,
    /// Notifications of undelivered messages that the platform has not acknowledged yet.
    pub notifications: Notifications,
}
