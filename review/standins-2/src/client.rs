//! Clients: each request on a kept connection; 400 ms for the answer.

use crate::record::Record;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub struct Put<'a> {
    pub id: &'a str,
    pub key: u64,
    pub fields: String,
    pub body: &'a [u8],
}

impl Put<'_> {
    pub fn encode(&self) -> Vec<u8> {
        let key = format!("{:016x}", self.key);
        let words: [&[u8]; 5] =
            [b"MSG.PUT", key.as_bytes(), self.id.as_bytes(), self.fields.as_bytes(), self.body];
        let mut bytes = b"*5\r\n".to_vec();
        for word in words {
            bytes.extend(format!("${}\r\n", word.len()).into_bytes());
            bytes.extend_from_slice(word);
            bytes.extend_from_slice(b"\r\n");
        }
        bytes
    }
}

pub struct Client {
    stream: TcpStream,
}

impl Client {
    pub fn connect(address: SocketAddr) -> std::io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(400)))?;
        Ok(Client { stream })
    }

    /// One line of answer; an error if there is none in time.
    pub fn read_line(&mut self) -> std::io::Result<String> {
        let mut line = Vec::new();
        let mut byte = [0];
        while !line.ends_with(b"\r\n") {
            if self.stream.read(&mut byte)? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            line.push(byte[0]);
        }
        Ok(String::from_utf8_lossy(&line).trim().to_owned())
    }

    pub fn ping(&mut self) -> std::io::Result<String> {
        self.stream.write_all(b"*1\r\n$4\r\nPING\r\n")?;
        self.read_line()
    }

    pub fn put(&mut self, put: &Put<'_>) -> std::io::Result<String> {
        self.stream.write_all(&put.encode())?;
        self.read_line()
    }
}

/// Hands in one message on a connection of its own, as clients may at any time, and records the answer.
pub fn put_once(record: &Record, address: SocketAddr, put: &Put<'_>) -> Option<String> {
    record.line(format!("client: MSG.PUT {:016x} {} {}", put.key, put.id, put.fields));
    let answer = Client::connect(address).and_then(|mut client| client.put(put));
    match answer {
        Ok(answer) => {
            record.line(format!("client: {} answered {answer}", put.id));
            Some(answer)
        }
        Err(error) => {
            record.line(format!("client: {} had no answer: {error}", put.id));
            None
        }
    }
}
