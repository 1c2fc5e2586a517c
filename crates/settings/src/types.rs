//! The typed settings that [`parse`](crate::parse) returns.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The validated settings of a file.
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
    /// Limit of requests per second into each zone, for all partners together, in the order of `zones`;
    /// `None` if it is unlimited. Only `cloverstile plan` uses it.
    pub zone_rates: Vec<Option<f64>>,
    /// Where clients submit messages and partners post asynchronous receipts.
    pub listener: Listener,
    /// Limits that the gateway enforces outside the delivery policy.
    pub limits: Limits,
    /// Clients that may submit messages.
    pub clients: Vec<Client>,
    /// Partners that receive messages.
    pub partners: Vec<Partner>,
}

/// The AS2 identity of the gateway, with its key and certificate as paths.
#[derive(Clone, Debug)]
pub struct IdentityFiles {
    /// AS2 name, sent as AS2-From.
    pub name: String,
    /// Path of the private key (PKCS#8 in PEM), readable by its owner only.
    pub key: PathBuf,
    /// Path of the certificate in PEM.
    pub certificate: PathBuf,
    /// Index of this gateway instance, from 0 and unique among all of them; `None` if it is drawn at random
    /// at each start.
    pub instance_index: Option<u32>,
}

/// Limits that the gateway enforces outside the delivery policy.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Longest time from the shutdown signal until the process exits.
    pub shutdown_timeout: Duration,
    /// Maximum number of final outcomes kept to answer resubmissions.
    pub max_kept_outcomes: usize,
    /// Time for which a final outcome is kept.
    pub outcome_retention: Duration,
    /// Maximum number of idle outbound connections kept open.
    pub max_idle_connections: usize,
    /// Number of threads for cryptography; 0: it runs on the event loop.
    pub crypto_threads: usize,
}

/// The HTTP listener for AS2 messages and asynchronous receipts.
#[derive(Clone, Debug)]
pub struct Listener {
    /// Address to listen on; always present in validated settings.
    pub address: Option<SocketAddr>,
    /// Path for messages; asynchronous receipts come to this path followed by `/receipts`.
    pub path: String,
    /// Maximum number of simultaneous connections.
    pub max_connections: usize,
    /// Maximum size of a request's body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum size of a request's head, in bytes.
    pub max_head_bytes: usize,
    /// Longest time for a request's head to arrive.
    pub head_timeout: Duration,
    /// Longest time for a whole request to arrive.
    pub message_timeout: Duration,
}

/// A program that submits messages to the gateway over AS2.
#[derive(Clone, Debug)]
pub struct Client {
    /// Name in the settings.
    pub name: String,
    /// AS2 name; the name in the settings unless given.
    pub as2_name: String,
    /// Path of the certificate in PEM.
    pub certificate: PathBuf,
    /// Index in [`Config::tenants`].
    pub tenant: u32,
    /// Whether its messages must be signed.
    pub requires_signature: bool,
    /// Whether its messages must be encrypted.
    pub requires_encryption: bool,
    /// Whether signatures with SHA-1 are accepted.
    pub accepts_sha1: bool,
    /// Prefix that the URL for an asynchronous receipt must have; `None` if asynchronous receipts are not allowed.
    pub receipt_url_prefix: Option<String>,
}

/// Digest algorithms for signatures and integrity checks (MICs).
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

/// Ciphers for encrypted content.
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

/// The kind of receipt that a partner is asked for, and how it is returned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReceiptMode {
    /// Signed, in the HTTP response.
    Signed,
    /// Not signed, in the HTTP response.
    Unsigned,
    /// Signed, and posted by the partner on a separate connection.
    Async,
}

/// A partner that receives messages, with its rates, security and endpoints.
#[derive(Clone, Debug)]
pub struct Partner {
    /// Name in the settings; submissions address the partner by it.
    pub name: String,
    /// AS2 name; the name in the settings unless given.
    pub as2_name: String,
    /// Path of the certificate in PEM.
    pub certificate: PathBuf,
    /// Index in [`Config::kinds`].
    pub kind: u16,
    /// Requests per second that it accepts from all gateways together; 0 where rates are unknown.
    pub rate: f64,
    /// Peak demand in messages per second, from all gateways together; `None` if unknown. Only `cloverstile plan` uses
    /// it.
    pub peak_demand: Option<f64>,
    /// Priority weight of a message for this partner, relative to messages for other partners.
    pub priority_weight: f64,
    /// Digest for signing messages; `None` if they are not signed.
    pub signature_digest: Option<Digest>,
    /// Cipher for messages; `None` if they are not encrypted.
    pub content_cipher: Option<Cipher>,
    /// Whether messages are compressed before they are signed.
    pub compress: bool,
    /// The kind of receipt requested.
    pub receipt_mode: ReceiptMode,
    /// Digest requested for the MIC in receipts; `None` for that of the signature, or SHA-256 without a signature.
    pub mic_digest: Option<Digest>,
    /// Failover tiers, the preferred one first; empty: no failover, all endpoints are equal.
    pub tiers: Vec<Tier>,
    /// Share of the messages for a lost tier that may spill over to the next one, from 0 to 1.
    pub spill_share: f64,
    /// Messages per second, from all gateways together, that may spill over; `None` if only the share limits them.
    pub spill_rate: Option<f64>,
    /// Time without a response after which a tier counts as lost.
    pub lost_after: Duration,
    /// Recovery ramp: time from a lost tier's first response until no message spills over any more.
    pub recovery_ramp: Duration,
    /// Endpoints in all zones; never empty in validated settings.
    pub endpoints: Vec<Endpoint>,
}

/// A failover tier: the site of a partner in one zone.
#[derive(Clone, Debug, PartialEq)]
pub struct Tier {
    /// Index in [`Config::zones`].
    pub zone: u8,
    /// Requests per second that the site accepts from all gateways together; 0 where rates are unknown.
    pub rate: f64,
}

/// One server of a partner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Name, unique within the partner.
    pub name: String,
    /// Address and port to connect to.
    pub address: SocketAddr,
    /// Path of its AS2 service in request URLs.
    pub path: String,
    /// Index in [`Config::zones`].
    pub zone: u8,
    /// Whether it accepts new requests.
    pub state: cloverstile::EndpointState,
}
