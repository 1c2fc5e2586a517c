//! The real program with stand-ins around it: platform, clients, and endpoints that act at an exact step.
#![allow(dead_code)]

use cloverstile_fakes::platform::{check_invariants, read_line, Platform, PlatformEvent, PutCommand};
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_cloverstile");
pub const SOON: Duration = Duration::from_secs(20);

pub struct World {
    pub platform: Platform,
    pub folder: PathBuf,
    pub listen: SocketAddr,
    pub courier: Option<Child>,
}

impl Drop for World {
    fn drop(&mut self) {
        self.kill();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

pub fn signal(child: &Child, name: &str) {
    assert!(Command::new("kill").args([name, &child.id().to_string()]).status().unwrap().success());
}

impl World {
    pub fn new(name: &str, cells: &[u16]) -> World {
        let folder =
            std::env::temp_dir().join(format!("cloverstile-resp-gateway-{}-{name}", std::process::id()));
        fs::create_dir_all(folder.join("state")).unwrap();
        // The courier's address must outlast its processes. Guards against a port that was free a moment ago and is
        // another's when the courier starts again: this whole address is nobody else's.
        static WORLDS: AtomicU8 = AtomicU8::new(64);
        let process = std::process::id();
        let place = WORLDS.fetch_add(1, Ordering::Relaxed);
        let listen = SocketAddr::from(([127, place, (process >> 8) as u8, process as u8], 6379));
        let world = World { platform: Platform::start(cells).unwrap(), folder, listen, courier: None };
        world.configure(0);
        world
    }

    pub fn config(&self) -> PathBuf {
        self.folder.join("config.json")
    }

    pub fn configure(&self, discovery: usize) {
        let lane = |name: &str, effect: &str, in_order: bool| {
            serde_json::json!({"Name": name, "Effect": effect, "Group": "all", "Aim": 1_000_000_000u64, "Deadline": 12_000_000_000u64,
                "RepeatWindow": 8_000_000_000u64, "OneAtATime": in_order, "Worth": 1.0, "LateShare": 0.4})
        };
        let text = serde_json::json!({
            "name": "n0", "listen": self.listen.to_string(), "discovery": self.platform.discovery[discovery].to_string(),
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256, "disk_mb": 1},
            "known": self.platform.endpoint_list(),
            "settings": {"Balancers": 1, "ClientHabits": {"MarksRetry": false}, "Discovery": "push", "Locality": 0,
                "FamilyInfo": {"CallsOut": 16, "KindBatch": [1], "OwnLimits": [false], "Decay": "line"},
                "Lanes": [lane("notice", "idempotency_key", true), lane("payment", "non_idempotent", false)],
                "MachineTypes": ["any"], "Zones": ["here"], "Permissions": {"MostHeld": 400, "SendCap": 8, "Cancel": true, "RetryAfter": false,
                "ConnIdle": 5_000_000_000u64, "ConnectTimeout": 1_000_000_000u64}, "WeightSource": "nominal",
                "Rules": {"AnswerSlack": 20_000_000, "OrderSettle": 100_000_000, "Cold": 10_000_000_000u64, "ColdFrom": 0.2,
                "TipMultiple": 2.0, "Fall": 2_000_000_000u64}},
        });
        let fresh = self.folder.join("config.new");
        fs::write(&fresh, text.to_string()).unwrap();
        fs::rename(fresh, self.config()).unwrap();
    }

    pub fn command(&self) -> Command {
        let mut command = Command::new(PROGRAM);
        command
            .arg("node")
            .env("ROUTER_CONFIG", self.config())
            .env("ROUTER_STATE", self.folder.join("state"));
        command.stdout(Stdio::null()).stderr(Stdio::null());
        command
    }

    pub fn start(&mut self) {
        let mut command = self.command();
        self.start_as(&mut command);
    }

    pub fn start_as(&mut self, command: &mut Command) {
        self.courier = Some(command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().unwrap());
        let end = Instant::now() + SOON;
        loop {
            if let Ok(mut stream) = TcpStream::connect(self.listen) {
                stream.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
                let _ = stream.write_all(b"*1\r\n$4\r\nPING\r\n");
                if read_line(&mut stream).is_ok_and(|line| line == "+PONG") {
                    return;
                }
            }
            assert!(Instant::now() < end, "it never answered a PING");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut courier) = self.courier.take() {
            let _ = courier.kill();
            let _ = courier.wait();
        }
    }

    pub fn client(&self) -> TcpStream {
        let stream = TcpStream::connect(self.listen).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(8))).unwrap();
        stream
    }

    /// Waits until the judge finds every message over, and then what else it finds.
    pub fn broken_in_the_end(&self) -> Vec<String> {
        self.platform.wait_until(SOON, |seen| {
            !check_invariants(seen).iter().any(|broken| broken.ends_with("is lost"))
        });
        check_invariants(&self.platform.events())
    }

    pub fn calls(&self, id: &str) -> usize {
        let of = |seen: &PlatformEvent| matches!(seen, PlatformEvent::RequestReceived { id: other, .. } if other == id);
        self.platform.events().iter().filter(|(_, seen)| of(seen)).count()
    }
}

pub fn notice(id: String, key: u64) -> PutCommand {
    let body = [b"slip \r\n\x00\xff ".as_slice(), id.as_bytes()].concat();
    let idempotency = Some(format!("k-{id}"));
    PutCommand { id, key, class: "notice".into(), time_left_ms: 9000, destination: 3, idempotency, body }
}

pub fn payment(id: String) -> PutCommand {
    PutCommand { key: 0, class: "payment".into(), idempotency: None, ..notice(id, 0) }
}

impl World {
    /// Changes the configuration.
    pub fn edit(&self, change: impl FnOnce(&mut serde_json::Value)) {
        let mut config = serde_json::from_str(&fs::read_to_string(self.config()).unwrap()).unwrap();
        change(&mut config);
        fs::write(self.config(), config.to_string()).unwrap();
    }

    /// Tells the courier to stop.
    pub fn stop(&self) -> Instant {
        signal(self.courier.as_ref().unwrap(), "-TERM");
        Instant::now()
    }

    /// Waits until it has ended, at most until it would be killed.
    pub fn ended(&mut self, told: Instant) {
        let mut courier = self.courier.take().unwrap();
        while courier.try_wait().unwrap().is_none() {
            assert!(told.elapsed() < Duration::from_millis(3700), "it would have been killed");
            std::thread::sleep(Duration::from_millis(5));
        }
    }
}

/// An endpoint in the hands of the test: nothing is accepted, read or answered but when it says so.
pub struct Slow {
    socket: socket2::Socket,
    pub address: SocketAddr,
}

impl Slow {
    /// With room for one connection that nobody accepted. The next one comes up only when its side asks again, a second
    /// after it asked first (1 s, 3 s, 7 s: the system's way), and only if there is room by then.
    pub fn new() -> Slow {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).unwrap();
        socket.listen(0).unwrap();
        socket.set_read_timeout(Some(SOON)).unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        Slow { socket, address }
    }

    /// The next connection, at most `SOON` from now.
    pub fn accept(&self) -> TcpStream {
        let stream: TcpStream = self.socket.accept().expect("a connection").0.into();
        stream.set_read_timeout(Some(SOON)).unwrap();
        stream
    }

    /// Takes the room for connections until it is let go of by [`Slow::accept`].
    pub fn fill(&self) -> TcpStream {
        TcpStream::connect(self.address).unwrap()
    }
}

impl Slow {
    /// The first call breaks, and the next connection comes up when so much time has passed: what came on it within 0.3 s,
    /// and how long that is after the first call.
    pub fn late_repeat(&self, id: &str, passed: Duration) -> (String, Duration) {
        let mut first = self.accept();
        let began = Instant::now();
        assert!(read_call(&mut first).contains(id));
        let filler = self.fill();
        drop(first);
        std::thread::sleep(passed.saturating_sub(began.elapsed()));
        drop((self.accept(), filler));
        let mut second = self.accept();
        (read_until(&mut second, Instant::now() + Duration::from_millis(300)), began.elapsed())
    }

    /// From here on every call is answered at once, on whichever connection; what they were and when they had come.
    pub fn answer_all(self) -> Arc<Mutex<Vec<(Instant, String)>>> {
        let calls = Arc::new(Mutex::new(Vec::new()));
        let all = calls.clone();
        std::thread::spawn(move || {
            while let Ok((socket, _)) = self.socket.accept() {
                let (mut stream, all) = (TcpStream::from(socket), all.clone());
                std::thread::spawn(move || {
                    while let Some(text) = next_call(&mut stream) {
                        all.lock().unwrap().push((Instant::now(), text));
                        if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").is_err() {
                            return;
                        }
                    }
                });
            }
        });
        calls
    }
}

/// Reads a whole call of the stand-ins' messages: up to the end of its body.
pub fn read_call(stream: &mut TcpStream) -> String {
    next_call(stream).expect("a call in time")
}

/// The same, where there may be none any more.
fn next_call(stream: &mut TcpStream) -> Option<String> {
    let mut text = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
        text.extend_from_slice(&buffer[..count]);
        let Some(end) = text.windows(4).position(|four| four == b"\r\n\r\n") else { continue };
        let read = String::from_utf8_lossy(&text).into_owned();
        let length = read.lines().find_map(|line| line.strip_prefix("Content-Length: "));
        if text.len() - end - 4 >= length.map_or(0, |length| length.trim().parse().unwrap()) {
            return Some(read);
        }
    }
}

/// What has come ahead of a moment, which it waits for; it stays to be read. Guards against a read that returns late and
/// counts what came behind that moment.
pub fn ahead_of(stream: &TcpStream, end: Instant) -> String {
    let mut buffer = [0; 4096];
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return String::new();
        }
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).unwrap();
        match stream.peek(&mut buffer) {
            _ if Instant::now() >= end => {}
            Ok(0) => return "closed".into(),
            Ok(count) => return String::from_utf8_lossy(&buffer[..count]).into_owned(),
            Err(_) => {}
        }
    }
}

/// All that comes until a moment, or until the connection ends.
pub fn read_until(stream: &mut TcpStream, end: Instant) -> String {
    let mut text = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return String::from_utf8_lossy(&text).into_owned();
        }
        stream.set_read_timeout(Some(left.max(Duration::from_millis(1)))).unwrap();
        match stream.read(&mut buffer) {
            Ok(0) => return String::from_utf8_lossy(&text).into_owned(),
            Ok(count) => text.extend_from_slice(&buffer[..count]),
            Err(_) => {}
        }
    }
}
