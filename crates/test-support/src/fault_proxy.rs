//! What lies between processes that speak UDP: a stand-in that loses, delays, repeats, reorders and cuts.
//!
//! Every process reaches each other one at an address of its own, so that each direction of each pair can be
//! spoilt by itself. What happens to the datagrams of a direction follows from the seed and from how many it has carried.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// How long a thread waits before it looks whether it is to end.
const LOOK: Duration = Duration::from_millis(20);
/// Datagrams under way at most; more are lost, so that a storm ends.
const UNDER_WAY: usize = 10_000;

/// What happens to the datagrams of one direction. The default passes all at once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// None gets through.
    pub cut: bool,
    /// The share that is lost, 0 to 1.
    pub loss: f64,
    /// The share that comes twice, 0 to 1.
    pub twice: f64,
    /// How long each takes at least.
    pub delay: Duration,
    /// How much longer one may take, evenly drawn: those that follow closely overtake each other.
    pub jitter: Duration,
}

/// What a direction has carried since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProxyTraffic {
    /// Datagrams that came from the sender.
    pub came: u64,
    /// Copies written to the receiver.
    pub went: u64,
    /// Datagrams lost on their way, and copies lost at its end: cut by then, or no one there.
    pub lost: u64,
    /// Bytes that came from the sender.
    pub bytes: u64,
}

struct Direction {
    faults: Faults,
    carried: ProxyTraffic,
    rng: fastrand::Rng,
}

struct Flight {
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

struct State {
    /// Where each process listens, once told.
    at: Vec<Option<SocketAddr>>,
    directions: Vec<Direction>,
    /// By the time at which they are due, and in their order.
    flights: BTreeMap<(Instant, u64), Flight>,
    number: u64,
}

struct Shared {
    state: Mutex<State>,
    news: Condvar,
    over: AtomicBool,
    /// The socket at which process `i` reaches process `j` is number `i * count + j`, or `j` where each process has
    /// one address for all.
    sockets: Vec<UdpSocket>,
    count: usize,
    one_address: bool,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn socket(&self, from: usize, to: usize) -> &UdpSocket {
        &self.sockets[if self.one_address { to } else { from * self.count + to }]
    }
}

/// Stands between `count` processes, numbered from 0, until it is dropped.
pub struct FaultProxy {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl FaultProxy {
    /// Binds the addresses, on loopback at ports that the system picks. Equal seeds spoil alike.
    pub fn new(count: usize, seed: u64) -> io::Result<FaultProxy> {
        FaultProxy::make(count, seed, false)
    }

    /// The same where all reach a process at one address of it, which they tell each other. Who sent a datagram shows
    /// in where it came from, so each has to send from where it listens, and to be told by `listens` before it does.
    pub fn with_one_address_each(count: usize, seed: u64) -> io::Result<FaultProxy> {
        FaultProxy::make(count, seed, true)
    }

    fn make(count: usize, seed: u64, one_address: bool) -> io::Result<FaultProxy> {
        let bind = |_| {
            let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
            socket.set_read_timeout(Some(LOOK))?;
            Ok(socket)
        };
        let many = if one_address { count } else { count * count };
        let sockets = (0..many).map(bind).collect::<io::Result<Vec<_>>>()?;
        let mut rng = fastrand::Rng::with_seed(seed);
        let direction =
            |_| Direction { faults: Faults::default(), carried: ProxyTraffic::default(), rng: rng.fork() };
        let state = State {
            at: vec![None; count],
            directions: (0..count * count).map(direction).collect(),
            flights: BTreeMap::new(),
            number: 0,
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            news: Condvar::new(),
            over: AtomicBool::new(false),
            sockets,
            count,
            one_address,
        });
        let pairs =
            (0..count * count).filter(|n| if one_address { n / count == 0 } else { n / count != n % count });
        let mut threads: Vec<JoinHandle<()>> = pairs
            .map(|n| {
                let shared = shared.clone();
                std::thread::spawn(move || take(&shared, n / shared.count, n % shared.count))
            })
            .collect();
        let deliver_for = shared.clone();
        threads.push(std::thread::spawn(move || deliver(&deliver_for)));
        Ok(FaultProxy { shared, threads })
    }

    /// The address at which process `from` reaches process `to`.
    pub fn address(&self, from: usize, to: usize) -> io::Result<SocketAddr> {
        self.shared.socket(from, to).local_addr()
    }

    /// Process `number` listens there, now or again after a restart; what comes for it before is lost.
    pub fn listens(&self, number: usize, at: SocketAddr) {
        self.shared.state().at[number] = Some(at);
    }

    /// From now on the datagrams of one direction fare so. What is under way still arrives, unless it is cut.
    pub fn set(&self, from: usize, to: usize, faults: Faults) {
        self.shared.state().directions[from * self.shared.count + to].faults = faults;
    }

    /// The same for all directions.
    pub fn set_all(&self, faults: Faults) {
        self.shared.state().directions.iter_mut().for_each(|d| d.faults = faults);
    }

    /// Cuts all directions between the processes of a side and the others, and opens all within each.
    pub fn part(&self, side: &[usize]) {
        let count = self.shared.count;
        for (n, direction) in self.shared.state().directions.iter_mut().enumerate() {
            direction.faults.cut = side.contains(&(n / count)) != side.contains(&(n % count));
        }
    }

    /// What a direction has carried.
    pub fn carried(&self, from: usize, to: usize) -> ProxyTraffic {
        self.shared.state().directions[from * self.shared.count + to].carried
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.shared.over.store(true, Ordering::Release);
        self.shared.news.notify_all();
        for thread in self.threads.drain(..) {
            // A thread that has panicked has already failed its test by what did not arrive.
            let _ = thread.join();
        }
    }
}

impl Direction {
    /// How long each copy of the next datagram takes; none if it is lost. The number of draws is always the same, so
    /// that one fault switched on does not change what another does later.
    fn fate(&mut self) -> Vec<Duration> {
        let (lost, twice) = (self.rng.f64() < self.faults.loss, self.rng.f64() < self.faults.twice);
        let Faults { cut, delay, jitter, .. } = self.faults;
        let takes = [self.rng.f64(), self.rng.f64()].map(|draw| delay + jitter.mul_f64(draw));
        let copies = if cut || lost { 0 } else { 1 + usize::from(twice) };
        takes.into_iter().take(copies).collect()
    }
}

/// Takes what one process sends to another.
fn take(shared: &Shared, from: usize, to: usize) {
    let mut buffer = vec![0; 1 << 16];
    while !shared.over.load(Ordering::Acquire) {
        let Ok((length, source)) = shared.socket(from, to).recv_from(&mut buffer) else {
            continue;
        };
        let now = Instant::now();
        let mut state = shared.state();
        let sender =
            if shared.one_address { state.at.iter().position(|at| *at == Some(source)) } else { Some(from) };
        let Some(from) = sender else { continue };
        let direction = &mut state.directions[from * shared.count + to];
        direction.carried.came += 1;
        direction.carried.bytes += length as u64;
        let fate = direction.fate();
        direction.carried.lost += u64::from(fate.is_empty());
        for takes in fate {
            if state.flights.len() < UNDER_WAY {
                state.number += 1;
                let number = state.number;
                state
                    .flights
                    .insert((now + takes, number), Flight { from, to, bytes: buffer[..length].to_vec() });
            }
        }
        shared.news.notify_one();
    }
}

/// Writes each datagram when its time has come, from the address at which the receiver knows the sender.
fn deliver(shared: &Shared) {
    let mut state = shared.state();
    while !shared.over.load(Ordering::Acquire) {
        let now = Instant::now();
        let due = state.flights.first_key_value().map(|f| f.0.0);
        match due {
            Some(due) if due <= now => {
                let Some((_, Flight { from, to, bytes })) = state.flights.pop_first() else { continue };
                let n = from * shared.count + to;
                let at = state.at[to].filter(|_| !state.directions[n].faults.cut);
                // A receiver that is gone answers with an error here: the datagram is lost, as it would be.
                let sent = at.map(|at| shared.socket(to, from).send_to(&bytes, at));
                let carried = &mut state.directions[n].carried;
                let end = if matches!(sent, Some(Ok(_))) { &mut carried.went } else { &mut carried.lost };
                *end += 1;
            }
            _ => {
                let wait = due.map_or(LOOK, |due| (due - now).min(LOOK));
                let waited = shared.news.wait_timeout(state, wait);
                state = waited.unwrap_or_else(PoisonError::into_inner).0;
            }
        }
    }
}
