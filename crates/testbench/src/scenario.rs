//! Reads fault scenarios for real gateways from HCL, and derives the test cluster, messages and fault schedule.

mod cluster;
mod error;
mod faults;
mod settings;
mod traffic;

pub use error::ScenarioError;
pub use faults::{FaultEvent, ScheduledFault};
pub use settings::{ClassSettings, FaultScenario, FaultSettings, PartnerSettings, RuleSettings};

/// Built-in scenarios: the name and HCL text of each.
pub const BUILT_IN_SCENARIOS: [(&str, &str); 4] = [
    ("payday", include_str!("../days/payday.hcl")),
    ("quiet", include_str!("../days/quiet.hcl")),
    ("zone", include_str!("../days/zone.hcl")),
    ("receipts", include_str!("../days/receipts.hcl")),
];

/// Parses a scenario and checks it for consistency.
///
/// # Errors
/// The text is not valid HCL, a value is missing or out of range, a fault refers to something unknown, or a keyed class
/// of group `all` meets a partner with several zones.
pub fn parse_scenario(text: &str) -> Result<FaultScenario, ScenarioError> {
    let scenario: FaultScenario =
        hcl::from_str(text).map_err(|error| ScenarioError::Invalid(error.to_string()))?;
    if scenario.messages == 0
        || scenario.rate <= 0.0
        || scenario.gateways == 0
        || scenario.classes.is_empty()
        || scenario.partners.is_empty()
    {
        let needed = "messages, rate, couriers, a class and a partner are needed";
        return Err(ScenarioError::Invalid(needed.into()));
    }
    scenario.fault_schedule()?;
    // The zones of a fake partner do not share their deduplication state. With group = "all", a message repeated in
    // another zone would take effect twice, and the invariant check would report a violation by the gateways.
    let shared = |class: &ClassSettings| class.effect == "keyed" && class.group == "all";
    if scenario.partners.values().any(PartnerSettings::has_several_zones)
        && scenario.classes.values().any(shared)
    {
        let reason =
            "a partner has several zones, which drop repeats apart: keyed classes need group = \"zone\"";
        return Err(ScenarioError::Invalid(reason.into()));
    }
    Ok(scenario)
}
