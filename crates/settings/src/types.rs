//! Typed settings.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// All settings of a file.
#[derive(Clone, Debug)]
pub struct Config {
    /// The gateway's own AS2 identity.
    pub identity: IdentityFiles,
    /// Settings of the delivery policy.
    pub policy: cloverstile::Settings,
    /// Names of the classes, in the order of the policy's settings.
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of the policy's settings.
    pub tenants: Vec<String>,
    /// Names of the kinds, in the order of the policy's settings.
    pub kinds: Vec<String>,
    /// Names of the zones, in the order of their ids.
    pub zones: Vec<String>,
    /// Requests a second into each zone, for all partners together; none: unlimited. For `cloverstile plan`.
    pub zone_rates: Vec<Option<f64>>,
    /// Where messages come in.
    pub listener: Listener,
    /// Limits of the gateway around the delivery policy.
    pub limits: Limits,
    /// Clients that may submit messages.
    pub clients: Vec<Client>,
    /// Partners that receive messages.
    pub partners: Vec<Partner>,
}

/// The AS2 identity of the gateway.
#[derive(Clone, Debug)]
pub struct IdentityFiles {
    /// AS2 name.
    pub name: String,
    /// Path of the private key (PKCS#8 in PEM), readable by its owner alone.
    pub key: PathBuf,
    /// PEM file.
    pub certificate: PathBuf,
    /// Index among all gateway instances, from 0, unique. None: drawn at random at each start.
    pub instance_index: Option<u32>,
}

/// Limits of the gateway around the delivery policy.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Longest time from the signal to stop until the exit.
    pub shutdown_timeout: Duration,
    /// Most final outcomes kept for resubmissions.
    pub max_kept_outcomes: usize,
    /// How long they are kept.
    pub outcome_retention: Duration,
    /// Most idle outbound connections kept.
    pub max_idle_connections: usize,
    /// Threads for cryptography; 0: it runs on the event loop.
    pub crypto_threads: usize,
}

/// Where AS2 messages come in.
#[derive(Clone, Debug)]
pub struct Listener {
    /// Address to listen on; always present in checked settings.
    pub address: Option<SocketAddr>,
    /// Path for messages; deferred receipts come to this path followed by `/receipts`.
    pub path: String,
    /// Most connections at once.
    pub max_connections: usize,
    /// Most bytes of a message's body.
    pub max_body_bytes: usize,
    /// Most bytes of a message's head.
    pub max_head_bytes: usize,
    /// Longest time for a message's head to arrive.
    pub head_timeout: Duration,
    /// Longest time for a whole message to arrive.
    pub message_timeout: Duration,
}

/// A program that submits messages.
#[derive(Clone, Debug)]
pub struct Client {
    /// Name in the settings.
    pub name: String,
    /// AS2 name.
    pub as2_name: String,
    /// PEM file.
    pub certificate: PathBuf,
    /// Index in [`Config::tenants`].
    pub tenant: u32,
    /// Whether its messages must be signed.
    pub requires_signature: bool,
    /// Whether its messages must be encrypted.
    pub requires_encryption: bool,
    /// Whether signatures with SHA-1 are accepted.
    pub accepts_sha1: bool,
    /// Prefix of allowed URLs for deferred receipts; none: no URL is allowed.
    pub receipt_url_prefix: Option<String>,
}

/// Digest algorithms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Digest {
    /// SHA-1.
    Sha1,
    /// SHA-256.
    Sha256,
    /// SHA-384.
    Sha384,
    /// SHA-512.
    Sha512,
}

/// Content ciphers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cipher {
    /// AES-128 in CBC.
    Aes128Cbc,
    /// AES-256 in CBC.
    Aes256Cbc,
    /// AES-128 in GCM.
    Aes128Gcm,
    /// AES-256 in GCM.
    Aes256Gcm,
}

/// The receipt that a partner is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiptMode {
    /// Signed, in the HTTP response.
    Signed,
    /// Not signed, in the HTTP response.
    Unsigned,
    /// Signed, deferred to a connection of its own.
    Async,
}

/// A partner's system.
#[derive(Clone, Debug)]
pub struct Partner {
    /// Name in the settings, which submissions use.
    pub name: String,
    /// AS2 name.
    pub as2_name: String,
    /// PEM file.
    pub certificate: PathBuf,
    /// Index in [`Config::kinds`].
    pub kind: u16,
    /// Requests a second that it accepts from all gateways together; 0 where rates are unknown.
    pub rate: f64,
    /// Messages a second for it at peak time, from all gateways; none: unknown. For `cloverstile plan`.
    pub peak_demand: Option<f64>,
    /// Priority weight of one of them against those for other partners.
    pub priority_weight: f64,
    /// Digest of signatures; none: not signed.
    pub signature_digest: Option<Digest>,
    /// Content cipher; none: not encrypted.
    pub content_cipher: Option<Cipher>,
    /// Whether to compress before signing.
    pub compress: bool,
    /// The requested receipt.
    pub receipt_mode: ReceiptMode,
    /// Digest requested in receipts; none: that of the signature.
    pub mic_digest: Option<Digest>,
    /// Its failover tiers, the preferred one first; empty: all its endpoints are equal.
    pub tiers: Vec<Tier>,
    /// Share of the messages for a lost tier that may spill over to the next one, from 0 to 1.
    pub spill_share: f64,
    /// Messages a second, from all gateways together, that may spill over; none: limited by the share alone.
    pub spill_rate: Option<f64>,
    /// Time without a response after which a tier counts as lost.
    pub lost_after: Duration,
    /// Recovery ramp: time from a lost tier's first response until nothing spills over any more.
    pub recovery_ramp: Duration,
    /// Its endpoints.
    pub endpoints: Vec<Endpoint>,
}

/// A site that a partner serves from.
#[derive(Clone, Debug, PartialEq)]
pub struct Tier {
    /// Index in [`Config::zones`].
    pub zone: u8,
    /// Requests a second that it accepts from all gateways together; 0 where rates are unknown.
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
    /// Index in [`Config::zones`].
    pub zone: u8,
    /// Whether it accepts new requests.
    pub state: cloverstile::EndpointState,
}
