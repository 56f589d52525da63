//! The writing end of a body: receives the body as it arrives, and stores it where the plan decides.

use crate::block_buffer::BLOCK_BYTES;
use crate::body::{OpenFile, SharedBody};
use crate::body_end::BodyEnd;
use crate::body_file::BodyFile;
use crate::decision::{NotStoredReason, StorageDecision, StorageTier};
use crate::disk::is_disk_full;
use crate::request_body::RequestBody;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tracing::info;

/// Once this many bytes that are not stored are unread, the writer waits for the reader. Bounds the memory
/// that these bytes take, which no budget limits.
const MAX_UNREAD_BYTES: u64 = BLOCK_BYTES as u64;
/// The timeout for creating a file and for writing a block, including the wait for a thread. A call that has
/// not returned by then disables the disk.
const DISK_CALL_TIMEOUT: Duration = Duration::from_millis(250);
/// The writes for one body may take this long in total, plus the time that the written bytes take at
/// [`MIN_DISK_BYTES_PER_SECOND`]. Beyond that, the disk is disabled.
const DISK_TIME_ALLOWANCE: Duration = Duration::from_millis(200);
/// The slowest write rate at which the disk stays in use, after the [`DISK_TIME_ALLOWANCE`].
const MIN_DISK_BYTES_PER_SECOND: f64 = 16.0 * 1024.0 * 1024.0;

/// Receives one body. Dropping it before the upload has ended counts as [`BodyEnd::RequestConcluded`], or as
/// [`BodyEnd::NeverStarted`] if no byte has arrived.
pub struct BodyWriter {
    shared: Rc<SharedBody>,
    /// The total duration of the disk writes for this body.
    disk_time: Duration,
}

impl BodyWriter {
    pub(crate) fn new(shared: Rc<SharedBody>) -> BodyWriter {
        BodyWriter { shared, disk_time: Duration::ZERO }
    }

    /// A handle of the body for its request.
    pub fn body(&self) -> RequestBody {
        RequestBody::new(self.shared.clone())
    }

    /// The number of bytes that have arrived.
    pub fn received_bytes(&self) -> u64 {
        self.shared.state.borrow().received_bytes
    }

    /// Carries out the plan's decision about the first piece, before any byte has arrived.
    ///
    /// # Errors
    /// How the upload has ended, if the body is rejected.
    pub(crate) fn apply_initial_decision(&self, decision: StorageDecision) -> Result<(), BodyEnd> {
        match decision {
            StorageDecision::Store(tier) => {
                self.set_tier(tier);
                Ok(())
            }
            StorageDecision::NotStored(reason) => self.stop_storing(reason),
            StorageDecision::TooLarge => Err(self.end(BodyEnd::TooLarge)),
        }
    }

    /// Reserves memory for a piece of a body that is in a file or not stored, which the memory budget does not count:
    /// for the caller's copy and for the one in the buffer.
    ///
    /// # Errors
    /// The budget is used up, and the upload has ended.
    fn reserve_window(&self, piece_length: usize) -> Result<(), BodyEnd> {
        let uncounted = usize::try_from(self.uncounted_bytes()).unwrap_or(usize::MAX);
        let needed = uncounted.saturating_add(2 * piece_length);
        let has_room = {
            let state = &mut *self.shared.state.borrow_mut();
            let window = state.window.get_or_insert_with(|| self.shared.resources.new_window());
            window.grow_now(needed)
        };
        if has_room { Ok(()) } else { Err(self.end(BodyEnd::BudgetExhausted)) }
    }

    /// The bytes of a body in a file or not stored that are in memory, and that the memory budget does not count.
    fn uncounted_bytes(&self) -> u64 {
        match self.tier() {
            StorageTier::Memory => 0,
            StorageTier::File => {
                let state = self.shared.state.borrow();
                state.received_bytes - state.memory.start()
            }
            StorageTier::NotStored => self.unread_bytes(),
        }
    }

    /// Appends the next piece. Waits while blocks are written to the file. If the body is not stored, waits
    /// until less than a block of unstored bytes is unread.
    ///
    /// # Errors
    /// How the upload has ended: the body is too long, or it can't be stored and the settings reject such
    /// bodies.
    pub async fn push(&mut self, bytes: &[u8]) -> Result<(), BodyEnd> {
        let now = self.shared.resources.now();
        let decision = self.shared.plan().reserve(now, self.shared.id, bytes.len() as u64);
        match decision {
            StorageDecision::TooLarge => return Err(self.end(BodyEnd::TooLarge)),
            StorageDecision::Store(tier) => self.store_piece(bytes, tier).await?,
            StorageDecision::NotStored(reason) => {
                self.stop_storing(reason)?;
                self.wait_for_reader().await;
                self.reserve_window(bytes.len())?;
                self.append(bytes);
            }
        }
        self.shared.notify();
        Ok(())
    }

    /// Ends the upload after the whole body has arrived. If the body is stored in a file, first writes the
    /// remaining blocks to it.
    pub async fn finish(mut self) -> BodyEnd {
        if self.tier() == StorageTier::File {
            // After a failed write the remaining blocks are still in memory, so the body is complete even so.
            if self.flush(true).await.is_ok() {
                self.shared.state.borrow_mut().window = None;
            }
        }
        let is_stored = self.shared.state.borrow().not_stored_from.is_none();
        let tier = if is_stored { self.tier() } else { StorageTier::NotStored };
        self.shared.plan().mark_complete(self.shared.id);
        self.shared.resources.wake_spiller();
        self.end(BodyEnd::complete(tier))
    }

    /// Ends the upload as `end` says, unless it has already ended. Returns `end` in both cases.
    pub fn end(&self, end: BodyEnd) -> BodyEnd {
        if self.shared.state.borrow().end.is_none() {
            self.shared.state.borrow_mut().end = Some(end);
            self.shared.resources.counters.record_end(end);
            if !end.is_complete() {
                self.release_storage();
            }
        }
        self.shared.notify();
        end
    }

    /// Releases the memory and the file of a body whose upload has failed. It can't be read any more, but the
    /// request and the readers may hold it for longer.
    fn release_storage(&self) {
        let mut state = self.shared.state.borrow_mut();
        state.memory.clear();
        state.file = None;
        state.window = None;
        let mut plan = self.shared.plan();
        plan.release_memory(self.shared.id, u64::MAX);
        plan.release_file(self.shared.id);
    }

    pub(crate) fn tier(&self) -> StorageTier {
        self.shared.state.borrow().tier
    }

    pub(crate) fn set_tier(&self, tier: StorageTier) {
        self.shared.state.borrow_mut().tier = tier;
    }

    fn append(&self, bytes: &[u8]) {
        self.shared.state.borrow_mut().append(bytes, self.shared.declared_length);
    }

    async fn store_piece(&mut self, bytes: &[u8], tier: StorageTier) -> Result<(), BodyEnd> {
        self.set_tier(tier);
        if tier == StorageTier::File {
            self.reserve_window(bytes.len())?;
        }
        self.append(bytes);
        self.shared.resources.wake_spiller();
        if tier != StorageTier::File {
            return Ok(());
        }
        match self.write_to_file(false).await {
            Ok(()) => Ok(()),
            // The bytes that were not written are still in memory: only those that arrive next are not
            // stored.
            Err(reason) => self.stop_storing(reason),
        }
    }

    /// Stores no byte that arrives from now on.
    ///
    /// # Errors
    /// How the upload has ended, if the settings reject bodies that can't be stored.
    fn stop_storing(&self, reason: NotStoredReason) -> Result<(), BodyEnd> {
        {
            let state = &mut *self.shared.state.borrow_mut();
            if state.not_stored_from.is_some() {
                return Ok(());
            }
            state.not_stored_from = Some(state.received_bytes);
            state.tier = StorageTier::NotStored;
        }
        let resources = &self.shared.resources;
        self.shared.plan().stop_storing(self.shared.id);
        resources.counters.record_not_stored(reason);
        if resources.rejects_unstorable() { Err(self.end(BodyEnd::rejected(reason))) } else { Ok(()) }
    }

    /// Waits until less than [`MAX_UNREAD_BYTES`] unstored bytes are unread.
    async fn wait_for_reader(&self) {
        loop {
            let changed = self.shared.changed.listen();
            if self.unread_bytes() < MAX_UNREAD_BYTES {
                return;
            }
            changed.await;
        }
    }

    /// The number of bytes in memory that no budget accounts for.
    fn unread_bytes(&self) -> u64 {
        let state = self.shared.state.borrow();
        match state.consumer {
            // The bytes before `not_stored_from` are stored, and accounted for.
            None => state.received_bytes - state.not_stored_from.unwrap_or(0),
            Some(_) => state.received_bytes - state.memory.start(),
        }
    }

    /// Writes the full blocks in memory to the file, with `include_partial` all blocks. Creates the file
    /// first if there is none.
    ///
    /// # Errors
    /// Why the blocks can't be written. Those that were not written stay in memory.
    pub(crate) async fn write_to_file(&mut self, include_partial: bool) -> Result<(), NotStoredReason> {
        let has_file = self.shared.state.borrow().file.is_some();
        if !has_file {
            self.create_file().await?;
        }
        self.flush(include_partial).await
    }

    async fn create_file(&self) -> Result<(), NotStoredReason> {
        let resources = &self.shared.resources;
        let disk = resources.disk().ok_or(NotStoredReason::Budget)?;
        let permit = resources.acquire_file_permit().ok_or(NotStoredReason::Budget)?;
        let call = move || {
            let free_bytes = disk.free_bytes()?;
            Ok::<_, io::Error>((free_bytes, disk.create_file()?))
        };
        let deadline = Instant::now() + DISK_CALL_TIMEOUT;
        let completed = resources.pool.run(deadline, call).await.map_err(|_| self.record_slow_disk())?;
        let (free_bytes, file) = completed.value.map_err(|error| self.record_disk_error(&error))?;
        let has_free_space = self.shared.plan().has_free_space(self.shared.id, free_bytes);
        if !has_free_space {
            let reason = NotStoredReason::DiskFull;
            resources.record_disk_failure(self.shared.id, reason, "too little free space");
            return Err(reason);
        }
        resources.counters.files_created.increment();
        let file = Arc::new(BodyFile::new(file));
        self.shared.state.borrow_mut().file = Some(OpenFile { file, _permit: permit });
        Ok(())
    }

    /// Writes the full blocks in memory to the file, if there is one; with `include_partial` all blocks.
    async fn flush(&mut self, include_partial: bool) -> Result<(), NotStoredReason> {
        loop {
            let next = self.shared.state.borrow().next_unwritten_block(include_partial);
            let Some(unwritten) = next else { return Ok(()) };
            let length = unwritten.block.len() as u64;
            let call = move || unwritten.file.write_block(&unwritten.block, unwritten.offset);
            let deadline = Instant::now() + DISK_CALL_TIMEOUT;
            let completed = self.shared.resources.pool.run(deadline, call).await;
            let completed = completed.map_err(|_| self.record_slow_disk())?;
            let checksum = completed.value.map_err(|error| self.record_disk_error(&error))?;
            self.disk_time += completed.duration;
            self.shared.state.borrow_mut().mark_written(checksum);
            self.record_disk_success(length);
            self.check_disk_speed()?;
        }
    }

    fn record_disk_success(&self, written: u64) {
        let mut plan = self.shared.plan();
        plan.release_memory(self.shared.id, written);
        if plan.record_disk_success() {
            info!("body store disk enabled");
        }
    }

    /// Compares the time that the writes for this body have taken with the time allowed for the written
    /// bytes.
    ///
    /// # Errors
    /// The writes have taken too long.
    fn check_disk_speed(&self) -> Result<(), NotStoredReason> {
        let written = self.shared.state.borrow().file_bytes;
        let expected_time = Duration::from_secs_f64(written as f64 / MIN_DISK_BYTES_PER_SECOND);
        if self.disk_time > DISK_TIME_ALLOWANCE + expected_time {
            return Err(self.record_slow_disk());
        }
        Ok(())
    }

    fn record_disk_error(&self, error: &io::Error) -> NotStoredReason {
        let reason =
            if is_disk_full(error) { NotStoredReason::DiskFull } else { NotStoredReason::DiskFailed };
        self.shared.resources.record_disk_failure(self.shared.id, reason, &error.to_string());
        reason
    }

    fn record_slow_disk(&self) -> NotStoredReason {
        let reason = NotStoredReason::DiskSlow;
        self.shared.resources.record_disk_failure(
            self.shared.id,
            reason,
            "disk call timed out, or writes too slow",
        );
        reason
    }
}

impl Drop for BodyWriter {
    fn drop(&mut self) {
        let has_ended = self.shared.state.borrow().end.is_some();
        if has_ended {
            return;
        }
        self.end(if self.received_bytes() == 0 { BodyEnd::NeverStarted } else { BodyEnd::RequestConcluded });
    }
}
