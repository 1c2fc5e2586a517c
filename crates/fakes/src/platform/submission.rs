//! Client's side of a submission over RESP2: encodes the command and reads the reply line.

use std::io::{self, Read};
use std::net::TcpStream;

/// The arguments of one `MSG.PUT` command.
#[derive(Clone, Debug)]
pub struct PutCommand {
    /// Message id, chosen by the client.
    pub id: String,
    /// Order key, 0 for none.
    pub key: u64,
    /// Name of the class, as in the gateway's configuration.
    pub class: String,
    /// Time until the deadline, in milliseconds.
    pub time_left_ms: u64,
    /// Number of the destination (`dest`).
    pub destination: u16,
    /// Idempotency key; none if the message must not be sent again once it may have been processed.
    pub idempotency: Option<String>,
    /// Body that the gateway forwards to an endpoint.
    pub body: Vec<u8>,
}

impl PutCommand {
    /// The command as RESP2 bytes.
    pub fn encode(&self) -> Vec<u8> {
        let idempotency = self.idempotency.as_ref().map_or(String::new(), |key| format!(",k={key}"));
        let fields =
            format!("c={},d={}{idempotency},dest={}", self.class, self.time_left_ms, self.destination);
        let key = format!("{:016x}", self.key);
        let words: [&[u8]; 5] =
            [b"MSG.PUT", key.as_bytes(), self.id.as_bytes(), fields.as_bytes(), &self.body];
        cloverstile_resp::encode_command(&words)
    }
}

/// Reads one line of a reply; returns it without the line ending.
///
/// # Errors
///
/// If the connection fails or ends before the line does.
pub fn read_line(stream: &mut TcpStream) -> io::Result<String> {
    let mut line = Vec::new();
    let mut byte = [0];
    while !line.ends_with(b"\r\n") {
        if stream.read(&mut byte)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        line.push(byte[0]);
    }
    Ok(String::from_utf8_lossy(&line[..line.len() - 2]).into_owned())
}
