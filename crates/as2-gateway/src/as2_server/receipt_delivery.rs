//! Delivery of asynchronous receipts: each is posted to the URL that the client named, with retries.

use crate::context::{Context, Timer};
use crate::identifiers::DeliveryId;
use cloverstile_http::{
    encode_request, parse_http_url, DecodedItem, Decoder, Headers, Limits, Message, StartLine,
};
use cloverstile_net::ConnId;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tracing::warn;

/// Connections opened to deliver one receipt, before it is given up.
const MAX_ATTEMPTS: u32 = 6;
/// Delay before the second attempt. It doubles with each further attempt.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Limit of receipts in delivery at the same time; further ones are dropped.
const MAX_DELIVERIES: usize = 10_000;
/// Limit of the body of a response to a receipt, in bytes.
const MAX_RESPONSE_BODY_BYTES: usize = 1 << 20;
/// Timeout of one delivery attempt, as a multiple of `connect_timeout`.
const CONNECT_TIMEOUT_MULTIPLE: u32 = 4;

struct Delivery {
    address: SocketAddr,
    bytes: Vec<u8>,
    attempts: u32,
}

struct DeliveryConnection {
    delivery: DeliveryId,
    decoder: Decoder,
}

/// Receipts in delivery, including those that wait for a retry, and the connections of running attempts.
#[derive(Default)]
pub(crate) struct ReceiptDeliveries {
    deliveries: HashMap<DeliveryId, Delivery>,
    connections: HashMap<ConnId, DeliveryConnection>,
    last_delivery: u64,
}

impl ReceiptDeliveries {
    pub fn contains(&self, connection: ConnId) -> bool {
        self.connections.contains_key(&connection)
    }

    pub fn is_empty(&self) -> bool {
        self.deliveries.is_empty()
    }

    /// Starts to deliver a receipt to a URL. If that is not possible, the receipt is dropped and a warning logged.
    pub fn start(&mut self, context: &mut Context, url: &str, mut headers: Headers, body: &[u8]) {
        let Some((address, path)) = parse_http_url(url) else {
            return warn!(url, "receipt not delivered: only http:// with a numeric address is supported");
        };
        if self.deliveries.len() >= MAX_DELIVERIES {
            return warn!(url, "receipt not delivered: too many deliveries in progress");
        }
        headers.add("Host", address.to_string()).add("Connection", "close");
        let bytes = encode_request("POST", &path, &headers, body);
        self.last_delivery += 1;
        let id = DeliveryId(self.last_delivery);
        self.deliveries.insert(id, Delivery { address, bytes, attempts: 0 });
        self.attempt(context, id);
    }

    /// Opens a connection, sends the receipt and sets the timeout of the attempt.
    pub fn attempt(&mut self, context: &mut Context, id: DeliveryId) {
        let Some(delivery) = self.deliveries.get_mut(&id) else { return };
        delivery.attempts += 1;
        let connection = context.net.connect(delivery.address);
        let decoder =
            Decoder::client(Limits { max_body_bytes: MAX_RESPONSE_BODY_BYTES, ..Limits::default() });
        context.net.send(connection, &delivery.bytes);
        self.connections.insert(connection, DeliveryConnection { delivery: id, decoder });
        let timeout = context.config.policy.connect_timeout.saturating_mul(CONNECT_TIMEOUT_MULTIPLE);
        context.set_timer(context.now() + timeout, Timer::ConnectTimeout(connection));
    }

    /// Decodes a response: a 2xx status completes the delivery, any other status or an invalid response fails the
    /// attempt.
    pub fn on_bytes(&mut self, context: &mut Context, id: ConnId, bytes: &[u8]) {
        let now = context.since_start();
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.decoder.feed(now, bytes);
        match connection.decoder.next(now) {
            Ok(Some(DecodedItem::Message(Message {
                start_line: StartLine::Response { status: 200..=299 },
                ..
            }))) => {
                self.deliveries.remove(&connection.delivery);
                self.connections.remove(&id);
                context.net.close(id);
            }
            Ok(None) => {}
            _ => self.on_failure(context, id),
        }
    }

    /// Closes the connection of a failed attempt and schedules a retry, or gives up after [`MAX_ATTEMPTS`].
    pub fn on_failure(&mut self, context: &mut Context, id: ConnId) {
        let Some(connection) = self.connections.remove(&id) else { return };
        context.net.close(id);
        let Some(delivery) = self.deliveries.get(&connection.delivery) else { return };
        if delivery.attempts >= MAX_ATTEMPTS {
            warn!(address = %delivery.address, "receipt not delivered: no attempt succeeded");
            self.deliveries.remove(&connection.delivery);
        } else {
            let delay = FIRST_RETRY_DELAY.saturating_mul(1 << (delivery.attempts - 1));
            context.set_timer(context.now() + delay, Timer::RetryDelivery(connection.delivery));
        }
    }
}
