//! HTTP connections of gateways to the fake endpoints and to discovery, and the requests at endpoints.

use cloverstile_fakes::limit::AdvertisedLimit;
use cloverstile_fakes::model::Reply;
use cloverstile_http::{DecodedItem, Decoder, Headers, Limits, Message};
use cloverstile_net::{ConnId, ListenerId};
use std::collections::HashMap;
use std::time::Duration;

/// What listens on a socket of the harness.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Service {
    /// Service discovery.
    Discovery,
    /// The endpoint at a position of the scenario's endpoints.
    Endpoint(usize),
}

struct HttpConnection {
    service: Service,
    decoder: Decoder,
    /// Number of the request that awaits its response here.
    request: Option<usize>,
}

/// What a connection's bytes held.
pub(super) struct Received {
    /// Whom they are for.
    pub service: Service,
    /// Whole HTTP messages.
    pub messages: Vec<Message>,
    /// Something that is not HTTP followed.
    pub malformed: bool,
}

/// Listeners and accepted HTTP connections.
#[derive(Default)]
pub(super) struct HttpServers {
    listeners: HashMap<ListenerId, Service>,
    connections: HashMap<ConnId, HttpConnection>,
}

impl HttpServers {
    /// Notes what a listener serves.
    pub fn add_listener(&mut self, listener: ListenerId, service: Service) {
        self.listeners.insert(listener, service);
    }

    /// Notes an accepted connection and returns whom it is for.
    pub fn on_accepted(&mut self, listener: ListenerId, connection: ConnId) -> Service {
        let service = self.listeners.get(&listener).copied().unwrap_or(Service::Discovery);
        let decoder = Decoder::server(Limits::default());
        self.connections.insert(connection, HttpConnection { service, decoder, request: None });
        service
    }

    /// Decodes received bytes; none if the connection is not one of these.
    pub fn on_bytes(&mut self, now: Duration, connection: ConnId, bytes: &[u8]) -> Option<Received> {
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
        Some(Received { service: *service, messages, malformed })
    }

    /// Notes which request awaits its response on a connection, if any.
    pub fn set_request(&mut self, connection: ConnId, request: Option<usize>) {
        if let Some(http) = self.connections.get_mut(&connection) {
            http.request = request;
        }
    }

    /// Removes a closed connection; returns the request that got no response on it.
    pub fn on_closed(&mut self, connection: ConnId) -> Option<usize> {
        self.connections.remove(&connection)?.request
    }
}

/// A request at an endpoint.
#[derive(Clone, Copy)]
pub(super) struct EndpointRequest {
    /// Its connection.
    pub connection: ConnId,
    /// Position of the endpoint.
    pub endpoint: usize,
    /// Number of the message.
    pub message: usize,
    /// Position in the record of calls.
    pub recorded: usize,
    /// What will be replied.
    pub reply: Reply,
    /// The shared limit that the response advertises.
    pub advertised_limit: Option<AdvertisedLimit>,
    /// It occupies a server of the endpoint until its response.
    pub in_service: bool,
    /// It was answered, or its connection closed.
    pub completed: bool,
}

/// The HTTP response to a request.
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
