//! Counts of what passed between gateways and endpoints in a run.

use cloverstile_fakes::platform::{PlatformEvent, TimedEvent};
use serde::Serialize;
use std::collections::HashMap;
use std::time::Duration;

/// Counts of what passed between gateways and endpoints in a run.
#[derive(Clone, Debug, Default)]
pub struct Traffic {
    /// Connections that endpoints accepted.
    pub connections: u64,
    /// Requests that endpoints received.
    pub requests: u64,
    /// Time from the submission of each delivered message to its delivery.
    pub delivery_times: Vec<Duration>,
    /// Writes of bytes behind a response, by the time since the response in milliseconds.
    pub surplus: HashMap<u64, SurplusCount>,
}

/// Bytes written behind a response, and how often a request was in progress on their connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct SurplusCount {
    /// How often they were written.
    pub written: u64,
    /// How often a request was in progress then.
    pub crossed: u64,
}

impl Traffic {
    /// Counts the events of a run.
    pub fn count(events: &[TimedEvent]) -> Traffic {
        let mut traffic = Traffic::default();
        let mut submitted = HashMap::new();
        for (at, event) in events {
            if let PlatformEvent::Submitted { id, .. } = event {
                submitted.insert(id.as_str(), *at);
            }
        }
        for (at, event) in events {
            match event {
                PlatformEvent::ConnectionAccepted => traffic.connections += 1,
                PlatformEvent::RequestReceived { .. } => traffic.requests += 1,
                PlatformEvent::Delivered { id } => {
                    let time = submitted.remove(id.as_str()).map(|submitted| at.saturating_sub(submitted));
                    traffic.delivery_times.extend(time);
                }
                PlatformEvent::SurplusWritten { delay, crossed } => {
                    let delay_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
                    let count = traffic.surplus.entry(delay_ms).or_default();
                    count.written += 1;
                    count.crossed += u64::from(crossed.is_some());
                }
                _ => {}
            }
        }
        traffic
    }
}
