//! Test doubles that work, for the systems around a gateway: partners with capacity, limits and faults, clients that
//! submit messages, and the users' platform. All record what passed on their sockets, and nothing else: invariants
//! are checked on these records, never on a gateway's own logs.
//!
//! [`model`] and [`limit`] hold how a partner behaves, free of I/O; [`partner`], [`client`] and [`platform`] put it on
//! sockets; [`record`] is the common record of partners and clients.
#![forbid(unsafe_code)]

pub mod client;
pub mod limit;
pub mod model;
pub mod partner;
pub mod platform;
pub mod record;
