//! A connection with its input buffer, which is bounded.

use crate::body::BodyDecoder;
use crate::connect::{Socket, connect, register};
use crate::errno::{SocketCall, SocketFailure, classify};
use crate::error::WireError;
use crate::head::{Head, MAX_HEAD_BYTES, ParseResult};
use crate::peer_close_detector::PeerCloseDetector;
use crate::retry::shortage_pause;
use async_io::Timer;
use futures_lite::future::yield_now;
use std::cell::RefCell;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

/// The largest body that the protocol permits.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// How often a connection with unread input is probed for the peer's close. No attempt may begin 0.1 s after
/// the client has closed; the difference is left for delays of the node itself.
const PEER_CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The most input that is buffered behind a request that waits for its answer: two requests of the largest
/// size. More is discarded, because input that stays unread would hide the client's close; the connection
/// then ends with the answer.
const MAX_READ_AHEAD_BYTES: usize = 2 * MAX_BODY_BYTES;
/// The size of a read of a body.
const BODY_READ_BYTES: usize = 64 * 1024;
/// The size of any other read.
const READ_BYTES: usize = 8 * 1024;

thread_local! {
    /// The buffer for reads of bodies. All connections share it: a read completes before another one begins.
    static BODY_READ_BUFFER: RefCell<Vec<u8>> = const { RefCell::new(Vec::new()) };
}

/// The direction of a transfer.
#[derive(Clone, Copy)]
enum Direction {
    Read,
    Write,
}

/// A connection and the input that has arrived on it and was not consumed yet.
pub struct Connection {
    socket: Socket,
    buffer: Vec<u8>,
    discarded_input: bool,
}

impl Connection {
    /// Registers an accepted connection with the event loop.
    ///
    /// # Errors
    /// The system lacked the resources for it, for longer than a moment.
    pub async fn accepted(stream: TcpStream) -> io::Result<Connection> {
        Ok(Connection::new(register(stream).await?))
    }

    /// Connects to a peer.
    ///
    /// # Errors
    /// `classify` with [`SocketCall::Connect`] shows whether the peer is at fault.
    pub async fn connect(address: SocketAddr) -> io::Result<Connection> {
        Ok(Connection::new(connect(address).await?))
    }

    /// Disables Nagle's algorithm, so that small messages are sent at once. A failure to do so only costs
    /// latency.
    fn new(socket: Socket) -> Connection {
        let _ = socket.get_ref().set_nodelay(true);
        Connection { socket, buffer: Vec::new(), discarded_input: false }
    }

    /// A probe for the peer's close.
    pub fn peer_close_detector(&self) -> PeerCloseDetector {
        PeerCloseDetector::new(self.socket.get_ref().clone())
    }

    /// Whether input behind a request was discarded: what arrives next cannot be distinguished from the
    /// middle of a request.
    pub fn has_discarded_input(&self) -> bool {
        self.discarded_input
    }

    /// How many bytes have arrived and were not consumed.
    pub fn buffered_len(&self) -> usize {
        self.buffer.len()
    }

    /// Takes the bytes that have arrived and were not consumed.
    pub fn take_buffered(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.buffer)
    }

    fn stream(&self) -> &TcpStream {
        self.socket.get_ref()
    }
}

/// Reading into the buffer.
impl Connection {
    /// Waits for more input. Cancelling the wait loses nothing.
    ///
    /// # Errors
    /// The peer has closed the connection, or it failed.
    pub async fn fill(&mut self) -> Result<(), WireError> {
        self.fill_by(Connection::read_available).await
    }

    /// Waits for more of a body, with reads of [`BODY_READ_BYTES`].
    async fn fill_with_body(&mut self) -> Result<(), WireError> {
        self.fill_by(Connection::read_available_body).await
    }

    /// Waits until `read` reads something.
    async fn fill_by(
        &mut self,
        read: impl Fn(&mut Connection) -> io::Result<usize>,
    ) -> Result<(), WireError> {
        loop {
            match read(self) {
                Err(error) => self.wait_for_retry(&error, Direction::Read).await?,
                Ok(0) => return Err(WireError::Closed),
                Ok(_) => return Ok(()),
            }
        }
    }

    /// Reads what is available, without waiting. Not part of `fill`, where the array would enlarge every
    /// waiting task.
    fn read_available(&mut self) -> io::Result<usize> {
        let mut input = [0; READ_BYTES];
        let length = self.stream().read(&mut input)?;
        self.buffer.extend_from_slice(&input[..length]);
        Ok(length)
    }

    /// Reads what is available of a body, without waiting.
    fn read_available_body(&mut self) -> io::Result<usize> {
        BODY_READ_BUFFER.with_borrow_mut(|input| {
            input.resize(BODY_READ_BYTES, 0);
            let length = self.stream().read(input)?;
            self.buffer.extend_from_slice(&input[..length]);
            Ok(length)
        })
    }

    /// Waits until a failed transfer can be repeated.
    ///
    /// # Errors
    /// It cannot be repeated.
    async fn wait_for_retry(&self, error: &io::Error, direction: Direction) -> Result<(), WireError> {
        match (classify(SocketCall::Transfer, error), direction) {
            (SocketFailure::Interrupted, _) => Ok(()),
            (SocketFailure::Shortage, _) => {
                shortage_pause().await;
                Ok(())
            }
            (SocketFailure::NotReady, Direction::Read) => {
                self.socket.readable().await.map_err(|_| WireError::Broken)
            }
            (SocketFailure::NotReady, Direction::Write) => {
                self.socket.writable().await.map_err(|_| WireError::Broken)
            }
            (SocketFailure::DescriptorLimit | SocketFailure::Connection, _) => Err(WireError::Broken),
        }
    }

    /// Reads what is available without waiting, and returns whether the buffer holds any input.
    pub fn has_input(&mut self) -> bool {
        loop {
            if !self.buffer.is_empty() {
                return true;
            }
            match self.read_available() {
                Err(error) if classify(SocketCall::Transfer, &error) == SocketFailure::Interrupted => {}
                Ok(0) | Err(_) => return false,
                Ok(_) => {}
            }
        }
    }

    /// Whether an idle connection has received input, or was closed by the peer. Consumes nothing.
    pub fn has_unsolicited_input(&self) -> bool {
        if !self.buffer.is_empty() {
            return true;
        }
        loop {
            let error = match self.stream().peek(&mut [0]) {
                Ok(_) => return true,
                Err(error) => error,
            };
            match classify(SocketCall::Transfer, &error) {
                SocketFailure::Interrupted => {}
                // Nothing has arrived, or nothing is known at present.
                SocketFailure::NotReady | SocketFailure::Shortage => return false,
                SocketFailure::DescriptorLimit | SocketFailure::Connection => return true,
            }
        }
    }
}

/// Waiting for the peer's close.
impl Connection {
    /// Waits until the peer, which waits for an answer, has closed the connection. Input that arrives
    /// meanwhile is buffered up to a limit; more is discarded, and the connection is
    /// [overrun](Connection::has_discarded_input).
    pub async fn read_ahead_until_closed(&mut self) {
        while self.fill().await.is_ok() {
            if self.buffer.len() > MAX_READ_AHEAD_BYTES {
                self.buffer.truncate(MAX_READ_AHEAD_BYTES);
                self.discarded_input = true;
            }
            // A peer that sends at full speed must not starve the others.
            yield_now().await;
        }
    }

    /// Waits until the peer has closed the connection in the middle of a body, of which no more than
    /// [`MAX_HEAD_BYTES`] are buffered meanwhile.
    pub async fn read_ahead_until_closed_in_body(&mut self) {
        while self.buffer.len() < MAX_HEAD_BYTES {
            if self.fill().await.is_err() {
                return;
            }
        }
        self.peer_closed().await;
    }

    /// Waits until the peer has closed the connection, even where input is unread. Unread input keeps the
    /// socket readable, so readiness does not announce the close, and it is polled for.
    pub async fn peer_closed(&self) {
        let probe = self.peer_close_detector();
        while !probe.has_closed() {
            Timer::after(PEER_CLOSE_POLL_INTERVAL).await;
        }
    }
}

/// Messages.
impl Connection {
    /// Writes all of `bytes`.
    ///
    /// # Errors
    /// The connection failed.
    pub async fn write(&mut self, bytes: &[u8]) -> Result<(), WireError> {
        let mut rest = bytes;
        while !rest.is_empty() {
            match self.stream().write(rest) {
                Ok(0) => return Err(WireError::Broken),
                Ok(written) => rest = &rest[written..],
                Err(error) => self.wait_for_retry(&error, Direction::Write).await?,
            }
        }
        Ok(())
    }

    /// Closes the sending side and discards input until the peer closes too, up to about `max_bytes`, so that
    /// the last response is not lost to a reset.
    pub async fn drain_input(&mut self, max_bytes: usize) {
        if self.close_sending().await.is_err() {
            return;
        }
        let mut drained = 0;
        while drained < max_bytes {
            drained += self.take_buffered().len();
            if self.fill().await.is_err() {
                return;
            }
            // A peer that sends at full speed must not starve the others.
            yield_now().await;
        }
    }

    async fn close_sending(&self) -> Result<(), WireError> {
        while let Err(error) = self.stream().shutdown(Shutdown::Write) {
            self.wait_for_retry(&error, Direction::Write).await?;
        }
        Ok(())
    }

    /// Reads a message's head with `parse`.
    ///
    /// # Errors
    /// The head is malformed or too large, or the connection ended before it was complete.
    pub async fn read_head(&mut self, parse: fn(&[u8]) -> ParseResult) -> Result<Head, WireError> {
        loop {
            if let Some(parsed) = parse(&self.buffer)? {
                self.buffer.drain(..parsed.length);
                return Ok(parsed.head);
            }
            self.fill().await?;
        }
    }

    /// Appends more of a body to `out`; false once the body is complete.
    ///
    /// # Errors
    /// The body's framing is malformed, or the connection ended before it was complete.
    pub async fn read_body_chunk(
        &mut self,
        body: &mut BodyDecoder,
        out: &mut Vec<u8>,
    ) -> Result<bool, WireError> {
        loop {
            let length_before = out.len();
            let used = body.decode(&self.buffer, out)?;
            self.buffer.drain(..used);
            if out.len() > length_before {
                return Ok(true);
            }
            if *body == BodyDecoder::Done {
                return Ok(false);
            }
            match self.fill_with_body().await {
                Err(WireError::Closed) if *body == BodyDecoder::UntilClosed => *body = BodyDecoder::Done,
                filled => filled?,
            }
            // A peer that sends framing without content must not starve the others.
            yield_now().await;
        }
    }

    /// Reads a complete body of at most [`MAX_BODY_BYTES`].
    ///
    /// # Errors
    /// The body is too large or malformed, or the connection ended before it was complete.
    pub async fn read_body(&mut self, mut body: BodyDecoder) -> Result<Vec<u8>, WireError> {
        if matches!(body, BodyDecoder::Length(length) if length > MAX_BODY_BYTES) {
            return Err(WireError::BodyTooLarge);
        }
        let mut out = Vec::new();
        while self.read_body_chunk(&mut body, &mut out).await? {
            if out.len() > MAX_BODY_BYTES {
                return Err(WireError::BodyTooLarge);
            }
        }
        self.shrink_buffer();
        Ok(out)
    }

    /// Releases the memory that a large message has left in the buffer.
    pub fn shrink_buffer(&mut self) {
        self.buffer.shrink_to(MAX_HEAD_BYTES);
    }
}
