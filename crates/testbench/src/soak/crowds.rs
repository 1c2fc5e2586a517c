//! Other clients that crowd a gateway, and threads that take the machine's cores.

use super::config::{DESTINATIONS, KEYED_CLASS};
use super::faults::Crowd;
use super::gateways::Gateway;
use cloverstile_fakes::platform::PutCommand;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Clients that leave begin so far apart.
const LEAVING_GAP: Duration = Duration::from_millis(30);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time of a message whose client has left, in milliseconds.
const LEFT_TIME_MS: u64 = 1000;

/// Crowds a gateway for a time.
pub fn crowd(gateway: &Gateway, crowd: Crowd, lasts: Duration) {
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
                submit_and_leave(gateway);
                std::thread::sleep(LEAVING_GAP);
            }
        }
    }
}

/// Submits a message and closes at once: nobody reads its reply, so that it counts for nothing.
fn submit_and_leave(gateway: &Gateway) {
    static LAST_NUMBER: AtomicU64 = AtomicU64::new(0);
    let Ok(mut stream) = TcpStream::connect_timeout(&gateway.address, CONNECT_TIMEOUT) else { return };
    let id = format!("left-{}", LAST_NUMBER.fetch_add(1, Ordering::Relaxed));
    let put = PutCommand {
        key: 0,
        class: KEYED_CLASS.to_owned(),
        time_left_ms: LEFT_TIME_MS,
        destination: DESTINATIONS[0],
        idempotency: Some(format!("k-{id}")),
        body: b"left".to_vec(),
        id,
    };
    // Where the gateway has closed there is nothing to leave.
    let _ = stream.write_all(&put.encode());
}

/// Takes cores of the machine for a time.
pub fn take_cores(threads: usize, lasts: Duration) {
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
