//! Discovery: updates of the endpoint list, and when to subscribe to them.

use super::rate_limiting::UNTOLD_RATE;
use super::retry::growing_gap;
use crate::interface::{Discovery, EndpointListUpdate, EndpointState, Time, WeightSource};
use crate::policy_state::{Address, PolicyState, Route};

/// First and longest gap before asking for the list, as parts of the time that may pass without; full jitter.
pub(super) const ASK_GAPS: (f64, f64) = (0.5, 1.5);

impl PolicyState {
    pub(super) fn on_listing(&mut self, now: Time, listing: EndpointListUpdate) {
        // Without a subscription no drain is told. All couriers start at once and the list answers only so
        // many: they ask spread over half of what the rules let pass, and after a failure later still.
        let (first, failed) = (self.addresses.is_empty(), matches!(listing, EndpointListUpdate::Unavailable));
        self.asks_failed = if failed { self.asks_failed + 1 } else { 0 };
        if self.settings.discovery == Discovery::Ask && (failed || first) {
            let gap = growing_gap(self.settings.rules.discovery_interval, ASK_GAPS, self.asks_failed);
            self.ask_at = Some(now + gap.mul_f64(self.rng.f64()));
        }
        let entries = match listing {
            EndpointListUpdate::Unavailable => return,
            EndpointListUpdate::Delta(entries) => entries,
            EndpointListUpdate::Snapshot(entries) => {
                // What a whole list does not name is gone: it gets nothing new from now on.
                for address in self.addresses.values_mut() {
                    address.entry.state = EndpointState::Removed;
                }
                entries
            }
        };
        for entry in entries {
            let told = self.settings.weights != WeightSource::Silent;
            let weight = if told { entry.weight.max(0.1) } else { 0.0 };
            let batch = self.settings.kinds.get(usize::from(entry.kind.0)).map_or(1, |k| k.max_batch.max(1));
            let route = self.routes.entry(self.route_of(&entry)).or_insert_with(|| {
                let rate = if told { weight } else { UNTOLD_RATE };
                Route { rate, tokens: 1.0, filled: now, last_answer: now, ..Route::default() }
            });
            // Where the list is silent, what answers told of the limit stays.
            route.weight = if told { weight } else { route.weight };
            (route.batch, route.kind, route.gentle) =
                (batch, entry.kind, entry.state == EndpointState::OneAtATime);
            if let Some(known) = self.addresses.get_mut(&entry.id) {
                known.entry = entry;
                continue;
            }
            route.endpoints.push(entry.id);
            let turn = self.turns_taken(entry.destination) + self.rng.u64(..self.turn_of(&entry));
            self.addresses.insert(entry.id, Address::new(entry, turn));
        }
    }
}
