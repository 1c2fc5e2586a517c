//! Allocation of the process's file descriptors to their uses.

/// Share of the descriptors for connected clients. The users of the platform state that clients need at most a third of
/// all descriptors for their requests.
const CLIENTS_SHARE: f64 = 0.47;
/// Share for closed client connections, which are held for a short time, unread, until the client has closed too.
const LINGERING_SHARE: f64 = 0.06;
/// Share for connections to endpoints. The remaining descriptors are for files and discovery.
const ENDPOINTS_SHARE: f64 = 0.35;
/// Minimum number of descriptors for each use.
const MIN_DESCRIPTORS: usize = 8;

/// Maximum number of descriptors for each use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorLimits {
    /// Connections of clients.
    pub clients: usize,
    /// Closed client connections that are held, unread, until the client has closed too.
    pub lingering: usize,
    /// Connections to endpoints.
    pub endpoints: usize,
}

impl DescriptorLimits {
    /// Allocates `total` descriptors.
    pub fn new(total: usize) -> Self {
        let portion = |share: f64| ((total as f64 * share) as usize).max(MIN_DESCRIPTORS);
        DescriptorLimits {
            clients: portion(CLIENTS_SHARE),
            lingering: portion(LINGERING_SHARE),
            endpoints: portion(ENDPOINTS_SHARE),
        }
    }
}

#[cfg(test)]
mod tests;
