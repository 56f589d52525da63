//! Watches discovery's list of workers for as long as the node runs, and retries where the watch fails.

use crate::backoff::Backoff;
use crate::counters::Counters;
use crate::discovery_poll::{DiscoveryMode, ListStream, READ_TIMEOUT, poll_hedged};
use crate::watch_error::WatchError;
use async_channel::Receiver;
use async_io::Timer;
use futures_lite::future::{or, yield_now};
use sorrelhaven_config::DiscoveryList;
use sorrelhaven_wire::{Connection, JsonObjectEvent, WireError};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tracing::{debug, info, warn};

/// A watch that lasted this long ends a series of failures.
const STABLE_WATCH_DURATION: Duration = READ_TIMEOUT.saturating_mul(2);

/// The watch on discovery. The last list stays in force while the watch fails and after a move, until a new
/// one comes.
pub struct DiscoveryWatch<'a> {
    counters: &'a Counters,
    mode: DiscoveryMode,
    backoff: Backoff,
    address: SocketAddr,
    /// The version of the last list; `None` where the next one must be complete.
    version: Option<u64>,
    /// The last failure of the current series.
    last_error: Option<String>,
}

impl<'a> DiscoveryWatch<'a> {
    /// A watch at `address` that continues from `version`.
    pub fn new(
        counters: &'a Counters,
        mode: DiscoveryMode,
        backoff: Backoff,
        address: SocketAddr,
        version: u64,
    ) -> DiscoveryWatch<'a> {
        DiscoveryWatch { counters, mode, backoff, address, version: Some(version), last_error: None }
    }

    /// Watches for ever, at the address that `moves` names last; each list goes to `apply`.
    pub async fn run(mut self, address_changes: Receiver<SocketAddr>, apply: impl Fn(&DiscoveryList)) {
        loop {
            let moved = async {
                match address_changes.recv().await {
                    Ok(address) => Some(address),
                    Err(_) => std::future::pending().await,
                }
            };
            let watched = async {
                self.watch_until_retry(&apply).await;
                None
            };
            if let Some(address) = or(moved, watched).await {
                self.change_address(address);
            }
        }
    }

    /// Continues at another address. Versions there may be counted differently, so a complete list is
    /// fetched.
    fn change_address(&mut self, address: SocketAddr) {
        info!(%address, "discovery address changed");
        self.address = address;
        self.version = None;
        self.backoff.reset();
        self.last_error = None;
    }

    /// Watches until the watch fails, and waits until it is to be retried.
    async fn watch_until_retry(&mut self, apply: &impl Fn(&DiscoveryList)) {
        let started = Instant::now();
        let error = match self.watch(apply).await {
            Ok(never) => match never {},
            Err(error) => error,
        };
        self.counters.discovery_watches_failed.increment();
        if started.elapsed() > STABLE_WATCH_DURATION {
            self.backoff.reset();
            self.last_error = None;
        }
        let delay = self.retry_delay(&error);
        self.log_failure(&error, delay);
        if error.is_malformed() {
            self.version = None;
        }
        Timer::after(delay).await;
    }

    fn retry_delay(&mut self, error: &WatchError) -> Duration {
        match (self.mode, error) {
            // Retried at once: the hedged polls have delays of their own.
            (DiscoveryMode::LocalAgent, WatchError::Stalled | WatchError::NoResponse) => Duration::ZERO,
            // The node counts as notified 6 s after the silence began, and half of that has passed: the delay
            // must not grow by polls that failed before the watch.
            (DiscoveryMode::SharedService, WatchError::Stalled) => {
                self.backoff.reset();
                self.backoff.retry_delay(false)
            }
            // The agent or its machine restarts, and may answer at any moment.
            (
                DiscoveryMode::LocalAgent,
                WatchError::Unreachable | WatchError::Unreadable(WireError::Closed | WireError::Broken),
            ) => self.backoff.hedge_delay(),
            _ => self.backoff.retry_delay(matches!(error, WatchError::ErrorStatus(_))),
        }
    }

    /// Logs a failure; the same one in a row is a warning only once.
    fn log_failure(&mut self, error: &WatchError, delay: Duration) {
        let error = error.to_string();
        let retry_in_ms = delay.as_millis();
        if self.last_error.as_ref() == Some(&error) {
            debug!(error, retry_in_ms, "discovery watch failed again");
        } else {
            warn!(error, retry_in_ms, "discovery watch failed");
        }
        self.last_error = Some(error);
    }

    /// Runs one watch until it fails. Without a version to continue from, the complete list is fetched first,
    /// and the watch goes on from it on the same connection.
    async fn watch(&mut self, apply: &impl Fn(&DiscoveryList)) -> Result<Infallible, WatchError> {
        let mut stream = self.poll().await?;
        loop {
            let connection = self.apply_lists(stream, apply).await?;
            let deadline = Instant::now() + READ_TIMEOUT;
            stream = ListStream::request(connection, self.address, &self.query(), deadline).await?;
        }
    }

    async fn poll(&mut self) -> Result<ListStream, WatchError> {
        let query = self.query();
        match self.mode {
            DiscoveryMode::SharedService => ListStream::open(self.address, &query).await,
            DiscoveryMode::LocalAgent => poll_hedged(self.address, &query, &mut self.backoff).await,
        }
    }

    /// Asks for the changes after the known version, or for the complete list.
    fn query(&self) -> String {
        match self.version {
            Some(version) => format!("?watch=1&after={version}"),
            None => String::new(),
        }
    }

    /// Applies the lists of a response. Returns its connection once a fetched list is complete; the response
    /// to a watch has no valid end.
    async fn apply_lists(
        &mut self,
        mut stream: ListStream,
        apply: &impl Fn(&DiscoveryList),
    ) -> Result<Connection, WatchError> {
        let is_fetch = self.version.is_none();
        loop {
            match stream.next().await? {
                JsonObjectEvent::Incomplete => {}
                JsonObjectEvent::Object(text) => self.apply_list(&text, apply).await?,
                JsonObjectEvent::End if is_fetch && self.version.is_some() => {
                    return Ok(stream.into_connection());
                }
                JsonObjectEvent::End => return Err(WatchError::Unreadable(WireError::Closed)),
            }
        }
    }

    async fn apply_list(&mut self, text: &[u8], apply: &impl Fn(&DiscoveryList)) -> Result<(), WatchError> {
        let started = Instant::now();
        let list = DiscoveryList::read(text).map_err(WatchError::InvalidList)?;
        self.counters.responsiveness.record_part("parsing a worker list", started);
        // A long list takes some milliseconds to parse, and some more to apply.
        yield_now().await;
        info!(
            seq = list.version,
            complete = list.complete,
            workers = list.workers.len(),
            "worker list applied"
        );
        apply(&list);
        self.version = Some(list.version);
        Ok(())
    }
}
