//! The protocol's running timers.

use crate::id::MemberId;
use crate::time::Micros;
use foca::Timer;
use std::collections::BTreeMap;

/// Timers ordered by the time at which they are due; those due at the same time, in the order in which they
/// were started.
#[derive(Default)]
pub(crate) struct TimerQueue {
    /// Each timer by its due time and its sequence number.
    timers: BTreeMap<(Micros, u64), Timer<MemberId>>,
    /// The sequence number of the timer started last.
    last_sequence: u64,
}

impl TimerQueue {
    pub(crate) fn start(&mut self, due_at: Micros, timer: Timer<MemberId>) {
        self.last_sequence += 1;
        self.timers.insert((due_at, self.last_sequence), timer);
    }

    /// When the first timer is due; `None` if none is running.
    pub(crate) fn next_due_at(&self) -> Option<Micros> {
        self.timers.first_key_value().map(|(&(due_at, _), _)| due_at)
    }

    /// Removes and returns the first timer if it is due by `now`.
    pub(crate) fn pop_due(&mut self, now: Micros) -> Option<Timer<MemberId>> {
        let first = self.timers.first_entry()?;
        let (due_at, _) = *first.key();
        (due_at <= now).then(|| first.remove())
    }

    /// Postpones every timer by the same duration.
    pub(crate) fn postpone_all(&mut self, by: Micros) {
        let timers = std::mem::take(&mut self.timers);
        self.timers =
            timers.into_iter().map(|((due_at, sequence), timer)| ((due_at + by, sequence), timer)).collect();
    }

    pub(crate) fn clear(&mut self) {
        self.timers.clear();
    }
}
