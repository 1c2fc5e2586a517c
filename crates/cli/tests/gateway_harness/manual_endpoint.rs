//! An endpoint that a test controls step by step, to force a certain order of events.

use super::streams::{next_request, read_request, read_until};
use super::EVENT_TIMEOUT;
use std::io::{Error, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// An endpoint that accepts, reads and responds only where the test does.
pub struct ManualEndpoint {
    socket: socket2::Socket,
    pub address: SocketAddr,
}

impl ManualEndpoint {
    /// Listens with a backlog of one connection. A further connection is established only when the kernel of its client
    /// retries, 1 s, 3 s or 7 s after the first try, and only if the backlog has room by then.
    pub fn new() -> ManualEndpoint {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        ManualEndpoint { socket, address }
    }

    /// Accepts the next connection, which must arrive within [`EVENT_TIMEOUT`].
    pub fn accept(&self) -> TcpStream {
        let stream = self.next_connection().expect("no connection arrived in time");
        stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
        stream
    }

    /// Waits at most [`EVENT_TIMEOUT`] for the next connection. On Linux, an accept with a timeout fails with `Interrupted`
    /// after the process was stopped and continued, even without a signal handler; it is tried again in the time that remains.
    fn next_connection(&self) -> Result<TcpStream, Error> {
        let end = Instant::now() + EVENT_TIMEOUT;
        loop {
            let remaining = end.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Err(ErrorKind::TimedOut.into());
            }
            self.socket.set_read_timeout(Some(remaining.max(Duration::from_millis(1))))?;
            match self.socket.accept() {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                result => return result.map(|(socket, _)| socket.into()),
            }
        }
    }

    /// Fills the backlog, so that no connection is established until the next [`ManualEndpoint::accept`].
    pub fn fill_backlog(&self) -> TcpStream {
        TcpStream::connect(self.address).unwrap()
    }

    /// Accepts the first connection, drops it after its request, and lets the next one be established only once `delay` has
    /// passed since it was accepted. Returns what arrives on the second one within 0.3 s and the total time since the first.
    pub fn delay_retry_connection(&self, id: &str, delay: Duration) -> (String, Duration) {
        let mut first = self.accept();
        let started = Instant::now();
        assert!(read_request(&mut first).contains(id));
        let filler = self.fill_backlog();
        drop(first);
        std::thread::sleep(delay.saturating_sub(started.elapsed()));
        drop((self.accept(), filler));
        let mut second = self.accept();
        (read_until(&mut second, Instant::now() + Duration::from_millis(300)), started.elapsed())
    }

    /// Responds with 200 to every further request on every connection, in threads of its own. Returns the growing list of
    /// requests with the time of their arrival.
    pub fn respond_to_all(self) -> Arc<Mutex<Vec<(Instant, String)>>> {
        let requests = Arc::new(Mutex::new(Vec::new()));
        let received = requests.clone();
        std::thread::spawn(move || {
            while let Ok(stream) = self.next_connection() {
                let received = received.clone();
                std::thread::spawn(move || respond_on(stream, &received));
            }
        });
        requests
    }
}

fn respond_on(mut stream: TcpStream, received: &Mutex<Vec<(Instant, String)>>) {
    while let Some(text) = next_request(&mut stream) {
        received.lock().unwrap().push((Instant::now(), text));
        if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").is_err() {
            return;
        }
    }
}
