//! Plays one case of the review: starts gateways with the command of the deploy file, and takes the place of clients,
//! endpoints and the platform's agent. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod agent;
mod cases;
mod client;
mod endpoint;
mod gateway;
mod http;
mod record;

use std::process::exit;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: review-case CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = record::Record::new();
    record.line(format!("case {case}, trouble {trouble}"));
    gateway::end_all_after(std::time::Duration::from_secs(112));
    let played =
        std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| cases::run(case, trouble, &record)));
    let result = played.unwrap_or_else(|_| Err("the stand-in panicked".to_owned()));
    let status = match &result {
        Ok(broken) if broken.is_empty() => 0,
        Ok(_) => 1,
        Err(_) => 2,
    };
    match &result {
        Ok(broken) if broken.is_empty() => record.line("RESULT: the rule held"),
        Ok(broken) => broken.iter().for_each(|what| record.line(format!("RESULT: broken: {what}"))),
        Err(problem) => record.line(format!("RESULT: the case couldn't run: {problem}")),
    }
    if let Err(error) = record.write(&format!("{folder}/record.txt")) {
        eprintln!("record.txt: {error}");
        exit(2);
    }
    exit(status);
}
