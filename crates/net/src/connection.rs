//! One connection: its state, its output buffer, reading and writing.

use crate::failures::{is_in_progress, is_transient};
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

/// Limit on the bytes read from one connection in one poll, so that a fast peer does not starve the others. The last
/// read may exceed it by up to one read buffer.
pub const MAX_READ_PER_CONNECTION: usize = 64 << 10;
/// Size of the buffer for one read call, in bytes.
const READ_BUFFER_SIZE: usize = 64 << 10;

/// The event source of a connection, which adds readiness to the poll's [`ReadyList`].
pub type StreamSource = Dispatcher<'static, Generic<Rc<TcpStream>>, ReadyList>;

/// Stage of a connection's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// An outbound connection is being established.
    Connecting,
    /// Established; bytes may be sent and received.
    Open,
    /// Closed by its owner and shut down for writing; bytes that still arrive are left unread.
    Lingering,
}

/// Whether a connection is read from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadState {
    /// Bytes are read as they arrive.
    Active,
    /// Reading is paused by the owner and can be resumed.
    Paused,
    /// Reading has ended for good: the owner closed the connection, or the peer shut down its write side.
    Ended,
}

/// How the peer's side of a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The peer closed it or shut down its write side (FIN).
    Orderly,
    /// A reset or another I/O error.
    Broken,
}

/// Result of reading a connection once.
#[derive(Debug, Default)]
pub struct ReadResult {
    /// The bytes received, in order; empty if none had arrived.
    pub bytes: Vec<u8>,
    /// How the stream ended after these bytes; `None` if it has not ended.
    pub end: Option<StreamEnd>,
}

/// A write failed for good; the connection is broken.
#[derive(Debug)]
pub struct WriteFailed;

/// Bytes queued for writing; the first `written` of them are already in the socket.
#[derive(Default)]
struct OutputBuffer {
    bytes: Vec<u8>,
    written: usize,
}

/// A TCP connection registered with the event loop.
pub struct Connection {
    /// The socket, shared with its event source.
    pub stream: Rc<TcpStream>,
    /// The event source, which holds the interest that the event loop polls for.
    pub source: StreamSource,
    /// The registration token of the event source in the event loop.
    pub token: RegistrationToken,
    /// Connecting, open or lingering.
    pub state: ConnectionState,
    /// Whether bytes are read from it.
    pub read_state: ReadState,
    /// Whether a listener accepted it.
    pub is_accepted: bool,
    /// Whether it stays open for writing after the peer shuts down its write side.
    pub allow_half_open: bool,
    /// `TCP_NODELAY` is not set yet.
    nodelay_pending: bool,
    /// Number of the poll that read it last; 0 before the first.
    pub last_read_in: u64,
    /// The owner has closed it: it is shut down once all queued bytes are written.
    pub close_after_flush: bool,
    output: OutputBuffer,
}

impl Connection {
    /// Creates a connection with an empty output buffer and reading active.
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
            is_accepted: false,
            allow_half_open: false,
            nodelay_pending: true,
            last_read_in: 0,
            close_after_flush: false,
            output: OutputBuffer::default(),
        }
    }

    /// Whether the outbound connect has not completed yet.
    pub fn is_connecting(&self) -> bool {
        self.state == ConnectionState::Connecting
    }

    /// Whether the socket reports an error, such as a reset. The error is reported once.
    pub fn has_failed(&self) -> bool {
        matches!(self.stream.take_error(), Ok(Some(_)) | Err(_))
    }

    /// Whether it is in lingering close: shut down on our side, waiting for the peer to close.
    pub fn is_lingering(&self) -> bool {
        self.state == ConnectionState::Lingering
    }

    /// Appends bytes to the output buffer without writing them to the socket.
    pub fn queue(&mut self, bytes: &[u8]) {
        self.output.bytes.drain(..self.output.written);
        self.output.written = 0;
        self.output.bytes.reserve_exact(bytes.len());
        self.output.bytes.extend_from_slice(bytes);
    }

    /// Capacity of the output buffer in bytes: the memory that queued bytes hold.
    pub fn output_capacity(&self) -> usize {
        self.output.bytes.capacity()
    }

    /// Number of queued bytes that are not yet written to the socket.
    pub fn unsent_bytes(&self) -> usize {
        self.output.bytes.len() - self.output.written
    }

    /// The readiness that the event loop has to report in the current state.
    pub fn interest(&self) -> Interest {
        let writable = self.is_connecting() || self.unsent_bytes() > 0;
        let readable = self.state == ConnectionState::Open && self.read_state == ReadState::Active;
        #[cfg(feature = "planted-defects")]
        let readable = readable || self.is_lingering() && is_planted(PlantedDefect::LingeringReads);
        Interest { readable, writable }
    }

    /// Sets `TCP_NODELAY`, so that the kernel does not hold back small writes: a reset would discard them, replies included.
    pub fn ensure_nodelay(&mut self) {
        if self.nodelay_pending {
            match self.stream.set_nodelay(true) {
                Ok(()) => self.nodelay_pending = false,
                Err(error) => debug!(%error, "TCP_NODELAY can't be set, tried again with the next write"),
            }
        }
    }

    /// Writes queued bytes until all are written or the socket accepts no more for now.
    pub fn write_queued(&mut self) -> Result<(), WriteFailed> {
        self.ensure_nodelay();
        let OutputBuffer { bytes, written } = &mut self.output;
        while *written < bytes.len() {
            match (&*self.stream).write(&bytes[*written..]) {
                Ok(0) => return Err(WriteFailed),
                Ok(count) => *written += count,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if is_transient(&error) => return Ok(()),
                Err(error) => {
                    debug!(%error, "write failed");
                    return Err(WriteFailed);
                }
            }
        }
        *bytes = Vec::new();
        *written = 0;
        Ok(())
    }

    /// Reads the bytes that have arrived, up to about [`MAX_READ_PER_CONNECTION`].
    pub fn read_available(&self) -> ReadResult {
        let mut bytes = Vec::new();
        let mut buffer = [0; READ_BUFFER_SIZE];
        let end = loop {
            match (&*self.stream).read(&mut buffer) {
                Ok(0) => break Some(StreamEnd::Orderly),
                Ok(count) => bytes.extend_from_slice(&buffer[..count]),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if is_transient(&error) => break None,
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

/// Starts a non-blocking connect; the socket becomes writable when it has completed or failed.
///
/// # Errors
/// Creating the socket failed, or the connect failed at once.
pub fn start_connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    match socket.connect(&address.into()) {
        Err(error) if !is_in_progress(&error) => Err(error),
        Ok(()) | Err(_) => Ok(socket.into()),
    }
}
