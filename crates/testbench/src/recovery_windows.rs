//! Load of returning sites in short windows, from the record of a day over sockets.

use crate::scenario::FaultScenario;
use cloverstile_fakes::model::Nature;
use cloverstile_fakes::record::{Line, Seen};
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
pub fn recovery_windows(day: &FaultScenario, lines: &[Line]) -> Vec<Window> {
    let spec = day.spec();
    let mut windows = Vec::new();
    for line in lines {
        let Seen::Outage { partner, zone, began: false } = &line.seen else { continue };
        let Some(told) = spec.partners.iter().find(|told| told.name == *partner) else { continue };
        let mut zones: Vec<usize> = told.zones.clone();
        zones.sort_unstable();
        zones.dedup();
        for zone in zones.into_iter().filter(|each| zone.is_none_or(|zone| zone == *each)) {
            windows.extend(of_return(lines, line.at, (partner, zone), &told.zones, &told.nature));
        }
    }
    windows
}

fn of_return(
    lines: &[Line],
    since: u64,
    (partner, zone): (&str, usize),
    zones: &[usize],
    nature: &Nature,
) -> Vec<Window> {
    let last = lines.last().map_or(since, |line| line.at);
    let watched = nature.cold.1.mul_f64(WATCHED).min(Duration::from_micros(last.saturating_sub(since)));
    let mut received = vec![0_u32; (watched.as_nanos() / WINDOW.as_nanos()) as usize];
    for line in lines.iter().filter(|line| line.at >= since) {
        let Seen::Request { partner: to, endpoint, .. } = &line.seen else { continue };
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
        let capacity = nature.rate() * nature.warmth(after + WINDOW) * WINDOW.as_secs_f64();
        Window {
            partner: partner.to_owned(),
            zone,
            after_ms: after.as_millis() as u64,
            received,
            capacity,
            bound: nature.tip_multiple * capacity,
        }
    };
    received.into_iter().enumerate().map(window).collect()
}

/// Whether a window got more than the site survives.
pub fn exceeds_bound(window: &Window) -> bool {
    f64::from(window.received) > window.bound.max(1.0)
}
