//! The cases.

use crate::agent::{Agent, Entry, List};
use crate::client::{put_once, Client, Put};
use crate::endpoint::{Answer, Call, Calls, Endpoint};
use crate::gateway::{Gateway, SIGHUP, SIGKILL};
use crate::record::Record;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

const CELL: u16 = 3;

/// What was seen that breaks the rule; none if it held. An error if the case couldn't run.
type Outcome = Result<Vec<String>, String>;

pub fn run(case: &str, trouble: bool, record: &Record) -> Outcome {
    match case {
        "stale-list" => stale_list(trouble, record),
        "reload-notice" => reload_notice(trouble, record),
        "large-list" => large_list(trouble, record),
        "same-again" => same_again(trouble, record),
        "unkept-list" => unkept_list(trouble, record),
        "late-failures" => late_failures(trouble, record),
        other => Err(format!("no case {other}")),
    }
}

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn text<T: std::fmt::Display>(error: T) -> String {
    error.to_string()
}

fn entry(endpoint: &Endpoint, lifecycle: &'static str) -> Entry {
    Entry { id: endpoint.name.clone(), address: endpoint.address, cell: CELL, weight: 100.0, lifecycle }
}

fn list(generation: u64, endpoints: &[&Endpoint]) -> List {
    List { generation, entries: endpoints.iter().map(|endpoint| entry(endpoint, "SERVING")).collect() }
}

/// Hands in keyed messages with keys of their own, one each `gap`, for `time`.
fn load(record: &Record, gateway: &Gateway, number: &mut u64, time: Duration, gap: Duration) {
    let until = record.now() + time;
    while record.now() < until {
        *number += 1;
        let (id, k) = (format!("{:016x}", 0x1000 + *number), format!("{:016x}", 0x77_0000 + *number));
        let fields = format!("c=pay-notice,d=24000,k={k},dest={CELL}");
        put_once(record, gateway.listen, &Put { id: &id, key: *number, fields, body: b"notice" });
        sleep(gap);
    }
}

/// A courier hears that an endpoint is gone, and restarts with a copy of the list that is a little older than that.
fn stale_list(trouble: bool, record: &Record) -> Outcome {
    let calls = Calls::default();
    let start = |name: &str| {
        Endpoint::start(name, record, &calls, |_| Answer::After(ms(50), "200 OK", String::new()))
            .map_err(text)
    };
    let (stays, replaced, new) = (start("s-stays")?, start("s-replaced")?, start("s-new")?);
    let lists = [list(10, &[&stays]), list(20, &[&stays, &replaced]), list(30, &[&stays, &new])];
    let agent = Agent::start("first", record, lists[0].clone()).map_err(text)?;
    let mut gateway = Gateway::new(record)?;
    gateway.configure(agent.address, &lists[0])?;
    gateway.start()?;
    let mut number = 0;
    load(record, &gateway, &mut number, ms(1500), ms(50));
    agent.set_list(lists[1].clone());
    load(record, &gateway, &mut number, ms(2500), ms(50));
    agent.set_list(lists[2].clone());
    load(record, &gateway, &mut number, ms(3000), ms(50));
    let told = agent.told(30).ok_or("the last list was not told")?;
    if trouble {
        gateway.signal(SIGKILL);
        gateway.wait();
        sleep(ms(600));
        gateway.configure(agent.address, &lists[1])?;
        gateway.start()?;
    }
    load(record, &gateway, &mut number, ms(8000), ms(50));
    judge_gone(record, &calls, &replaced, told)
}

/// Whether an endpoint that is gone got a call later than the grace allows, counted from when its end was told.
fn judge_gone(record: &Record, calls: &Calls, gone: &Endpoint, told: Duration) -> Outcome {
    let allowed_until = told + ms(2000) + ms(50);
    let calls = calls.lock().unwrap();
    let before = calls.iter().filter(|call| call.endpoint == gone.name && call.at < told).count();
    if before == 0 {
        return Err("the endpoint got no call while it was listed".to_owned());
    }
    let late: Vec<_> =
        calls.iter().filter(|call| call.endpoint == gone.name && call.at > allowed_until).collect();
    record.line(format!(
        "told at {:.3} that {} is gone; {before} calls there before that, {} later than {:.3}; {} calls in all",
        told.as_secs_f64(),
        gone.name,
        late.len(),
        allowed_until.as_secs_f64(),
        calls.len()
    ));
    Ok(late
        .first()
        .map(|first| {
            format!(
                "{} calls to an endpoint that is gone, the first one {:.3} s after that was told",
                late.len(),
                (first.at - told).as_secs_f64()
            )
        })
        .into_iter()
        .collect())
}

/// The configuration is replaced twice while the new agent is crowded and a notice is on its way to it.
fn reload_notice(trouble: bool, record: &Record) -> Outcome {
    let calls = Calls::default();
    let endpoint = Endpoint::start("s-bank", record, &calls, |call| {
        if call.id.starts_with("00000000dead") {
            Answer::Close(ms(1500))
        } else {
            Answer::After(ms(50), "200 OK", String::new())
        }
    })
    .map_err(text)?;
    let known = list(10, &[&endpoint]);
    let first = Agent::start("first", record, known.clone()).map_err(text)?;
    let second = Agent::start("second", record, known.clone()).map_err(text)?;
    let mut gateway = Gateway::new(record)?;
    gateway.configure(first.address, &known)?;
    gateway.start()?;
    let mut number = 0;
    load(record, &gateway, &mut number, ms(1500), ms(50));
    // A message that may not be repeated, whose call breaks 1.5 s later: it ends by a notice then.
    let (id, time) = ("00000000dead0001", 8000);
    let fields = format!("c=salary-payment,d={time},dest={CELL}");
    let sent = record.now();
    let answer = put_once(record, gateway.listen, &Put { id, key: 0, fields, body: b"payment" });
    if answer.as_deref() != Some("+OK") {
        return Err("the message was not taken on".to_owned());
    }
    sleep(ms(1000));
    second.crowded.store(true, Ordering::SeqCst);
    gateway.configure(second.address, &known)?;
    gateway.signal(SIGHUP);
    sleep(ms(1000));
    if trouble {
        // A second configuration, right behind the first one, in which other fields are new.
        gateway.configure(second.address, &known)?;
        gateway.signal(SIGHUP);
    }
    sleep(ms(300));
    second.crowded.store(false, Ordering::SeqCst);
    let due = sent + ms(time) + ms(300) + ms(50);
    while record.now() < due + ms(1500) {
        load(record, &gateway, &mut number, ms(400), ms(100));
    }
    if !gateway.is_running() {
        return Ok(vec!["the courier ended on SIGHUP".to_owned()]);
    }
    let notices: Vec<_> = first.notices().into_iter().chain(second.notices()).collect();
    let notice = notices.iter().find(|notice| notice.id == id && notice.at <= due);
    record.line(format!(
        "{id} was handed in at {:.3} and due to end at {:.3} at the latest",
        sent.as_secs_f64(),
        due.as_secs_f64()
    ));
    Ok(match notice {
        Some(_) => Vec::new(),
        None => vec![format!("{id} was taken on, was not delivered, and no notice came")],
    })
}

/// A list with these endpoints and those of other partners, for which no message comes.
fn fleet(generation: u64, endpoints: &[&Endpoint], others: std::ops::Range<usize>) -> List {
    let mut list = list(generation, endpoints);
    list.entries.extend(others.map(|number| Entry {
        id: format!("s-{number:08x}"),
        address: ([127, 0, (100 + number / 250) as u8, (1 + number % 250) as u8], 6379).into(),
        cell: 100 + (number % 800) as u16,
        weight: 10.0,
        lifecycle: "SERVING",
    }));
    list
}

/// A large fleet of endpoints is replaced in part, which the courier hears; then it is killed while it holds messages.
fn large_list(trouble: bool, record: &Record) -> Outcome {
    const FLEET: usize = 2000;
    const REPLACED: usize = 1000;
    const MESSAGES: u64 = 60;
    let calls = Calls::default();
    let bank = Endpoint::start("s-bank", record, &calls, |_| Answer::After(ms(400), "200 OK", String::new()))
        .map_err(text)?;
    let (known, latest) = (fleet(10, &[&bank], 0..FLEET), fleet(20, &[&bank], REPLACED..FLEET + REPLACED));
    let agent = Agent::start("first", record, known.clone()).map_err(text)?;
    let mut gateway = Gateway::new(record)?;
    (gateway.slots, gateway.disk_mb) = (3, 8);
    gateway.configure(agent.address, &known)?;
    gateway.start()?;
    agent.set_list(latest.clone());
    sleep(ms(1500));
    agent.told(20).ok_or("the list was not told")?;
    let time = 20_000;
    let mut taken = Vec::new();
    let first_sent = record.now();
    for number in 0..MESSAGES {
        let (id, k) = (format!("{:016x}", 0x2000 + number), format!("{:016x}", 0x88_0000 + number));
        let fields = format!("c=pay-notice,d={time},k={k},dest={CELL}");
        let put = Put { id: &id, key: 0x5000 + number, fields, body: b"notice" };
        if put_once(record, gateway.listen, &put).as_deref() == Some("+OK") {
            taken.push(id);
        }
    }
    sleep(ms(1000));
    let last_sent = record.now();
    if trouble {
        gateway.signal(SIGKILL);
        gateway.wait();
        sleep(ms(600));
        gateway.configure(agent.address, &known)?;
        gateway.start()?;
    }
    let due = last_sent + ms(time) + ms(300) + ms(50);
    let is_over = |id: &String| {
        let is_delivered = |call: &Call| call.id == *id && call.answered.is_some();
        calls.lock().unwrap().iter().any(is_delivered)
            || agent.notices().iter().any(|notice| notice.id == *id)
    };
    while record.now() < due && !taken.iter().all(is_over) {
        sleep(ms(100));
    }
    let lost: Vec<&String> = taken.iter().filter(|id| !is_over(id)).collect();
    record.line(format!(
        "{} messages taken on from {:.3} on, {} neither delivered nor ended by a notice by {:.3}",
        taken.len(),
        first_sent.as_secs_f64(),
        lost.len(),
        record.now().as_secs_f64()
    ));
    if taken.is_empty() {
        return Err("no message was taken on".to_owned());
    }
    Ok(lost
        .first()
        .map(|id| {
            format!("{} of {} messages taken on are lost, the first one is {id}", lost.len(), taken.len())
        })
        .into_iter()
        .collect())
}

/// What a folder holds, with each file counted in whole 512 bytes.
fn folder_bytes(folder: &Path) -> u64 {
    let files = std::fs::read_dir(folder).into_iter().flatten().flatten();
    files.filter_map(|file| Some(file.metadata().ok()?.len().next_multiple_of(512))).sum()
}

/// A client sends the same thing again as soon as it is turned away, while much is held.
fn same_again(trouble: bool, record: &Record) -> Outcome {
    let calls = Calls::default();
    let bank = Endpoint::start("s-bank", record, &calls, |_| Answer::After(ms(100), "200 OK", String::new()))
        .map_err(text)?;
    let known = list(10, &[&bank]);
    let agent = Agent::start("first", record, known.clone()).map_err(text)?;
    let mut gateway = Gateway::new(record)?;
    (gateway.slots, gateway.most_held) = (3, 120);
    gateway.configure(agent.address, &known)?;
    gateway.start()?;
    let limit = u64::from(gateway.disk_mb) << 20;
    let (ended, most) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let watch = {
        let (ended, most, state) = (ended.clone(), most.clone(), gateway.state());
        spawn(move || {
            while !ended.load(Ordering::SeqCst) {
                most.fetch_max(folder_bytes(&state), Ordering::SeqCst);
                sleep(Duration::from_micros(500));
            }
        })
    };
    // A clump for one partner, more than the courier may hold.
    let put = |client: &mut Client, number: u64, body: &[u8]| {
        let (id, k) = (format!("{:016x}", 0x3000 + number), format!("{:016x}", 0x99_0000 + number));
        let fields = format!("c=pay-notice,d=24000,k={k},dest={CELL}");
        client.put(&Put { id: &id, key: 0x6000 + number, fields, body })
    };
    let mut client = Client::connect(gateway.listen).map_err(text)?;
    let mut taken = 0;
    for number in 0..160 {
        taken += usize::from(put(&mut client, number, b"notice").map_err(text)? == "+OK");
    }
    record.line(format!("clients: 160 messages handed in, {taken} taken on"));
    // 110 large messages on a few connections, each sent again as soon as it is turned away, for 5 s at most.
    let body = vec![b'n'; 60_000];
    let until = record.now() + ms(5000);
    let clients: Vec<_> = (0..5)
        .map(|connection| {
            let (record, listen, body) = (record.clone(), gateway.listen, body.clone());
            spawn(move || -> Result<(u64, u64, u64), String> {
                let (mut sent, mut refused, mut taken) = (0, 0, 0);
                let mut client = Client::connect(listen).map_err(text)?;
                let mut left: Vec<u64> = (0..22).map(|number| 1000 + connection * 100 + number).collect();
                while !left.is_empty() && record.now() < until {
                    let mut turned_away = Vec::new();
                    for number in left {
                        let answer = put(&mut client, number, &body).map_err(text)?;
                        sent += 1;
                        if answer == "+OK" {
                            taken += 1;
                        } else {
                            refused += 1;
                            turned_away.push(number);
                        }
                    }
                    left = if trouble { turned_away } else { Vec::new() };
                }
                Ok((sent, refused, taken))
            })
        })
        .collect();
    for client in clients {
        match client.join() {
            Ok(Ok((sent, refused, taken))) => {
                record.line(format!("bad client: {sent} sent, {refused} turned away, {taken} taken on"));
            }
            Ok(Err(problem)) => record.line(format!("bad client: {problem}")),
            Err(_) => return Err("a client panicked".to_owned()),
        }
        record.line(format!("folder that lasts: {} bytes now", folder_bytes(&gateway.state())));
    }
    sleep(ms(1000));
    ended.store(true, Ordering::SeqCst);
    let _ = watch.join();
    let most = most.load(Ordering::SeqCst);
    record.line(format!("folder that lasts: {most} bytes at most; the limit is {limit}"));
    Ok(if !gateway.is_running() {
        vec!["the courier ended".to_owned()]
    } else if most > limit {
        vec![format!("the folder held {most} bytes, the limit is {limit}: the courier has crashed")]
    } else {
        Vec::new()
    })
}

/// A large fleet of endpoints is replaced in part, which the courier hears; it is killed while discovery is down.
fn unkept_list(trouble: bool, record: &Record) -> Outcome {
    const FLEET: usize = 1600;
    const REPLACED: usize = 800;
    let calls = Calls::default();
    let start = |name: &str| {
        Endpoint::start(name, record, &calls, |_| Answer::After(ms(50), "200 OK", String::new()))
            .map_err(text)
    };
    let (stays, gone) = (start("s-stays")?, start("s-gone")?);
    let known = fleet(10, &[&stays, &gone], 0..FLEET);
    let agent = Agent::start("first", record, known.clone()).map_err(text)?;
    let mut gateway = Gateway::new(record)?;
    gateway.configure(agent.address, &known)?;
    gateway.start()?;
    let mut number = 0;
    load(record, &gateway, &mut number, ms(1500), ms(50));
    agent.set_list(fleet(20, &[&stays], REPLACED..FLEET + REPLACED));
    load(record, &gateway, &mut number, ms(3000), ms(50));
    let told = agent.told(20).ok_or("the list was not told")?;
    if trouble {
        record.line("platform: discovery is down");
        agent.down.store(true, Ordering::SeqCst);
        gateway.signal(SIGKILL);
        gateway.wait();
        sleep(ms(600));
        gateway.configure(agent.address, &known)?;
        gateway.start()?;
    }
    load(record, &gateway, &mut number, ms(7000), ms(50));
    record.line("platform: discovery is up");
    agent.down.store(false, Ordering::SeqCst);
    load(record, &gateway, &mut number, ms(1000), ms(50));
    judge_gone(record, &calls, &gone, told)
}

/// A partner that fails for a while and comes back cold.
#[derive(Default)]
struct Partner {
    /// It answers every call with 500.
    is_failing: bool,
    /// When it came back.
    returned_at: Option<Duration>,
    /// Couriers of which a call failed.
    told: Vec<bool>,
    /// Calls since its return, and whether their courier was told.
    calls: Vec<(Duration, bool)>,
    in_hand: Vec<Duration>,
    /// What is left of its limit, and when that was counted.
    tokens: f64,
    counted_at: Duration,
    fallen: Option<String>,
}

impl Partner {
    /// Calls a second that the list gives, and those that it can do when it is warm.
    const LISTED: f64 = 35.0;
    const CAPACITY: f64 = 42.0;
    const DEPTH: f64 = 0.9 * Partner::LISTED;

    /// The share of its capacity that it has.
    fn share(&self, now: Duration) -> f64 {
        self.returned_at.map_or(1.0, |at| (0.16 + 0.84 * (now - at).as_secs_f64() / 14.0).min(1.0))
    }

    fn answer(&mut self, call: &Call, courier: usize) -> Answer {
        let now = call.at;
        self.tokens =
            (self.tokens + (now - self.counted_at).as_secs_f64() * Partner::LISTED).min(Partner::DEPTH);
        self.counted_at = now;
        let report =
            format!("Srv-Load: x0={:.2},x1={:.0}\r\n", self.tokens / Partner::DEPTH, Partner::LISTED);
        if self.is_failing {
            self.told[courier] = true;
            return Answer::After(ms(20), "500 Internal Server Error", report);
        }
        if self.returned_at.is_some() {
            self.calls.push((now, self.told[courier]));
            let window: Vec<bool> =
                self.calls.iter().filter(|(at, _)| *at + ms(2000) > now).map(|(_, told)| *told).collect();
            let allowed = 2.5 * Partner::CAPACITY * self.share(now) * 2.0;
            let slack = if allowed < 30.0 { 3.0 * allowed.sqrt() + 3.0 } else { 2.0 * allowed.sqrt() + 2.0 };
            let told = window.iter().filter(|told| **told).count();
            if self.fallen.is_none() && window.len() as f64 > allowed + slack {
                self.fallen = Some(format!(
                    "{} calls in 2 s, {told} of them from couriers that saw a call fail, where {:.1} are allowed with \
                     slack, {:.2} s behind the return",
                    window.len(),
                    allowed + slack,
                    (now - self.returned_at.unwrap_or(now)).as_secs_f64()
                ));
            }
        }
        if self.fallen.is_some() {
            return Answer::Close(ms(20));
        }
        self.in_hand.retain(|until| *until > now);
        if self.tokens < 1.0 || self.in_hand.len() >= 7 + 7 * 6 {
            // Four in five refusals tell how long to wait.
            let wait =
                if self.calls.len() % 5 == 0 { String::new() } else { "Retry-After: 0.5\r\n".to_owned() };
            return Answer::After(ms(10), "429 Too Many Requests", report + &wait);
        }
        self.tokens -= 1.0;
        // Seven calls run at a time, each for 7 / capacity seconds.
        let time = Duration::from_secs_f64(7.0 / (Partner::CAPACITY * self.share(now)));
        let free_at = if self.in_hand.len() < 7 { now } else { self.in_hand[self.in_hand.len() - 7] };
        let until = free_at.max(now) + time;
        self.in_hand.push(until);
        self.in_hand.sort_unstable();
        Answer::After(until - now, "200 OK", report)
    }
}

/// A partner fails its calls and comes back cold; each of thirty couriers saw one call fail, shortly before that.
fn late_failures(trouble: bool, record: &Record) -> Outcome {
    const COURIERS: usize = 30;
    const CLUMP: usize = 140;
    let partner = Arc::new(Mutex::new(Partner {
        told: vec![false; COURIERS],
        tokens: Partner::DEPTH,
        ..Partner::default()
    }));
    let calls = Calls::default();
    let decide = {
        let partner = partner.clone();
        // The first digits of an id name the courier that it is handed to.
        move |call: &Call| {
            let courier = call.id.get(..4).and_then(|digits| digits.parse().ok()).unwrap_or(0);
            partner.lock().unwrap().answer(call, courier)
        }
    };
    let bank = Endpoint::start("s-bank", record, &calls, decide).map_err(text)?;
    let mut known = list(10, &[&bank]);
    known.entries[0].weight = Partner::LISTED;
    let agent = Agent::start("first", record, known.clone()).map_err(text)?;
    let mut gateways = Vec::new();
    for _ in 0..COURIERS {
        let mut gateway = Gateway::new(record)?;
        (gateway.couriers, gateway.slots) = (COURIERS as u32, 14);
        gateway.configure(agent.address, &known)?;
        gateway.start()?;
        gateways.push(gateway);
    }
    let number = AtomicU64::new(0);
    let put = |courier: usize| {
        let id = format!("{courier:04}{:012}", number.fetch_add(1, Ordering::SeqCst));
        let fields = format!("c=salary-payment,d=20000,dest={CELL}");
        put_once(record, gateways[courier].listen, &Put { id: &id, key: 0, fields, body: b"payment" })
    };
    // Three seconds of ordinary traffic: a message for each courier and second.
    for message in 0..3 * COURIERS {
        put(message % COURIERS);
        sleep(ms(33));
    }
    sleep(ms(1000));
    let start = record.now();
    if trouble {
        record.line("partner: fails its calls");
        partner.lock().unwrap().is_failing = true;
        sleep(ms(9000));
        for courier in 0..COURIERS {
            put(courier);
            sleep(ms(25));
        }
        sleep((start + ms(10_000)).saturating_sub(record.now()));
        let now = record.at("partner: is back, cold");
        let mut partner = partner.lock().unwrap();
        (partner.is_failing, partner.returned_at) = (false, Some(now));
    } else {
        sleep(ms(10_000));
    }
    sleep(ms(200));
    record.line(format!("clients: a clump of {CLUMP} messages"));
    for message in 0..CLUMP {
        put(message % COURIERS);
    }
    sleep(ms(4000));
    let partner = partner.lock().unwrap();
    let told = partner.told.iter().filter(|told| **told).count();
    record.line(format!("{told} couriers saw a call fail; {} calls since the return", partner.calls.len()));
    if trouble && told < COURIERS {
        return Err(format!("only {told} couriers saw a call fail"));
    }
    Ok(partner.fallen.iter().cloned().collect())
}
