//! The gateway with RESP2 clients on the users' platform: sockets, clock, files and signals, and the turn that ties
//! them together.
//!
//! One turn, one write: events are handled, the policy decides, the turn's records go to the log in one write, and
//! only then do bytes leave for clients and endpoints. So neither `+OK` nor a request is ever ahead of the log. What
//! any bytes mean is decided in `cloverstile-platform`; which message goes where and when, in the delivery policy.
//!
//! | module | holds |
//! | --- | --- |
//! | `environment`, `configuration` | the environment variables, the configuration file and its reload |
//! | `startup`, `recovery` | the start, and the messages that an earlier process held |
//! | `gateway` | the event loop, and which part an event is for |
//! | `message_pipeline` | the turn: decisions, one write of the log, then bytes |
//! | `client_commands`, `client_replies` | clients, their commands, and the replies of a turn |
//! | `outgoing_requests` | requests to endpoints, from the decision to the last byte |
//! | `delivery` | what both share: engine, log, endpoint list, notifications |
//! | `endpoint_discovery` | updates of the endpoint list |
//! | `shutdown` | the way from a shutdown signal to the end |
//! | `message_log`, `message_record`, `name_table` | the log, its records of messages, names of classes and zones in it |
//! | `clock`, `descriptor_limits`, `sockets` | time, division of file descriptors, connections |
#![forbid(unsafe_code)]

mod client_commands;
mod client_replies;
mod clock;
mod configuration;
mod delivery;
mod descriptor_limits;
mod endpoint_discovery;
mod environment;
mod error;
mod gateway;
mod message_log;
mod message_pipeline;
mod message_record;
mod name_table;
mod outgoing_requests;
mod recovery;
mod shutdown;
mod sockets;
mod startup;

pub use environment::Environment;
pub use error::GatewayError;
pub use gateway::Gateway;
pub use startup::run;
