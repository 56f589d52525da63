//! A UDP proxy between processes that loses, delays, duplicates, reorders and blocks datagrams.
//!
//! By default the proxy has one address for each ordered pair of processes, from the sender to the receiver,
//! and each such direction has its own faults. The seed and the sequence of datagrams in a direction alone
//! determine which of them are lost, duplicated or delayed, and by how much.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Interval at which each thread checks whether the proxy was dropped.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of datagrams in flight. Further ones are dropped, so that a flood of datagrams can end.
const MAX_IN_FLIGHT: usize = 10_000;
/// Holds the largest UDP datagram.
const RECEIVE_BUFFER_BYTES: usize = 1 << 16;

/// The faults of one direction. By default all datagrams are forwarded at once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DatagramFaults {
    /// Whether all datagrams are dropped: those that arrive, and those whose delivery time comes.
    pub blocked: bool,
    /// The fraction of datagrams that is lost, 0 to 1.
    pub loss: f64,
    /// The fraction of datagrams that is forwarded twice, 0 to 1.
    pub duplication: f64,
    /// The minimum delay of each datagram.
    pub delay: Duration,
    /// The maximum additional delay, drawn uniformly from zero: datagrams sent within this time of each other
    /// may be reordered.
    pub jitter: Duration,
}

/// Numbers of datagrams and bytes in one direction since the proxy was started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProxyTraffic {
    /// Datagrams received from the sender.
    pub received: u64,
    /// Copies of datagrams that were sent to the receiver.
    pub forwarded: u64,
    /// Datagrams dropped on arrival, and copies dropped on delivery because the direction was blocked by then
    /// or the receiver did not listen.
    pub lost: u64,
    /// Bytes received from the sender.
    pub received_bytes: u64,
}

/// The state of one direction: the datagrams from one process to another.
struct Direction {
    faults: DatagramFaults,
    traffic: ProxyTraffic,
    rng: fastrand::Rng,
}

impl Direction {
    /// Draws the delay of each copy of the next datagram; empty if the datagram is lost. Each datagram takes
    /// the same number of draws, so that enabling one fault does not change the later draws for another.
    fn draw_copy_delays(&mut self) -> Vec<Duration> {
        let lost = self.rng.f64() < self.faults.loss;
        let duplicated = self.rng.f64() < self.faults.duplication;
        let DatagramFaults { blocked, delay, jitter, .. } = self.faults;
        let delays = [self.rng.f64(), self.rng.f64()].map(|draw| delay + jitter.mul_f64(draw));
        let copies = if blocked || lost { 0 } else { 1 + usize::from(duplicated) };
        delays.into_iter().take(copies).collect()
    }
}

/// A datagram between its arrival and its delivery.
#[derive(Clone)]
struct Datagram {
    from: usize,
    to: usize,
    payload: Vec<u8>,
}

/// Orders datagrams in flight by delivery time, and then by arrival.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct DeliveryKey {
    deliver_at: Instant,
    sequence: u64,
}

struct State {
    /// The address at which each process listens, once it is registered.
    listeners: Vec<Option<SocketAddr>>,
    /// The direction from process `i` to process `j` has the index `i * process_count + j`.
    directions: Vec<Direction>,
    in_flight: BTreeMap<DeliveryKey, Datagram>,
    last_sequence: u64,
}

struct Shared {
    state: Mutex<State>,
    /// Notified when a datagram is put in flight, and when the proxy is dropped.
    changed: Condvar,
    stopped: AtomicBool,
    /// The socket at which process `i` reaches process `j` has the index `i * process_count + j`, or `j` with
    /// [`Addressing::PerProcess`].
    sockets: Vec<UdpSocket>,
    process_count: usize,
    addressing: Addressing,
}

/// How many addresses the proxy gives to each process.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Addressing {
    /// One for each sender, so that the address identifies the sender.
    PerPair,
    /// One for all senders. The source address identifies the sender.
    PerProcess,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn direction_index(&self, from: usize, to: usize) -> usize {
        from * self.process_count + to
    }

    fn socket(&self, from: usize, to: usize) -> &UdpSocket {
        match self.addressing {
            Addressing::PerPair => &self.sockets[self.direction_index(from, to)],
            Addressing::PerProcess => &self.sockets[to],
        }
    }

    /// The pairs (sender, receiver) whose sockets are to be read, each socket once.
    fn receiving_pairs(&self) -> Vec<(usize, usize)> {
        let count = self.process_count;
        let all = (0..count * count).map(|index| (index / count, index % count));
        match self.addressing {
            Addressing::PerPair => all.filter(|(from, to)| from != to).collect(),
            Addressing::PerProcess => all.filter(|(from, _)| *from == 0).collect(),
        }
    }
}

/// A UDP proxy between processes, numbered from 0. It ends when dropped.
pub struct FaultProxy {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl FaultProxy {
    /// Starts a proxy between `process_count` processes, with one loopback address for each ordered pair of
    /// processes, on ports that the operating system chooses. Equal seeds give equal draws.
    ///
    /// # Errors
    /// Those of the socket calls.
    pub fn new(process_count: usize, seed: u64) -> io::Result<FaultProxy> {
        FaultProxy::start(process_count, seed, Addressing::PerPair)
    }

    /// As [`FaultProxy::new`], but with one address for each process, so that processes may send addresses to
    /// each other. The source address identifies the sender: each process must be registered with
    /// [`FaultProxy::register_listener`] before it sends, and send from the address at which it listens.
    ///
    /// # Errors
    /// Those of the socket calls.
    pub fn with_address_per_process(process_count: usize, seed: u64) -> io::Result<FaultProxy> {
        FaultProxy::start(process_count, seed, Addressing::PerProcess)
    }

    fn start(process_count: usize, seed: u64, addressing: Addressing) -> io::Result<FaultProxy> {
        let pair_count = process_count * process_count;
        let socket_count = match addressing {
            Addressing::PerPair => pair_count,
            Addressing::PerProcess => process_count,
        };
        let sockets = (0..socket_count).map(|_| bind_socket()).collect::<io::Result<Vec<_>>>()?;
        let mut rng = fastrand::Rng::with_seed(seed);
        let directions = (0..pair_count).map(|_| Direction {
            faults: DatagramFaults::default(),
            traffic: ProxyTraffic::default(),
            rng: rng.fork(),
        });
        let state = State {
            listeners: vec![None; process_count],
            directions: directions.collect(),
            in_flight: BTreeMap::new(),
            last_sequence: 0,
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            changed: Condvar::new(),
            stopped: AtomicBool::new(false),
            sockets,
            process_count,
            addressing,
        });
        let threads = spawn_threads(&shared);
        Ok(FaultProxy { shared, threads })
    }

    /// The address at which process `from` reaches process `to`.
    ///
    /// # Errors
    /// Those of the socket call.
    pub fn address(&self, from: usize, to: usize) -> io::Result<SocketAddr> {
        self.shared.socket(from, to).local_addr()
    }

    /// Sets the address at which a process listens, for the first time or after a restart. Datagrams to a
    /// process without an address are dropped.
    pub fn register_listener(&self, process: usize, address: SocketAddr) {
        self.shared.state().listeners[process] = Some(address);
    }

    /// Sets the faults of one direction. Datagrams in flight keep their delivery time, and are dropped only
    /// if the direction is blocked at that time.
    pub fn set_faults(&self, from: usize, to: usize, faults: DatagramFaults) {
        let index = self.shared.direction_index(from, to);
        self.shared.state().directions[index].faults = faults;
    }

    /// Sets the faults of all directions.
    pub fn set_all_faults(&self, faults: DatagramFaults) {
        for direction in &mut self.shared.state().directions {
            direction.faults = faults;
        }
    }

    /// Blocks each direction between a process in `side` and one outside it, and unblocks all other
    /// directions.
    pub fn partition(&self, side: &[usize]) {
        let count = self.shared.process_count;
        for (index, direction) in self.shared.state().directions.iter_mut().enumerate() {
            let from_side = side.contains(&(index / count));
            let to_side = side.contains(&(index % count));
            direction.faults.blocked = from_side != to_side;
        }
    }

    /// The traffic of one direction since the proxy was started.
    pub fn traffic(&self, from: usize, to: usize) -> ProxyTraffic {
        let index = self.shared.direction_index(from, to);
        self.shared.state().directions[index].traffic
    }
}

impl Drop for FaultProxy {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Release);
        self.shared.changed.notify_all();
        for thread in self.threads.drain(..) {
            // The panic of a thread needs no report here: its datagrams do not arrive, which fails the test.
            let _ = thread.join();
        }
    }
}

fn bind_socket() -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?;
    socket.set_read_timeout(Some(STOP_POLL_INTERVAL))?;
    Ok(socket)
}

fn spawn_threads(shared: &Arc<Shared>) -> Vec<JoinHandle<()>> {
    let mut threads = Vec::new();
    for (from, to) in shared.receiving_pairs() {
        let shared = shared.clone();
        threads.push(std::thread::spawn(move || receive_datagrams(&shared, from, to)));
    }
    let shared = shared.clone();
    threads.push(std::thread::spawn(move || deliver_datagrams(&shared)));
    threads
}

/// Receives datagrams from `from` to `to` until the proxy is dropped. With [`Addressing::PerProcess`],
/// receives those from all processes to `to`.
fn receive_datagrams(shared: &Shared, from: usize, to: usize) {
    let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
    while !shared.stopped.load(Ordering::Acquire) {
        let Ok((length, source)) = shared.socket(from, to).recv_from(&mut buffer) else {
            continue;
        };
        let received_at = Instant::now();
        let mut state = shared.state();
        let sender = match shared.addressing {
            Addressing::PerPair => Some(from),
            Addressing::PerProcess => state.listeners.iter().position(|address| *address == Some(source)),
        };
        let Some(sender) = sender else { continue };
        let datagram = Datagram { from: sender, to, payload: buffer[..length].to_vec() };
        state.accept(shared.direction_index(sender, to), received_at, &datagram);
        shared.changed.notify_one();
    }
}

impl State {
    /// Counts a datagram in the direction with this index, and puts its copies in flight.
    fn accept(&mut self, direction: usize, received_at: Instant, datagram: &Datagram) {
        let direction = &mut self.directions[direction];
        direction.traffic.received += 1;
        direction.traffic.received_bytes += datagram.payload.len() as u64;
        let delays = direction.draw_copy_delays();
        direction.traffic.lost += u64::from(delays.is_empty());
        for delay in delays {
            if self.in_flight.len() < MAX_IN_FLIGHT {
                self.last_sequence += 1;
                let key = DeliveryKey { deliver_at: received_at + delay, sequence: self.last_sequence };
                self.in_flight.insert(key, datagram.clone());
            }
        }
    }
}

/// Delivers each datagram at its delivery time, from the address at which the receiver reaches the sender.
fn deliver_datagrams(shared: &Shared) {
    let mut state = shared.state();
    while !shared.stopped.load(Ordering::Acquire) {
        let now = Instant::now();
        let next_delivery = state.in_flight.first_key_value().map(|(key, _)| key.deliver_at);
        if next_delivery.is_some_and(|deliver_at| deliver_at <= now) {
            let Some((_, datagram)) = state.in_flight.pop_first() else { continue };
            deliver(shared, &mut state, &datagram);
            continue;
        }
        let wait = next_delivery.map_or(STOP_POLL_INTERVAL, |at| (at - now).min(STOP_POLL_INTERVAL));
        let waited = shared.changed.wait_timeout(state, wait);
        state = waited.unwrap_or_else(PoisonError::into_inner).0;
    }
}

/// Sends one datagram to its receiver, or counts it as lost.
fn deliver(shared: &Shared, state: &mut State, datagram: &Datagram) {
    let receiver = state.listeners[datagram.to];
    let direction = &mut state.directions[shared.direction_index(datagram.from, datagram.to)];
    let receiver = receiver.filter(|_| !direction.faults.blocked);
    // Sending may fail if the receiver has ended: the datagram is lost, as it would be without a proxy.
    let sent =
        receiver.map(|address| shared.socket(datagram.to, datagram.from).send_to(&datagram.payload, address));
    if matches!(sent, Some(Ok(_))) {
        direction.traffic.forwarded += 1;
    } else {
        direction.traffic.lost += 1;
    }
}
