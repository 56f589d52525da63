//! When workers started, on the node's own clock.
//!
//! Discovery dates starts in Unix time. The node's wall clock may be wrong, by seconds or by an hour, and so
//! may that of a worker's machine; only spans on the monotonic clock are reliable. Without a correct wall
//! clock this much is known:
//!
//! - the newest date of all lists is in the past when it is read, so a worker is at least as old as its date
//!   lies before the newest one;
//! - an entry that was not in the list before, or had another date there, started after that list was read.
//!
//! Each of these, and the wall clock where what it says is possible, yields an age. The least one counts,
//! since a worker that is taken for older than it is skips its slow start. In return the newest workers of
//! the first list are taken to have just started. A date is evaluated once: a later list or clock changes no
//! slow start that is under way.

use sorrelhaven_dispatcher::{Micros, WorkerId};
use std::collections::HashMap;

/// The list from the configuration and the first one of discovery: both may name workers that started long
/// ago.
const INITIAL_LISTS: u64 = 2;

/// A worker's start as it was evaluated.
struct RecordedStart {
    /// The date in the list.
    reported: Micros,
    /// The start on the node's clock.
    started_at: Micros,
}

/// The starts of all workers that discovery has dated.
#[derive(Default)]
pub struct StartTimes {
    starts: HashMap<WorkerId, RecordedStart>,
    /// The most by which the newest date of a list was ahead of the node's clock when it was read.
    max_clock_lag: Option<Micros>,
    /// The lists read so far, with the current one.
    lists_read: u64,
    /// When the list before the current one was read.
    last_list_read_at: Micros,
}

impl StartTimes {
    /// Begins to read a list at `now` that holds these dates. To be called before [`StartTimes::started_at`]
    /// for its entries.
    pub fn begin_list(&mut self, reported_starts: impl Iterator<Item = Micros>, now: Micros) {
        let newest = reported_starts.filter(|reported| *reported > 0).max();
        let clock_lag = newest.map(|reported| reported - now);
        self.max_clock_lag = self.max_clock_lag.max(clock_lag);
        self.lists_read += 1;
        if self.lists_read <= INITIAL_LISTS {
            // The list from the configuration may be old: the first one of discovery is more reliable.
            self.starts.clear();
        }
    }

    /// Ends the reading of the list that was begun.
    pub fn end_list(&mut self, now: Micros) {
        self.last_list_read_at = now;
    }

    /// When a worker that discovery dates `dated` started, on the node's clock; 0 where that is long ago.
    pub fn started_at(&mut self, worker: WorkerId, reported: Micros, now: Micros) -> Micros {
        if reported <= 0 {
            return 0;
        }
        let previous = self.starts.get(&worker);
        if let Some(start) = previous.filter(|start| start.reported == reported) {
            return start.started_at;
        }
        let age_by_newest_start = self.max_clock_lag.map(|clock_lag| now + clock_lag - reported);
        let age_by_clock = Some(now - reported).filter(|age| *age >= 0);
        let age_by_change = (self.lists_read > INITIAL_LISTS).then(|| now - self.last_list_read_at);
        let ages = [age_by_newest_start, age_by_clock, age_by_change];
        let age = ages.into_iter().flatten().min().unwrap_or(0).max(0);
        // A process that restarts is another one, whatever the dates say.
        let earliest = previous.map_or(1, |start| start.started_at + 1);
        let started_at = (now - age).max(earliest);
        self.starts.insert(worker, RecordedStart { reported, started_at });
        started_at
    }
}
