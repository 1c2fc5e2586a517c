//! Identifiers that only the policy uses.

use crate::interface::{DestinationId, EndpointId};

/// A request in flight; ids grow with time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(u64);

impl RequestId {
    /// The id after this one.
    pub fn next(self) -> RequestId {
        RequestId(self.0 + 1)
    }
}

/// What has one limit, rate and outage: a destination, or one endpoint of it where limits are per endpoint.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RouteId {
    pub destination: DestinationId,
    pub endpoint: Option<EndpointId>,
}

/// The range of the routes of a destination.
pub fn routes_of(destination: DestinationId) -> std::ops::RangeInclusive<RouteId> {
    let last = Some(EndpointId(u32::MAX));
    RouteId { destination, endpoint: None }..=RouteId { destination, endpoint: last }
}
