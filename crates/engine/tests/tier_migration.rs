//! Tests of tier migration: messages leave a tier that is down only if that cannot repeat their effect or break the
//! order of their order key.

use cloverstile::{
    Class, ClassId, DestinationId, Effect, Endpoint, EndpointId, EndpointState, Group, KindId, OrderKey,
    Settings, TenantId, Time, ZoneId,
};
use cloverstile_engine::{
    Admission, Attempt, Command, Engine, FinalOutcome, ResultCacheLimits, SubmitRequest, TransportOutcome,
};
use cloverstile_failover::{FailoverPlanner, FleetParameters, TierConfig, TierStatus};
use std::time::Duration;

const UNSAFE: u8 = 0;
const ORDERED: u8 = 1;
const IN_ZONE: u8 = 2;
const FIRST_TIER: EndpointId = EndpointId(1);
const SECOND_TIER: EndpointId = EndpointId(2);
const LATENCY: Duration = Duration::from_millis(5);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Attempt in flight and the time at which the partner completes it.
struct InFlight {
    ends_at: Time,
    endpoint: EndpointId,
    attempt: Attempt,
}

/// Final outcome of a message, identified by its idempotency key.
#[derive(Debug)]
struct NamedOutcome {
    name: String,
    outcome: FinalOutcome,
}

/// A single gateway instance and a partner with two tiers, of which the first is down. All messages may spill to the
/// second.
struct TwoTiers {
    engine: Engine,
    now: Time,
    /// Result of every attempt sent to the first tier.
    first_tier_result: TransportOutcome,
    /// Idempotency keys of the messages that reached the second tier, in order of their attempts' ends.
    second_tier_received: Vec<String>,
    outcomes: Vec<NamedOutcome>,
}

impl TwoTiers {
    fn new(first_tier_result: TransportOutcome) -> Self {
        let class = |effect, group, ordered, priority_weight| Class {
            effect,
            group,
            ordered,
            priority_weight,
            deadline: seconds(30),
            retry_window: seconds(25),
            ..Class::default()
        };
        let settings = Settings {
            classes: vec![
                class(Effect::Unsafe, Group::All, false, 3.0),
                class(Effect::Keyed, Group::All, true, 1.0),
                class(Effect::Keyed, Group::Zone, false, 1.0),
            ],
            instance_count: 1,
            clients_mark_resubmissions: true,
            ..Settings::default()
        };
        let now = Time(1_000_000_000);
        let config = TierConfig {
            destinations: vec![DestinationId(0), DestinationId(1)],
            zones: vec![ZoneId(0), ZoneId(1)],
            capacities: vec![50.0, 50.0],
            spill_share: 1.0,
            spill_rate: None,
            down_after: seconds(1),
            recovery_ramp: seconds(5),
        };
        let planner = FailoverPlanner::new(now, FleetParameters::for_rules(&settings.rules), vec![config]);
        let limits = ResultCacheLimits { max_results: 100, retention: seconds(60) };
        let mut engine = Engine::new(settings, limits, 3).with_failover_policy(planner);
        let endpoint = |id: u32| Endpoint {
            id: EndpointId(id),
            zone: ZoneId(id as u8 - 1),
            kind: KindId(0),
            destination: DestinationId(id as u16 - 1),
            state: EndpointState::Ready,
            weight: 50.0,
        };
        engine.update_endpoints(now, vec![endpoint(1), endpoint(2)]);
        TwoTiers { engine, now, first_tier_result, second_tier_received: Vec::new(), outcomes: Vec::new() }
    }

    fn submit(&mut self, name: &str, class: u8, key: Option<u64>) {
        let request = SubmitRequest {
            client: 0,
            idempotency_key: name.to_owned(),
            fingerprint: [1; 32],
            class: ClassId(class),
            destination: DestinationId(0),
            order_key: key.map(OrderKey),
            deadline: self.now + seconds(30),
            tenant: TenantId(0),
            resubmitted: false,
            from_lost_instance: false,
        };
        assert!(matches!(self.engine.submit(self.now, request), Admission::New(_)));
    }

    /// Advances the engine for `span`. Attempts end after [`LATENCY`]: those at the first tier with
    /// `first_tier_result`, those at the second as processed.
    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        let mut in_flight: Vec<InFlight> = Vec::new();
        loop {
            for command in self.engine.advance(self.now) {
                match command {
                    Command::Send { endpoint, attempts } => {
                        let ends_at = self.now + LATENCY;
                        in_flight.extend(attempts.into_iter().map(|attempt| InFlight {
                            ends_at,
                            endpoint,
                            attempt,
                        }));
                    }
                    Command::Complete { message, outcome, .. } => {
                        let name = self.engine.idempotency_key(message).unwrap_or_default().to_owned();
                        self.outcomes.push(NamedOutcome { name, outcome });
                    }
                    _ => {}
                }
            }
            let ends = in_flight.iter().map(|attempt| attempt.ends_at).min();
            let next = [ends, self.engine.next_timeout()].into_iter().flatten().min();
            let Some(next) = next.filter(|at| *at <= end) else {
                self.now = end;
                return;
            };
            self.now = next.max(self.now + Duration::from_micros(10));
            let (ended, remaining) = in_flight.into_iter().partition(|attempt| attempt.ends_at <= self.now);
            in_flight = remaining;
            for InFlight { endpoint, attempt, .. } in ended {
                let outcome =
                    if endpoint == FIRST_TIER { self.first_tier_result } else { TransportOutcome::Processed };
                if endpoint == SECOND_TIER {
                    self.second_tier_received
                        .push(self.engine.idempotency_key(attempt.message).unwrap_or_default().to_owned());
                }
                self.engine.on_attempt_completed(self.now, attempt, outcome, None);
            }
        }
    }
}

#[test]
fn messages_queued_for_a_down_tier_migrate_in_order_of_their_key() {
    let mut tiers = TwoTiers::new(TransportOutcome::ConnectFailed);
    for name in ["a", "b", "c", "d"] {
        tiers.submit(name, ORDERED, Some(7));
    }
    tiers.submit("salary", UNSAFE, None);
    tiers.run(seconds(20));
    assert!(matches!(tiers.engine.tier_statuses(DestinationId(0))[0], TierStatus::Down(_)));
    assert_eq!(tiers.outcomes.len(), 5, "{:?}", tiers.outcomes);
    assert!(
        tiers.outcomes.iter().all(|named| named.outcome == FinalOutcome::Delivered),
        "{:?}",
        tiers.outcomes
    );
    let ordered: Vec<&String> = tiers.second_tier_received.iter().filter(|name| *name != "salary").collect();
    assert_eq!(ordered, ["a", "b", "c", "d"]);
    assert!(tiers.engine.counters().relocated >= 5, "{:?}", tiers.engine.counters());
}

#[test]
fn message_that_may_have_run_migrates_only_if_all_tiers_deduplicate_it() {
    // The connection is reset after the message was sent, so it is unknown whether the message took effect.
    let mut tiers = TwoTiers::new(TransportOutcome::Reset);
    tiers.submit("salary", UNSAFE, None);
    tiers.submit("zone", IN_ZONE, None);
    tiers.submit("all", ORDERED, Some(1));
    tiers.run(seconds(3));
    assert!(matches!(tiers.engine.tier_statuses(DestinationId(0))[0], TierStatus::Down(_)));
    tiers.run(seconds(40));
    assert_eq!(tiers.second_tier_received, ["all"], "{:?}", tiers.outcomes);
    let outcomes_of = |name: &str| {
        let named = tiers.outcomes.iter().filter(|named| named.name == name);
        named.map(|named| named.outcome).collect::<Vec<_>>()
    };
    assert_eq!(outcomes_of("salary"), [FinalOutcome::Failed]);
    assert_eq!(outcomes_of("zone"), [FinalOutcome::Failed]);
    assert_eq!(outcomes_of("all"), [FinalOutcome::Delivered]);
}

#[test]
fn new_message_does_not_overtake_messages_of_its_key_queued_for_a_down_tier() {
    let mut tiers = TwoTiers::new(TransportOutcome::Reset);
    tiers.submit("first", ORDERED, Some(1));
    tiers.submit("zone", IN_ZONE, None);
    tiers.run(seconds(3));
    tiers.submit("second", ORDERED, Some(1));
    tiers.submit("third", ORDERED, Some(1));
    tiers.run(seconds(40));
    assert_eq!(tiers.second_tier_received, ["first", "second", "third"], "{:?}", tiers.outcomes);
}
