//! Limits how many long bodies are sent to workers at once.
//!
//! A worker is occupied while it receives a body, and all transfers share one core and one network: more
//! concurrent transfers slow each other down and occupy more workers, and none completes earlier. Without
//! the limit, a burst of long bodies would occupy every worker while small jobs wait.

use crate::tasks::Tasks;
use async_io::Timer;
use async_lock::{Semaphore, SemaphoreGuardArc};
use sorrelhaven_wire::timeout_at;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The most permits that are in use at once.
const MAX_CONCURRENT_BODIES: usize = 4;
/// A permit is released after this time even if the body is still being sent, so that slow clients do not
/// block others.
const PERMIT_TIMEOUT: Duration = Duration::from_secs(1);

/// Grants a limited number of permits for long bodies.
pub struct BodyAdmission {
    semaphore: Arc<Semaphore>,
    tasks: Rc<Tasks>,
}

/// The right to send a long body. Released when dropped, or after `PERMIT_TIMEOUT` (1 s).
pub struct BodyPermit {
    _guard: Rc<RefCell<Option<SemaphoreGuardArc>>>,
}

impl BodyAdmission {
    /// Creates an admission with all permits free; `tasks` runs the timeouts of the permits.
    pub fn new(tasks: Rc<Tasks>) -> BodyAdmission {
        BodyAdmission { semaphore: Arc::new(Semaphore::new(MAX_CONCURRENT_BODIES)), tasks }
    }

    /// Waits for a permit, in the order of the calls. Returns `None` if it gets none by `deadline`.
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
