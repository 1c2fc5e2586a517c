//! Tests of stored names: when settings change, messages keep their class and zone or get the fallback class.

use super::{fallback_class, name_table, remap};
use cloverstile::{Class, Effect};
use cloverstile_platform::config::SettingNames;
use cloverstile_wal::{AttemptStart, LiveMessage, NameTable, UNKNOWN_INDEX};
use std::time::Duration;

fn table(classes: &[(&str, Effect)], zones: &[&str]) -> NameTable {
    let (names, effects): (Vec<&str>, Vec<Effect>) = classes.iter().copied().unzip();
    let text = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect::<Vec<_>>();
    let effects = effects.into_iter().map(|effect| Class { effect, ..Class::default() });
    let mut classes: Vec<Class> = effects.collect();
    classes.push(fallback_class(&classes));
    name_table(&SettingNames { classes: text(&names), zones: text(zones), ..Default::default() }, &classes)
}

#[test]
fn remap_finds_classes_and_zones_by_name_and_uses_the_fallback_class_for_removed_or_more_lenient_ones() {
    use Effect::{Keyed, Safe, Unsafe};
    let stored = table(
        &[("notice", Keyed), ("payment", Unsafe), ("gone", Safe), ("eased", Unsafe), ("tightened", Keyed)],
        &["a", "b"],
    );
    let current = table(
        &[("payment", Unsafe), ("eased", Keyed), ("notice", Keyed), ("tightened", Unsafe)],
        &["b", "c"],
    );
    let after = |class: u8, zone: u8| {
        let open_attempt = Some(AttemptStart { started_at: 1, zone });
        let mut message = LiveMessage { class, open_attempt, ..LiveMessage::default() };
        remap(&mut message, &stored, &current);
        (message.class, message.open_attempt.unwrap().zone)
    };
    let all: Vec<u8> = (0..6).map(|class| after(class, 0).0).collect();
    assert_eq!(
        all,
        [2, 0, 4, 4, 3, 4],
        "the last index is the fallback class, without a name in both tables"
    );
    assert_eq!([after(0, 0).1, after(0, 1).1, after(0, UNKNOWN_INDEX).1], [UNKNOWN_INDEX, 0, UNKNOWN_INDEX]);
    let mut old = LiveMessage { class: 1, ..LiveMessage::default() };
    remap(&mut old, &NameTable::default(), &current);
    assert_eq!(old.class, 1, "the log was written before names were stored");
}

#[test]
fn fallback_class_has_the_strictest_effect_and_the_longest_times() {
    let short = Class { latency_objective: Duration::from_millis(300), ..Class::default() };
    let long = Class { deadline: Duration::from_secs(99), ..Class::default() };
    let fallback = fallback_class(&[short.clone(), long.clone()]);
    assert!(
        fallback.latency_objective >= short.latency_objective.max(long.latency_objective)
            && fallback.deadline == long.deadline
    );
    assert_eq!((fallback.effect, fallback.ordered), (Effect::Unsafe, true));
}
