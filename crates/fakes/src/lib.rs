//! Stand-ins for the systems around a courier: partners with capacity, limits and faults, and clients that hand
//! messages in. Both write down what passed on their sockets, and nothing else: the rules are judged from these
//! records, never from a courier's own logs.
//!
//! [`model`] holds how a partner behaves, free of I/O; [`partner`] and [`client`] put it on sockets.
#![forbid(unsafe_code)]

pub mod client;
pub mod limit;
pub mod model;
pub mod partner;
pub mod platform;
pub mod record;
