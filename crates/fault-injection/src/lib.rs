//! Faults of the machine, for processes under test: failing, short, torn and slow system calls, and steps of the wall
//! clock.
//!
//! The library `preload` (an example of this package, built by `cargo test` and `cargo build --examples`) stands between
//! a process and the C library. A [`FaultControl`] is a file that both sides map: a test changes it while the process
//! runs. Nothing is changed in a process that is started without [`CONTROL_VARIABLE`].
//!
//! Calls that do not pass the C library are out of its reach, such as `epoll_wait` of the event loop; signals (SIGSTOP,
//! SIGCONT) interrupt those.
#![forbid(unsafe_code)]

mod control;
mod layout;
mod planted;
mod rule;

pub use control::{preload_library, FaultControl};
pub use layout::{rule_offset, CONTROL_BYTES, CONTROL_VARIABLE, MAX_RULES, RULE_WORDS, WALL_CLOCK_OFFSET};
pub use planted::{is_planted, PlantedDefect, DEFECT_VARIABLE};
pub use rule::{Call, Effect, Rule};
