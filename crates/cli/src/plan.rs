//! `cloverstile plan`: computes whether the capacity suffices without outages and after the loss of zones.

use crate::exit_status::ExitStatus;
use clap::Args;
use cloverstile_as2_gateway::{capacity_network, load_config};
use cloverstile_capacity_planning::{plan_outages, Bottleneck, OutageReport};
use comfy_table::{presets::UTF8_BORDERS_ONLY, Table};
use std::path::PathBuf;

/// Arguments of `plan`.
#[derive(Args)]
pub struct Plan {
    /// Settings (HCL); partners with `wanted` are planned for. Keys are not read.
    file: PathBuf,
    /// Also plans for the loss of any two zones.
    #[arg(long = "two")]
    plan_two_zone_losses: bool,
    /// Demand for a partner in messages per second, in place of the settings' `wanted`.
    #[arg(long = "wanted", value_name = "PARTNER=RATE", value_parser = parse_demand)]
    demand_overrides: Vec<Demand>,
    /// Prints one line of JSON for each loss.
    #[arg(long)]
    json: bool,
}

/// Demand for a partner, given on the command line.
#[derive(Clone)]
struct Demand {
    /// Name of the partner in the settings.
    partner: String,
    /// Messages per second.
    rate: f64,
}

/// Parses `PARTNER=RATE`, with a rate in messages per second.
fn parse_demand(text: &str) -> Result<Demand, String> {
    let (name, rate) = text.split_once('=').ok_or("write it as PARTNER=RATE, such as bank=120")?;
    let rate: f64 = rate.parse().map_err(|_| format!("'{rate}' is no number"))?;
    if rate.is_finite() && rate >= 0.0 {
        Ok(Demand { partner: name.to_owned(), rate })
    } else {
        Err(format!("'{rate}' must be finite and not below zero"))
    }
}

impl Plan {
    /// Prints the plan; the exit status tells whether the capacity suffices in all planned scenarios.
    pub fn run(&self) -> ExitStatus {
        match self.compute() {
            Ok(true) => ExitStatus::Success,
            Ok(false) => ExitStatus::CapacityExceeded,
            Err(reason) => {
                eprintln!("{reason}");
                ExitStatus::Settings
            }
        }
    }

    /// Prints one report for each planned scenario; true if the capacity suffices in all of them.
    fn compute(&self) -> Result<bool, String> {
        let mut config = load_config(&self.file).map_err(|error| error.to_string())?;
        for Demand { partner: name, rate } in &self.demand_overrides {
            let names: Vec<String> = config.partners.iter().map(|partner| partner.name.clone()).collect();
            let partner = config.partners.iter_mut().find(|partner| partner.name == *name);
            let partner = partner.ok_or_else(|| {
                format!("--wanted: there is no partner '{name}'; one of: {}", names.join(", "))
            })?;
            partner.peak_demand = Some(*rate);
        }
        let network = capacity_network(&config);
        if network.partners.is_empty() {
            let file = self.file.display();
            return Err(format!(
                "{file}: no partner says what is wanted of it; add wanted = 120 or --wanted"
            ));
        }
        let outage_reports =
            plan_outages(&network, self.plan_two_zone_losses).map_err(|error| error.to_string())?;
        for outage in &outage_reports {
            if self.json {
                println!("{}", serde_json::json!(outage));
            } else {
                println!("{}\n", describe_outage(outage));
            }
        }
        Ok(outage_reports.iter().all(|outage| outage.fully_carried))
    }
}

/// A sentence on the scenario and a table of its partners.
fn describe_outage(outage: &OutageReport) -> String {
    let zones = outage.zones.join(" and ");
    let scenario = if zones.is_empty() { "On a usual day".to_owned() } else { format!("Without {zones}") };
    let result = if outage.fully_carried { "all is carried" } else { "not all is carried" };
    let mut text = format!(
        "{scenario}, {result}: worth {:.0} of {:.0} a second ({:.0} with the best shares).",
        outage.carried_weight, outage.offered_weight, outage.best_carried_weight
    );
    if !outage.partners.is_empty() {
        let mut table = Table::new();
        table.load_preset(UTF8_BORDERS_ONLY);
        table.set_header([
            "partner",
            "wanted/s",
            "carried/s",
            "what binds",
            "best spill_share",
            "carried/s then",
        ]);
        for partner in &outage.partners {
            table.add_row([
                partner.partner.clone(),
                format!("{:.1}", partner.demand),
                format!("{:.1}", partner.carried),
                describe_bottleneck(&partner.bottleneck),
                partner.best_share.map_or("-".to_owned(), |share| format!("{share:.2}")),
                format!("{:.1}", partner.best_carried),
            ]);
        }
        text.push_str(&format!("\n{table}"));
    }
    text
}

/// What limits the carried rate of a partner, as a cell of the table.
fn describe_bottleneck(bottleneck: &Bottleneck) -> String {
    match bottleneck {
        Bottleneck::None => "-".into(),
        Bottleneck::NoSite => "no site is left".into(),
        Bottleneck::SpillShare => "spill_share".into(),
        Bottleneck::SpillRate => "spill_rate".into(),
        Bottleneck::Site(zone) => format!("its site in {zone}"),
        Bottleneck::Zone(zone) => format!("what may go into {zone}"),
    }
}
