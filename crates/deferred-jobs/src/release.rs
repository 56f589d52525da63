//! In which order, and how fast, what is due is let go: the decision part of ageing. No I/O, time passed in.
//!
//! *Order.* A job's priority rises by one with each `step` that it has waited. As all rise alike, the order never
//! changes: a job of priority `p` that was due at `d` stands at `d - p * step`. A job due at `d` can so be passed only
//! by jobs due before `d + most * step`, where `most` is the highest priority: that is the stated bound, after which no
//! fresh job passes it.
//!
//! *Shares.* Each party (class and state office) has its own queue; the next job is taken from the party that has been
//! let go least, by its weight, while it had something to let go. A party that comes back from being idle starts level.
//!
//! *Pace.* So many jobs may be let go and not ended: a window that grows by one in each round of ends that were in
//! time, and halves, at most once a round, where a job was turned away or late.

use std::collections::BTreeMap;

/// A point in time, or a length of it, in microseconds.
pub type Micros = i64;

/// A job that is due, numbered by whoever hosts the queue.
pub type JobId = u64;

/// How a job that was let go has ended, as far as the pace goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// Served in time: there is room for more.
    InTime,
    /// Turned away or late: there was not.
    Pressed,
    /// It tells nothing of the boxes.
    Silent,
}

/// What the queue goes by.
#[derive(Clone, Debug)]
pub struct Rules {
    /// A job's priority rises by one with each of these that it has waited.
    pub step: Micros,
    /// The highest priority; a higher one counts as this.
    pub most: u32,
    /// The weight of each party, at least 1.
    pub weights: Vec<u32>,
    /// The least and the most of the window.
    pub window: (f64, f64),
}

#[derive(Debug, Default)]
struct Party {
    queue: BTreeMap<(Micros, JobId), ()>,
    /// What it has been let go, by its weight.
    passed: f64,
}

/// All that is due and not let go.
#[derive(Debug)]
pub struct Release {
    rules: Rules,
    parties: Vec<Party>,
    waiting: usize,
    out: usize,
    window: f64,
    /// Ends until the window may halve again.
    calm_after: usize,
    /// How far the party that was let go last had been let go: where idle ones come back.
    level: f64,
}

impl Release {
    /// Nothing is due; the window is at its least.
    pub fn new(rules: Rules) -> Release {
        let parties = rules.weights.iter().map(|_| Party::default()).collect();
        let window = rules.window.0.max(1.0);
        Release { rules, parties, waiting: 0, out: 0, window, calm_after: 0, level: 0.0 }
    }

    /// After this long no fresh job passes one that is due: the stated bound.
    pub fn bound(&self) -> Micros {
        self.rules.step.saturating_mul(i64::from(self.rules.most))
    }

    /// A job of this party has fallen due. Parties out of range count as the last.
    pub fn due(&mut self, now: Micros, id: JobId, party: usize, priority: u32) {
        let last = self.parties.len().saturating_sub(1);
        let level = self.level;
        let Some(party) = self.parties.get_mut(party.min(last)) else { return };
        if party.queue.is_empty() {
            party.passed = party.passed.max(level);
        }
        let ahead = self.rules.step.saturating_mul(i64::from(priority.min(self.rules.most)));
        if party.queue.insert((now.saturating_sub(ahead), id), ()).is_none() {
            self.waiting += 1;
        }
    }

    /// A job is withdrawn before it was let go; false where it is not here.
    pub fn withdraw(&mut self, due: Micros, id: JobId, party: usize, priority: u32) -> bool {
        let last = self.parties.len().saturating_sub(1);
        let Some(party) = self.parties.get_mut(party.min(last)) else { return false };
        let ahead = self.rules.step.saturating_mul(i64::from(priority.min(self.rules.most)));
        let found = party.queue.remove(&(due.saturating_sub(ahead), id)).is_some();
        self.waiting -= usize::from(found);
        found
    }

    /// The next job to let go, if there is one and there is room.
    pub fn let_go(&mut self) -> Option<JobId> {
        if self.out as f64 >= self.window.floor() {
            return None;
        }
        let busy = self.parties.iter_mut().enumerate().filter(|(_, p)| !p.queue.is_empty());
        let (place, party) = busy.min_by(|a, b| a.1.passed.total_cmp(&b.1.passed).then(a.0.cmp(&b.0)))?;
        let ((_, id), ()) = party.queue.pop_first()?;
        self.level = party.passed;
        party.passed += 1.0 / f64::from(self.rules.weights[place].max(1));
        self.waiting -= 1;
        self.out += 1;
        Some(id)
    }

    /// A job that was let go has ended.
    pub fn ended(&mut self, pace: Pace) {
        self.out = self.out.saturating_sub(1);
        self.calm_after = self.calm_after.saturating_sub(1);
        let (least, most) = self.rules.window;
        match pace {
            Pace::InTime => self.window = (self.window + 1.0 / self.window).min(most),
            Pace::Pressed if self.calm_after == 0 => {
                // What is out was let go by the old window: its ends tell nothing of the new one.
                self.calm_after = self.out;
                self.window = (self.window / 2.0).max(least.max(1.0));
            }
            Pace::Pressed | Pace::Silent => {}
        }
    }

    /// Jobs that are due and not let go.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Jobs that may be out at once.
    pub fn window(&self) -> f64 {
        self.window
    }
}
