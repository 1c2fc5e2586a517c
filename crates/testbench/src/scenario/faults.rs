//! Converts the fault blocks of a scenario to typed events.

use super::error::ScenarioError;
use super::settings::{FaultScenario, FaultSettings};
use cloverstile_fakes::model::Fault;
use cloverstile_fakes::partner::ReceiptFault;

/// The effect of a fault. Partners are numbered in the order of their names.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultEvent {
    /// A partner fails, in one zone or in all.
    Partner {
        /// Number of the affected partner.
        partner: usize,
        /// The way in which the partner fails.
        fault: Fault,
        /// The zone that fails; `None` for all zones.
        zone: Option<usize>,
    },
    /// A partner sends faulty receipts.
    Receipts {
        /// Number of the affected partner.
        partner: usize,
        /// The defect of the receipts.
        fault: ReceiptFault,
    },
    /// An endpoint is listed as draining, and as ready again when the fault ends.
    Drain {
        /// Number of the affected partner.
        partner: usize,
        /// Number of the endpoint within the partner.
        endpoint: usize,
    },
    /// A gateway process is killed, and started again when the fault ends.
    Kill {
        /// Number of the affected gateway.
        gateway: usize,
    },
    /// A gateway is shut down gracefully, and started again when the fault ends.
    Stop {
        /// Number of the affected gateway.
        gateway: usize,
    },
    /// The message rate is multiplied.
    Burst {
        /// Factor by which the rate is multiplied.
        factor: f64,
    },
}

/// A fault event with its schedule, in seconds from the start of the traffic.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledFault {
    /// Earliest time at which the fault begins.
    pub at: f64,
    /// Length of the fault.
    pub duration: f64,
    /// Upper bound of the random delay that is added to `at`.
    pub jitter: f64,
    /// The effect of the fault.
    pub event: FaultEvent,
}

impl FaultScenario {
    /// The typed events of all faults, in the order of the fault names.
    ///
    /// # Errors
    /// A fault has an unknown kind, or names a partner or gateway that does not exist.
    pub fn fault_schedule(&self) -> Result<Vec<ScheduledFault>, ScenarioError> {
        let schedule = |(name, fault): (&String, &FaultSettings)| {
            let event = self
                .fault_event(fault)
                .map_err(|reason| ScenarioError::InvalidFault { fault: name.clone(), reason })?;
            Ok(ScheduledFault { at: fault.at, duration: fault.duration, jitter: fault.jitter, event })
        };
        self.faults.iter().map(schedule).collect()
    }

    fn fault_event(&self, fault: &FaultSettings) -> Result<FaultEvent, String> {
        let receipts = |kind: ReceiptFault| -> Result<FaultEvent, String> {
            Ok(FaultEvent::Receipts { partner: self.affected_partner(fault)?, fault: kind })
        };
        match fault.kind.as_str() {
            "wrong-mic" => receipts(ReceiptFault::WrongMic),
            "wrong-signer" => receipts(ReceiptFault::WrongSigner),
            "twice" => receipts(ReceiptFault::Duplicate),
            "late-receipts" => receipts(ReceiptFault::Delay((fault.size * 1000.0) as u64)),
            "drain" => {
                Ok(FaultEvent::Drain { partner: self.affected_partner(fault)?, endpoint: fault.endpoint })
            }
            "kill" => Ok(FaultEvent::Kill { gateway: self.affected_gateway(fault)? }),
            "stop" => Ok(FaultEvent::Stop { gateway: self.affected_gateway(fault)? }),
            "burst" => Ok(FaultEvent::Burst { factor: fault.size }),
            other => {
                let kind = Fault::from_name(other, fault.size)
                    .ok_or_else(|| format!("has the unknown kind '{other}'"))?;
                let partner = self.affected_partner(fault)?;
                Ok(FaultEvent::Partner { partner, fault: kind, zone: fault.zone })
            }
        }
    }

    fn affected_partner(&self, fault: &FaultSettings) -> Result<usize, String> {
        let name = fault.partner.as_ref().ok_or("names no partner")?;
        let position = self.partners.keys().position(|partner| partner == name);
        position.ok_or_else(|| "names an unknown partner".into())
    }

    fn affected_gateway(&self, fault: &FaultSettings) -> Result<usize, String> {
        let existing = fault.gateway.filter(|gateway| *gateway < self.gateways);
        existing.ok_or_else(|| "names no gateway that exists".into())
    }
}
