//! A partner fails every call for ten seconds and returns cold. Each courier saw one call fail there. A clump of messages
//! for the partner follows.

use crate::agent::{Agent, Entry};
use crate::client::Message;
use crate::courier::{Courier, TemporaryFolder};
use crate::http::{read_request, respond, serve};
use crate::record::Record;
use crate::settings::Settings;
use crate::Verdict;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const COURIERS: usize = 8;
/// Calls a second that the partner takes from all couriers together, as the list says.
const LISTED_RATE: f64 = 35.0;
/// Calls a second that it can do; the site file has its machines 1.2 to 1.4 times as large as its limit (`spare`).
const CAPACITY: f64 = 1.2 * LISTED_RATE;
/// Time that a call takes at the usual pace.
const WORK: Duration = Duration::from_millis(150);
/// Calls in hand from which on the partner answers that its queue is full: 6 in work and 5 waiting for each of them.
const MOST_IN_HAND: usize = 36;
const OUTAGE: Duration = Duration::from_secs(10);
/// Time from the return of the partner to the clump.
const CLUMP_AFTER: Duration = Duration::from_millis(500);
/// As many messages as the partner takes in 3.4 seconds.
const CLUMP: usize = 120;

/// How the partner is.
#[derive(Clone, Copy, PartialEq, Debug)]
enum Health {
    Well,
    Failing,
    /// Returned from its outage at this time.
    Cold(Duration),
    /// Pushed over; it stays down.
    Fallen,
}

struct Partner {
    health: Health,
    in_hand: usize,
    /// When the work taken so far is done, at the pace of each moment.
    busy_until: Duration,
    /// Couriers that saw a call fail or be refused during the outage.
    told: BTreeSet<usize>,
    /// Time and courier of each call since the return.
    calls: Vec<(Duration, usize)>,
    fall: Option<String>,
    delivered: BTreeMap<String, Duration>,
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

    /// Counts a call to a partner that has returned, and lets it fall if there were too many.
    fn count(&mut self, at: Duration, courier: usize, settings: &Settings) {
        let Health::Cold(_) = self.health else { return };
        self.calls.push((at, courier));
        let window = Duration::from_secs(settings.fall_s);
        let recent: Vec<usize> =
            self.calls.iter().filter(|(called, _)| *called + window > at).map(|(_, courier)| *courier).collect();
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

fn serve_partner(
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
            Health::Fallen => Some("503 Service Unavailable"),
            Health::Well | Health::Cold(_) if state.in_hand >= MOST_IN_HAND => Some("503 Service Unavailable"),
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
        if state.health == Health::Fallen {
            record.line_at(at, &format!("partner 1: call {id} from courier {courier} reset by the fall"));
            return Ok(());
        }
        state.delivered.entry(id.clone()).or_insert(record.now());
        drop(state);
        record.line_at(at, &format!("partner 1: call {id} from courier {courier} has run, answered 200"));
        respond(stream, "200 OK", &report, "")?;
    }
    Ok(())
}

/// An employer system that is well all day.
fn serve_other(record: &Record, stream: &mut TcpStream) -> io::Result<()> {
    let mut buffer = Vec::new();
    let now = || record.now();
    while let Some(request) = read_request(stream, &mut buffer, &now)? {
        std::thread::sleep(WORK);
        record.line_at(request.last_byte, &format!("partner 2: call {} has run, answered 200", request.header("req-id")));
        respond(stream, "200 OK", &format!("Srv-Load: x0=0.9,x1={LISTED_RATE}\r\n"), "")?;
    }
    Ok(())
}

fn payment(id: String, destination: u16) -> Message {
    let time_left = Duration::from_secs(12);
    Message { id, key: 0, class: "salary-payment", time_left, destination, idempotency_key: None }
}

pub fn run(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let folder = TemporaryFolder::create()?;
    let settings = Arc::new(Settings { couriers: COURIERS, ..Settings::default() });
    let partner = Arc::new(Mutex::new(Partner {
        health: Health::Well,
        in_hand: 0,
        busy_until: Duration::ZERO,
        told: BTreeSet::new(),
        calls: Vec::new(),
        fall: None,
        delivered: BTreeMap::new(),
    }));
    let address = {
        let (partner, settings, record) = (partner.clone(), settings.clone(), record.clone());
        serve(move |stream| serve_partner(&partner, &settings, &record, stream))?
    };
    let other = {
        let record = record.clone();
        serve(move |stream| serve_other(&record, stream))?
    };
    let entry = |id: &str, address: SocketAddr, kind, cell| Entry {
        id: id.to_owned(), address, kind, cell, lifecycle: "SERVING", weight: LISTED_RATE, changed: 0,
    };
    let mut agents = Vec::new();
    let mut couriers = Vec::new();
    for number in 0..COURIERS {
        let name = format!("n{number}");
        let agent = Agent::start(&name, record)?;
        agent.publish(entry("s-1", address, "banks", 1));
        agent.publish(entry("s-2", other, "employer-systems", 2));
        let mut courier = Courier::create(&name, &folder.0, record)?;
        courier.configure(agent.address, &agent.known(), &settings.json())?;
        courier.start()?;
        agents.push(agent);
        couriers.push(courier);
    }
    let listen: Vec<SocketAddr> = couriers.iter().map(|courier| courier.listen).collect();

    // An ordinary time: each courier delivers a message a second to either partner.
    for round in 0..3 {
        for (number, listen) in listen.iter().enumerate() {
            for destination in [1, 2] {
                payment(format!("c{number}-before-{round}-{destination}"), destination).hand_in(*listen, record);
            }
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    // The outage. The bank is in a quiet time: each courier has one payment for it.
    if has_trouble {
        partner.lock().unwrap().health = Health::Failing;
        record.line("partner 1: fails every call from now on");
    }
    let outage_began = record.now();
    for second in 0..OUTAGE.as_secs() {
        for (number, listen) in listen.iter().enumerate() {
            if second == number as u64 + 1 {
                payment(format!("c{number}-during"), 1).hand_in(*listen, record);
            }
            payment(format!("c{number}-during-{second}-2"), 2).hand_in(*listen, record);
        }
        std::thread::sleep((outage_began + Duration::from_secs(second + 1)).saturating_sub(record.now()));
    }
    if has_trouble {
        let mut partner = partner.lock().unwrap();
        if partner.told.len() < COURIERS {
            return Ok(Verdict::CouldNotRun("not every courier saw a call fail".to_owned()));
        }
        partner.health = Health::Cold(record.now());
        record.line("partner 1: is back, cold");
    }
    std::thread::sleep(CLUMP_AFTER);
    // The clump, dealt out over the couriers.
    let mut clients = Vec::new();
    for position in 0..CLUMP {
        let number = position % COURIERS;
        let (listen, record) = (listen[number], record.clone());
        let id = format!("c{number}-clump-{position}");
        clients.push(std::thread::spawn(move || {
            let reply = payment(id.clone(), 1).hand_in(listen, &record);
            reply.filter(|line| line.starts_with('+')).map(|_| id)
        }));
    }
    let taken: Vec<String> = clients.into_iter().filter_map(|client| client.join().ok()?).collect();
    let clumped = record.now();
    while record.now() < clumped + Duration::from_millis(12_500) {
        let state = partner.lock().unwrap();
        let all_delivered = taken.iter().all(|id| state.delivered.contains_key(id));
        drop(state);
        if all_delivered {
            break;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    if couriers.iter_mut().any(Courier::has_ended) {
        return Ok(Verdict::CouldNotRun("a courier ended by itself".to_owned()));
    }
    let partner = partner.lock().unwrap();
    let delivered = taken.iter().filter(|id| partner.delivered.contains_key(*id)).count();
    record.line(&format!("of the clump {} messages were taken on, {delivered} of them delivered", taken.len()));
    if taken.len() < CLUMP / 2 {
        return Ok(Verdict::CouldNotRun(format!("only {} messages of the clump were taken on", taken.len())));
    }
    Ok(match &partner.fall {
        Some(fall) => Verdict::Broken(fall.clone()),
        None => Verdict::Held,
    })
}
