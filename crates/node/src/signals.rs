//! Signals of the operating system, of which none is lost.
//!
//! A handler sets a flag for its signal and writes one byte to a socket pair that wakes the event loop. What a signal says
//! is in the flag alone: a byte that does not fit, or any number of bytes at once, changes nothing. Signals of one kind
//! that come before the first of them was seen count as one, as the kernel has it too.

use async_io::{Async, Timer};
use futures_lite::AsyncReadExt;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1, SIGXFSZ};
use sorrelhaven_wire::timeout_at;
use std::io;
use std::os::unix::net::UnixStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The flags are looked at after so long at the latest, also where no byte wakes the event loop.
const LOOK: Duration = Duration::from_millis(500);
/// Bytes that are taken from the socket pair at once.
const WAKES: usize = 64;

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Read the configuration again (SIGHUP).
    Reload,
    /// Print the counters (SIGUSR1).
    Report,
    /// End (SIGTERM, SIGINT).
    Stop,
}

/// The signals that this process was sent.
pub struct Signals {
    /// In the order in which they are handled: a process that is to end still reads its configuration before.
    flags: [(Signal, Arc<AtomicBool>); 3],
    wakes: Async<UnixStream>,
}

impl Signals {
    /// Handles signals from now on.
    ///
    /// # Errors
    /// Those of the socket pair, and of the handlers.
    pub fn new() -> io::Result<Signals> {
        let (read, write) = UnixStream::pair()?;
        let flags = [Signal::Reload, Signal::Report, Signal::Stop].map(|s| (s, Arc::<AtomicBool>::default()));
        for (signal, flag) in &flags {
            for &number in numbers(*signal) {
                // The flag is set before the byte is written: handlers run in this order.
                signal_hook::flag::register(number, flag.clone())?;
                signal_hook::low_level::pipe::register(number, write.try_clone()?)?;
            }
        }
        Ok(Signals { flags, wakes: Async::new(read)? })
    }

    /// The next signal.
    pub async fn next(&mut self) -> Signal {
        loop {
            let sent = self.flags.iter().find(|(_, flag)| flag.swap(false, Ordering::SeqCst));
            if let Some((signal, _)) = sent {
                return *signal;
            }
            let mut bytes = [0; WAKES];
            if let Some(Err(_)) = timeout_at(Instant::now() + LOOK, self.wakes.read(&mut bytes)).await {
                // Without a byte to wait for, the flags are looked at now and then.
                Timer::after(LOOK).await;
            }
        }
    }
}

/// The numbers of a signal.
fn numbers(signal: Signal) -> &'static [i32] {
    match signal {
        Signal::Reload => &[SIGHUP],
        Signal::Report => &[SIGUSR1],
        Signal::Stop => &[SIGTERM, SIGINT],
    }
}

/// A write that meets a bound on the size of files fails with a word of its own from now on; it must not end the program.
///
/// # Errors
/// Those of the handler.
pub fn survive_file_size_limit() -> io::Result<()> {
    signal_hook::flag::register(SIGXFSZ, Arc::default()).map(drop)
}
