//! A message as the log keeps it, and what the engine, the platform and an endpoint are told of it. Free of I/O.

use cloverstile::{Class, ClassId, DestinationId, Effect, OrderKey, RecoveredAttempts, Time, ZoneId};
use cloverstile_engine::SubmitRequest;
use cloverstile_http::Headers;
use cloverstile_platform::client_request::PutRequest;
use cloverstile_platform::config;
use cloverstile_platform::notifications::{Notification, NotificationStatus};
use cloverstile_wal::{AttemptStart, ClassName, LiveMessage, NameTable, TerminalState, UNKNOWN_INDEX};
use std::time::Duration;

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// What the log keeps of a message that is taken on now, and what the engine is handed.
pub fn taken(now: Time, put: PutRequest) -> (LiveMessage, SubmitRequest) {
    let PutRequest { submission: hand_in, idempotency_key: idempotency, body } = put;
    let living = LiveMessage {
        id: hand_in.idempotency_key.clone().into_bytes(),
        idempotency_key: idempotency,
        class: hand_in.class.0,
        destination: hand_in.destination.0,
        order_key: hand_in.order_key.map_or(0, |key| key.0),
        submitted_at: now.0,
        deadline: hand_in.deadline.0,
        from_lost_instance: hand_in.from_lost_instance,
        body,
        ..LiveMessage::default()
    };
    (living, hand_in)
}

/// What it is about, for classes in order.
pub fn order_key(living: &LiveMessage) -> Option<OrderKey> {
    (living.order_key != 0).then_some(OrderKey(living.order_key))
}

/// What the engine is handed of a message that an earlier process owes. An attempt without an outcome may have run
/// from the moment when it was begun; the log keeps that from here on.
pub fn recovered(living: &mut LiveMessage, class: Option<&Class>) -> (SubmitRequest, RecoveredAttempts) {
    let unsettled = living.open_attempt.take();
    living.may_have_run = living.may_have_run.or(unsettled);
    let since = may_have_run_since(living, class);
    let past = RecoveredAttempts {
        submitted_at: Time(living.submitted_at),
        attempts: u32::from(living.attempts),
        may_have_run: since,
        last_attempt_open: unsettled.is_some(),
    };
    let hand_in = SubmitRequest {
        client: 0,
        idempotency_key: text(&living.id),
        fingerprint: [0; 32],
        class: ClassId(living.class),
        destination: DestinationId(living.destination),
        order_key: order_key(living),
        deadline: Time(living.deadline),
        tenant: Default::default(),
        resubmitted: false,
        from_lost_instance: living.from_lost_instance,
    };
    (hand_in, past)
}

/// The log's number of an effect: not its place in the code, which may change.
fn mark(effect: Effect) -> u8 {
    match effect {
        Effect::Safe => 1,
        Effect::Keyed => 2,
        Effect::Unsafe => 3,
    }
}

/// What holds for messages whose class is gone, or has become more lenient, since they were taken on: a class of no name
/// behind all others, which nobody can hand in under. Its aim and time are the longest, so that no sum over classes moves.
pub fn strictest(classes: &[Class]) -> Class {
    let longest = |span: fn(&Class) -> Duration| classes.iter().map(span).max();
    let base = Class::default();
    let aim = longest(|class| class.latency_objective).unwrap_or(base.latency_objective);
    let deadline = longest(|class| class.deadline).unwrap_or(base.deadline);
    Class { effect: Effect::Unsafe, ordered: true, latency_objective: aim, deadline, ..base }
}

/// What places mean in this process; the last class is [`strictest`].
pub fn names(names: &config::SettingNames, classes: &[Class]) -> NameTable {
    let named = names.classes.iter().map(String::as_str).chain([""]);
    let entry =
        |(name, class): (&str, &Class)| ClassName { name: name.to_owned(), effect: mark(class.effect) };
    let classes = named.zip(classes).map(entry).collect();
    NameTable { classes, zones: names.zones.clone() }
}

/// Moves a message's places from what they meant when it was written to what they mean now. Guards against settings that
/// changed between two processes: what may not be repeated could come under another effect, by its place alone or because
/// its class has one now; and what no class is left for would end untried.
pub fn moved(living: &mut LiveMessage, then: &NameTable, now: &NameTable) {
    let last = now.classes.len().saturating_sub(1);
    let place = usize::from(living.class);
    let class = match then.classes.get(place) {
        // A log of before names were kept.
        None => place.min(last),
        Some(ClassName { name, effect }) => {
            let found = now.classes.iter().position(|class| class.name == *name);
            let holds = |place: &usize| {
                let now = now.classes[*place].effect;
                *effect == UNKNOWN_INDEX || *effect == now || now == mark(Effect::Unsafe)
            };
            found.filter(holds).unwrap_or(last)
        }
    };
    living.class = u8::try_from(class).unwrap_or(u8::MAX);
    for began in [&mut living.may_have_run, &mut living.open_attempt].into_iter().flatten() {
        let name = then.zones.get(usize::from(began.zone));
        let found = name.and_then(|name| now.zones.iter().position(|known| known == name));
        began.zone = found.and_then(|place| u8::try_from(place).ok()).unwrap_or(UNKNOWN_INDEX);
    }
}

/// When the first attempt was sent that may have run, and in which zone, here or at a courier that was lost.
fn may_have_run_since(living: &LiveMessage, class: Option<&Class>) -> Option<(Time, Option<ZoneId>)> {
    let zone = |began: AttemptStart| Some(ZoneId(began.zone)).filter(|_| began.zone != UNKNOWN_INDEX);
    let since = living.may_have_run.map(|began| (Time(began.started_at), zone(began)));
    let Some(class) = class.filter(|_| living.from_lost_instance) else { return since };
    // It may have run at the courier that was lost at any time since it was first handed in, nobody knows where.
    let handed_in = (Time(living.deadline) - class.deadline).min(Time(living.submitted_at));
    Some((since.map_or(handed_in, |(since, _)| since.min(handed_in)), None))
}

/// What the platform is told of a message that ended so.
pub fn notice(living: &LiveMessage, ending: TerminalState) -> Notification {
    let status = match ending {
        TerminalState::Undeliverable => NotificationStatus::Undeliverable,
        TerminalState::Deferred(retry_after_ms) => NotificationStatus::Deferred { retry_after_ms },
    };
    Notification { message_id: text(&living.id), status, order_key: order_key(living) }
}

/// The call that an endpoint gets, waited for so long.
pub fn call(living: &LiveMessage, wait: Duration) -> Vec<u8> {
    let mut headers = Headers::new().with("Host", "partner").with("Req-Id", text(&living.id));
    if let Some(key) = &living.idempotency_key {
        headers.add("Idempotency-Key", text(key));
    }
    headers.add("Req-Deadline", format!("{}m", wait.as_millis().max(1)));
    cloverstile_http::request("POST", "/hook", &headers, &living.body)
}

#[cfg(test)]
mod tests {
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
            &[
                ("notice", Keyed),
                ("payment", Unsafe),
                ("gone", Safe),
                ("eased", Unsafe),
                ("tightened", Keyed),
            ],
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
        assert_eq!(
            [after(0, 0).1, after(0, 1).1, after(0, UNKNOWN_INDEX).1],
            [UNKNOWN_INDEX, 0, UNKNOWN_INDEX]
        );
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
}
