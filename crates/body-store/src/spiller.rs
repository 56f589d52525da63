//! A background task that moves complete bodies from memory to files while memory is short.

use crate::decision::StorageTier;
use crate::plan::BodyId;
use crate::store::BodyStore;
use crate::writer::BodyWriter;
use std::rc::Rc;

impl BodyStore {
    /// Moves complete bodies from memory to files whenever memory is short. Never returns.
    pub async fn run_spiller(self: Rc<Self>) {
        loop {
            // Listening before the check ensures that no notification between the two is missed.
            let pressure = self.resources.memory_pressure.listen();
            let now = self.resources.now();
            let next = self.resources.plan().begin_spill(now);
            match next {
                Some(id) => self.spill_to_file(id).await,
                None => pressure.await,
            }
        }
    }

    async fn spill_to_file(&self, id: BodyId) {
        let Some(shared) = self.bodies.find(id) else { return };
        let mut writer = BodyWriter::new(shared);
        let written = writer.write_to_file(true).await;
        self.resources.plan().finish_spill(id);
        if written.is_ok() {
            writer.set_tier(StorageTier::File);
            self.resources.counters.bodies_spilled.increment();
        }
    }
}
