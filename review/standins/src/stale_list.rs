//! An endpoint is gone, and another partner's endpoint has its address. While discovery is down, the courier is killed and
//! started again.

use crate::agent::{Agent, Entry};
use crate::client::Message;
use crate::courier::{Courier, TemporaryFolder};
use crate::http::{read_request, respond, serve};
use crate::record::Record;
use crate::settings::Settings;
use crate::Verdict;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const WORK: Duration = Duration::from_millis(150);
/// Slack of the rules on sockets.
const SLACK: Duration = Duration::from_millis(50);
/// How long discovery is down.
const DISCOVERY_DOWN: Duration = Duration::from_secs(8);
/// Time from SIGKILL to the next start.
const RESTART: Duration = Duration::from_millis(600);
/// A message every so often.
const INTERVAL: Duration = Duration::from_millis(100);

/// A call that an endpoint got: time of its first byte, the address it came to, and the message.
type Calls = Arc<Mutex<Vec<(Duration, SocketAddr, String)>>>;

fn serve_endpoint(calls: &Calls, record: &Record, stream: &mut TcpStream) -> io::Result<()> {
    let mut buffer = Vec::new();
    let (now, address) = (|| record.now(), stream.local_addr()?);
    while let Some(request) = read_request(stream, &mut buffer, &now)? {
        let id = request.header("req-id").to_owned();
        calls.lock().unwrap().push((request.first_byte, address, id.clone()));
        std::thread::sleep(WORK);
        record
            .line_at(request.first_byte, &format!("endpoint at {address}: call {id} has run, answered 200"));
        respond(stream, "200 OK", "Srv-Load: x0=0.7,x1=35.0\r\n", "")?;
    }
    Ok(())
}

fn entry(id: &str, address: SocketAddr, kind: &'static str, cell: u16, lifecycle: &'static str) -> Entry {
    Entry { id: id.to_owned(), address, kind, cell, lifecycle, weight: 35.0, changed: 0 }
}

/// Hands in a payment for partner 1 every [`INTERVAL`] until this time; one that has no answer in time is not handed in
/// again.
fn hand_in_until(end: Duration, listen: SocketAddr, record: &Record, count: &mut usize) {
    while record.now() < end {
        let next = record.now() + INTERVAL;
        *count += 1;
        let id = format!("pay-{count}");
        let time_left = Duration::from_secs(12);
        let message =
            Message { id, key: 0, class: "salary-payment", time_left, destination: 1, idempotency_key: None };
        message.hand_in(listen, record);
        std::thread::sleep(next.saturating_sub(record.now()));
    }
}

pub fn run(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let folder = TemporaryFolder::create()?;
    let settings = Settings::default();
    let calls: Calls = Arc::default();
    let start_endpoint = || {
        let (calls, record) = (calls.clone(), record.clone());
        serve(move |stream| serve_endpoint(&calls, &record, stream))
    };
    let (first, second, other) = (start_endpoint()?, start_endpoint()?, start_endpoint()?);
    let agent = Agent::start("n0", record)?;
    agent.publish(entry("s-1", first, "banks", 1, "SERVING"));
    agent.publish(entry("s-2", second, "banks", 1, "SERVING"));
    agent.publish(entry("s-3", other, "employer-systems", 2, "SERVING"));
    let mut courier = Courier::create("n0", &folder.0, record)?;
    // The configuration is written once, before the first start; its `known` grows old.
    courier.configure(agent.address, &agent.known(), &settings.json())?;
    courier.start()?;
    let mut count = 0;
    let mut play = |seconds: f64| {
        hand_in_until(record.now() + Duration::from_secs_f64(seconds), courier.listen, record, &mut count)
    };
    play(2.0);
    // s-1 is replaced by s-4.
    agent.publish(entry("s-4", start_endpoint()?, "banks", 1, "SERVING"));
    agent.publish(entry("s-1", first, "banks", 1, "DRAINING"));
    play(2.0);
    agent.publish(entry("s-1", first, "banks", 1, "DELETED"));
    let gone = agent.generation();
    play(1.0);
    // The address of s-1 is free; a new endpoint of partner 2 gets it.
    agent.publish(entry("s-5", first, "employer-systems", 2, "SERVING"));
    play(2.0);
    let Some(told) = agent.told_at(gone) else {
        return Ok(Verdict::CouldNotRun("the courier was not told that s-1 is gone".to_owned()));
    };
    if has_trouble {
        agent.set_silent(true);
    }
    let down = record.now();
    play(0.5);
    if has_trouble {
        courier.kill();
        std::thread::sleep(RESTART);
        courier.start()?;
    }
    let mut play = |until: Duration| hand_in_until(until, courier.listen, record, &mut count);
    play(down + DISCOVERY_DOWN);
    agent.set_silent(false);
    play(record.now() + Duration::from_secs(1));
    std::thread::sleep(Duration::from_secs(1));
    if courier.has_ended() {
        return Ok(Verdict::CouldNotRun("the courier ended by itself".to_owned()));
    }
    let limit = told + Duration::from_millis(settings.drain_grace_ms) + SLACK;
    let calls = calls.lock().unwrap();
    let late: Vec<&(Duration, SocketAddr, String)> =
        calls.iter().filter(|(at, address, _)| *address == first && *at > limit).collect();
    for (at, _, id) in &late {
        record.line_at(
            *at,
            &format!(
                "new call to s-1, which is gone: {id}, a payment for partner 1, ran at s-5 of partner 2"
            ),
        );
    }
    record.line(&format!("{} calls, {} of them to s-1 later than {limit:?}", calls.len(), late.len()));
    Ok(match late.first() {
        Some((at, _, _)) => Verdict::Broken(format!(
            "{} new calls to s-1 up to {:.0} s after the courier was told that it is gone; each ran at another partner's endpoint",
            late.len(), (late.last().map_or(*at, |call| call.0) - told).as_secs_f64()
        )),
        None if calls.len() < 50 => Verdict::CouldNotRun("too few calls were made".to_owned()),
        None => Verdict::Held,
    })
}
