//! State shared by the AS2 server and the outbound client: settings, engine, sockets, messages and timers.

use crate::crypto_pool::CryptoPool;
use crate::directory::Directory;
use crate::identifiers::DeliveryId;
use crate::in_flight_message::InFlightMessage;
use crate::worker_result::WorkerResult;
use cloverstile::{EndpointId, MessageId, Time};
use cloverstile_engine::Engine;
use cloverstile_net::{ConnId, Net};
use cloverstile_settings::Config;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// An event that is due at a set time. Timers are not cancelled, so the handler checks whether the event still applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A request on an inbound connection has not arrived in time.
    RequestDeadline(ConnId),
    /// An outbound connection has not been established in time.
    ConnectTimeout(ConnId),
    /// An outbound connection has been idle for too long.
    IdleTimeout(ConnId),
    /// Another attempt to deliver a receipt is due.
    RetryDelivery(DeliveryId),
}

/// How to reach an endpoint of a partner.
#[derive(Clone)]
pub(crate) struct EndpointAddress {
    /// Index in the partners of the settings.
    pub partner: usize,
    /// Name of the endpoint in the settings, for log lines.
    pub name: String,
    pub address: SocketAddr,
    /// Path of the URL that messages are posted to.
    pub path: String,
}

/// Shared state of one gateway instance.
pub(crate) struct Context {
    pub config: Config,
    /// Keys and certificates of the gateway, its clients and its partners.
    pub directory: Arc<Directory>,
    pub engine: Engine,
    pub net: Net,
    pub crypto_pool: CryptoPool<WorkerResult>,
    /// Messages from their admission until the engine evicts their result.
    pub messages: HashMap<MessageId, InFlightMessage>,
    pub endpoints: HashMap<EndpointId, EndpointAddress>,
    /// Pending timers, the earliest first.
    pub timers: BTreeSet<(Time, Timer)>,
    /// The address that the gateway listens on.
    pub address: SocketAddr,
    /// The instant that [`Time::ZERO`] stands for.
    pub started_at: Instant,
}

impl Context {
    pub fn now(&self) -> Time {
        Time(u64::try_from(self.started_at.elapsed().as_nanos()).unwrap_or(u64::MAX))
    }

    pub fn since_start(&self) -> Duration {
        self.now() - Time::ZERO
    }

    pub fn set_timer(&mut self, at: Time, timer: Timer) {
        self.timers.insert((at, timer));
    }

    /// Removes and returns the next timer that is due at `now`.
    pub fn pop_due_timer(&mut self, now: Time) -> Option<Timer> {
        let due = *self.timers.first().filter(|(at, _)| *at <= now)?;
        self.timers.remove(&due);
        Some(due.1)
    }

    /// The idempotency key of a message, which is the client's message id; empty if the engine no longer holds it.
    pub fn idempotency_key(&self, message: MessageId) -> &str {
        self.engine.idempotency_key(message).unwrap_or_default()
    }

    /// The URL that partners post asynchronous receipts to.
    pub fn receipts_url(&self) -> String {
        format!("http://{}{}/receipts", self.address, self.config.listener.path)
    }
}
