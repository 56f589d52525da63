//! A TCP connection with a bounded input buffer.

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

/// The largest body that the platform's protocol permits.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// The interval at which a connection with unread input is checked for the peer's close. The platform permits
/// no attempt to begin more than 0.1 s after the client has disconnected; the difference allows for the
/// node's own delays.
const PEER_CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How much input after the current request is buffered while the request waits for its answer: twice the
/// largest body. More input is discarded, since unread input would hide the client's close; the connection
/// must then be closed after the answer.
const MAX_READ_AHEAD_BYTES: usize = 2 * MAX_BODY_BYTES;
/// The greatest number of bytes in one read of a body.
const BODY_READ_BYTES: usize = 64 * 1024;
/// The greatest number of bytes in any other read.
const READ_BYTES: usize = 8 * 1024;

thread_local! {
    /// The buffer for reads of bodies. The connections of a thread share it, since a read does not wait: it
    /// is complete before another one begins.
    static BODY_READ_BUFFER: RefCell<Vec<u8>> = const { RefCell::new(Vec::new()) };
}

/// The direction in which a failed transfer waits for readiness.
#[derive(Clone, Copy)]
enum Direction {
    Read,
    Write,
}

/// A TCP connection, and the input that was read from it and not consumed yet.
pub struct Connection {
    socket: Socket,
    buffer: Vec<u8>,
    has_discarded_input: bool,
}

impl Connection {
    /// Registers an accepted connection with the event loop. While this machine lacks resources, retries for
    /// 200 ms.
    ///
    /// # Errors
    /// The registration fails, or this machine still lacks resources after 200 ms.
    pub async fn accepted(stream: TcpStream) -> io::Result<Connection> {
        Ok(Connection::new(register(stream).await?))
    }

    /// Connects to a peer. While this machine lacks resources, retries for 200 ms.
    ///
    /// # Errors
    /// The error of the last try. `classify` with [`SocketCall::Connect`] tells whether it concerns the peer
    /// or this machine.
    pub async fn connect(address: SocketAddr) -> io::Result<Connection> {
        Ok(Connection::new(connect(address).await?))
    }

    /// Disables Nagle's algorithm, so that small messages are sent at once. An error is ignored, since it
    /// only increases latency.
    fn new(socket: Socket) -> Connection {
        let _ = socket.get_ref().set_nodelay(true);
        Connection { socket, buffer: Vec::new(), has_discarded_input: false }
    }

    /// A detector of the peer's close, which another task may hold.
    pub fn peer_close_detector(&self) -> PeerCloseDetector {
        PeerCloseDetector::new(self.socket.get_ref().clone())
    }

    /// Whether input after the current request was discarded. No further request can be read then, since the
    /// next input may begin anywhere in a request.
    pub fn has_discarded_input(&self) -> bool {
        self.has_discarded_input
    }

    /// The number of bytes that were read and not consumed.
    pub fn buffered_len(&self) -> usize {
        self.buffer.len()
    }

    /// Removes the bytes that were read and not consumed from the buffer, and returns them.
    pub fn take_buffered(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.buffer)
    }

    fn stream(&self) -> &TcpStream {
        self.socket.get_ref()
    }
}

/// Reads into the buffer.
impl Connection {
    /// Waits for more input, and appends it to the buffer. No input is lost if the future is dropped.
    ///
    /// # Errors
    /// `Closed` if the peer has closed its sending side. `Broken` if the connection failed.
    pub async fn fill(&mut self) -> Result<(), WireError> {
        self.fill_by(Connection::read_available).await
    }

    /// As [`fill`](Connection::fill), with reads of up to [`BODY_READ_BYTES`].
    async fn fill_with_body(&mut self) -> Result<(), WireError> {
        self.fill_by(Connection::read_available_body).await
    }

    /// Calls `read` until it returns input, and waits for readiness between the calls.
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

    /// Reads up to [`READ_BYTES`] without waiting, and appends them to the buffer. Separate from `fill_by`,
    /// whose future would otherwise contain the array and enlarge every waiting task.
    fn read_available(&mut self) -> io::Result<usize> {
        let mut input = [0; READ_BYTES];
        let length = self.stream().read(&mut input)?;
        self.buffer.extend_from_slice(&input[..length]);
        Ok(length)
    }

    /// Reads up to [`BODY_READ_BYTES`] without waiting, and appends them to the buffer.
    fn read_available_body(&mut self) -> io::Result<usize> {
        BODY_READ_BUFFER.with_borrow_mut(|input| {
            input.resize(BODY_READ_BYTES, 0);
            let length = self.stream().read(input)?;
            self.buffer.extend_from_slice(&input[..length]);
            Ok(length)
        })
    }

    /// Waits until a transfer that failed with `error` can be repeated.
    ///
    /// # Errors
    /// `Broken` if the connection failed, so that repeating does not help.
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

    /// Whether the buffer holds input. If it is empty, first reads what is available, without waiting.
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

    /// Whether an idle connection has received input, was closed by the peer, or failed: it cannot carry
    /// another request then. Does not wait, and consumes nothing.
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
                // Nothing has arrived, or the state is unknown for now.
                SocketFailure::NotReady | SocketFailure::Shortage => return false,
                SocketFailure::DescriptorLimit | SocketFailure::Connection => return true,
            }
        }
    }
}

/// Waits for the peer's close.
impl Connection {
    /// Waits until a peer that waits for an answer has closed the connection, or the connection has failed.
    /// Input that arrives meanwhile is buffered up to 128 KiB. More is discarded, which
    /// [`has_discarded_input`](Connection::has_discarded_input) reports.
    pub async fn read_ahead_until_closed(&mut self) {
        while self.fill().await.is_ok() {
            if self.buffer.len() > MAX_READ_AHEAD_BYTES {
                self.buffer.truncate(MAX_READ_AHEAD_BYTES);
                self.has_discarded_input = true;
            }
            // A peer that sends continuously must not starve other tasks.
            yield_now().await;
        }
    }

    /// Waits until the peer has closed the connection, or the connection has failed, while a body is only
    /// partly read. Stops reading once the buffer holds [`MAX_HEAD_BYTES`], so that the body is not buffered
    /// as a whole.
    pub async fn read_ahead_until_closed_in_body(&mut self) {
        while self.buffer.len() < MAX_HEAD_BYTES {
            if self.fill().await.is_err() {
                return;
            }
        }
        self.peer_closed().await;
    }

    /// Waits until the peer has closed the connection, without reading. Unread input keeps the socket
    /// readable, so readiness does not signal the close; it is polled for every 20 ms instead.
    pub async fn peer_closed(&self) {
        let detector = self.peer_close_detector();
        while !detector.has_closed() {
            Timer::after(PEER_CLOSE_POLL_INTERVAL).await;
        }
    }
}

/// Reads and writes messages.
impl Connection {
    /// Writes all of `bytes`.
    ///
    /// # Errors
    /// `Broken` if the connection failed; a part of `bytes` may have been sent.
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

    /// Prepares the connection to be dropped (lingering close, RFC 9112, section 9.6): closes the sending
    /// side, then reads and discards input until the peer closes too, up to about `max_bytes`. Closing a
    /// socket with unread input would reset the connection, and the peer could lose the last response.
    pub async fn drain_input(&mut self, max_bytes: usize) {
        if self.close_sending().await.is_err() {
            return;
        }
        let mut discarded_bytes = 0;
        while discarded_bytes < max_bytes {
            discarded_bytes += self.take_buffered().len();
            if self.fill().await.is_err() {
                return;
            }
            // A peer that sends continuously must not starve other tasks.
            yield_now().await;
        }
    }

    async fn close_sending(&self) -> Result<(), WireError> {
        while let Err(error) = self.stream().shutdown(Shutdown::Write) {
            self.wait_for_retry(&error, Direction::Write).await?;
        }
        Ok(())
    }

    /// Waits for a complete message head, and parses it with [`Head::parse_request`] or
    /// [`Head::parse_response`].
    ///
    /// # Errors
    /// The error of `parse`. `Closed` or `Broken` if the connection ends before the head is complete.
    pub async fn read_head(&mut self, parse: fn(&[u8]) -> ParseResult) -> Result<Head, WireError> {
        loop {
            if let Some(parsed) = parse(&self.buffer)? {
                self.buffer.drain(..parsed.length);
                return Ok(parsed.head);
            }
            self.fill().await?;
        }
    }

    /// Waits for more content of the body that `decoder` decodes, and appends it to `content`. Returns false,
    /// and appends nothing, if the body is complete.
    ///
    /// # Errors
    /// The error of [`BodyDecoder::decode`]. `Closed` or `Broken` if the connection ends before the body is
    /// complete.
    pub async fn read_body_chunk(
        &mut self,
        decoder: &mut BodyDecoder,
        content: &mut Vec<u8>,
    ) -> Result<bool, WireError> {
        loop {
            let length_before = content.len();
            let used = decoder.decode(&self.buffer, content)?;
            self.buffer.drain(..used);
            if content.len() > length_before {
                return Ok(true);
            }
            if *decoder == BodyDecoder::Done {
                return Ok(false);
            }
            match self.fill_with_body().await {
                Err(WireError::Closed) if *decoder == BodyDecoder::UntilClosed => {
                    *decoder = BodyDecoder::Done
                }
                filled => filled?,
            }
            // A peer that sends framing without content must not starve other tasks.
            yield_now().await;
        }
    }

    /// Reads a complete body of at most [`MAX_BODY_BYTES`].
    ///
    /// # Errors
    /// `BodyTooLarge` if the body is larger, which a `Content-Length` shows before anything is read.
    /// Otherwise as [`read_body_chunk`](Connection::read_body_chunk).
    pub async fn read_body(&mut self, mut decoder: BodyDecoder) -> Result<Vec<u8>, WireError> {
        if matches!(decoder, BodyDecoder::Length(length) if length > MAX_BODY_BYTES) {
            return Err(WireError::BodyTooLarge);
        }
        let mut content = Vec::new();
        while self.read_body_chunk(&mut decoder, &mut content).await? {
            if content.len() > MAX_BODY_BYTES {
                return Err(WireError::BodyTooLarge);
            }
        }
        self.shrink_buffer();
        Ok(content)
    }

    /// Releases the buffer's memory beyond [`MAX_HEAD_BYTES`] that a large message has left unused.
    pub fn shrink_buffer(&mut self) {
        self.buffer.shrink_to(MAX_HEAD_BYTES);
    }
}
