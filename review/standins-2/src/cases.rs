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

/// Hands in keyed messages with keys of their own for a partner, one each `gap`, for `time`.
fn load_for(cell: u16, record: &Record, gateway: &Gateway, number: &mut u64, time: Duration, gap: Duration) {
    let until = record.now() + time;
    while record.now() < until {
        *number += 1;
        let (id, k) = (format!("{:016x}", 0x1000 + *number), format!("{:016x}", 0x77_0000 + *number));
        let fields = format!("c=pay-notice,d=24000,k={k},dest={cell}");
        put_once(record, gateway.listen, &Put { id: &id, key: *number, fields, body: b"notice" });
        sleep(gap);
    }
}

fn load(record: &Record, gateway: &Gateway, number: &mut u64, time: Duration, gap: Duration) {
    load_for(CELL, record, gateway, number, time, gap);
}

/// An endpoint that serves until it is told to drain; from then on it turns every new call away, as one that shuts.
fn start_draining(
    name: &str,
    record: &Record,
    calls: &Calls,
    drains: &Arc<AtomicBool>,
) -> Result<Endpoint, String> {
    let drains = drains.clone();
    let decide = move |_: &Call| match drains.load(Ordering::SeqCst) {
        true => Answer::After(ms(5), "503 Service Unavailable", String::new()),
        false => Answer::After(ms(150), "200 OK", String::new()),
    };
    Endpoint::start(name, record, calls, decide).map_err(text)
}

fn start_serving(name: &str, record: &Record, calls: &Calls) -> Result<Endpoint, String> {
    Endpoint::start(name, record, calls, |_| Answer::After(ms(150), "200 OK", String::new())).map_err(text)
}

/// A courier hears that an endpoint drains and is gone, and restarts with a copy of the list from before that.
fn stale_list(trouble: bool, record: &Record) -> Outcome {
    let calls = Calls::default();
    let drains = Arc::new(AtomicBool::new(false));
    let stays = start_serving("s-stays", record, &calls)?;
    let replaced = start_draining("s-replaced", record, &calls, &drains)?;
    let new = start_serving("s-new", record, &calls)?;
    let draining = List {
        generation: 30,
        entries: vec![entry(&stays, "SERVING"), entry(&replaced, "DRAINING"), entry(&new, "SERVING")],
    };
    let (first, added, last) =
        (list(10, &[&stays]), list(20, &[&stays, &replaced]), list(40, &[&stays, &new]));
    let agent = Agent::start("first", record, first.clone()).map_err(text)?;
    let mut gateway = Gateway::new(record)?;
    (gateway.slots, gateway.most_held) = (6, 120);
    gateway.configure(agent.address, &first)?;
    gateway.start()?;
    let mut number = 0;
    load(record, &gateway, &mut number, ms(1500), ms(50));
    agent.set_list(added.clone());
    load(record, &gateway, &mut number, ms(2500), ms(50));
    drains.store(true, Ordering::SeqCst);
    agent.set_list(draining);
    load(record, &gateway, &mut number, ms(4000), ms(50));
    agent.set_list(last);
    load(record, &gateway, &mut number, ms(2000), ms(50));
    let told = agent.told(30).ok_or("the drain was not told")?;
    agent.told(40).ok_or("the last list was not told")?;
    if trouble {
        gateway.signal(SIGKILL);
        gateway.wait();
        sleep(ms(600));
        gateway.configure(agent.address, &added)?;
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
        "told at {:.3} that {} drains; {before} calls there before that, {} later than {:.3}; {} calls in all",
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
                "{} calls to an endpoint that drained and is gone, the first one {:.3} s after the drain was told",
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

/// A list with these entries and those of other partners, for which no message comes: some drain, the others serve.
fn fleet(
    generation: u64,
    entries: Vec<Entry>,
    serving: impl Iterator<Item = usize>,
    draining: impl Iterator<Item = usize>,
) -> List {
    let other = |number: usize, lifecycle: &'static str| Entry {
        id: format!("s-{number:08x}"),
        address: ([127, 0, (100 + number / 250) as u8, (1 + number % 250) as u8], 6379).into(),
        cell: 100 + (number % 800) as u16,
        weight: 10.0,
        lifecycle,
    };
    let mut entries = entries;
    entries.extend(serving.map(|number| other(number, "SERVING")));
    entries.extend(draining.map(|number| other(number, "DRAINING")));
    List { generation, entries }
}

/// How the other partners' endpoints are replaced: in so many steps, one each `STEP`.
const STEPS: usize = 5;
const STEP: Duration = Duration::from_millis(4200);

/// The list behind a step of a deployment that replaces the first `replaced` of `size` endpoints, a fifth in each step: those
/// of this step drain beside their replacements, those of earlier steps are gone.
fn deployment(step: usize, size: usize, replaced: usize, entries: Vec<Entry>) -> List {
    let at = |step: usize| (replaced * step.min(STEPS)).div_ceil(STEPS);
    let (gone, draining) = (at(step - 1), at(step));
    fleet(10 + step as u64, entries, draining..size + draining, gone..draining)
}

/// A large fleet of endpoints is replaced in part, which the courier hears; then it is killed while it holds messages.
fn large_list(trouble: bool, record: &Record) -> Outcome {
    const FLEET: usize = 2000;
    const REPLACED: usize = 1090;
    const CLUMP: u64 = 24;
    const OTHER: u16 = 4;
    let calls = Calls::default();
    let (bank, other) = (start_serving("s-bank", record, &calls)?, start_serving("s-other", record, &calls)?);
    let entries = || {
        let bank = Entry { weight: 10.0, ..entry(&bank, "SERVING") };
        vec![bank, Entry { cell: OTHER, weight: 20.0, ..entry(&other, "SERVING") }]
    };
    let known = fleet(10, entries(), 0..FLEET, 0..0);
    let agent = Agent::start("first", record, known.clone()).map_err(text)?;
    let mut gateway = Gateway::new(record)?;
    (gateway.couriers, gateway.slots, gateway.most_held, gateway.disk_mb) = (40, 3, 72, 8);
    gateway.configure(agent.address, &known)?;
    gateway.start()?;
    // Ordinary traffic, while endpoints are replaced.
    let mut number = 0;
    for step in 1..=STEPS + 1 {
        agent.set_list(deployment(step, FLEET, REPLACED, entries()));
        load_for(OTHER, record, &gateway, &mut number, STEP, ms(83));
    }
    agent.told(10 + STEPS as u64 + 1).ok_or("the last list was not told")?;
    // A clump for one partner.
    let time = 20_000;
    let mut taken = Vec::new();
    let first_sent = record.now();
    for message in 0..CLUMP {
        let (id, k) = (format!("{:016x}", 0x2000_0000 + message), format!("{:016x}", 0x88_0000 + message));
        let fields = format!("c=pay-notice,d={time},k={k},dest={CELL}");
        let put = Put { id: &id, key: 0x5000_0000 + message, fields, body: b"notice" };
        if put_once(record, gateway.listen, &put).as_deref() == Some("+OK") {
            taken.push(id);
        }
    }
    sleep(ms(400));
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
        "{number} messages of ordinary traffic; {} of the clump taken on from {:.3} on, {} neither delivered nor ended \
         by a notice by {:.3}",
        taken.len(),
        first_sent.as_secs_f64(),
        lost.len(),
        record.now().as_secs_f64()
    ));
    if taken.is_empty() {
        return Err("no message was taken on".to_owned());
    }
    let what = |id: &&&String| {
        format!("{} of {} messages taken on are lost, the first one is {id}", lost.len(), taken.len())
    };
    Ok(lost.first().iter().map(what).collect())
}

/// What a folder holds, with each file counted in whole 512 bytes.
fn folder_bytes(folder: &Path) -> u64 {
    let files = std::fs::read_dir(folder).into_iter().flatten().flatten();
    files.filter_map(|file| Some(file.metadata().ok()?.len().next_multiple_of(512))).sum()
}

/// A client sends the same thing again as soon as it is turned away, while much is held.
fn same_again(trouble: bool, record: &Record) -> Outcome {
    const OTHER: u16 = 4;
    let calls = Calls::default();
    let (bank, other) = (start_serving("s-bank", record, &calls)?, start_serving("s-other", record, &calls)?);
    let mut known = list(10, &[&bank, &other]);
    known.entries[0].weight = 46.0;
    (known.entries[1].cell, known.entries[1].weight) = (OTHER, 46.0);
    let agent = Agent::start("first", record, known.clone()).map_err(text)?;
    let mut gateway = Gateway::new(record)?;
    (gateway.slots, gateway.most_held) = (6, 120);
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
    // Ordinary traffic, and behind it a clump for one partner, more than the courier may hold.
    let mut ordinary = 0;
    load_for(OTHER, record, &gateway, &mut ordinary, ms(38_000), ms(54));
    let put = |client: &mut Client, number: u64, body: &[u8]| {
        let (id, k) = (format!("{:016x}", 0x3000_0000 + number), format!("{:016x}", 0x9900_0000 + number));
        let fields = format!("c=pay-notice,d=24000,k={k},dest={CELL}");
        client.put(&Put { id: &id, key: 0x6000_0000 + number, fields, body })
    };
    let mut client = Client::connect(gateway.listen).map_err(text)?;
    let mut taken = 0;
    for number in 0..130 {
        taken += usize::from(put(&mut client, number, b"notice").map_err(text)? == "+OK");
    }
    record.line(format!(
        "clients: {ordinary} messages of ordinary traffic; 130 of the clump handed in, {taken} taken on"
    ));
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
    const FLEET: usize = 1300;
    const REPLACED: usize = 710;
    let calls = Calls::default();
    let drains = Arc::new(AtomicBool::new(false));
    let stays = start_serving("s-stays", record, &calls)?;
    let gone = start_draining("s-gone", record, &calls, &drains)?;
    let known = fleet(10, vec![entry(&stays, "SERVING"), entry(&gone, "SERVING")], 0..FLEET, 0..0);
    let agent = Agent::start("first", record, known.clone()).map_err(text)?;
    let mut gateway = Gateway::new(record)?;
    (gateway.couriers, gateway.slots, gateway.most_held) = (40, 4, 72);
    gateway.configure(agent.address, &known)?;
    gateway.start()?;
    let mut number = 0;
    // The endpoint drains in the last step and goes behind it.
    for step in 1..=STEPS + 1 {
        let mut entries = vec![entry(&stays, "SERVING")];
        match step.cmp(&STEPS) {
            std::cmp::Ordering::Less => entries.push(entry(&gone, "SERVING")),
            std::cmp::Ordering::Equal => entries.push(entry(&gone, "DRAINING")),
            std::cmp::Ordering::Greater => {}
        }
        drains.store(step >= STEPS, Ordering::SeqCst);
        agent.set_list(deployment(step, FLEET, REPLACED, entries));
        load(record, &gateway, &mut number, STEP, ms(83));
    }
    let told = agent.told(10 + STEPS as u64).ok_or("the drain was not told")?;
    agent.told(10 + STEPS as u64 + 1).ok_or("the last list was not told")?;
    if trouble {
        record.line("platform: discovery is down");
        agent.down.store(true, Ordering::SeqCst);
        gateway.signal(SIGKILL);
        gateway.wait();
        sleep(ms(600));
        gateway.configure(agent.address, &known)?;
        gateway.start()?;
    }
    load(record, &gateway, &mut number, ms(7000), ms(83));
    record.line("platform: discovery is up");
    agent.down.store(false, Ordering::SeqCst);
    load(record, &gateway, &mut number, ms(1000), ms(83));
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
        self.returned_at
            .map_or(1.0, |at| (0.16 + 0.84 * now.saturating_sub(at).as_secs_f64() / 14.0).min(1.0))
    }

    fn answer(&mut self, call: &Call, courier: usize) -> Answer {
        // Calls come here in the order in which they take the lock, which is not quite that of their times.
        let now = call.at.max(self.counted_at);
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
                    now.saturating_sub(self.returned_at.unwrap_or(now)).as_secs_f64()
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
        Answer::After(until.saturating_sub(now), "200 OK", report)
    }
}

/// A partner fails its calls and comes back cold; each of thirty couriers saw one call fail, shortly before that.
fn late_failures(trouble: bool, record: &Record) -> Outcome {
    const COURIERS: usize = 30;
    const CLUMP: usize = 140;
    const OTHER: u16 = 4;
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
    let other = start_serving("s-other", record, &calls)?;
    let mut known = list(10, &[&bank, &other]);
    known.entries[0].weight = Partner::LISTED;
    (known.entries[1].cell, known.entries[1].weight) = (OTHER, 80.0);
    let agent = Agent::start("first", record, known.clone()).map_err(text)?;
    let mut gateways = Vec::new();
    for _ in 0..COURIERS {
        let mut gateway = Gateway::new(record)?;
        (gateway.couriers, gateway.slots, gateway.most_held) = (COURIERS as u32, 3, 20);
        gateway.configure(agent.address, &known)?;
        gateway.start()?;
        gateways.push(gateway);
    }
    let number = AtomicU64::new(0);
    let listens: Vec<_> = gateways.iter().map(|gateway| gateway.listen).collect();
    let put = |cell: u16, courier: usize| {
        let id = format!("{courier:04}{:012}", number.fetch_add(1, Ordering::SeqCst));
        let fields = format!("c=salary-payment,d=20000,dest={cell}");
        put_once(record, listens[courier], &Put { id: &id, key: 0, fields, body: b"payment" })
    };
    let ended = AtomicBool::new(false);
    let ordinary = AtomicU64::new(0);
    std::thread::scope(|scope| {
        // Ordinary traffic for another partner throughout.
        scope.spawn(|| {
            while !ended.load(Ordering::SeqCst) {
                put(OTHER, ordinary.fetch_add(1, Ordering::SeqCst) as usize % COURIERS);
                sleep(ms(18));
            }
        });
        let result =
            play_late_failures(trouble, record, &partner, CLUMP, COURIERS, |courier| put(CELL, courier));
        ended.store(true, Ordering::SeqCst);
        record.line(format!("{} messages for the other partner", ordinary.load(Ordering::SeqCst)));
        result
    })
}

fn play_late_failures(
    trouble: bool,
    record: &Record,
    partner: &Mutex<Partner>,
    clump: usize,
    couriers: usize,
    put: impl Fn(usize) -> Option<String>,
) -> Outcome {
    // Three seconds of ordinary traffic for the partner.
    for message in 0..66 {
        put(message % couriers);
        sleep(ms(45));
    }
    sleep(ms(1000));
    let start = record.now();
    if trouble {
        record.line("partner: fails its calls");
        partner.lock().unwrap().is_failing = true;
        sleep(ms(9000));
        for courier in 0..couriers {
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
    record.line(format!("clients: a clump of {clump} messages"));
    for message in 0..clump {
        put(message % couriers);
    }
    sleep(ms(4000));
    let partner = partner.lock().unwrap();
    let told = partner.told.iter().filter(|told| **told).count();
    record.line(format!("{told} couriers saw a call fail; {} calls since the return", partner.calls.len()));
    if trouble && told < couriers {
        return Err(format!("only {told} couriers saw a call fail"));
    }
    Ok(partner.fallen.iter().cloned().collect())
}
