//! Signals of the operating system, none of which is lost.
//!
//! A handler sets a flag for its signal and writes one byte to a socket pair, which wakes the event loop.
//! Only the flag carries information: a byte that does not fit, or several bytes at once, make no difference.
//! Signals of one kind that arrive before the first of them was handled count as one, as in the kernel.

use async_io::{Async, Timer};
use futures_lite::AsyncReadExt;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1, SIGXFSZ};
use sorrelhaven_wire::timeout_at;
use std::io;
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The flags are polled at this interval, in case no byte wakes the event loop.
const FLAG_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Bytes that are read from the socket pair at once.
const WAKE_BUFFER_BYTES: usize = 64;

/// What a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Reload the configuration (SIGHUP).
    Reload,
    /// Print the counters (SIGUSR1).
    Report,
    /// Shut down (SIGTERM, SIGINT).
    Stop,
}

impl Signal {
    /// All signals, in the order in which they are handled: a reload comes before a shutdown.
    const ALL: [Signal; 3] = [Signal::Reload, Signal::Report, Signal::Stop];

    /// The numbers of the signals with this meaning.
    fn numbers(self) -> &'static [i32] {
        match self {
            Signal::Reload => &[SIGHUP],
            Signal::Report => &[SIGUSR1],
            Signal::Stop => &[SIGTERM, SIGINT],
        }
    }
}

/// A signal and whether it was received since it was last handled.
struct SignalFlag {
    signal: Signal,
    received: Arc<AtomicBool>,
}

/// The signals that this process receives.
pub struct Signals {
    flags: [SignalFlag; Signal::ALL.len()],
    wakeups: Async<UnixStream>,
}

impl Signals {
    /// Handles signals from now on.
    ///
    /// # Errors
    /// The socket pair cannot be created, or a handler cannot be registered.
    pub fn new() -> io::Result<Signals> {
        let (read, write) = UnixStream::pair()?;
        let flags = Signal::ALL.map(|signal| SignalFlag { signal, received: Arc::default() });
        for flag in &flags {
            for &number in flag.signal.numbers() {
                // Handlers run in the order of registration: the flag must be set before the byte is written.
                signal_hook::flag::register(number, flag.received.clone())?;
                signal_hook::low_level::pipe::register(number, write.try_clone()?)?;
            }
        }
        Ok(Signals { flags, wakeups: Async::new(read)? })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> Signal {
        loop {
            if let Some(signal) = self.take_received() {
                return signal;
            }
            let mut buffer = [0; WAKE_BUFFER_BYTES];
            let poll_at = Instant::now() + FLAG_POLL_INTERVAL;
            if let Some(Err(_)) = timeout_at(poll_at, self.wakeups.read(&mut buffer)).await {
                // Without a socket to wait for, only polling the flags remains.
                Timer::after(FLAG_POLL_INTERVAL).await;
            }
        }
    }

    /// Clears the first flag that is set, and returns its signal.
    fn take_received(&self) -> Option<Signal> {
        let received = self.flags.iter().find(|flag| flag.received.swap(false, Ordering::SeqCst));
        received.map(|flag| flag.signal)
    }
}

/// From now on a write beyond the file size limit fails with an error, instead of ending the program by
/// SIGXFSZ.
///
/// # Errors
/// The handler cannot be registered.
pub fn survive_file_size_limit() -> io::Result<()> {
    signal_hook::flag::register(SIGXFSZ, Arc::default()).map(drop)
}
