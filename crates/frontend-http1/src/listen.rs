//! Opens the listening socket for clients.

use async_io::Async;
use sorrelhaven_wire::{RetryDecision, SocketCall, retry_decision};
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// How long opening the listener is retried while the machine lacks a resource such as memory or buffers.
const LISTEN_RETRY_TIMEOUT: Duration = Duration::from_secs(3);
/// The pause between two attempts to listen.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Length of the accept queue. The kernel drops connections in excess of it, and a client whose SYN is
/// dropped retransmits it a second later. This length spares a burst of hundreds of clients that delay.
const ACCEPT_QUEUE_LENGTH: i32 = 1024;

/// Listens on `address`. Retries for up to 3 s if the machine lacks a resource such as memory or buffers: a
/// transient shortage must not prevent the node's start. Blocks the thread meanwhile.
///
/// # Errors
/// The error of the last `bind` or `listen` call.
pub fn listen(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    let retry_until = Instant::now() + LISTEN_RETRY_TIMEOUT;
    loop {
        let error = match listen_once(address) {
            Ok(listener) => return Ok(listener),
            Err(error) => error,
        };
        match retry_decision(SocketCall::Listen, &error, retry_until) {
            RetryDecision::Immediately => {}
            // Blocking the thread delays nothing: at start-up no task runs yet.
            RetryDecision::AfterPause => std::thread::sleep(LISTEN_RETRY_INTERVAL),
            RetryDecision::GiveUp => return Err(error),
        }
    }
}

fn listen_once(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    let listener = Async::<TcpListener>::bind(address)?;
    rustix::net::listen(&listener, ACCEPT_QUEUE_LENGTH)?;
    Ok(listener)
}
