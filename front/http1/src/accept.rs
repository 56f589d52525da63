//! The listener: accepts client links, and has old ones give way where descriptors run short.

use crate::front::Front;
use crate::link::client_link;
use async_io::Async;
use futures_lite::future::{or, yield_now};
use sorrelhaven_engine::Permit;
use sorrelhaven_wire::{Link, by};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::warn;

/// The longest pause of the accept loop when there is no descriptor for another link.
const FULL_PAUSE: Duration = Duration::from_millis(10);
/// Connections that may wait for their accept: a burst of hundreds must not make a usual client's be dropped,
/// for it would be sent again only a second later.
const BACKLOG: i32 = 1024;

/// Listens where clients connect.
pub fn listen(address: SocketAddr) -> io::Result<Async<TcpListener>> {
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
        let mut refused = false;
        loop {
            let Some(permit) = room(&front) else {
                give_way(&front).await;
                continue;
            };
            match listener.accept().await {
                Ok((stream, _)) => {
                    refused = false;
                    begin(&front, stream, permit);
                    // A flood of connections must not keep the others waiting.
                    yield_now().await;
                }
                Err(error) => {
                    // Too many descriptors, or a connection that ended in the queue: neither ends the loop.
                    drop(permit);
                    if !std::mem::replace(&mut refused, true) {
                        warn!(%error, "cannot accept");
                    }
                    give_way(&front).await;
                }
            }
        }
    };
    or(forever, stop).await;
    while queue == Queue::Own
        && let Ok((stream, _)) = listener.get_ref().accept()
        && let Some(permit) = front.links().permit()
        && let Ok(stream) = Async::new(stream)
    {
        begin(&front, stream, permit);
    }
}

/// A descriptor for one more client link.
fn room(front: &Front) -> Option<Permit> {
    let room = front.client_links.get() < front.links().descriptors.clients_most();
    if room { front.links().permit() } else { None }
}

/// Has one client link closed: the oldest that has carried no request, or else the one that has stood idle for
/// the longest. Usual clients must not lose their links to silent ones.
async fn give_way(front: &Front) {
    let freed = front.link_freed.listen();
    if front.close_silent.notify_additional(1) == 0 {
        front.close_idle.notify_additional(1);
    }
    by(Instant::now() + FULL_PAUSE, freed).await;
}

fn begin(front: &Rc<Front>, stream: Async<TcpStream>, permit: Permit) {
    front.counters.client_links.add();
    front.client_links.set(front.client_links.get() + 1);
    let at = front.clone();
    front.engine.tasks.spawn(async move {
        if let Ok(mut link) = Link::new(stream) {
            client_link(&at, &mut link).await;
        }
        drop(permit);
        at.client_links.set(at.client_links.get() - 1);
        at.link_freed.notify(1);
    });
}
