//! The discovery service of a soak: serves one worker list, and can stop sending updates or close all
//! watches.

use sorrelhaven_test_support::{WatchStep, serve_discovery, worker_list};
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The number of updates over which a release is spread.
const RELEASE_STEPS: usize = 10;
/// A drain that would leave fewer workers than this in service is skipped.
const MIN_WORKERS_IN_SERVICE: usize = 2;
const IN_SERVICE: &str = "in_service";
const TERMINATING: &str = "terminating";

#[derive(Clone)]
struct Entry {
    address: SocketAddr,
    health: &'static str,
    started_at_unix_ms: u128,
    /// The version of the list in which this entry last changed.
    changed_in: u64,
}

struct State {
    version: u64,
    entries: Vec<Entry>,
    silent_until: Instant,
    /// The number of times that all watches were closed.
    resets: u64,
    /// Entry `i` belongs to worker `i % worker_count`.
    worker_count: usize,
}

impl State {
    fn entries_of(&self, worker: usize) -> impl Iterator<Item = &Entry> {
        self.entries.iter().skip(worker).step_by(self.worker_count)
    }

    /// Sets health and start time of all entries of one worker, in a new version of the list.
    fn update_worker(&mut self, worker: usize, health: &'static str, started_at_unix_ms: u128) {
        let changed_in = self.next_version();
        for entry in self.entries.iter_mut().skip(worker).step_by(self.worker_count) {
            *entry = Entry { address: entry.address, health, started_at_unix_ms, changed_in };
        }
    }

    /// Drains the entries with these indices, and appends a new entry in service for each, in a new version
    /// of the list.
    fn replace(&mut self, indices: Range<usize>) {
        let changed_in = self.next_version();
        for index in indices {
            let old = &mut self.entries[index];
            old.health = TERMINATING;
            old.changed_in = changed_in;
            let address = old.address;
            let started_at_unix_ms = unix_time_ms();
            self.entries.push(Entry { address, health: IN_SERVICE, started_at_unix_ms, changed_in });
        }
    }

    fn next_version(&mut self) -> u64 {
        self.version += 1;
        self.version
    }

    /// The entries changed after `version`, as an update in the format of discovery; the full list if
    /// `version` is 0.
    fn update_after(&self, version: u64) -> String {
        let changed = self.entries.iter().enumerate().filter(|(_, entry)| entry.changed_in > version);
        let entries: Vec<String> = changed.map(|(number, entry)| entry.to_json(number)).collect();
        worker_list(self.version, version == 0, &entries) + "\n"
    }
}

impl Entry {
    fn to_json(&self, number: usize) -> String {
        let Entry { address, health, started_at_unix_ms, .. } = self;
        format!(
            r#"{{"host":"s-{number}","dial":"{address}","health":"{health}","born_ms":{started_at_unix_ms}}}"#
        )
    }
}

fn unix_time_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()
}

/// The discovery service of all nodes of a soak. Clones share one state.
#[derive(Clone)]
pub struct Discovery {
    state: Arc<Mutex<State>>,
    /// The address at which nodes watch the list.
    pub address: SocketAddr,
}

impl Discovery {
    /// Starts a service with `entry_count` entries, spread evenly over the workers at these addresses, all in
    /// service for a long time: their start time is 0.
    pub fn new(worker_addresses: &[SocketAddr], entry_count: usize) -> Discovery {
        let new_entry = |address: &SocketAddr| Entry {
            address: *address,
            health: IN_SERVICE,
            started_at_unix_ms: 0,
            changed_in: 1,
        };
        let state = Arc::new(Mutex::new(State {
            version: 1,
            entries: worker_addresses.iter().cycle().take(entry_count).map(new_entry).collect(),
            silent_until: Instant::now(),
            resets: 0,
            worker_count: worker_addresses.len(),
        }));
        let served = state.clone();
        let address = serve_discovery(move || new_watch(served.clone()));
        Discovery { state, address }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Drains all entries of a worker, unless fewer than `MIN_WORKERS_IN_SERVICE` workers would remain in
    /// service.
    pub fn drain(&self, worker: usize) {
        let mut state = self.state();
        let is_in_service =
            |worker: &usize| state.entries_of(*worker).any(|entry| entry.health == IN_SERVICE);
        if (0..state.worker_count).filter(is_in_service).count() > MIN_WORKERS_IN_SERVICE {
            state.update_worker(worker, TERMINATING, 0);
        }
    }

    /// Puts all entries of a worker back in service, with the current time as start time, if any of them
    /// drains.
    pub fn restart_worker(&self, worker: usize) {
        let mut state = self.state();
        if state.entries_of(worker).any(|entry| entry.health != IN_SERVICE) {
            state.update_worker(worker, IN_SERVICE, unix_time_ms());
        }
    }

    /// Simulates a rolling release: drains the first half of the entries and adds as many new ones, in steps
    /// spread over `duration`.
    pub fn release(&self, duration: Duration) {
        let discovery = self.clone();
        thread::spawn(move || {
            let step_length = discovery.state().entries.len() / 2 / RELEASE_STEPS;
            for step in 0..RELEASE_STEPS {
                discovery.state().replace(step * step_length..(step + 1) * step_length);
                thread::sleep(duration / RELEASE_STEPS as u32);
            }
        });
    }

    /// Sends nothing on any watch for `duration`.
    pub fn silence(&self, duration: Duration) {
        self.state().silent_until = Instant::now() + duration;
    }

    /// Closes all open watches.
    pub fn close_watches(&self) {
        self.state().resets += 1;
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the steps of one watch: the full list first, then an update for each new version.
fn new_watch(state: Arc<Mutex<State>>) -> impl FnMut() -> WatchStep {
    let resets_at_start = lock(&state).resets;
    let mut sent_version = 0;
    move || {
        let state = lock(&state);
        if state.resets != resets_at_start {
            return WatchStep::Close;
        }
        if Instant::now() < state.silent_until {
            return WatchStep::StaySilent;
        }
        if state.version == sent_version {
            return WatchStep::Send(Vec::new());
        }
        let update = state.update_after(sent_version);
        sent_version = state.version;
        WatchStep::Send(vec![update])
    }
}
