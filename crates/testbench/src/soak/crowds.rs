//! Load from outside the measured clients: connection floods on a gateway, and threads that occupy CPU cores.

use super::config::{DESTINATIONS, KEYED_CLASS};
use super::faults::Crowd;
use super::gateways::Gateway;
use cloverstile_fakes::platform::PutCommand;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Interval at which clients submit a message and disconnect.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(30);
/// Limit on connecting to the gateway.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time until the deadline of a message whose client has disconnected, in milliseconds.
const TIME_LEFT_MS: u64 = 1000;

/// Keeps up a connection flood on a gateway for a time.
pub fn run_crowd(gateway: &Gateway, crowd: Crowd, lasts: Duration) {
    let end = Instant::now() + lasts;
    match crowd {
        Crowd::Idle(count) => {
            let connect = |_| TcpStream::connect_timeout(&gateway.address, CONNECT_TIMEOUT).ok();
            let connections: Vec<TcpStream> = (0..count).filter_map(connect).collect();
            std::thread::sleep(end.saturating_duration_since(Instant::now()));
            drop(connections);
        }
        Crowd::Leaving => {
            while Instant::now() < end {
                submit_and_disconnect(gateway);
                std::thread::sleep(RECONNECT_INTERVAL);
            }
        }
    }
}

/// Submits a message and disconnects at once. Nobody reads the reply, so the invariants don't cover the message.
fn submit_and_disconnect(gateway: &Gateway) {
    static LAST_NUMBER: AtomicU64 = AtomicU64::new(0);
    let Ok(mut stream) = TcpStream::connect_timeout(&gateway.address, CONNECT_TIMEOUT) else { return };
    let id = format!("left-{}", LAST_NUMBER.fetch_add(1, Ordering::Relaxed));
    let put = PutCommand {
        key: 0,
        class: KEYED_CLASS.to_owned(),
        time_left_ms: TIME_LEFT_MS,
        destination: DESTINATIONS[0],
        idempotency: Some(format!("k-{id}")),
        body: b"left".to_vec(),
        id,
    };
    // The write may fail if the gateway has closed the connection; nothing depends on the message.
    let _ = stream.write_all(&put.encode());
}

/// Occupies CPU cores with busy threads for a time.
pub fn occupy_cores(threads: usize, lasts: Duration) {
    let end = Instant::now() + lasts;
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while Instant::now() < end {
                    std::hint::spin_loop();
                }
            });
        }
    });
}
