//! HTTP server connections of the fake endpoints and of service discovery.

use cloverstile_fakes::limit::AdvertisedLimit;
use cloverstile_fakes::model::Reply;
use cloverstile_http::{DecodedItem, Decoder, Headers, Limits, Message};
use cloverstile_net::{ConnId, ListenerId};
use std::collections::HashMap;
use std::time::Duration;

/// The service behind a listener of the harness.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Service {
    /// Service discovery, which also receives reports of final outcomes.
    Discovery,
    /// The endpoint with this index in the partner model.
    Endpoint(usize),
}

struct HttpConnection {
    service: Service,
    decoder: Decoder,
    /// Index of the request on this connection that has no response yet.
    request: Option<usize>,
}

/// The result of decoding received bytes.
pub(super) struct DecodedBytes {
    /// The service that the connection belongs to.
    pub service: Service,
    /// Complete HTTP messages, in the order received.
    pub messages: Vec<Message>,
    /// Whether invalid HTTP follows these messages.
    pub malformed: bool,
}

/// Listeners of the fake services and their accepted HTTP connections.
#[derive(Default)]
pub(super) struct HttpServers {
    listeners: HashMap<ListenerId, Service>,
    connections: HashMap<ConnId, HttpConnection>,
}

impl HttpServers {
    /// Registers the service behind a listener.
    pub fn add_listener(&mut self, listener: ListenerId, service: Service) {
        self.listeners.insert(listener, service);
    }

    /// Registers an accepted connection and returns its service.
    pub fn on_accepted(&mut self, listener: ListenerId, connection: ConnId) -> Service {
        let service = self.listeners.get(&listener).copied().unwrap_or(Service::Discovery);
        let decoder = Decoder::server(Limits::default());
        self.connections.insert(connection, HttpConnection { service, decoder, request: None });
        service
    }

    /// Decodes received bytes; `None` if the connection is not an HTTP server connection.
    pub fn on_bytes(&mut self, now: Duration, connection: ConnId, bytes: &[u8]) -> Option<DecodedBytes> {
        let HttpConnection { service, decoder, .. } = self.connections.get_mut(&connection)?;
        decoder.feed(now, bytes);
        let mut messages = Vec::new();
        let malformed = loop {
            match decoder.next(now) {
                Ok(Some(DecodedItem::Message(message))) => messages.push(message),
                Ok(Some(_)) => {}
                Ok(None) => break false,
                Err(_) => break true,
            }
        };
        Some(DecodedBytes { service: *service, messages, malformed })
    }

    /// Sets or clears the request on a connection that has no response yet.
    pub fn set_request(&mut self, connection: ConnId, request: Option<usize>) {
        if let Some(http) = self.connections.get_mut(&connection) {
            http.request = request;
        }
    }

    /// Removes a closed connection and returns its unanswered request, if any.
    pub fn on_closed(&mut self, connection: ConnId) -> Option<usize> {
        self.connections.remove(&connection)?.request
    }
}

/// A request at an endpoint.
#[derive(Clone, Copy)]
pub(super) struct EndpointRequest {
    /// The connection to respond on.
    pub connection: ConnId,
    /// Index of the endpoint in the partner model.
    pub endpoint: usize,
    /// Index of the message in the invariant tracker.
    pub message: usize,
    /// Index of the call in the load record.
    pub record_index: usize,
    /// The reply that the endpoint model has chosen.
    pub reply: Reply,
    /// The rate limit that the response advertises, if any.
    pub advertised_limit: Option<AdvertisedLimit>,
    /// Whether the request occupies a server of the endpoint until its response.
    pub in_service: bool,
    /// Whether the response was sent or the connection has closed.
    pub completed: bool,
}

/// Encodes a reply as an HTTP response. The advertised limit goes into the `Srv-Load` header.
pub(super) fn encode_response(reply: Reply, advertised_limit: Option<AdvertisedLimit>) -> Vec<u8> {
    let mut headers = Headers::new();
    if let Some(limit) = advertised_limit {
        headers.add("Srv-Load", format!("x0={:.4},x1={:.3}", limit.remaining, limit.limit));
    }
    match reply {
        Reply::Processed => cloverstile_http::encode_response(200, "OK", &headers, b""),
        Reply::Rejected(Some(wait)) => {
            headers.add("Retry-After", format!("{:.4}", wait.as_secs_f64()));
            cloverstile_http::encode_response(429, "Too Many Requests", &headers, b"")
        }
        Reply::Rejected(None) => cloverstile_http::encode_response(503, "Service Unavailable", &headers, b""),
        Reply::Error | Reply::Truncated | Reply::Reset => {
            cloverstile_http::encode_response(500, "Internal Server Error", &headers, b"")
        }
    }
}
