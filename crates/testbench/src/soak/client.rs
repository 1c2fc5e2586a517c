//! A client's connection to a gateway, and what an end without a reply means.

use super::gateways::Gateway;
use cloverstile_fakes::platform::{read_line, Platform, PlatformEvent, PutCommand};
use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A client waits for a reply no longer.
const REPLY_TIMEOUT: Duration = Duration::from_millis(400);
/// How long after an end the system of the gateway may take to reset the connection, where bytes of ours are unread.
const RESET_TIMEOUT: Duration = Duration::from_millis(1000);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// What a client got for a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyResult {
    /// The message is accepted, refused, or has another reply.
    Replied,
    /// The connection ended, and the command was not read: it may be submitted again.
    Unread,
    /// No reply came in time, or the process died: the message counts for nothing.
    Abandoned,
}

/// A reply to a `MSG.PUT`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reply {
    /// `+OK`.
    Accepted,
    /// `-BUSY`, perhaps with a number of milliseconds.
    Refused,
    /// `-ERR` with a reason.
    Failed,
}

impl Reply {
    /// The reply in a whole line; none where it is not one of a submission.
    fn parse(line: &str) -> Option<Self> {
        let is_number = |text: &str| !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
        match line {
            "+OK" => Some(Reply::Accepted),
            "-BUSY" => Some(Reply::Refused),
            _ if line.strip_prefix("-BUSY ").is_some_and(is_number) => Some(Reply::Refused),
            _ if line.strip_prefix("-ERR ").is_some_and(|reason| !reason.is_empty()) => Some(Reply::Failed),
            _ => None,
        }
    }
}

/// A connection with its gateway.
pub struct Client<'a> {
    platform: &'a Platform,
    gateway: &'a Gateway<'a>,
    gateway_number: usize,
    stream: TcpStream,
}

impl<'a> Client<'a> {
    /// Connects.
    ///
    /// # Errors
    /// The gateway does not run, or the system refuses.
    pub fn connect(platform: &'a Platform, gateway: &'a Gateway<'a>, number: usize) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&gateway.address, REPLY_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(REPLY_TIMEOUT))?;
        Ok(Client { platform, gateway, gateway_number: number, stream })
    }

    /// Records that a command is written from now on.
    pub fn record_submission(&self, put: &PutCommand) {
        self.platform.record(PlatformEvent::Submitted {
            id: put.id.clone(),
            gateway: self.gateway_number,
            time_left: Duration::from_millis(put.time_left_ms),
        });
    }

    /// Writes bytes; false where the connection is broken.
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Checks that nothing has come behind the reply to a command that is the last one so far.
    pub fn check_nothing_follows(&self, put: &PutCommand) {
        let mut surplus = [0; 64];
        let is_quiet = self.stream.set_nonblocking(true).is_err();
        let peeked = self.stream.peek(&mut surplus);
        let _ = self.stream.set_nonblocking(false);
        if let (false, Ok(count @ 1..)) = (is_quiet, peeked) {
            self.record_wrong_reply(put, &String::from_utf8_lossy(&surplus[..count]));
        }
    }

    fn record_wrong_reply(&self, put: &PutCommand, line: &str) {
        let (id, line) = (put.id.clone(), line.to_owned());
        self.platform.record(PlatformEvent::WrongReply { id, line });
    }

    /// Waits until the gateway ends the connection, at most for a time; whether it did.
    pub fn rest(&mut self, time: Duration) -> bool {
        let _ = self.stream.set_read_timeout(Some(time));
        let ended = !matches!(
            self.stream.read(&mut [0]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
        );
        let _ = self.stream.set_read_timeout(Some(REPLY_TIMEOUT));
        ended
    }

    /// Reads the reply to a `PING`; whether it came.
    pub fn read_pong(&mut self) -> bool {
        read_line(&mut self.stream).is_ok_and(|line| line == "+PONG")
    }

    /// Reads the reply to a command that was written at `sent`, and records what it says.
    pub fn read_reply(&mut self, put: &PutCommand, sent: Instant) -> ReplyResult {
        match read_line(&mut self.stream) {
            Ok(line) => {
                self.record_reply(put, &line);
                ReplyResult::Replied
            }
            Err(error) if error.kind() == ErrorKind::UnexpectedEof => self.judge_end(put, sent),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                ReplyResult::Abandoned
            }
            Err(_) => self.unless_killed(sent),
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

    /// The connection ended in order without a reply. A reset that follows tells that the command was not read.
    fn judge_end(&mut self, put: &PutCommand, sent: Instant) -> ReplyResult {
        let end = Instant::now() + RESET_TIMEOUT;
        while Instant::now() < end {
            if matches!(self.stream.take_error(), Ok(Some(_)) | Err(_)) {
                return self.unless_killed(sent);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
        if self.gateway.was_killed_since(sent) {
            return ReplyResult::Abandoned;
        }
        self.platform.record(PlatformEvent::Unanswered { id: put.id.clone() });
        ReplyResult::Abandoned
    }

    fn unless_killed(&self, sent: Instant) -> ReplyResult {
        if self.gateway.was_killed_since(sent) {
            ReplyResult::Abandoned
        } else {
            ReplyResult::Unread
        }
    }
}
