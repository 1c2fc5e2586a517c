//! A client of couriers: hands in one message on a connection of its own and waits 400 ms for the answer.

use crate::record::Record;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long a client waits for the answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// A message as a client hands it in.
pub struct Message {
    pub id: String,
    pub key: u64,
    pub class: &'static str,
    pub time_left: Duration,
    pub destination: u16,
    pub idempotency_key: Option<String>,
}

impl Message {
    fn encode(&self) -> Vec<u8> {
        let key = format!("{:016x}", self.key);
        let mut fields = format!("c={},d={}", self.class, self.time_left.as_millis());
        if let Some(key) = &self.idempotency_key {
            fields += &format!(",k={key}");
        }
        fields += &format!(",dest={}", self.destination);
        let body = format!("body of {}", self.id);
        let mut bytes = b"*5\r\n".to_vec();
        for word in ["MSG.PUT", &key, &self.id, &fields, &body] {
            bytes.extend_from_slice(format!("${}\r\n{word}\r\n", word.len()).as_bytes());
        }
        bytes
    }

    /// Hands the message in; returns the reply line, or `None` if there was none in time.
    pub fn hand_in(&self, courier: SocketAddr, record: &Record) -> Option<String> {
        let reply = self.exchange(courier, record).ok();
        let text = reply.as_deref().unwrap_or("no answer");
        record.line(&format!("client: {} for {} answered {text}", self.id, self.destination));
        reply
    }

    fn exchange(&self, courier: SocketAddr, record: &Record) -> io::Result<String> {
        let mut stream = TcpStream::connect(courier)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        record.line(&format!("client: {} class {} for {} sent", self.id, self.class, self.destination));
        stream.write_all(&self.encode())?;
        let mut line = Vec::new();
        let mut byte = [0];
        while !line.ends_with(b"\r\n") {
            stream.read_exact(&mut byte)?;
            line.push(byte[0]);
        }
        Ok(String::from_utf8_lossy(&line[..line.len() - 2]).into_owned())
    }
}
