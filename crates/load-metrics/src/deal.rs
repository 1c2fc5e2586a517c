//! The same calls at the same times, dealt otherwise.

use crate::{Endpoint, Record};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;

/// Who deals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dealer {
    /// One dispatcher that sees all calls: each goes where least was dealt for its weight. The bound.
    Central,
    /// Chance, by weight. The floor.
    Chance {
        /// Of chance.
        seed: u64,
    },
}

/// The endpoints of a partner that are in service.
fn open(endpoints: &[Endpoint], of: &[usize], at: Duration) -> Vec<usize> {
    of.iter().copied().filter(|e| endpoints[*e].from <= at && at < endpoints[*e].until).collect()
}

/// The endpoints of each partner.
pub(crate) fn by_partner(record: &Record) -> Vec<Vec<usize>> {
    let mut places = vec![Vec::new(); record.partners.len()];
    for (place, endpoint) in record.endpoints.iter().enumerate() {
        if let Some(of) = places.get_mut(endpoint.partner) {
            of.push(place);
        }
    }
    places
}

/// Deals the calls of a record anew: same times, partners, couriers and outcomes, other endpoints. A call for which no
/// endpoint is in service stays where it was.
pub fn deal(record: &Record, dealer: Dealer) -> Record {
    let partners = by_partner(record);
    let mut rng = match dealer {
        Dealer::Chance { seed } => ChaCha8Rng::seed_from_u64(seed),
        Dealer::Central => ChaCha8Rng::seed_from_u64(0),
    };
    let mut dealt = vec![0.0; record.endpoints.len()];
    // What is new starts level with the rest, or it would get all calls until it caught up.
    let mut known: Vec<Vec<usize>> = vec![Vec::new(); partners.len()];
    let mut calls = record.calls.clone();
    for call in &mut calls {
        let partner = record.endpoints[call.endpoint].partner;
        let choice = open(&record.endpoints, &partners[partner], call.at);
        if choice.is_empty() {
            continue;
        }
        let weight = |e: usize| record.endpoints[e].weight.max(1e-9);
        call.endpoint = match dealer {
            Dealer::Central => {
                let level = |e: &usize| dealt[*e] / weight(*e);
                let old = choice.iter().filter(|e| known[partner].contains(e));
                let least = old.map(level).fold(f64::INFINITY, f64::min);
                for e in choice.iter().filter(|e| !known[partner].contains(e)).copied().collect::<Vec<_>>() {
                    dealt[e] = if least.is_finite() { least * weight(e) } else { 0.0 };
                    known[partner].push(e);
                }
                let after = |e: &usize| (dealt[*e] + 1.0) / weight(*e);
                let to = choice.iter().copied().min_by(|a, b| after(a).total_cmp(&after(b)));
                to.unwrap_or(call.endpoint)
            }
            Dealer::Chance { .. } => {
                let mut left = rng.random::<f64>() * choice.iter().map(|e| weight(*e)).sum::<f64>();
                let drawn = choice.iter().copied().find(|e| {
                    left -= weight(*e);
                    left <= 0.0
                });
                drawn.unwrap_or(choice[choice.len() - 1])
            }
        };
        dealt[call.endpoint] += 1.0;
    }
    Record { calls, ..record.clone() }
}
