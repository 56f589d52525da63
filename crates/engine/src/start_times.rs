//! When executors started, on the node's own clock.
//!
//! Discovery dates starts in Unix time. The node's wall clock may be wrong, by seconds or by an hour, and so may that of
//! an executor's machine; only spans on the monotonic clock are sure. What can be known without a true wall clock:
//!
//! - the newest date of all lists is in the past when it is read, so no start is younger than its distance to that says;
//! - an entry that was not in the list before, or with another date, started after the list before was read.
//!
//! Each of these, and the wall clock where its word is possible, gives an age; the least one counts, for an executor that
//! is taken for older than it is skips its slow start. The price: the newest executors of the first list are taken to
//! have just started. A date is read once: what a later list or clock says changes no slow start that is under way.

use sorrelhaven_dispatcher::{Micros, WorkerId};
use std::collections::HashMap;

/// A start as it was read.
struct StartLine {
    /// As discovery dates it.
    dated: Micros,
    /// On the node's clock.
    at: Micros,
}

/// The starts of all executors that discovery has dated.
#[derive(Default)]
pub struct StartTimes {
    starts: HashMap<WorkerId, StartLine>,
    /// How far the newest date was ahead of the node's clock when it was read, at most.
    ahead: Option<Micros>,
    /// Lists read: the known one, the first one of discovery, changes.
    lists: u64,
    last_list: Micros,
}

impl StartTimes {
    /// A list is read at `now` that holds these dates. To be called before its entries are dated.
    pub fn begin_list(&mut self, dates: impl Iterator<Item = Micros>, now: Micros) {
        let newest = dates.filter(|dated| *dated > 0).max();
        let ahead = newest.map(|dated| dated - now);
        self.ahead = self.ahead.max(ahead);
        self.lists += 1;
        if self.lists <= 2 {
            // The list that was known at the start may be old: the first one of discovery is the better witness.
            self.starts.clear();
        }
    }

    /// The list that was begun has been read.
    pub fn end_list(&mut self, now: Micros) {
        self.last_list = now;
    }

    /// When an executor started that discovery dates so, on the node's clock; 0 where that is long ago.
    pub fn started_at(&mut self, worker: WorkerId, dated: Micros, now: Micros) -> Micros {
        if dated <= 0 {
            return 0;
        }
        let before = self.starts.get(&worker);
        if let Some(start) = before.filter(|start| start.dated == dated) {
            return start.at;
        }
        let by_list = self.ahead.map(|ahead| now + ahead - dated);
        let by_clock = Some(now - dated).filter(|age| *age >= 0);
        let by_change = (self.lists > 2).then(|| now - self.last_list);
        let age = [by_list, by_clock, by_change].into_iter().flatten().min().unwrap_or(0).max(0);
        // A process that starts again is another one, whatever the dates say.
        let at = (now - age).max(before.map_or(1, |start| start.at + 1));
        self.starts.insert(worker, StartLine { dated, at });
        at
    }
}
