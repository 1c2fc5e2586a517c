//! The users' platform as the node sees it: what its messages mean, and what must be decided around the module.
//!
//! Nothing here opens a socket, reads a clock or draws chance. State machines take bytes and the time and act on
//! [`Wires`], which the shell puts on sockets and tests on a list.
//!
//! | module | holds |
//! | --- | --- |
//! | [`config`] | the JSON configuration, its settings for the module's one parser |
//! | [`needed`] | what the settings must tell |
//! | [`handin`] | what a client's command asks for, and what is wrong with it |
//! | [`list`] | the list of endpoints: whole lists, changes, ids for the module |
//! | `agent` | the connection to the agent on this machine, which [`watch`] and [`notices`] ask on |
//! | [`watch`] | the watch of that list: when to ask, when discovery counts as silent |
//! | [`notices`] | what the platform must be told, until it has answered |
//! | [`answer`] | an endpoint's answer: outcome, whether it may have run, whether its connection is of use |
//! | [`calls`] | calls out and their connections |
//! | [`guests`] | clients' connections: who is closed, and when |
//! | [`leaving`] | what a courier that was told to stop still does |
#![forbid(unsafe_code)]

mod agent;
pub mod answer;
pub mod calls;
pub mod config;
pub mod guests;
pub mod handin;
pub mod leaving;
pub mod list;
pub mod needed;
pub mod notices;
pub mod watch;

use std::net::SocketAddr;

/// Bytes of the longest body that the platform carries.
pub const LONGEST_BODY: usize = 64 << 10;

/// A connection, as the shell numbers them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Wire(pub u64);

/// What a state machine does to connections. Nothing comes back at once: events follow later.
pub trait Wires {
    /// Begins a connection.
    fn connect(&mut self, to: SocketAddr) -> Wire;
    /// Queues bytes.
    fn write(&mut self, wire: Wire, bytes: &[u8]);
    /// Ends what we send; what comes is still told, and so is the end.
    fn end_sending(&mut self, wire: Wire);
    /// Closes at once; no event follows.
    fn close(&mut self, wire: Wire);
}
