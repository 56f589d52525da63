//! Fake workers (executors in the platform's protocol) that follow a script and record the requests that they
//! executed.

mod behavior;
mod connection;
mod request_head;

pub use behavior::WorkerBehavior;

use crate::listener::open_listener;
use connection::WorkerConnection;
use std::collections::{HashMap, VecDeque};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// One execution of a request: a worker received the whole body and ran the job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExecutedRequest {
    /// The id of the executed request.
    pub id: String,
    /// The number of the worker that ran the job.
    pub worker: usize,
    /// The length of the received body, in bytes.
    pub body_length: usize,
    /// The [`checksum`] of the received body.
    pub body_checksum: u64,
}

#[derive(Default)]
struct State {
    /// The behaviours for the next requests, on any worker.
    script: VecDeque<WorkerBehavior>,
    /// The behaviour of all workers that `worker_behaviors` does not name, once the script has ended.
    default_behavior: Option<WorkerBehavior>,
    /// The behaviour of single workers once the script has ended, by worker number.
    worker_behaviors: HashMap<usize, WorkerBehavior>,
    /// The behaviour for requests whose id begins with a prefix, whatever else is set.
    id_behaviors: Vec<(String, WorkerBehavior)>,
    executed: Vec<ExecutedRequest>,
    /// The id of each request whose head arrived, and when.
    arrivals: Vec<(String, Instant)>,
    received_requests: usize,
    incomplete_requests: usize,
    released: bool,
}

/// Workers, numbered from 0, that share one script and one list of executed requests. They serve until the
/// process ends; clones share the same workers.
#[derive(Clone)]
pub struct FakeWorkers {
    state: Arc<Mutex<State>>,
    release: Arc<Condvar>,
    /// The address of each worker, by worker number.
    pub addresses: Vec<SocketAddr>,
}

impl FakeWorkers {
    /// Starts `count` workers on loopback; without a script each behaves as [`WorkerBehavior::Done`].
    ///
    /// # Panics
    /// If a listener can't be opened.
    pub fn new(count: usize) -> FakeWorkers {
        let (listeners, addresses): (Vec<TcpListener>, Vec<SocketAddr>) =
            (0..count).map(|_| open_listener()).unzip();
        let workers = FakeWorkers { state: Arc::default(), release: Arc::default(), addresses };
        for (worker, listener) in listeners.into_iter().enumerate() {
            let workers = workers.clone();
            thread::spawn(move || workers.accept_connections(worker, &listener));
        }
        workers
    }

    fn accept_connections(&self, worker: usize, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            let workers = self.clone();
            thread::spawn(move || WorkerConnection { workers: &workers, worker, stream }.serve());
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the script: the next requests get these behaviours, one each, in the order in which their
    /// heads arrive at any worker.
    pub fn script(&self, behaviors: &[WorkerBehavior]) {
        self.state().script = behaviors.iter().copied().collect();
    }

    /// Sets the behaviour once the script has ended, initially [`WorkerBehavior::Done`].
    pub fn set_default_behavior(&self, behavior: WorkerBehavior) {
        self.state().default_behavior = Some(behavior);
    }

    /// Sets the behaviour of one worker once the script has ended; `None` restores that of all workers.
    pub fn set_worker_behavior(&self, worker: usize, behavior: Option<WorkerBehavior>) {
        let mut state = self.state();
        match behavior {
            Some(behavior) => state.worker_behaviors.insert(worker, behavior),
            None => state.worker_behaviors.remove(&worker),
        };
    }

    /// Sets the behaviour for requests whose id begins with `prefix`. It goes before the script and all other
    /// behaviours.
    pub fn set_id_behavior(&self, prefix: &str, behavior: WorkerBehavior) {
        self.state().id_behaviors.push((prefix.to_string(), behavior));
    }

    /// Counts a request that arrived at `worker` and returns the behaviour for it.
    fn next_behavior(&self, worker: usize, id: &str) -> WorkerBehavior {
        let mut state = self.state();
        state.received_requests += 1;
        state.arrivals.push((id.to_string(), Instant::now()));
        let by_id = state.id_behaviors.iter().find(|(prefix, _)| id.starts_with(prefix.as_str()));
        if let Some(&(_, behavior)) = by_id {
            return behavior;
        }
        let worker_behavior = state.worker_behaviors.get(&worker).copied();
        let unscripted = worker_behavior.or(state.default_behavior).unwrap_or(WorkerBehavior::Done);
        state.script.pop_front().unwrap_or(unscripted)
    }

    /// Ends the pause of [`WorkerBehavior::PausedUntilReleased`], for waiting requests and for all later
    /// ones.
    pub fn release(&self) {
        self.state().released = true;
        self.release.notify_all();
    }

    fn wait_for_release(&self) {
        let released = self.release.wait_while(self.state(), |state| !state.released);
        drop(released.unwrap_or_else(PoisonError::into_inner));
    }

    /// All executions, in the order in which they began.
    pub fn executed_requests(&self) -> Vec<ExecutedRequest> {
        self.state().executed.clone()
    }

    /// The executions of the request with this id, in the order in which they began.
    pub fn executions_of(&self, id: &str) -> Vec<ExecutedRequest> {
        self.state().executed.iter().filter(|executed| executed.id == id).cloned().collect()
    }

    /// The id of each request whose head arrived at any worker, and when, in the order of arrival.
    pub fn arrivals(&self) -> Vec<(String, Instant)> {
        self.state().arrivals.clone()
    }

    /// The number of requests whose head arrived at any worker.
    pub fn received_requests(&self) -> usize {
        self.state().received_requests
    }

    /// The number of requests whose connection ended before the whole body arrived.
    pub fn incomplete_requests(&self) -> usize {
        self.state().incomplete_requests
    }
}

/// The FNV-1a checksum of `bytes`.
pub fn checksum(bytes: &[u8]) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    bytes.iter().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(PRIME))
}

/// Generates `length` pseudo-random bytes from `seed` (xorshift): equal seeds give equal bytes.
pub fn sample_bytes(length: usize, seed: u64) -> Vec<u8> {
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut next_byte = || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state as u8
    };
    (0..length).map(|_| next_byte()).collect()
}

/// Closes a connection with a TCP reset (RST) instead of an orderly end (FIN).
pub fn reset_connection(stream: TcpStream) {
    reset_on_close(&stream);
    drop(stream);
}

/// Makes the system reset the connection when its last descriptor is closed.
fn reset_on_close(stream: &TcpStream) {
    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}
