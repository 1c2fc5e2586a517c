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
    id.chars().nth(1).and_then(|digit| digit.to_digit(10)).unwrap_or(9) as usize
}

impl Partner {
    /// Calls a second that it can do at this time.
    fn pace(&self, at: Duration, settings: &Settings) -> f64 {
        let Health::Cold(since) = self.health else { return CAPACITY };
        let warm = (at.saturating_sub(since).as_secs_f64() / settings.cold_s as f64).min(1.0);
        CAPACITY * (settings.cold_from + (1.0 - settings.cold_from) * warm)
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
        let report = format!("Srv-Load: x0=0.9,x1={LISTED_RATE}\r\n");
        let mut state = partner.lock().unwrap();
        let was_well = state.health != Health::Fallen;
        state.count(at, courier, settings);
        if was_well && state.health == Health::Fallen {
            record.line_at(at, "partner 1: has fallen over and stays down");
        }
        let answer = match state.health {
            Health::Failing => {
                state.told.insert(courier);
                Some("500 Internal Server Error")
            }
            Health::Down => return Ok(()),
            Health::Fallen => Some("503 Service Unavailable"),
            Health::Well | Health::Cold(_) if state.in_hand >= MOST_IN_HAND => {
                Some("503 Service Unavailable")
            }
            Health::Well | Health::Cold(_) => None,
        };
        if let Some(status) = answer {
            drop(state);
            record.line_at(at, &format!("partner 1: call {id} from courier {courier} answered {status}"));
            respond(stream, status, "", "")?;
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
        respond(stream, "200 OK", &format!("Srv-Load: x0=0.9,x1={LISTED_RATE}\r\n"), "")?;
    }
    Ok(())
}

pub fn payment(id: String, destination: u16) -> Message {
    let time_left = Duration::from_secs(12);
    Message { id, key: 0, class: "salary-payment", time_left, destination, idempotency_key: None }
}
