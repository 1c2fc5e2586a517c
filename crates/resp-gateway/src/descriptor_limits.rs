//! How the process's file descriptors are divided.

/// Share of the descriptors for connected clients (who hold a third at most for requests, as the users state).
const CLIENTS_SHARE: f64 = 0.47;
/// Share for client connections that were closed and are read from a moment longer.
const LINGERING_SHARE: f64 = 0.06;
/// Share for connections to endpoints. The rest is for files and discovery.
const ENDPOINTS_SHARE: f64 = 0.35;
/// Least number of descriptors for each use.
const MIN_DESCRIPTORS: usize = 8;

/// Most descriptors for each use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DescriptorLimits {
    /// Connected clients.
    pub clients: usize,
    /// Closed client connections that are still read from.
    pub lingering: usize,
    /// Connections to endpoints.
    pub endpoints: usize,
}

impl DescriptorLimits {
    /// Divides `total` descriptors.
    pub fn new(total: usize) -> Self {
        let share = |share: f64| ((total as f64 * share) as usize).max(MIN_DESCRIPTORS);
        DescriptorLimits {
            clients: share(CLIENTS_SHARE),
            lingering: share(LINGERING_SHARE),
            endpoints: share(ENDPOINTS_SHARE),
        }
    }
}

#[cfg(test)]
mod tests;
