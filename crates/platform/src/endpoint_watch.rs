//! The watch of the list: one question after another on one connection, and when discovery counts as silent.

use crate::discovery_connection::{DiscoveryConnection, Doing, RETRY};
use crate::endpoint_list_response::EndpointListResponse;
use crate::{ConnectionId, Transport};
use cloverstile::Time;
use cloverstile_http::{Headers, Start};
use std::net::SocketAddr;
use std::time::Duration;

/// How long a question may wait for news. What discovery has to tell counts as told two seconds after it.
const WAIT: Duration = Duration::from_secs(4);
/// How long after that an answer may take before the connection counts as dead.
const GRACE: Duration = Duration::from_millis(500);
/// An answer without news that comes sooner than this was no wait: the next question rests for [`RETRY`], well inside the
/// 200 ms that keep a watch. Guards against an agent that is asked as quickly as it answers.
const SOON: Duration = Duration::from_secs(2);
/// Largest list that is read.
const LARGEST: usize = 2 << 20;

/// The watch. It asks again in the turn of each answer, so that no change falls between two questions.
pub struct EndpointWatch {
    agent: DiscoveryConnection,
    after: u64,
    /// When it asked last.
    asked: Time,
}

impl EndpointWatch {
    /// A watch of what is newer than a version.
    pub fn new(to: SocketAddr, after: u64) -> Self {
        EndpointWatch { agent: DiscoveryConnection::new(to, LARGEST), after, asked: Time::ZERO }
    }

    /// When [`EndpointWatch::on_tick`] must be called at the latest.
    pub fn next_timeout(&self) -> Time {
        self.agent.until()
    }

    /// Connects where it is time. Guards against an agent that went silent: a question that it never answers must not
    /// blind us.
    pub fn on_tick(&mut self, now: Time, wires: &mut impl Transport) {
        if self.next_timeout() > now {
            return;
        }
        match self.agent.doing() {
            Doing::Idle => self.ask(now, wires),
            _ => self.agent.connect(now + GRACE, wires),
        }
    }

    /// Discovery is at another address: it is asked there at once.
    pub fn set_address(&mut self, now: Time, to: SocketAddr, wires: &mut impl Transport) {
        if self.agent.moved(now, to, wires) {
            self.on_tick(now, wires);
        }
    }

    /// Whether a connection is this watch's.
    pub fn owns(&self, wire: ConnectionId) -> bool {
        self.agent.owns(wire)
    }

    /// Its connection is there.
    pub fn on_connected(&mut self, now: Time, wire: ConnectionId, wires: &mut impl Transport) {
        if self.agent.connected(wire, now) {
            self.ask(now, wires);
        }
    }

    fn ask(&mut self, now: Time, wires: &mut impl Transport) {
        self.asked = now;
        let target = format!("/registry/instances?after={}&wait_ms={}", self.after, WAIT.as_millis());
        let headers = Headers::new().with("Host", self.agent.address().to_string());
        let request = cloverstile_http::request("GET", &target, &headers, b"");
        self.agent.ask(&request, now + WAIT + GRACE, wires);
    }

    /// Its connection failed or ended.
    pub fn on_closed(&mut self, now: Time, wire: ConnectionId) {
        if self.owns(wire) {
            self.agent.lost(now + RETRY);
        }
    }

    /// Bytes came; the answer, once it is whole. What can't be read ends the connection, and is told.
    pub fn on_bytes(
        &mut self,
        now: Time,
        wire: ConnectionId,
        bytes: &[u8],
        wires: &mut impl Transport,
    ) -> Result<Option<EndpointListResponse>, String> {
        if !self.owns(wire) {
            return Ok(None);
        }
        let Some(answer) = self.agent.bytes(now, bytes, now + RETRY, wires) else { return Ok(None) };
        let read = answer.map_err(|error| error.to_string()).and_then(|message| match message.start {
            Start::Response { status: 200 } => serde_json::from_slice::<EndpointListResponse>(&message.body)
                .map_err(|error| error.to_string()),
            other => Err(format!("answered {other:?}")),
        });
        match read {
            Ok(answer) => {
                let empty = answer.version == self.after && now < self.asked + SOON;
                self.after = answer.version;
                match self.agent.doing() {
                    // Asked again when its rest is over.
                    Doing::Idle | Doing::Closed if empty => {}
                    Doing::Idle => self.ask(now, wires),
                    _ => self.agent.connect(now + GRACE, wires),
                }
                Ok(Some(answer))
            }
            Err(error) => {
                self.agent.close(now + RETRY, wires);
                Err(error)
            }
        }
    }
}
