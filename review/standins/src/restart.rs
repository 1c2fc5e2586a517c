//! A partner is down for ten seconds and returns cold. Half a second before its return seven of ten couriers, which hold
//! messages for it, are killed and started again.

use crate::agent::{Agent, Entry};
use crate::courier::{Courier, TemporaryFolder};
use crate::http::serve;
use crate::partner::{payment, serve_courier, serve_other, Health, Partner, LISTED_RATE};
use crate::record::Record;
use crate::settings::Settings;
use crate::Verdict;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const COURIERS: usize = 10;
/// Seven in ten.
const RESTARTED: usize = 7;
const OUTAGE: Duration = Duration::from_secs(10);
/// Time from SIGKILL to the next start.
const RESTART: Duration = Duration::from_millis(600);
/// Time from the next start to the return of the partner.
const RETURN_AFTER_START: Duration = Duration::from_millis(350);
/// Time between two payments for the partner at a courier: 25 a second at all of them, 0.71 of the listed rate.
const INTERVAL: Duration = Duration::from_millis(400);

/// Hands in payments at a courier until the end of the run.
fn hand_in(number: usize, listen: SocketAddr, record: &Record, is_over: &AtomicBool) {
    let begin = record.now() + INTERVAL.mul_f64(number as f64 / COURIERS as f64);
    let mut count = 0;
    while !is_over.load(Ordering::Relaxed) {
        std::thread::sleep((begin + INTERVAL * count).saturating_sub(record.now()));
        payment(format!("c{number}-{count}"), 1).hand_in(listen, record);
        if count % 2 == 0 {
            payment(format!("c{number}-{count}-2"), 2).hand_in(listen, record);
        }
        count += 1;
    }
}

pub fn run(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    // For comparison: RESTART=0 leaves out the restarts alone.
    let has_restarts = has_trouble && std::env::var("RESTART").map_or(true, |value| value != "0");
    let folder = TemporaryFolder::create()?;
    let settings = Arc::new(Settings { couriers: COURIERS, ..Settings::default() });
    let partner = Arc::new(Mutex::new(Partner::default()));
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
        // Each courier reaches the partner at an address of its own.
        let (state, figures, log) = (partner.clone(), settings.clone(), record.clone());
        let address = serve(move |stream| serve_courier(&state, &figures, &log, number, stream))?;
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
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (number, courier) in couriers.iter().enumerate() {
        let (listen, record, is_over) = (courier.listen, record.clone(), is_over.clone());
        clients.push(std::thread::spawn(move || hand_in(number, listen, &record, &is_over)));
    }
    std::thread::sleep(Duration::from_secs(4));
    if has_trouble {
        partner.lock().unwrap().go_down();
        record.line("partner 1: is down from now on");
    }
    let back = record.now() + OUTAGE;
    std::thread::sleep(OUTAGE - RETURN_AFTER_START - RESTART);
    if has_restarts {
        for (number, courier) in couriers.iter_mut().enumerate().take(RESTARTED) {
            courier.kill();
            // What the process before saw is not counted.
            partner.lock().unwrap().told.remove(&number);
        }
        std::thread::sleep((back - RETURN_AFTER_START).saturating_sub(record.now()));
        // All at once: each is waited for in a thread of its own.
        std::thread::scope(|scope| {
            let starts: Vec<_> = couriers
                .iter_mut()
                .take(RESTARTED)
                .map(|courier| scope.spawn(move || courier.start()))
                .collect();
            starts.into_iter().try_for_each(|start| start.join().unwrap_or(Ok(())))
        })?;
    }
    std::thread::sleep(back.saturating_sub(record.now()));
    if has_trouble {
        let mut partner = partner.lock().unwrap();
        let told: Vec<&usize> = partner.told.iter().collect();
        record
            .line(&format!("partner 1: is back, cold; couriers whose running process saw it down: {told:?}"));
        if partner.told.len() < COURIERS * 4 / 5 {
            return Ok(Verdict::CouldNotRun("too few couriers saw the partner down".to_owned()));
        }
        partner.health = Health::Cold(record.now());
    }
    std::thread::sleep(Duration::from_secs(10));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    if couriers.iter_mut().any(Courier::has_ended) {
        return Ok(Verdict::CouldNotRun("a courier ended by itself".to_owned()));
    }
    let partner = partner.lock().unwrap();
    record.line(&format!("{} messages were delivered at partner 1", partner.delivered.len()));
    Ok(match &partner.fall {
        Some(fall) => Verdict::Broken(fall.clone()),
        None => Verdict::Held,
    })
}
