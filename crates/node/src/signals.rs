//! Handles operating-system signals in the event loop without losing any.
//!
//! A signal handler sets the flag of its signal and writes one byte to a socket pair, which wakes the event
//! loop. Only the flags carry information, so it makes no difference if a byte does not fit into the socket's
//! buffer or several bytes are read at once. Signals of one kind that arrive before the first of them is
//! handled count as one, as in the kernel.

use async_io::{Async, Timer};
use futures_lite::AsyncReadExt;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1, SIGXFSZ};
use sorrelhaven_wire::timeout_at;
use std::io;
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Interval at which the flags are polled, in case a wake-up byte does not arrive.
const FLAG_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Size of the buffer into which wake-up bytes are read; their number has no meaning.
const WAKE_BUFFER_BYTES: usize = 64;

/// The action that a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Reload the configuration (SIGHUP).
    Reload,
    /// Print the counters to standard error (SIGUSR1).
    Report,
    /// Shut down (SIGTERM, SIGINT).
    Stop,
}

impl Signal {
    /// All signals, in the order in which they are handled: a reload comes before a shutdown.
    const ALL: [Signal; 3] = [Signal::Reload, Signal::Report, Signal::Stop];

    /// The numbers of the system's signals that request this.
    fn numbers(self) -> &'static [i32] {
        match self {
            Signal::Reload => &[SIGHUP],
            Signal::Report => &[SIGUSR1],
            Signal::Stop => &[SIGTERM, SIGINT],
        }
    }
}

/// A signal, and the flag that its handler sets and [`Signals::next`] clears.
struct SignalFlag {
    signal: Signal,
    received: Arc<AtomicBool>,
}

/// The signals that this process handles, and the socket whose bytes wake the event loop.
pub struct Signals {
    flags: [SignalFlag; Signal::ALL.len()],
    wakeups: Async<UnixStream>,
}

impl Signals {
    /// Registers the signal handlers of this process.
    ///
    /// # Errors
    /// The socket pair cannot be created, or a handler cannot be registered.
    pub fn new() -> io::Result<Signals> {
        let (read, write) = UnixStream::pair()?;
        let flags = Signal::ALL.map(|signal| SignalFlag { signal, received: Arc::default() });
        for flag in &flags {
            for &number in flag.signal.numbers() {
                // Handlers run in the order of registration. The flag must be set before the byte is written:
                // otherwise the event loop could wake and find no flag set.
                signal_hook::flag::register(number, flag.received.clone())?;
                signal_hook::low_level::pipe::register(number, write.try_clone()?)?;
            }
        }
        Ok(Signals { flags, wakeups: Async::new(read)? })
    }

    /// Waits for the next signal. Returns signals that are received already in the order of [`Signal::ALL`].
    pub async fn next(&mut self) -> Signal {
        loop {
            if let Some(signal) = self.take_received() {
                return signal;
            }
            let mut buffer = [0; WAKE_BUFFER_BYTES];
            let poll_at = Instant::now() + FLAG_POLL_INTERVAL;
            if let Some(Err(_)) = timeout_at(poll_at, self.wakeups.read(&mut buffer)).await {
                // The socket pair has failed: poll the flags without a wake-up.
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

/// Installs a handler for SIGXFSZ that does nothing: a write beyond the file size limit then fails with an
/// error, instead of the signal ending the process.
///
/// # Errors
/// The handler cannot be registered.
pub fn ignore_file_size_signal() -> io::Result<()> {
    signal_hook::flag::register(SIGXFSZ, Arc::default()).map(drop)
}
