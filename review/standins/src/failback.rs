//! A partner fails every call for ten seconds and returns cold. Each courier saw one call fail there. A clump of messages
//! for the partner follows.

use crate::agent::{Agent, Entry};
use crate::courier::{Courier, TemporaryFolder};
use crate::http::serve;
use crate::partner::{payment, serve_other, serve_partner, Health, Partner, LISTED_RATE};
use crate::record::Record;
use crate::settings::Settings;
use crate::Verdict;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const COURIERS: usize = 8;
const OUTAGE: Duration = Duration::from_secs(10);
/// Time from the return of the partner to the clump.
const CLUMP_AFTER: Duration = Duration::from_millis(200);
/// As many messages as the partner takes in 3.4 seconds.
const CLUMP: usize = 120;

pub fn run(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let folder = TemporaryFolder::create()?;
    let settings = Arc::new(Settings { couriers: COURIERS, ..Settings::default() });
    let partner = Arc::new(Mutex::new(Partner::default()));
    let address = {
        let (partner, settings, record) = (partner.clone(), settings.clone(), record.clone());
        serve(move |stream| serve_partner(&partner, &settings, &record, stream))?
    };
    let other = {
        let record = record.clone();
        serve(move |stream| serve_other(&record, stream))?
    };
    let entry = |id: &str, address: SocketAddr, kind, cell| Entry {
        id: id.to_owned(),
        address,
        kind,
        cell,
        lifecycle: "SERVING",
        weight: LISTED_RATE,
        changed: 0,
    };
    let mut agents = Vec::new();
    let mut couriers = Vec::new();
    for number in 0..COURIERS {
        let name = format!("n{number}");
        let agent = Agent::start(&name, record)?;
        agent.publish(entry("s-1", address, "employer-systems", 1));
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
                payment(format!("c{number}-before-{round}-{destination}"), destination)
                    .hand_in(*listen, record);
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
            if second == number as u64 % 9 + 1 {
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
    record
        .line(&format!("of the clump {} messages were taken on, {delivered} of them delivered", taken.len()));
    if taken.len() < CLUMP / 2 {
        return Ok(Verdict::CouldNotRun(format!("only {} messages of the clump were taken on", taken.len())));
    }
    Ok(match &partner.fall {
        Some(fall) => Verdict::Broken(fall.clone()),
        None => Verdict::Held,
    })
}
