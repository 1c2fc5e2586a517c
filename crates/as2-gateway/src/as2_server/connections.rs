//! Inbound HTTP connections. On each, one request at a time is read and responded to.

use crate::context::{Context, Timer};
use crate::identifiers::RequestId;
use crate::response_mapping::HttpStatus;
use cloverstile::Time;
use cloverstile_http::{
    encode_response, DecodedItem, Decoder, Headers, HttpError, Limits, Message, CONTINUE,
};
use cloverstile_net::{ConnId, Net};
use std::collections::HashMap;
use tracing::debug;

/// Bytes of responses that a client may leave unread before nothing more is read from it.
const MAX_UNREAD_BYTES: usize = 256 << 10;

/// An HTTP response to a client or partner.
pub(crate) struct HttpResponse {
    pub status: HttpStatus,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl HttpResponse {
    pub fn new(status: HttpStatus, headers: Headers, body: impl Into<Vec<u8>>) -> Self {
        HttpResponse { status, headers, body: body.into() }
    }

    pub fn empty(status: HttpStatus) -> Self {
        HttpResponse::new(status, Headers::new(), Vec::new())
    }

    fn to_bytes(&self) -> Vec<u8> {
        encode_response(self.status.code, self.status.reason, &self.headers, &self.body)
    }
}

struct InboundConnection {
    decoder: Decoder,
    /// The request being processed. The next one is read after its response.
    current_request: Option<RequestId>,
    keep_alive: bool,
    /// Whether a timer for the request deadline is pending.
    has_deadline: bool,
}

/// Inbound connections of clients and partners that are open.
#[derive(Default)]
pub(crate) struct InboundConnections {
    connections: HashMap<ConnId, InboundConnection>,
    last_sequence: u64,
}

impl InboundConnections {
    pub fn contains(&self, connection: ConnId) -> bool {
        self.connections.contains_key(&connection)
    }

    /// Bytes of responses that are buffered and not yet written to their sockets.
    pub fn unsent_bytes(&self, net: &Net) -> usize {
        self.connections.keys().map(|connection| net.unsent_bytes(*connection)).sum()
    }

    /// Registers a new connection, or closes it with 503 if the connection limit is reached.
    pub fn accept(&mut self, context: &mut Context, id: ConnId) {
        let settings = &context.config.listener;
        if self.connections.len() >= settings.max_connections {
            let headers = Headers::new().with("Connection", "close").with("Retry-After", "1");
            let response =
                HttpResponse::new(HttpStatus::SERVICE_UNAVAILABLE, headers, "too many connections\n");
            context.net.send(id, &response.to_bytes());
            context.net.close_after_flush(id);
            return;
        }
        let limits = Limits {
            max_head_bytes: settings.max_head_bytes,
            max_body_bytes: settings.max_body_bytes,
            head_timeout: settings.head_timeout,
            message_timeout: settings.message_timeout,
            ..Limits::default()
        };
        let connection = InboundConnection {
            decoder: Decoder::server(limits),
            current_request: None,
            keep_alive: true,
            has_deadline: false,
        };
        self.connections.insert(id, connection);
    }

    pub fn remove(&mut self, id: ConnId) {
        self.connections.remove(&id);
    }

    /// Buffers received bytes until [`next_request`](Self::next_request) decodes them.
    pub fn feed(&mut self, context: &Context, id: ConnId, bytes: &[u8]) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.decoder.feed(context.since_start(), bytes);
        }
    }

    /// The next complete request of a connection; none while one is being processed or too many response bytes are
    /// unread.
    pub fn next_request(&mut self, context: &mut Context, id: ConnId) -> Option<(RequestId, Message)> {
        let now = context.since_start();
        loop {
            let connection = self.connections.get_mut(&id)?;
            // Bounds memory when a client sends requests and never reads the responses.
            if context.net.unsent_bytes(id) > MAX_UNREAD_BYTES {
                context.net.set_read_paused(id, true);
                return None;
            }
            if connection.current_request.is_some() {
                // Pipelined requests beyond this limit stay in the buffers of the socket and the peer.
                let paused = connection.decoder.buffered_bytes() > context.config.listener.max_head_bytes;
                context.net.set_read_paused(id, paused);
                return None;
            }
            match connection.decoder.next(now) {
                Ok(Some(DecodedItem::Message(message))) => {
                    self.last_sequence += 1;
                    let request = RequestId { connection: id, sequence: self.last_sequence };
                    connection.keep_alive = message.keep_alive;
                    connection.current_request = Some(request);
                    return Some((request, message));
                }
                Ok(Some(DecodedItem::ExpectsContinue)) => context.net.send(id, CONTINUE),
                Ok(None) => {
                    context.net.set_read_paused(id, false);
                    self.set_deadline(context, id);
                    return None;
                }
                Err(error) => {
                    self.close_with_error(context, id, status_of_error(&error), &error);
                    return None;
                }
            }
        }
    }

    fn set_deadline(&mut self, context: &mut Context, id: ConnId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if let (false, Some(due)) = (connection.has_deadline, connection.decoder.deadline()) {
            connection.has_deadline = true;
            context.set_timer(Time::ZERO + due, Timer::RequestDeadline(id));
        }
    }

    /// Closes the connection with 408 if its request arrives too slowly; otherwise waits for the next deadline.
    pub fn on_deadline(&mut self, context: &mut Context, id: ConnId) {
        let now = context.since_start();
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.has_deadline = false;
        if connection.current_request.is_some() {
            return;
        }
        match connection.decoder.check_deadline(now) {
            Err(error) => self.close_with_error(context, id, HttpStatus::REQUEST_TIMEOUT, &error),
            Ok(()) => self.set_deadline(context, id),
        }
    }

    /// Responds to an invalid or late request with an error and closes the connection.
    fn close_with_error(&mut self, context: &mut Context, id: ConnId, status: HttpStatus, error: &HttpError) {
        debug!(status = status.code, %error, "invalid request");
        let headers = Headers::new().with("Connection", "close").with("Content-Type", "text/plain");
        let response = HttpResponse::new(status, headers, format!("{error}\n"));
        context.net.send(id, &response.to_bytes());
        context.net.close_after_flush(id);
        self.connections.remove(&id);
    }

    /// Sends the response to a request, unless its connection was closed in the meantime.
    pub fn respond(&mut self, context: &mut Context, request: RequestId, mut response: HttpResponse) {
        let id = request.connection;
        let awaiting =
            self.connections.get_mut(&id).filter(|connection| connection.current_request == Some(request));
        let Some(connection) = awaiting else { return };
        connection.current_request = None;
        let keep_alive = connection.keep_alive;
        if !keep_alive {
            response.headers.add("Connection", "close");
        }
        context.net.send(id, &response.to_bytes());
        if !keep_alive {
            self.connections.remove(&id);
            context.net.close_after_flush(id);
        }
    }
}

fn status_of_error(error: &HttpError) -> HttpStatus {
    match error {
        HttpError::LimitExceeded("body", _) => HttpStatus::CONTENT_TOO_LARGE,
        HttpError::LimitExceeded(..) => HttpStatus::HEADER_FIELDS_TOO_LARGE,
        _ => HttpStatus::BAD_REQUEST,
    }
}
