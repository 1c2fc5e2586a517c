//! Incremental decoding of commands, which are arrays of bulk strings.

use thiserror::Error;

/// Limits on the size of a command.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of elements of a command's array: its name and its arguments.
    pub max_elements: usize,
    /// Maximum length of one bulk string, in bytes.
    pub max_bulk_string_bytes: usize,
    /// Maximum length of all bulk strings of a command together, in bytes.
    pub max_command_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { max_elements: 16, max_bulk_string_bytes: 64 << 10, max_command_bytes: 72 << 10 }
    }
}

/// Why received bytes can't be decoded. The decoder can't find the end of the invalid command, so the connection has to
/// be closed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum RespError {
    /// A byte other than the `*` that starts an array.
    #[error("expected '*' and a count, got byte {0:#04x}")]
    ExpectedArray(u8),
    /// A byte other than the `$` that starts a bulk string.
    #[error("expected '$' and a length, got byte {0:#04x}")]
    ExpectedBulkString(u8),
    /// A count or length that is not a plain decimal number; holds the greatest allowed value.
    #[error("a count or length that is no number from 0 to {0}")]
    InvalidNumber(usize),
    /// A declared count or length above its limit.
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
    /// An array without elements.
    #[error("a command of no words")]
    EmptyCommand,
}

/// A decoded command: the contents of its bulk strings, the command's name first.
pub type Command = Vec<Vec<u8>>;

/// Maximum number of digits of a count or a length; no `usize` has more.
const MAX_DIGITS: usize = 20;

/// Step in which the buffer of an incomplete command grows, in bytes.
const BUFFER_STEP_BYTES: usize = 4 << 10;

/// What the scanner expects next.
#[derive(Clone, Copy)]
enum ScanStage {
    /// The line with the number of a command's bulk strings.
    Count,
    /// The line with the length of a bulk string.
    Length { remaining: usize, total_bytes: usize },
    /// A bulk string of this length with its line end.
    BulkString { length: usize, remaining: usize, total_bytes: usize },
}

/// Incremental decoder of the commands on one connection.
///
/// Received bytes are scanned once, however they are split: an incomplete command is not parsed anew with each byte. If
/// every complete command is taken after each [`Decoder::feed`], at most one incomplete command stays buffered.
pub struct Decoder {
    limits: Limits,
    buffer: Vec<u8>,
    /// Offset in `buffer` of the first byte that no returned command contains.
    position: usize,
    /// Offset in `buffer` of the first byte that is not scanned yet.
    scanned: usize,
    stage: ScanStage,
    /// Number of complete commands from `position` on.
    complete_commands: usize,
    /// Why the bytes behind the complete commands can't be decoded.
    error: Option<RespError>,
}

impl Decoder {
    /// Creates a decoder with an empty buffer.
    pub fn new(limits: Limits) -> Self {
        Decoder {
            limits,
            buffer: Vec::new(),
            position: 0,
            scanned: 0,
            stage: ScanStage::Count,
            complete_commands: 0,
            error: None,
        }
    }

    /// Appends received bytes. Bytes behind an error are dropped.
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.error.is_some() {
            return;
        }
        self.release_consumed();
        let needed = (self.buffer.len() + bytes.len()).next_multiple_of(BUFFER_STEP_BYTES);
        if self.buffer.capacity() < self.buffer.len() + bytes.len() {
            // Exactly: growth by doubling could hold twice the size of a command.
            self.buffer.reserve_exact(needed - self.buffer.len());
        }
        self.buffer.extend_from_slice(bytes);
        if let Err(error) = self.scan() {
            self.error = Some(error);
        }
    }

    /// Number of received bytes that no returned command contains.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len() - self.position
    }

    /// Capacity of the buffer in bytes: the memory that the decoder holds.
    pub fn allocated_bytes(&self) -> usize {
        self.buffer.capacity()
    }

    /// Number of complete commands that have not been taken.
    pub fn complete_commands(&self) -> usize {
        self.complete_commands
    }

    /// Whether part of a command follows the complete ones.
    pub fn has_partial_command(&self) -> bool {
        let at_command_start = matches!(self.stage, ScanStage::Count) && self.scanned == self.buffer.len();
        !at_command_start || self.error.is_some()
    }

    /// Why the bytes behind the complete commands can't be decoded, if they can't.
    pub fn error(&self) -> Option<&RespError> {
        self.error.as_ref()
    }

    /// Removes and returns the next complete command; `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// The bytes are not a command, or exceed a limit. Every later call fails too.
    pub fn next_command(&mut self) -> Result<Option<Command>, RespError> {
        if self.complete_commands == 0 {
            return self.error.clone().map_or(Ok(None), Err);
        }
        let mut parser = Parser { bytes: &self.buffer, position: self.position };
        let command = parser.parse_command(&self.limits)?;
        self.position = parser.position;
        self.complete_commands -= 1;
        if self.complete_commands == 0 {
            self.release_consumed();
        }
        Ok(command)
    }

    /// Drops all received bytes behind the first complete commands, of which `count` are kept. Nothing may be fed after it.
    pub fn keep_first(&mut self, count: usize) {
        let mut parser = Parser { bytes: &self.buffer, position: self.position };
        let kept = (0..count.min(self.complete_commands))
            .map_while(|_| parser.skip_command(&self.limits).ok().flatten())
            .count();
        let end = parser.position;
        self.buffer.truncate(end);
        self.complete_commands = kept;
        self.scanned = end;
        self.stage = ScanStage::Count;
        self.release_consumed();
        self.buffer.shrink_to(self.buffer.len().next_multiple_of(BUFFER_STEP_BYTES));
    }

    /// Frees the bytes of the commands that were taken: the memory of a large command must not stay allocated for the life
    /// of the connection.
    fn release_consumed(&mut self) {
        if self.position == 0 {
            return;
        }
        self.buffer.drain(..self.position);
        self.scanned -= self.position;
        self.position = 0;
        self.buffer.shrink_to(self.buffer.len().next_multiple_of(BUFFER_STEP_BYTES));
    }

    /// Scans the received bytes up to the first that belong to an incomplete line or bulk string.
    fn scan(&mut self) -> Result<(), RespError> {
        let mut parser = Parser { bytes: &self.buffer, position: self.scanned };
        loop {
            let Some(next) = parser.scan_stage(self.stage, &self.limits)? else { return Ok(()) };
            self.scanned = parser.position;
            self.stage = next;
            self.complete_commands += usize::from(matches!(next, ScanStage::Count));
        }
    }
}

/// Parses lines and bulk strings from an offset on.
struct Parser<'a> {
    bytes: &'a [u8],
    /// Offset of the next byte to parse.
    position: usize,
}

impl<'a> Parser<'a> {
    /// Scans what a stage expects; returns the next stage, or `None` if it is not complete.
    fn scan_stage(&mut self, stage: ScanStage, limits: &Limits) -> Result<Option<ScanStage>, RespError> {
        match stage {
            ScanStage::Count => {
                let count = self.parse_count(limits)?;
                Ok(count.map(|remaining| ScanStage::Length { remaining, total_bytes: 0 }))
            }
            ScanStage::Length { remaining, total_bytes } => {
                let Some(length) = self.parse_length(total_bytes, limits)? else { return Ok(None) };
                let total_bytes = total_bytes + length;
                Ok(Some(ScanStage::BulkString { length, remaining, total_bytes }))
            }
            ScanStage::BulkString { length, remaining, total_bytes } => {
                let is_complete = self.parse_bulk_string(length)?.is_some();
                Ok(is_complete.then_some(match remaining {
                    0 | 1 => ScanStage::Count,
                    _ => ScanStage::Length { remaining: remaining - 1, total_bytes },
                }))
            }
        }
    }

    /// Advances behind a command; `None` if it is not complete.
    fn skip_command(&mut self, limits: &Limits) -> Result<Option<()>, RespError> {
        let mut stage = ScanStage::Count;
        while let Some(next) = self.scan_stage(stage, limits)? {
            if let ScanStage::Count = next {
                return Ok(Some(()));
            }
            stage = next;
        }
        Ok(None)
    }

    /// Parses a command; `None` if it is not complete.
    fn parse_command(&mut self, limits: &Limits) -> Result<Option<Command>, RespError> {
        let Some(count) = self.parse_count(limits)? else { return Ok(None) };
        let mut elements = Vec::with_capacity(count);
        let mut total_bytes = 0;
        for _ in 0..count {
            let Some(length) = self.parse_length(total_bytes, limits)? else { return Ok(None) };
            total_bytes += length;
            let Some(element) = self.parse_bulk_string(length)? else { return Ok(None) };
            elements.push(element.to_vec());
        }
        Ok(Some(elements))
    }

    /// Parses the line with the number of a command's bulk strings; `None` if it is not complete.
    fn parse_count(&mut self, limits: &Limits) -> Result<Option<usize>, RespError> {
        let most = limits.max_elements;
        match self.parse_number(b'*', RespError::ExpectedArray, most)? {
            Some(0) => Err(RespError::EmptyCommand),
            Some(found) if found > most => {
                Err(RespError::LimitExceeded { what: "a command's words", found, most })
            }
            count => Ok(count),
        }
    }

    /// Parses the line with the length of a bulk string that follows `total_bytes` bytes of the command's other ones;
    /// `None` if it is not complete.
    fn parse_length(&mut self, total_bytes: usize, limits: &Limits) -> Result<Option<usize>, RespError> {
        let most = limits.max_bulk_string_bytes;
        let Some(length) = self.parse_number(b'$', RespError::ExpectedBulkString, most)? else {
            return Ok(None);
        };
        if length > most {
            return Err(RespError::LimitExceeded { what: "a word", found: length, most });
        }
        let (found, most) = (total_bytes + length, limits.max_command_bytes);
        if found > most {
            return Err(RespError::LimitExceeded { what: "a command", found, most });
        }
        Ok(Some(length))
    }

    /// Parses a bulk string of this length with its line end; `None` if it is not complete.
    fn parse_bulk_string(&mut self, length: usize) -> Result<Option<&'a [u8]>, RespError> {
        let rest: &'a [u8] = &self.bytes[self.position..];
        // Rejects wrong bytes in place of CR LF as soon as they are received.
        if rest.get(length).is_some_and(|b| *b != b'\r') || rest.get(length + 1).is_some_and(|b| *b != b'\n')
        {
            return Err(RespError::MissingLineEnd);
        }
        if rest.len() < length + 2 {
            return Ok(None);
        }
        self.position += length + 2;
        Ok(Some(&rest[..length]))
    }

    /// Parses a line of a type byte and a number; `None` if the line is not complete.
    fn parse_number(
        &mut self,
        type_byte: u8,
        wrong_type_error: fn(u8) -> RespError,
        max: usize,
    ) -> Result<Option<usize>, RespError> {
        let rest: &'a [u8] = &self.bytes[self.position..];
        match rest.first() {
            None => return Ok(None),
            Some(first) if *first != type_byte => return Err(wrong_type_error(*first)),
            Some(_) => {}
        }
        let line = &rest[1..rest.len().min(MAX_DIGITS + 3)];
        let digits = line.iter().take_while(|b| b.is_ascii_digit()).count();
        match line.get(digits) {
            // Guards against a line that never ends: it is rejected once it has more digits than any valid number.
            None if digits > MAX_DIGITS => return Err(RespError::InvalidNumber(max)),
            None => return Ok(None),
            Some(b'\r') if digits > 0 => {}
            Some(_) => return Err(RespError::InvalidNumber(max)),
        }
        match line.get(digits + 1) {
            None => return Ok(None),
            Some(b'\n') => {}
            Some(_) => return Err(RespError::MissingLineEnd),
        }
        self.position += 1 + digits + 2;
        let text = std::str::from_utf8(&line[..digits]).unwrap_or_default();
        text.parse().map(Some).map_err(|_| RespError::InvalidNumber(max))
    }
}
