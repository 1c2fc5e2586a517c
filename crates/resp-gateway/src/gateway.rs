//! The running gateway: its event loop and the dispatch of events to its parts.

use crate::clock::Clock;
use crate::configuration::ConfigurationFile;
use crate::endpoint_discovery::EndpointDiscovery;
use crate::error::GatewayError;
use crate::message_pipeline::MessagePipeline;
use crate::shutdown::RunState;
use crate::sockets::{connection_id, Sockets};
use crate::unsolicited_bytes::UnsolicitedCounter;
use cloverstile::Time;
use cloverstile_net::{Net, NetEvent, SignalKind};
use cloverstile_platform::ConnectionId;
use tracing::info;

/// A gateway that has recovered its messages and listens for clients.
pub struct Gateway {
    pub(crate) clock: Clock,
    pub(crate) net: Net,
    pub(crate) configuration: ConfigurationFile,
    pub(crate) discovery: EndpointDiscovery,
    pub(crate) pipeline: MessagePipeline,
    pub(crate) run_state: RunState,
    pub(crate) unsolicited: UnsolicitedCounter,
}

impl Gateway {
    /// Runs until a shutdown signal arrives and the shutdown is complete. Messages without a final outcome stay in the
    /// log.
    ///
    /// # Errors
    /// Polling the event loop failed.
    pub fn run(mut self) -> Result<(), GatewayError> {
        loop {
            let now = self.clock.now();
            if self.run_state.advance(now, &mut self.pipeline, &mut self.net).is_break() {
                self.pipeline.clients.log(now, true, &mut self.net);
                let pending_messages = self.pipeline.delivery.engine.pending_messages();
                let unsolicited = self.unsolicited.total();
                let attempt_log = &self.pipeline.outgoing.attempt_log;
                let (resent, doubted) = (attempt_log.resent(), attempt_log.doubted());
                info!(
                    pending_messages,
                    unsolicited, resent, doubted, "stopped, pending messages stay in the log"
                );
                return Ok(());
            }
            let timeout = self.next_timeout(now).map(|at| at - now);
            let events = self.net.poll(timeout).map_err(GatewayError::io_error("event loop"))?;
            let now = self.clock.now();
            self.on_events(now, events);
            self.on_tick(now);
            // Ahead of the turn, in which the messages concerned may end.
            self.unsolicited.log_new(&mut self.pipeline, &mut self.discovery);
            self.pipeline.run_turn(now, &self.clock, &mut self.net);
            self.pipeline.clients.log(now, false, &mut self.net);
        }
    }

    /// The time at which the next turn is due if no event arrives earlier.
    fn next_timeout(&self, now: Time) -> Option<Time> {
        if self.pipeline.has_pending_events() {
            return Some(now);
        }
        let MessagePipeline { clients, delivery, outgoing, .. } = &self.pipeline;
        let timeouts = [
            delivery.engine.next_timeout(),
            outgoing.requests.next_timeout(),
            clients.next_timeout(),
            Some(self.discovery.watch.next_timeout()),
            delivery.notifications.next_timeout(),
            delivery.log.next_timeout(),
            self.run_state.next_timeout(now),
        ];
        timeouts.into_iter().flatten().min()
    }

    fn on_tick(&mut self, now: Time) {
        self.discovery.watch.on_tick(now, &mut Sockets(&mut self.net));
        self.pipeline.outgoing.requests.on_tick(now, &mut Sockets(&mut self.net));
        self.pipeline.execute_commands(now);
        self.pipeline.clients.on_tick(now);
    }

    /// Handles the events of a poll. Flush events come first: whether a request has left decides how its attempt is
    /// abandoned if it has timed out. Received bytes are handled after the timeouts, so that a response read too late does
    /// not count.
    fn on_events(&mut self, now: Time, events: Vec<NetEvent>) {
        let (flushed, others): (Vec<_>, Vec<_>) =
            events.into_iter().partition(|event| matches!(event, NetEvent::Flushed(_)));
        for event in flushed {
            self.on_event(now, event);
        }
        self.pipeline.time_out_attempts(now, &mut self.net);
        for event in others {
            self.on_event(now, event);
        }
    }

    fn on_event(&mut self, now: Time, event: NetEvent) {
        match event {
            NetEvent::Accepted { conn, .. } => {
                self.pipeline.clients.on_accepted(now, connection_id(conn));
            }
            NetEvent::Connected(conn) => self.on_connected(now, connection_id(conn)),
            NetEvent::ConnectFailed(conn, _) => self.on_closed(now, connection_id(conn), false),
            NetEvent::PeerHalfClosed(conn) => self.pipeline.clients.on_peer_finished(connection_id(conn)),
            NetEvent::Closed { conn, clean } => self.on_closed(now, connection_id(conn), clean),
            NetEvent::Flushed(conn) => self.pipeline.outgoing.requests.on_flushed(connection_id(conn)),
            NetEvent::Bytes(conn, bytes) => self.on_bytes(now, connection_id(conn), &bytes),
            NetEvent::Signal(SignalKind::SIGHUP) => self.reload(now),
            NetEvent::Signal(signal) => self.on_shutdown_signal(now, signal),
            NetEvent::Woken => {}
        }
    }

    fn on_connected(&mut self, now: Time, connection: ConnectionId) {
        self.pipeline.outgoing.requests.on_connected(connection);
        self.pipeline.delivery.notifications.on_connected(now, connection);
        self.discovery.watch.on_connected(now, connection, &mut Sockets(&mut self.net));
    }

    fn on_closed(&mut self, now: Time, connection: ConnectionId, clean: bool) {
        let MessagePipeline { clients, delivery, outgoing, .. } = &mut self.pipeline;
        clients.on_closed(connection);
        outgoing.requests.on_closed(now, connection, clean, &mut Sockets(&mut self.net));
        self.discovery.watch.on_closed(now, connection);
        delivery.notifications.on_closed(now, connection);
    }

    fn on_bytes(&mut self, now: Time, connection: ConnectionId, bytes: &[u8]) {
        let Gateway { net, pipeline, discovery, .. } = self;
        if pipeline.clients.owns(connection) {
            pipeline.clients.on_bytes(now, connection, bytes, net);
        } else if pipeline.outgoing.requests.owns(connection) {
            pipeline.outgoing.requests.on_bytes(now, connection, bytes, &mut Sockets(net));
        } else if discovery.watch.owns(connection) {
            discovery.on_bytes(now, connection, bytes, pipeline, net);
        } else if pipeline.delivery.notifications.owns(connection) {
            pipeline.on_notification_bytes(now, connection, bytes, net);
        }
    }

    fn reload(&mut self, now: Time) {
        let Gateway { net, pipeline, discovery, configuration, .. } = self;
        let notifications = &mut pipeline.delivery.notifications;
        configuration.reload(now, &mut discovery.watch, notifications, &mut Sockets(net));
        #[cfg(feature = "planted-defects")]
        self.run_state.listen_again(&mut self.net, &self.configuration);
    }

    fn on_shutdown_signal(&mut self, now: Time, signal: SignalKind) {
        let pending_messages = self.pipeline.delivery.engine.pending_messages();
        if self.run_state.request_shutdown(now) {
            info!(?signal, pending_messages, "graceful shutdown started");
        } else {
            info!(?signal, pending_messages, "graceful shutdown already started");
        }
    }
}
