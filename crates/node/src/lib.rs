//! The courier on the users' platform: sockets, clock, files and signals, and the turn that ties them together.
//!
//! One turn, one write: events are handled, the module decides, the turn's records go to the log in one write, and
//! only then do bytes leave for clients and endpoints. So `+OK` is never ahead of the log, nor is a call. What
//! anything means is decided in `cloverstile-platform`; which message goes where and when, in the module.
#![forbid(unsafe_code)]

mod kept;
mod node;
mod start;

pub use node::Node;
pub use start::{run, NodeError, Variables};

use cloverstile::Time;
use cloverstile_net::{ConnId, Net};
use cloverstile_platform::{Wire, Wires};
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time that never goes backwards: the system's clock is read once.
struct Clock {
    started: Instant,
    unix: Duration,
}

impl Clock {
    fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix }
    }

    fn now(&self) -> Time {
        Time::ZERO + (self.unix + self.started.elapsed())
    }
}

/// Connections of the state machines, on sockets.
struct Sockets<'a>(&'a mut Net);

impl Wires for Sockets<'_> {
    fn connect(&mut self, to: SocketAddr) -> Wire {
        Wire(self.0.connect(to).0)
    }
    fn write(&mut self, wire: Wire, bytes: &[u8]) {
        self.0.send(ConnId(wire.0), bytes);
    }
    fn close(&mut self, wire: Wire) {
        self.0.close(ConnId(wire.0));
    }
}
