//! The state that client commands and outgoing requests share.

use crate::message_log::MessageLog;
use cloverstile_engine::Engine;
use cloverstile_platform::endpoint_list::EndpointList;
use cloverstile_platform::notifications::Notifications;

/// The messages that the gateway holds, and where they can go.
pub struct Delivery {
    /// Decides which message goes where and when.
    pub engine: Engine,
    /// What outlasts the process.
    pub log: MessageLog,
    /// Endpoints, with their addresses and zones.
    pub endpoints: EndpointList,
    /// Undelivered messages that the platform has not acknowledged.
    pub notifications: Notifications,
}
