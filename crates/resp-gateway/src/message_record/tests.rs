//! Tests of message records: recovery, and names that changed between two processes.

use super::*;

const S: u64 = 1_000_000_000;

fn kept() -> LiveMessage {
    LiveMessage {
        id: b"a".to_vec(),
        submitted_at: 100 * S,
        deadline: 108 * S,
        attempts: 2,
        ..LiveMessage::default()
    }
}

fn began(s: u64) -> AttemptStart {
    AttemptStart { started_at: s * S, zone: 1 }
}

#[test]
fn an_attempt_without_an_outcome_may_have_run_unless_an_earlier_one_did() {
    let since = |may_have_run: Option<u64>, open: Option<u64>| {
        let (may_have_run, open) = (may_have_run.map(began), open.map(began));
        let mut living = LiveMessage { may_have_run, open_attempt: open, ..kept() };
        let (_, past) = recovered(&mut living, None);
        let kept = living.may_have_run.map(|began| (Time(began.started_at), Some(ZoneId(1))));
        assert_eq!((living.open_attempt, kept), (None, past.may_have_run));
        (past.may_have_run.map(|(at, _)| at.0 / S), past.last_attempt_open, past.attempts)
    };
    assert_eq!(since(None, None), (None, false, 2));
    assert_eq!(since(None, Some(103)), (Some(103), true, 2));
    assert_eq!(since(Some(101), Some(103)), (Some(101), true, 2));
    assert_eq!(since(Some(101), None), (Some(101), false, 2));
}

fn settings(classes: &[(&str, Effect)], zones: &[&str]) -> NameTable {
    let (names, effects): (Vec<&str>, Vec<Effect>) = classes.iter().copied().unzip();
    let text = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect::<Vec<_>>();
    let effects = effects.into_iter().map(|effect| Class { effect, ..Class::default() });
    let mut classes: Vec<Class> = effects.collect();
    classes.push(strictest(&classes));
    super::names(
        &config::SettingNames { classes: text(&names), zones: text(zones), ..Default::default() },
        &classes,
    )
}

#[test]
fn places_are_found_by_their_names_and_what_became_more_lenient_is_held_to_the_strictest() {
    use Effect::{Keyed, Safe, Unsafe};
    let then = settings(
        &[("notice", Keyed), ("payment", Unsafe), ("gone", Safe), ("eased", Unsafe), ("tightened", Keyed)],
        &["a", "b"],
    );
    let now = settings(
        &[("payment", Unsafe), ("eased", Keyed), ("notice", Keyed), ("tightened", Unsafe)],
        &["b", "c"],
    );
    let after = |class: u8, zone: u8| {
        let mut living =
            LiveMessage { class, open_attempt: Some(AttemptStart { started_at: 1, zone }), ..kept() };
        moved(&mut living, &then, &now);
        (living.class, living.open_attempt.unwrap().zone)
    };
    let all: Vec<u8> = (0..6).map(|class| after(class, 0).0).collect();
    assert_eq!(all, [2, 0, 4, 4, 3, 4], "the last one is of no name in both");
    assert_eq!([after(0, 0).1, after(0, 1).1, after(0, UNKNOWN_INDEX).1], [UNKNOWN_INDEX, 0, UNKNOWN_INDEX]);
    let mut old = LiveMessage { class: 1, ..kept() };
    moved(&mut old, &NameTable::default(), &now);
    assert_eq!(old.class, 1, "a log of before names were kept");
}

#[test]
fn the_strictest_class_moves_no_sum_over_classes() {
    let short = Class { latency_objective: Duration::from_millis(300), ..Class::default() };
    let long = Class { deadline: Duration::from_secs(99), ..Class::default() };
    let strictest = strictest(&[short.clone(), long.clone()]);
    assert!(
        strictest.latency_objective >= short.latency_objective.max(long.latency_objective)
            && strictest.deadline == long.deadline
    );
    assert_eq!((strictest.effect, strictest.ordered), (Effect::Unsafe, true));
}

#[test]
fn what_a_lost_courier_held_counts_from_its_first_hand_in() {
    let class = Class { deadline: Duration::from_secs(12), ..Class::default() };
    let mut living = LiveMessage { from_lost_instance: true, may_have_run: Some(began(101)), ..kept() };
    assert_eq!(recovered(&mut living, Some(&class)).1.may_have_run, Some((Time(96 * S), None)));
}
