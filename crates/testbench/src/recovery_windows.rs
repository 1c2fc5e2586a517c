//! Load of recovering zones in short windows, from the record of a scenario over sockets.

use crate::scenario::FaultScenario;
use cloverstile_as2_gateway::test_cluster::PartnerSpec;
use cloverstile_fakes::record::{ObservedEvent, RecordLine};
use serde::Serialize;
use std::collections::BTreeSet;
use std::time::Duration;

/// Length of a window.
pub const WINDOW: Duration = Duration::from_millis(100);
/// A recovery is measured for this many times the warm-up time.
const MEASURED_WARM_UPS: f64 = 2.0;

/// A window of a recovering zone.
#[derive(Clone, Debug, Serialize)]
pub struct RecoveryWindow {
    /// Name of the partner.
    pub partner: String,
    /// Its zone.
    pub zone: usize,
    /// Beginning of the window, in milliseconds since the zone's return.
    pub after_ms: u64,
    /// Requests that reached it.
    pub received: u32,
    /// Requests that it can serve in that time with the capacity it has then.
    pub capacity: f64,
    /// Requests that it survives in that time: the overload multiple of its capacity.
    pub bound: f64,
}

impl RecoveryWindow {
    /// Whether the zone got more than it survives.
    pub fn exceeds_bound(&self) -> bool {
        f64::from(self.received) > self.bound.max(1.0)
    }
}

/// All windows of all recoveries in a record.
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

/// Windows of one zone of a partner that returned at a time in microseconds.
fn windows_of_recovery(
    lines: &[RecordLine],
    returned_at: u64,
    partner: &PartnerSpec,
    zone: usize,
) -> Vec<RecoveryWindow> {
    let profile = &partner.profile;
    let last = lines.last().map_or(returned_at, |line| line.at);
    let recorded = Duration::from_micros(last.saturating_sub(returned_at));
    let measured = profile.warm_up_time.mul_f64(MEASURED_WARM_UPS).min(recorded);
    let mut received = vec![0_u32; (measured.as_nanos() / WINDOW.as_nanos()) as usize];
    for line in lines.iter().filter(|line| line.at >= returned_at) {
        let ObservedEvent::RequestReceived { partner: receiver, endpoint, .. } = &line.event else {
            continue;
        };
        let position = (u128::from(line.at - returned_at) * 1000 / WINDOW.as_nanos()) as usize;
        if *receiver == partner.name && partner.zones.get(*endpoint) == Some(&zone) {
            if let Some(count) = received.get_mut(position) {
                *count += 1;
            }
        }
    }
    let window = |(position, received): (usize, u32)| {
        let after = WINDOW * position as u32;
        // The capacity at the window's end.
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
