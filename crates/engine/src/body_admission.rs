//! BodyAdmission for long bodies on their way to boxes.
//!
//! A box is held for as long as a body takes to get there, and all bodies share one core and one network: more of them
//! at once make each slower and hold more boxes, without any getting there sooner. Guards against a surge of long bodies
//! that holds every box while small jobs wait.

use crate::tasks::Tasks;
use async_io::Timer;
use async_lock::{Semaphore, SemaphoreGuardArc};
use sorrelhaven_wire::timeout_at;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Long bodies that may begin their way at once.
const PLACES: usize = 4;
/// A place is given up after so long all the same: a client that sends slowly must not keep others out.
const HELD: Duration = Duration::from_secs(1);

/// The places.
pub struct BodyAdmission {
    free: Arc<Semaphore>,
    tasks: Rc<Tasks>,
}

/// One of them; free again when dropped, or after a while.
pub struct BodyPermit {
    _held: Rc<RefCell<Option<SemaphoreGuardArc>>>,
}

impl BodyAdmission {
    /// All permits are free.
    pub fn new(tasks: Rc<Tasks>) -> BodyAdmission {
        BodyAdmission { free: Arc::new(Semaphore::new(PLACES)), tasks }
    }

    /// A place, in the order in which they were asked for; `None` where none is free by `deadline`.
    pub async fn acquire(&self, deadline: Instant) -> Option<BodyPermit> {
        let guard = timeout_at(deadline, self.free.acquire_arc()).await?;
        let held = Rc::new(RefCell::new(Some(guard)));
        let place = Rc::downgrade(&held);
        self.tasks.spawn(async move {
            Timer::after(HELD).await;
            if let Some(place) = place.upgrade() {
                place.borrow_mut().take();
            }
        });
        Some(BodyPermit { _held: held })
    }
}
