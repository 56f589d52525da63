//! The host group: discovery's list of executors, and the watch on it.

use crate::clock::length;
use crate::counters::Counters;
use crate::start_times::StartTimes;
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::FutureExt;
use futures_lite::future::{or, poll_fn, yield_now};
use sorrelhaven_config::{DiscoveryList, Error, SettingNames};
use sorrelhaven_dispatcher::{Lifecycle, Micros, WorkerEntry, WorkerId};
use sorrelhaven_wire::{
    Connection, Head, JsonObjectEvent, JsonObjectReader, StartLine, WireError, timeout_at,
};
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::net::SocketAddr;
use std::task::Poll;
use std::time::{Duration, Instant};
use tracing::{debug, info, warn};

/// The most that one list may hold, white space not counted: 1 KiB an entry for 4,096 executors.
const LIST_MOST: usize = 4 * 1024 * 1024;
/// A watch says something every 2 s; one that does not is taken to be broken.
const SILENCE: Duration = Duration::from_secs(3);
/// A list that has begun has to be whole in this time: one that trickles keeps from the node what it would tell, and what
/// a node misses counts as told 6 s after the watch has broken.
const WHOLE: Duration = Duration::from_secs(6);
/// The longest pause before a broken watch is asked for again doubles from the first to the last.
const PAUSES: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(16)];
/// The least bound after a refusal: discovery is overrun, and each ask more holds up those that wait.
const REFUSED: Duration = Duration::from_secs(4);
/// Where lists are pushed, the agent on the node's own machine answers at once and at no cost, and what it has counts
/// as told. One that is silent may speak again at any moment, and then tell of a drain of which the grace runs already:
/// it is asked anew each time between these shares of that has passed...
const ANEW: [f64; 2] = [0.2, 0.4];
/// ...where the grace counts as no less and no more than these...
const GRACES: [Duration; 2] = [Duration::from_millis(200), Duration::from_secs(2)];
/// ...with so many asks out at most. An older one may still be the one that is answered.
const ASKS_MOST: usize = 4;

/// How the list comes to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// To an agent on its own machine, without being asked for.
    Pushed,
    /// From a service that all nodes share; an ask costs something there.
    Asked,
}

/// Numbers and addresses of all executors ever named.
pub struct WorkerRegistry {
    names: SettingNames,
    known: RefCell<Known>,
}

#[derive(Default)]
struct Known {
    births: StartTimes,
    numbers: HashMap<String, WorkerId>,
    addresses: Vec<Option<SocketAddr>>,
    takes: Vec<bool>,
    draining: Vec<Option<Instant>>,
}

impl Known {
    /// The list says whether an executor takes new work.
    fn set_takes(&mut self, place: usize, takes: bool) {
        self.takes[place] = takes;
        let since = self.draining[place].unwrap_or_else(Instant::now);
        self.draining[place] = (!takes).then_some(since);
    }
}

/// The pauses between asks for the watch: full jitter, each anywhere between nothing and a bound that doubles where the
/// list is asked for.
///
/// Nodes that are killed together start together. If they also paused alike they would all ask in the same moment
/// for ever, and discovery, which answers a part of them, would turn the same rest away each time.
#[derive(Clone)]
pub struct Backoff {
    rng: fastrand::Rng,
    most: Duration,
    longest: Duration,
    grace: Duration,
}

impl Backoff {
    /// Begins with the shortest bound; equal seeds give equal pauses. A drain is to be kept within `grace`. What stood in
    /// the list `ask_within` ago counts as told, four times as long after a call that failed: half of that may be spent
    /// on a pause, the rest is for the call.
    pub fn new(seed: u64, grace: Micros, ask_within: Micros) -> Backoff {
        let grace = length(grace).clamp(GRACES[0], GRACES[1]);
        let longest = length(ask_within).saturating_mul(2).clamp(PAUSES[0], PAUSES[1]);
        Backoff { rng: fastrand::Rng::with_seed(seed), most: PAUSES[0], longest, grace }
    }

    /// The next pause, 16 s at most, and less where the settings want the list sooner; longer where discovery refused to
    /// answer.
    pub fn pause(&mut self, refused: bool) -> Duration {
        if refused {
            self.most = self.most.max(REFUSED).min(self.longest);
        }
        let pause = self.most.mul_f64(self.rng.f64());
        self.most = (2 * self.most).min(self.longest);
        pause
    }

    /// The next pause before an agent on the node's own machine is asked anew, 0.8 s at most; no two nodes in step.
    pub fn anew(&mut self) -> Duration {
        self.grace.mul_f64(ANEW[0] + (ANEW[1] - ANEW[0]) * self.rng.f64())
    }

    /// Begins again with the shortest bound, since a watch has lasted or another agent is asked.
    pub fn reset(&mut self) {
        self.most = PAUSES[0];
    }
}

/// How one watch ended.
enum WatchEnd {
    Unreachable,
    /// No answer has begun.
    Unanswered,
    /// It has spoken, and says nothing any more, or no list that ends.
    Silent,
    Refused(u16),
    Unreadable(WireError),
    Malformed(Error),
}

impl fmt::Display for WatchEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WatchEnd::Unreachable => f.write_str("it could not be reached"),
            WatchEnd::Unanswered => f.write_str("it did not answer"),
            WatchEnd::Silent => f.write_str("it fell silent"),
            WatchEnd::Refused(status) => write!(f, "it answered {status}"),
            WatchEnd::Unreadable(WireError::BodyTooLarge) => {
                write!(f, "a list of more than {LIST_MOST} bytes")
            }
            WatchEnd::Unreadable(WireError::Malformed) => {
                f.write_str("a list that is no JSON object, or was torn")
            }
            WatchEnd::Unreadable(fault) => write!(f, "it could not be read: {fault:?}"),
            WatchEnd::Malformed(error) => write!(f, "a malformed list: {error}"),
        }
    }
}

impl WorkerRegistry {
    /// Knows no executor yet.
    pub fn new(names: SettingNames) -> WorkerRegistry {
        WorkerRegistry { names, known: RefCell::default() }
    }

    /// Where an executor listens.
    pub fn address(&self, worker: WorkerId) -> Option<SocketAddr> {
        self.known.borrow().addresses.get(worker.0 as usize).copied().flatten()
    }

    /// Whether the list says that an executor takes new work.
    pub fn accepts_work(&self, worker: WorkerId) -> bool {
        self.known.borrow().takes.get(worker.0 as usize).is_some_and(|takes| *takes)
    }

    /// Since when the list says that an executor takes no new work; `None` for one that does.
    pub fn draining_since(&self, worker: WorkerId) -> Option<Instant> {
        self.known.borrow().draining.get(worker.0 as usize).copied().flatten()
    }

    /// Takes in a list, read at `now`, and gives its entries as the module takes them. An entry that does not read is
    /// passed over: one odd host must not hide what the list says of the others.
    pub fn apply(&self, list: &DiscoveryList, now: Micros) -> Vec<WorkerEntry> {
        let known = &mut *self.known.borrow_mut();
        known.births.begin_list(list.hosts.iter().map(|host| host.started_ms.saturating_mul(1_000)), now);
        let mut entries = Vec::new();
        let mut listed = vec![false; known.takes.len()];
        for host in &list.hosts {
            let next = WorkerId(known.addresses.len() as u32);
            match host.entry(known.numbers.get(&host.host).copied().unwrap_or(next), &self.names) {
                Ok(mut entry) => {
                    entry.started_at = known.births.started_at(entry.worker, entry.started_at, now);
                    if entry.worker == next {
                        known.numbers.insert(host.host.clone(), next);
                        known.addresses.push(None);
                        known.takes.push(false);
                        known.draining.push(None);
                        listed.push(false);
                    }
                    if host.dial.is_some() {
                        known.addresses[entry.worker.0 as usize] = host.dial;
                    }
                    listed[entry.worker.0 as usize] = true;
                    known.set_takes(entry.worker.0 as usize, entry.lifecycle == Lifecycle::Ready);
                    entries.push(entry);
                }
                Err(error) => warn!(host = host.host, %error, "worker list entry ignored"),
            }
        }
        known.births.end_list(now);
        if list.complete {
            for place in (0..listed.len()).filter(|place| !listed[*place]) {
                known.set_takes(place, false);
            }
        }
        entries
    }
}

/// What a watch has beside its agent's address.
pub struct Watch<'a> {
    /// The counters.
    pub counters: &'a Counters,
    /// How the list comes to this node.
    pub source: Source,
    /// The pauses.
    pub backoff: Backoff,
}

/// Watches the list for ever, at the agent that `moved` named last; each piece goes to `tell`. The old list stays
/// in force while the watch is broken, and after a move until the new agent speaks.
pub async fn watch(
    mut watch: Watch<'_>,
    mut discovery: SocketAddr,
    seq: u64,
    moved: Receiver<SocketAddr>,
    tell: impl Fn(&DiscoveryList),
) {
    let mut after = Some(seq);
    let mut said = String::new();
    loop {
        let begun = Instant::now();
        let one = async {
            let end = match watch.one(discovery, &mut after, &tell).await {
                Ok(never) => match never {},
                Err(end) => end,
            };
            watch.counters.discovery_watches_failed.add();
            if begun.elapsed() > 2 * SILENCE {
                watch.backoff.reset();
                said.clear();
            }
            // The same fault again and again is told once.
            let text = end.to_string();
            if std::mem::replace(&mut said, text.clone()) == text {
                debug!(end = text, "discovery watch failed again");
            } else {
                warn!(end = text, "discovery watch failed");
            }
            if matches!(end, WatchEnd::Malformed(_) | WatchEnd::Unreadable(WireError::Malformed)) {
                after = None;
            }
            let pause = match (watch.source, &end) {
                // Opened anew at once: the asks are spread by themselves.
                (Source::Pushed, WatchEnd::Silent | WatchEnd::Unanswered) => Duration::ZERO,
                // What it misses counts as told 6 s after it fell silent, half of which have passed: it must not pay for
                // asks that failed before it spoke.
                (Source::Asked, WatchEnd::Silent) => {
                    watch.backoff.reset();
                    watch.backoff.pause(false)
                }
                // The agent starts anew, or its machine does, and may go on at any moment.
                (
                    Source::Pushed,
                    WatchEnd::Unreachable | WatchEnd::Unreadable(WireError::Closed | WireError::Broken),
                ) => watch.backoff.anew(),
                _ => watch.backoff.pause(matches!(end, WatchEnd::Refused(_))),
            };
            Timer::after(pause).await;
            None
        };
        let to = async {
            match moved.recv().await {
                Ok(address) => Some(address),
                Err(_) => std::future::pending().await,
            }
        };
        if let Some(address) = or(to, one).await {
            // Another agent may count its versions in another way: its whole list is asked for.
            info!(%address, "discovery address changed");
            (discovery, after) = (address, None);
            watch.backoff.reset();
            said.clear();
        }
    }
}

/// An ask that has been answered: what comes on it are lists.
struct Answered {
    link: Connection,
    lists: JsonObjectReader,
}

impl Watch<'_> {
    /// One watch, from its connection to its end. Without a version to go on from, it fetches the list first.
    async fn one(
        &mut self,
        discovery: SocketAddr,
        after: &mut Option<u64>,
        tell: &impl Fn(&DiscoveryList),
    ) -> Result<std::convert::Infallible, WatchEnd> {
        let query = |after: &Option<u64>| after.map_or(String::new(), |seq| format!("?watch=1&after={seq}"));
        let mut answered = self.asked(discovery, &query(after)).await?;
        loop {
            let fetched = after.is_none();
            let Answered { mut link, mut lists } = answered;
            let mut whole = None;
            loop {
                let now = Instant::now();
                whole = lists.inside().then(|| whole.unwrap_or(now + WHOLE));
                let limit = whole.map_or(now + SILENCE, |whole| whole.min(now + SILENCE));
                let next = timeout_at(limit, lists.next(&mut link)).await.ok_or(WatchEnd::Silent)?;
                match next.map_err(WatchEnd::Unreadable)? {
                    // The fetched list is complete, and a watch goes on from it; a watch itself has no end.
                    JsonObjectEvent::End if fetched && after.is_some() => break,
                    JsonObjectEvent::End => return Err(WatchEnd::Unreadable(WireError::Closed)),
                    JsonObjectEvent::Part => {}
                    JsonObjectEvent::Object(text) => {
                        let begun = Instant::now();
                        let list = DiscoveryList::read(&text).map_err(WatchEnd::Malformed)?;
                        self.counters.responsiveness.part_ended("parsing an executor list", begun);
                        // A long list takes some milliseconds to parse, and some more to take in.
                        yield_now().await;
                        info!(
                            seq = list.seq,
                            complete = list.complete,
                            workers = list.hosts.len(),
                            "worker list applied"
                        );
                        tell(&list);
                        *after = Some(list.seq);
                    }
                }
            }
            answered = ask(link, discovery, &query(after), Instant::now() + SILENCE).await?;
        }
    }

    /// Asks until there is an answer, or a clear no. An agent whose lists are pushed is asked anew while it is silent,
    /// beside what is out already: what it has counts as told from the moment in which it could answer.
    async fn asked(&mut self, discovery: SocketAddr, query: &str) -> Result<Answered, WatchEnd> {
        if self.source == Source::Asked {
            return begin(discovery, query).await;
        }
        let mut asks = VecDeque::new();
        loop {
            if asks.len() == ASKS_MOST {
                asks.pop_front();
            }
            asks.push_back(Box::pin(begin(discovery, query)));
            let pause = self.backoff.anew();
            let ended = async { Some(first(&mut asks).await) };
            let anew = async {
                Timer::after(pause).await;
                None
            };
            match or(ended, anew).await {
                Some(Err(WatchEnd::Unanswered)) | None => {}
                Some(end) => return end,
            }
        }
    }
}

/// How the first of some asks ends, which is taken out.
async fn first<F: Future + Unpin>(asks: &mut VecDeque<F>) -> F::Output {
    poll_fn(|context| {
        for i in 0..asks.len() {
            if let Poll::Ready(end) = asks[i].poll(context) {
                asks.remove(i);
                return Poll::Ready(end);
            }
        }
        Poll::Pending
    })
    .await
}

/// One ask, on a connection of its own, until its answer begins.
async fn begin(discovery: SocketAddr, query: &str) -> Result<Answered, WatchEnd> {
    let limit = Instant::now() + SILENCE;
    let link = timeout_at(limit, Connection::connect(discovery)).await.ok_or(WatchEnd::Unanswered)?;
    ask(link.map_err(|_| WatchEnd::Unreachable)?, discovery, query, limit).await
}

/// One ask on this connection, until its answer begins.
async fn ask(
    mut link: Connection,
    discovery: SocketAddr,
    query: &str,
    limit: Instant,
) -> Result<Answered, WatchEnd> {
    let request = format!("GET /registry/instances{query} HTTP/1.1\r\nHost: {discovery}\r\n\r\n");
    let begun = async {
        link.write(request.as_bytes()).await?;
        let head = link.read_head(Head::parse_response).await?;
        Ok((head.start.clone(), JsonObjectReader::new(head.body()?, LIST_MOST)))
    };
    match timeout_at(limit, begun).await.ok_or(WatchEnd::Unanswered)?.map_err(WatchEnd::Unreadable)? {
        (StartLine::Response { status }, _) if status != 200 => Err(WatchEnd::Refused(status)),
        (_, lists) => Ok(Answered { link, lists }),
    }
}
