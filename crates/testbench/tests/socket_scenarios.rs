//! Small fault scenarios with real gateway processes over sockets, each for one failure mode. The record of every run is
//! checked against the invariants.

use cloverstile_fakes::record::{ObservedEvent, ReportedOutcome, RequestEnd};
use cloverstile_testbench::scenario::parse_scenario;
use cloverstile_testbench::scenario_run::{run_scenario, GatewayCommand, RunResult};
use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

/// Serializes the scenarios: on two cores, concurrent runs would slow each other down.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Runs a scenario, and asserts that every message is accounted for and no invariant is violated.
fn run_and_check(name: &str, text: &str) -> RunResult {
    let _guard = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let scenario = parse_scenario(text).unwrap();
    let folder = std::env::temp_dir().join(format!("cloverstile-test-{}-{name}", std::process::id()));
    let command =
        GatewayCommand { program: env!("CARGO_BIN_EXE_cloverstile-testbench").into(), log: "error".into() };
    let run = run_scenario(&scenario, 5, &folder, &command, &|_| {}).unwrap();
    let report = &run.report;
    assert!(report.violations.is_empty(), "{:?}", &report.violations[..report.violations.len().min(5)]);
    assert_eq!(
        report.answered + report.lost_with_gateway + report.never_accepted,
        report.messages,
        "{report:?}"
    );
    assert_eq!(report.messages, scenario.messages as usize);
    run
}

/// Time, endpoint and request number of each request, by message id.
fn requests(run: &RunResult) -> HashMap<&str, Vec<(u64, usize, u64)>> {
    let mut all: HashMap<&str, Vec<(u64, usize, u64)>> = HashMap::new();
    for line in &run.lines {
        if let ObservedEvent::RequestReceived { id, endpoint, request: number, .. } = &line.event {
            all.entry(id).or_default().push((line.at, *endpoint, *number));
        }
    }
    all
}

const UNSAFE: &str =
    "class \"salary-payment\" {\n share = 1\n effect = \"unsafe\"\n aim = 0.5\n deadline = 2.5\n}\n";
const KEYED: &str =
    "class \"pay-notice\" {\n share = 1\n effect = \"keyed\"\n window = 2\n aim = 0.5\n deadline = 3\n}\n";
const ORDERED: &str = "class \"pay-notice\" {\n share = 1\n effect = \"keyed\"\n window = 2\n in_order = true\n keys = 12\n aim = 0.5\n deadline = 5\n}\n";

fn scenario_text(messages: u32, rate: f64, rest: &str) -> String {
    format!("messages = {messages}\nrate = {rate}\ncouriers = 2\n{rest}")
}

#[test]
fn unsafe_messages_fail_at_a_partner_that_never_answers() {
    let fault = "partner \"bank\" {\n share = 1\n servers = 8\n}\n\
                   trouble \"x\" {\n kind = \"silent\"\n partner = \"bank\"\n at = 0.4\n lasts = 1.5\n}\n";
    let run = run_and_check("silent", &scenario_text(80, 60.0, &format!("{UNSAFE}{fault}")));
    assert!(run.report.failed > 0 && run.report.delivered > 0, "{:?}", run.report);
}

#[test]
fn unsafe_message_with_a_truncated_answer_fails_and_is_never_retried() {
    let fault = "partner \"bank\" {\n share = 1\n servers = 8\n}\n\
                   trouble \"x\" {\n kind = \"lose-answers\"\n size = 0.5\n partner = \"bank\"\n at = 0\n lasts = 9\n}\n";
    let run = run_and_check("lost", &scenario_text(60, 80.0, &format!("{UNSAFE}{fault}")));
    assert!(run.report.failed > 10, "{:?}", run.report);
    assert!(requests(&run).values().all(|attempts| attempts.len() == 1));
}

#[test]
fn keyed_messages_are_retried_inside_their_window_and_fail_outside_it() {
    let fault = |size: f64, lasts: f64| {
        format!(
            "partner \"bank\" {{\n share = 1\n servers = 8\n}}\n\
             trouble \"x\" {{\n kind = \"lose-answers\"\n size = {size}\n partner = \"bank\"\n at = 0\n lasts = {lasts}\n}}\n"
        )
    };
    let inside = run_and_check("inside", &scenario_text(60, 80.0, &format!("{KEYED}{}", fault(0.4, 9.0))));
    assert!(
        inside.report.requests > inside.report.messages && inside.report.delivered > 50,
        "{:?}",
        inside.report
    );
    let outside = run_and_check("outside", &scenario_text(40, 80.0, &format!("{KEYED}{}", fault(1.0, 20.0))));
    // Once the outage is detected, messages that were never sent are rejected; those that were sent have failed.
    assert_eq!(outside.report.delivered, 0, "{:?}", outside.report);
    assert!(outside.report.failed > 5, "{:?}", outside.report);
}

#[test]
fn keyed_message_stays_in_its_deduplication_group() {
    let class = KEYED.replace("effect", "group = \"zone\"\n effect");
    let fault = "partner \"bank\" {\n share = 1\n servers = 8\n zones = [0, 1]\n endpoints = 2\n}\n\
                   trouble \"x\" {\n kind = \"lose-answers\"\n size = 0.5\n partner = \"bank\"\n at = 0\n lasts = 9\n}\n";
    let run = run_and_check("group", &scenario_text(60, 80.0, &format!("{class}{fault}")));
    assert!(run.report.requests > run.report.messages, "{:?}", run.report);
    let first: std::collections::HashSet<usize> =
        requests(&run).values().map(|attempts| attempts[0].1).collect();
    assert_eq!(first.len(), 2, "both zones should be used for first attempts");
}

#[test]
fn repeated_late_or_invalid_receipts_change_no_outcome() {
    let partner = "partner \"bank\" {\n share = 1\n servers = 8\n deferred = true\n}\n\
                   partner \"other\" {\n share = 0.1\n servers = 8\n}\n";
    for (kind, size, delivered) in [
        ("twice", 1.0, true),
        ("late-receipts", 3.0, false),
        ("wrong-mic", 1.0, false),
        ("wrong-signer", 1.0, false),
    ] {
        let fault = format!(
            "trouble \"x\" {{\n kind = \"{kind}\"\n size = {size}\n partner = \"bank\"\n at = 0\n lasts = 20\n}}\n"
        );
        let run = run_and_check(kind, &scenario_text(40, 60.0, &format!("{UNSAFE}{partner}{fault}")));
        let to_bank: Vec<&str> = run
            .lines
            .iter()
            .filter_map(|line| match &line.event {
                ObservedEvent::Submitted { id, partner, .. } if partner == "bank" => Some(id.as_str()),
                _ => None,
            })
            .collect();
        for line in &run.lines {
            if let ObservedEvent::OutcomeReceived { id, outcome, .. } = &line.event {
                if to_bank.contains(&id.as_str()) {
                    assert_eq!(*outcome == ReportedOutcome::Delivered, delivered, "{kind}: {id} {outcome:?}");
                }
            }
        }
    }
}

#[test]
fn resubmission_after_a_dropped_connection_gets_the_one_outcome() {
    let rest = "drops = 1\npartner \"bank\" {\n share = 1\n servers = 8\n}\n";
    let run = run_and_check("drops", &scenario_text(60, 80.0, &format!("{rest}{UNSAFE}")));
    assert_eq!((run.report.delivered, run.report.requests), (60, 60), "{:?}", run.report);
}

#[test]
fn certificate_mismatch_fails_every_message_without_effect() {
    let rest = "partner \"bank\" {\n share = 1\n servers = 8\n encrypted = true\n mismatched = true\n}\n";
    // Errors start an outage with one probe request at a time. With a short deadline, the last of the twenty messages would
    // be rejected without an attempt on a busy machine.
    let long_deadline = UNSAFE.replace("deadline = 2.5", "deadline = 12");
    let run = run_and_check("mismatch", &scenario_text(20, 60.0, &format!("{long_deadline}{rest}")));
    assert_eq!(run.report.failed, 20, "{:?}", run.report);
    assert!(!run.lines.iter().any(|line| matches!(line.event, ObservedEvent::EffectApplied { .. })));
}

#[test]
fn draining_endpoint_completes_requests_in_flight_and_gets_no_new_ones() {
    let rest = "partner \"bank\" {\n share = 1\n servers = 40\n service_ms = [250, 50]\n}\n\
                trouble \"x\" {\n kind = \"drain\"\n partner = \"bank\"\n endpoint = 1\n at = 0.6\n lasts = 3\n}\n";
    // With worker threads: the reload signal would end the gateway if a worker thread received it.
    let run = run_and_check("drain", &scenario_text(120, 60.0, &format!("workers = 2\n{UNSAFE}{rest}")));
    let drained = run.lines.iter().find_map(|line| match line.event {
        ObservedEvent::EndpointListed { ready: false, .. } => Some(line.at),
        _ => None,
    });
    let drained = drained.expect("the endpoint is listed as draining");
    let requests = requests(&run);
    let ended = |number: u64| {
        run.lines.iter().find_map(|line| match line.event {
            ObservedEvent::RequestEnded { request, end } if request == number => Some((line.at, end)),
            _ => None,
        })
    };
    let in_flight: Vec<(u64, RequestEnd)> = requests
        .values()
        .flatten()
        .filter(|(at, endpoint, _)| *endpoint == 1 && *at < drained)
        .filter_map(|(.., number)| ended(*number))
        .filter(|(at, _)| *at > drained)
        .collect();
    assert!(
        !in_flight.is_empty() && in_flight.iter().all(|(_, end)| *end == RequestEnd::Processed),
        "{in_flight:?}"
    );
}

#[test]
fn retry_after_is_honoured_for_every_message() {
    let rest = "partner \"bank\" {\n share = 1\n servers = 20\n limit = 15\n tells_wait = true\n}\n";
    let run = run_and_check("wait", &scenario_text(150, 60.0, &format!("{KEYED}{rest}")));
    let waits = run.lines.iter().filter(|line| {
        matches!(line.event, ObservedEvent::RequestEnded { end: RequestEnd::Rejected(Some(_)), .. })
    });
    assert!(waits.count() > 0);
}

#[test]
fn ordered_messages_wait_behind_a_request_of_unknown_outcome() {
    let rest = "partner \"hr\" {\n share = 1\n servers = 8\n}\n\
                trouble \"x\" {\n kind = \"lose-answers\"\n size = 0.3\n partner = \"hr\"\n at = 0\n lasts = 9\n}\n";
    let run = run_and_check("order", &scenario_text(80, 60.0, &format!("{ORDERED}{rest}")));
    assert!(run.report.requests > run.report.messages, "{:?}", run.report);
}

#[test]
fn graceful_shutdown_at_full_load_answers_all_held_messages() {
    let rest = "partner \"bank\" {\n share = 1\n servers = 30\n service_ms = [100, 100]\n}\n\
                trouble \"x\" {\n kind = \"stop\"\n courier = 1\n at = 0.8\n lasts = 5\n}\n";
    let run = run_and_check("stop", &scenario_text(200, 100.0, &format!("{UNSAFE}{rest}")));
    let stopped = run.lines.iter().any(|line| {
        matches!(line.event, ObservedEvent::GatewayProcess { gateway: 1, running: false, killed: false })
    });
    assert!(stopped, "the gateway did not exit after the graceful shutdown");
    assert_eq!(run.report.failed, 0, "{:?}", run.report);
}

#[test]
fn scaled_down_payday_violates_no_invariant() {
    let payday = cloverstile_testbench::scenario::BUILT_IN_SCENARIOS[0].1;
    let text = payday.replace("messages = 5000", "messages = 1500").replace("rate     = 380", "rate = 150");
    let run = run_and_check("payday", &text);
    assert!(run.report.delivered > 1300, "{:?}", run.report);
}

#[test]
fn lost_zone_spills_its_share_in_every_second_and_recovers_gradually() {
    let zone = cloverstile_testbench::scenario::BUILT_IN_SCENARIOS
        .iter()
        .find(|(name, _)| *name == "zone")
        .unwrap()
        .1;
    let text = zone.replace("messages = 3000", "messages = 2000");
    let run = run_and_check("zone", &text);
    let requests = requests(&run);
    let answers: HashMap<&str, u64> = run
        .lines
        .iter()
        .filter_map(|line| match &line.event {
            ObservedEvent::OutcomeReceived { id, .. } => Some((id.as_str(), line.at)),
            _ => None,
        })
        .collect();
    // For each second: messages submitted or still waiting for the bank, and messages that first reached its second zone.
    let mut seconds: HashMap<u64, (f64, f64)> = HashMap::new();
    let mut seen = std::collections::HashSet::new();
    for line in &run.lines {
        let ObservedEvent::Submitted { id, .. } = &line.event else { continue };
        if seen.insert(id.as_str()) {
            let attempts = requests.get(id.as_str()).map_or(&[][..], Vec::as_slice);
            let spilled_at = attempts.iter().find(|(_, endpoint, _)| *endpoint >= 2).map(|(at, ..)| *at);
            let finished_at = spilled_at.or(answers.get(id.as_str()).copied()).unwrap_or(line.at);
            for second in line.at / 1_000_000..=finished_at / 1_000_000 {
                seconds.entry(second).or_default().0 += 1.0;
            }
            if let Some(at) = spilled_at {
                seconds.entry(at / 1_000_000).or_default().1 += 1.0;
            }
        }
    }
    // Only whole messages spill, so each of the three gateways may exceed its share by one.
    for (second, (all, spills)) in &seconds {
        assert!(*spills <= all * 0.3 + 3.0, "second {second}: {spills} of {all}");
    }
    assert!(seconds.values().any(|(all, spills)| *spills > all * 0.2), "{seconds:?}");
    assert!(run.report.delivered > 1950, "{:?}", run.report);
}

#[test]
fn eight_gateways_together_never_overload_a_recovering_zone() {
    // A small zone recovers with reduced capacity during a surge, while every gateway has messages waiting for it.
    let text = "messages = 1500\nrate = 90\ncouriers = 8\n\
        class \"salary-payment\" {\n share = 0.5\n effect = \"unsafe\"\n aim = 1\n deadline = 8\n worth = 3\n}\n\
        class \"pay-notice\" {\n share = 0.5\n effect = \"keyed\"\n group = \"zone\"\n window = 6\n in_order = true\n aim = 1\n deadline = 8\n}\n\
        partner \"bank\" {\n share = 1\n servers = 3\n endpoints = 4\n zones = [0, 0, 1, 1]\n spill_share = 0.4\n}\n\
        trouble \"gone\" {\n kind = \"refuse\"\n partner = \"bank\"\n zone = 0\n at = 3\n lasts = 4\n}\n\
        trouble \"surge\" {\n kind = \"burst\"\n at = 6\n lasts = 5\n size = 1.4\n}\n";
    let run = run_and_check("return", text);
    let windows =
        cloverstile_testbench::recovery_windows::recovery_windows(&parse_scenario(text).unwrap(), &run.lines);
    assert!(windows.len() >= 70, "{} windows", windows.len());
    let received: u32 = windows.iter().map(|window| window.received).sum();
    assert!(received > 200, "{received} requests at the recovering zone");
    let over: Vec<_> = windows.iter().filter(|window| window.exceeds_bound()).collect();
    assert!(over.is_empty(), "{over:?}");
}
