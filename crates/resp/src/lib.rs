//! RESP2 as a server needs it: commands (arrays of bulk strings) in, simple replies out.
//!
//! The decoder judges what a peer declares before it keeps a byte of what was declared: a value of 60 MB is an
//! error when its length has been read. It never opens a socket, reads a clock or knows a command's meaning.
#![forbid(unsafe_code)]

use thiserror::Error;

/// What one peer may make us hold.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Words of a command.
    pub max_words: usize,
    /// Bytes of a word.
    pub max_word_bytes: usize,
    /// Bytes of all words of a command.
    pub max_command_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { max_words: 16, max_word_bytes: 64 << 10, max_command_bytes: 72 << 10 }
    }
}

/// Why a peer's bytes can't be read. Where a command ends is unknown then: close the connection.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum RespError {
    /// Not the start of a command.
    #[error("expected '*' and a count, got byte {0:#04x}")]
    ExpectedArray(u8),
    /// Not the start of a word.
    #[error("expected '$' and a length, got byte {0:#04x}")]
    ExpectedBulkString(u8),
    /// A count or length that is no plain number.
    #[error("a count or length that is no number from 0 to {0}")]
    InvalidNumber(usize),
    /// Over a limit.
    #[error("{what} of {found} is over the limit of {most}")]
    LimitExceeded {
        /// What is limited.
        what: &'static str,
        /// What was declared.
        found: usize,
        /// What is allowed.
        most: usize,
    },
    /// A line or a word that does not end in CR LF.
    #[error("a line or a word that does not end in CR LF")]
    MissingLineEnd,
    /// A command of no words.
    #[error("a command of no words")]
    EmptyCommand,
}

/// A command: its words, the name first.
pub type Command = Vec<Vec<u8>>;

/// Longest line with a count or a length, without its end: a sign and as many digits as a number can have.
const LINE: usize = 20;

/// Reads one peer's commands. Holds one unfinished command at most, beside what came in one feed.
pub struct Decoder {
    limits: Limits,
    buffer: Vec<u8>,
    at: usize,
}

impl Decoder {
    /// A decoder that has read nothing.
    pub fn new(limits: Limits) -> Self {
        Decoder { limits, buffer: Vec::new(), at: 0 }
    }

    /// Takes bytes as they came.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Bytes held that are no whole command yet, or were not asked for.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len() - self.at
    }

    /// The next whole command, if it is there.
    pub fn next_command(&mut self) -> Result<Option<Command>, RespError> {
        let mut reader = Reader { bytes: &self.buffer[self.at..], at: 0 };
        let found = reader.command(&self.limits)?;
        let used = reader.at;
        match found {
            Some(command) => {
                self.at += used;
                if self.at == self.buffer.len() {
                    // A large body must not stay allocated for as long as the peer stays connected.
                    self.buffer = Vec::new();
                    self.at = 0;
                }
                Ok(Some(command))
            }
            None => {
                self.buffer.drain(..self.at);
                self.at = 0;
                Ok(None)
            }
        }
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Reader<'a> {
    fn command(&mut self, limits: &Limits) -> Result<Option<Command>, RespError> {
        let Some(count) = self.number(b'*', RespError::ExpectedArray, limits.max_words)? else {
            return Ok(None);
        };
        match count {
            0 => return Err(RespError::EmptyCommand),
            found if found > limits.max_words => {
                return Err(RespError::LimitExceeded {
                    what: "a command's words",
                    found,
                    most: limits.max_words,
                })
            }
            _ => {}
        }
        let mut words = Vec::with_capacity(count);
        let mut total = 0usize;
        for _ in 0..count {
            let Some(length) = self.number(b'$', RespError::ExpectedBulkString, limits.max_word_bytes)?
            else {
                return Ok(None);
            };
            if length > limits.max_word_bytes {
                return Err(RespError::LimitExceeded {
                    what: "a word",
                    found: length,
                    most: limits.max_word_bytes,
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
            let rest = &self.bytes[self.at..];
            // What stands where the end belongs is judged as soon as it is there.
            if rest.get(length).is_some_and(|b| *b != b'\r')
                || rest.get(length + 1).is_some_and(|b| *b != b'\n')
            {
                return Err(RespError::MissingLineEnd);
            }
            if rest.len() < length + 2 {
                return Ok(None);
            }
            words.push(&rest[..length]);
            self.at += length + 2;
        }
        Ok(Some(words.into_iter().map(<[u8]>::to_vec).collect()))
    }

    /// A line of a mark and a number; none if it is not whole yet.
    fn number(
        &mut self,
        mark: u8,
        other: fn(u8) -> RespError,
        most: usize,
    ) -> Result<Option<usize>, RespError> {
        let rest: &'a [u8] = &self.bytes[self.at..];
        match rest.first() {
            None => return Ok(None),
            Some(first) if *first != mark => return Err(other(*first)),
            Some(_) => {}
        }
        let line = &rest[1..rest.len().min(LINE + 3)];
        let digits = line.iter().take_while(|b| b.is_ascii_digit()).count();
        match line.get(digits) {
            // Guards against lines with no end: as many digits as no number can have are enough to know.
            None if digits > LINE => return Err(RespError::InvalidNumber(most)),
            None => return Ok(None),
            Some(b'\r') if digits > 0 => {}
            Some(_) => return Err(RespError::InvalidNumber(most)),
        }
        match line.get(digits + 1) {
            None => return Ok(None),
            Some(b'\n') => {}
            Some(_) => return Err(RespError::MissingLineEnd),
        }
        self.at += 1 + digits + 2;
        let text = std::str::from_utf8(&line[..digits]).unwrap_or_default();
        text.parse().map(Some).map_err(|_| RespError::InvalidNumber(most))
    }
}

/// `+TEXT`: a simple string.
pub fn simple(text: &str) -> Vec<u8> {
    line(b'+', text)
}

/// `-TEXT`: an error; its first word is its kind.
pub fn error(text: &str) -> Vec<u8> {
    line(b'-', text)
}

/// One line, whatever the text holds: what would end it early becomes a space.
fn line(mark: u8, text: &str) -> Vec<u8> {
    let mut out = vec![mark];
    out.extend(text.bytes().map(|b| if b == b'\r' || b == b'\n' { b' ' } else { b }));
    out.extend_from_slice(b"\r\n");
    out
}

/// A command as bytes, as a client writes it.
pub fn command<W: AsRef<[u8]>>(words: &[W]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend_from_slice(format!("${}\r\n", word.as_ref().len()).as_bytes());
        out.extend_from_slice(word.as_ref());
        out.extend_from_slice(b"\r\n");
    }
    out
}
