//! Random message arrivals of a scenario. They are drawn in the same way for simulated gateways and for real gateway
//! processes.

use super::scenario::LoadBalanceScenario;
use rand::distr::weighted::WeightedIndex;
use rand::distr::Distribution;
use rand_chacha::ChaCha8Rng;
use rand_distr::Exp1;
use std::time::Duration;

/// A message that arrives: what it is and where it goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Index of its class in the scenario.
    pub class: usize,
    /// Index of its partner; each copy has its own.
    pub partner: usize,
    /// Index of the gateway instance that it is submitted to.
    pub instance: usize,
}

/// Generator of the traffic of a scenario: a Poisson process with random class, partner and instance.
pub struct Traffic {
    rate: f64,
    /// Usual relative share of each partner.
    partner_shares: Vec<f64>,
    /// Current multiple of the usual traffic of each partner.
    partner_factors: Vec<f64>,
    instances: WeightedIndex<f64>,
    classes: WeightedIndex<f64>,
    partners: WeightedIndex<f64>,
}

fn weighted_index(shares: &[f64]) -> WeightedIndex<f64> {
    // Even in a valid scenario, shares may add up to zero; those are replaced by equal ones.
    let equal = vec![1.0; shares.len().max(1)];
    WeightedIndex::new(shares.iter().copied())
        .or_else(|_| WeightedIndex::new(equal))
        .unwrap_or_else(|_| WeightedIndex::new([1.0]).expect("a single positive weight is valid"))
}

impl Traffic {
    /// A generator for the rate, shares and skew of a scenario.
    pub fn new(scenario: &LoadBalanceScenario) -> Traffic {
        let shares = scenario.partner_shares();
        Traffic {
            rate: scenario.rate,
            partner_factors: vec![1.0; shares.len()],
            instances: weighted_index(&scenario.instance_loads()),
            classes: weighted_index(&scenario.class.values().map(|class| class.share).collect::<Vec<_>>()),
            partners: weighted_index(&shares),
            partner_shares: shares,
        }
    }

    fn current_shares(&self) -> Vec<f64> {
        self.partner_shares.iter().zip(&self.partner_factors).map(|(share, factor)| share * factor).collect()
    }

    /// Sets the traffic of these partners to a multiple of their usual traffic. A factor set before is replaced.
    pub fn set_factor(&mut self, partners: &[usize], factor: f64) {
        partners.iter().for_each(|partner| self.partner_factors[*partner] = factor);
        self.partners = weighted_index(&self.current_shares());
    }

    /// Draws the time until the next message from an exponential distribution.
    pub fn draw_interarrival_time(&self, rng: &mut ChaCha8Rng) -> Duration {
        let usual_total: f64 = self.partner_shares.iter().sum();
        let rate = self.rate * self.current_shares().iter().sum::<f64>() / usual_total.max(1e-9);
        let interval: f64 = Exp1.sample(rng);
        Duration::from_secs_f64(interval / rate.max(1e-6))
    }

    /// Draws class, partner and instance of the next message.
    pub fn draw_arrival(&self, rng: &mut ChaCha8Rng) -> Arrival {
        let (class, partner) = (self.classes.sample(rng), self.partners.sample(rng));
        Arrival { class, partner, instance: self.instances.sample(rng) }
    }
}
