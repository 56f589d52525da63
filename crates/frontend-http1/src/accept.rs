//! The listener: accepts client links, and has old ones give way where descriptors run short.

use crate::connection::client_link;
use crate::front::Front;
use async_io::Async;
use futures_lite::future::{or, yield_now};
use sorrelhaven_engine::Permit;
use sorrelhaven_wire::{Connection, SocketCall, SocketFailure, classify, shortage_pause, timeout_at};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::warn;

/// The longest pause of the accept loop when there is no descriptor for another link.
const FULL_PAUSE: Duration = Duration::from_millis(10);
/// How long a node that starts tries to listen where the machine is short of something, and the pause between two tries.
const LISTEN_MOST: Duration = Duration::from_secs(3);
const LISTEN_PAUSE: Duration = Duration::from_millis(10);
/// The longest that a node which ends takes to accept what waits in its own queue.
const EMPTYING_MOST: Duration = Duration::from_millis(500);
/// Connections that may wait for their accept: a burst of hundreds must not make a usual client's be dropped,
/// for it would be sent again only a second later.
const BACKLOG: i32 = 1024;

/// Listens where clients connect. A shortage of the machine is waited out for [`LISTEN_MOST`]: a node must not refuse to
/// start for a moment's want of memory.
pub fn listen(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    let until = Instant::now() + LISTEN_MOST;
    loop {
        match listen_once(address) {
            Err(error) if Instant::now() < until => match classify(SocketCall::Listen, &error) {
                SocketFailure::Interrupted => {}
                // Nothing else runs yet.
                SocketFailure::Shortage => std::thread::sleep(LISTEN_PAUSE),
                SocketFailure::NotReady | SocketFailure::DescriptorLimit | SocketFailure::Connection => {
                    return Err(error);
                }
            },
            listening => return listening,
        }
    }
}

fn listen_once(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    let listener = Async::<TcpListener>::bind(address)?;
    rustix::net::listen(&listener, BACKLOG)?;
    Ok(listener)
}

/// Whose listener it is, and so what becomes of its queue when this node accepts no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Queue {
    /// This process's alone: what waits in it would be refused, so it is taken.
    Own,
    /// Shared with another process, which takes what waits.
    Shared,
}

/// Accepts client links until `stop` and then, where the queue is its own, what still waits in that.
pub async fn accept(
    front: Rc<Front>,
    listener: Async<TcpListener>,
    queue: Queue,
    stop: impl Future<Output = ()>,
) {
    let forever = async {
        loop {
            let permit = permit(&front).await;
            if accept_one(&front, &listener, permit).await.is_break() {
                let _ = listener.readable().await;
            }
            // A flood of connections must not keep the others waiting.
            yield_now().await;
        }
    };
    or(forever, stop).await;
    if queue == Queue::Own {
        let emptied =
            async { while accept_one(&front, &listener, permit(&front).await).await.is_continue() {} };
        if timeout_at(Instant::now() + EMPTYING_MOST, emptied).await.is_none() {
            warn!("shutdown left connections in the accept queue");
        }
    }
}

/// Accepts one connection, or waits until a call that failed may be made again. `Break` where none waits.
async fn accept_one(front: &Rc<Front>, listener: &Async<TcpListener>, permit: Permit) -> ControlFlow<()> {
    let error = match listener.get_ref().accept() {
        Ok((stream, _)) => {
            front.accept_failing.set(false);
            begin(front, stream, permit);
            return ControlFlow::Continue(());
        }
        Err(error) => error,
    };
    drop(permit);
    if classify(SocketCall::Accept, &error) == SocketFailure::NotReady {
        return ControlFlow::Break(());
    }
    front.counters.accepts_failed.add();
    // The same trouble again and again is told once.
    if !front.accept_failing.replace(true) {
        warn!(%error, "accept failed, retrying");
    }
    match classify(SocketCall::Accept, &error) {
        // Of the connection that was to be accepted, not of the listener: the next one may be well.
        SocketFailure::NotReady | SocketFailure::Interrupted | SocketFailure::Connection => {}
        // The machine's want, not this process's: no other connection need go for it.
        SocketFailure::Shortage => shortage_pause().await,
        SocketFailure::DescriptorLimit => give_way(front).await,
    }
    ControlFlow::Continue(())
}

/// A descriptor for one more client link; where there is none, one that carries nothing gives way.
async fn permit(front: &Front) -> Permit {
    loop {
        match room(front) {
            Some(permit) => return permit,
            None => give_way(front).await,
        }
    }
}

/// A descriptor for one more client link.
fn room(front: &Front) -> Option<Permit> {
    let room = front.client_links.get() < front.links().descriptors.max_downstream();
    if room { front.links().acquire_descriptor() } else { None }
}

/// Has one client link closed: the oldest that has carried no request, or else the one that has stood idle for
/// the longest. Usual clients must not lose their links to silent ones.
async fn give_way(front: &Front) {
    let freed = front.link_freed.listen();
    if front.close_silent.notify_additional(1) == 0 {
        front.close_idle.notify_additional(1);
    }
    timeout_at(Instant::now() + FULL_PAUSE, freed).await;
}

fn begin(front: &Rc<Front>, stream: TcpStream, permit: Permit) {
    front.counters.client_links.add();
    front.client_links.set(front.client_links.get() + 1);
    let at = front.clone();
    front.engine.tasks.spawn(async move {
        match Connection::accepted(stream).await {
            Ok(mut link) => client_link(&at, &mut link).await,
            Err(error) => {
                at.counters.accepts_failed.add();
                warn!(%error, "accepted connection could not be registered");
            }
        }
        drop(permit);
        at.client_links.set(at.client_links.get() - 1);
        at.link_freed.notify(1);
    });
}
