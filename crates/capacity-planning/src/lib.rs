//! Capacity planning for the outage of a zone, or of two: whether the demand is carried with the configured spill
//! shares, what limits it, and which shares would carry the most priority weight. Free of I/O.
//!
//! Each outage is a linear program. Its variables are the messages a second that go to each partner's first site that is
//! left: at most the demand, the site's capacity, what may spill, and, for all partners together, the capacity of the
//! zone. The sum of their priority weights is maximised. A second program without the configured spill limits shows what
//! other shares would carry.
#![forbid(unsafe_code)]

mod flow;
mod network;
mod outage;
mod report;

pub use network::{Network, PartnerDemand, Site, Zone};
pub use outage::{plan_outage, plan_outages};
pub use report::{Bottleneck, OutageReport, PartnerReport, PlanError};
