//! CPU time of a message's cryptographic path through one gateway, without sockets, and its lower bound.

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

/// Length of an RSA-2048 signature or ciphertext, in bytes.
const RSA_BLOCK_LENGTH: usize = 256;
/// Stand-in for the symmetric key that a message's content is encrypted with (AES-128).
const CONTENT_KEY: [u8; 16] = [7; 16];
/// First and last day of the validity of the generated certificates: year, month, day.
const VALIDITY: [(i32, u8, u8); 2] = [(2020, 1, 1), (2120, 1, 1)];

/// Speed of the path through one gateway, per core.
#[derive(Clone, Debug, Serialize)]
pub struct CryptoPathCost {
    /// Number of messages measured.
    pub messages: u32,
    /// Content length of each message, in bytes.
    pub body: usize,
    /// Messages per second of CPU time: opened, composed for the partner, partner receipt verified, own receipt signed.
    pub path_per_cpu_second: f64,
    /// Upper bound of the above: one decryption and two signatures with RSA-2048 alone.
    pub limit_per_cpu_second: f64,
    /// `path_per_cpu_second` divided by `limit_per_cpu_second`; at most about 1.
    pub ratio: f64,
    /// Milliseconds of CPU time per message for each part of the path, by name.
    pub parts_ms: Vec<(&'static str, f64)>,
}

/// CPU time consumed by this thread so far.
fn thread_cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

/// Runs `work` and adds the CPU time that it took to `spent`.
fn timed<T>(spent: &mut Duration, work: impl FnOnce() -> T) -> T {
    let before = thread_cpu_time();
    let result = work();
    *spent += thread_cpu_time() - before;
    result
}

/// Identities of the three parties: the client submits to the gateway, which forwards to the partner.
struct Parties {
    client: Identity,
    gateway: Identity,
    /// The gateway's private key (PKCS #8).
    gateway_key: Vec<u8>,
    partner: Identity,
}

impl Parties {
    fn new() -> Result<Parties, As2Error> {
        let [from, until] = VALIDITY;
        let generate = |name: &str| generate_identity(name, NewKey::Rsa2048, from, until);
        let identity = |name: &str| {
            let (key, certificate) = generate(name)?;
            Identity::from_pem(name, &key, &certificate)
        };
        let (key, certificate) = generate("gateway")?;
        Ok(Parties {
            client: identity("client")?,
            gateway: Identity::from_pem("gateway", &key, &certificate)?,
            gateway_key: decode_pem(&key)?,
            partner: identity("partner")?,
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

fn recipient(identity: &Identity) -> Recipient<'_> {
    Recipient { name: &identity.name, certificate: &identity.certificate }
}

fn positive_receipt(
    original_id: &str,
    from: &Identity,
    to: &Identity,
    opened: &OpenedMessage,
) -> Result<ComposedMessage, As2Error> {
    let content = ReceiptContent {
        receipt_id: "receipt",
        to: &to.name,
        original_id,
        disposition: Disposition::Processed,
        mic: Some(&opened.mic),
        text: "The message was delivered.",
        final_outcome: Some(Outcome::Delivered),
    };
    compose_receipt(&content, from, Some(Digest::Sha256))
}

/// The private-key operations that every gateway has to perform for a message, whatever its implementation.
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

    /// Performs one decryption and two signatures.
    fn run(&self) -> Result<(), As2Error> {
        let mut plain = [0; RSA_BLOCK_LENGTH];
        self.decrypting.decrypt(&self.secret, &mut plain).map_err(unusable_key)?;
        for _ in 0..2 {
            let mut signature = [0; RSA_BLOCK_LENGTH];
            self.signing
                .sign(&RSA_PKCS1_SHA256, &self.random, b"what is signed", &mut signature)
                .map_err(unusable_key)?;
        }
        Ok(())
    }
}

/// CPU time of each part of the path, summed over all messages.
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

/// Takes one submitted message through the gateway and adds the CPU time of each part to `times`.
fn run_path(parties: &Parties, submitted: &ComposedMessage, times: &mut PathTimes) -> Result<(), As2Error> {
    let Parties { client, gateway, partner, .. } = parties;
    let (envelope, opened) = timed(&mut times.open, || {
        let envelope = Envelope::parse(&submitted.headers)?;
        let (headers, body) = (&submitted.headers, &submitted.body);
        let opened = open(headers, body, gateway, &client.certificate, envelope.receipt.as_ref())?;
        Ok::<_, As2Error>((envelope, opened))
    })?;
    let message_id = &envelope.message_id;
    let sent = timed(&mut times.compose, || {
        let forwarded = OutgoingMessage { message_id, payload: &opened.payload, subject: None };
        compose(&forwarded, gateway, recipient(partner), &Security::default())
    })?;
    // The partner's work is not part of the gateway's path, so it is not timed.
    let requested = Envelope::parse(&sent.headers)?.receipt;
    let received = open(&sent.headers, &sent.body, partner, &gateway.certificate, requested.as_ref())?;
    let returned = positive_receipt(message_id, partner, gateway, &received)?;
    timed(&mut times.verify_receipt, || {
        let proof = read_receipt(&returned.headers, &returned.body, &partner.certificate)?;
        proof.check(message_id, &sent.mic, true)
    })?;
    timed(&mut times.sign_receipt, || positive_receipt(message_id, gateway, client, &opened))?;
    Ok(())
}

/// Measures the path and its upper bound alternately, message by message, so that other load on the machine affects
/// both.
///
/// # Errors
/// A key can't be generated, or a message or receipt can't be composed, opened or verified.
pub fn measure_crypto_path(messages: u32, body: usize) -> Result<CryptoPathCost, As2Error> {
    let parties = Parties::new()?;
    let payload = Part {
        headers: Headers::new().with("Content-Type", "application/octet-stream"),
        body: vec![b'x'; body],
    };
    let outgoing = OutgoingMessage { message_id: "m@client", payload: &payload, subject: None };
    let to_gateway = recipient(&parties.gateway);
    let submitted = compose(&outgoing, &parties.client, to_gateway, &Security::default())?;
    let minimal = MinimalOperations::new(&parties.gateway_key)?;
    let (mut times, mut limit) = (PathTimes::default(), Duration::ZERO);
    for _ in 0..messages {
        run_path(&parties, &submitted, &mut times)?;
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
