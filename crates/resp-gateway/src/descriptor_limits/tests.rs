//! Tests of the allocation of file descriptors.

use super::DescriptorLimits;

/// Descriptors for standard streams, event loop, signals, listener, log, discovery and notification connections.
const OTHER_DESCRIPTORS: usize = 11 + cloverstile_platform::notifications::MAX_AGENT_CONNECTIONS;

#[test]
fn descriptor_limits_fit_the_total_and_leave_a_third_for_clients() {
    for total in [256, 300, 512, 1024] {
        let limits = DescriptorLimits::new(total);
        let sum = limits.clients + limits.lingering + limits.endpoints;
        assert!(sum + OTHER_DESCRIPTORS <= total, "{total}: {limits:?}");
        assert!(limits.clients * 3 > total, "{total}: {limits:?} leave clients no more than a third");
    }
}
