//! Fakes (working test doubles) of the systems around a gateway: partners with limited capacity, rate limits and
//! faults, clients that submit messages, and the users' platform. Each records only what passed on its own sockets, so
//! that invariants are checked on these records and never on a gateway's own logs.
//!
//! [`model`] and [`limit`] describe the behaviour of a partner without I/O. [`partner`], [`client`] and [`platform`]
//! serve and send requests over sockets. [`record`] is the common record of partners and clients.
#![forbid(unsafe_code)]

pub mod client;
pub mod limit;
pub mod model;
pub mod partner;
pub mod platform;
pub mod record;
