//! What waits for a lost site goes to the next one only where nothing can take effect twice or out of turn.

use cloverstile::*;
use cloverstile_engine::*;
use cloverstile_failover::{FailoverPlanner, FleetParameters, TierConfig, TierStatus};
use std::time::Duration;

const UNSAFE: u8 = 0;
const ORDERED: u8 = 1;
const IN_ZONE: u8 = 2;
const NORTH: EndpointId = EndpointId(1);
const SOUTH: EndpointId = EndpointId(2);

fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// A courier on its own between two sites of one partner, all of whose messages may spill; the first site is lost.
struct Pair {
    engine: Engine,
    now: Time,
    /// What the lost site does with a call.
    north: TransportOutcome,
    /// Messages that reached the second site, by name.
    south: Vec<String>,
    answers: Vec<(String, FinalOutcome)>,
}

impl Pair {
    fn new(north: TransportOutcome) -> Self {
        let class = |effect, group, in_order, worth| Class {
            effect,
            group,
            ordered: in_order,
            priority_weight: worth,
            deadline: s(30),
            retry_window: s(25),
            ..Class::default()
        };
        let settings = Settings {
            classes: vec![
                class(Effect::Unsafe, Group::All, false, 3.0),
                class(Effect::Keyed, Group::All, true, 1.0),
                class(Effect::Keyed, Group::Zone, false, 1.0),
            ],
            instance_count: 1,
            clients_mark_retries: true,
            ..Settings::default()
        };
        let now = Time(1_000_000_000);
        let tiers = TierConfig {
            destinations: vec![DestinationId(0), DestinationId(1)],
            zones: vec![ZoneId(0), ZoneId(1)],
            capacities: vec![50.0, 50.0],
            spill_share: 1.0,
            spill_rate: None,
            down_after: s(1),
            recovery_ramp: s(5),
        };
        let planner = FailoverPlanner::new(now, FleetParameters::for_rules(&settings.rules), vec![tiers]);
        let bounds = ResultCacheLimits { max_results: 100, retention: s(60) };
        let mut engine = Engine::new(settings, bounds, 3).with_failover_policy(planner);
        let endpoint = |id: u32| Endpoint {
            id: EndpointId(id),
            zone: ZoneId(id as u8 - 1),
            kind: KindId(0),
            destination: DestinationId(id as u16 - 1),
            state: EndpointState::Ready,
            weight: 50.0,
        };
        engine.update_endpoints(now, vec![endpoint(1), endpoint(2)]);
        Pair { engine, now, north, south: Vec::new(), answers: Vec::new() }
    }

    fn hand_in(&mut self, name: &str, class: u8, key: Option<u64>) {
        let taken = SubmitRequest {
            client: 0,
            idempotency_key: name.to_owned(),
            fingerprint: [1; 32],
            class: ClassId(class),
            destination: DestinationId(0),
            order_key: key.map(OrderKey),
            deadline: self.now + s(30),
            tenant: TenantId(0),
            resubmitted: false,
            from_lost_instance: false,
        };
        assert!(matches!(self.engine.submit(self.now, taken), Admission::New(_)));
    }

    /// Plays for so long: calls end after 5 ms, as the site that they went to has it.
    fn play(&mut self, span: Duration) {
        let end = self.now + span;
        let mut out: Vec<(Time, EndpointId, Attempt)> = Vec::new();
        loop {
            for command in self.engine.advance(self.now) {
                match command {
                    Command::Send { endpoint, attempts } => {
                        out.extend(attempts.into_iter().map(|a| (self.now + s(1) / 200, endpoint, a)));
                    }
                    Command::Complete { message, outcome: answer, .. } => {
                        let name = self.engine.idempotency_key(message).unwrap_or_default().to_owned();
                        self.answers.push((name, answer));
                    }
                    _ => {}
                }
            }
            let ends = out.iter().map(|(at, ..)| *at).min();
            let next = [ends, self.engine.next_timeout()].into_iter().flatten().min();
            let Some(next) = next.filter(|at| *at <= end) else {
                self.now = end;
                return;
            };
            self.now = next.max(self.now + Duration::from_micros(10));
            let (over, left) = out.into_iter().partition(|(at, ..)| *at <= self.now);
            out = left;
            for (_, endpoint, attempt) in over {
                let reported = if endpoint == NORTH { self.north } else { TransportOutcome::Processed };
                if endpoint == SOUTH {
                    self.south
                        .push(self.engine.idempotency_key(attempt.message).unwrap_or_default().to_owned());
                }
                self.engine.on_attempt_completed(self.now, attempt, reported, None);
            }
        }
    }
}

#[test]
fn what_waits_for_a_lost_site_goes_to_the_next_and_keeps_its_keys_order() {
    let mut pair = Pair::new(TransportOutcome::ConnectFailed);
    for name in ["a", "b", "c", "d"] {
        pair.hand_in(name, ORDERED, Some(7));
    }
    pair.hand_in("salary", UNSAFE, None);
    pair.play(s(20));
    assert!(matches!(pair.engine.tier_statuses(DestinationId(0))[0], TierStatus::Down(_)));
    assert_eq!(pair.answers.len(), 5, "{:?}", pair.answers);
    assert!(pair.answers.iter().all(|(_, answer)| *answer == FinalOutcome::Delivered), "{:?}", pair.answers);
    let ordered: Vec<&String> = pair.south.iter().filter(|name| *name != "salary").collect();
    assert_eq!(ordered, ["a", "b", "c", "d"]);
    assert!(pair.engine.counters().relocated >= 5, "{:?}", pair.engine.counters());
}

#[test]
fn what_may_have_run_leaves_its_site_only_where_all_sites_drop_the_repeat() {
    // The connection breaks after the message was sent: nobody knows whether it ran.
    let mut pair = Pair::new(TransportOutcome::Reset);
    pair.hand_in("salary", UNSAFE, None);
    pair.hand_in("zone", IN_ZONE, None);
    pair.hand_in("all", ORDERED, Some(1));
    pair.play(s(3));
    assert!(matches!(pair.engine.tier_statuses(DestinationId(0))[0], TierStatus::Down(_)));
    pair.play(s(40));
    assert_eq!(pair.south, ["all"], "{:?}", pair.answers);
    let answer =
        |name: &str| pair.answers.iter().filter(|(n, _)| n == name).map(|(_, a)| *a).collect::<Vec<_>>();
    assert_eq!(answer("salary"), [FinalOutcome::Failed]);
    assert_eq!(answer("zone"), [FinalOutcome::Failed]);
    assert_eq!(answer("all"), [FinalOutcome::Delivered]);
}

#[test]
fn a_new_message_of_a_key_does_not_overtake_those_that_wait_for_a_lost_site() {
    let mut pair = Pair::new(TransportOutcome::Reset);
    pair.hand_in("first", ORDERED, Some(1));
    pair.hand_in("zone", IN_ZONE, None);
    pair.play(s(3));
    pair.hand_in("second", ORDERED, Some(1));
    pair.hand_in("third", ORDERED, Some(1));
    pair.play(s(40));
    assert_eq!(pair.south, ["first", "second", "third"], "{:?}", pair.answers);
}
