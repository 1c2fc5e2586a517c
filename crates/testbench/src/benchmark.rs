//! What a courier costs: the cryptographic path against its private-key operations alone, messages a second over
//! sockets, memory. All that is compared is measured in one run.

use crate::scenario::{read, FaultScenario};
use crate::scenario_run::{GatewayCommand, RunError};
use aws_lc_rs::rand::SystemRandom;
use aws_lc_rs::rsa::{Pkcs1PrivateDecryptingKey, Pkcs1PublicEncryptingKey, PrivateDecryptingKey};
use aws_lc_rs::signature::{RsaKeyPair, RSA_PKCS1_SHA256};
use cloverstile_as2::{
    compose, compose_receipt, new_station, open, read_receipt, Addressee, As2Error, Composed, Digest,
    Disposition, Envelope, Identity, NewKey, Outcome, Outgoing, Part, ReceiptFacts, Security,
};
use cloverstile_as2_gateway::rig::{Rig, RigError};
use cloverstile_as2_gateway::{load, Service};
use cloverstile_fakes::client::{Client, Habits, Progress};
use cloverstile_fakes::model::Fault;
use cloverstile_fakes::partner::Order;
use cloverstile_fakes::record::{Line, Recorder, Seen};
use cloverstile_http::Headers;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rustix::time::{clock_gettime, ClockId};
use serde::Serialize;
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// CPU time of this thread.
fn cpu() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// The path through one courier without sockets.
#[derive(Clone, Debug, Serialize)]
pub struct PathCost {
    /// Messages measured.
    pub messages: u32,
    /// Bytes of each one's content.
    pub body: usize,
    /// Messages a second of one core: opened, composed, receipt verified, receipt signed.
    pub path_per_cpu_second: f64,
    /// The same for one decryption and two signatures with RSA-2048 alone.
    pub limit_per_cpu_second: f64,
    /// The first over the second.
    pub ratio: f64,
    /// Milliseconds of CPU for each part, by name.
    pub parts_ms: Vec<(&'static str, f64)>,
}

struct Stations {
    client: Identity,
    courier: Identity,
    courier_key: Vec<u8>,
    partner: Identity,
}

impl Stations {
    fn new() -> Result<Stations, As2Error> {
        let make = |name: &str| new_station(name, NewKey::Rsa2048, (2020, 1, 1), (2120, 1, 1));
        let station = |name: &str| {
            let (key, certificate) = make(name)?;
            Identity::from_pem(name, &key, &certificate)
        };
        let (key, certificate) = make("courier")?;
        Ok(Stations {
            client: station("client")?,
            courier: Identity::from_pem("courier", &key, &certificate)?,
            courier_key: pkcs8(&key)?,
            partner: station("partner")?,
        })
    }
}

fn pkcs8(pem: &str) -> Result<Vec<u8>, As2Error> {
    let lines: String = pem.lines().filter(|line| !line.starts_with("-----")).collect();
    let part = Part {
        headers: Headers::new().with("Content-Transfer-Encoding", "base64"),
        body: lines.into_bytes(),
    };
    part.decoded()
}

fn to(identity: &Identity) -> Addressee<'_> {
    Addressee { name: &identity.name, certificate: &identity.certificate }
}

fn receipt(
    for_id: &str,
    from: &Identity,
    to: &Identity,
    opened: &cloverstile_as2::Opened,
) -> Result<Composed, As2Error> {
    let facts = ReceiptFacts {
        receipt_id: "receipt",
        to: &to.name,
        original_id: for_id,
        disposition: Disposition::Processed,
        mic: Some(&opened.mic),
        text: "The message was delivered.",
        answer: Some(Outcome::Delivered),
    };
    compose_receipt(&facts, from, Some(Digest::Sha256))
}

/// Measures the path and its limit, turn by turn, so that a busy machine strikes both.
pub fn path(messages: u32, body: usize) -> Result<PathCost, As2Error> {
    let stations = Stations::new()?;
    let Stations { client, courier, partner, .. } = &stations;
    let security = Security::default();
    let payload = Part {
        headers: Headers::new().with("Content-Type", "application/octet-stream"),
        body: vec![b'x'; body],
    };
    let outgoing = Outgoing { message_id: "m@client", payload: &payload, subject: None };
    let handed_in = compose(&outgoing, client, to(courier), &security)?;
    let refused = |_| As2Error::Key("private key", "not usable".into());
    let signing = RsaKeyPair::from_pkcs8(&stations.courier_key).map_err(refused)?;
    let decrypting = PrivateDecryptingKey::from_pkcs8(&stations.courier_key).map_err(refused)?;
    let unusable = |_| As2Error::Key("private key", "not usable".into());
    let public = Pkcs1PublicEncryptingKey::new(decrypting.public_key()).map_err(unusable)?;
    let decrypting = Pkcs1PrivateDecryptingKey::new(decrypting).map_err(unusable)?;
    let mut secret = vec![0; public.ciphertext_size()];
    let secret = public.encrypt(&[7; 16], &mut secret).map_err(unusable)?.to_vec();
    let random = SystemRandom::new();
    let (mut spent, mut limit) = ([Duration::ZERO; 4], Duration::ZERO);
    for _ in 0..messages {
        let mut last = cpu();
        let mut lap = |part: &mut Duration| {
            let now = cpu();
            *part += now - last;
            last = now;
        };
        let envelope = Envelope::read(&handed_in.headers)?;
        let opened = open(
            &handed_in.headers,
            &handed_in.body,
            courier,
            &client.certificate,
            envelope.receipt.as_ref(),
        )?;
        lap(&mut spent[0]);
        let onward = Outgoing { message_id: &envelope.message_id, payload: &opened.payload, subject: None };
        let sent = compose(&onward, courier, to(partner), &security)?;
        lap(&mut spent[1]);
        // The partner's own work does not count.
        let asked = Envelope::read(&sent.headers)?.receipt;
        let there = open(&sent.headers, &sent.body, partner, &courier.certificate, asked.as_ref())?;
        let back = receipt(&envelope.message_id, partner, courier, &there)?;
        last = cpu();
        let mut lap = |part: &mut Duration| {
            let now = cpu();
            *part += now - last;
            last = now;
        };
        let proof = read_receipt(&back.headers, &back.body, &partner.certificate)?;
        proof.check(&envelope.message_id, &sent.mic, true)?;
        lap(&mut spent[2]);
        receipt(&envelope.message_id, courier, client, &opened)?;
        lap(&mut spent[3]);
        let mut plain = [0; 256];
        decrypting.decrypt(&secret, &mut plain).map_err(unusable)?;
        for _ in 0..2 {
            let mut value = [0; 256];
            signing.sign(&RSA_PKCS1_SHA256, &random, b"what is signed", &mut value).map_err(unusable)?;
        }
        lap(&mut limit);
    }
    let per_message = |span: Duration| span.as_secs_f64() * 1000.0 / f64::from(messages);
    let whole: Duration = spent.iter().sum();
    let names = ["open", "compose", "verify receipt", "sign receipt"];
    Ok(PathCost {
        messages,
        body,
        path_per_cpu_second: f64::from(messages) / whole.as_secs_f64(),
        limit_per_cpu_second: f64::from(messages) / limit.as_secs_f64(),
        ratio: limit.as_secs_f64() / whole.as_secs_f64(),
        parts_ms: names.into_iter().zip(spent.iter().map(|span| per_message(*span))).collect(),
    })
}

/// One courier over sockets.
#[derive(Clone, Debug, Serialize)]
pub struct SocketCost {
    /// Messages.
    pub messages: u32,
    /// Threads for cryptography.
    pub workers: usize,
    /// From the first hand-in to the last answer.
    pub messages_per_second: f64,
    /// Part of the loop's working time that is the engine's and the module's.
    pub module_share: f64,
    /// Part of the wall time in which the loop worked.
    pub loop_busy: f64,
}

const DAY: &str = "messages = 1\nrate = 100000\ncouriers = 1\n\
    class \"pay-notice\" {\n share = 1\n effect = \"keyed\"\n window = 50\n aim = 20\n deadline = 60\n}\n\
    partner \"bank\" {\n share = 1\n servers = 2000\n queue = 100000\n service_ms = [1, 1]\n encrypted = true\n}\n";

fn day(messages: u32) -> Result<FaultScenario, RunError> {
    Ok(FaultScenario { messages, ..read(DAY)? })
}

/// Hands messages in as fast as they are taken.
pub fn sockets(messages: u32, workers: usize, folder: &Path) -> Result<SocketCost, RunError> {
    let day = day(messages)?;
    let mut spec = day.spec();
    spec.courier_lines =
        format!("  call_slots = 64\n  most_held = 1000000\n  stop_within = \"5s\"\n  workers = {workers}");
    let recorder = Recorder::default();
    let rig = Rig::build(folder, spec, recorder.clone(), 1)?;
    let (config, directory) = load(&rig.files[0]).map_err(RigError::Load)?;
    let (tell, told) = std::sync::mpsc::channel();
    let courier = std::thread::spawn(move || {
        let mut service = Service::start(config, directory, None, 1).ok()?;
        let _ = tell.send((service.address(), service.stopper()));
        service.run().ok()
    });
    let (address, stopper) = told.recv().map_err(|_| RigError::Start(0))?;
    let couriers = rig.couriers(vec![address]);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let [plan, _] = day.plan(&mut rng, 1, recorder.now());
    let progress = Progress::default();
    let habits = Habits { deferred: true, ..Habits::default() };
    Client::new(&rig.clients[0], habits, &couriers, plan, recorder.clone(), &progress)?.run()?;
    stopper.stop();
    let lines = recorder.lines();
    let ending = courier.join().ok().flatten().ok_or(RigError::Start(0))?;
    let span = span(&lines);
    Ok(SocketCost {
        messages,
        workers,
        messages_per_second: f64::from(messages) / span.as_secs_f64(),
        module_share: ending.deciding.as_secs_f64() / ending.working.as_secs_f64(),
        loop_busy: ending.working.as_secs_f64() / span.as_secs_f64(),
    })
}

fn span(lines: &[Line]) -> Duration {
    let first = lines.iter().find(|line| matches!(line.seen, Seen::HandIn { .. })).map_or(0, |line| line.at);
    let last =
        lines.iter().rev().find(|line| matches!(line.seen, Seen::Answer { .. })).map_or(0, |line| line.at);
    Duration::from_micros(last.saturating_sub(first).max(1))
}

/// What a courier process holds.
#[derive(Clone, Debug, Serialize)]
pub struct MemoryCost {
    /// Messages held.
    pub held: u32,
    /// Bytes of each one's content.
    pub body: usize,
    /// Bytes of memory for each of them.
    pub bytes_per_held_message: f64,
    /// Open, idle connections of clients.
    pub connections: usize,
    /// Bytes of memory for each of them.
    pub bytes_per_connection: f64,
}

fn resident(pid: u32) -> std::io::Result<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or_default();
    let kilobytes: f64 = line.trim().trim_end_matches("kB").trim().parse().unwrap_or(0.0);
    Ok(kilobytes * 1024.0)
}

/// Measures the memory of a courier process that holds messages for a partner that never answers, and of its
/// idle connections.
pub fn memory(
    held: u32,
    connections: usize,
    folder: &Path,
    launch: &GatewayCommand,
) -> Result<MemoryCost, RunError> {
    let day = day(held)?;
    let mut spec = day.spec();
    spec.courier_lines = "  call_slots = 8\n  most_held = 1000000\n  stop_within = \"1s\"".into();
    let recorder = Recorder::default();
    let rig = Rig::build(folder, spec, recorder.clone(), 1)?;
    let text = std::fs::read_to_string(&rig.files[0])?;
    std::fs::write(&rig.files[0], text.replace("connections = 4000", "connections = 20000"))?;
    let (process, address) = crate::scenario_run::Process::start(launch, &rig.files[0], 0)?;
    let before = resident(process.id())?;
    let mut open = Vec::new();
    for _ in 0..connections {
        open.push(TcpStream::connect(address)?);
    }
    std::thread::sleep(Duration::from_millis(300));
    let with_connections = resident(process.id())?;
    drop(open);
    rig.partners.order(Order::Fault {
        partner: 0,
        fault: Fault::Silent,
        zone: None,
        lasts: Duration::from_secs(600),
    });
    let couriers = rig.couriers(vec![address]);
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let [mut plan, _] = day.plan(&mut rng, 1, recorder.now());
    let body = 400;
    plan.iter_mut().for_each(|planned| planned.body = vec![b'x'; body]);
    let progress = Progress::default();
    let empty = resident(process.id())?;
    let full = std::thread::scope(|scope| -> Result<f64, RunError> {
        let client = scope.spawn(|| {
            let habits = Habits { deferred: true, ..Habits::default() };
            Client::new(&rig.clients[0], habits, &couriers, plan, recorder.clone(), &progress)?.run()
        });
        let taken = || recorder.lines().iter().filter(|line| matches!(line.seen, Seen::Taken { .. })).count();
        for _ in 0..300 {
            if taken() >= held as usize {
                break;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        let full = resident(process.id());
        progress.stop.store(true, Ordering::Relaxed);
        client.join().unwrap_or_else(|_| Err(std::io::Error::other("the client panicked")))?;
        Ok(full?)
    })?;
    Ok(MemoryCost {
        held,
        body,
        bytes_per_held_message: (full - empty) / f64::from(held),
        connections,
        bytes_per_connection: (with_connections - before) / connections as f64,
    })
}
