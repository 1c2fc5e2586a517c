//! State that the AS2 server and the outbound client share: settings, engine, sockets, messages and timers.

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

/// An event due at a time; its handler checks whether it still applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// A request arrives too slowly.
    RequestDeadline(ConnId),
    /// An outbound connection takes too long to be established.
    ConnectTimeout(ConnId),
    /// An outbound connection has been idle for too long.
    IdleTimeout(ConnId),
    /// Another attempt to deliver a receipt is due.
    RetryDelivery(DeliveryId),
}

/// Where an endpoint of a partner is reached.
#[derive(Clone)]
pub(crate) struct EndpointAddress {
    /// Index in the partners of the settings.
    pub partner: usize,
    pub name: String,
    pub address: SocketAddr,
    pub path: String,
}

/// Shared state of one gateway.
pub(crate) struct Context {
    pub config: Config,
    pub directory: Arc<Directory>,
    pub engine: Engine,
    pub net: Net,
    pub crypto_pool: CryptoPool<WorkerResult>,
    pub messages: HashMap<MessageId, InFlightMessage>,
    pub endpoints: HashMap<EndpointId, EndpointAddress>,
    pub timers: BTreeSet<(Time, Timer)>,
    /// The address listened on.
    pub address: SocketAddr,
    /// The instant of [`Time::ZERO`].
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

    /// The client's id of a message; empty where the engine no longer knows it.
    pub fn idempotency_key(&self, message: MessageId) -> &str {
        self.engine.idempotency_key(message).unwrap_or_default()
    }

    /// Where partners post asynchronous receipts.
    pub fn receipts_url(&self) -> String {
        format!("http://{}{}/receipts", self.address, self.config.listener.path)
    }
}
