//! One connection: its state, its queued bytes, reading and writing.

use crate::failures::{is_in_progress, leaves_connection_open};
use crate::readiness::ReadyList;
use calloop::generic::Generic;
use calloop::{Dispatcher, Interest, RegistrationToken};
#[cfg(feature = "planted-defects")]
use cloverstile_fault_injection::{is_planted, PlantedDefect};
use socket2::{Domain, Socket, Type};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use tracing::debug;

/// Most bytes read from one connection in one poll, up to one read buffer more: a fast peer must not keep the others
/// waiting.
pub const MAX_READ_PER_CONNECTION: usize = 256 << 10;
/// Bytes of the buffer of one read call.
const READ_BUFFER: usize = 64 << 10;

/// The event source of a connection.
pub type StreamSource = Dispatcher<'static, Generic<Rc<TcpStream>>, ReadyList>;

/// How far a connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// An outbound connection is being established.
    Connecting,
    /// It carries bytes in both directions.
    Open,
    /// Closed by its owner and on our side; what the peer still sends is left unread.
    Lingering,
}

/// Whether a connection is read from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadState {
    /// What arrives is read at once.
    Active,
    /// Its owner wants no bytes for now.
    Paused,
    /// Never again: its owner has closed it, or its peer has ended its sending.
    Ended,
}

/// How the peer's side of a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// By an orderly close.
    Orderly,
    /// By a reset or another error.
    Broken,
}

/// What could be read at once.
pub struct ReadResult {
    /// The bytes, in order.
    pub bytes: Vec<u8>,
    /// The end behind them, if it has come.
    pub end: Option<StreamEnd>,
}

/// The system takes no more bytes: the connection is broken.
#[derive(Debug)]
pub struct WriteFailed;

/// Bytes queued for writing.
#[derive(Default)]
struct OutputBuffer {
    bytes: Vec<u8>,
    written: usize,
}

/// A TCP connection that the event loop watches.
pub struct Connection {
    /// The socket, shared with its event source.
    pub stream: Rc<TcpStream>,
    /// Its event source.
    pub source: StreamSource,
    /// Its registration in the event loop.
    pub token: RegistrationToken,
    /// How far it has come.
    pub state: ConnectionState,
    /// Whether it is read from.
    pub read_state: ReadState,
    /// It stays open for writing when its peer ends its sending.
    pub allow_half_open: bool,
    /// Small writes may be held back by the system, which could not be told otherwise so far.
    may_delay_writes: bool,
    /// Its owner has closed it: it ends once all queued bytes are written.
    pub close_after_flush: bool,
    output: OutputBuffer,
}

impl Connection {
    /// A connection with nothing queued.
    pub fn new(
        stream: Rc<TcpStream>,
        source: StreamSource,
        token: RegistrationToken,
        state: ConnectionState,
    ) -> Self {
        Connection {
            stream,
            source,
            token,
            state,
            read_state: ReadState::Active,
            allow_half_open: false,
            may_delay_writes: true,
            close_after_flush: false,
            output: OutputBuffer::default(),
        }
    }

    /// Whether it is still being established.
    pub fn is_connecting(&self) -> bool {
        self.state == ConnectionState::Connecting
    }

    /// Whether its owner has closed it and only its peer's end is awaited.
    pub fn is_lingering(&self) -> bool {
        self.state == ConnectionState::Lingering
    }

    /// Queues bytes for writing.
    pub fn queue(&mut self, bytes: &[u8]) {
        self.output.bytes.extend_from_slice(bytes);
    }

    /// Bytes queued that the system has not taken.
    pub fn unsent_bytes(&self) -> usize {
        self.output.bytes.len() - self.output.written
    }

    /// What the event loop should report of it.
    pub fn interest(&self) -> Interest {
        let writable = self.is_connecting() || self.unsent_bytes() > 0;
        let readable = self.state == ConnectionState::Open && self.read_state == ReadState::Active;
        #[cfg(feature = "planted-defects")]
        let readable = readable || self.is_lingering() && is_planted(PlantedDefect::LingeringReads);
        Interest { readable, writable }
    }

    /// Tells the system not to hold back small writes: a reset would take them along, replies of ours among them.
    pub fn send_without_delay(&mut self) {
        if self.may_delay_writes {
            match self.stream.set_nodelay(true) {
                Ok(()) => self.may_delay_writes = false,
                Err(error) => debug!(%error, "TCP_NODELAY can't be set, tried again with the next write"),
            }
        }
    }

    /// Writes queued bytes until all are written or the system takes no more for now.
    pub fn write_queued(&mut self) -> Result<(), WriteFailed> {
        self.send_without_delay();
        let OutputBuffer { bytes, written } = &mut self.output;
        while *written < bytes.len() {
            match (&*self.stream).write(&bytes[*written..]) {
                Ok(0) => return Err(WriteFailed),
                Ok(count) => *written += count,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if leaves_connection_open(&error) => return Ok(()),
                Err(error) => {
                    debug!(%error, "write failed");
                    return Err(WriteFailed);
                }
            }
        }
        bytes.clear();
        bytes.shrink_to(MAX_READ_PER_CONNECTION);
        *written = 0;
        Ok(())
    }

    /// Reads what has arrived, within the bound of one poll.
    pub fn read_available(&self) -> ReadResult {
        let mut bytes = Vec::new();
        let mut buffer = [0; READ_BUFFER];
        let end = loop {
            match (&*self.stream).read(&mut buffer) {
                Ok(0) => break Some(StreamEnd::Orderly),
                Ok(count) => bytes.extend_from_slice(&buffer[..count]),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if leaves_connection_open(&error) => break None,
                Err(error) => {
                    debug!(%error, "read failed");
                    break Some(StreamEnd::Broken);
                }
            }
            if bytes.len() >= MAX_READ_PER_CONNECTION {
                break None;
            }
        };
        ReadResult { bytes, end }
    }
}

/// Starts a non-blocking connect.
pub fn start_connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    match socket.connect(&address.into()) {
        Err(error) if !is_in_progress(&error) => Err(error),
        Ok(()) | Err(_) => Ok(socket.into()),
    }
}
