//! A TCP proxy in front of one worker, which delays, stalls, cuts or resets its connections.

use crate::plan::ConnectionFault;
use sorrelhaven_test_support::{open_listener, reset_connection};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// How often a connection checks which fault is in force.
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
    /// How often all connections were reset.
    resets: u64,
}

/// What holds for all connections at one moment.
struct Conditions {
    fault: Option<ConnectionFault>,
    resets: u64,
}

/// The direction of bytes through the proxy.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToWorker,
    FromWorker,
}

/// The proxy of one worker; it serves until the process ends. Clones are the same proxy.
#[derive(Clone)]
pub struct Proxy {
    state: Arc<Mutex<State>>,
    /// The address at which nodes reach the worker.
    pub address: SocketAddr,
}

impl Proxy {
    /// Starts a proxy to `worker`.
    pub fn new(worker: SocketAddr) -> Proxy {
        let (listener, address) = open_listener();
        let proxy = Proxy { state: Arc::default(), address };
        let acceptor = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(upstream) = TcpStream::connect(worker) else { continue };
                acceptor.forward(client, &upstream);
            }
        });
        proxy
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Disturbs all connections for `duration`, in place of an earlier fault.
    pub fn disturb(&self, fault: ConnectionFault, duration: Duration) {
        let mut state = self.state();
        state.fault = Some(ActiveFault { fault, until: Instant::now() + duration });
        state.resets += u64::from(fault == ConnectionFault::Reset);
    }

    fn conditions(&self) -> Conditions {
        let state = self.state();
        let active = state.fault.filter(|active| Instant::now() < active.until);
        Conditions { fault: active.map(|active| active.fault), resets: state.resets }
    }

    /// Starts to forward both directions of a new connection.
    fn forward(&self, client: TcpStream, upstream: &TcpStream) {
        let conditions = self.conditions();
        if conditions.fault == Some(ConnectionFault::Reset) {
            return reset_connection(client);
        }
        let pairs = [
            (client.try_clone(), upstream.try_clone(), Direction::ToWorker),
            (upstream.try_clone(), client.try_clone(), Direction::FromWorker),
        ];
        for (from, to, direction) in pairs {
            let (Ok(from), Ok(to)) = (from, to) else { return };
            let proxy = self.clone();
            thread::spawn(move || proxy.pump(from, to, direction, conditions.resets));
        }
    }

    /// Copies bytes in one direction until either side ends, or all connections are reset: then there have
    /// been more resets than `resets_at_start`.
    fn pump(&self, mut from: TcpStream, mut to: TcpStream, direction: Direction, resets_at_start: u64) {
        let _ = from.set_read_timeout(Some(POLL_INTERVAL));
        let _ = from.set_nodelay(true);
        let _ = to.set_nodelay(true);
        let mut buffer = [0; BUFFER_BYTES];
        loop {
            let conditions = self.conditions();
            if conditions.resets != resets_at_start {
                reset_connection(from);
                return reset_connection(to);
            }
            if conditions.fault == Some(ConnectionFault::Stall) {
                thread::sleep(POLL_INTERVAL);
                continue;
            }
            match from.read(&mut buffer) {
                Ok(0) => {
                    let _ = to.shutdown(Shutdown::Write);
                    return;
                }
                Ok(length) => {
                    if copy_piece(&buffer[..length], &mut to, direction, conditions.fault).is_err() {
                        return reset_connection(from);
                    }
                }
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => return reset_connection(to),
            }
        }
    }
}

/// Writes what has been read, unless the fault loses it.
fn copy_piece(
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
