//! Tests of the engine with the real delivery policy: each message gets exactly one final outcome, has at most one
//! attempt in flight, and is not sent after its outcome.

use cloverstile::{
    Class, ClassId, DestinationId, Effect, Endpoint, EndpointId, EndpointState, Kind, KindId, MessageId,
    OrderKey, RecoveredAttempts, Settings, TenantId, Time, ZoneId,
};
use cloverstile_engine::{
    Admission, Attempt, Command, Engine, FinalOutcome, ResultCacheLimits, SubmitRequest, TransportOutcome,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;
use std::time::Duration;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Indexes of the classes in [`settings`], named after their effects.
const UNSAFE: u8 = 0;
const KEYED: u8 = 1;
const SAFE: u8 = 2;

fn settings() -> Settings {
    let class =
        |effect, ordered| Class { effect, ordered, deadline: Duration::from_secs(12), ..Class::default() };
    let classes = vec![class(Effect::Unsafe, false), class(Effect::Keyed, true), class(Effect::Safe, false)];
    Settings {
        classes,
        instance_count: 1,
        kinds: vec![Kind { max_batch: 3, per_endpoint_limits: false }],
        ..Settings::default()
    }
}

fn endpoint(id: u32, state: EndpointState) -> Endpoint {
    let (zone, kind, destination) = (ZoneId(0), KindId(0), DestinationId(1));
    Endpoint { id: EndpointId(id), zone, kind, destination, state, weight: 50.0 }
}

/// An engine with two ready endpoints of one destination, and the current time.
struct Harness {
    engine: Engine,
    now: Time,
}

impl Harness {
    fn new(max_results: usize) -> Self {
        let limits = ResultCacheLimits { max_results, retention: Duration::from_secs(60) };
        let mut engine = Engine::new(settings(), limits, 7);
        let now = Time(1_000_000_000);
        engine.update_endpoints(
            now,
            vec![endpoint(1, EndpointState::Ready), endpoint(2, EndpointState::Ready)],
        );
        Harness { engine, now }
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

    fn submit(&mut self, name: &str, class: u8) -> Admission {
        let message = self.message(name, class);
        self.engine.submit(self.now, message)
    }

    fn advance(&mut self) -> Vec<Command> {
        self.engine.advance(self.now)
    }

    /// Advances from time-out to time-out until `find` accepts a command. Returns `None` if that takes longer than
    /// `limit` or no time-out is left.
    fn advance_until<T>(&mut self, limit: Duration, find: impl Fn(&Command) -> Option<T>) -> Option<T> {
        let end = self.now + limit;
        loop {
            if let Some(found) = self.advance().iter().find_map(&find) {
                return Some(found);
            }
            self.now = self.engine.next_timeout().filter(|at| *at <= end)?.max(self.now + ms(1));
        }
    }

    fn next_attempt(&mut self) -> Attempt {
        let sent = |command: &Command| match command {
            Command::Send { attempts, .. } => Some(attempts[0]),
            _ => None,
        };
        self.advance_until(Duration::from_secs(20), sent).expect("a send")
    }

    fn next_outcome(&mut self) -> FinalOutcome {
        let completed = |command: &Command| match command {
            Command::Complete { outcome, .. } => Some(*outcome),
            _ => None,
        };
        self.advance_until(Duration::from_secs(30), completed).expect("an outcome")
    }
}

#[test]
fn resubmission_returns_the_outcome_and_other_content_or_client_conflicts() {
    let mut harness = Harness::new(100);
    let Admission::New(id) = harness.submit("a", UNSAFE) else { panic!() };
    assert_eq!(harness.submit("a", UNSAFE), Admission::InFlight(id));
    let attempt = harness.next_attempt();
    harness.engine.on_attempt_completed(harness.now, attempt, TransportOutcome::Processed, None);
    assert_eq!(harness.next_outcome(), FinalOutcome::Delivered);
    assert_eq!(harness.submit("a", UNSAFE), Admission::Completed(id, FinalOutcome::Delivered));
    let other = SubmitRequest { fingerprint: [2; 32], ..harness.message("a", UNSAFE) };
    assert_eq!(harness.engine.submit(harness.now, other), Admission::Conflict);
    let from_another_client = SubmitRequest { client: 1, ..harness.message("a", UNSAFE) };
    assert_eq!(harness.engine.submit(harness.now, from_another_client), Admission::Conflict);
}

/// Guards against room that is asked for new idempotency keys only (review/9): a rejected message that comes again is admitted
/// anew, so that it needs the same room as a new one.
#[test]
fn known_admission_is_none_exactly_if_a_submission_adds_a_message() {
    let mut harness = Harness::new(100);
    for name in ["pending", "rejected", "new"] {
        if name != "new" {
            let Admission::New(id) = harness.submit(name, UNSAFE) else { panic!() };
            if name == "rejected" {
                harness.engine.reject(harness.now, id);
            }
        }
        let known = harness.engine.known_admission(&harness.message(name, UNSAFE));
        let admission = harness.submit(name, UNSAFE);
        let adds_message = matches!(admission, Admission::New(_));
        assert_eq!((known.is_none(), adds_message), (name != "pending", name != "pending"), "{name}");
        assert!(known.is_none_or(|known| known == admission), "{name}");
    }
}

#[test]
fn unsafe_message_without_receipt_fails_and_a_late_receipt_is_reported() {
    let mut harness = Harness::new(100);
    let Admission::New(id) = harness.submit("a", UNSAFE) else { panic!() };
    let attempt = harness.next_attempt();
    harness.engine.on_attempt_completed(harness.now, attempt, TransportOutcome::Reset, None);
    assert_eq!(harness.next_outcome(), FinalOutcome::Failed);
    harness.engine.on_receipt(harness.now, id, TransportOutcome::Processed);
    assert_eq!(harness.advance(), [Command::LateReceipt { message: id, outcome: FinalOutcome::Failed }]);
    assert_eq!(harness.submit("a", UNSAFE), Admission::Completed(id, FinalOutcome::Failed));
}

#[test]
fn late_receipt_completes_a_keyed_message_that_awaits_its_retry() {
    let mut harness = Harness::new(100);
    let Admission::New(id) = harness.submit("a", KEYED) else { panic!() };
    harness.next_attempt();
    let abandoned = |command: &Command| matches!(command, Command::Abandon { .. }).then_some(());
    harness.advance_until(Duration::from_secs(12), abandoned).expect("a time-out");
    harness.engine.on_receipt(harness.now, id, TransportOutcome::Processed);
    harness.engine.on_receipt(harness.now, id, TransportOutcome::Processed);
    let commands = harness.advance();
    let delivered = commands
        .iter()
        .filter(|command| matches!(command, Command::Complete { outcome: FinalOutcome::Delivered, .. }));
    assert_eq!(delivered.count(), 1, "{commands:?}");
    let retry = harness.advance_until(Duration::from_secs(30), |command| {
        matches!(command, Command::Send { .. }).then_some(())
    });
    assert_eq!((retry, harness.engine.pending_messages()), (None, 0));
}

#[test]
fn unsafe_message_of_a_lost_instance_is_not_sent_again() {
    let mut harness = Harness::new(100);
    let lost = SubmitRequest { from_lost_instance: true, ..harness.message("a", UNSAFE) };
    let Admission::New(id) = harness.engine.submit(harness.now, lost) else { panic!() };
    assert_eq!(
        harness.advance(),
        [Command::Complete { message: id, outcome: FinalOutcome::Failed, attempts: 0 }]
    );
}

#[test]
fn messages_of_one_turn_share_a_request_up_to_max_batch() {
    let mut harness = Harness::new(100);
    for name in ["a", "b", "c", "d", "e"] {
        harness.submit(name, SAFE);
    }
    let commands = harness.advance();
    let sizes: Vec<usize> = commands
        .iter()
        .filter_map(|command| match command {
            Command::Send { attempts, .. } => Some(attempts.len()),
            _ => None,
        })
        .collect();
    // The rate limit starts with capacity for one request, which carries `max_batch` messages; the others wait.
    assert_eq!((sizes, harness.engine.requests_in_flight()), (vec![3], 1));
}

#[test]
fn shutdown_refuses_submissions_and_completes_pending_messages_at_its_deadline() {
    let mut harness = Harness::new(100);
    harness.submit("in flight", UNSAFE);
    harness.next_attempt();
    harness.engine.update_endpoints(harness.now, vec![]);
    harness.submit("waits", UNSAFE);
    harness.advance();
    harness.engine.shut_down_by(harness.now + ms(500));
    assert_eq!(harness.submit("new", UNSAFE), Admission::ShuttingDown);
    assert!(harness.advance().iter().all(|command| !matches!(command, Command::Complete { .. })));
    harness.now = harness.now + ms(500);
    let outcomes: Vec<FinalOutcome> = harness
        .advance()
        .iter()
        .filter_map(|command| match command {
            Command::Complete { outcome, .. } => Some(*outcome),
            _ => None,
        })
        .collect();
    assert_eq!(outcomes, [FinalOutcome::Failed, FinalOutcome::Rejected(Duration::ZERO)]);
}

#[test]
fn result_cache_is_bounded_and_a_rejected_message_may_be_resubmitted() {
    let mut harness = Harness::new(3);
    harness.engine.update_endpoints(harness.now, vec![]);
    for round in 0..10 {
        harness.submit(&format!("m{round}"), SAFE);
        assert!(matches!(harness.next_outcome(), FinalOutcome::Rejected(_)));
    }
    let cached = (0..10).filter(|round| harness.engine.message_id(&format!("m{round}")).is_some()).count();
    assert_eq!(cached, 3);
    assert!(matches!(harness.submit("m9", SAFE), Admission::New(_)));
}

/// State of one message as derived from submissions and commands.
#[derive(Default)]
struct MessageState {
    class: u8,
    in_flight: Option<Attempt>,
    /// End of the first attempt that may have taken effect.
    may_have_run_at: Option<Time>,
    completed: bool,
    deadline: Time,
}

/// Kind of a random step that reports no event and only advances the engine.
const ADVANCE_ONLY: u8 = 11;

/// Checks each command of an engine against the invariants of its message.
struct InvariantChecker {
    harness: Harness,
    messages: BTreeMap<MessageId, MessageState>,
}

impl InvariantChecker {
    /// Runs one random step of kind 0 to 11; `pick` determines its details, such as the message or the endpoint state.
    fn step(&mut self, kind: u8, pick: u16) {
        let attempts: Vec<Attempt> = self.messages.values().filter_map(|state| state.in_flight).collect();
        let in_flight = (!attempts.is_empty()).then(|| attempts[usize::from(pick) % attempts.len()]);
        match kind {
            0..=3 => self.submit(pick),
            4 | 5 => self.complete_attempt(in_flight, TransportOutcome::Processed),
            6 => self.complete_attempt(in_flight, TransportOutcome::Error),
            7 => self.complete_attempt(
                in_flight,
                TransportOutcome::Rejected(pick.is_multiple_of(2).then(|| ms(400))),
            ),
            8 => self.complete_attempt(in_flight, TransportOutcome::ConnectFailed),
            9 => self.complete_attempt(in_flight, TransportOutcome::Reset),
            10 => self.update_endpoints(pick),
            _ => {}
        }
        for command in self.harness.advance() {
            self.check(command);
        }
    }

    fn submit(&mut self, pick: u16) {
        let class = (pick % 3) as u8;
        let order_key = (class == KEYED).then_some(OrderKey(u64::from(pick % 4)));
        let message = SubmitRequest { order_key, ..self.harness.message(&format!("m{pick}"), class) };
        let now = self.harness.now;
        if let Admission::New(id) = self.harness.engine.submit(now, message) {
            let deadline = now + Duration::from_secs(12);
            self.messages.insert(id, MessageState { class, deadline, ..MessageState::default() });
        }
    }

    fn complete_attempt(&mut self, in_flight: Option<Attempt>, outcome: TransportOutcome) {
        let Some(attempt) = in_flight else { return };
        let now = self.harness.now;
        self.harness.engine.on_attempt_completed(now, attempt, outcome, None);
        if let Some(state) = self.messages.get_mut(&attempt.message) {
            state.in_flight = None;
            if !matches!(outcome, TransportOutcome::Rejected(_) | TransportOutcome::ConnectFailed) {
                state.may_have_run_at.get_or_insert(now);
            }
        }
    }

    fn update_endpoints(&mut self, pick: u16) {
        let state = if pick.is_multiple_of(2) { EndpointState::Ready } else { EndpointState::Draining };
        let endpoints = vec![endpoint(1, state), endpoint(2, EndpointState::Ready)];
        self.harness.engine.update_endpoints(self.harness.now, endpoints);
    }

    fn check(&mut self, command: Command) {
        let now = self.harness.now;
        match command {
            Command::Send { attempts, .. } => {
                attempts.into_iter().for_each(|attempt| self.check_sent(attempt));
            }
            Command::Abandon { attempt, .. } => {
                let state = self.messages.get_mut(&attempt.message).unwrap();
                state.in_flight = None;
                state.may_have_run_at.get_or_insert(now);
            }
            Command::Complete { message, outcome, .. } => self.check_completed(message, outcome),
            _ => {}
        }
    }

    fn check_sent(&mut self, attempt: Attempt) {
        let now = self.harness.now;
        let state = self.messages.get_mut(&attempt.message).unwrap();
        assert!(!state.completed, "message sent after its outcome");
        assert!(state.in_flight.is_none(), "second attempt in flight");
        assert!(
            state.class != UNSAFE || state.may_have_run_at.is_none(),
            "unsafe message sent again after it may have run"
        );
        if let (KEYED, Some(ran)) = (state.class, state.may_have_run_at) {
            assert!(now < ran + Duration::from_secs(10), "sent outside the retry window");
        }
        state.in_flight = Some(attempt);
    }

    fn check_completed(&mut self, message: MessageId, outcome: FinalOutcome) {
        let now = self.harness.now;
        let state = self.messages.get_mut(&message).unwrap();
        assert!(!std::mem::replace(&mut state.completed, true), "second outcome");
        assert!(
            now <= state.deadline + settings().rules.outcome_grace,
            "outcome after the deadline and its grace time"
        );
        if let FinalOutcome::Rejected(_) = outcome {
            let cannot_have_run = state.may_have_run_at.is_none() && state.in_flight.is_none();
            assert!(
                state.class == SAFE || cannot_have_run,
                "rejected although it may have run or may still run"
            );
        }
    }

    /// Moves the clock to `at`, but not backwards, and advances the engine.
    fn advance_at(&mut self, at: Time) {
        self.harness.now = at.max(self.harness.now);
        self.step(ADVANCE_ONLY, 0);
    }
}

/// An unsafe message whose attempt is still being prepared when a shutdown ends must be rejected rather than failed:
/// no byte was sent, so it may be submitted again. On a busy machine, composing a message or connecting can last
/// until the end of the shutdown, which made `graceful_shutdown_at_full_load_answers_all_held_messages` fail.
#[test]
fn shutdown_rejects_an_unsafe_message_whose_attempt_was_never_sent() {
    for (started, expected) in [(false, FinalOutcome::Rejected(Duration::ZERO)), (true, FinalOutcome::Failed)]
    {
        let mut harness = Harness::new(10);
        harness.submit("only", UNSAFE);
        let attempt = harness.next_attempt();
        harness.engine.set_attempt_started(attempt, started);
        harness.engine.shut_down_by(harness.now + ms(500));
        assert_eq!(harness.next_outcome(), expected, "sent: {started}");
        assert!(!harness.engine.may_send_now(harness.now, attempt), "attempt may be sent after the outcome");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, rng_seed: RngSeed::Fixed(17), failure_persistence: None, ..Default::default() })]

    /// Random submissions, attempt results, endpoint list updates and waits keep the invariants, and every message
    /// gets an outcome without a forced completion.
    #[test]
    fn invariants_hold_for_random_event_sequences(steps in proptest::collection::vec((0u8..12, any::<u16>(), 1u64..900), 20..200)) {
        let mut checker = InvariantChecker { harness: Harness::new(1000), messages: BTreeMap::new() };
        for (kind, pick, wait) in steps {
            checker.step(kind, pick);
            let until = checker.harness.now + ms(wait);
            while let Some(at) = checker.harness.engine.next_timeout().filter(|at| *at <= until) {
                checker.advance_at(at);
            }
            checker.harness.now = until;
        }
        while checker.harness.engine.pending_messages() > 0 {
            let Some(at) = checker.harness.engine.next_timeout() else { break };
            checker.advance_at(at);
        }
        prop_assert!(checker.messages.values().all(|state| state.completed));
        prop_assert_eq!(checker.harness.engine.counters().forced_completions, 0);
    }
}

#[test]
fn recovered_message_keeps_its_attempts_and_is_completed_even_if_expired() {
    let mut harness = Harness::new(10);
    let recovered =
        RecoveredAttempts { submitted_at: harness.now, attempts: 2, ..RecoveredAttempts::default() };
    let message = harness.message("a", KEYED);
    let id = harness.engine.recover(harness.now, message, recovered);
    assert_eq!(harness.next_attempt(), Attempt { message: id, number: 2 });
    let message = SubmitRequest { deadline: harness.now - ms(1), ..harness.message("b", KEYED) };
    harness.engine.recover(harness.now, message, recovered);
    assert!(matches!(harness.next_outcome(), FinalOutcome::Rejected(_)));
    assert_eq!(harness.engine.counters().forced_completions, 0);
}

#[test]
fn obsolete_message_is_cancelled() {
    let mut harness = Harness::new(10);
    harness.submit("a", UNSAFE);
    let attempt = harness.next_attempt();
    harness.engine.on_attempt_completed(harness.now, attempt, TransportOutcome::Obsolete, None);
    assert_eq!(harness.next_outcome(), FinalOutcome::Cancelled);
    assert_eq!(harness.engine.pending_messages(), 0);
}

/// A response that says that the message is over, but may have been meant for another one, ends it with a report.
#[test]
fn message_that_may_be_obsolete_fails_and_is_not_sent_again() {
    for class in [UNSAFE, KEYED, SAFE] {
        let mut harness = Harness::new(10);
        harness.submit("a", class);
        let attempt = harness.next_attempt();
        let outcome = TransportOutcome::ObsoleteInDoubt;
        harness.engine.on_attempt_completed(harness.now, attempt, outcome, None);
        assert_eq!(harness.next_outcome(), FinalOutcome::Failed);
        assert_eq!(harness.engine.pending_messages(), 0);
    }
}

/// Guards against a message that is sent again after a response that says that all its attempts are used up.
#[test]
fn message_with_exhausted_attempts_ends_with_what_its_earlier_attempts_allow() {
    for (first, is_failed) in [(TransportOutcome::Rejected(None), false), (TransportOutcome::Error, true)] {
        let mut harness = Harness::new(10);
        harness.submit("a", KEYED);
        let attempt = harness.next_attempt();
        harness.engine.on_attempt_completed(harness.now, attempt, first, None);
        let attempt = harness.next_attempt();
        let exhausted = TransportOutcome::AttemptsExhausted;
        harness.engine.on_attempt_completed(harness.now, attempt, exhausted, None);
        assert_eq!(harness.next_outcome() == FinalOutcome::Failed, is_failed);
        assert_eq!(harness.engine.pending_messages(), 0);
    }
}

/// Guards against a response that was read and is forgotten because its attempt ends while it is held.
#[test]
fn held_response_decides_when_its_attempt_times_out_or_the_engine_is_shut_down() {
    for class in [UNSAFE, KEYED, SAFE] {
        for shuts_down in [false, true] {
            let mut harness = Harness::new(10);
            harness.submit("a", class);
            let attempt = harness.next_attempt();
            harness.engine.on_response_held(attempt, TransportOutcome::Processed);
            if shuts_down {
                harness.engine.shut_down_by(harness.now);
            }
            assert_eq!(harness.next_outcome(), FinalOutcome::Delivered);
            assert_eq!(harness.engine.counters().attempts, 1);
        }
    }
}

/// Guards against a message that is sent again although the response to its abandoned attempt says that it is over: while
/// its retry waits, and while the retry has no connection yet.
#[test]
fn late_response_that_ends_the_message_prevents_its_retry() {
    for outcome in
        [TransportOutcome::Obsolete, TransportOutcome::AttemptsExhausted, TransportOutcome::ObsoleteInDoubt]
    {
        for retry_is_planned in [false, true] {
            let mut harness = Harness::new(10);
            harness.submit("a", KEYED);
            let first = harness.next_attempt();
            let abandoned = |command: &Command| matches!(command, Command::Abandon { .. }).then_some(());
            harness.advance_until(Duration::from_secs(12), abandoned).expect("a time-out");
            let retry = retry_is_planned.then(|| harness.next_attempt());
            if let Some(retry) = retry {
                harness.engine.set_attempt_started(retry, false);
            }
            harness.engine.on_attempt_completed(harness.now, first, outcome, None);
            assert_eq!(harness.engine.pending_messages(), 0);
            assert!(retry.is_none_or(|retry| !harness.engine.may_send_now(harness.now, retry)));
            let sent = |command: &Command| matches!(command, Command::Send { .. }).then_some(());
            assert_eq!(harness.advance_until(Duration::from_secs(30), sent), None);
        }
    }
}

/// Guards against a delivery that the next process takes for an attempt that may have run.
#[test]
fn held_responses_are_credited_before_the_process_ends() {
    let mut harness = Harness::new(10);
    for (name, is_held) in [("held", true), ("open", false)] {
        harness.submit(name, UNSAFE);
        let attempt = harness.next_attempt();
        if is_held {
            harness.engine.on_response_held(attempt, TransportOutcome::Processed);
        }
    }
    let commands = harness.engine.credit_held_responses(harness.now);
    let is_delivered =
        |command: &Command| matches!(command, Command::Complete { outcome: FinalOutcome::Delivered, .. });
    assert_eq!(commands.iter().filter(|command| is_delivered(command)).count(), 1, "{commands:?}");
    assert_eq!((harness.engine.pending_messages(), harness.engine.requests_in_flight()), (1, 1));
}

/// A held response that is contradicted does not count.
#[test]
fn outcome_reported_for_an_attempt_replaces_its_held_response() {
    let mut harness = Harness::new(10);
    harness.submit("a", UNSAFE);
    let attempt = harness.next_attempt();
    harness.engine.on_response_held(attempt, TransportOutcome::Processed);
    harness.engine.on_attempt_completed(harness.now, attempt, TransportOutcome::Error, None);
    assert_eq!(harness.next_outcome(), FinalOutcome::Failed);
}

#[test]
fn paused_engine_sends_nothing_but_completes_attempts_in_flight() {
    let mut harness = Harness::new(10);
    harness.submit("a", UNSAFE);
    let attempt = harness.next_attempt();
    harness.engine.set_sending_paused(true);
    harness.submit("b", UNSAFE);
    assert!(harness.advance().is_empty());
    harness.engine.on_attempt_completed(harness.now, attempt, TransportOutcome::Processed, None);
    assert!(matches!(harness.advance()[..], [Command::Complete { outcome: FinalOutcome::Delivered, .. }]));
    harness.engine.set_sending_paused(false);
    harness.next_attempt();
}

/// An attempt that the engine commanded but the transport did not start does not count towards `max_attempts`, and its
/// number is not used again. `may_send_now` revokes an attempt after `Retry-After`, its end, a pause or draining.
#[test]
fn attempt_that_was_not_started_does_not_count_towards_max_attempts() {
    let mut harness = Harness::new(10);
    harness.submit("a", KEYED);
    let max_attempts = settings().max_attempts;
    let mut numbers = Vec::new();
    for _ in 0..max_attempts + 2 {
        let attempt = harness.next_attempt();
        numbers.push(attempt.number);
        assert!(harness.engine.may_send_now(harness.now, attempt));
        harness.engine.on_retry_after(harness.now, EndpointId(1), ms(40));
        assert!(!harness.engine.may_send_now(harness.now, attempt));
        harness.engine.on_attempt_completed(harness.now, attempt, TransportOutcome::NotStarted, None);
        assert!(!harness.engine.may_send_now(harness.now, attempt), "an attempt that has ended may be sent");
    }
    assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]), "{numbers:?}");
    let attempt = harness.next_attempt();
    harness.engine.set_sending_paused(true);
    assert!(!harness.engine.may_send_now(harness.now, attempt), "may be sent while sending is paused");
    harness.engine.set_sending_paused(false);
    harness.engine.update_endpoints(
        harness.now,
        vec![endpoint(1, EndpointState::Draining), endpoint(2, EndpointState::Draining)],
    );
    assert!(!harness.engine.may_send_now(harness.now, attempt));
    harness.engine.update_endpoints(
        harness.now,
        vec![endpoint(1, EndpointState::Ready), endpoint(2, EndpointState::Ready)],
    );
    harness.engine.on_attempt_completed(harness.now, attempt, TransportOutcome::Rejected(None), None);
    // Only the one rejected attempt counts: the remaining `max_attempts - 1` are still available.
    for _ in 1..max_attempts {
        let attempt = harness.next_attempt();
        harness.engine.on_attempt_completed(harness.now, attempt, TransportOutcome::Rejected(None), None);
    }
    assert!(matches!(harness.next_outcome(), FinalOutcome::Rejected(_)));
}
