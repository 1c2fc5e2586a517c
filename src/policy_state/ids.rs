//! Identifiers used only inside the policy.

use crate::interface::{DestinationId, EndpointId};

/// Identifies a request in flight; ids increase with time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(u64);

impl RequestId {
    /// The id that follows this one.
    pub fn next(self) -> RequestId {
        RequestId(self.0 + 1)
    }
}

/// Identifies the unit that has one rate limit and one outage state: a destination, or one endpoint of it if
/// limits are per endpoint.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteId {
    pub destination: DestinationId,
    pub endpoint: Option<EndpointId>,
}

/// The key range that holds all routes of a destination.
pub fn route_range(destination: DestinationId) -> std::ops::RangeInclusive<RouteId> {
    let last = Some(EndpointId(u32::MAX));
    RouteId { destination, endpoint: None }..=RouteId { destination, endpoint: last }
}
