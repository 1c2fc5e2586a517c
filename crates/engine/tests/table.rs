//! The table around the real module: one answer each, one attempt at a time, nothing after the answer.

use cloverstile::*;
use cloverstile_engine::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;
use std::time::Duration;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

const UNSAFE: u8 = 0;
const KEYED: u8 = 1;
const SAFE: u8 = 2;

fn settings() -> Settings {
    let class = |effect, in_order| Class {
        effect,
        ordered: in_order,
        deadline: Duration::from_secs(12),
        ..Class::default()
    };
    let classes = vec![class(Effect::Unsafe, false), class(Effect::Keyed, true), class(Effect::Safe, false)];
    Settings {
        classes,
        instance_count: 1,
        kinds: vec![Kind { max_batch: 3, per_endpoint_limits: false }],
        ..Settings::default()
    }
}

fn endpoint(id: u32, mode: EndpointState) -> Endpoint {
    let (zone, kind, destination) = (ZoneId(0), KindId(0), DestinationId(1));
    Endpoint { id: EndpointId(id), zone, kind, destination, state: mode, weight: 50.0 }
}

struct Bench {
    engine: Engine,
    now: Time,
}

impl Bench {
    fn new(remembered: usize) -> Self {
        let bounds = ResultCacheLimits { max_results: remembered, retention: Duration::from_secs(60) };
        let mut engine = Engine::new(settings(), bounds, 7);
        let now = Time(1_000_000_000);
        engine.update_endpoints(
            now,
            vec![endpoint(1, EndpointState::Ready), endpoint(2, EndpointState::Ready)],
        );
        Bench { engine, now }
    }

    fn message(&self, name: &str, class: u8) -> SubmitRequest {
        SubmitRequest {
            client: 0,
            idempotency_key: name.to_owned(),
            fingerprint: [1; 32],
            class: ClassId(class),
            destination: DestinationId(1),
            order_key: None,
            deadline: self.now + Duration::from_secs(12),
            tenant: TenantId(0),
            resubmitted: false,
            from_lost_instance: false,
        }
    }

    fn hand_in(&mut self, name: &str, class: u8) -> Admission {
        let message = self.message(name, class);
        self.engine.submit(self.now, message)
    }

    fn advance(&mut self) -> Vec<Command> {
        self.engine.advance(self.now)
    }

    /// Lets time pass from wake to wake until some effect is wanted.
    fn until<T>(&mut self, limit: Duration, wanted: impl Fn(&Command) -> Option<T>) -> Option<T> {
        let end = self.now + limit;
        loop {
            if let Some(found) = self.advance().iter().find_map(&wanted) {
                return Some(found);
            }
            self.now = self.engine.next_timeout().filter(|at| *at <= end)?.max(self.now + ms(1));
        }
    }

    fn sent(&mut self) -> Attempt {
        let sent = |effect: &Command| match effect {
            Command::Send { attempts, .. } => Some(attempts[0]),
            _ => None,
        };
        self.until(Duration::from_secs(20), sent).expect("a send")
    }

    fn answer(&mut self) -> FinalOutcome {
        let answered = |effect: &Command| match effect {
            Command::Complete { outcome: answer, .. } => Some(*answer),
            _ => None,
        };
        self.until(Duration::from_secs(30), answered).expect("an answer")
    }
}

#[test]
fn a_repeated_hand_in_gets_the_one_answer_and_other_content_a_conflict() {
    let mut bench = Bench::new(100);
    let Admission::New(id) = bench.hand_in("a", UNSAFE) else { panic!() };
    assert_eq!(bench.hand_in("a", UNSAFE), Admission::InFlight(id));
    let attempt = bench.sent();
    bench.engine.on_attempt_completed(bench.now, attempt, TransportOutcome::Processed, None);
    assert_eq!(bench.answer(), FinalOutcome::Delivered);
    assert_eq!(bench.hand_in("a", UNSAFE), Admission::Completed(id, FinalOutcome::Delivered));
    let other = SubmitRequest { fingerprint: [2; 32], ..bench.message("a", UNSAFE) };
    assert_eq!(bench.engine.submit(bench.now, other), Admission::Conflict);
    let of_another_client = SubmitRequest { client: 1, ..bench.message("a", UNSAFE) };
    assert_eq!(bench.engine.submit(bench.now, of_another_client), Admission::Conflict);
}

#[test]
fn an_unsafe_message_whose_answer_is_lost_fails_and_a_late_receipt_is_told_apart() {
    let mut bench = Bench::new(100);
    let Admission::New(id) = bench.hand_in("a", UNSAFE) else { panic!() };
    let attempt = bench.sent();
    bench.engine.on_attempt_completed(bench.now, attempt, TransportOutcome::Reset, None);
    assert_eq!(bench.answer(), FinalOutcome::Failed);
    bench.engine.on_receipt(bench.now, id, TransportOutcome::Processed);
    assert_eq!(bench.advance(), [Command::LateReceipt { message: id, outcome: FinalOutcome::Failed }]);
    assert_eq!(bench.hand_in("a", UNSAFE), Admission::Completed(id, FinalOutcome::Failed));
}

#[test]
fn a_late_receipt_ends_a_keyed_message_that_would_go_again() {
    let mut bench = Bench::new(100);
    let Admission::New(id) = bench.hand_in("a", KEYED) else { panic!() };
    bench.sent();
    let abandoned = |effect: &Command| matches!(effect, Command::Abandon { .. }).then_some(());
    bench.until(Duration::from_secs(12), abandoned).expect("a time-out");
    bench.engine.on_receipt(bench.now, id, TransportOutcome::Processed);
    bench.engine.on_receipt(bench.now, id, TransportOutcome::Processed);
    let effects = bench.advance();
    let answers =
        effects.iter().filter(|e| matches!(e, Command::Complete { outcome: FinalOutcome::Delivered, .. }));
    assert_eq!(answers.count(), 1, "{effects:?}");
    let more = bench.until(Duration::from_secs(30), |e| matches!(e, Command::Send { .. }).then_some(()));
    assert_eq!((more, bench.engine.pending_messages()), (None, 0));
}

#[test]
fn what_a_lost_courier_held_is_not_sent_again_if_it_is_unsafe() {
    let mut bench = Bench::new(100);
    let lost = SubmitRequest { from_lost_instance: true, ..bench.message("a", UNSAFE) };
    let Admission::New(id) = bench.engine.submit(bench.now, lost) else { panic!() };
    assert_eq!(
        bench.advance(),
        [Command::Complete { message: id, outcome: FinalOutcome::Failed, attempts: 0 }]
    );
}

#[test]
fn messages_of_one_turn_share_a_call_as_far_as_the_kind_allows() {
    let mut bench = Bench::new(100);
    for name in ["a", "b", "c", "d", "e"] {
        bench.hand_in(name, SAFE);
    }
    let effects = bench.advance();
    let sizes: Vec<usize> = effects
        .iter()
        .filter_map(|effect| match effect {
            Command::Send { attempts, .. } => Some(attempts.len()),
            _ => None,
        })
        .collect();
    // One call is saved up at the start; it carries what the kind allows, the rest waits for the pace.
    assert_eq!((sizes, bench.engine.requests_in_flight()), (vec![3], 1));
}

#[test]
fn a_stop_takes_nothing_more_and_answers_the_rest_as_it_stands() {
    let mut bench = Bench::new(100);
    bench.hand_in("out", UNSAFE);
    bench.sent();
    bench.engine.update_endpoints(bench.now, vec![]);
    bench.hand_in("waits", UNSAFE);
    bench.advance();
    bench.engine.shut_down_by(bench.now + ms(500));
    assert_eq!(bench.hand_in("new", UNSAFE), Admission::ShuttingDown);
    assert!(bench.advance().iter().all(|effect| !matches!(effect, Command::Complete { .. })));
    bench.now = bench.now + ms(500);
    let answers: Vec<FinalOutcome> = bench
        .advance()
        .iter()
        .filter_map(|effect| match effect {
            Command::Complete { outcome: answer, .. } => Some(*answer),
            _ => None,
        })
        .collect();
    assert_eq!(answers, [FinalOutcome::Failed, FinalOutcome::Rejected(Duration::ZERO)]);
}

#[test]
fn kept_answers_are_bounded_and_a_refused_message_may_come_again() {
    let mut bench = Bench::new(3);
    bench.engine.update_endpoints(bench.now, vec![]);
    for round in 0..10 {
        bench.hand_in(&format!("m{round}"), SAFE);
        assert!(matches!(bench.answer(), FinalOutcome::Rejected(_)));
    }
    let kept = (0..10).filter(|round| bench.engine.message_id(&format!("m{round}")).is_some()).count();
    assert_eq!(kept, 3);
    assert!(matches!(bench.hand_in("m9", SAFE), Admission::New(_)));
}

#[derive(Default)]
struct Seen {
    class: u8,
    out: Option<(Attempt, bool)>,
    ran: Option<Time>,
    answered: bool,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: RngSeed::Fixed(17), failure_persistence: None, ..Default::default() })]

    /// Whatever partners, clients and the list do, for many seeds and days.
    #[test]
    fn the_rules_hold_on_any_day(steps in proptest::collection::vec((0u8..12, any::<u16>(), 1u64..900), 20..200)) {
        let mut bench = Bench::new(1000);
        let mut seen: BTreeMap<MessageId, Seen> = BTreeMap::new();
        let mut deadlines: BTreeMap<MessageId, Time> = BTreeMap::new();
        let slack = settings().rules.answer_grace;
        let mut step = |bench: &mut Bench, kind: u8, pick: u16| {
            let outs: Vec<Attempt> = seen.values().filter_map(|s| s.out.map(|(attempt, _)| attempt)).collect();
            let out = (!outs.is_empty()).then(|| outs[usize::from(pick) % outs.len()]);
            let report = |bench: &mut Bench, reported| if let Some(attempt) = out {
                bench.engine.on_attempt_completed(bench.now, attempt, reported, None);
            };
            match kind {
                0..=3 => {
                    let class = (pick % 3) as u8;
                    let key = (class == KEYED).then_some(OrderKey(u64::from(pick % 4)));
                    let message = SubmitRequest { order_key: key, ..bench.message(&format!("m{pick}"), class) };
                    if let Admission::New(id) = bench.engine.submit(bench.now, message) {
                        deadlines.insert(id, bench.now + Duration::from_secs(12));
                        seen.insert(id, Seen { class, ..Seen::default() });
                    }
                }
                4 | 5 => report(bench, TransportOutcome::Processed),
                6 => report(bench, TransportOutcome::Error),
                7 => report(bench, TransportOutcome::Rejected(pick.is_multiple_of(2).then(|| ms(400)))),
                8 => report(bench, TransportOutcome::ConnectFailed),
                9 => report(bench, TransportOutcome::Reset),
                10 => {
                    let mode = if pick.is_multiple_of(2) { EndpointState::Ready } else { EndpointState::Draining };
                    bench.engine.update_endpoints(bench.now, vec![endpoint(1, mode), endpoint(2, EndpointState::Ready)]);
                }
                _ => {}
            }
            let now = bench.now;
            let ended = out.filter(|_| (4..=9).contains(&kind));
            if let Some(s) = ended.and_then(|attempt| seen.get_mut(&attempt.message)) {
                s.out = None;
                if !matches!(kind, 7 | 8) {
                    s.ran.get_or_insert(now);
                }
            }
            for effect in bench.advance() {
                match effect {
                    Command::Send { attempts, .. } => for attempt in attempts {
                        let s = seen.get_mut(&attempt.message).unwrap();
                        assert!(!s.answered, "sent after its answer");
                        assert!(s.out.is_none(), "two attempts side by side");
                        assert!(s.class != UNSAFE || s.ran.is_none(), "an unsafe message again");
                        if let (KEYED, Some(ran)) = (s.class, s.ran) {
                            assert!(now < ran + Duration::from_secs(10), "outside its window");
                        }
                        s.out = Some((attempt, true));
                    },
                    Command::Abandon { attempt, .. } => {
                        let s = seen.get_mut(&attempt.message).unwrap();
                        s.out = None;
                        s.ran.get_or_insert(now);
                    }
                    Command::Complete { message, outcome: answer, .. } => {
                        let s = seen.get_mut(&message).unwrap();
                        assert!(!std::mem::replace(&mut s.answered, true), "two answers");
                        assert!(now <= deadlines[&message] + slack, "late");
                        if let FinalOutcome::Rejected(_) = answer {
                            assert!(s.class == SAFE || (s.ran.is_none() && s.out.is_none()), "refused though it may run");
                        }
                    }
                    _ => {}
                }
            }
        };
        for (kind, pick, wait) in steps {
            step(&mut bench, kind, pick);
            let until = bench.now + ms(wait);
            while let Some(at) = bench.engine.next_timeout().filter(|at| *at <= until) {
                bench.now = at.max(bench.now);
                step(&mut bench, 11, 0);
            }
            bench.now = until;
        }
        while let Some(at) = bench.engine.next_timeout().filter(|_| bench.engine.pending_messages() > 0) {
            bench.now = at.max(bench.now);
            step(&mut bench, 11, 0);
        }
        prop_assert!(seen.values().all(|s| s.answered));
        prop_assert_eq!(bench.engine.counters().forced_completions, 0);
    }
}

#[test]
fn a_recovered_message_keeps_its_attempts_and_is_answered_even_if_its_time_is_up() {
    let mut bench = Bench::new(10);
    let past = RecoveredAttempts { submitted_at: bench.now, attempts: 2, ..RecoveredAttempts::default() };
    let message = bench.message("a", KEYED);
    let id = bench.engine.recover(bench.now, message, past);
    assert_eq!(bench.sent(), Attempt { message: id, number: 2 });
    let message = SubmitRequest { deadline: bench.now - ms(1), ..bench.message("b", KEYED) };
    bench.engine.recover(bench.now, message, past);
    assert!(matches!(bench.answer(), FinalOutcome::Rejected(_)));
    assert_eq!(bench.engine.counters().forced_completions, 0);
}

#[test]
fn a_message_that_is_over_at_the_endpoint_owes_nothing() {
    let mut bench = Bench::new(10);
    bench.hand_in("a", UNSAFE);
    let attempt = bench.sent();
    bench.engine.on_attempt_completed(bench.now, attempt, TransportOutcome::Obsolete, None);
    assert_eq!(bench.answer(), FinalOutcome::Cancelled);
    assert_eq!(bench.engine.pending_messages(), 0);
}

#[test]
fn held_back_nothing_is_sent_and_what_is_out_ends() {
    let mut bench = Bench::new(10);
    bench.hand_in("a", UNSAFE);
    let attempt = bench.sent();
    bench.engine.set_sending_paused(true);
    bench.hand_in("b", UNSAFE);
    assert!(bench.advance().is_empty());
    bench.engine.on_attempt_completed(bench.now, attempt, TransportOutcome::Processed, None);
    assert!(matches!(bench.advance()[..], [Command::Complete { outcome: FinalOutcome::Delivered, .. }]));
    bench.engine.set_sending_paused(false);
    bench.sent();
}

/// Between decision and bytes: what is withheld costs no attempt, and numbers never come twice.
#[test]
fn what_is_withheld_counts_as_no_attempt() {
    let mut bench = Bench::new(10);
    bench.hand_in("a", KEYED);
    let cap = settings().max_attempts;
    let mut numbers = Vec::new();
    for _ in 0..cap + 2 {
        let attempt = bench.sent();
        numbers.push(attempt.number);
        assert!(bench.engine.may_send_now(bench.now, attempt));
        bench.engine.on_retry_after(bench.now, EndpointId(1), ms(40));
        assert!(!bench.engine.may_send_now(bench.now, attempt));
        bench.engine.on_attempt_completed(bench.now, attempt, TransportOutcome::NotStarted, None);
        assert!(!bench.engine.may_send_now(bench.now, attempt), "it is not out any more");
    }
    assert!(numbers.windows(2).all(|two| two[0] < two[1]), "{numbers:?}");
    let attempt = bench.sent();
    bench.engine.set_sending_paused(true);
    assert!(!bench.engine.may_send_now(bench.now, attempt), "the stop has come so far");
    bench.engine.set_sending_paused(false);
    bench.engine.update_endpoints(
        bench.now,
        vec![endpoint(1, EndpointState::Draining), endpoint(2, EndpointState::Draining)],
    );
    assert!(!bench.engine.may_send_now(bench.now, attempt));
    bench.engine.update_endpoints(
        bench.now,
        vec![endpoint(1, EndpointState::Ready), endpoint(2, EndpointState::Ready)],
    );
    bench.engine.on_attempt_completed(bench.now, attempt, TransportOutcome::Rejected(None), None);
    // All other attempts are still there.
    for _ in 1..cap {
        let attempt = bench.sent();
        bench.engine.on_attempt_completed(bench.now, attempt, TransportOutcome::Rejected(None), None);
    }
    assert!(matches!(bench.answer(), FinalOutcome::Rejected(_)));
}
