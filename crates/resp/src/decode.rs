//! Decoding of commands: arrays of bulk strings.

use thiserror::Error;

/// Limits on what one peer may send.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Words in a command.
    pub max_elements: usize,
    /// Bytes in a word.
    pub max_bulk_string_bytes: usize,
    /// Bytes in all words of a command together.
    pub max_command_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { max_elements: 16, max_bulk_string_bytes: 64 << 10, max_command_bytes: 72 << 10 }
    }
}

/// An error in a peer's bytes. The end of the command is unknown then, so the connection has to be closed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum RespError {
    /// Something other than the start of an array.
    #[error("expected '*' and a count, got byte {0:#04x}")]
    ExpectedArray(u8),
    /// Something other than the start of a bulk string.
    #[error("expected '$' and a length, got byte {0:#04x}")]
    ExpectedBulkString(u8),
    /// A count or length that is not a plain decimal number; holds the greatest allowed.
    #[error("a count or length that is no number from 0 to {0}")]
    InvalidNumber(usize),
    /// A declared count or length over its limit.
    #[error("{what} of {found} is over the limit of {most}")]
    LimitExceeded {
        /// What is limited.
        what: &'static str,
        /// The declared value.
        found: usize,
        /// The greatest allowed value.
        most: usize,
    },
    /// A line or a bulk string that does not end in CR LF.
    #[error("a line or a word that does not end in CR LF")]
    MissingLineEnd,
    /// A command without words.
    #[error("a command of no words")]
    EmptyCommand,
}

/// A command: its words, the name first.
pub type Command = Vec<Vec<u8>>;

/// Most digits of a count or a length, no fewer than any `usize` has.
const MAX_DIGITS: usize = 20;

/// An incremental decoder of one peer's commands. Buffers at most one unfinished command beside what came in one feed.
pub struct Decoder {
    limits: Limits,
    buffer: Vec<u8>,
    /// Start of the bytes that are not decoded yet.
    position: usize,
}

impl Decoder {
    /// A decoder with an empty buffer.
    pub fn new(limits: Limits) -> Self {
        Decoder { limits, buffer: Vec::new(), position: 0 }
    }

    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Received bytes that have not been returned in a command.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len() - self.position
    }

    /// Removes and returns the next whole command, if there is one.
    ///
    /// # Errors
    ///
    /// If the bytes are not a command or go over a limit; each later call fails too.
    pub fn next_command(&mut self) -> Result<Option<Command>, RespError> {
        let mut reader = Reader { bytes: &self.buffer[self.position..], position: 0 };
        let decoded = reader.command(&self.limits)?;
        let used = reader.position;
        let Some(command) = decoded else {
            self.buffer.drain(..self.position);
            self.position = 0;
            return Ok(None);
        };
        self.position += used;
        if self.position == self.buffer.len() {
            // A large body must not stay allocated for as long as the peer stays connected.
            self.buffer = Vec::new();
            self.position = 0;
        }
        Ok(Some(command))
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl<'a> Reader<'a> {
    fn command(&mut self, limits: &Limits) -> Result<Option<Command>, RespError> {
        let Some(count) = self.number(b'*', RespError::ExpectedArray, limits.max_elements)? else {
            return Ok(None);
        };
        match count {
            0 => return Err(RespError::EmptyCommand),
            found if found > limits.max_elements => {
                return Err(RespError::LimitExceeded {
                    what: "a command's words",
                    found,
                    most: limits.max_elements,
                })
            }
            _ => {}
        }
        let mut words = Vec::with_capacity(count);
        let mut total = 0usize;
        for _ in 0..count {
            let Some(length) =
                self.number(b'$', RespError::ExpectedBulkString, limits.max_bulk_string_bytes)?
            else {
                return Ok(None);
            };
            if length > limits.max_bulk_string_bytes {
                return Err(RespError::LimitExceeded {
                    what: "a word",
                    found: length,
                    most: limits.max_bulk_string_bytes,
                });
            }
            total += length;
            if total > limits.max_command_bytes {
                return Err(RespError::LimitExceeded {
                    what: "a command",
                    found: total,
                    most: limits.max_command_bytes,
                });
            }
            let rest = &self.bytes[self.position..];
            // Wrong bytes in place of CR LF are rejected as soon as they are there.
            if rest.get(length).is_some_and(|b| *b != b'\r')
                || rest.get(length + 1).is_some_and(|b| *b != b'\n')
            {
                return Err(RespError::MissingLineEnd);
            }
            if rest.len() < length + 2 {
                return Ok(None);
            }
            words.push(&rest[..length]);
            self.position += length + 2;
        }
        Ok(Some(words.into_iter().map(<[u8]>::to_vec).collect()))
    }

    /// Reads a line of a type mark and a number; none if it is not whole yet.
    fn number(
        &mut self,
        mark: u8,
        wrong_mark: fn(u8) -> RespError,
        most: usize,
    ) -> Result<Option<usize>, RespError> {
        let rest: &'a [u8] = &self.bytes[self.position..];
        match rest.first() {
            None => return Ok(None),
            Some(first) if *first != mark => return Err(wrong_mark(*first)),
            Some(_) => {}
        }
        let line = &rest[1..rest.len().min(MAX_DIGITS + 3)];
        let digits = line.iter().take_while(|b| b.is_ascii_digit()).count();
        match line.get(digits) {
            // Guards against lines without end: more digits than any number has are enough to reject.
            None if digits > MAX_DIGITS => return Err(RespError::InvalidNumber(most)),
            None => return Ok(None),
            Some(b'\r') if digits > 0 => {}
            Some(_) => return Err(RespError::InvalidNumber(most)),
        }
        match line.get(digits + 1) {
            None => return Ok(None),
            Some(b'\n') => {}
            Some(_) => return Err(RespError::MissingLineEnd),
        }
        self.position += 1 + digits + 2;
        let text = std::str::from_utf8(&line[..digits]).unwrap_or_default();
        text.parse().map(Some).map_err(|_| RespError::InvalidNumber(most))
    }
}
