//! Estimates when workers started, on the node's own clock.
//!
//! Discovery reports start times in Unix time. The wall clocks of the node and of a worker's machine may be
//! wrong by seconds or by an hour; only durations on the monotonic clock are reliable. Without correct wall
//! clocks, the following is known:
//!
//! - The newest reported start of all lists is in the past when it is read. So a worker is at least as old as
//!   the difference between the newest reported start and its own.
//! - A worker that was not in the previous list, or had another reported start there, started after that list
//!   was read.
//!
//! Each of these yields an age, and so does the wall clock unless the reported start is in the future. The
//! least age is used, because a worker whose age is overestimated would skip its slow start. As a
//! consequence, the newest workers of the first list are assumed to have just started. A reported start is
//! evaluated only once, so that a later list or clock change does not affect a slow start in progress.

use sorrelhaven_dispatcher::{Micros, WorkerId};
use std::collections::HashMap;

/// The number of lists that may name new workers that started long ago: the list in the configuration, and
/// the first list from discovery.
const INITIAL_LISTS: u64 = 2;

/// The estimated start of a worker.
struct RecordedStart {
    /// The start that the list reported, in Unix time.
    reported: Micros,
    /// The estimate on the node's clock.
    started_at: Micros,
}

/// The estimated starts of all workers whose start discovery has reported.
#[derive(Default)]
pub struct StartTimes {
    starts: HashMap<WorkerId, RecordedStart>,
    /// The most by which the newest reported start of any list was ahead of the node's clock when that list
    /// was read; negative if none was. The node's clock is behind the clock of the reports by at least this.
    max_clock_lag: Option<Micros>,
    /// The number of lists read so far, including the current one.
    lists_read: u64,
    /// When the previous list was read.
    last_list_read_at: Micros,
}

impl StartTimes {
    /// Begins a list that is read at `now` and holds these reported starts. Must be called before
    /// [`StartTimes::started_at`] is called for the list's entries.
    pub fn begin_list(&mut self, reported_starts: impl Iterator<Item = Micros>, now: Micros) {
        let newest = reported_starts.filter(|reported| *reported > 0).max();
        let clock_lag = newest.map(|reported| reported - now);
        self.max_clock_lag = self.max_clock_lag.max(clock_lag);
        self.lists_read += 1;
        if self.lists_read <= INITIAL_LISTS {
            // The list in the configuration may be old, so the first one from discovery replaces its
            // estimates.
            self.starts.clear();
        }
    }

    /// Ends the current list, which was read at `now`.
    pub fn end_list(&mut self, now: Micros) {
        self.last_list_read_at = now;
    }

    /// Estimates when a worker started on the node's clock; `reported` is its start according to the list.
    /// Returns 0 if the list reports none, which means long ago.
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
        // A restarted process must get a later start than the previous one, even if the estimates are equal.
        let earliest = previous.map_or(1, |start| start.started_at + 1);
        let started_at = (now - age).max(earliest);
        self.starts.insert(worker, RecordedStart { reported, started_at });
        started_at
    }
}
