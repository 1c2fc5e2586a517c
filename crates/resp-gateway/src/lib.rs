//! The gateway with RESP2 clients on the users' platform: sockets, clock, files and signals, and the turn that ties
//! them together.
//!
//! One turn, one write: events are handled, the policy decides, the turn's records go to the log in one write, and
//! only then do bytes leave for clients and endpoints. So neither `+OK` nor a request is ever ahead of the log. What
//! any bytes mean is decided in `cloverstile-platform`; which message goes where and when, in the delivery policy.
#![forbid(unsafe_code)]

mod clock;
mod descriptor_limits;
mod gateway;
mod message_record;
mod name_table;
mod sockets;
mod startup;

pub use gateway::Gateway;
pub use startup::{run, Environment, GatewayError};
