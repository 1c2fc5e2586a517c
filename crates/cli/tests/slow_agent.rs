//! A discovery agent that answers notifications late. Judged from what it read and answered.

mod gateway_harness;

use cloverstile_fakes::platform::{AgentBehaviour, EndpointBehaviour, PlatformEvent};
use gateway_harness::{payment, GatewayHarness, EVENT_TIMEOUT};
use std::collections::BTreeMap;
use std::time::Duration;

/// Number of messages, each of which ends by a notification.
const MESSAGES: usize = 300;
/// Time between two messages.
const SUBMISSION_INTERVAL: Duration = Duration::from_millis(5);
/// Most requests that may carry one notification to an agent that answers each of them.
const MAX_REQUESTS: usize = 2;

/// Number of requests that carried the notification of each message, and whether one of them was answered.
#[derive(Default)]
struct Notified {
    requests: usize,
    is_answered: bool,
}

fn notified(events: &[(Duration, PlatformEvent)]) -> BTreeMap<&str, Notified> {
    let mut messages: BTreeMap<&str, Notified> = BTreeMap::new();
    for (_, event) in events {
        match event {
            PlatformEvent::Notification { id, .. } => messages.entry(id).or_default().requests += 1,
            PlatformEvent::NotificationAnswered { id } => messages.entry(id).or_default().is_answered = true,
            _ => {}
        }
    }
    messages
}

/// Guards against a request for notifications that is given up a moment before its answer, in favour of others: with an agent
/// slower than 0.2 s no answer was ever used, and notifications went out 49 times or never.
#[test]
fn notifications_to_a_slow_agent_are_each_acknowledged_after_few_requests() {
    let run = |latency_ms: u64| {
        let latency = Duration::from_millis(latency_ms);
        let mut harness = GatewayHarness::new(&format!("slow-agent-{latency_ms}"), &[3]);
        harness.platform.set_agent_behaviour(0, AgentBehaviour::AnswersNotificationsLate(latency));
        let error = b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n".to_vec();
        harness.platform.set_behaviour(0, EndpointBehaviour::Respond(error));
        harness.start();
        let mut client = harness.connect_client();
        let mut accepted = 0;
        for number in 0..MESSAGES {
            let put = payment(format!("m{number}"));
            accepted += usize::from(harness.platform.submit(&mut client, &put).unwrap() == "+OK");
            std::thread::sleep(SUBMISSION_INTERVAL);
        }
        harness.platform.wait_until(EVENT_TIMEOUT, |events| {
            notified(events).values().filter(|message| message.is_answered).count() >= accepted
        });
        let events = harness.platform.events();
        let messages = notified(&events);
        let answered = messages.values().filter(|message| message.is_answered).count();
        let most = messages.values().map(|message| message.requests).max();
        assert_eq!(answered, accepted, "{latency:?}: not each was acknowledged");
        assert!(most <= Some(MAX_REQUESTS), "{latency:?}: {most:?} requests for a notification");
    };
    std::thread::scope(|scope| {
        for latency_ms in [10, 300, 500, 1900] {
            scope.spawn(move || run(latency_ms));
        }
    });
}
