//! Fault injection for processes under test: system calls that fail, transfer too few bytes or are slow, and steps of
//! the wall clock.
//!
//! The library `preload` is an example of this package, which `cargo test` and `cargo build --examples` build. Loaded
//! with `LD_PRELOAD`, it replaces functions of the C library in the process under test. A [`FaultControl`] writes the
//! control file that the library maps, so that a test can change the faults while the process runs. A process that is
//! started without [`CONTROL_VARIABLE`] behaves as if the library were not loaded.
//!
//! System calls that bypass the replaced functions can't be made to fail, such as the event loop's `epoll_wait`. Tests
//! interrupt those with signals (SIGSTOP, SIGCONT).
#![forbid(unsafe_code)]

mod control;
mod layout;
mod planted;
mod rule;

pub use control::{preload_library, FaultControl};
pub use layout::{rule_offset, CONTROL_BYTES, CONTROL_VARIABLE, MAX_RULES, RULE_WORDS, WALL_CLOCK_OFFSET};
pub use planted::{is_planted, PlantedDefect, DEFECT_VARIABLE};
pub use rule::{Call, Effect, Rule};
