//! The sockets of the operators' address.

use crate::call::{Asked, Incoming, Unread};
use crate::desk::Desk;
use crate::places::gives_way;
use async_executor::Task;
use async_io::{Async, Timer};
use futures_lite::future::yield_now;
use sorrelhaven_engine::Tasks;
use sorrelhaven_wire::{
    Connection, SocketCall, SocketFailure, WireError, classify, shortage_pause, timeout_at,
};
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{debug, warn};

/// A line must be whole so long after its caller came.
const WHOLE: Duration = Duration::from_secs(5);
/// A caller must have taken its answer within this.
const TAKEN: Duration = Duration::from_secs(1);
/// How long a caller that was answered is read on, so that it sees the answer and not a reset.
const LINGER: Duration = Duration::from_millis(500);
/// The most that is still taken from one that was answered, in bytes.
const LINGER_MOST: usize = 64 * 1024;

/// Listens where the operators call.
///
/// # Errors
/// Those of binding the address.
pub fn listen(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    Async::<TcpListener>::bind(address)
}

/// A caller that is held.
struct Held {
    came: Instant,
    talk: Task<()>,
}

/// Answers callers, for ever. To be run as an urgent task: what it does takes a moment, and is owed within 1 s.
pub async fn serve(desk: Rc<Desk>, tasks: Rc<Tasks>, listener: Async<TcpListener>) {
    let mut held: VecDeque<Held> = VecDeque::new();
    loop {
        let stream = match listener.get_ref().accept() {
            Ok((stream, _)) => stream,
            Err(error) => {
                wait_after(&error, &listener).await;
                continue;
            }
        };
        held.retain(|h| !h.talk.is_finished());
        while let Some(at) = gives_way(held.iter().map(|h| h.came)) {
            Timer::at(at).await;
            held.retain(|h| !h.talk.is_finished());
            if gives_way(held.iter().map(|h| h.came)).is_some() {
                held.pop_front();
            }
        }
        let desk = desk.clone();
        let talk = tasks.hold_urgent(async move { talk(&desk, stream).await });
        held.push_back(Held { came: Instant::now(), talk });
        // Whoever has sent its line is answered before the next one is looked at.
        yield_now().await;
    }
}

/// Waits until an accept that failed so is worth another.
async fn wait_after(error: &io::Error, listener: &Async<TcpListener>) {
    match classify(SocketCall::Accept, error) {
        SocketFailure::NotReady => {
            let _ = listener.readable().await;
        }
        SocketFailure::Interrupted | SocketFailure::Connection => yield_now().await,
        SocketFailure::DescriptorLimit | SocketFailure::Shortage => {
            warn!(%error, "admin accept failed");
            shortage_pause().await;
        }
    }
}

/// One caller, from its accept to its end.
async fn talk(desk: &Desk, stream: TcpStream) {
    let Ok(mut link) = Connection::accepted(stream).await else { return };
    let line = timeout_at(Instant::now() + WHOLE, line(&mut link)).await;
    let Some(line) = line.unwrap_or(Some(Err(Unread::TooSlow))) else { return };
    debug!(?line, "admin command");
    let answer = desk.answer(line, Instant::now());
    if timeout_at(Instant::now() + TAKEN, link.write(answer.as_bytes())).await == Some(Ok(())) {
        _ = timeout_at(Instant::now() + LINGER, link.drain_input(LINGER_MOST)).await;
    }
}

/// The line; `None` where the caller has gone.
async fn line(link: &mut Connection) -> Option<Result<Asked, Unread>> {
    let mut incoming = Incoming::default();
    loop {
        match link.fill().await {
            Err(WireError::Closed) => return incoming.end(),
            Err(_) => return None,
            Ok(()) => {
                if let Some(line) = incoming.push(&link.take_buffered()) {
                    return Some(line);
                }
            }
        }
    }
}
