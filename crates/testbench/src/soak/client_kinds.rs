//! Kinds of clients: usual ones, such that send many commands at once or one in pieces, and such that rest.

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

/// Pause between two submissions of a client, in milliseconds.
const PAUSE_MS: Range<u64> = 15..120;
/// Time that messages have, in milliseconds.
const TIME_LEFT_MS: Range<u64> = 1500..5000;
/// Share of the messages of the ordered class that have an order key, where one is free.
const ORDERED_SHARE: f64 = 0.8;
/// Time of messages that have very little.
const LITTLE_TIME_MS: Range<u64> = 1..300;
/// Commands that are sent at once.
const PIPELINED: Range<usize> = 2..7;
/// How long a connection rests, in milliseconds: gateways end it after three seconds.
const REST_MS: Range<u64> = 200..4000;
/// How long the second half of a command is behind the first, in milliseconds.
const HALF_MS: Range<u64> = 10..900;
/// Tries of a command that was not read.
const MAX_TRIES: usize = 3;

/// How a client behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientKind {
    /// One command after another on a connection that it keeps.
    Usual,
    /// Several commands in one write.
    Pipelining,
    /// Commands in two pieces.
    Slow,
    /// It rests on its connection, and sends when that ends, or just before.
    Resting,
}

/// The clients of each gateway.
pub const CLIENTS: [ClientKind; 5] =
    [ClientKind::Usual, ClientKind::Usual, ClientKind::Pipelining, ClientKind::Slow, ClientKind::Resting];

/// One client of one gateway.
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
    /// A client by its position among those of its gateway.
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

    /// Submits messages until it is told to stop; returns their number.
    pub fn run(mut self, stopped: &AtomicBool) -> u64 {
        let mut client = None;
        while !stopped.load(Ordering::Relaxed) {
            let connected = match client.take() {
                Some(client) => Some(client),
                None => Client::connect(self.platform, self.gateway, self.number).ok(),
            };
            client = connected.and_then(|connected| self.turn(connected));
            let pause = Duration::from_millis(self.rng.random_range(PAUSE_MS));
            std::thread::sleep(pause);
        }
        self.messages
    }

    /// One round of the client; returns the connection where it goes on.
    fn turn(&mut self, client: Client<'a>) -> Option<Client<'a>> {
        match self.kind {
            ClientKind::Usual => {
                let (put, _lease) = self.next_message();
                self.submit(client, &put)
            }
            ClientKind::Pipelining => self.pipeline(client),
            ClientKind::Slow => self.submit_in_pieces(client),
            ClientKind::Resting => self.rest_and_submit(client),
        }
    }

    /// The next message; where it has an order key, with the client's turn with that key, to be held until the reply.
    fn next_message(&mut self) -> (PutCommand, Option<KeyLease<'a>>) {
        self.messages += 1;
        let id = format!("{}m{}", self.name, self.messages);
        let keyed = self.rng.random_bool(0.5);
        let time_left = if self.rng.random_bool(0.1) { LITTLE_TIME_MS } else { TIME_LEFT_MS };
        let time_left_ms = self.rng.random_range(time_left);
        let choice = self.rng.random();
        let lease = (keyed && self.rng.random_bool(ORDERED_SHARE)).then(|| self.gateway.keys.lease(choice));
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

    /// Submits a message, again on a new connection where it was not read.
    fn submit(&mut self, mut client: Client<'a>, put: &PutCommand) -> Option<Client<'a>> {
        for _ in 0..MAX_TRIES {
            let sent = Instant::now();
            client.record_submission(put);
            let result =
                if client.write(&put.encode()) { client.read_reply(put, sent) } else { ReplyResult::Unread };
            match result {
                ReplyResult::Replied => {
                    client.check_nothing_follows(put);
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

    fn pipeline(&mut self, mut client: Client<'a>) -> Option<Client<'a>> {
        let count = self.rng.random_range(PIPELINED);
        // Messages of one key are submitted one after another.
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

    fn submit_in_pieces(&mut self, mut client: Client<'a>) -> Option<Client<'a>> {
        let (put, _lease) = self.next_message();
        let bytes = put.encode();
        let first = self.rng.random_range(1..bytes.len());
        let gap = Duration::from_millis(self.rng.random_range(HALF_MS));
        let sent = Instant::now();
        if !client.write(&bytes[..first]) {
            return None;
        }
        std::thread::sleep(gap);
        client.record_submission(&put);
        if !client.write(&bytes[first..]) {
            return None;
        }
        (client.read_reply(&put, sent) == ReplyResult::Replied).then_some(client)
    }

    /// Rests behind a reply. Where the gateway ends the connection meanwhile, a request crosses that end.
    fn rest_and_submit(&mut self, mut client: Client<'a>) -> Option<Client<'a>> {
        if !client.write(&cloverstile_resp::encode_command(&[b"PING"])) || !client.read_pong() {
            return None;
        }
        let time = Duration::from_millis(self.rng.random_range(REST_MS));
        client.rest(time);
        let (put, _lease) = self.next_message();
        self.submit(client, &put)
    }
}
