//! A TCP proxy in front of one worker that delays, stalls or resets its connections, or loses its responses.

use crate::plan::ConnectionFault;
use sorrelhaven_test_support::{open_listener, reset_connection};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which each direction of a connection checks which fault is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const BUFFER_BYTES: usize = 16 * 1024;

#[derive(Clone, Copy)]
struct ActiveFault {
    fault: ConnectionFault,
    until: Instant,
}

#[derive(Default)]
struct State {
    fault: Option<ActiveFault>,
    /// The number of times that all connections were reset.
    resets: u64,
}

/// The fault in force and the number of resets, read at one time.
struct Snapshot {
    fault: Option<ConnectionFault>,
    resets: u64,
}

/// The direction in which bytes are forwarded.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToWorker,
    FromWorker,
}

/// The proxy of one worker. It serves until the process ends; clones share one state.
#[derive(Clone)]
pub struct Proxy {
    state: Arc<Mutex<State>>,
    /// The address at which nodes connect to the worker.
    pub address: SocketAddr,
}

impl Proxy {
    /// Starts a proxy that forwards connections to `worker`.
    pub fn new(worker: SocketAddr) -> Proxy {
        let (listener, address) = open_listener();
        let proxy = Proxy { state: Arc::default(), address };
        let acceptor = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(upstream) = TcpStream::connect(worker) else { continue };
                acceptor.start_forwarding(client, &upstream);
            }
        });
        proxy
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies `fault` to all connections for `duration`, in place of any earlier fault.
    pub fn set_fault(&self, fault: ConnectionFault, duration: Duration) {
        let mut state = self.state();
        state.fault = Some(ActiveFault { fault, until: Instant::now() + duration });
        state.resets += u64::from(fault == ConnectionFault::Reset);
    }

    fn snapshot(&self) -> Snapshot {
        let state = self.state();
        let active = state.fault.filter(|active| Instant::now() < active.until);
        Snapshot { fault: active.map(|active| active.fault), resets: state.resets }
    }

    /// Starts forwarding both directions of a new connection, or resets it.
    fn start_forwarding(&self, client: TcpStream, upstream: &TcpStream) {
        let snapshot = self.snapshot();
        if snapshot.fault == Some(ConnectionFault::Reset) {
            return reset_connection(client);
        }
        let pairs = [
            (client.try_clone(), upstream.try_clone(), Direction::ToWorker),
            (upstream.try_clone(), client.try_clone(), Direction::FromWorker),
        ];
        for (from, to, direction) in pairs {
            let (Ok(from), Ok(to)) = (from, to) else { return };
            let proxy = self.clone();
            thread::spawn(move || proxy.forward_bytes(from, to, direction, snapshot.resets));
        }
    }

    /// Forwards bytes in one direction until either side ends, or until all connections are reset: the number
    /// of resets then differs from `resets_at_start`, the number when this connection was opened.
    fn forward_bytes(
        &self,
        mut from: TcpStream,
        mut to: TcpStream,
        direction: Direction,
        resets_at_start: u64,
    ) {
        let _ = from.set_read_timeout(Some(POLL_INTERVAL));
        let _ = from.set_nodelay(true);
        let _ = to.set_nodelay(true);
        let mut buffer = [0; BUFFER_BYTES];
        loop {
            let snapshot = self.snapshot();
            if snapshot.resets != resets_at_start {
                reset_connection(from);
                return reset_connection(to);
            }
            if snapshot.fault == Some(ConnectionFault::Stall) {
                thread::sleep(POLL_INTERVAL);
                continue;
            }
            match from.read(&mut buffer) {
                Ok(0) => {
                    let _ = to.shutdown(Shutdown::Write);
                    return;
                }
                Ok(length) => {
                    if write_piece(&buffer[..length], &mut to, direction, snapshot.fault).is_err() {
                        return reset_connection(from);
                    }
                }
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => return reset_connection(to),
            }
        }
    }
}

/// Writes bytes that were read, after the delay of the fault, or discards them if the fault loses responses.
fn write_piece(
    piece: &[u8],
    to: &mut TcpStream,
    direction: Direction,
    fault: Option<ConnectionFault>,
) -> io::Result<()> {
    if direction == Direction::FromWorker && fault == Some(ConnectionFault::LoseResponses) {
        return Ok(());
    }
    if let Some(ConnectionFault::Delay { millis }) = fault {
        thread::sleep(Duration::from_millis(millis));
    }
    to.write_all(piece)
}
