//! What goes wrong, by the clock.

use super::{Due, LoadHarness};
use cloverstile_simulator::{StrikeKind, Wrong};
use std::time::Duration;

/// By so much later the struck couriers are answered by the endpoint of a `slow-for`.
pub(super) const FAR: Duration = Duration::from_millis(500);
/// News of limits reach each courier within so long.
const NEWS: Duration = Duration::from_secs(2);
/// A killed courier is started again after so long.
const RESTARTED_AFTER: Duration = Duration::from_millis(600);

impl LoadHarness<'_> {
    pub(super) fn strike(&mut self, now: Duration, place: usize, begins: bool) {
        let Some(spec) = self.scene.trouble.values().nth(place) else { return };
        let Some(kind) = spec.act() else { return };
        let struck = self.scene.struck(spec);
        let part: Vec<usize> = struck.iter().flat_map(|p| self.sites.part(*p, spec.size)).collect();
        let mut wrong = |what| part.iter().for_each(|place| self.sites.wrong(now, *place, what, begins));
        match kind {
            StrikeKind::Errors => wrong(Wrong::Errors),
            StrikeKind::Silent => wrong(Wrong::Silent),
            StrikeKind::Slow => wrong(Wrong::Slow),
            StrikeKind::Burst => self.traffic.multiply(&struck, if begins { spec.size } else { 1.0 }),
            StrikeKind::Limit => {
                for partner in struck {
                    let factor = if begins { spec.size } else { 1.0 };
                    self.sites.partners[partner].multiply_limits(now, factor);
                    self.note_limit(now, partner);
                }
                self.list.changed();
                self.spread_news(now, NEWS);
            }
            StrikeKind::Still => self.sites.stand_still(begins),
            StrikeKind::SlowFor => {
                self.far = if begins { (self.scene.couriers as f64 * spec.size) as usize } else { 0 };
            }
            StrikeKind::Replace => self.replace(now, part, spec.lasts, begins),
            StrikeKind::Restart if begins => {
                let count = (self.scene.couriers as f64 * spec.size) as usize;
                for courier in 0..count {
                    if let Some(processes) = &mut self.processes {
                        processes.kill(courier);
                    }
                    self.books.lost(courier);
                    self.enter(now + RESTARTED_AFTER, Due::Start { courier });
                }
            }
            StrikeKind::Restart => {}
        }
    }

    /// Cold ones come for those that go; all have heard of it when it ends, and then the old ones are gone.
    fn replace(&mut self, now: Duration, part: Vec<usize>, lasts: f64, begins: bool) {
        let lasts = Duration::from_secs_f64(lasts);
        if begins {
            for gone in part {
                let (partner, pace) = (self.sites.endpoints[gone].partner, self.sites.endpoints[gone].pace);
                let added = self.sites.add(self.scene, partner, pace, now, &mut self.rng);
                if let Err(error) = self.open_endpoint(added) {
                    self.failed = Some(error);
                    return;
                }
                self.list.drain(gone);
                self.sites.endpoints[gone].until = now + lasts;
                self.books.run.record.endpoints[gone].until = now + lasts;
                self.books.goes(now + lasts, gone);
            }
            self.spread_news(now, lasts);
            return;
        }
        for place in 0..self.sites.endpoints.len() {
            if self.sites.endpoints[place].until <= now {
                if let Some(listener) = self.by_place[place].take() {
                    self.net.stop_listening(listener);
                }
            }
        }
    }
}
