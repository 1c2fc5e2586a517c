//! Converts faults of a bench day to faults of a scenario.

use super::bench_day::{BenchDay, BenchFault};
use super::scale::{partner_name, ReplayScale};
use crate::scenario::FaultSettings;
use std::collections::BTreeMap;

/// From this share of errors on, the partner is played as unavailable (kind `shut`).
const SHUT_ERROR_SHARE: f64 = 0.99;
/// Upper bound of the separate pauses that one fault is converted to.
const MAX_PAUSES: u32 = 40;

/// Scenario faults by name.
type Faults = BTreeMap<String, FaultSettings>;

/// Converts the faults of one bench day.
pub(super) struct FaultConverter<'a> {
    pub day: &'a BenchDay,
    /// Positions of the destinations that the scenario keeps as partners.
    pub partners: &'a [usize],
    pub scale: ReplayScale,
    /// Receives a line for each fault that is left out or changed.
    pub omissions: &'a mut Vec<String>,
}

impl FaultConverter<'_> {
    /// Converts a fault to one scenario fault for each affected partner; if there is none, notes why.
    pub fn convert(&mut self, number: usize, fault: &BenchFault) -> Faults {
        let affected = self.affected_partners(fault);
        let for_each_partner =
            |kind: &str, size: f64| self.for_each_partner(number, fault, kind, size, &affected);
        let converted = match fault.kind.as_str() {
            "hang" => for_each_partner("silent", 1.0),
            "crash" | "preempt" | "peer_down" => for_each_partner("refuse", 1.0),
            "vanish" => {
                let faults = for_each_partner("refuse", 1.0);
                self.omit(number, "vanish: played as refused connections, not as lost packets");
                faults
            }
            "fast_errors" if fault.size >= SHUT_ERROR_SHARE => for_each_partner("shut", 1.0),
            "fast_errors" => for_each_partner("errors", fault.size),
            "slow" => for_each_partner("slow", fault.size.max(1.0)),
            "shared_slow" => self.for_each_partner(number, fault, "slow", fault.size.max(1.0), self.partners),
            "answer_lost" => for_each_partner("lose-answers", fault.size.clamp(0.05, 0.9)),
            "idle_reap" => for_each_partner("reap", fault.size / self.scale.speed),
            "pauses" => {
                let pauses = self.pauses(fault, for_each_partner("late", fault.size / 1000.0));
                self.omit(number, &format!("pauses: played as answers {:.0} ms late", fault.size));
                pauses
            }
            "burst" | "tenant_burst" => {
                let burst = self.settings(fault, "burst", fault.size.max(1.0));
                Faults::from([(format!("{number} {}", fault.kind), burst)])
            }
            "balancer_crash" | "balancer_roll" => {
                self.omit(number, &format!("{}: one gateway is killed", fault.kind));
                Faults::from([(format!("{number} {}", fault.kind), self.gateway_kill(number, fault))])
            }
            "deploy" => for_each_partner("drain", 1.0),
            other => {
                self.omit(number, &format!("{other}: not played"));
                return Faults::new();
            }
        };
        if converted.is_empty() {
            self.omit(number, &format!("{}: affects none of the partners that are kept", fault.kind));
        }
        converted
    }

    fn omit(&mut self, number: usize, reason: &str) {
        self.omissions.push(format!("{number} {reason}"));
    }

    fn affected_partners(&self, fault: &BenchFault) -> Vec<usize> {
        let is_affected = |partner: &usize| {
            let servers = fault.servers.iter().filter_map(|server| self.day.servers.get(*server));
            servers.into_iter().any(|server| server.destination == *partner)
        };
        self.partners.iter().copied().filter(is_affected).collect()
    }

    /// A scenario fault with the times of the bench fault, without a partner or gateway.
    fn settings(&self, fault: &BenchFault, kind: &str, size: f64) -> FaultSettings {
        FaultSettings {
            at: self.scale.seconds(fault.at),
            duration: self.scale.seconds(fault.duration),
            jitter: 0.0,
            partner: None,
            zone: None,
            endpoint: 0,
            gateway: None,
            kind: kind.into(),
            size,
        }
    }

    fn for_each_partner(
        &self,
        number: usize,
        fault: &BenchFault,
        kind: &str,
        size: f64,
        partners: &[usize],
    ) -> Faults {
        let one = |partner: &usize| {
            let name = partner_name(*partner);
            let settings = FaultSettings { partner: Some(name.clone()), ..self.settings(fault, kind, size) };
            (format!("{number} {} at {name}", fault.kind), settings)
        };
        partners.iter().map(one).collect()
    }

    /// Replaces each fault by a series of short ones, one for each pause.
    fn pauses(&self, fault: &BenchFault, continuous: Faults) -> Faults {
        let gap = (fault.extra / self.scale.speed).max(0.3);
        let duration = (fault.size / 1000.0).min(gap * 0.8);
        let mut pauses = Faults::new();
        for (name, settings) in continuous {
            let end = settings.at + settings.duration;
            for pause in 0..MAX_PAUSES {
                let at = settings.at + f64::from(pause) * gap;
                if at < end {
                    let settings = FaultSettings { at, duration, ..settings.clone() };
                    pauses.insert(format!("{name} {pause:02}"), settings);
                }
            }
        }
        pauses
    }

    fn gateway_kill(&self, number: usize, fault: &BenchFault) -> FaultSettings {
        let kill = self.settings(fault, "kill", 1.0);
        FaultSettings {
            gateway: Some(number % self.scale.gateways),
            duration: kill.duration.clamp(0.5, 2.0),
            ..kill
        }
    }
}
