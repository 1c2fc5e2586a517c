//! Load of a recovering site, by window.

use super::{Site, WATCHED, WINDOW};
use crate::failover::record::RecoveryWindow;
use std::time::Duration;

impl Site {
    /// Counts a request towards its window, if the site is watched.
    pub(super) fn count(&mut self, now: Duration) {
        let Some(since) = self.returned.filter(|_| self.model.fault().is_none()) else { return };
        let place = ((now - since).as_nanos() / WINDOW.as_nanos()) as usize;
        let watched = self.model.profile().warm_up_time.mul_f64(WATCHED);
        if now - since < watched {
            if self.received.len() <= place {
                self.received.resize(place + 1, 0);
            }
            self.received[place] += 1;
        }
    }

    pub(super) fn close_windows(&mut self, now: Duration, windows: &mut Vec<RecoveryWindow>) {
        let Some(since) = self.returned.take() else { return };
        let nature = self.model.profile();
        let watched = nature.warm_up_time.mul_f64(WATCHED).min(now - since);
        let count = (watched.as_nanos() / WINDOW.as_nanos()) as usize;
        self.received.resize(count.max(self.received.len()), 0);
        for (place, received) in std::mem::take(&mut self.received).into_iter().enumerate() {
            let after = WINDOW * place as u32;
            // Warmest at its end; colder would be held against instances that come with its last request.
            let capacity = self.rate * nature.capacity_share(after + WINDOW) * WINDOW.as_secs_f64();
            windows.push(RecoveryWindow {
                destination: self.destination,
                recovery: self.returns,
                start: since + after,
                since_recovery: after,
                received,
                capacity,
                collapse_bound: nature.collapse_multiple * capacity,
            });
        }
    }
}
