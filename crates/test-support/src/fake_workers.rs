//! Fake workers, the executors of the platform's protocol: they follow a script and record what they ran.

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
use std::time::Duration;

/// A request whose body a worker received in full, and which it ran, unless it rejected it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExecutedRequest {
    /// The request's id.
    pub id: String,
    /// The number of the worker.
    pub worker: usize,
    /// The length of the body in bytes.
    pub body_length: usize,
    /// The checksum of the body, by [`checksum`].
    pub body_checksum: u64,
}

#[derive(Default)]
struct State {
    /// The next requests' behaviours, whichever worker they come to.
    script: VecDeque<WorkerBehavior>,
    /// What all workers do beyond the script.
    default_behavior: Option<WorkerBehavior>,
    /// What single workers do beyond the script, by number.
    worker_behaviors: HashMap<usize, WorkerBehavior>,
    executed: Vec<ExecutedRequest>,
    received_requests: usize,
    incomplete_requests: usize,
    released: bool,
}

/// Workers, numbered from 0, that share one script and one record. They serve until the process ends; clones
/// are the same workers.
#[derive(Clone)]
pub struct FakeWorkers {
    state: Arc<Mutex<State>>,
    release: Arc<Condvar>,
    /// The address of each worker, by number.
    pub addresses: Vec<SocketAddr>,
}

impl FakeWorkers {
    /// Starts `count` workers on loopback.
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

    /// Sets what is done with the next requests, one behaviour for each head that arrives at any worker.
    pub fn script(&self, behaviors: &[WorkerBehavior]) {
        self.state().script = behaviors.iter().copied().collect();
    }

    /// Sets what is done with requests beyond the script, in place of [`WorkerBehavior::Done`].
    pub fn set_default_behavior(&self, behavior: WorkerBehavior) {
        self.state().default_behavior = Some(behavior);
    }

    /// Sets what one worker does with requests beyond the script; with `None` it does what all do.
    pub fn set_worker_behavior(&self, worker: usize, behavior: Option<WorkerBehavior>) {
        let mut state = self.state();
        match behavior {
            Some(behavior) => state.worker_behaviors.insert(worker, behavior),
            None => state.worker_behaviors.remove(&worker),
        };
    }

    /// Counts a request that has come to `worker` and takes its behaviour from the script.
    fn next_behavior(&self, worker: usize) -> WorkerBehavior {
        let mut state = self.state();
        state.received_requests += 1;
        let of_worker = state.worker_behaviors.get(&worker).copied();
        let unscripted = of_worker.or(state.default_behavior).unwrap_or(WorkerBehavior::Done);
        state.script.pop_front().unwrap_or(unscripted)
    }

    /// Lets [`WorkerBehavior::PausedUntilReleased`] end, for the requests that wait and for all that follow.
    pub fn release(&self) {
        self.state().released = true;
        self.release.notify_all();
    }

    fn wait_for_release(&self) {
        let released = self.release.wait_while(self.state(), |state| !state.released);
        drop(released.unwrap_or_else(PoisonError::into_inner));
    }

    /// All requests that the workers have run, the first run first.
    pub fn executed_requests(&self) -> Vec<ExecutedRequest> {
        self.state().executed.clone()
    }

    /// The runs of the request with this id.
    pub fn executions_of(&self, id: &str) -> Vec<ExecutedRequest> {
        self.state().executed.iter().filter(|run| run.id == id).cloned().collect()
    }

    /// The number of requests whose head has arrived.
    pub fn received_requests(&self) -> usize {
        self.state().received_requests
    }

    /// The number of requests whose connection ended before their body was complete.
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

/// Pseudo-random bytes that follow from `seed` (xorshift).
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

/// Closes a connection with a reset in place of an orderly end.
pub fn reset_connection(stream: TcpStream) {
    reset_on_close(&stream);
    drop(stream);
}

/// Has the connection be reset when its last descriptor is closed.
fn reset_on_close(stream: &TcpStream) {
    let _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}
