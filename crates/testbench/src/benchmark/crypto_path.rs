//! The cryptographic path of a message through one gateway, without sockets, against the least that it can cost.

use aws_lc_rs::rand::SystemRandom;
use aws_lc_rs::rsa::{Pkcs1PrivateDecryptingKey, Pkcs1PublicEncryptingKey, PrivateDecryptingKey};
use aws_lc_rs::signature::{RsaKeyPair, RSA_PKCS1_SHA256};
use cloverstile_as2::{
    compose, compose_receipt, generate_identity, open, read_receipt, As2Error, ComposedMessage, Digest,
    Disposition, Envelope, Identity, NewKey, OpenedMessage, Outcome, OutgoingMessage, Part, ReceiptContent,
    Recipient, Security,
};
use cloverstile_http::Headers;
use rustix::time::{clock_gettime, ClockId};
use serde::Serialize;
use std::time::Duration;

/// Bytes of an RSA-2048 block.
const RSA_BLOCK: usize = 256;
/// Length of the content key that a message is encrypted with.
const CONTENT_KEY: [u8; 16] = [7; 16];
/// First and last day on which the benchmark's certificates are valid.
const VALIDITY: [(i32, u8, u8); 2] = [(2020, 1, 1), (2120, 1, 1)];

/// CPU time of the path through one gateway.
#[derive(Clone, Debug, Serialize)]
pub struct CryptoPathCost {
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

/// CPU time of this thread.
fn thread_cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Runs something and adds the CPU time that it took.
fn timed<T>(spent: &mut Duration, work: impl FnOnce() -> T) -> T {
    let before = thread_cpu_time();
    let result = work();
    *spent += thread_cpu_time() - before;
    result
}

struct Stations {
    client: Identity,
    gateway: Identity,
    /// The gateway's private key (PKCS #8).
    gateway_key: Vec<u8>,
    partner: Identity,
}

impl Stations {
    fn new() -> Result<Stations, As2Error> {
        let [from, until] = VALIDITY;
        let generate = |name: &str| generate_identity(name, NewKey::Rsa2048, from, until);
        let station = |name: &str| {
            let (key, certificate) = generate(name)?;
            Identity::from_pem(name, &key, &certificate)
        };
        let (key, certificate) = generate("gateway")?;
        Ok(Stations {
            client: station("client")?,
            gateway: Identity::from_pem("gateway", &key, &certificate)?,
            gateway_key: decode_pem(&key)?,
            partner: station("partner")?,
        })
    }
}

fn decode_pem(pem: &str) -> Result<Vec<u8>, As2Error> {
    let lines: String = pem.lines().filter(|line| !line.starts_with("-----")).collect();
    let part = Part {
        headers: Headers::new().with("Content-Transfer-Encoding", "base64"),
        body: lines.into_bytes(),
    };
    part.decoded()
}

fn addressee(identity: &Identity) -> Recipient<'_> {
    Recipient { name: &identity.name, certificate: &identity.certificate }
}

fn receipt(
    original_id: &str,
    from: &Identity,
    to: &Identity,
    opened: &OpenedMessage,
) -> Result<ComposedMessage, As2Error> {
    let facts = ReceiptContent {
        receipt_id: "receipt",
        to: &to.name,
        original_id,
        disposition: Disposition::Processed,
        mic: Some(&opened.mic),
        text: "The message was delivered.",
        final_outcome: Some(Outcome::Delivered),
    };
    compose_receipt(&facts, from, Some(Digest::Sha256))
}

/// The private-key operations that no gateway can do without.
struct MinimalOperations {
    signing: RsaKeyPair,
    decrypting: Pkcs1PrivateDecryptingKey,
    secret: Vec<u8>,
    random: SystemRandom,
}

fn unusable_key<E>(_: E) -> As2Error {
    As2Error::Key("private key", "not usable".into())
}

impl MinimalOperations {
    fn new(key: &[u8]) -> Result<MinimalOperations, As2Error> {
        let signing = RsaKeyPair::from_pkcs8(key).map_err(unusable_key)?;
        let decrypting = PrivateDecryptingKey::from_pkcs8(key).map_err(unusable_key)?;
        let public = Pkcs1PublicEncryptingKey::new(decrypting.public_key()).map_err(unusable_key)?;
        let decrypting = Pkcs1PrivateDecryptingKey::new(decrypting).map_err(unusable_key)?;
        let mut secret = vec![0; public.ciphertext_size()];
        let secret = public.encrypt(&CONTENT_KEY, &mut secret).map_err(unusable_key)?.to_vec();
        Ok(MinimalOperations { signing, decrypting, secret, random: SystemRandom::new() })
    }

    /// One decryption and two signatures.
    fn run(&self) -> Result<(), As2Error> {
        let mut plain = [0; RSA_BLOCK];
        self.decrypting.decrypt(&self.secret, &mut plain).map_err(unusable_key)?;
        for _ in 0..2 {
            let mut signature = [0; RSA_BLOCK];
            self.signing
                .sign(&RSA_PKCS1_SHA256, &self.random, b"what is signed", &mut signature)
                .map_err(unusable_key)?;
        }
        Ok(())
    }
}

/// CPU time of each part of the path.
#[derive(Default)]
struct PathTimes {
    open: Duration,
    compose: Duration,
    verify_receipt: Duration,
    sign_receipt: Duration,
}

impl PathTimes {
    fn total(&self) -> Duration {
        self.open + self.compose + self.verify_receipt + self.sign_receipt
    }
}

/// Takes one submitted message through the gateway.
fn run_path(stations: &Stations, submitted: &ComposedMessage, times: &mut PathTimes) -> Result<(), As2Error> {
    let Stations { client, gateway, partner, .. } = stations;
    let (envelope, opened) = timed(&mut times.open, || {
        let envelope = Envelope::parse(&submitted.headers)?;
        let (headers, body) = (&submitted.headers, &submitted.body);
        let opened = open(headers, body, gateway, &client.certificate, envelope.receipt.as_ref())?;
        Ok::<_, As2Error>((envelope, opened))
    })?;
    let message_id = &envelope.message_id;
    let sent = timed(&mut times.compose, || {
        let onward = OutgoingMessage { message_id, payload: &opened.payload, subject: None };
        compose(&onward, gateway, addressee(partner), &Security::default())
    })?;
    // The partner's own work does not count.
    let requested = Envelope::parse(&sent.headers)?.receipt;
    let received = open(&sent.headers, &sent.body, partner, &gateway.certificate, requested.as_ref())?;
    let returned = receipt(message_id, partner, gateway, &received)?;
    timed(&mut times.verify_receipt, || {
        let proof = read_receipt(&returned.headers, &returned.body, &partner.certificate)?;
        proof.check(message_id, &sent.mic, true)
    })?;
    timed(&mut times.sign_receipt, || receipt(message_id, gateway, client, &opened))?;
    Ok(())
}

/// Measures the path and its limit in turns, so that a busy machine affects both.
///
/// # Errors
/// A key can't be made, or a message does not pass.
pub fn measure_crypto_path(messages: u32, body: usize) -> Result<CryptoPathCost, As2Error> {
    let stations = Stations::new()?;
    let payload = Part {
        headers: Headers::new().with("Content-Type", "application/octet-stream"),
        body: vec![b'x'; body],
    };
    let outgoing = OutgoingMessage { message_id: "m@client", payload: &payload, subject: None };
    let to_gateway = addressee(&stations.gateway);
    let submitted = compose(&outgoing, &stations.client, to_gateway, &Security::default())?;
    let minimal = MinimalOperations::new(&stations.gateway_key)?;
    let (mut times, mut limit) = (PathTimes::default(), Duration::ZERO);
    for _ in 0..messages {
        run_path(&stations, &submitted, &mut times)?;
        timed(&mut limit, || minimal.run())?;
    }
    let count = f64::from(messages);
    let ms_per_message = |spent: Duration| spent.as_secs_f64() * 1000.0 / count;
    let total = times.total().as_secs_f64();
    Ok(CryptoPathCost {
        messages,
        body,
        path_per_cpu_second: count / total,
        limit_per_cpu_second: count / limit.as_secs_f64(),
        ratio: limit.as_secs_f64() / total,
        parts_ms: vec![
            ("open", ms_per_message(times.open)),
            ("compose", ms_per_message(times.compose)),
            ("verify receipt", ms_per_message(times.verify_receipt)),
            ("sign receipt", ms_per_message(times.sign_receipt)),
        ],
    })
}
