//! Division of a process's memory limit among its uses, and accounts of the bytes that each use holds.
//!
//! An account is charged with the capacity of buffers, not with the bytes in them: an allocation counts in full. It counts
//! and compares; what happens when it is over its limit is up to its owner. The crate does no I/O.
#![forbid(unsafe_code)]

mod account;
mod budget;

pub use account::Account;
pub use budget::{InsufficientMemory, MemoryBudget};
