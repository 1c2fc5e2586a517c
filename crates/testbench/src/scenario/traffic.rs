//! The messages of a scenario, drawn by chance.

use super::faults::{FaultEvent, ScheduledFault};
use super::settings::FaultScenario;
use cloverstile_fakes::client::PlannedMessage;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

/// Bytes of a message's content.
const CONTENT_LENGTH: Range<usize> = 40..400;

/// Traffic is multiplied between two times, in seconds.
struct Burst {
    period: Range<f64>,
    factor: f64,
}

impl FaultScenario {
    /// The messages of each client, from `start` on: those of ordered classes come from the second one.
    pub fn plan_messages(
        &self,
        rng: &mut ChaCha8Rng,
        seed: u64,
        start: Duration,
    ) -> [Vec<PlannedMessage>; 2] {
        let bursts = self.bursts();
        let mut plan = [Vec::new(), Vec::new()];
        let mut at = 0.0;
        for number in 0..self.messages {
            let burst = bursts.iter().find(|burst| burst.period.contains(&at));
            let gap: f64 = -(1.0 - rng.random::<f64>()).max(1e-9).ln();
            at += gap / (self.rate * burst.map_or(1.0, |burst| burst.factor));
            let Some((class_name, class)) = draw(rng, &self.classes, |class| class.share) else { continue };
            let Some((partner, _)) = draw(rng, &self.partners, |partner| partner.share) else { continue };
            let key = class.ordered.then(|| format!("employee-{}", rng.random_range(0..class.keys.max(1))));
            let client = usize::from(class.ordered);
            let length = rng.random_range(CONTENT_LENGTH);
            plan[client].push(PlannedMessage {
                submit_at: start + Duration::from_secs_f64(at),
                id: format!("m{number}.{seed}@client-{client}"),
                class: class_name.clone(),
                // What concerns one employee goes to one partner: its system.
                partner: key.as_ref().map_or(partner.clone(), |key| self.partner_of_key(key)),
                key,
                deadline: Duration::from_secs_f64(class.deadline),
                body: vec![b'a' + (number % 26) as u8; length],
                disconnects_after_submission: rng.random_bool(self.dropped_connection_share.clamp(0.0, 1.0)),
            });
        }
        plan
    }

    fn bursts(&self) -> Vec<Burst> {
        let schedule = self.fault_schedule().unwrap_or_default();
        let burst = |fault: ScheduledFault| match fault.event {
            FaultEvent::Burst { factor } => {
                Some(Burst { period: fault.at..fault.at + fault.duration, factor })
            }
            _ => None,
        };
        schedule.into_iter().filter_map(burst).collect()
    }

    fn partner_of_key(&self, key: &str) -> String {
        let hash = key.bytes().fold(3_usize, |sum, byte| sum.wrapping_mul(33).wrapping_add(byte.into()));
        self.partners.keys().nth(hash % self.partners.len()).cloned().unwrap_or_default()
    }
}

/// Draws one of some named things by their shares.
fn draw<'a, T>(
    rng: &mut ChaCha8Rng,
    things: &'a BTreeMap<String, T>,
    share: impl Fn(&T) -> f64,
) -> Option<(&'a String, &'a T)> {
    let sum: f64 = things.values().map(&share).sum();
    let mut remaining = rng.random::<f64>() * sum;
    let last = things.iter().next_back();
    let found = things.iter().find(|(_, thing)| {
        remaining -= share(thing);
        remaining < 0.0
    });
    found.or(last)
}
