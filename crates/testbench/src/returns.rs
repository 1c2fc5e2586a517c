//! Load of returning sites in short windows, from the record of a day over sockets.

use crate::day::Day;
use cloverstile_fakes::model::ServerProfile;
use cloverstile_fakes::record::{ObservedEvent, RecordLine};
use serde::Serialize;
use std::time::Duration;

/// Length of a window.
pub const WINDOW: Duration = Duration::from_millis(100);
/// A return is watched for so many times the cold time.
const WATCHED: f64 = 2.0;

/// A window of a returning site.
#[derive(Clone, Debug, Serialize)]
pub struct Window {
    /// Partner.
    pub partner: String,
    /// Its zone.
    pub zone: usize,
    /// Beginning of the window, in milliseconds since the site's return.
    pub after_ms: u64,
    /// Requests that reached it.
    pub received: u32,
    /// Requests that it can serve in that time, cold as it is.
    pub capacity: f64,
    /// Requests that it survives in that time: the rules' multiple of its capacity.
    pub bound: f64,
}

/// All windows of all returns of a day.
pub fn windows(day: &Day, lines: &[RecordLine]) -> Vec<Window> {
    let spec = day.spec();
    let mut windows = Vec::new();
    for line in lines {
        let ObservedEvent::Outage { partner, zone, began: false } = &line.event else { continue };
        let Some(told) = spec.partners.iter().find(|told| told.name == *partner) else { continue };
        let mut zones: Vec<usize> = told.zones.clone();
        zones.sort_unstable();
        zones.dedup();
        for zone in zones.into_iter().filter(|each| zone.is_none_or(|zone| zone == *each)) {
            windows.extend(of_return(lines, line.at, (partner, zone), &told.zones, &told.profile));
        }
    }
    windows
}

fn of_return(
    lines: &[RecordLine],
    since: u64,
    (partner, zone): (&str, usize),
    zones: &[usize],
    nature: &ServerProfile,
) -> Vec<Window> {
    let last = lines.last().map_or(since, |line| line.at);
    let watched = nature.warm_up_time.mul_f64(WATCHED).min(Duration::from_micros(last.saturating_sub(since)));
    let mut received = vec![0_u32; (watched.as_nanos() / WINDOW.as_nanos()) as usize];
    for line in lines.iter().filter(|line| line.at >= since) {
        let ObservedEvent::RequestReceived { partner: to, endpoint, .. } = &line.event else { continue };
        let place = (u128::from(line.at - since) * 1000 / WINDOW.as_nanos()) as usize;
        if to == partner && zones.get(*endpoint) == Some(&zone) {
            if let Some(count) = received.get_mut(place) {
                *count += 1;
            }
        }
    }
    let window = |(place, received): (usize, u32)| {
        let after = WINDOW * place as u32;
        // As warm as it is at the window's end.
        let capacity = nature.rate() * nature.capacity_share(after + WINDOW) * WINDOW.as_secs_f64();
        Window {
            partner: partner.to_owned(),
            zone,
            after_ms: after.as_millis() as u64,
            received,
            capacity,
            bound: nature.collapse_multiple * capacity,
        }
    };
    received.into_iter().enumerate().map(window).collect()
}

/// Whether a window got more than the site survives.
pub fn is_over(window: &Window) -> bool {
    f64::from(window.received) > window.bound.max(1.0)
}
