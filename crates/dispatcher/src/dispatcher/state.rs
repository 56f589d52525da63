//! What a dispatcher knows of workers, requests and attempts.

use super::*;

/// After this long without news half of a worker's known queue is taken to be gone.
const WAIT_HALF: f64 = 2_000_000.0;

/// Which request was sent, which attempt it is, and where it went.
pub(super) type Sent = (RequestId, u32, WorkerId);

/// An attempt that has no outcome yet.
pub(super) struct Attempt {
    pub(super) request: RequestId,
    pub(super) number: u32,
    pub(super) class: usize,
    pub(super) size: f64,
    pub(super) width: f64,
    pub(super) sent: Micros,
    pub(super) wanted: Micros,
    pub(super) started: Option<Micros>,
}

/// What this dispatcher knows of a worker.
#[derive(Default)]
pub(super) struct Worker {
    pub(super) entry: WorkerEntry,
    pub(super) epc: Vec<Epc>,
    pub(super) c: Vec<f64>,
    pub(super) timeouts: u32,
    pub(super) trial_at: Micros,
    pub(super) full: Vec<(u32, Micros)>,
    pub(super) wait: Vec<(f64, Micros)>,
    pub(super) alive: Micros,
    pub(super) in_flight: Vec<Attempt>,
    pub(super) cold: (f64, Micros),
    pub(super) keys: Keys,
}

impl Worker {
    /// How long a job sent now would wait: what starts told, fading to a `usual` wait, or what waits longer.
    pub(super) fn wait_now(&self, class: usize, now: Micros, usual: f64) -> f64 {
        let known = usual + (self.wait[class].0 - usual) * self.fresh(class, now);
        self.unstarted().map(|a| (now - a.sent) as f64).fold(known, f64::max)
    }

    pub(super) fn ready(&self) -> bool {
        self.entry.lifecycle == Lifecycle::Ready
    }

    pub(super) fn out(&self) -> f64 {
        self.in_flight.iter().map(|a| a.width).sum()
    }

    pub(super) fn fresh(&self, class: usize, now: Micros) -> f64 {
        (-((now - self.wait[class].1) as f64) / WAIT_HALF).exp2()
    }

    pub(super) fn unstarted(&self) -> impl Iterator<Item = &Attempt> {
        self.in_flight.iter().filter(|a| a.started.is_none())
    }
}

/// A request that has no final answer yet.
#[derive(Default)]
pub(super) struct Request {
    pub(super) class: usize,
    pub(super) size: f64,
    pub(super) key: u64,
    pub(super) hinted: bool,
    pub(super) width: f64,
    pub(super) due: Micros,
    pub(super) aim: Micros,
    pub(super) wanted: Micros,
    pub(super) attempts: u32,
    pub(super) out: Option<(WorkerId, u32)>,
    pub(super) streaming: bool,
    pub(super) spent: bool,
    pub(super) cancelled: bool,
    pub(super) ran: Option<(WorkerId, Micros)>,
    pub(super) tried: Vec<WorkerId>,
}
