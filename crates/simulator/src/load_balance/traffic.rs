//! Arrivals of messages: the same random draws whether gateways are simulated or real processes.

use super::scenario::LoadBalanceScenario;
use rand::distr::weighted::WeightedIndex;
use rand::distr::Distribution;
use rand_chacha::ChaCha8Rng;
use rand_distr::Exp1;
use std::time::Duration;

/// The arrival of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Index of its class in the scenario.
    pub class: usize,
    /// Index of its partner.
    pub partner: usize,
    /// The instance that it is submitted to.
    pub instance: usize,
}

/// The traffic of a scenario.
pub struct Traffic {
    rate: f64,
    shares: Vec<f64>,
    factors: Vec<f64>,
    by_load: WeightedIndex<f64>,
    by_class: WeightedIndex<f64>,
    by_partner: WeightedIndex<f64>,
}

fn weighted(shares: &[f64]) -> WeightedIndex<f64> {
    // Scenarios are checked: shares that add up to zero fall back to equal ones.
    let even = vec![1.0; shares.len().max(1)];
    WeightedIndex::new(shares.iter().copied())
        .or_else(|_| WeightedIndex::new(even))
        .unwrap_or_else(|_| WeightedIndex::new([1.0]).expect("one weight above zero"))
}

impl Traffic {
    /// The traffic that a scenario states.
    pub fn new(scenario: &LoadBalanceScenario) -> Traffic {
        let shares = scenario.partner_shares();
        Traffic {
            rate: scenario.rate,
            factors: vec![1.0; shares.len()],
            by_load: weighted(&scenario.instance_loads()),
            by_class: weighted(&scenario.class.values().map(|class| class.share).collect::<Vec<_>>()),
            by_partner: weighted(&shares),
            shares,
        }
    }

    fn wanted(&self) -> Vec<f64> {
        self.shares.iter().zip(&self.factors).map(|(share, factor)| share * factor).collect()
    }

    /// Multiplies the usual traffic of these partners from now on.
    pub fn set_factor(&mut self, partners: &[usize], factor: f64) {
        partners.iter().for_each(|partner| self.factors[*partner] = factor);
        self.by_partner = weighted(&self.wanted());
    }

    /// Draws the time until the next message.
    pub fn draw_interarrival_time(&self, rng: &mut ChaCha8Rng) -> Duration {
        let usual: f64 = self.shares.iter().sum();
        let rate = self.rate * self.wanted().iter().sum::<f64>() / usual.max(1e-9);
        let gap: f64 = Exp1.sample(rng);
        Duration::from_secs_f64(gap / rate.max(1e-6))
    }

    /// Draws the next message.
    pub fn draw_arrival(&self, rng: &mut ChaCha8Rng) -> Arrival {
        let (class, partner) = (self.by_class.sample(rng), self.by_partner.sample(rng));
        Arrival { class, partner, instance: self.by_load.sample(rng) }
    }
}
