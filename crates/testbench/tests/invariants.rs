//! For each invariant, a record that violates it is reported, and the same record without the violation is not.

use cloverstile_as2_gateway::test_cluster::gateway_name;
use cloverstile_fakes::record::{ObservedEvent, RecordLine, ReportedOutcome, RequestEnd};
use cloverstile_testbench::invariants::{
    check_invariants, ClassRule, InvariantReport, InvariantSettings, PartnerRule,
};
use cloverstile_testbench::repeat_rule::RepeatRule;
use std::collections::HashMap;
use std::time::Duration;

const MS: u64 = 1000;

fn settings() -> InvariantSettings {
    let class = |repeats, same_zone_only, ordered| ClassRule { repeats, same_zone_only, ordered };
    let window = RepeatRule::Within(Duration::from_millis(2000));
    InvariantSettings {
        classes: HashMap::from([
            ("pay".into(), class(RepeatRule::Forbidden, false, false)),
            ("notice".into(), class(window, true, true)),
            ("status".into(), class(RepeatRule::Always, false, false)),
        ]),
        partners: HashMap::from([("bank".into(), PartnerRule { capacity: 20.0, zones: vec![0, 1] })]),
        answer_slack: 100 * MS,
        drain_grace: 500 * MS,
        order_settle: 400 * MS,
        initial_capacity_share: 0.2,
        warm_up: 4000 * MS,
        overload_multiple: 2.0,
        overload_window: 1000 * MS,
    }
}

#[derive(Default)]
struct Record {
    lines: Vec<RecordLine>,
    requests: u64,
}

impl Record {
    fn at(&mut self, ms: u64, event: ObservedEvent) -> &mut Self {
        self.lines.push(RecordLine { at: ms * MS, event });
        self
    }

    fn submit(&mut self, ms: u64, id: &str, class: &str) -> &mut Self {
        let key = (class == "notice").then(|| "employee".to_owned());
        let (id, class, partner) = (id.to_owned(), class.to_owned(), "bank".to_owned());
        let deadline = (ms + 5000) * MS;
        let gateway = 0;
        self.at(
            ms,
            ObservedEvent::Submitted { id, gateway, class, partner, key, deadline, after_loss: false },
        )
    }

    fn accepted(&mut self, ms: u64, id: &str) -> &mut Self {
        self.at(ms, ObservedEvent::Accepted { id: id.to_owned(), gateway: 0 })
    }

    /// A request that arrives at `from` and ends at `to`, in milliseconds.
    fn request(&mut self, from: u64, to: u64, id: &str, endpoint: usize, end: RequestEnd) -> &mut Self {
        self.requests += 1;
        let (id, gateway, partner) = (id.to_owned(), gateway_name(0), "bank".to_owned());
        let request = self.requests;
        self.at(from, ObservedEvent::RequestReceived { id, gateway, partner, endpoint, request });
        self.at(to, ObservedEvent::RequestEnded { request, end })
    }

    fn effect(&mut self, ms: u64, id: &str) -> &mut Self {
        self.at(ms, ObservedEvent::EffectApplied { id: id.to_owned(), partner: "bank".into() })
    }

    fn answer(&mut self, ms: u64, id: &str, outcome: ReportedOutcome) -> &mut Self {
        self.at(ms, ObservedEvent::OutcomeReceived { id: id.to_owned(), gateway: 0, outcome })
    }

    fn report(&self) -> InvariantReport {
        let mut lines = self.lines.clone();
        lines.sort_by_key(|line| line.at);
        check_invariants(&lines, &settings())
    }

    /// Names of the violated invariants, without consecutive duplicates.
    fn violated(&self) -> Vec<&'static str> {
        let report = self.report();
        let mut names: Vec<_> =
            report.violations.iter().map(|violation| violation.invariant.name()).collect();
        names.dedup();
        names
    }
}

/// A record without violations: a delivered payment, a notice that is repeated inside its retry window and group, and a
/// second notice of the same order key that waits for it.
fn valid_record() -> Record {
    let mut record = Record::default();
    record.submit(0, "p", "pay").request(10, 30, "p", 0, RequestEnd::Rejected(None));
    record.request(400, 430, "p", 1, RequestEnd::Processed).effect(425, "p").answer(
        440,
        "p",
        ReportedOutcome::Delivered,
    );
    record.submit(1000, "n1", "notice").accepted(1010, "n1");
    record.request(1020, 1300, "n1", 0, RequestEnd::ClientClosed).effect(1290, "n1");
    record.request(1500, 1600, "n1", 0, RequestEnd::Processed).answer(1620, "n1", ReportedOutcome::Delivered);
    record.submit(1100, "n2", "notice").accepted(1110, "n2");
    record.request(1800, 1850, "n2", 1, RequestEnd::Processed).effect(1840, "n2").answer(
        1860,
        "n2",
        ReportedOutcome::Delivered,
    );
    record
}

#[test]
fn valid_record_has_no_violation() {
    let report = valid_record().report();
    assert_eq!((report.violations, report.messages, report.delivered), (vec![], 3, 3));
}

#[test]
fn missing_or_late_outcome_is_a_violation() {
    let mut unanswered = valid_record();
    unanswered
        .lines
        .retain(|line| !matches!(&line.event, ObservedEvent::OutcomeReceived { id, .. } if id == "n1"));
    assert_eq!(unanswered.violated(), ["lost"]);
    let mut late = valid_record();
    late.submit(2000, "q", "pay").answer(7400, "q", ReportedOutcome::Rejected);
    assert_eq!((late.violated(), late.report().late_answers), (vec!["lost"], 1));
}

#[test]
fn changed_outcome_and_request_after_outcome_are_violations() {
    let mut changed = valid_record();
    changed.answer(2000, "p", ReportedOutcome::Failed);
    assert_eq!(changed.violated(), ["lost"]);
    let mut after = valid_record();
    after.request(700, 720, "p", 0, RequestEnd::Rejected(None));
    assert!(after.violated().contains(&"lost"));
    let mut unclear = valid_record();
    unclear.submit(2000, "q", "pay").answer(2100, "q", ReportedOutcome::Unclear);
    assert_eq!(unclear.violated(), ["lost"]);
}

#[test]
fn repeated_effect_and_forbidden_repeat_are_violations() {
    let mut twice = valid_record();
    twice.effect(1590, "n1");
    assert_eq!((twice.violated(), twice.report().repeated_effects), (vec!["twice"], 1));
    let mut again = Record::default();
    again.submit(0, "p", "pay").request(10, 100, "p", 0, RequestEnd::Broken);
    again.request(400, 430, "p", 0, RequestEnd::Processed).effect(425, "p").answer(
        440,
        "p",
        ReportedOutcome::Delivered,
    );
    assert_eq!(again.violated(), ["twice"]);
    let mut late = Record::default();
    late.submit(0, "n", "notice").request(10, 100, "n", 0, RequestEnd::ClientClosed);
    late.request(2100, 2130, "n", 0, RequestEnd::Processed).answer(2140, "n", ReportedOutcome::Delivered);
    assert_eq!(late.violated(), ["twice"]);
    let mut other_zone = Record::default();
    other_zone.submit(0, "n", "notice").request(10, 100, "n", 0, RequestEnd::ClientClosed);
    other_zone.request(900, 930, "n", 1, RequestEnd::Processed).answer(940, "n", ReportedOutcome::Delivered);
    assert_eq!(other_zone.violated(), ["twice"]);
    let mut concurrent = Record::default();
    concurrent.submit(0, "s", "status").request(10, 900, "s", 0, RequestEnd::Processed);
    concurrent.request(300, 330, "s", 1, RequestEnd::Processed).answer(940, "s", ReportedOutcome::Delivered);
    assert_eq!(concurrent.violated(), ["twice"]);
}

#[test]
fn rejection_of_a_message_that_may_have_run_is_a_violation() {
    let mut record = Record::default();
    record.submit(0, "p", "pay").request(10, 100, "p", 0, RequestEnd::ClientClosed).answer(
        500,
        "p",
        ReportedOutcome::Rejected,
    );
    assert_eq!(record.violated(), ["twice"]);
    let mut safe = Record::default();
    safe.submit(0, "s", "status").request(10, 100, "s", 0, RequestEnd::ClientClosed).answer(
        500,
        "s",
        ReportedOutcome::Rejected,
    );
    assert!(safe.violated().is_empty());
}

#[test]
fn request_to_a_draining_endpoint_is_a_violation() {
    let listed = |ready| ObservedEvent::EndpointListed { partner: "bank".into(), endpoint: 1, ready };
    let mut inside = valid_record();
    inside.at(1000, listed(false));
    inside.at(1700, listed(true));
    assert!(inside.violated().is_empty());
    let mut record = valid_record();
    record.at(1000, listed(false));
    assert_eq!(record.violated(), ["drain"]);
}

#[test]
fn request_before_the_end_of_retry_after_is_a_violation_for_any_message() {
    let mut record = valid_record();
    record.submit(1590, "s", "status").request(1595, 1610, "s", 0, RequestEnd::Rejected(Some(1000)));
    record.answer(4000, "s", ReportedOutcome::Rejected);
    assert_eq!(record.violated(), ["wait"]);
    // A gateway killed in between restarts as a new process that never received the `Retry-After`.
    record.at(1650, ObservedEvent::GatewayProcess { gateway: 0, running: false, killed: true });
    assert!(record.violated().is_empty());
}

#[test]
fn messages_of_a_key_out_of_order_or_too_soon_are_violations() {
    let mut record = Record::default();
    record.submit(0, "n1", "notice").accepted(10, "n1").submit(20, "n2", "notice").accepted(30, "n2");
    record.request(50, 80, "n2", 0, RequestEnd::Processed).answer(90, "n2", ReportedOutcome::Delivered);
    record.request(500, 530, "n1", 0, RequestEnd::Processed).answer(540, "n1", ReportedOutcome::Delivered);
    assert_eq!(record.violated(), ["order"]);
    let mut soon = Record::default();
    soon.submit(0, "n1", "notice").accepted(10, "n1").submit(20, "n2", "notice").accepted(30, "n2");
    soon.request(50, 500, "n1", 0, RequestEnd::ClientClosed).answer(510, "n1", ReportedOutcome::Failed);
    soon.request(600, 630, "n2", 0, RequestEnd::Processed).answer(640, "n2", ReportedOutcome::Delivered);
    assert_eq!(soon.violated(), ["order"]);
}

#[test]
fn overloading_a_recovering_partner_is_a_violation() {
    let outage = |began| ObservedEvent::Outage { partner: "bank".into(), zone: None, began };
    let recovery = |interval_ms: u64| {
        let mut record = Record::default();
        record.at(1000, outage(true)).at(2000, outage(false));
        record.submit(900, "first", "status").request(1500, 1900, "first", 0, RequestEnd::ClientClosed);
        record.answer(2500, "first", ReportedOutcome::Rejected);
        for number in 0..20 {
            let (id, at) = (format!("s{number}"), 2010 + number * interval_ms);
            record.submit(900, &id, "status").request(at, at + 5, &id, 0, RequestEnd::Processed);
            record.answer(at + 6, &id, ReportedOutcome::Delivered);
        }
        record
    };
    assert_eq!(recovery(20).violated(), ["fail-back"]);
    assert!(recovery(150).violated().is_empty());
}
