//! `cloverstile plan`: which losses can be carried.

use crate::exit;
use clap::Args;
use cloverstile_as2_gateway::{load_config, network};
use cloverstile_capacity_planning::{plan_outages, Bottleneck, OutageReport};
use comfy_table::{presets::UTF8_BORDERS_ONLY, Table};
use std::path::PathBuf;

/// What is reckoned.
#[derive(Args)]
pub struct Plan {
    /// Settings (HCL); partners with `wanted` are reckoned with. Keys are not read.
    file: PathBuf,
    /// Also the loss of any two zones.
    #[arg(long)]
    two: bool,
    /// Messages a second wanted of a partner, in place of what the settings say.
    #[arg(long, value_name = "PARTNER=RATE", value_parser = wanted)]
    wanted: Vec<(String, f64)>,
    /// One line of JSON for each loss.
    #[arg(long)]
    json: bool,
}

fn wanted(text: &str) -> Result<(String, f64), String> {
    let (name, rate) = text.split_once('=').ok_or("write it as PARTNER=RATE, such as bank=120")?;
    let rate: f64 = rate.parse().map_err(|_| format!("'{rate}' is no number"))?;
    match rate.is_finite() && rate >= 0.0 {
        true => Ok((name.to_owned(), rate)),
        false => Err(format!("'{rate}' must be finite and not below zero")),
    }
}

impl Plan {
    /// Runs the subcommand.
    pub fn run(&self) -> u8 {
        match self.reckon() {
            Ok(true) => exit::OK,
            Ok(false) => exit::NOT_CARRIED,
            Err(why) => {
                eprintln!("{why}");
                exit::SETTINGS
            }
        }
    }

    fn reckon(&self) -> Result<bool, String> {
        let mut config = load_config(&self.file).map_err(|error| error.to_string())?;
        for (name, rate) in &self.wanted {
            let names: Vec<String> = config.partners.iter().map(|partner| partner.name.clone()).collect();
            let partner = config.partners.iter_mut().find(|partner| partner.name == *name);
            let partner = partner.ok_or_else(|| {
                format!("--wanted: there is no partner '{name}'; one of: {}", names.join(", "))
            })?;
            partner.wanted = Some(*rate);
        }
        let network = network(&config);
        if network.partners.is_empty() {
            let file = self.file.display();
            return Err(format!(
                "{file}: no partner says what is wanted of it; add wanted = 120 or --wanted"
            ));
        }
        let all = plan_outages(&network, self.two).map_err(|error| error.to_string())?;
        for loss in &all {
            if self.json {
                println!("{}", serde_json::json!(loss));
            } else {
                println!("{}\n", told(loss));
            }
        }
        Ok(all.iter().all(|loss| loss.fully_carried))
    }
}

fn told(loss: &OutageReport) -> String {
    let zones = loss.zones.join(" and ");
    let what = if zones.is_empty() { "On a usual day".to_owned() } else { format!("Without {zones}") };
    let verdict = if loss.fully_carried { "all is carried" } else { "not all is carried" };
    let mut text = format!(
        "{what}, {verdict}: worth {:.0} of {:.0} a second ({:.0} with the best shares).",
        loss.carried_weight, loss.offered_weight, loss.best_carried_weight
    );
    if !loss.partners.is_empty() {
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
        for partner in &loss.partners {
            table.add_row([
                partner.partner.clone(),
                format!("{:.1}", partner.demand),
                format!("{:.1}", partner.carried),
                binds(&partner.bottleneck),
                partner.best_share.map_or("-".to_owned(), |share| format!("{share:.2}")),
                format!("{:.1}", partner.best_carried),
            ]);
        }
        text.push_str(&format!("\n{table}"));
    }
    text
}

fn binds(binds: &Bottleneck) -> String {
    match binds {
        Bottleneck::None => "-".into(),
        Bottleneck::NoSite => "no site is left".into(),
        Bottleneck::SpillShare => "spill_share".into(),
        Bottleneck::SpillRate => "spill_rate".into(),
        Bottleneck::Site(zone) => format!("its site in {zone}"),
        Bottleneck::Zone(zone) => format!("what may go into {zone}"),
    }
}
