//! `cloverstile check`: validates settings, keys and certificates without starting a gateway.

use crate::exit_status::ExitStatus;
use clap::Args;
use cloverstile_as2_gateway::{capacity_warnings, load, LoadError};
use cloverstile_settings::Config;
use std::path::PathBuf;

/// Arguments of `check`.
#[derive(Args)]
pub struct Check {
    /// Settings (HCL).
    file: PathBuf,
    /// Prints JSON.
    #[arg(long)]
    json: bool,
}

impl Check {
    /// Loads the settings with their keys and certificates, and prints a summary or all problems.
    pub fn run(&self) -> ExitStatus {
        match load(&self.file) {
            Ok((config, _)) => {
                self.print_summary(&config);
                ExitStatus::Success
            }
            Err(error) => {
                self.print_error(&error);
                ExitStatus::Settings
            }
        }
    }

    fn print_summary(&self, config: &Config) {
        let warnings = capacity_warnings(config).unwrap_or_else(|error| vec![error.to_string()]);
        let endpoints: usize = config.partners.iter().map(|partner| partner.endpoints.len()).sum();
        if self.json {
            let summary = serde_json::json!({
                "ok": true, "classes": config.classes, "clients": config.clients.len(),
                "partners": config.partners.len(), "endpoints": endpoints, "warnings": warnings,
            });
            println!("{summary}");
            return;
        }
        let file = self.file.display();
        for warning in &warnings {
            eprintln!("{file}: warning: {warning}");
        }
        println!(
            "{file}: good: {} classes, {} clients, {} partners with {endpoints} endpoints",
            config.classes.len(),
            config.clients.len(),
            config.partners.len(),
        );
    }

    fn print_error(&self, error: &LoadError) {
        if self.json {
            let problems: Vec<String> = error.to_string().lines().map(str::to_owned).collect();
            println!("{}", serde_json::json!({ "ok": false, "problems": problems }));
        } else {
            eprintln!("{error}");
        }
    }
}
