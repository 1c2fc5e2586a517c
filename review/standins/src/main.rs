//! The cases of the independent review. Each starts the project's own program as `run` of the deploy file has it, with
//! stand-ins for the rest of the platform on loopback, and ends with 0 if the rule held, 1 if it was broken and 2 if the
//! case could not run.

mod agent;
mod client;
mod courier;
mod failback;
mod http;
mod partner;
mod record;
mod restart;
mod settings;
mod stale_list;

use record::Record;
use std::process::ExitCode;
use std::time::Duration;

/// No case runs longer than this.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// What a case found.
pub enum Verdict {
    Held,
    Broken(String),
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let case = std::env::args().nth(1).unwrap_or_default();
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create("record.txt".as_ref()) else { return ExitCode::from(2) };
    std::thread::spawn(|| {
        std::thread::sleep(TIME_LIMIT);
        courier::kill_all();
        std::process::exit(2);
    });
    record.line(&format!("case {case}, {} the disruption", if has_trouble { "with" } else { "without" }));
    let verdict = match case.as_str() {
        "failback" => failback::run(&record, has_trouble),
        "restart" => restart::run(&record, has_trouble),
        "stale-list" => stale_list::run(&record, has_trouble),
        _ => Ok(Verdict::CouldNotRun(format!("no case {case}"))),
    };
    let verdict = verdict.unwrap_or_else(|error| Verdict::CouldNotRun(error.to_string()));
    courier::kill_all();
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken(text) => (format!("the rule was broken: {text}"), 1),
        Verdict::CouldNotRun(text) => (format!("the case could not run: {text}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
