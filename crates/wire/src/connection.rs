//! A connection with what has come on it, every buffer bounded.

use crate::body::Body;
use crate::connect::{Socket, connect, registered};
use crate::errno::{SocketCall, SocketFailure, classify, shortage_pause};
use crate::error::WireError;
use crate::head::{Head, MAX_HEAD_BYTES, Parsed};
use async_io::Timer;
use futures_lite::future::yield_now;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::cell::RefCell;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// The most a body may hold, by the protocol, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// How often a connection on which more has come than is read is looked at for its end. No attempt may begin 0.1 s after
/// the client has closed; the rest of that time is for what the node itself is held up.
const END_LOOK: Duration = Duration::from_millis(20);
/// The most that is kept of what comes behind a request that waits for its answer, in bytes: two requests of the largest
/// kind. What comes beyond that is dropped, and the connection ends with the answer: unread, it would hide from the node
/// that the client has closed.
const READ_AHEAD_MOST: usize = 2 * MAX_BODY_BYTES;
/// What is taken of a body at once, in bytes.
const BODY_PIECE: usize = 64 * 1024;

thread_local! {
    /// What reads of bodies are made into: one for all links, for none reads while another does.
    static SCRATCH: RefCell<Vec<u8>> = const { RefCell::new(Vec::new()) };
}

/// Which way bytes go.
#[derive(Clone, Copy)]
enum Direction {
    Read,
    Write,
}

/// A connection and what has come on it and was not used yet.
pub struct Connection {
    socket: Socket,
    buffer: Vec<u8>,
    overrun: bool,
}

/// Tells whether the other side of a connection has ended it, beside whoever reads from it.
#[derive(Clone)]
pub struct PeerProbe(Arc<TcpStream>);

impl PeerProbe {
    /// Whether the other side has closed, reset or half-closed the connection, whatever of it is unread.
    pub fn has_closed(&self) -> bool {
        let mut ends = [PollFd::new(&*self.0, PollFlags::RDHUP)];
        let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
        loop {
            match poll(&mut ends, Some(&at_once)) {
                Ok(ready) => return ready > 0,
                Err(error) if classify(SocketCall::Transfer, &error.into()) == SocketFailure::Interrupted => {
                }
                // No word of the connection: the next look may have one.
                Err(_) => return false,
            }
        }
    }
}

impl Connection {
    /// Takes a connection that was accepted into the event loop.
    ///
    /// # Errors
    /// The system has no room for it, for longer than a moment.
    pub async fn accepted(stream: TcpStream) -> io::Result<Connection> {
        Ok(Connection::new(registered(stream).await?))
    }

    /// Connects to a peer.
    ///
    /// # Errors
    /// `classify` with [`SocketCall::Connect`] tells whose fault it is.
    pub async fn connect(address: SocketAddr) -> io::Result<Connection> {
        Ok(Connection::new(connect(address).await?))
    }

    /// Small messages must not wait for more to go with them: Nagle is off. Where that can't be had the connection is
    /// as good, only slower.
    fn new(socket: Socket) -> Connection {
        let _ = socket.get_ref().set_nodelay(true);
        Connection { socket, buffer: Vec::new(), overrun: false }
    }

    /// A probe for the end of this connection.
    pub fn peer_probe(&self) -> PeerProbe {
        PeerProbe(self.socket.get_ref().clone())
    }

    /// Whether more has come behind a request than is kept: what comes next can't be told from the middle of a request.
    pub fn is_overrun(&self) -> bool {
        self.overrun
    }

    /// Bytes that have come and were not used.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Takes the bytes that have come and were not used.
    pub fn take_buffered(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.buffer)
    }

    /// Waits for more bytes. Nothing is lost if the wait is dropped.
    pub async fn fill(&mut self) -> Result<(), WireError> {
        self.fill_by(Connection::read).await
    }

    /// Waits for more bytes of a body, and takes more of them at once.
    async fn fill_body(&mut self) -> Result<(), WireError> {
        self.fill_by(|link| SCRATCH.with_borrow_mut(|scratch| link.read_into(scratch))).await
    }

    async fn fill_by(
        &mut self,
        read: impl Fn(&mut Connection) -> io::Result<usize>,
    ) -> Result<(), WireError> {
        loop {
            match read(self) {
                Err(error) => self.again(&error, Direction::Read).await?,
                Ok(0) => return Err(WireError::Closed),
                Ok(_) => return Ok(()),
            }
        }
    }

    /// Waits until a transfer that failed so can be tried again; a fault where it can't.
    async fn again(&self, error: &io::Error, direction: Direction) -> Result<(), WireError> {
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

    fn read_into(&mut self, scratch: &mut Vec<u8>) -> io::Result<usize> {
        scratch.resize(BODY_PIECE, 0);
        let n = self.stream().read(scratch)?;
        self.buffer.extend_from_slice(&scratch[..n]);
        Ok(n)
    }

    /// Takes what has come. Not in `fill`, where the piece would be part of every waiting task.
    fn read(&mut self) -> io::Result<usize> {
        let mut piece = [0; 8 * 1024];
        let n = self.stream().read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..n]);
        Ok(n)
    }

    fn stream(&self) -> &TcpStream {
        self.socket.get_ref()
    }

    /// Waits until the other side has ended the connection, which waits for an answer. What comes meanwhile is kept up
    /// to [`READ_AHEAD_MOST`]; beyond that it is dropped and the connection is [overrun](Connection::is_overrun).
    pub async fn read_ahead_until_closed(&mut self) {
        while self.fill().await.is_ok() {
            if self.buffer.len() > READ_AHEAD_MOST {
                self.buffer.truncate(READ_AHEAD_MOST);
                self.overrun = true;
            }
            // One that sends at full speed must not keep the others waiting.
            yield_now().await;
        }
    }

    /// Waits until the other side has ended the connection in the middle of a body, of which no more than a head's
    /// length is read meanwhile.
    pub async fn read_ahead_until_closed_in_body(&mut self) {
        while self.buffer.len() < MAX_HEAD_BYTES {
            if self.fill().await.is_err() {
                return;
            }
        }
        self.peer_closed().await;
    }

    /// Waits until the other side has ended the connection, whatever of it is unread. What is unread makes the socket
    /// readable all the time, so the end is looked for now and then.
    pub async fn peer_closed(&self) {
        let probe = self.peer_probe();
        while !probe.has_closed() {
            Timer::after(END_LOOK).await;
        }
    }

    /// Takes what has come without waiting; whether anything has.
    pub fn has_input(&mut self) -> bool {
        loop {
            if !self.buffer.is_empty() {
                return true;
            }
            match self.read() {
                Err(error) if classify(SocketCall::Transfer, &error) == SocketFailure::Interrupted => {}
                Ok(0) | Err(_) => return false,
                Ok(_) => {}
            }
        }
    }

    /// Whether something has come, or the other side has ended the connection, while it stood idle.
    pub fn has_unsolicited_input(&self) -> bool {
        if !self.buffer.is_empty() {
            return true;
        }
        loop {
            match self.stream().peek(&mut [0]) {
                Ok(_) => return true,
                Err(error) => match classify(SocketCall::Transfer, &error) {
                    SocketFailure::Interrupted => {}
                    // Nothing has come, or nothing can be told of it.
                    SocketFailure::NotReady | SocketFailure::Shortage => return false,
                    SocketFailure::DescriptorLimit | SocketFailure::Connection => return true,
                },
            }
        }
    }

    /// Writes all of it.
    pub async fn write(&mut self, bytes: &[u8]) -> Result<(), WireError> {
        let mut rest = bytes;
        while !rest.is_empty() {
            match self.stream().write(rest) {
                Ok(0) => return Err(WireError::Broken),
                Ok(written) => rest = &rest[written..],
                Err(error) => self.again(&error, Direction::Write).await?,
            }
        }
        Ok(())
    }

    /// Ends the sending, and takes some of what still comes, about `most` bytes, so that the last answer is not lost to
    /// a reset.
    pub async fn drain_input(&mut self, most: usize) {
        if self.end_sending().await.is_ok() {
            let mut taken = 0;
            while taken < most {
                taken += std::mem::take(&mut self.buffer).len();
                if self.fill().await.is_err() {
                    return;
                }
                // One that sends at full speed must not keep the others waiting.
                yield_now().await;
            }
        }
    }

    async fn end_sending(&self) -> Result<(), WireError> {
        while let Err(error) = self.stream().shutdown(std::net::Shutdown::Write) {
            self.again(&error, Direction::Write).await?;
        }
        Ok(())
    }

    /// Reads a head.
    pub async fn read_head(&mut self, parse: fn(&[u8]) -> Parsed) -> Result<Head, WireError> {
        loop {
            if let Some((head, used)) = parse(&self.buffer)? {
                self.buffer.drain(..used);
                return Ok(head);
            }
            self.fill().await?;
        }
    }

    /// Takes more of a body into `out`; false once it is complete.
    pub async fn read_body_chunk(&mut self, body: &mut Body, out: &mut Vec<u8>) -> Result<bool, WireError> {
        loop {
            let before = out.len();
            let used = body.decode(&self.buffer, out)?;
            self.buffer.drain(..used);
            if out.len() > before {
                return Ok(true);
            }
            if *body == Body::Done {
                return Ok(false);
            }
            match self.fill_body().await {
                Err(WireError::Closed) if *body == Body::UntilClosed => *body = Body::Done,
                filled => filled?,
            }
            // One that sends without a pause what holds nothing must not keep the others waiting.
            yield_now().await;
        }
    }

    /// Reads a whole body, up to the protocol's bound.
    pub async fn read_body(&mut self, mut body: Body) -> Result<Vec<u8>, WireError> {
        if matches!(body, Body::Length(n) if n > MAX_BODY_BYTES) {
            return Err(WireError::BodyTooLarge);
        }
        let mut out = Vec::new();
        while self.read_body_chunk(&mut body, &mut out).await? {
            if out.len() > MAX_BODY_BYTES {
                return Err(WireError::BodyTooLarge);
            }
        }
        self.finish_exchange();
        Ok(out)
    }

    /// A message is over: one that was large must not leave its link with a large buffer for good.
    pub fn finish_exchange(&mut self) {
        self.buffer.shrink_to(MAX_HEAD_BYTES);
    }
}
