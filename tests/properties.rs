//! Property tests: checks the invariants of the policy on arbitrary legal sequences of events, generated with a
//! fixed seed. Attempt outcomes are arbitrary; no server is simulated.

mod common;

use cloverstile::{
    Action, AttemptOutcome, Class, DeliveryPolicy, Effect, Endpoint, EndpointListUpdate, EndpointState,
    Event, Kind, KindId, MessageId, Rules, Settings, Time,
};
use common::{endpoint, keyed_class, ms, safe_class, settings, unsafe_class, Harness};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;
use std::time::Duration;

/// One step of a generated test run. Indexes are taken modulo the number of candidates.
#[derive(Clone, Debug)]
enum Step {
    /// Milliseconds.
    AdvanceTime(u64),
    Submit {
        class: u8,
        destination: u16,
        key: u64,
    },
    /// Completes an attempt in flight, with an outcome of [`attempt_outcome`].
    Complete {
        index: usize,
        outcome: usize,
    },
    /// Cancels a message without a final outcome.
    Cancel(usize),
    SetState {
        endpoint: u32,
        state: usize,
    },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        5 => (1u64..400).prop_map(Step::AdvanceTime),
        5 => (0u8..4, 1u16..4, 0u64..4).prop_map(|(class, destination, key)| Step::Submit { class, destination, key }),
        5 => (0usize..64, 0usize..9).prop_map(|(index, outcome)| Step::Complete { index, outcome }),
        1 => (0usize..64).prop_map(Step::Cancel),
        1 => (0u32..6, 0usize..3).prop_map(|(endpoint, state)| Step::SetState { endpoint, state }),
    ];
    proptest::collection::vec(step, 1..300)
}

/// Six endpoints at three destinations, two kinds and four classes of message; the last class is ordered.
fn settings_and_endpoints() -> (Settings, Vec<Endpoint>) {
    let ordered = Class { ordered: true, ..unsafe_class() };
    let base = settings(vec![keyed_class(), unsafe_class(), safe_class(), ordered]);
    let kinds = vec![
        Kind { max_batch: 1, per_endpoint_limits: false },
        Kind { max_batch: 3, per_endpoint_limits: false },
    ];
    let rules = Rules { key_cooldown: ms(120), ..base.rules.clone() };
    let settings = Settings { concurrency_limit: 5, max_queued: 60, max_attempts: 5, kinds, rules, ..base };
    let endpoints = (0..6)
        .map(|id| Endpoint {
            kind: KindId((id % 2) as u16),
            weight: 20.0,
            ..endpoint(id, 1 + (id / 2) as u16)
        })
        .collect();
    (settings, endpoints)
}

/// The history of a submitted message.
#[derive(Debug)]
struct TrackedMessage {
    class: usize,
    destination: u16,
    key: u64,
    deadline: Time,
    /// Endpoint and send time of the attempt in flight.
    in_flight: Option<(u32, Time)>,
    /// Send time of the first attempt that may have run.
    first_may_have_run: Option<Time>,
    attempts: u32,
    completed: bool,
}

/// Checks the invariants against its own record of events and actions, independent of the policy's state.
struct InvariantChecker {
    settings: Settings,
    messages: BTreeMap<u32, TrackedMessage>,
    /// End of the longest `Retry-After` of each destination.
    retry_after_until: BTreeMap<u16, Time>,
    /// End of the cooldown of each order key.
    cooldown_until: BTreeMap<u64, Time>,
    endpoint_states: BTreeMap<u32, EndpointState>,
}

impl InvariantChecker {
    /// Ids of the messages that match the predicate, in ascending order.
    fn message_ids(&self, predicate: impl Fn(&TrackedMessage) -> bool) -> Vec<u32> {
        self.messages.iter().filter(|(_, message)| predicate(message)).map(|(id, _)| *id).collect()
    }

    fn check(&mut self, now: Time, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { message, endpoint, .. } => self.record_send(now, message.0, endpoint.0),
                Action::Reject { message, .. } => {
                    let id = self.record_completion(now, message.0);
                    let effect = self.settings.classes[self.messages[&id].class].effect;
                    let message = &self.messages[&id];
                    assert!(
                        effect == Effect::Safe
                            || (message.first_may_have_run.is_none() && message.in_flight.is_none())
                    );
                }
                Action::Fail { message } => {
                    self.record_completion(now, message.0);
                }
                _ => {}
            }
        }
    }

    fn record_completion(&mut self, now: Time, id: u32) -> u32 {
        let message = self.messages.get_mut(&id).expect("final outcome of an unknown message");
        assert!(!message.completed, "more than one final outcome");
        assert!(
            now <= message.deadline + self.settings.rules.outcome_grace,
            "final outcome after the deadline and its grace period"
        );
        message.completed = true;
        id
    }

    fn record_send(&mut self, now: Time, id: u32, endpoint: u32) {
        let message = &self.messages[&id];
        let class = &self.settings.classes[message.class];
        assert!(
            !message.completed && message.in_flight.is_none(),
            "second attempt in flight, or attempt after the final outcome"
        );
        assert_eq!(
            self.endpoint_states[&endpoint],
            EndpointState::Ready,
            "request sent to a draining or removed endpoint"
        );
        assert!(
            self.retry_after_until.get(&message.destination).is_none_or(|until| *until <= now),
            "request sent before the end of a Retry-After"
        );
        assert!(message.attempts < self.settings.max_attempts);
        if let Some(first) = message.first_may_have_run {
            assert_ne!(class.effect, Effect::Unsafe, "unsafe message that may have run sent again");
            assert!(
                class.effect == Effect::Safe || now < first + class.retry_window,
                "keyed message sent again after its retry window"
            );
        }
        if class.ordered && message.key != 0 {
            let mut earlier = self.messages.range(..id).map(|(_, earlier)| earlier);
            let same_key = |other: &TrackedMessage| {
                self.settings.classes[other.class].ordered && other.key == message.key
            };
            assert!(
                !earlier.any(|other| same_key(other) && (!other.completed || other.in_flight.is_some())),
                "message sent before an earlier one of its order key completed"
            );
            assert!(
                message.attempts > 0
                    || self.cooldown_until.get(&message.key).is_none_or(|until| *until <= now),
                "message sent during the cooldown of its order key"
            );
        }
        let message = self.messages.get_mut(&id).expect("message is known");
        message.in_flight = Some((endpoint, now));
        message.attempts += 1;
        let in_flight = self.messages.values().filter(|message| message.in_flight.is_some()).count();
        // A request of the second kind carries up to three messages.
        assert!(
            in_flight <= self.settings.concurrency_limit * 3,
            "more messages in flight than the slots can carry"
        );
    }
}

fn attempt_outcome(index: usize) -> AttemptOutcome {
    match index {
        0 => AttemptOutcome::Rejected(None),
        1 => AttemptOutcome::Rejected(Some(ms(700))),
        2 => AttemptOutcome::Error,
        3 => AttemptOutcome::Timeout,
        4 => AttemptOutcome::ConnectFailed,
        5 => AttemptOutcome::Reset,
        6 => AttemptOutcome::Abandoned,
        _ => AttemptOutcome::Ok,
    }
}

/// A policy driven by steps: checks each of its actions and records them all.
struct CheckedRun {
    harness: Harness,
    endpoints: Vec<Endpoint>,
    checker: InvariantChecker,
    actions: Vec<Action>,
    last_id: u32,
}

impl CheckedRun {
    fn new(seed: u64) -> Self {
        let (settings, endpoints) = settings_and_endpoints();
        let mut harness = Harness::new(settings.clone(), endpoints.clone());
        harness.policy = DeliveryPolicy::new(settings.clone(), seed);
        harness.on_event(Event::EndpointsUpdated(EndpointListUpdate::Snapshot(endpoints.clone())));
        let endpoint_states = endpoints.iter().map(|e| (e.id.0, e.state)).collect();
        let (messages, retry_after_until, cooldown_until) = Default::default();
        let checker =
            InvariantChecker { settings, messages, retry_after_until, cooldown_until, endpoint_states };
        CheckedRun { harness, endpoints, checker, actions: Vec::new(), last_id: 0 }
    }

    /// Lets the policy act, and checks and records its actions.
    fn run_policy(&mut self) {
        let actions = self.harness.next_actions();
        self.checker.check(self.harness.now, &actions);
        self.actions.extend(actions);
    }

    /// Advances the time by `duration` milliseconds, in steps of 5 ms.
    fn advance_time(&mut self, duration: u64) {
        let end = self.harness.now + ms(duration);
        while self.harness.now < end {
            self.harness.now = self.harness.now + ms(5);
            // An attempt times out at the deadline of its message at the latest.
            let now = self.harness.now;
            for id in
                self.checker.message_ids(|message| message.in_flight.is_some() && message.deadline <= now)
            {
                self.complete(id, AttemptOutcome::Timeout);
            }
            self.run_policy();
        }
    }

    fn submit(&mut self, class: u8, destination: u16, key: u64) {
        if self.checker.message_ids(|message| !message.completed).len() >= self.checker.settings.max_queued {
            return;
        }
        self.last_id += 1;
        self.harness.submit(self.last_id, class, destination, (key > 0).then_some(key));
        let class = usize::from(class);
        let deadline = self.harness.now + self.checker.settings.classes[class].deadline;
        let (in_flight, first_may_have_run) = (None, None);
        let message = TrackedMessage {
            class,
            destination,
            key,
            deadline,
            in_flight,
            first_may_have_run,
            attempts: 0,
            completed: false,
        };
        self.checker.messages.insert(self.last_id, message);
        self.run_policy();
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::AdvanceTime(duration) => return self.advance_time(duration),
            Step::Submit { class, destination, key } => return self.submit(class, destination, key),
            Step::Complete { index, outcome } => {
                let in_flight = self.checker.message_ids(|message| message.in_flight.is_some());
                if !in_flight.is_empty() {
                    self.complete(in_flight[index % in_flight.len()], attempt_outcome(outcome));
                }
            }
            Step::Cancel(index) => {
                let unfinished = self.checker.message_ids(|message| !message.completed);
                if !unfinished.is_empty() {
                    let cancelled = unfinished[index % unfinished.len()];
                    self.harness.on_event(Event::Cancelled(MessageId(cancelled)));
                    self.checker.messages.get_mut(&cancelled).expect("message is known").completed = true;
                }
            }
            Step::SetState { endpoint, state } => {
                let state = [EndpointState::Ready, EndpointState::Draining, EndpointState::Removed][state];
                let entry = Endpoint { state, ..self.endpoints[endpoint as usize].clone() };
                self.harness.on_event(Event::EndpointsUpdated(EndpointListUpdate::Delta(vec![entry])));
                self.checker.endpoint_states.insert(endpoint, state);
            }
        }
        self.run_policy();
    }

    fn complete(&mut self, id: u32, outcome: AttemptOutcome) {
        let message = self.checker.messages.get_mut(&id).expect("message is known");
        let (endpoint, sent_at) = message.in_flight.take().expect("attempt is in flight");
        let never_ran = matches!(
            outcome,
            AttemptOutcome::Rejected(_) | AttemptOutcome::ConnectFailed | AttemptOutcome::Unsent
        );
        if !never_ran && message.first_may_have_run.is_none() {
            message.first_may_have_run = Some(sent_at);
        }
        if outcome == AttemptOutcome::Ok {
            message.completed = true;
        }
        if let AttemptOutcome::Rejected(Some(wait)) = outcome {
            let until = self.checker.retry_after_until.entry(message.destination).or_insert(Time::ZERO);
            *until = (*until).max(self.harness.now + wait);
        }
        let ordered = self.checker.settings.classes[message.class].ordered;
        if ordered
            && matches!(outcome, AttemptOutcome::Timeout | AttemptOutcome::Reset | AttemptOutcome::Abandoned)
        {
            self.checker
                .cooldown_until
                .insert(message.key, self.harness.now + self.checker.settings.rules.key_cooldown);
        }
        self.harness.complete_attempt(id, endpoint, outcome, self.harness.now - sent_at);
    }
}

/// Runs the steps and then 30 s more, checks the invariants on every action, and returns all actions.
fn run_steps(steps: &[Step], seed: u64) -> Vec<Action> {
    let mut run = CheckedRun::new(seed);
    for step in steps.iter().cloned().chain((0..120).map(|_| Step::AdvanceTime(250))) {
        run.step(&step);
    }
    assert!(
        run.checker.messages.values().all(|message| message.completed),
        "message without a final outcome"
    );
    run.actions
}

fn test_runner() -> TestRunner {
    let config = Config { cases: 60, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]))
}

#[test]
fn invariants_hold_for_arbitrary_events() {
    let check = |steps: Vec<Step>| {
        run_steps(&steps, 3);
        Ok(())
    };
    test_runner().run(&steps(), check).unwrap();
}

#[test]
fn identical_events_give_identical_actions() {
    let check = |steps: Vec<Step>| {
        prop_assert_eq!(run_steps(&steps, 5), run_steps(&steps, 5));
        Ok(())
    };
    test_runner().run(&steps(), check).unwrap();
}

/// Two interleaved policies share no state: each acts as it would alone.
#[test]
fn interleaved_policies_are_independent() {
    let run_step = |harness: &mut Harness, step: u32| {
        harness.now = harness.now + ms(40);
        harness.submit(step, 2, 1 + (step % 3) as u16, None);
        let actions = harness.next_actions();
        for action in &actions {
            if let Action::Send { message, endpoint, .. } = action {
                harness.complete_attempt(message.0, endpoint.0, attempt_outcome((step % 9) as usize), ms(7));
            }
        }
        actions
    };
    let new_harness = || {
        let (settings, endpoints) = settings_and_endpoints();
        Harness::new(settings, endpoints)
    };
    let (mut isolated, mut first, mut second) = (new_harness(), new_harness(), new_harness());
    second.now = second.now + Duration::from_secs(9);
    for step in 0..300 {
        let expected = run_step(&mut isolated, step);
        let actual = run_step(&mut first, step);
        run_step(&mut second, step * 2);
        assert_eq!(actual, expected);
    }
}
