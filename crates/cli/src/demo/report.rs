//! Report of the demo, computed from the events that clients and partners recorded.

use cloverstile_fakes::record::{ObservedEvent, RecordLine, ReportedOutcome};
use comfy_table::{presets::UTF8_BORDERS_ONLY, Table};
use std::collections::{BTreeMap, HashMap};

/// Number of messages of a class by their last reported outcome.
#[derive(Default)]
struct OutcomeCounts {
    delivered: u32,
    refused: u32,
    failed: u32,
    unanswered: u32,
}

impl OutcomeCounts {
    /// Counts one message; without a final outcome it is unanswered.
    fn add(&mut self, outcome: Option<&ReportedOutcome>) {
        match outcome {
            Some(ReportedOutcome::Delivered) => self.delivered += 1,
            Some(ReportedOutcome::Rejected) => self.refused += 1,
            Some(ReportedOutcome::Failed) => self.failed += 1,
            _ => self.unanswered += 1,
        }
    }

    /// The counts in the order of the table's columns and of the JSON arrays.
    fn columns(&self) -> [u32; 4] {
        [self.delivered, self.refused, self.failed, self.unanswered]
    }
}

/// Outcomes of all messages of a run, by class.
pub struct Report {
    /// Number of messages submitted.
    messages: usize,
    outcomes: BTreeMap<String, OutcomeCounts>,
    /// Number of messages that took effect more than once at a partner.
    duplicates: usize,
}

impl Report {
    /// Counts the outcomes and effects in the recorded events. The last outcome reported for a message counts.
    pub fn from_record(events: &[RecordLine]) -> Report {
        let mut class_of = HashMap::new();
        let mut effect_counts: HashMap<&str, u32> = HashMap::new();
        let mut last_outcome = HashMap::new();
        for recorded in events {
            match &recorded.event {
                ObservedEvent::Submitted { id, class, .. } => {
                    class_of.insert(id.as_str(), class);
                }
                ObservedEvent::EffectApplied { id, .. } => *effect_counts.entry(id).or_default() += 1,
                ObservedEvent::OutcomeReceived { id, outcome, .. } => {
                    last_outcome.insert(id.as_str(), outcome);
                }
                _ => {}
            }
        }
        let mut outcomes: BTreeMap<String, OutcomeCounts> = BTreeMap::new();
        for (id, class) in &class_of {
            let counts = outcomes.entry((*class).clone()).or_default();
            counts.add(last_outcome.get(id).copied());
        }
        let duplicates = effect_counts.values().filter(|count| **count > 1).count();
        Report { messages: class_of.len(), outcomes, duplicates }
    }

    /// Number of messages without a final outcome.
    fn unanswered(&self) -> u32 {
        self.outcomes.values().map(|counts| counts.unanswered).sum()
    }

    /// Whether each message has a final outcome and none took effect twice.
    pub fn is_success(&self) -> bool {
        self.duplicates == 0 && self.unanswered() == 0
    }

    /// Prints the report as one line of JSON.
    pub fn print_json(&self) {
        let outcome_counts: BTreeMap<&String, [u32; 4]> =
            self.outcomes.iter().map(|(class, counts)| (class, counts.columns())).collect();
        let summary = serde_json::json!({
            "messages": self.messages, "answers": outcome_counts, "effects_twice": self.duplicates,
            "unanswered": self.unanswered(),
        });
        println!("{summary}");
    }

    /// Prints the report as a table with one row per class, followed by a summary.
    pub fn print_table(&self) {
        let mut table = Table::new();
        table.load_preset(UTF8_BORDERS_ONLY);
        table.set_header(["class", "delivered", "refused (safe)", "failed (may have run)", "no answer"]);
        for (class, counts) in &self.outcomes {
            let columns = counts.columns();
            table.add_row(std::iter::once(class.clone()).chain(columns.iter().map(u32::to_string)));
        }
        println!("{table}");
        println!("One partner accepted messages and did not respond for a while, another lost a fifth of its responses.");
        println!("Messages that took effect twice at a partner: {}", self.duplicates);
    }
}
