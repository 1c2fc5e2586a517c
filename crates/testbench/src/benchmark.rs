//! What a gateway costs: the cryptographic path against its private-key operations alone, messages a second over
//! sockets, memory. All that is compared is measured in one run.

mod crypto_path;
mod memory;
mod sockets;
mod workload;

pub use crypto_path::{measure_crypto_path, CryptoPathCost};
pub use memory::{measure_memory, MemoryCost};
pub use sockets::{measure_sockets, SocketCost};
