//! The host group: discovery's list of executors, and the watch on it.

use crate::counters::Counters;
use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::future::or;
use sorrelhaven_config::{Error, HostList, Names};
use sorrelhaven_wire::{Came, Fault, Head, Link, Objects, Start, by};
use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use stepusher::{Entry, WorkerId};
use tracing::{info, warn};

/// The most that one list may hold, white space not counted: 1 KiB an entry for 4,096 executors.
const LIST_MOST: usize = 4 * 1024 * 1024;
/// A watch says something every 2 s; one that does not is taken to be broken.
const SILENCE: Duration = Duration::from_secs(3);
/// The longest pause before a broken watch is asked for again doubles from the first to the last.
const PAUSES: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(16)];
/// The least bound after a refusal: discovery is overrun, and each ask more holds up those that wait.
const REFUSED: Duration = Duration::from_secs(4);

/// Numbers and addresses of all executors ever named.
pub struct HostGroup {
    names: Names,
    known: RefCell<Known>,
}

#[derive(Default)]
struct Known {
    numbers: HashMap<String, WorkerId>,
    addresses: Vec<Option<SocketAddr>>,
}

/// The pauses between asks for the watch: full jitter, each anywhere between nothing and a bound that doubles.
///
/// Nodes that are killed together start together. If they also paused alike they would all ask in the same moment
/// for ever, and discovery, which answers a part of them, would turn the same rest away each time.
pub struct Backoff {
    rng: fastrand::Rng,
    most: Duration,
}

impl Backoff {
    /// Begins with the shortest bound; equal seeds give equal pauses.
    pub fn new(seed: u64) -> Backoff {
        Backoff { rng: fastrand::Rng::with_seed(seed), most: PAUSES[0] }
    }

    /// The next pause, 16 s at most; longer where discovery refused to answer.
    pub fn pause(&mut self, refused: bool) -> Duration {
        if refused {
            self.most = self.most.max(REFUSED);
        }
        let pause = self.most.mul_f64(self.rng.f64());
        self.most = (2 * self.most).min(PAUSES[1]);
        pause
    }

    /// Begins again with the shortest bound, since a watch has lasted or another agent is asked.
    pub fn reset(&mut self) {
        self.most = PAUSES[0];
    }
}

/// How one watch ended.
enum WatchEnd {
    Unreachable,
    Silent,
    Refused(u16),
    Unreadable(Fault),
    Malformed(Error),
}

impl fmt::Display for WatchEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WatchEnd::Unreachable => f.write_str("it could not be reached"),
            WatchEnd::Silent => f.write_str("it fell silent"),
            WatchEnd::Refused(status) => write!(f, "it answered {status}"),
            WatchEnd::Unreadable(Fault::BodyTooLarge) => write!(f, "a list of more than {LIST_MOST} bytes"),
            WatchEnd::Unreadable(Fault::Malformed) => {
                f.write_str("a list that is no JSON object, or was torn")
            }
            WatchEnd::Unreadable(fault) => write!(f, "it could not be read: {fault:?}"),
            WatchEnd::Malformed(error) => write!(f, "a malformed list: {error}"),
        }
    }
}

impl HostGroup {
    /// Knows no executor yet.
    pub fn new(names: Names) -> HostGroup {
        HostGroup { names, known: RefCell::default() }
    }

    /// Where an executor listens.
    pub fn address(&self, worker: WorkerId) -> Option<SocketAddr> {
        self.known.borrow().addresses.get(worker.0 as usize).copied().flatten()
    }

    /// Takes in a list and gives its entries as the module takes them. An entry that does not read is
    /// passed over: one odd host must not hide what the list says of the others.
    pub fn learn(&self, list: &HostList) -> Vec<Entry> {
        let known = &mut *self.known.borrow_mut();
        let mut entries = Vec::new();
        for host in &list.hosts {
            let next = WorkerId(known.addresses.len() as u32);
            match host.entry(known.numbers.get(&host.host).copied().unwrap_or(next), &self.names) {
                Ok(entry) => {
                    if entry.worker == next {
                        known.numbers.insert(host.host.clone(), next);
                        known.addresses.push(None);
                    }
                    if host.dial.is_some() {
                        known.addresses[entry.worker.0 as usize] = host.dial;
                    }
                    entries.push(entry);
                }
                Err(error) => warn!(host = host.host, %error, "an entry that does not read"),
            }
        }
        entries
    }
}

/// Watches the list for ever, at the agent that `moved` named last; each piece goes to `tell`. The old list stays
/// in force while the watch is broken, and after a move until the new agent speaks.
pub async fn watch(
    counters: &Counters,
    mut discovery: SocketAddr,
    seq: u64,
    moved: Receiver<SocketAddr>,
    mut backoff: Backoff,
    tell: impl Fn(&HostList),
) {
    let mut after = Some(seq);
    loop {
        let begun = Instant::now();
        let watch = async {
            let end = match one_watch(discovery, &mut after, &tell).await {
                Ok(never) => match never {},
                Err(end) => end,
            };
            counters.watches_broken.add();
            warn!(%end, "the watch on the host group ended");
            if matches!(end, WatchEnd::Malformed(_) | WatchEnd::Unreadable(Fault::Malformed)) {
                after = None;
            }
            if begun.elapsed() > 2 * SILENCE {
                backoff.reset();
            }
            Timer::after(backoff.pause(matches!(end, WatchEnd::Refused(_)))).await;
            None
        };
        let to = async {
            match moved.recv().await {
                Ok(address) => Some(address),
                Err(_) => std::future::pending().await,
            }
        };
        if let Some(address) = or(to, watch).await {
            // Another agent may count its versions in another way: its whole list is asked for.
            info!(%address, "the watch on the host group moves");
            (discovery, after) = (address, None);
            backoff.reset();
        }
    }
}

/// One watch, from its connection to its end. Without a version to go on from, it fetches the list first.
async fn one_watch(
    discovery: SocketAddr,
    after: &mut Option<u64>,
    tell: &impl Fn(&HostList),
) -> Result<std::convert::Infallible, WatchEnd> {
    let mut link = by(Instant::now() + SILENCE, connect(discovery))
        .await
        .ok_or(WatchEnd::Silent)?
        .map_err(|_| WatchEnd::Unreachable)?;
    loop {
        let query = after.map_or(String::new(), |seq| format!("?watch=1&after={seq}"));
        let request = format!("GET /registry/instances{query} HTTP/1.1\r\nHost: {discovery}\r\n\r\n");
        let begin = async {
            link.write(request.as_bytes()).await?;
            let head = link.head(Head::answer).await?;
            Ok((head.start.clone(), Objects::new(head.body()?, LIST_MOST)))
        };
        let begun = by(Instant::now() + SILENCE, begin).await.ok_or(WatchEnd::Silent)?;
        let (start, mut lists) = begun.map_err(WatchEnd::Unreadable)?;
        if let Start::Answer { status } = start
            && status != 200
        {
            return Err(WatchEnd::Refused(status));
        }
        loop {
            let next = by(Instant::now() + SILENCE, lists.next(&mut link)).await.ok_or(WatchEnd::Silent)?;
            match next.map_err(WatchEnd::Unreadable)? {
                // The fetched list is complete, and a watch goes on from it; a watch itself has no end.
                Came::End if query.is_empty() && after.is_some() => break,
                Came::End => return Err(WatchEnd::Unreadable(Fault::Closed)),
                Came::Part => {}
                Came::Object(text) => {
                    let list = HostList::read(&text).map_err(WatchEnd::Malformed)?;
                    info!(seq = list.seq, whole = list.whole, hosts = list.hosts.len(), "host group");
                    tell(&list);
                    *after = Some(list.seq);
                }
            }
        }
    }
}

async fn connect(discovery: SocketAddr) -> std::io::Result<Link> {
    Link::new(Async::<TcpStream>::connect(discovery).await?)
}
