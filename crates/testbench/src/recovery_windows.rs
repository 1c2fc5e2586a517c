//! Measures the load on recovering zones in short windows, from the record of a scenario run.

use crate::scenario::FaultScenario;
use cloverstile_as2_gateway::test_cluster::PartnerSpec;
use cloverstile_fakes::record::{ObservedEvent, RecordLine};
use serde::Serialize;
use std::collections::BTreeSet;
use std::time::Duration;

/// Length of each measured window.
pub const WINDOW: Duration = Duration::from_millis(100);
/// Each recovery is measured for this multiple of the warm-up time.
const MEASURED_WARM_UPS: f64 = 2.0;

/// Requests and capacity of a recovering zone in one window.
#[derive(Clone, Debug, Serialize)]
pub struct RecoveryWindow {
    /// Name of the partner.
    pub partner: String,
    /// Number of the recovering zone.
    pub zone: usize,
    /// Start of the window, in milliseconds after the outage of the zone ended.
    pub after_ms: u64,
    /// Requests that the zone received in the window.
    pub received: u32,
    /// Requests that the zone can serve in the window at its current capacity.
    pub capacity: f64,
    /// Requests above which the zone is overloaded: the overload multiple of `capacity`.
    pub bound: f64,
}

impl RecoveryWindow {
    /// Whether the zone received more requests than `bound`, which counts as at least one request.
    pub fn exceeds_bound(&self) -> bool {
        f64::from(self.received) > self.bound.max(1.0)
    }
}

/// The windows of each zone after each outage in a record.
pub fn recovery_windows(scenario: &FaultScenario, lines: &[RecordLine]) -> Vec<RecoveryWindow> {
    let cluster = scenario.cluster_spec();
    let mut windows = Vec::new();
    for line in lines {
        let ObservedEvent::Outage { partner, zone, began: false } = &line.event else { continue };
        let Some(partner) = cluster.partners.iter().find(|spec| spec.name == *partner) else { continue };
        let zones: BTreeSet<usize> = partner.zones.iter().copied().collect();
        for recovered in zones.into_iter().filter(|each| zone.is_none_or(|zone| zone == *each)) {
            windows.extend(windows_of_recovery(lines, line.at, partner, recovered));
        }
    }
    windows
}

/// Windows of one zone of a partner whose outage ended `recovered_at` microseconds from the start of the run.
fn windows_of_recovery(
    lines: &[RecordLine],
    recovered_at: u64,
    partner: &PartnerSpec,
    zone: usize,
) -> Vec<RecoveryWindow> {
    let profile = &partner.profile;
    let last = lines.last().map_or(recovered_at, |line| line.at);
    let recorded = Duration::from_micros(last.saturating_sub(recovered_at));
    let measured = profile.warm_up_time.mul_f64(MEASURED_WARM_UPS).min(recorded);
    let mut received = vec![0_u32; (measured.as_nanos() / WINDOW.as_nanos()) as usize];
    for line in lines.iter().filter(|line| line.at >= recovered_at) {
        let ObservedEvent::RequestReceived { partner: receiver, endpoint, .. } = &line.event else {
            continue;
        };
        let position = (u128::from(line.at - recovered_at) * 1000 / WINDOW.as_nanos()) as usize;
        if *receiver == partner.name && partner.zones.get(*endpoint) == Some(&zone) {
            if let Some(count) = received.get_mut(position) {
                *count += 1;
            }
        }
    }
    let window = |(position, received): (usize, u32)| {
        let after = WINDOW * position as u32;
        // The capacity at the end of the window, as it grows during the warm-up.
        let capacity = profile.rate() * profile.capacity_share(after + WINDOW) * WINDOW.as_secs_f64();
        RecoveryWindow {
            partner: partner.name.clone(),
            zone,
            after_ms: after.as_millis() as u64,
            received,
            capacity,
            bound: profile.collapse_multiple * capacity,
        }
    };
    received.into_iter().enumerate().map(window).collect()
}
