//! The gateway that serves RESP2 clients: sockets, clock, files and signals, and the event loop that drives them.
//!
//! A turn is one iteration of the event loop: it handles the events of a poll, lets the delivery policy decide, writes
//! the resulting records to the write-ahead log in a single write, and only then sends bytes to clients and endpoints.
//! Neither a `+OK` reply nor a request is therefore ever sent before its record is in the log. `cloverstile-platform`
//! parses and encodes the bytes; the delivery policy decides which message goes where and when.
//!
//! | module | contents |
//! | --- | --- |
//! | `environment`, `configuration` | the environment variables, reading and reloading the configuration file |
//! | `startup`, `recovery` | startup, and recovery of the messages that an earlier process held |
//! | `gateway` | the event loop and the dispatch of its events |
//! | `message_pipeline` | one turn: decisions, a single log write, then output |
//! | `client_commands`, `client_replies` | clients, their commands, and the replies of one turn |
//! | `outgoing_requests` | requests to endpoints, from the engine's decision to the last byte |
//! | `attempt_log`, `log_limit` | why messages are sent again, responses in doubt; limits on log lines |
//! | `health_log` | outages of destinations and how they ended |
//! | `delivery` | state shared by commands and requests: engine, log, endpoint list, notifications |
//! | `endpoint_discovery` | updates to the endpoint list |
//! | `shutdown` | the phases from a shutdown signal to the end of the process |
//! | `message_log`, `message_record`, `name_table` | the log, its message records, and the class and zone names stored in it |
//! | `clock`, `descriptor_limits`, `sockets` | time, allocation of file descriptors, connections |
#![forbid(unsafe_code)]

mod attempt_log;
mod client_commands;
mod client_log;
mod client_replies;
mod clock;
mod configuration;
mod delivery;
mod descriptor_limits;
mod endpoint_discovery;
mod environment;
mod error;
mod gateway;
mod health_log;
mod log_limit;
mod message_log;
mod message_pipeline;
mod message_record;
mod name_table;
mod outgoing_requests;
mod recovery;
mod shutdown;
mod sockets;
mod startup;
mod unsolicited_bytes;

pub use environment::Environment;
pub use error::GatewayError;
pub use gateway::Gateway;
pub use startup::run;
