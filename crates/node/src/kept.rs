//! A message as the log keeps it, and what the engine, the platform and an endpoint are told of it. Free of I/O.

use cloverstile::{Class, ClassId, DestinationId, OrderKey, Past, Time};
use cloverstile_engine::HandIn;
use cloverstile_http::Headers;
use cloverstile_platform::handin::Put;
use cloverstile_platform::notices::Notice;
use cloverstile_wal::{Ending, Living};
use std::time::Duration;

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// What the log keeps of a message that is taken on now, and what the engine is handed.
pub fn taken(now: Time, put: Put) -> (Living, HandIn) {
    let Put { hand_in, idempotency, body } = put;
    let living = Living {
        id: hand_in.name.clone().into_bytes(),
        idempotency,
        class: hand_in.class.0,
        destination: hand_in.destination.0,
        order: hand_in.key.map_or(0, |key| key.0),
        taken_at: now.0,
        deadline: hand_in.deadline.0,
        after_loss: hand_in.after_loss,
        body,
        ..Living::default()
    };
    (living, hand_in)
}

/// What it is about, for classes in order.
pub fn order_key(living: &Living) -> Option<OrderKey> {
    (living.order != 0).then_some(OrderKey(living.order))
}

/// What the engine is handed of a message that an earlier process owes. An attempt without an outcome may have run
/// from the moment when it was begun; the log keeps that from here on.
pub fn recovered(living: &mut Living, class: Option<&Class>) -> (HandIn, Past) {
    let unsettled = living.open.take();
    living.may_have_run = living.may_have_run.or(unsettled);
    let since = may_have_run_since(living, class);
    let past = Past {
        taken_at: Time(living.taken_at),
        attempts: u32::from(living.attempts),
        may_have_run: since,
        unsettled: unsettled.is_some(),
    };
    let hand_in = HandIn {
        client: 0,
        name: text(&living.id),
        fingerprint: [0; 32],
        class: ClassId(living.class),
        destination: DestinationId(living.destination),
        key: order_key(living),
        deadline: Time(living.deadline),
        tenant: Default::default(),
        again: false,
        after_loss: living.after_loss,
    };
    (hand_in, past)
}

/// The place that a class has now which had another when its message was taken on; none that any class has, where there
/// is none of its name. Guards against settings that changed between two processes: by its place alone what may not be
/// repeated could come under another effect.
pub fn class_now(place: u8, then: &[String], now: &[String]) -> u8 {
    let Some(name) = then.get(usize::from(place)) else { return place };
    let found = now.iter().position(|known| known == name);
    found.and_then(|place| u8::try_from(place).ok()).unwrap_or(u8::MAX)
}

/// When the first attempt was sent that may have run, here or at a courier that was lost.
fn may_have_run_since(living: &Living, class: Option<&Class>) -> Option<Time> {
    let since = living.may_have_run.map(Time);
    let Some(class) = class.filter(|_| living.after_loss) else { return since };
    // It may have run at the courier that was lost at any time since it was first handed in.
    let handed_in = (Time(living.deadline) - class.deadline).min(Time(living.taken_at));
    Some(since.map_or(handed_in, |since| since.min(handed_in)))
}

/// What the platform is told of a message that ended so.
pub fn notice(living: &Living, ending: Ending) -> Notice {
    let (failed, again_ms) = match ending {
        Ending::Undeliverable => (true, None),
        Ending::Deferred(again) => (false, again),
    };
    Notice { id: text(&living.id), failed, again_ms, key: order_key(living) }
}

/// The call that an endpoint gets, waited for so long.
pub fn call(living: &Living, wait: Duration) -> Vec<u8> {
    let mut headers = Headers::new().with("Host", "partner").with("Req-Id", text(&living.id));
    if let Some(key) = &living.idempotency {
        headers.add("Idempotency-Key", text(key));
    }
    headers.add("Req-Deadline", format!("{}m", wait.as_millis().max(1)));
    cloverstile_http::request("POST", "/hook", &headers, &living.body)
}

#[cfg(test)]
mod tests {
    use super::*;

    const S: u64 = 1_000_000_000;

    fn kept() -> Living {
        Living { id: b"a".to_vec(), taken_at: 100 * S, deadline: 108 * S, attempts: 2, ..Living::default() }
    }

    #[test]
    fn an_attempt_without_an_outcome_may_have_run_unless_an_earlier_one_did() {
        let since = |may_have_run, open| {
            let mut living = Living { may_have_run, open, ..kept() };
            let (_, past) = recovered(&mut living, None);
            assert_eq!((living.open, living.may_have_run.map(Time)), (None, past.may_have_run));
            (past.may_have_run.map(|at| at.0), past.unsettled, past.attempts)
        };
        assert_eq!(since(None, None), (None, false, 2));
        assert_eq!(since(None, Some(103 * S)), (Some(103 * S), true, 2));
        assert_eq!(since(Some(101 * S), Some(103 * S)), (Some(101 * S), true, 2));
        assert_eq!(since(Some(101 * S), None), (Some(101 * S), false, 2));
    }

    #[test]
    fn classes_are_found_by_their_names() {
        let names = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect::<Vec<_>>();
        let (then, now) = (names(&["notice", "payment", "gone"]), names(&["payment", "new", "notice"]));
        let places: Vec<u8> = (0..3).map(|place| class_now(place, &then, &now)).collect();
        assert_eq!(places, [2, 0, u8::MAX]);
        assert_eq!(class_now(1, &[], &now), 1, "a log of before names were kept");
    }

    #[test]
    fn what_a_lost_courier_held_counts_from_its_first_hand_in() {
        let class = Class { deadline: Duration::from_secs(12), ..Class::default() };
        let mut living = Living { after_loss: true, may_have_run: Some(101 * S), ..kept() };
        assert_eq!(recovered(&mut living, Some(&class)).1.may_have_run, Some(Time(96 * S)));
    }
}
