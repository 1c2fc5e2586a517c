//! Connections of a client: outgoing ones for submissions, and incoming ones for deferred receipts.

use super::messages::MessageIndex;
use cloverstile_http::{encode_response, DecodedItem, Decoder, Headers, Limits, Message};
use cloverstile_net::{ConnId, Net, NetEvent};
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

/// An event on a connection that the client has to handle.
pub(super) enum ConnectionEvent {
    /// All bytes of a submission were written to the socket.
    Flushed { connection: ConnId, message: MessageIndex },
    /// A connection ended before its response.
    Lost {
        gateway: usize,
        message: MessageIndex,
        /// Whether the gateway may have received the message.
        sent: bool,
    },
    /// A gateway responded.
    Response {
        gateway: usize,
        /// The message that was waiting for the response, if any.
        message: Option<MessageIndex>,
        response: Message,
    },
    /// A deferred receipt arrived on an incoming connection.
    Receipt(Message),
}

/// An outgoing connection to a gateway.
struct GatewayConnection {
    gateway: usize,
    decoder: Decoder,
    /// The message that waits for a response on this connection.
    message: Option<MessageIndex>,
    /// Bytes to send once the connection is established; `None` from then on.
    unsent: Option<Vec<u8>>,
}

/// All connections of a client.
pub(super) struct Connections {
    net: Net,
    /// Connections to gateways, including idle ones.
    outgoing: HashMap<ConnId, GatewayConnection>,
    /// Idle keep-alive connections, by gateway. May include closed ones, which are skipped on reuse.
    idle: HashMap<usize, Vec<ConnId>>,
    /// Connections on which deferred receipts arrive.
    incoming: HashMap<ConnId, Decoder>,
}

impl Connections {
    pub(super) fn new() -> io::Result<Self> {
        let (outgoing, idle, incoming) = (HashMap::new(), HashMap::new(), HashMap::new());
        Ok(Connections { net: Net::new()?, outgoing, idle, incoming })
    }

    /// Listens for deferred receipts on a free port of the loopback address.
    pub(super) fn listen(&mut self) -> io::Result<SocketAddr> {
        let (_, address) = self.net.listen(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        Ok(address)
    }

    pub(super) fn poll(&mut self, timeout: Duration) -> io::Result<Vec<NetEvent>> {
        self.net.poll(Some(timeout))
    }

    /// Messages that wait for a response on an open connection.
    pub(super) fn awaited_messages(&self) -> HashSet<MessageIndex> {
        self.outgoing.values().filter_map(|connection| connection.message).collect()
    }

    /// Sends the request `bytes` to a gateway on an idle connection or a new one.
    pub(super) fn submit(
        &mut self,
        gateway: usize,
        address: SocketAddr,
        message: MessageIndex,
        bytes: Vec<u8>,
    ) {
        let id = self.idle_or_new_connection(gateway, address);
        let Some(connection) = self.outgoing.get_mut(&id) else { return };
        connection.message = Some(message);
        match connection.unsent {
            Some(_) => connection.unsent = Some(bytes),
            None => self.net.send(id, &bytes),
        }
    }

    fn idle_or_new_connection(&mut self, gateway: usize, address: SocketAddr) -> ConnId {
        while let Some(id) = self.idle.get_mut(&gateway).and_then(Vec::pop) {
            if self.outgoing.contains_key(&id) {
                return id;
            }
        }
        let id = self.net.connect(address);
        let decoder = Decoder::client(Limits::default());
        let connection = GatewayConnection { gateway, decoder, message: None, unsent: Some(Vec::new()) };
        self.outgoing.insert(id, connection);
        id
    }

    /// Closes a connection to a gateway without waiting for the response.
    pub(super) fn close(&mut self, id: ConnId) {
        self.net.close(id);
        self.outgoing.remove(&id);
    }

    /// Handles a socket event; returns what the client has to handle in turn.
    pub(super) fn on_event(&mut self, event: NetEvent, now: Duration) -> Vec<ConnectionEvent> {
        match event {
            NetEvent::Accepted { conn, .. } => {
                self.incoming.insert(conn, Decoder::server(Limits::default()));
                Vec::new()
            }
            NetEvent::Connected(id) => {
                if let Some(bytes) =
                    self.outgoing.get_mut(&id).and_then(|connection| connection.unsent.take())
                {
                    self.net.send(id, &bytes);
                }
                Vec::new()
            }
            NetEvent::Flushed(connection) => {
                let message = self.outgoing.get(&connection).and_then(|outgoing| outgoing.message);
                let flushed = message.map(|message| ConnectionEvent::Flushed { connection, message });
                flushed.into_iter().collect()
            }
            NetEvent::ConnectFailed(id, _) => self.on_lost(id, false).into_iter().collect(),
            NetEvent::Closed { conn, .. } => {
                self.incoming.remove(&conn);
                self.on_lost(conn, true).into_iter().collect()
            }
            NetEvent::Bytes(id, bytes) if self.incoming.contains_key(&id) => {
                self.on_incoming_bytes(id, &bytes, now)
            }
            NetEvent::Bytes(id, bytes) => self.on_response_bytes(id, &bytes, now).into_iter().collect(),
            NetEvent::PeerHalfClosed(_) | NetEvent::Signal(_) | NetEvent::Woken => Vec::new(),
        }
    }

    fn on_lost(&mut self, id: ConnId, established: bool) -> Option<ConnectionEvent> {
        let connection = self.outgoing.remove(&id)?;
        let sent = established && connection.unsent.is_none();
        Some(ConnectionEvent::Lost { gateway: connection.gateway, message: connection.message?, sent })
    }

    fn on_response_bytes(&mut self, id: ConnId, bytes: &[u8], now: Duration) -> Option<ConnectionEvent> {
        let connection = self.outgoing.get_mut(&id)?;
        connection.decoder.feed(now, bytes);
        match connection.decoder.next(now) {
            Ok(Some(DecodedItem::Message(response))) => {
                let (gateway, message) = (connection.gateway, connection.message.take());
                if response.keep_alive {
                    self.idle.entry(gateway).or_default().push(id);
                } else {
                    self.close(id);
                }
                Some(ConnectionEvent::Response { gateway, message, response })
            }
            Ok(_) => None,
            Err(_) => {
                self.net.close(id);
                self.on_lost(id, true)
            }
        }
    }

    /// Acknowledges the received receipts with status 200 and returns them.
    fn on_incoming_bytes(&mut self, id: ConnId, bytes: &[u8], now: Duration) -> Vec<ConnectionEvent> {
        let mut receipts = Vec::new();
        let Some(decoder) = self.incoming.get_mut(&id) else { return receipts };
        decoder.feed(now, bytes);
        loop {
            match decoder.next(now) {
                Ok(Some(DecodedItem::Message(message))) => {
                    self.net.send(id, &encode_response(200, "OK", &Headers::new(), b""));
                    receipts.push(ConnectionEvent::Receipt(message));
                }
                Ok(Some(DecodedItem::ExpectsContinue)) => self.net.send(id, cloverstile_http::CONTINUE),
                Ok(None) => return receipts,
                Err(_) => {
                    self.incoming.remove(&id);
                    self.net.close(id);
                    return receipts;
                }
            }
        }
    }
}
