//! An endpoint that the test controls step by step.

use super::streams::{next_request, read_request, read_until};
use super::EVENT_TIMEOUT;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// An endpoint that accepts, reads and responds only where the test does.
pub struct ManualEndpoint {
    socket: socket2::Socket,
    pub address: SocketAddr,
}

impl ManualEndpoint {
    /// With a backlog of one connection. The next one is established only when its side retries, a second after its first
    /// try (1 s, 3 s, 7 s: the system's way), and only if there is room by then.
    pub fn new() -> ManualEndpoint {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        socket.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        ManualEndpoint { socket, address }
    }

    /// The next connection, at most [`EVENT_TIMEOUT`] from now.
    pub fn accept(&self) -> TcpStream {
        let stream: TcpStream = self.socket.accept().expect("a connection").0.into();
        stream.set_read_timeout(Some(EVENT_TIMEOUT)).unwrap();
        stream
    }

    /// Fills the backlog until the next [`ManualEndpoint::accept`].
    pub fn fill_backlog(&self) -> TcpStream {
        TcpStream::connect(self.address).unwrap()
    }

    /// Breaks the first request, and lets the next connection be established once `delay` has passed since: what arrives
    /// on it within 0.3 s, and how long that is after the first request.
    pub fn late_retry(&self, id: &str, delay: Duration) -> (String, Duration) {
        let mut first = self.accept();
        let began = Instant::now();
        assert!(read_request(&mut first).contains(id));
        let filler = self.fill_backlog();
        drop(first);
        std::thread::sleep(delay.saturating_sub(began.elapsed()));
        drop((self.accept(), filler));
        let mut second = self.accept();
        (read_until(&mut second, Instant::now() + Duration::from_millis(300)), began.elapsed())
    }

    /// From here on every request gets a response at once, on every connection; the requests with their times.
    pub fn respond_to_all(self) -> Arc<Mutex<Vec<(Instant, String)>>> {
        let requests = Arc::new(Mutex::new(Vec::new()));
        let received = requests.clone();
        std::thread::spawn(move || {
            while let Ok((socket, _)) = self.socket.accept() {
                let (stream, received) = (TcpStream::from(socket), received.clone());
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
