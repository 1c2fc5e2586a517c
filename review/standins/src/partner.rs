//! A partner with one endpoint that may fail or be down and comes back cold, and one that is well all day.

use crate::client::Message;
use crate::http::{read_request, respond};
use crate::record::Record;
use crate::settings::Settings;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{Shutdown, TcpStream};
use std::sync::Mutex;
use std::time::Duration;

/// Calls a second that the partner takes from all couriers together, as the list says.
pub const LISTED_RATE: f64 = 35.0;
/// Calls a second that it can do; the site file has its machines 1.2 to 1.4 times as large as its limit (`spare`).
const CAPACITY: f64 = 1.2 * LISTED_RATE;
/// Time that a call takes at the usual pace.
const WORK: Duration = Duration::from_millis(150);
/// Calls in hand from which on the partner answers that its queue is full: 7 in work and 7 waiting for each of them (2 to 8
/// in the site file, `queue_per_core`).
const MOST_IN_HAND: usize = 56;
/// Calls that the limit lets in at once after a rest: the rate of 0.9 s (0.49 to 0.92 s in the site file, `depth_s`).
const LIMIT_DEPTH: f64 = 0.9 * LISTED_RATE;
/// Every so many refusals above the limit tell how long to wait (0.058 to 0.59 of them in the site file, `tells_wait`).
const TELLS_WAIT: u32 = 3;
/// How long they tell to wait (400 to 960 ms in the site file, `wait_ms`).
const WAIT_S: f64 = 0.5;
/// How often the reported share of the limit is refreshed (180 to 930 ms in the site file).
const REPORT_PERIOD: Duration = Duration::from_millis(300);

/// How the partner is.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Health {
    Well,
    Failing,
    /// Closes each connection as it comes.
    Down,
    /// Returned from its outage at this time.
    Cold(Duration),
    /// Pushed over; it stays down.
    Fallen,
}

pub struct Partner {
    pub health: Health,
    in_hand: usize,
    /// Calls that the limit lets in now, and when that was.
    allowance: (f64, Duration),
    /// Refusals above the limit.
    refused: u32,
    /// Share of the allowance that is left, as reported, and when that was refreshed.
    reported: (f64, Duration),
    /// When the work taken so far is done, at the pace of each moment.
    busy_until: Duration,
    /// Couriers that saw a call fail or be refused during the outage.
    pub told: BTreeSet<usize>,
    /// Time and courier of each call since the return.
    calls: Vec<(Duration, usize)>,
    pub fall: Option<String>,
    pub delivered: BTreeMap<String, Duration>,
    /// Open connections.
    open: Vec<TcpStream>,
}

impl Default for Partner {
    fn default() -> Self {
        Partner {
            health: Health::Well,
            in_hand: 0,
            allowance: (LIMIT_DEPTH, Duration::ZERO),
            refused: 0,
            reported: (1.0, Duration::ZERO),
            busy_until: Duration::ZERO,
            told: BTreeSet::new(),
            calls: Vec::new(),
            fall: None,
            delivered: BTreeMap::new(),
            open: Vec::new(),
        }
    }
}

/// The courier that a message was handed to, which its id names.
fn courier_of(id: &str) -> usize {
    id[1..].split('-').next().and_then(|number| number.parse().ok()).unwrap_or(usize::MAX)
}

impl Partner {
    /// Calls a second that it can do at this time.
    fn pace(&self, at: Duration, settings: &Settings) -> f64 {
        let Health::Cold(since) = self.health else { return CAPACITY };
        let warm = (at.saturating_sub(since).as_secs_f64() / settings.cold_s as f64).min(1.0);
        CAPACITY * (settings.cold_from + (1.0 - settings.cold_from) * warm)
    }

    /// Takes a call out of the allowance of the limit; returns whether there was room. Refused calls don't use it up.
    fn admit(&mut self, at: Duration) -> bool {
        let (left, since) = self.allowance;
        let left = (left + at.saturating_sub(since).as_secs_f64() * LISTED_RATE).min(LIMIT_DEPTH);
        let has_room = left >= 1.0;
        self.allowance = (if has_room { left - 1.0 } else { left }, at.max(since));
        has_room
    }

    /// The report that an answer carries.
    fn report(&mut self, at: Duration) -> String {
        if at >= self.reported.1 + REPORT_PERIOD {
            let (left, since) = self.allowance;
            let left = left + at.saturating_sub(since).as_secs_f64() * LISTED_RATE;
            self.reported = ((left / LIMIT_DEPTH).min(1.0), at);
        }
        format!("Srv-Load: x0={:.2},x1={LISTED_RATE}\r\n", self.reported.0)
    }

    /// The answer to a call that is refused, with its header fields; none if the call is taken.
    fn refusal(&mut self, at: Duration) -> Option<(&'static str, String)> {
        let unavailable = "503 Service Unavailable";
        match self.health {
            Health::Failing => return Some(("500 Internal Server Error", String::new())),
            Health::Fallen | Health::Down => return Some((unavailable, String::new())),
            Health::Well | Health::Cold(_) => {}
        }
        if self.in_hand >= MOST_IN_HAND {
            return Some((unavailable, self.report(at)));
        }
        if self.admit(at) {
            return None;
        }
        self.refused += 1;
        let report = self.report(at);
        Some(if self.refused % TELLS_WAIT == 0 {
            ("429 Too Many Requests", format!("Retry-After: {WAIT_S}\r\n{report}"))
        } else {
            (unavailable, report)
        })
    }

    /// Goes down: open connections end, and new ones are closed as they come.
    pub fn go_down(&mut self) {
        self.health = Health::Down;
        for stream in self.open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Counts a call to a partner that has returned, and lets it fall if there were too many.
    fn count(&mut self, at: Duration, courier: usize, settings: &Settings) {
        let Health::Cold(_) = self.health else { return };
        self.calls.push((at, courier));
        let window = Duration::from_secs(settings.fall_s);
        let recent: Vec<usize> = self
            .calls
            .iter()
            .filter(|(called, _)| *called + window > at)
            .map(|(_, courier)| *courier)
            .collect();
        let allowed = settings.tip_multiple * self.pace(at, settings) * window.as_secs_f64();
        let (factor, rest) = if allowed < 30.0 { (3.0, 3.0) } else { (2.0, 2.0) };
        let limit = allowed + factor * allowed.sqrt() + rest;
        if recent.len() as f64 > limit {
            let told = recent.iter().filter(|courier| self.told.contains(courier)).count();
            self.health = Health::Fallen;
            if told * 3 > recent.len() * 2 {
                self.fall = Some(format!(
                    "the partner fell over at its return: {} calls within {} s where the settings allow {allowed:.1}, with slack {limit:.1}; {told} of them came from couriers that saw a call fail there during the outage",
                    recent.len(), settings.fall_s
                ));
            }
        }
    }
}

pub fn serve_partner(
    partner: &Mutex<Partner>,
    settings: &Settings,
    record: &Record,
    stream: &mut TcpStream,
) -> io::Result<()> {
    let mut buffer = Vec::new();
    let now = || record.now();
    while let Some(request) = read_request(stream, &mut buffer, &now)? {
        let (id, at) = (request.header("req-id").to_owned(), request.last_byte);
        let courier = courier_of(&id);
        let mut state = partner.lock().unwrap();
        let was_well = state.health != Health::Fallen;
        state.count(at, courier, settings);
        if was_well && state.health == Health::Fallen {
            record.line_at(at, "partner 1: has fallen over and stays down");
        }
        match state.health {
            Health::Down => return Ok(()),
            Health::Failing => drop(state.told.insert(courier)),
            _ => {}
        }
        if let Some((status, headers)) = state.refusal(at) {
            drop(state);
            record.line_at(at, &format!("partner 1: call {id} from courier {courier} answered {status}"));
            respond(stream, status, &headers, "")?;
            continue;
        }
        let share = Duration::from_secs_f64(1.0 / state.pace(at, settings));
        state.busy_until = state.busy_until.max(at) + share;
        state.in_hand += 1;
        let done = (at + WORK).max(state.busy_until);
        drop(state);
        std::thread::sleep(done.saturating_sub(record.now()));
        let mut state = partner.lock().unwrap();
        state.in_hand -= 1;
        if matches!(state.health, Health::Fallen | Health::Down) {
            drop(state);
            record.line_at(
                at,
                &format!("partner 1: call {id} from courier {courier} has no answer, the partner went down"),
            );
            return Ok(());
        }
        state.delivered.entry(id.clone()).or_insert(record.now());
        let report = state.report(record.now());
        drop(state);
        record.line_at(at, &format!("partner 1: call {id} from courier {courier} has run, answered 200"));
        respond(stream, "200 OK", &report, "")?;
    }
    Ok(())
}

/// Serves a connection at the address at which this courier reaches the partner; while the partner is down, closes it.
pub fn serve_courier(
    partner: &Mutex<Partner>,
    settings: &Settings,
    record: &Record,
    courier: usize,
    stream: &mut TcpStream,
) -> io::Result<()> {
    let mut state = partner.lock().unwrap();
    if state.health == Health::Down {
        state.told.insert(courier);
        drop(state);
        record.line(&format!("partner 1: connection from courier {courier} closed, the partner is down"));
        return Ok(());
    }
    state.open.push(stream.try_clone()?);
    drop(state);
    serve_partner(partner, settings, record, stream)
}

/// An employer system that is well all day.
pub fn serve_other(record: &Record, stream: &mut TcpStream) -> io::Result<()> {
    let mut buffer = Vec::new();
    let now = || record.now();
    while let Some(request) = read_request(stream, &mut buffer, &now)? {
        std::thread::sleep(WORK);
        record.line_at(
            request.last_byte,
            &format!("partner 2: call {} has run, answered 200", request.header("req-id")),
        );
        respond(stream, "200 OK", &format!("Srv-Load: x0=0.7,x1={LISTED_RATE}\r\n"), "")?;
    }
    Ok(())
}

pub fn payment(id: String, destination: u16) -> Message {
    let time_left = Duration::from_secs(12);
    Message { id, key: 0, class: "salary-payment", time_left, destination, idempotency_key: None }
}
