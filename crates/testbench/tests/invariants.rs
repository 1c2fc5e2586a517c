//! Each rule is broken in a doctored record, and found out; the record without the doctoring is clean.

use cloverstile_fakes::record::{End, Line, Seen, Told};
use cloverstile_testbench::invariants::{judge, ClassRule, Figures, InvariantReport, PartnerRule};
use std::collections::HashMap;

const MS: u64 = 1000;

fn figures() -> Figures {
    let class = |safe, window: Option<u64>, by_zone, in_order| ClassRule { safe, window, by_zone, in_order };
    Figures {
        classes: HashMap::from([
            ("pay".into(), class(false, None, false, false)),
            ("notice".into(), class(false, Some(2000 * MS), true, true)),
            ("status".into(), class(true, None, false, false)),
        ]),
        partners: HashMap::from([("bank".into(), PartnerRule { capacity: 20.0, zones: vec![0, 1] })]),
        answer_slack: 100 * MS,
        drain_grace: 500 * MS,
        order_settle: 400 * MS,
        cold_from: 0.2,
        cold: 4000 * MS,
        tip_multiple: 2.0,
        fall: 1000 * MS,
    }
}

#[derive(Default)]
struct Record {
    lines: Vec<Line>,
    calls: u64,
}

impl Record {
    fn at(&mut self, ms: u64, seen: Seen) -> &mut Self {
        self.lines.push(Line { at: ms * MS, seen });
        self
    }

    fn hand_in(&mut self, ms: u64, id: &str, class: &str) -> &mut Self {
        let key = (class == "notice").then(|| "employee".to_owned());
        let (id, class, partner, courier) = (id.to_owned(), class.to_owned(), "bank".to_owned(), 0);
        let deadline = (ms + 5000) * MS;
        self.at(ms, Seen::HandIn { id, courier, class, partner, key, deadline, after_loss: false })
    }

    fn taken(&mut self, ms: u64, id: &str) -> &mut Self {
        self.at(ms, Seen::Taken { id: id.to_owned(), courier: 0 })
    }

    /// A call from begin to end.
    fn call(&mut self, from: u64, to: u64, id: &str, endpoint: usize, how: End) -> &mut Self {
        self.calls += 1;
        let (courier, partner, call) = ("courier-0".to_owned(), "bank".to_owned(), self.calls);
        self.at(from, Seen::Request { id: id.to_owned(), courier, partner, endpoint, call });
        self.at(to, Seen::End { call, how })
    }

    fn effect(&mut self, ms: u64, id: &str) -> &mut Self {
        self.at(ms, Seen::Effect { id: id.to_owned(), partner: "bank".into() })
    }

    fn answer(&mut self, ms: u64, id: &str, told: Told) -> &mut Self {
        self.at(ms, Seen::Answer { id: id.to_owned(), courier: 0, told })
    }

    fn judged(&self) -> InvariantReport {
        let mut lines = self.lines.clone();
        lines.sort_by_key(|line| line.at);
        judge(&lines, &figures())
    }

    /// The rules found broken, each once.
    fn broken(&self) -> Vec<&'static str> {
        let mut rules: Vec<_> = self.judged().broken.iter().map(|broken| broken.rule).collect();
        rules.dedup();
        rules
    }
}

/// A payment delivered, a notice repeated inside window and group, a second notice in turn.
fn good() -> Record {
    let mut record = Record::default();
    record.hand_in(0, "p", "pay").call(10, 30, "p", 0, End::Refused(None));
    record.call(400, 430, "p", 1, End::Processed).effect(425, "p").answer(440, "p", Told::Delivered);
    record.hand_in(1000, "n1", "notice").taken(1010, "n1");
    record.call(1020, 1300, "n1", 0, End::Left).effect(1290, "n1");
    record.call(1500, 1600, "n1", 0, End::Processed).answer(1620, "n1", Told::Delivered);
    record.hand_in(1100, "n2", "notice").taken(1110, "n2");
    record.call(1800, 1850, "n2", 1, End::Processed).effect(1840, "n2").answer(1860, "n2", Told::Delivered);
    record
}

#[test]
fn a_record_that_keeps_the_rules_is_clean() {
    let verdict = good().judged();
    assert_eq!((verdict.broken, verdict.messages, verdict.delivered), (vec![], 3, 3));
}

#[test]
fn a_message_without_an_answer_or_with_a_late_one_is_lost() {
    let mut silent = good();
    silent.lines.retain(|line| !matches!(&line.seen, Seen::Answer { id, .. } if id == "n1"));
    assert_eq!(silent.broken(), ["lost"]);
    let mut late = good();
    late.hand_in(2000, "q", "pay").answer(7400, "q", Told::Refused);
    assert_eq!((late.broken(), late.judged().late_answers), (vec!["lost"], 1));
}

#[test]
fn two_words_about_one_message_and_a_send_after_its_answer_are_found() {
    let mut two = good();
    two.answer(2000, "p", Told::Failed);
    assert_eq!(two.broken(), ["lost"]);
    let mut after = good();
    after.call(700, 720, "p", 0, End::Refused(None));
    assert!(after.broken().contains(&"lost"));
    let mut unclear = good();
    unclear.hand_in(2000, "q", "pay").answer(2100, "q", Told::Unclear);
    assert_eq!(unclear.broken(), ["lost"]);
}

#[test]
fn effects_twice_and_repeats_that_are_not_permitted_are_found() {
    let mut twice = good();
    twice.effect(1590, "n1");
    assert_eq!((twice.broken(), twice.judged().effects_twice), (vec!["twice"], 1));
    let mut again = Record::default();
    again.hand_in(0, "p", "pay").call(10, 100, "p", 0, End::Broken);
    again.call(400, 430, "p", 0, End::Processed).effect(425, "p").answer(440, "p", Told::Delivered);
    assert_eq!(again.broken(), ["twice"]);
    let mut late = Record::default();
    late.hand_in(0, "n", "notice").call(10, 100, "n", 0, End::Left);
    late.call(2100, 2130, "n", 0, End::Processed).answer(2140, "n", Told::Delivered);
    assert_eq!(late.broken(), ["twice"]);
    let mut elsewhere = Record::default();
    elsewhere.hand_in(0, "n", "notice").call(10, 100, "n", 0, End::Left);
    elsewhere.call(900, 930, "n", 1, End::Processed).answer(940, "n", Told::Delivered);
    assert_eq!(elsewhere.broken(), ["twice"]);
    let mut side = Record::default();
    side.hand_in(0, "s", "status").call(10, 900, "s", 0, End::Processed);
    side.call(300, 330, "s", 1, End::Processed).answer(940, "s", Told::Delivered);
    assert_eq!(side.broken(), ["twice"]);
}

#[test]
fn a_refusal_of_what_may_have_run_is_found() {
    let mut record = Record::default();
    record.hand_in(0, "p", "pay").call(10, 100, "p", 0, End::Left).answer(500, "p", Told::Refused);
    assert_eq!(record.broken(), ["twice"]);
    let mut safe = Record::default();
    safe.hand_in(0, "s", "status").call(10, 100, "s", 0, End::Left).answer(500, "s", Told::Refused);
    assert!(safe.broken().is_empty());
}

#[test]
fn what_is_sent_to_a_draining_endpoint_is_found() {
    let listed = |ready| Seen::Listed { partner: "bank".into(), endpoint: 1, ready };
    let mut inside = good();
    inside.at(1000, listed(false));
    inside.at(1700, listed(true));
    assert!(inside.broken().is_empty());
    let mut record = good();
    record.at(1000, listed(false));
    assert_eq!(record.broken(), ["drain"]);
}

#[test]
fn what_is_sent_inside_a_wait_is_found_for_any_message() {
    let mut record = good();
    record.hand_in(1590, "s", "status").call(1595, 1610, "s", 0, End::Refused(Some(1000)));
    record.answer(4000, "s", Told::Refused);
    assert_eq!(record.broken(), ["wait"]);
    // One that was killed in between comes back as another, which was told nothing.
    record.at(1650, Seen::Courier { courier: 0, running: false, killed: true });
    assert!(record.broken().is_empty());
}

#[test]
fn messages_of_a_key_out_of_turn_or_too_soon_are_found() {
    let mut record = Record::default();
    record.hand_in(0, "n1", "notice").taken(10, "n1").hand_in(20, "n2", "notice").taken(30, "n2");
    record.call(50, 80, "n2", 0, End::Processed).answer(90, "n2", Told::Delivered);
    record.call(500, 530, "n1", 0, End::Processed).answer(540, "n1", Told::Delivered);
    assert_eq!(record.broken(), ["order"]);
    let mut soon = Record::default();
    soon.hand_in(0, "n1", "notice").taken(10, "n1").hand_in(20, "n2", "notice").taken(30, "n2");
    soon.call(50, 500, "n1", 0, End::Left).answer(510, "n1", Told::Failed);
    soon.call(600, 630, "n2", 0, End::Processed).answer(640, "n2", Told::Delivered);
    assert_eq!(soon.broken(), ["order"]);
}

#[test]
fn a_returning_partner_that_is_pushed_over_is_found() {
    let outage = |began| Seen::Outage { partner: "bank".into(), zone: None, began };
    let day = |every: u64| {
        let mut record = Record::default();
        record.at(1000, outage(true)).at(2000, outage(false));
        record.hand_in(900, "first", "status").call(1500, 1900, "first", 0, End::Left);
        record.answer(2500, "first", Told::Refused);
        for number in 0..20 {
            let (id, at) = (format!("s{number}"), 2010 + number * every);
            record.hand_in(900, &id, "status").call(at, at + 5, &id, 0, End::Processed);
            record.answer(at + 6, &id, Told::Delivered);
        }
        record
    };
    assert_eq!(day(20).broken(), ["fail-back"]);
    assert!(day(150).broken().is_empty());
}
