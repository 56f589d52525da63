//! Permits for long bodies that are sent to workers.
//!
//! A worker is occupied for as long as the transfer of a body takes, and all transfers share one core and one
//! network: more of them at once make each slower and occupy more workers, and none ends sooner. The permits
//! guard against a surge of long bodies that occupies every worker while small jobs wait.

use crate::tasks::Tasks;
use async_io::Timer;
use async_lock::{Semaphore, SemaphoreGuardArc};
use sorrelhaven_wire::timeout_at;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The most long bodies with a permit at once.
const MAX_CONCURRENT_BODIES: usize = 4;
/// A permit is returned after this time in any case: a client that sends slowly must not keep others out.
const PERMIT_TIMEOUT: Duration = Duration::from_secs(1);

/// Admits long bodies, a few at a time.
pub struct BodyAdmission {
    semaphore: Arc<Semaphore>,
    tasks: Rc<Tasks>,
}

/// The right to send a long body; returned when dropped, or after `PERMIT_TIMEOUT`.
pub struct BodyPermit {
    _guard: Rc<RefCell<Option<SemaphoreGuardArc>>>,
}

impl BodyAdmission {
    /// An admission of which all permits are free; `tasks` runs the timeouts of the permits.
    pub fn new(tasks: Rc<Tasks>) -> BodyAdmission {
        BodyAdmission { semaphore: Arc::new(Semaphore::new(MAX_CONCURRENT_BODIES)), tasks }
    }

    /// Waits for a permit, in the order of the calls; `None` where none is free by `deadline`.
    pub async fn acquire(&self, deadline: Instant) -> Option<BodyPermit> {
        let guard = timeout_at(deadline, self.semaphore.acquire_arc()).await?;
        let guard = Rc::new(RefCell::new(Some(guard)));
        let weak_guard = Rc::downgrade(&guard);
        self.tasks.spawn(async move {
            Timer::after(PERMIT_TIMEOUT).await;
            if let Some(guard) = weak_guard.upgrade() {
                guard.borrow_mut().take();
            }
        });
        Some(BodyPermit { _guard: guard })
    }
}
