//! A client's connection to a gateway, and how the client interprets a connection that ends without a reply.

use super::gateways::Gateway;
use cloverstile_fakes::platform::{read_line, Platform, PlatformEvent, PutCommand};
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// How long a client waits for a connection or a reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);
/// How long after the end of file a reset may follow: the gateway's kernel sends one if bytes of the client were unread.
const RESET_TIMEOUT: Duration = Duration::from_millis(1000);
/// Interval at which the socket is polled for a reset.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// What became of a command, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyResult {
    /// A reply line came: the message was accepted, refused, or got an error.
    Replied,
    /// The connection closed before the gateway read the command: it may be submitted again.
    Unread,
    /// No reply came in time, or the process was killed: it is unknown whether the message was accepted.
    Abandoned,
}

/// A valid reply to a `MSG.PUT`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reply {
    /// `+OK`.
    Accepted,
    /// `-BUSY`, optionally with a number of milliseconds.
    Refused,
    /// `-ERR` with a reason.
    Failed,
}

impl Reply {
    /// Parses a whole line; none if it is no valid reply to a submission.
    fn parse(line: &str) -> Option<Self> {
        let is_digits = |text: &str| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
        match line {
            "+OK" => Some(Reply::Accepted),
            "-BUSY" => Some(Reply::Refused),
            _ if line.strip_prefix("-BUSY ").is_some_and(is_digits) => Some(Reply::Refused),
            _ if line.strip_prefix("-ERR ").is_some_and(|reason| !reason.is_empty()) => Some(Reply::Failed),
            _ => None,
        }
    }
}

/// A client's connection to one gateway; it records each submission and reply for the invariant checks.
pub struct Client<'a> {
    platform: &'a Platform,
    gateway: &'a Gateway<'a>,
    gateway_number: usize,
    stream: TcpStream,
}

impl<'a> Client<'a> {
    /// Connects to a gateway; `number` stands for it in the recorded events.
    ///
    /// # Errors
    /// The gateway does not run, or the connection fails or times out.
    pub fn connect(platform: &'a Platform, gateway: &'a Gateway<'a>, number: usize) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&gateway.address, REPLY_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(REPLY_TIMEOUT))?;
        Ok(Client { platform, gateway, gateway_number: number, stream })
    }

    /// Records a submission; to be called before the last bytes of the command are written.
    pub fn record_submission(&self, put: &PutCommand) {
        self.platform.record(PlatformEvent::Submitted {
            id: put.id.clone(),
            gateway: self.gateway_number,
            time_left: Duration::from_millis(put.time_left_ms),
        });
    }

    /// Writes all bytes; false if the connection failed.
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Records a violation if bytes follow the reply to the last command.
    pub fn check_no_extra_bytes(&self, put: &PutCommand) {
        let mut extra = [0; 64];
        let is_blocking = self.stream.set_nonblocking(true).is_err();
        let peeked = self.stream.peek(&mut extra);
        let _ = self.stream.set_nonblocking(false);
        if let (false, Ok(count @ 1..)) = (is_blocking, peeked) {
            self.record_wrong_reply(put, &String::from_utf8_lossy(&extra[..count]));
        }
    }

    fn record_wrong_reply(&self, put: &PutCommand, line: &str) {
        let (id, line) = (put.id.clone(), line.to_owned());
        self.platform.record(PlatformEvent::WrongReply { id, line });
    }

    /// Waits for the gateway to close the connection, at most for `time`; returns whether it did.
    pub fn wait_for_close(&mut self, time: Duration) -> bool {
        let _ = self.stream.set_read_timeout(Some(time));
        let closed = !matches!(
            self.stream.read(&mut [0]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
        );
        let _ = self.stream.set_read_timeout(Some(REPLY_TIMEOUT));
        closed
    }

    /// Reads the reply to a `PING`; false if it is anything but `+PONG`.
    pub fn read_pong(&mut self) -> bool {
        read_line(&mut self.stream).is_ok_and(|line| line == "+PONG")
    }

    /// Reads the reply to a command that was written at `sent`, and records it.
    pub fn read_reply(&mut self, put: &PutCommand, sent: Instant) -> ReplyResult {
        match read_line(&mut self.stream) {
            Ok(line) => {
                self.record_reply(put, &line);
                ReplyResult::Replied
            }
            Err(error) if error.kind() == ErrorKind::UnexpectedEof => self.handle_eof(put, sent),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                ReplyResult::Abandoned
            }
            Err(_) => self.unread_unless_killed(sent),
        }
    }

    fn record_reply(&self, put: &PutCommand, line: &str) {
        let id = put.id.clone();
        match Reply::parse(line) {
            Some(Reply::Accepted) => {
                let unrepeatable = put.idempotency.is_none();
                self.platform.record(PlatformEvent::Accepted { id, key: put.key, unrepeatable });
            }
            Some(Reply::Refused) => self.platform.record(PlatformEvent::Refused { id }),
            Some(Reply::Failed) => {}
            None => self.record_wrong_reply(put, line),
        }
    }

    /// Handles an end of file without a reply. A reset that follows shows that the command was not read; without one, the
    /// command was read and not answered, which is a violation unless the gateway was killed.
    fn handle_eof(&mut self, put: &PutCommand, sent: Instant) -> ReplyResult {
        let end = Instant::now() + RESET_TIMEOUT;
        while Instant::now() < end {
            if matches!(self.stream.take_error(), Ok(Some(_)) | Err(_)) {
                return self.unread_unless_killed(sent);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        if self.gateway.was_killed_since(sent) {
            return ReplyResult::Abandoned;
        }
        self.platform.record(PlatformEvent::Unanswered { id: put.id.clone() });
        ReplyResult::Abandoned
    }

    /// The result for a command on a reset connection: unread, unless a kill of the gateway explains the reset.
    fn unread_unless_killed(&self, sent: Instant) -> ReplyResult {
        if self.gateway.was_killed_since(sent) {
            ReplyResult::Abandoned
        } else {
            ReplyResult::Unread
        }
    }
}
