//! The subcommand `scale`: simulation speed, memory and cost per policy turn, by number of endpoints.

use crate::simulate::load_scenario;
use clap::Args;
use cloverstile_simulator::{simulate_failover, FailoverScenario, SpilloverPolicy};
use cloverstile_testbench::html_report::SCALE_FILE;
use cloverstile_testbench::table::Table as RecordTable;
use comfy_table::{presets::UTF8_BORDERS_ONLY, Table};
use std::path::PathBuf;
use std::time::Instant;

/// The built-in scenario that is scaled to each size.
const SCENARIO: &str = "many";
const HEADINGS: [&str; 5] =
    ["endpoints", "gateways", "messages/s of a core", "microseconds a turn", "most memory, MiB"];

/// What is measured.
#[derive(Args)]
pub struct ScaleCommand {
    /// Numbers of endpoints.
    #[arg(long, value_delimiter = ',', default_values_t = [100, 300, 1000, 3000, 10_000])]
    endpoints: Vec<usize>,
    /// Seconds of virtual time.
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// Folder of a record, for the report's plot.
    #[arg(long)]
    out: Option<PathBuf>,
}

/// Measured values for one number of endpoints.
struct ScaleMeasurement {
    endpoints: usize,
    gateways: usize,
    messages_per_second: f64,
    us_per_turn: f64,
    peak_memory_mib: f64,
}

/// Peak resident memory of this process so far, in MiB; NaN if it can't be read.
fn peak_memory_mib() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kib = line.and_then(|line| line.trim().trim_end_matches("kB").trim().parse::<f64>().ok());
    kib.unwrap_or(f64::NAN) / 1024.0
}

/// The scenario with about this number of endpoints, by more or fewer copies of its destinations, at the same load.
fn scaled_scenario(endpoints: usize) -> Result<FailoverScenario, String> {
    let mut scenario = load_scenario(SCENARIO)?;
    let factor = endpoints as f64 / scenario.endpoint_count() as f64;
    for destination in scenario.destinations.values_mut() {
        destination.copies = ((destination.copies as f64 * factor).round() as usize).max(1);
    }
    Ok(scenario)
}

impl ScaleCommand {
    /// Measures each size. Starts with the smallest, since peak memory never falls within a process.
    pub fn measure(&self) -> Result<bool, String> {
        let mut sizes = self.endpoints.clone();
        sizes.sort_unstable();
        let mut record = RecordTable::default();
        let mut table = Table::new();
        table.load_preset(UTF8_BORDERS_ONLY);
        table.set_header(HEADINGS);
        for size in sizes {
            let measurement = self.measure_size(size)?;
            table.add_row(measurement.row());
            measurement.push_to(&mut record);
        }
        println!("{table}");
        if let Some(out) = &self.out {
            std::fs::create_dir_all(out).map_err(|error| format!("{}: {error}", out.display()))?;
            record.write(&out.join(SCALE_FILE)).map_err(|error| error.to_string())?;
        }
        Ok(true)
    }

    fn measure_size(&self, endpoints: usize) -> Result<ScaleMeasurement, String> {
        let mut scenario = scaled_scenario(endpoints)?;
        scenario.seconds = self.seconds;
        let started = Instant::now();
        let run = simulate_failover(&scenario, SpilloverPolicy::Planner, 1);
        let seconds = started.elapsed().as_secs_f64();
        Ok(ScaleMeasurement {
            endpoints: scenario.endpoint_count(),
            gateways: scenario.instances,
            messages_per_second: run.messages.len() as f64 / seconds,
            us_per_turn: seconds * 1e6 / run.advance_calls.max(1) as f64,
            peak_memory_mib: peak_memory_mib(),
        })
    }
}

impl ScaleMeasurement {
    fn row(&self) -> [String; 5] {
        [
            self.endpoints.to_string(),
            self.gateways.to_string(),
            format!("{:.0}", self.messages_per_second),
            format!("{:.1}", self.us_per_turn),
            format!("{:.0}", self.peak_memory_mib),
        ]
    }

    fn push_to(&self, record: &mut RecordTable) {
        let numbers = [
            ("endpoints", self.endpoints as f64),
            ("messages_a_second", self.messages_per_second),
            ("us_a_turn", self.us_per_turn),
            ("memory_mib", self.peak_memory_mib),
        ];
        record.push_row(&[], &numbers);
    }
}
