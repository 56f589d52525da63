//! Moves complete bodies from memory to files while memory is short.

use crate::body::SharedBody;
use crate::plan::{BodyId, StorageTier};
use crate::store::BodyStore;
use crate::writer::BodyWriter;
use std::rc::{Rc, Weak};

impl BodyStore {
    /// Moves complete bodies from memory to files whenever memory is short. Never returns.
    pub async fn run_spiller(self: Rc<Self>) {
        loop {
            // Listens before it looks, so that no change in between is missed.
            let pressure = self.memory_pressure.listen();
            let next = self.plan.borrow_mut().next_to_spill(self.now());
            match next {
                Some(id) => self.spill_to_disk(id).await,
                None => pressure.await,
            }
        }
    }

    async fn spill_to_disk(&self, id: BodyId) {
        let Some(shared) = self.find_body(id) else { return };
        let mut writer = BodyWriter::new(shared);
        let written = writer.write_to_file(true).await;
        self.plan.borrow_mut().finish_spill(id);
        if written.is_ok() {
            writer.set_tier(StorageTier::File);
            self.counters.bodies_spilled.increment();
        }
    }

    /// The body, unless its request has ended in the meantime.
    fn find_body(&self, id: BodyId) -> Option<Rc<SharedBody>> {
        self.bodies.borrow().get(&id).and_then(Weak::upgrade)
    }
}
