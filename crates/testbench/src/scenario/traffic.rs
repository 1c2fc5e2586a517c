//! Generates the random messages of a scenario.

use super::faults::{FaultEvent, ScheduledFault};
use super::settings::FaultScenario;
use cloverstile_fakes::client::PlannedMessage;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

/// Range of the content length of a message, in bytes.
const CONTENT_LENGTH: Range<usize> = 40..400;

/// A period, in seconds from the start of the traffic, in which the message rate is multiplied.
struct Burst {
    period: Range<f64>,
    factor: f64,
}

impl FaultScenario {
    /// Generates the messages of each client with Poisson arrivals from `start` on. The second client submits those of
    /// ordered classes.
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
            let Some((class_name, class)) = draw_by_share(rng, &self.classes, |class| class.share) else {
                continue;
            };
            let Some((partner, _)) = draw_by_share(rng, &self.partners, |partner| partner.share) else {
                continue;
            };
            let key = class.ordered.then(|| format!("employee-{}", rng.random_range(0..class.keys.max(1))));
            let client = usize::from(class.ordered);
            let length = rng.random_range(CONTENT_LENGTH);
            plan[client].push(PlannedMessage {
                submit_at: start + Duration::from_secs_f64(at),
                id: format!("m{number}.{seed}@client-{client}"),
                class: class_name.clone(),
                // All messages of one order key (an employee) go to the same partner.
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

/// Draws one of the named items with a probability proportional to its share.
fn draw_by_share<'a, T>(
    rng: &mut ChaCha8Rng,
    items: &'a BTreeMap<String, T>,
    share: impl Fn(&T) -> f64,
) -> Option<(&'a String, &'a T)> {
    let sum: f64 = items.values().map(&share).sum();
    let mut remaining = rng.random::<f64>() * sum;
    let last = items.iter().next_back();
    let found = items.iter().find(|(_, item)| {
        remaining -= share(item);
        remaining < 0.0
    });
    found.or(last)
}
