//! Capacity planning for the outage of one or two zones: whether the demand is carried with the configured spill
//! shares, what limits it, and which spill shares would carry the most priority weight. Performs no I/O.
//!
//! Each outage is modelled as a linear program. Its variables are the messages per second sent to each partner's first
//! available site. A variable is limited by the demand, the capacity of the site and the spill limits; the sum over all
//! partners is limited by the capacity of the zone. The objective is the priority weight carried per second. A second
//! program ignores the configured spill limits and so finds the spill shares that would carry the most.
#![forbid(unsafe_code)]

mod flow;
mod network;
mod outage;
mod report;

pub use network::{Network, PartnerDemand, Site, Zone};
pub use outage::{plan_outage, plan_outages};
pub use report::{Bottleneck, OutageReport, PartnerReport, PlanError};
