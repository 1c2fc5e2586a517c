//! Counts the load of recovering sites per window.

use super::{Site, OBSERVED_WARM_UPS, RECOVERY_WINDOW};
use crate::failover::record::RecoveryWindow;
use std::time::Duration;

impl Site {
    /// Counts a request if the site has recovered, has no fault, and its observation period has not ended.
    pub(super) fn count_request(&mut self, now: Duration) {
        let Some(recovered_at) = self.recovered_at.filter(|_| self.model.fault().is_none()) else { return };
        let index = ((now - recovered_at).as_nanos() / RECOVERY_WINDOW.as_nanos()) as usize;
        let observed = self.model.profile().warm_up_time.mul_f64(OBSERVED_WARM_UPS);
        if now - recovered_at < observed {
            if self.received.len() <= index {
                self.received.resize(index + 1, 0);
            }
            self.received[index] += 1;
        }
    }

    /// Ends the observation of the current recovery, if any, and appends its windows to `windows`.
    pub(super) fn close_windows(&mut self, now: Duration, windows: &mut Vec<RecoveryWindow>) {
        let Some(recovered_at) = self.recovered_at.take() else { return };
        let profile = self.model.profile();
        let observed = profile.warm_up_time.mul_f64(OBSERVED_WARM_UPS).min(now - recovered_at);
        let count = (observed.as_nanos() / RECOVERY_WINDOW.as_nanos()) as usize;
        self.received.resize(count.max(self.received.len()), 0);
        for (index, received) in std::mem::take(&mut self.received).into_iter().enumerate() {
            let after = RECOVERY_WINDOW * index as u32;
            // Capacity grows during warm-up; its value at the end of the window is used, so that requests sent late in
            // the window are not measured against the lower capacity at its start.
            let capacity =
                self.rate * profile.capacity_share(after + RECOVERY_WINDOW) * RECOVERY_WINDOW.as_secs_f64();
            windows.push(RecoveryWindow {
                destination: self.destination,
                recovery: self.recoveries,
                start: recovered_at + after,
                since_recovery: after,
                received,
                capacity,
                collapse_bound: profile.collapse_multiple * capacity,
            });
        }
    }
}
