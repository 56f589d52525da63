//! A TCP connection with a bounded input buffer.

use crate::body::BodyDecoder;
use crate::buffer_budget::{BufferBudget, BufferReservation, UNRESERVED_BYTES};
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
use std::rc::Rc;
use std::time::Duration;

/// The largest body that the platform's protocol permits.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// The interval at which a connection with unread input is checked for the peer's close. The platform permits
/// no attempt to begin more than 0.1 s after the client has disconnected; the difference allows for the
/// node's own delays.
const PEER_CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How much input after the current request is buffered while the request waits for its answer: twice the
/// largest body. More input is discarded, since unread input would hide the client's close; the connection
/// must then be closed after the answer. The same holds for input that the budget has no room for.
const MAX_READ_AHEAD_BYTES: usize = 2 * MAX_BODY_BYTES;
/// A body that is read slowly, or is read to be kept for a while, is read in pieces of this many bytes at most.
pub const PIECE_BYTES: usize = 16 * 1024;
/// The greatest number of bytes in one read.
const MAX_READ_BYTES: usize = 64 * 1024;
/// Input that is discarded is read up to this many times before other tasks get a turn. A peer that has closed
/// the connection behind much input must be noticed soon, also on a busy node.
const DISCARDING_READS_PER_TURN: usize = 4;

/// The end of a line and the empty line after it, which ends a head.
const HEAD_END: &[u8] = b"\n\r\n";
/// The same for a peer that ends its lines without carriage returns.
const HEAD_END_WITHOUT_CR: &[u8] = b"\n\n";

thread_local! {
    /// The buffer for reads. The connections of a thread share it, since a read does not wait: it is complete
    /// before another one begins.
    static READ_BUFFER: RefCell<Vec<u8>> = const { RefCell::new(Vec::new()) };
}

/// The direction in which a failed transfer waits for readiness.
#[derive(Clone, Copy)]
enum Direction {
    Read,
    Write,
}

/// A TCP connection, and the input that was read from it and not consumed yet. That input is at most
/// [`UNRESERVED_BYTES`], and more only as far as a [`BufferBudget`] has room for it.
pub struct Connection {
    socket: Socket,
    buffer: Vec<u8>,
    reservation: BufferReservation,
    has_discarded_input: bool,
}

impl Connection {
    /// Registers an accepted connection with the event loop. While this machine lacks resources, retries for
    /// 200 ms. The connection's buffer takes its memory from `budget`.
    ///
    /// # Errors
    /// The registration fails, or this machine still lacks resources after 200 ms.
    pub async fn accepted(stream: TcpStream, budget: &Rc<BufferBudget>) -> io::Result<Connection> {
        Ok(Connection::new(register(stream).await?, budget))
    }

    /// Connects to a peer. While this machine lacks resources, retries for 200 ms. The connection's buffer takes its
    /// memory from `budget`.
    ///
    /// # Errors
    /// The error of the last try. `classify` with [`SocketCall::Connect`] tells whether it concerns the peer
    /// or this machine.
    pub async fn connect(address: SocketAddr, budget: &Rc<BufferBudget>) -> io::Result<Connection> {
        Ok(Connection::new(connect(address).await?, budget))
    }

    /// Disables Nagle's algorithm, so that small messages are sent at once. An error is ignored, since it
    /// only increases latency.
    fn new(socket: Socket, budget: &Rc<BufferBudget>) -> Connection {
        let _ = socket.get_ref().set_nodelay(true);
        let reservation = budget.reservation();
        Connection { socket, buffer: Vec::new(), reservation, has_discarded_input: false }
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
        self.reservation.shrink_to(0);
        std::mem::take(&mut self.buffer)
    }

    /// A reservation of no bytes in the budget from which the connection's buffer takes its memory.
    pub fn new_reservation(&self) -> BufferReservation {
        self.reservation.budget().reservation()
    }

    /// Releases the memory that the last message needed, as far as no input is left in it.
    pub fn release_memory(&mut self) {
        let needed = self.buffer.len().max(UNRESERVED_BYTES);
        self.buffer.shrink_to(needed);
        self.reservation.shrink_to(needed - UNRESERVED_BYTES);
    }

    fn stream(&self) -> &TcpStream {
        self.socket.get_ref()
    }
}

/// Reads into the buffer.
impl Connection {
    /// Waits for more input, and appends it to the buffer. If the buffer is full, first waits until the budget has
    /// room for more. No input is lost if the future is dropped.
    ///
    /// # Errors
    /// `Closed` if the peer has closed its sending side. `Broken` if the connection failed.
    pub async fn fill(&mut self) -> Result<(), WireError> {
        if self.room() == 0 {
            self.reservation.grow_to(self.next_reservation()).await;
        }
        self.read_when_ready(Connection::read_to_buffer).await.map(drop)
    }

    /// The number of bytes that the buffer may take now.
    fn room(&self) -> usize {
        (UNRESERVED_BYTES + self.reservation.bytes()).saturating_sub(self.buffer.len())
    }

    /// The reservation with which the buffer may be twice as large as now.
    fn next_reservation(&self) -> usize {
        2 * self.reservation.bytes() + UNRESERVED_BYTES
    }

    /// Calls `read` until it returns input, and waits for readiness between the calls. Returns the number of bytes.
    async fn read_when_ready(
        &mut self,
        mut read: impl FnMut(&mut Connection) -> io::Result<usize>,
    ) -> Result<usize, WireError> {
        loop {
            match read(self) {
                Err(error) => self.wait_for_retry(&error, Direction::Read).await?,
                Ok(0) => return Err(WireError::Closed),
                Ok(length) => return Ok(length),
            }
        }
    }

    /// Reads what the buffer has room for, without waiting, and appends it.
    fn read_to_buffer(&mut self) -> io::Result<usize> {
        let room = self.room();
        self.read_input(room, |connection, input| connection.append(input))
    }

    /// Reads up to `max_bytes`, at least one and at most [`MAX_READ_BYTES`], without waiting, and passes them to
    /// `consume`. Returns their number.
    fn read_input(
        &mut self,
        max_bytes: usize,
        consume: impl FnOnce(&mut Connection, &[u8]),
    ) -> io::Result<usize> {
        READ_BUFFER.with_borrow_mut(|input| {
            input.resize(MAX_READ_BYTES, 0);
            let length = self.stream().read(&mut input[..max_bytes.clamp(1, MAX_READ_BYTES)])?;
            consume(self, &input[..length]);
            Ok(length)
        })
    }

    /// Appends input to the buffer, whose capacity grows by doubling but not beyond what it may take.
    fn append(&mut self, input: &[u8]) {
        let length = self.buffer.len() + input.len();
        if length > self.buffer.capacity() {
            let allowed = UNRESERVED_BYTES + self.reservation.bytes();
            let capacity = (2 * self.buffer.capacity()).min(allowed).max(length);
            self.buffer.reserve_exact(capacity - self.buffer.len());
        }
        self.buffer.extend_from_slice(input);
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
            match self.read_to_buffer() {
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
    /// Input that arrives meanwhile is buffered up to 128 KiB, as far as the budget has room. More is discarded,
    /// which [`has_discarded_input`](Connection::has_discarded_input) reports.
    pub async fn read_ahead_until_closed(&mut self) {
        while self.read_ahead().await.is_ok() {
            // A peer that sends continuously must not starve other tasks.
            yield_now().await;
        }
    }

    /// Waits for more input, and buffers or discards it.
    async fn read_ahead(&mut self) -> Result<(), WireError> {
        if self.room() > 0 || self.grow_read_ahead() {
            return self.read_when_ready(Connection::read_to_buffer).await.map(drop);
        }
        self.read_when_ready(Connection::discard_available).await?;
        self.has_discarded_input = true;
        for _ in 1..DISCARDING_READS_PER_TURN {
            match self.discard_available() {
                Ok(0) => return Err(WireError::Closed),
                Ok(_) => {}
                Err(_) => break,
            }
        }
        Ok(())
    }

    /// Makes room for more input after the current request; returns false if there is none.
    fn grow_read_ahead(&mut self) -> bool {
        let next = self.next_reservation().min(MAX_READ_AHEAD_BYTES - UNRESERVED_BYTES);
        next > self.reservation.bytes() && self.reservation.grow_now(next)
    }

    fn discard_available(&mut self) -> io::Result<usize> {
        self.read_input(MAX_READ_BYTES, |_, _| {})
    }

    /// Waits until the peer has closed the connection, or the connection has failed, while a body is only
    /// partly read. Stops reading once the buffer is full, so that the body is not buffered as a whole.
    pub async fn read_ahead_until_closed_in_body(&mut self) {
        while self.room() > 0 {
            if self.read_when_ready(Connection::read_to_buffer).await.is_err() {
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
        let mut discarded_bytes = self.take_buffered().len();
        while discarded_bytes < max_bytes {
            match self.read_when_ready(Connection::discard_available).await {
                Ok(length) => discarded_bytes += length,
                Err(_) => return,
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
    /// A head that arrives in many pieces is not parsed again for each of them, which would take time that grows
    /// with the square of its length: only when its end may have arrived, and whenever its length has doubled, so
    /// that input which is no head is recognised early.
    ///
    /// # Errors
    /// The error of `parse`. `Closed` or `Broken` if the connection ends before the head is complete.
    pub async fn read_head(&mut self, parse: fn(&[u8]) -> ParseResult) -> Result<Head, WireError> {
        let mut parsed_length = 0;
        let mut searched_length = 0;
        loop {
            let may_be_complete = may_end_head(&self.buffer, searched_length);
            searched_length = self.buffer.len();
            if may_be_complete || searched_length >= MAX_HEAD_BYTES || searched_length >= 2 * parsed_length {
                parsed_length = searched_length;
                if let Some(parsed) = parse(&self.buffer)? {
                    self.buffer.drain(..parsed.length);
                    return Ok(parsed.head);
                }
            }
            self.fill().await?;
        }
    }

    /// Waits for more content of the body that `decoder` decodes, and appends up to about `max_bytes` of it to
    /// `content`. Returns false, and appends nothing, if the body is complete.
    ///
    /// # Errors
    /// The error of [`BodyDecoder::decode`]. `Closed` or `Broken` if the connection ends before the body is
    /// complete.
    pub async fn read_body_chunk(
        &mut self,
        decoder: &mut BodyDecoder,
        content: &mut Vec<u8>,
        max_bytes: usize,
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
            match self.read_body_input(decoder, content, max_bytes).await {
                Err(WireError::Closed) if *decoder == BodyDecoder::UntilClosed => {
                    *decoder = BodyDecoder::Done;
                }
                read => read?,
            }
            if content.len() > length_before {
                return Ok(true);
            }
            // A peer that sends framing without content must not starve other tasks.
            yield_now().await;
        }
    }

    /// Waits for more input of a body, and decodes it without a copy in the buffer if that is empty. Input that is
    /// not consumed is buffered; it is less than the buffer has room for.
    async fn read_body_input(
        &mut self,
        decoder: &mut BodyDecoder,
        content: &mut Vec<u8>,
        max_bytes: usize,
    ) -> Result<(), WireError> {
        if !self.buffer.is_empty() {
            return self.fill().await;
        }
        let mut decoded = Ok(0);
        self.read_when_ready(|connection| {
            let max_input = decoder.remaining_content().min(max_bytes).max(connection.room());
            connection.read_input(max_input, |connection, input| {
                decoded = decoder.decode(input, content);
                if let Ok(used) = decoded {
                    connection.append(&input[used..]);
                }
            })
        })
        .await?;
        decoded.map(drop)
    }

    /// Reads and discards a body of at most [`MAX_BODY_BYTES`].
    ///
    /// # Errors
    /// `BodyTooLarge` if the body is larger, which a `Content-Length` shows before anything is read.
    /// Otherwise as [`read_body_chunk`](Connection::read_body_chunk).
    pub async fn discard_body(&mut self, mut decoder: BodyDecoder) -> Result<(), WireError> {
        if matches!(decoder, BodyDecoder::Length(length) if length > MAX_BODY_BYTES) {
            return Err(WireError::BodyTooLarge);
        }
        let mut discarded_bytes = 0;
        loop {
            let mut content = Vec::new();
            if !self.read_body_chunk(&mut decoder, &mut content, PIECE_BYTES).await? {
                return Ok(());
            }
            discarded_bytes += content.len();
            if discarded_bytes > MAX_BODY_BYTES {
                return Err(WireError::BodyTooLarge);
            }
        }
    }
}

/// Whether the end of a head, an empty line, may be in `input`, of which the first `searched` bytes held none.
fn may_end_head(input: &[u8], searched: usize) -> bool {
    let start = searched.saturating_sub(HEAD_END.len());
    let is_end = |rest: &[u8]| rest.starts_with(HEAD_END) || rest.starts_with(HEAD_END_WITHOUT_CR);
    (start..input.len()).any(|position| is_end(&input[position..]))
}
