//! The protocol's timers, by the time at which they are due.

use crate::id::MemberId;
use crate::time::Micros;
use foca::Timer;
use std::collections::BTreeMap;

/// Timers in the order in which they are due; those due at the same time in the order in which they were
/// started.
#[derive(Default)]
pub(crate) struct TimerQueue {
    timers: BTreeMap<(Micros, u64), Timer<MemberId>>,
    started: u64,
}

impl TimerQueue {
    pub(crate) fn start(&mut self, due_at: Micros, timer: Timer<MemberId>) {
        self.started += 1;
        self.timers.insert((due_at, self.started), timer);
    }

    /// When the first timer is due.
    pub(crate) fn next_due_at(&self) -> Option<Micros> {
        self.timers.first_key_value().map(|(&(due_at, _), _)| due_at)
    }

    /// Removes the first timer, if it is due.
    pub(crate) fn pop_due(&mut self, now: Micros) -> Option<Timer<MemberId>> {
        let first = self.timers.first_entry()?;
        let (due_at, _) = *first.key();
        (due_at <= now).then(|| first.remove())
    }

    /// Postpones all timers.
    pub(crate) fn postpone_all(&mut self, by: Micros) {
        let timers = std::mem::take(&mut self.timers);
        self.timers =
            timers.into_iter().map(|((due_at, number), timer)| ((due_at + by, number), timer)).collect();
    }

    pub(crate) fn clear(&mut self) {
        self.timers.clear();
    }
}
