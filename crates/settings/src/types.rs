//! What settings say, as types.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// A whole file.
#[derive(Clone, Debug)]
pub struct Config {
    /// This courier's own station.
    pub station: Station,
    /// What the module is handed.
    pub module: cloverstile::Settings,
    /// Names of the classes, in the module's order.
    pub classes: Vec<String>,
    /// Names of the tenants, in the module's order.
    pub tenants: Vec<String>,
    /// Names of the kinds, in the module's order.
    pub kinds: Vec<String>,
    /// Names of the zones, in the module's order.
    pub zones: Vec<String>,
    /// Calls a second into each zone, for all partners together; none: without bound. For `cloverstile plan`.
    pub zone_rates: Vec<Option<f64>>,
    /// Where messages come in.
    pub front: Front,
    /// Bounds of the program around the module.
    pub limits: Limits,
    /// Who may hand in.
    pub clients: Vec<Client>,
    /// Whom messages are for.
    pub partners: Vec<Partner>,
}

/// A station of our own.
#[derive(Clone, Debug)]
pub struct Station {
    /// AS2 name.
    pub name: String,
    /// PKCS#8 PEM file, for its owner's eyes only.
    pub key: PathBuf,
    /// PEM file.
    pub certificate: PathBuf,
    /// Its place among all couriers, from 0; each has another. None: drawn by chance at each start.
    pub place: Option<u32>,
}

/// Bounds of the program around the module.
#[derive(Clone, Debug)]
pub struct Limits {
    /// From the signal to stop until the exit, at most.
    pub stop_within: Duration,
    /// Final answers kept for repeated hand-ins, at most.
    pub remembered: usize,
    /// ... and for how long.
    pub answers_kept: Duration,
    /// Idle outbound connections kept, at most.
    pub idle_connections: usize,
    /// Threads for cryptography; none: it runs on the event loop.
    pub workers: usize,
}

/// Where AS2 messages come in.
#[derive(Clone, Debug)]
pub struct Front {
    /// Address to listen on; always there in checked settings.
    pub listen: Option<SocketAddr>,
    /// Path for messages; asynchronous receipts come to this path with `/receipts` behind it.
    pub path: String,
    /// Connections at once.
    pub connections: usize,
    /// Bytes of a message's body.
    pub body: usize,
    /// Bytes of a message's head.
    pub head: usize,
    /// For a message's head to come.
    pub head_time: Duration,
    /// For a whole message to come.
    pub message_time: Duration,
}

/// A program that hands messages in.
#[derive(Clone, Debug)]
pub struct Client {
    /// Name in the settings.
    pub name: String,
    /// AS2 name.
    pub as2_name: String,
    /// PEM file.
    pub certificate: PathBuf,
    /// Place in [`Config::tenants`].
    pub tenant: u32,
    /// Its messages must be signed.
    pub sign: bool,
    /// Its messages must be encrypted.
    pub encrypt: bool,
    /// Signatures with SHA-1 are taken.
    pub sha1: bool,
    /// Asynchronous receipts may go to addresses that begin so; none: to none.
    pub receipts: Option<String>,
}

/// Digests by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Digest {
    Sha1,
    Sha256,
    Sha384,
    Sha512,
}

/// Ciphers by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs)]
pub enum Cipher {
    Aes128Cbc,
    Aes256Cbc,
    Aes128Gcm,
    Aes256Gcm,
}

/// What receipt a partner is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Receipt {
    /// Signed, in the answer.
    Signed,
    /// Not signed, in the answer.
    Unsigned,
    /// Signed, on a connection of its own.
    Async,
}

/// A partner's system.
#[derive(Clone, Debug)]
pub struct Partner {
    /// Name in the settings; messages name it.
    pub name: String,
    /// AS2 name.
    pub as2_name: String,
    /// PEM file.
    pub certificate: PathBuf,
    /// Place in [`Config::kinds`].
    pub kind: u16,
    /// Calls a second that it takes from all couriers together; zero where rates are not told.
    pub rate: f64,
    /// Messages a second wanted of it at the busiest time, from all couriers; none: not told. For `cloverstile plan`.
    pub wanted: Option<f64>,
    /// Worth of one of them against those of others.
    pub worth: f64,
    /// Digest of our signatures, if they are wanted.
    pub sign: Option<Digest>,
    /// Cipher, if encryption is wanted.
    pub encrypt: Option<Cipher>,
    /// Compress before signing.
    pub compress: bool,
    /// The receipt asked for.
    pub receipt: Receipt,
    /// Digest asked for in receipts, where it is not that of our signature.
    pub mic: Option<Digest>,
    /// Its tiers, the preferred one first; none: all its endpoints are alike.
    pub tiers: Vec<Tier>,
    /// Share of the messages for a lost tier that may go to the next one.
    pub spill_share: f64,
    /// Messages a second, from all couriers together, that may spill; none: the share alone binds.
    pub spill_rate: Option<f64>,
    /// A tier counts as lost only after so long without an answer.
    pub lost_after: Duration,
    /// From a lost tier's first answer until nothing spills any more.
    pub ramp: Duration,
    /// Its addresses.
    pub endpoints: Vec<Endpoint>,
}

/// A site that a partner serves from.
#[derive(Clone, Debug, PartialEq)]
pub struct Tier {
    /// Place in [`Config::zones`].
    pub zone: u8,
    /// Calls a second that it takes from all couriers together; zero where rates are not told.
    pub rate: f64,
}

/// One address of a partner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Name, unique within the partner.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Path of its AS2 service.
    pub path: String,
    /// Place in [`Config::zones`].
    pub zone: u8,
    /// Whether it may be given new work.
    pub mode: cloverstile::EndpointState,
}
