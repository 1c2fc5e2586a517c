//! The platform's agent: the list of endpoints, and notices.

use crate::http::{response, Reader, Request};
use crate::record::Record;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub cell: u16,
    /// Calls a second that the destination takes from all couriers together.
    pub weight: f64,
    pub lifecycle: &'static str,
}

#[derive(Clone, Debug, Default)]
pub struct List {
    pub generation: u64,
    pub entries: Vec<Entry>,
}

impl List {
    /// The whole list, in discovery's form.
    pub fn json(&self) -> String {
        let entries: Vec<String> = self
            .entries
            .iter()
            .map(|entry| {
                let Entry { id, address, cell, weight, lifecycle } = entry;
                format!(
                    "{{\"instanceId\":\"{id}\",\"hostPort\":\"{address}\",\"zone\":\"kingston-dc\",\
                     \"machineType\":\"banks\",\"cell\":{cell},\"lifecycle\":\"{lifecycle}\",\"weight\":{weight:.1},\
                     \"startedAtMs\":0}}"
                )
            })
            .collect();
        format!("{{\"generation\":{},\"reset\":true,\"instances\":[{}]}}", self.generation, entries.join(","))
    }
}

#[derive(Clone, Debug)]
pub struct Notice {
    pub at: Duration,
    pub id: String,
}

#[derive(Default)]
struct Shared {
    list: List,
    notices: Vec<Notice>,
    /// Versions of the lists that were written, and when.
    told: Vec<(u64, Duration)>,
}

#[derive(Clone)]
pub struct Agent {
    pub name: String,
    pub address: SocketAddr,
    shared: Arc<Mutex<Shared>>,
    record: Record,
    /// While set, requests with notices wait unread; when it is cleared, those that wait are closed.
    pub crowded: Arc<AtomicBool>,
    /// While set, discovery is down: calls for lists get no answer until it is back.
    pub down: Arc<AtomicBool>,
}

impl Agent {
    pub fn start(name: &str, record: &Record, list: List) -> std::io::Result<Agent> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let agent = Agent {
            name: name.to_owned(),
            address: listener.local_addr()?,
            shared: Arc::new(Mutex::new(Shared { list, ..Shared::default() })),
            record: record.clone(),
            crowded: Arc::default(),
            down: Arc::default(),
        };
        let served = agent.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let agent = served.clone();
                std::thread::spawn(move || agent.serve(stream));
            }
        });
        Ok(agent)
    }

    pub fn set_list(&self, list: List) {
        let ids: Vec<String> =
            list.entries.iter().take(8).map(|entry| format!("{} {}", entry.id, entry.lifecycle)).collect();
        self.record.line(format!(
            "agent {}: has version {} with {} entries, first {}",
            self.name,
            list.generation,
            list.entries.len(),
            ids.join(", ")
        ));
        self.shared.lock().unwrap().list = list;
    }

    pub fn notices(&self) -> Vec<Notice> {
        self.shared.lock().unwrap().notices.clone()
    }

    /// When this version of the list was first written to the gateway.
    pub fn told(&self, generation: u64) -> Option<Duration> {
        let shared = self.shared.lock().unwrap();
        shared.told.iter().find(|(version, _)| *version == generation).map(|(_, at)| *at)
    }

    fn serve(&self, stream: TcpStream) {
        let mut reader = Reader::new(stream);
        while let Ok(Some(request)) = reader.next() {
            let is_continued = if request.start_line.starts_with("POST /v1/notices") {
                self.answer_notices(&request, &mut reader.stream)
            } else {
                self.answer_list(&request, &mut reader.stream)
            };
            if !is_continued {
                return;
            }
        }
    }

    fn answer_notices(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        if self.crowded.load(Ordering::SeqCst) {
            self.record.line(format!("agent {}: crowded, notices wait: {}", self.name, body.trim()));
            while self.crowded.load(Ordering::SeqCst) {
                std::thread::sleep(Duration::from_millis(5));
            }
            self.record.line(format!("agent {}: connection closed with no answer", self.name));
            return false;
        }
        let mut shared = self.shared.lock().unwrap();
        for line in body.lines() {
            let at = self.record.at(format!("agent {}: notice {line}", self.name));
            let field = |name: &str| {
                let rest = line.split_once(&format!("\"{name}\":\"")).map_or("", |(_, rest)| rest);
                rest.split('"').next().unwrap_or("").to_owned()
            };
            shared.notices.push(Notice { at, id: field("id") });
        }
        stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").is_ok()
    }

    fn answer_list(&self, request: &Request, stream: &mut TcpStream) -> bool {
        let parameter = |name: &str| {
            let query = request.start_line.split(' ').nth(1)?.split_once('?')?.1;
            query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
        };
        self.record.line(format!("agent {}: {}", self.name, request.start_line));
        let after = parameter("after");
        let until = Instant::now() + Duration::from_millis(parameter("wait_ms").unwrap_or(0).min(60_000));
        let list = loop {
            let list = self.shared.lock().unwrap().list.clone();
            let is_due = after.is_none_or(|after| list.generation > after) || Instant::now() >= until;
            if is_due && !self.down.load(Ordering::SeqCst) {
                break list;
            }
            std::thread::sleep(Duration::from_millis(2));
        };
        let body = if after.is_some_and(|after| list.generation <= after) {
            format!("{{\"generation\":{},\"reset\":false,\"instances\":[]}}", list.generation)
        } else {
            list.json()
        };
        if stream.write_all(&response("200 OK", "Content-Type: application/json\r\n", &body)).is_err() {
            return false;
        }
        let shown: String = body.chars().take(900).collect();
        let at = self.record.at(format!("agent {}: {} bytes: {shown}", self.name, body.len()));
        self.shared.lock().unwrap().told.push((list.generation, at));
        true
    }
}
