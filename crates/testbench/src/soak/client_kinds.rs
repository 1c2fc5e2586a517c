//! The kinds of clients: sequential, pipelining, splitting commands over two writes, and idling on a connection.

use super::client::{Client, ReplyResult};
use super::config::{DESTINATIONS, KEYED_CLASS, UNSAFE_CLASS};
use super::gateways::Gateway;
use super::keys::KeyLease;
use cloverstile_fakes::platform::{Platform, PutCommand};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Pause between two rounds of a client, in milliseconds.
const ROUND_PAUSE_MS: Range<u64> = 15..120;
/// Time until the deadline of most messages, in milliseconds.
const TIME_LEFT_MS: Range<u64> = 1500..5000;
/// Share of the messages of the ordered class that get an order key, if one is free.
const ORDER_KEY_SHARE: f64 = 0.8;
/// Time until the deadline of messages that may expire before they are sent, in milliseconds.
const SHORT_TIME_LEFT_MS: Range<u64> = 1..300;
/// Number of commands in one pipeline.
const PIPELINE_LENGTH: Range<usize> = 2..7;
/// How long a connection stays idle, in milliseconds. Gateways close idle connections after three seconds.
const IDLE_MS: Range<u64> = 200..4000;
/// Delay between the two writes of a split command, in milliseconds.
const SPLIT_DELAY_MS: Range<u64> = 10..900;
/// Limit on how often a message is submitted while the gateway does not read the command.
const MAX_SUBMISSIONS: usize = 3;

/// How a client behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientKind {
    /// Sends one command after another on a persistent connection.
    Sequential,
    /// Sends several commands in one write.
    Pipelining,
    /// Sends each command in two writes.
    Splitting,
    /// Leaves its connection idle, and submits when the gateway closes it or shortly before.
    Idling,
}

/// Kinds of the clients of each gateway, by position.
pub const CLIENTS: [ClientKind; 5] = [
    ClientKind::Sequential,
    ClientKind::Sequential,
    ClientKind::Pipelining,
    ClientKind::Splitting,
    ClientKind::Idling,
];

/// A client of one gateway, which submits random messages.
pub struct ClientLoop<'a> {
    platform: &'a Platform,
    gateway: &'a Gateway<'a>,
    number: usize,
    kind: ClientKind,
    name: String,
    messages: u64,
    rng: ChaCha8Rng,
}

impl<'a> ClientLoop<'a> {
    /// Creates the client at a position of [`CLIENTS`]. The seed, gateway number and position decide its random choices.
    pub fn new(
        platform: &'a Platform,
        gateway: &'a Gateway<'a>,
        number: usize,
        position: usize,
        seed: u64,
    ) -> Self {
        let name = format!("g{number}c{position}");
        let client = (number as u64) << 8 | (position as u64 + 1);
        let rng = ChaCha8Rng::seed_from_u64(seed ^ client << 32);
        let kind = CLIENTS[position];
        ClientLoop { platform, gateway, number, kind, name, messages: 0, rng }
    }

    /// Submits messages until `stopped` is set; returns the number of messages created.
    pub fn run(mut self, stopped: &AtomicBool) -> u64 {
        let mut client = None;
        while !stopped.load(Ordering::Relaxed) {
            let connected = match client.take() {
                Some(client) => Some(client),
                None => Client::connect(self.platform, self.gateway, self.number).ok(),
            };
            client = connected.and_then(|connected| self.run_round(connected));
            let pause = Duration::from_millis(self.rng.random_range(ROUND_PAUSE_MS));
            std::thread::sleep(pause);
        }
        self.messages
    }

    /// Runs one round of the client; returns the connection if it can be used again.
    fn run_round(&mut self, client: Client<'a>) -> Option<Client<'a>> {
        match self.kind {
            ClientKind::Sequential => {
                let (put, _lease) = self.next_message();
                self.submit(client, &put)
            }
            ClientKind::Pipelining => self.pipeline(client),
            ClientKind::Splitting => self.submit_in_two_writes(client),
            ClientKind::Idling => self.idle_and_submit(client),
        }
    }

    /// Creates the next message. If it has an order key, the key's lease comes with it, to be held until the reply.
    fn next_message(&mut self) -> (PutCommand, Option<KeyLease<'a>>) {
        self.messages += 1;
        let id = format!("{}m{}", self.name, self.messages);
        let keyed = self.rng.random_bool(0.5);
        let time_left = if self.rng.random_bool(0.1) { SHORT_TIME_LEFT_MS } else { TIME_LEFT_MS };
        let time_left_ms = self.rng.random_range(time_left);
        let choice = self.rng.random();
        let lease = (keyed && self.rng.random_bool(ORDER_KEY_SHARE)).then(|| self.gateway.keys.lease(choice));
        let lease = lease.flatten();
        let put = PutCommand {
            key: lease.as_ref().map_or(0, |lease| lease.key),
            class: if keyed { KEYED_CLASS } else { UNSAFE_CLASS }.to_owned(),
            time_left_ms,
            destination: DESTINATIONS[self.rng.random_range(0..DESTINATIONS.len())],
            idempotency: keyed.then(|| format!("k-{id}")),
            body: vec![b'x'; self.rng.random_range(0..400)],
            id,
        };
        (put, lease)
    }

    /// Submits a message, and again on a new connection each time that it was not read.
    fn submit(&mut self, mut client: Client<'a>, put: &PutCommand) -> Option<Client<'a>> {
        for _ in 0..MAX_SUBMISSIONS {
            let sent = Instant::now();
            client.record_submission(put);
            let result =
                if client.write(&put.encode()) { client.read_reply(put, sent) } else { ReplyResult::Unread };
            match result {
                ReplyResult::Replied => {
                    client.check_no_extra_bytes(put);
                    return Some(client);
                }
                ReplyResult::Abandoned => return None,
                ReplyResult::Unread => {
                    client = Client::connect(self.platform, self.gateway, self.number).ok()?;
                }
            }
        }
        None
    }

    /// Submits several messages in one write.
    fn pipeline(&mut self, mut client: Client<'a>) -> Option<Client<'a>> {
        let count = self.rng.random_range(PIPELINE_LENGTH);
        // Without order keys: messages of one key have to be submitted one after another.
        let puts: Vec<PutCommand> =
            (0..count).map(|_| PutCommand { key: 0, ..self.next_message().0 }).collect();
        let sent = Instant::now();
        puts.iter().for_each(|put| client.record_submission(put));
        let bytes: Vec<u8> = puts.iter().flat_map(PutCommand::encode).collect();
        if !client.write(&bytes) {
            return None;
        }
        let replied = |put: &PutCommand| client.read_reply(put, sent) == ReplyResult::Replied;
        puts.iter().all(replied).then_some(client)
    }

    /// Submits a message in two writes with a pause between them.
    fn submit_in_two_writes(&mut self, mut client: Client<'a>) -> Option<Client<'a>> {
        let (put, _lease) = self.next_message();
        let bytes = put.encode();
        let first = self.rng.random_range(1..bytes.len());
        let delay = Duration::from_millis(self.rng.random_range(SPLIT_DELAY_MS));
        let sent = Instant::now();
        if !client.write(&bytes[..first]) {
            return None;
        }
        std::thread::sleep(delay);
        client.record_submission(&put);
        if !client.write(&bytes[first..]) {
            return None;
        }
        (client.read_reply(&put, sent) == ReplyResult::Replied).then_some(client)
    }

    /// Idles after a reply, then submits. If the gateway closes the connection meanwhile, the command crosses the close.
    fn idle_and_submit(&mut self, mut client: Client<'a>) -> Option<Client<'a>> {
        if !client.write(&cloverstile_resp::encode_command(&[b"PING"])) || !client.read_pong() {
            return None;
        }
        let time = Duration::from_millis(self.rng.random_range(IDLE_MS));
        client.wait_for_close(time);
        let (put, _lease) = self.next_message();
        self.submit(client, &put)
    }
}
