//! Arbitrary legal sequences of events, with a fixed seed: the invariants hold whatever the policy does.
//! Outcomes are arbitrary; no server is simulated.

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

#[derive(Clone, Debug)]
enum Step {
    Pass(u64),
    Submit { class: u8, destination: u16, key: u64 },
    Complete { which: usize, how: usize },
    Cancel(usize),
    SetState { endpoint: u32, state: usize },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        5 => (1u64..400).prop_map(Step::Pass),
        5 => (0u8..4, 1u16..4, 0u64..4).prop_map(|(class, destination, key)| Step::Submit { class, destination, key }),
        5 => (0usize..64, 0usize..9).prop_map(|(which, how)| Step::Complete { which, how }),
        1 => (0usize..64).prop_map(Step::Cancel),
        1 => (0u32..6, 0usize..3).prop_map(|(endpoint, state)| Step::SetState { endpoint, state }),
    ];
    proptest::collection::vec(step, 1..300)
}

fn world() -> (Settings, Vec<Endpoint>) {
    let in_order = Class { ordered: true, ..unsafe_class() };
    let base = settings(vec![keyed_class(), unsafe_class(), safe_class(), in_order]);
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

#[derive(Debug)]
struct Held {
    class: usize,
    destination: u16,
    key: u64,
    deadline: Time,
    in_flight: Option<(u32, Time)>,
    first_may_have_run: Option<Time>,
    sends: u32,
    ended: bool,
}

/// What the invariants need of the past, kept apart from the policy's own state.
struct InvariantChecker {
    settings: Settings,
    held: BTreeMap<u32, Held>,
    waits: BTreeMap<u16, Time>,
    cooldowns: BTreeMap<u64, Time>,
    states: BTreeMap<u32, EndpointState>,
}

impl InvariantChecker {
    /// Ids of the messages that this is true of, in order.
    fn ids(&self, is: impl Fn(&Held) -> bool) -> Vec<u32> {
        self.held.iter().filter(|(_, held)| is(held)).map(|(id, _)| *id).collect()
    }

    fn check(&mut self, now: Time, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { message, endpoint, .. } => self.sent(now, message.0, endpoint.0),
                Action::Reject { message, .. } => {
                    let held = self.completed(now, message.0);
                    let effect = self.settings.classes[self.held[&held].class].effect;
                    let held = &self.held[&held];
                    assert!(
                        effect == Effect::Safe
                            || (held.first_may_have_run.is_none() && held.in_flight.is_none())
                    );
                }
                Action::Fail { message } => {
                    self.completed(now, message.0);
                }
                _ => {}
            }
        }
    }

    fn completed(&mut self, now: Time, id: u32) -> u32 {
        let held = self.held.get_mut(&id).expect("answers only what it holds");
        assert!(!held.ended, "one final answer");
        assert!(now <= held.deadline + self.settings.rules.answer_grace, "in time");
        held.ended = true;
        id
    }

    fn sent(&mut self, now: Time, id: u32, endpoint: u32) {
        let held = &self.held[&id];
        let class = &self.settings.classes[held.class];
        assert!(!held.ended && held.in_flight.is_none(), "never two attempts, nothing after the end");
        assert_eq!(self.states[&endpoint], EndpointState::Ready, "nothing to a drained endpoint");
        assert!(self.waits.get(&held.destination).is_none_or(|until| *until <= now), "waits are kept");
        assert!(held.sends < self.settings.max_attempts);
        if let Some(first) = held.first_may_have_run {
            assert_ne!(class.effect, Effect::Unsafe, "no unsafe resend");
            assert!(class.effect == Effect::Safe || now < first + class.retry_window, "inside the window");
        }
        if class.ordered && held.key != 0 {
            let mut earlier = self.held.range(..id).map(|(_, h)| h);
            let same_key = |h: &Held| self.settings.classes[h.class].ordered && h.key == held.key;
            assert!(!earlier.any(|h| same_key(h) && (!h.ended || h.in_flight.is_some())), "keys in turn");
            assert!(
                held.sends > 0 || self.cooldowns.get(&held.key).is_none_or(|until| *until <= now),
                "rest"
            );
        }
        let held = self.held.get_mut(&id).expect("known");
        held.in_flight = Some((endpoint, now));
        held.sends += 1;
        let in_flight = self.held.values().filter(|h| h.in_flight.is_some()).count();
        assert!(in_flight <= self.settings.concurrency_limit * 3, "slots");
    }
}

fn outcome(how: usize) -> AttemptOutcome {
    match how {
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

/// A policy with what the invariants need of its past, and all its actions.
struct Run {
    harness: Harness,
    endpoints: Vec<Endpoint>,
    checker: InvariantChecker,
    actions: Vec<Action>,
    last_id: u32,
}

impl Run {
    fn new(seed: u64) -> Self {
        let (settings, endpoints) = world();
        let mut harness = Harness::new(settings.clone(), endpoints.clone());
        harness.policy = DeliveryPolicy::new(settings.clone(), seed);
        harness.on_event(Event::EndpointsUpdated(EndpointListUpdate::Snapshot(endpoints.clone())));
        let states = endpoints.iter().map(|e| (e.id.0, e.state)).collect();
        let (held, waits, cooldowns) = Default::default();
        let checker = InvariantChecker { settings, held, waits, cooldowns, states };
        Run { harness, endpoints, checker, actions: Vec::new(), last_id: 0 }
    }

    fn act(&mut self) {
        let actions = self.harness.next_actions();
        self.checker.check(self.harness.now, &actions);
        self.actions.extend(actions);
    }

    fn pass(&mut self, span: u64) {
        let end = self.harness.now + ms(span);
        while self.harness.now < end {
            self.harness.now = self.harness.now + ms(5);
            // An attempt whose time-out is its deadline times out there.
            let now = self.harness.now;
            for id in self.checker.ids(|held| held.in_flight.is_some() && held.deadline <= now) {
                self.complete(id, AttemptOutcome::Timeout);
            }
            self.act();
        }
    }

    fn submit(&mut self, class: u8, destination: u16, key: u64) {
        if self.checker.ids(|held| !held.ended).len() >= self.checker.settings.max_queued {
            return;
        }
        self.last_id += 1;
        self.harness.submit(self.last_id, class, destination, (key > 0).then_some(key));
        let class = usize::from(class);
        let deadline = self.harness.now + self.checker.settings.classes[class].deadline;
        let (in_flight, first_may_have_run) = (None, None);
        let held =
            Held { class, destination, key, deadline, in_flight, first_may_have_run, sends: 0, ended: false };
        self.checker.held.insert(self.last_id, held);
        self.act();
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Pass(span) => return self.pass(span),
            Step::Submit { class, destination, key } => return self.submit(class, destination, key),
            Step::Complete { which, how } => {
                let in_flight = self.checker.ids(|held| held.in_flight.is_some());
                if !in_flight.is_empty() {
                    self.complete(in_flight[which % in_flight.len()], outcome(how));
                }
            }
            Step::Cancel(which) => {
                let open = self.checker.ids(|held| !held.ended);
                if !open.is_empty() {
                    let cancelled = open[which % open.len()];
                    self.harness.on_event(Event::Cancelled(MessageId(cancelled)));
                    self.checker.held.get_mut(&cancelled).expect("open").ended = true;
                }
            }
            Step::SetState { endpoint, state } => {
                let state = [EndpointState::Ready, EndpointState::Draining, EndpointState::Removed][state];
                let entry = Endpoint { state, ..self.endpoints[endpoint as usize].clone() };
                self.harness.on_event(Event::EndpointsUpdated(EndpointListUpdate::Delta(vec![entry])));
                self.checker.states.insert(endpoint, state);
            }
        }
        self.act();
    }

    fn complete(&mut self, id: u32, outcome: AttemptOutcome) {
        let held = self.checker.held.get_mut(&id).expect("known");
        let (endpoint, sent) = held.in_flight.take().expect("out");
        let never = matches!(
            outcome,
            AttemptOutcome::Rejected(_) | AttemptOutcome::ConnectFailed | AttemptOutcome::Unsent
        );
        if !never && held.first_may_have_run.is_none() {
            held.first_may_have_run = Some(sent);
        }
        if outcome == AttemptOutcome::Ok {
            held.ended = true;
        }
        if let AttemptOutcome::Rejected(Some(wait)) = outcome {
            let until = self.checker.waits.entry(held.destination).or_insert(Time::ZERO);
            *until = (*until).max(self.harness.now + wait);
        }
        let in_order = self.checker.settings.classes[held.class].ordered;
        if in_order
            && matches!(outcome, AttemptOutcome::Timeout | AttemptOutcome::Reset | AttemptOutcome::Abandoned)
        {
            self.checker
                .cooldowns
                .insert(held.key, self.harness.now + self.checker.settings.rules.key_cooldown);
        }
        self.harness.complete_attempt(id, endpoint, outcome, self.harness.now - sent);
    }
}

/// Plays the steps, checks the invariants on every action, and returns all of them.
fn play(steps: &[Step], seed: u64) -> Vec<Action> {
    let mut run = Run::new(seed);
    for step in steps.iter().cloned().chain((0..120).map(|_| Step::Pass(250))) {
        run.step(&step);
    }
    assert!(run.checker.held.values().all(|h| h.ended), "every message has its final answer");
    run.actions
}

fn runner() -> TestRunner {
    let config = Config { cases: 60, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]))
}

#[test]
fn invariants_hold_for_arbitrary_events() {
    let check = |steps: Vec<Step>| {
        play(&steps, 3);
        Ok(())
    };
    runner().run(&steps(), check).unwrap();
}

#[test]
fn identical_events_give_identical_actions() {
    let check = |steps: Vec<Step>| {
        prop_assert_eq!(play(&steps, 5), play(&steps, 5));
        Ok(())
    };
    runner().run(&steps(), check).unwrap();
}

/// Two policies used in turn act as each does alone.
#[test]
fn interleaved_policies_are_independent() {
    let run = |harness: &mut Harness, step: u32| {
        harness.now = harness.now + ms(40);
        harness.submit(step, 2, 1 + (step % 3) as u16, None);
        let actions = harness.next_actions();
        for action in &actions {
            if let Action::Send { message, endpoint, .. } = action {
                harness.complete_attempt(message.0, endpoint.0, outcome((step % 9) as usize), ms(7));
            }
        }
        actions
    };
    let fresh = || {
        let (settings, endpoints) = world();
        Harness::new(settings, endpoints)
    };
    let (mut alone, mut one, mut two) = (fresh(), fresh(), fresh());
    two.now = two.now + Duration::from_secs(9);
    for step in 0..300 {
        let expected = run(&mut alone, step);
        let seen = run(&mut one, step);
        run(&mut two, step * 2);
        assert_eq!(seen, expected);
    }
}
