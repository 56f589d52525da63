//! A connection with what has come on it, every buffer bounded.

use crate::body::Body;
use crate::fault::Fault;
use crate::head::{HEAD_MOST, Head, Parsed};
use async_io::{Async, Timer};
use futures_lite::AsyncWriteExt;
use futures_lite::future::yield_now;
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::cell::RefCell;
use std::io::{self, Read};
use std::net::TcpStream;
use std::time::Duration;

/// The most a body may hold, by the protocol, in bytes.
pub const BODY_MOST: usize = 64 * 1024;
/// How often a connection on which more has come than is read is looked at for its end. A client that leaves while its
/// request waits must be known to have left in less than 0.3 s.
const END_LOOK: Duration = Duration::from_millis(100);
/// What is taken of a body at once, in bytes.
const BODY_PIECE: usize = 64 * 1024;

thread_local! {
    /// What reads of bodies are made into: one for all links, for none reads while another does.
    static SCRATCH: RefCell<Vec<u8>> = const { RefCell::new(Vec::new()) };
}

/// A connection and what has come on it and was not used yet.
pub struct Link {
    stream: Async<TcpStream>,
    buffer: Vec<u8>,
}

impl Link {
    /// Small messages must not wait for more to go with them: Nagle is off.
    pub fn new(stream: Async<TcpStream>) -> io::Result<Link> {
        stream.get_ref().set_nodelay(true)?;
        Ok(Link { stream, buffer: Vec::new() })
    }

    /// Bytes that have come and were not used.
    pub fn pending(&self) -> usize {
        self.buffer.len()
    }

    /// Waits for more bytes. Nothing is lost if the wait is dropped.
    pub async fn fill(&mut self) -> Result<(), Fault> {
        self.fill_by(Link::read).await
    }

    /// Waits for more bytes of a body, and takes more of them at once.
    async fn fill_body(&mut self) -> Result<(), Fault> {
        self.fill_by(|link| SCRATCH.with_borrow_mut(|scratch| link.read_into(scratch))).await
    }

    async fn fill_by(&mut self, read: impl Fn(&mut Link) -> io::Result<usize>) -> Result<(), Fault> {
        loop {
            match read(self) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    self.stream.readable().await.map_err(|_| Fault::Broken)?;
                }
                Err(_) => return Err(Fault::Broken),
                Ok(0) => return Err(Fault::Closed),
                Ok(_) => return Ok(()),
            }
        }
    }

    fn read_into(&mut self, scratch: &mut Vec<u8>) -> io::Result<usize> {
        scratch.resize(BODY_PIECE, 0);
        let n = self.stream.get_ref().read(scratch)?;
        self.buffer.extend_from_slice(&scratch[..n]);
        Ok(n)
    }

    /// Takes what has come. Not in `fill`, where the piece would be part of every waiting task.
    fn read(&mut self) -> io::Result<usize> {
        let mut piece = [0; 8 * 1024];
        let n = self.stream.get_ref().read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..n]);
        Ok(n)
    }

    /// Waits until the other side has ended the connection; reads no further than one head ahead.
    pub async fn ended(&mut self) {
        while self.buffer.len() < HEAD_MOST {
            if self.fill().await.is_err() {
                return;
            }
        }
        self.hung_up().await;
    }

    /// Waits until the other side has ended the connection, whatever of it is unread. What is unread makes the socket
    /// readable all the time, so the end is looked for now and then.
    pub async fn hung_up(&self) {
        while !self.is_hung_up() {
            Timer::after(END_LOOK).await;
        }
    }

    fn is_hung_up(&self) -> bool {
        let mut ends = [PollFd::new(self.stream.get_ref(), PollFlags::RDHUP)];
        poll(&mut ends, Some(&Timespec { tv_sec: 0, tv_nsec: 0 })).is_ok_and(|n| n > 0)
    }

    /// Whether something has come, or the other side has ended the connection, while it stood idle.
    pub fn disturbed(&self) -> bool {
        let quiet = |e: &io::Error| e.kind() == io::ErrorKind::WouldBlock;
        !self.buffer.is_empty() || !self.stream.get_ref().peek(&mut [0]).is_err_and(|e| quiet(&e))
    }

    /// Writes all of it.
    pub async fn write(&mut self, bytes: &[u8]) -> Result<(), Fault> {
        self.stream.write_all(bytes).await.map_err(|_| Fault::Broken)
    }

    /// Ends the sending, and takes some of what still comes, about `most` bytes, so that the last answer is not lost to
    /// a reset.
    pub async fn linger(&mut self, most: usize) {
        if self.stream.get_ref().shutdown(std::net::Shutdown::Write).is_ok() {
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

    /// Reads a head.
    pub async fn head(&mut self, parse: fn(&[u8]) -> Parsed) -> Result<Head, Fault> {
        loop {
            if let Some((head, used)) = parse(&self.buffer)? {
                self.buffer.drain(..used);
                return Ok(head);
            }
            self.fill().await?;
        }
    }

    /// Takes more of a body into `out`; false once it is complete.
    pub async fn more(&mut self, body: &mut Body, out: &mut Vec<u8>) -> Result<bool, Fault> {
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
                Err(Fault::Closed) if *body == Body::UntilClosed => *body = Body::Done,
                filled => filled?,
            }
            // One that sends without a pause what holds nothing must not keep the others waiting.
            yield_now().await;
        }
    }

    /// Reads a whole body, up to the protocol's bound.
    pub async fn whole(&mut self, mut body: Body) -> Result<Vec<u8>, Fault> {
        if matches!(body, Body::Length(n) if n > BODY_MOST) {
            return Err(Fault::BodyTooLarge);
        }
        let mut out = Vec::new();
        while self.more(&mut body, &mut out).await? {
            if out.len() > BODY_MOST {
                return Err(Fault::BodyTooLarge);
            }
        }
        self.settle();
        Ok(out)
    }

    /// A message is over: one that was large must not leave its link with a large buffer for good.
    pub fn settle(&mut self) {
        self.buffer.shrink_to(HEAD_MOST);
    }
}
