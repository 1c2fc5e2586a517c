//! ClientPolicy submits event, and when: the same draws whether instances are emulated or processes.

use super::scenario::LoadBalanceScenario;
use rand::distr::weighted::WeightedIndex;
use rand::distr::Distribution;
use rand_chacha::ChaCha8Rng;
use rand_distr::Exp1;
use std::time::Duration;

/// A message that is about to be submitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Place of its class in the scene.
    pub class: usize,
    /// Its partner.
    pub partner: usize,
    /// ClientPolicy gets it.
    pub instance: usize,
}

/// The traffic of a scene.
pub struct Traffic {
    rate: f64,
    shares: Vec<f64>,
    factors: Vec<f64>,
    by_load: WeightedIndex<f64>,
    by_class: WeightedIndex<f64>,
    by_partner: WeightedIndex<f64>,
}

fn weighted(shares: &[f64]) -> WeightedIndex<f64> {
    // Scenes are checked: shares that add up to nothing fall back to even ones.
    let even = vec![1.0; shares.len().max(1)];
    WeightedIndex::new(shares.iter().copied())
        .or_else(|_| WeightedIndex::new(even))
        .unwrap_or_else(|_| WeightedIndex::new([1.0]).expect("one weight above zero"))
}

impl Traffic {
    /// As the scene has it.
    pub fn new(scene: &LoadBalanceScenario) -> Traffic {
        let shares = scene.partner_shares();
        Traffic {
            rate: scene.rate,
            factors: vec![1.0; shares.len()],
            by_load: weighted(&scene.instance_loads()),
            by_class: weighted(&scene.class.values().map(|class| class.share).collect::<Vec<_>>()),
            by_partner: weighted(&shares),
            shares,
        }
    }

    fn wanted(&self) -> Vec<f64> {
        self.shares.iter().zip(&self.factors).map(|(share, factor)| share * factor).collect()
    }

    /// From now on these partners get so many times their usual traffic.
    pub fn multiply(&mut self, partners: &[usize], factor: f64) {
        partners.iter().for_each(|partner| self.factors[*partner] = factor);
        self.by_partner = weighted(&self.wanted());
    }

    /// Until the next message.
    pub fn gap(&self, rng: &mut ChaCha8Rng) -> Duration {
        let usual: f64 = self.shares.iter().sum();
        let rate = self.rate * self.wanted().iter().sum::<f64>() / usual.max(1e-9);
        let gap: f64 = Exp1.sample(rng);
        Duration::from_secs_f64(gap / rate.max(1e-6))
    }

    /// The message of this moment.
    pub fn draw(&self, rng: &mut ChaCha8Rng) -> Arrival {
        let (class, partner) = (self.by_class.sample(rng), self.by_partner.sample(rng));
        Arrival { class, partner, instance: self.by_load.sample(rng) }
    }
}
