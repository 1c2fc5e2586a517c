//! Benchmarks of one gateway: CPU time of the cryptographic path relative to its private-key operations alone,
//! throughput over sockets, and memory. Compared values are measured in the same run, so that both see the same machine
//! load.

mod crypto_path;
mod memory;
mod sockets;
mod workload;

pub use crypto_path::{measure_crypto_path, CryptoPathCost};
pub use memory::{measure_memory, MemoryCost};
pub use sockets::{measure_sockets, SocketCost};
