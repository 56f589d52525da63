//! The I/O part: takes a body in as it comes, keeps it where the plan says, and gives it out to executions.
//!
//! A body is a row of blocks. Those at the front may be in a file, with a checksum each; the rest is in memory. A
//! [`BodyWriter`] takes it in, any number of [`StoredBodyReader`]s give it out from the first byte on, also while it still comes.

use crate::body_end::{BodyEnd, BodyReadError};
use crate::disk::{Disk, DiskFile, is_full};
use crate::plan::{BodyId, NotStoredReason, Now, Plan, StorageDecision, StorageTier};
use crate::pool::Pool;
use crate::settings;
use event_listener::Event;
use sorrelhaven_config::{BodySettings, Unkept};
use std::any::Any;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// The bytes of a block: the unit of files, of their checksums, and of what a reader holds.
pub const BLOCK_BYTES: usize = 64 * 1024;
/// The most of a body that is not kept that may have come and not been passed on.
const WINDOW: u64 = BLOCK_BYTES as u64;
/// One call to the disk that takes longer than this has the disk stepped away from.
const STALL: Duration = Duration::from_millis(250);
/// The calls for one body may take so long altogether...
const SLACK: Duration = Duration::from_millis(200);
/// ...and beyond that a second for so many bytes; a disk that is slower than this is slower than its clients.
const SLOWEST: f64 = 16.0 * 1024.0 * 1024.0;

/// What stands for a descriptor in the node's budget; free again when dropped.
pub type Permit = Box<dyn Any>;

/// A count.
#[derive(Default)]
struct Count(Cell<u64>);

impl Count {
    fn add(&self, n: u64) {
        self.0.set(self.0.get() + n);
    }
}

#[derive(Default)]
struct Counters {
    ends: [Count; BodyEnd::ALL.len()],
    unkept: [Count; 4],
    files: Count,
    moved: Count,
    corrupt: Count,
    unread: Count,
}

/// All bodies of one node.
pub struct BodyStore {
    plan: RefCell<Plan>,
    disk: RefCell<Option<Arc<dyn Disk>>>,
    refuse: Cell<bool>,
    slowest: Cell<u64>,
    permit: Box<dyn Fn() -> Option<Permit>>,
    pool: Pool,
    start: Instant,
    pressure: Event,
    counters: Counters,
    parts: RefCell<std::collections::HashMap<BodyId, std::rc::Weak<Shared>>>,
}

impl BodyStore {
    /// BodyStore of so many parties (class and state office) by these settings. `disk` is where the settings' directory
    /// is, and `permit` gives a descriptor from the node's budget for each file.
    pub fn new(
        settings: &BodySettings,
        parties: usize,
        disk: Option<Arc<dyn Disk>>,
        permit: impl Fn() -> Option<Permit> + 'static,
    ) -> Rc<BodyStore> {
        let limits = settings::limits(settings, disk.is_some());
        Rc::new(BodyStore {
            plan: RefCell::new(Plan::new(limits, parties)),
            disk: RefCell::new(disk),
            refuse: Cell::new(settings.unkept == Unkept::Refuse),
            slowest: Cell::new(settings.slowest_bytes_per_s),
            permit: Box::new(permit),
            pool: Pool::new(),
            start: Instant::now(),
            pressure: Event::new(),
            counters: Counters::default(),
            parts: RefCell::default(),
        })
    }

    /// Other settings, from now on; bodies that are kept stay kept, and those in memory beyond its new bound are moved
    /// to files where there are any.
    pub fn configure(&self, settings: &BodySettings, disk: Option<Arc<dyn Disk>>) {
        self.plan.borrow_mut().configure(settings::limits(settings, disk.is_some()));
        *self.disk.borrow_mut() = disk;
        self.refuse.set(settings.unkept == Unkept::Refuse);
        self.slowest.set(settings.slowest_bytes_per_s);
        self.pressure.notify(1);
    }

    /// Until when a body whose first byte came at `first` keeps the pace, now that so many bytes have come. One is
    /// given `grace` before it counts.
    pub fn upload_deadline(&self, first: Instant, grace: Duration, came: u64) -> Instant {
        first + grace + Duration::from_secs_f64(came as f64 / self.slowest.get().max(1) as f64)
    }

    /// Bytes held in memory and in files.
    pub fn usage(&self) -> (u64, u64) {
        self.plan.borrow().held()
    }

    /// Takes in a body of `party`, which has told its length or not.
    ///
    /// # Errors
    /// `TooLong`, or what becomes of one that can't be kept where such are refused, with the body that has ended so.
    pub fn begin(
        self: &Rc<Self>,
        party: usize,
        declared: Option<u64>,
    ) -> Result<BodyWriter, (BodyEnd, RequestBody)> {
        let (id, verdict) = self.plan.borrow_mut().begin(self.now(), party, declared);
        let shared = Rc::new(Shared {
            bodies: self.clone(),
            id,
            declared,
            state: RefCell::default(),
            changed: Event::new(),
        });
        self.parts.borrow_mut().insert(id, Rc::downgrade(&shared));
        let writer = BodyWriter { shared, disk_time: Duration::ZERO };
        let begun = match verdict {
            StorageDecision::Keep(step) => {
                writer.shared.state.borrow_mut().step = step;
                Ok(())
            }
            StorageDecision::NotStored(why) => writer.unkept(why),
            StorageDecision::TooLong => Err(writer.end(BodyEnd::TooLong)),
        };
        begun.map_err(|end| (end, writer.body()))?;
        Ok(writer)
    }

    /// Moves whole bodies from memory to files where memory is short; for ever.
    pub async fn run_spiller(self: Rc<Self>) {
        loop {
            let pressed = self.pressure.listen();
            let next = self.plan.borrow_mut().relief(self.now());
            let Some(id) = next else {
                pressed.await;
                continue;
            };
            let shared = self.parts.borrow().get(&id).and_then(std::rc::Weak::upgrade);
            if let Some(shared) = shared {
                let mut writer = BodyWriter { shared, disk_time: Duration::ZERO };
                let moved = async {
                    if writer.shared.state.borrow().file.is_none() {
                        writer.open_file().await?;
                    }
                    writer.flush(true).await
                };
                let moved = moved.await.is_ok();
                self.plan.borrow_mut().moved(id);
                if moved {
                    writer.shared.state.borrow_mut().step = StorageTier::File;
                    self.counters.moved.add(1);
                }
            }
        }
    }

    /// All counts with their names, in the order in which they are shown.
    pub fn metrics(&self) -> Vec<(&'static str, u64)> {
        let counters = &self.counters;
        let (memory, files) = self.usage();
        let mut metrics: Vec<(&str, u64)> =
            BodyEnd::ALL.iter().zip(&counters.ends).map(|(end, count)| (end.name(), count.0.get())).collect();
        let unkept =
            ["not_stored_budget", "not_stored_disk_full", "not_stored_disk_failed", "not_stored_disk_slow"];
        metrics.extend(unkept.iter().zip(&counters.unkept).map(|(name, count)| (*name, count.0.get())));
        metrics.extend([
            ("body_files", counters.files.0.get()),
            ("bodies_spilled", counters.moved.0.get()),
            ("blocks_corrupt", counters.corrupt.0.get()),
            ("blocks_unread", counters.unread.0.get()),
            ("memory_bytes", memory),
            ("file_bytes", files),
        ]);
        metrics
    }

    fn now(&self) -> Now {
        self.start.elapsed()
    }

    /// The disk has failed a body; says so once until it is well again.
    fn trouble(&self, id: BodyId, why: NotStoredReason, error: &str) {
        let (_, news) = self.plan.borrow_mut().trouble(self.now(), id, why);
        if news {
            warn!(?why, error, "body store disk disabled");
        }
    }

    /// Has bodies moved to files where memory has become short.
    fn relief(&self) {
        if self.plan.borrow().pressed() {
            self.pressure.notify(1);
        }
    }
}

fn place(end: BodyEnd) -> usize {
    BodyEnd::ALL.iter().position(|e| *e == end).unwrap_or(0)
}

/// A body, shared by its writer, its request and its executions.
struct Shared {
    bodies: Rc<BodyStore>,
    id: BodyId,
    declared: Option<u64>,
    state: RefCell<State>,
    changed: Event,
}

#[derive(Default)]
struct State {
    step: StorageTier,
    /// Bytes that have come.
    came: u64,
    /// What is in memory, full blocks but for the last; the first of them begins at `memory_from`.
    blocks: VecDeque<Arc<Vec<u8>>>,
    memory_from: u64,
    /// The descriptor's place in the node's budget.
    permit: Option<Permit>,
    /// The file, which holds the first `filed` bytes, with a checksum for each block.
    file: Option<Arc<Filed>>,
    filed: u64,
    sums: Vec<u32>,
    /// The first byte that is not kept.
    unkept_from: Option<u64>,
    /// The reader to which bytes that are not kept were given; no other can have the whole body.
    passed_to: Option<u64>,
    readers: u64,
    end: Option<BodyEnd>,
}

/// A file, closed beside the executor.
struct Filed {
    file: Option<Box<dyn DiskFile>>,
}

impl Drop for Filed {
    fn drop(&mut self) {
        // The system frees a large file in the call that closes it, which may take a while.
        if let Some(file) = self.file.take() {
            blocking::unblock(move || drop(file)).detach();
        }
    }
}

impl State {
    fn append(&mut self, mut bytes: &[u8], expected: Option<u64>) {
        while !bytes.is_empty() {
            let room = match self.blocks.back() {
                Some(block) if block.len() < BLOCK_BYTES => BLOCK_BYTES - block.len(),
                _ => {
                    // A body that has told its length has just the room it needs.
                    let left = expected.map_or(bytes.len() as u64, |e| e.saturating_sub(self.came));
                    let room = left.clamp(bytes.len().min(BLOCK_BYTES) as u64, BLOCK_BYTES as u64) as usize;
                    self.blocks.push_back(Arc::new(Vec::with_capacity(room)));
                    BLOCK_BYTES
                }
            };
            let (now, rest) = bytes.split_at(room.min(bytes.len()));
            if let Some(block) = self.blocks.back_mut() {
                Arc::make_mut(block).extend_from_slice(now);
            }
            self.came += now.len() as u64;
            bytes = rest;
        }
    }

    /// Drops the blocks that lie wholly before `at`.
    fn release(&mut self, at: u64) -> u64 {
        let mut freed = 0;
        while let Some(block) = self.blocks.front()
            && self.memory_from + block.len() as u64 <= at
            && (block.len() == BLOCK_BYTES || self.end.is_some())
        {
            freed += block.len() as u64;
            self.memory_from += block.len() as u64;
            self.blocks.pop_front();
        }
        freed
    }

    /// What is in memory from `at` to the end of its block.
    fn piece(&self, at: u64) -> &[u8] {
        let from = (at - self.memory_from) as usize;
        self.blocks
            .get(from / BLOCK_BYTES)
            .map_or(&[], |block| &block[(from % BLOCK_BYTES).min(block.len())..])
    }
}

impl Drop for Shared {
    fn drop(&mut self) {
        self.bodies.parts.borrow_mut().remove(&self.id);
        self.bodies.plan.borrow_mut().end(self.id);
    }
}

impl Shared {
    fn notify(&self) {
        self.changed.notify(usize::MAX);
    }
}

/// A body as a request holds it: read by its executions, gone when the last of them and the request are.
#[derive(Clone)]
pub struct RequestBody(Rc<Shared>);

impl RequestBody {
    /// Its length, where that is known yet.
    pub fn length(&self) -> Option<u64> {
        let state = self.0.state.borrow();
        self.0.declared.or_else(|| state.end.filter(|e| e.is_whole()).map(|_| state.came))
    }

    /// Where it is kept.
    pub fn tier(&self) -> StorageTier {
        self.0.state.borrow().step
    }

    /// How its coming ended; `None` while it comes.
    pub fn end(&self) -> Option<BodyEnd> {
        self.0.state.borrow().end
    }

    /// Whether bytes that are not kept were passed on: then no other execution can have the whole of it.
    pub fn is_consumed(&self) -> bool {
        self.0.state.borrow().passed_to.is_some()
    }

    /// Reads it from its first byte on.
    pub fn reader(&self) -> StoredBodyReader {
        let mut state = self.0.state.borrow_mut();
        state.readers += 1;
        let number = state.readers;
        drop(state);
        StoredBodyReader { shared: self.0.clone(), at: 0, number }
    }
}

/// Reads a body, for one execution.
pub struct StoredBodyReader {
    shared: Rc<Shared>,
    at: u64,
    number: u64,
}

/// The next step of a reader.
enum Next {
    Read { file: Arc<Filed>, offset: u64, length: usize, sum: u32 },
    Wait,
    Given,
    BodyEnd,
}

impl StoredBodyReader {
    /// Appends the next piece, a block at most, to `out`; false once all was given. Waits for what has not come.
    ///
    /// # Errors
    /// NotStoredReason it can't be had; what was given before must not be taken for a whole body.
    pub async fn next(&mut self, out: &mut Vec<u8>) -> Result<bool, BodyReadError> {
        loop {
            let changed = self.shared.changed.listen();
            match self.step(out)? {
                Next::Given => return Ok(true),
                Next::BodyEnd => return Ok(false),
                Next::Wait => changed.await,
                Next::Read { file, offset, length, sum } => {
                    let block = read(&self.shared.bodies, file, offset, length, sum).await?;
                    let from = (self.at - offset) as usize;
                    out.extend_from_slice(&block[from..]);
                    self.at = offset + length as u64;
                    return Ok(true);
                }
            }
        }
    }

    /// Whether this reader was given bytes that are not kept.
    pub fn consumes(&self) -> bool {
        self.shared.state.borrow().passed_to == Some(self.number)
    }

    fn step(&mut self, out: &mut Vec<u8>) -> Result<Next, BodyReadError> {
        let Shared { bodies, id, state, .. } = &*self.shared;
        let state = &mut *state.borrow_mut();
        if let Some(end) = state.end.filter(|end| !end.is_whole()) {
            return Err(BodyReadError::Ended(end));
        }
        if state.passed_to == Some(self.number) {
            // Whoever comes for more has passed on what it had.
            let freed = state.release(self.at);
            if freed > 0 {
                bodies.plan.borrow_mut().left_memory(*id, freed);
                self.shared.notify();
            }
        }
        if self.at == state.came {
            return Ok(if state.end.is_some() { Next::BodyEnd } else { Next::Wait });
        }
        if state.unkept_from.is_some_and(|from| self.at >= from) {
            match state.passed_to {
                Some(other) if other != self.number => return Err(BodyReadError::PassedOn),
                Some(_) => {}
                None => {
                    // From here on no one else can have the whole body: what was kept of it is of no use.
                    state.passed_to = Some(self.number);
                    (state.file, state.permit) = (None, None);
                    let freed = state.release(self.at);
                    let mut plan = bodies.plan.borrow_mut();
                    plan.left_file(*id);
                    plan.left_memory(*id, freed);
                    self.shared.notify();
                }
            }
        }
        if self.at < state.memory_from {
            let Some(file) = state.file.clone() else { return Err(BodyReadError::PassedOn) };
            let block = self.at / BLOCK_BYTES as u64;
            let offset = block * BLOCK_BYTES as u64;
            let length = (state.filed - offset).min(BLOCK_BYTES as u64) as usize;
            return Ok(Next::Read { file, offset, length, sum: state.sums[block as usize] });
        }
        let mut piece = state.piece(self.at);
        // A piece must not cross into what is not kept: that is given to one reader alone.
        if let Some(from) = state.unkept_from.filter(|&from| self.at < from) {
            piece = &piece[..piece.len().min((from - self.at) as usize)];
        }
        out.extend_from_slice(piece);
        self.at += piece.len() as u64;
        Ok(Next::Given)
    }
}

/// Reads a block and checks it. The execution's own deadline bounds the wait.
async fn read(
    bodies: &BodyStore,
    file: Arc<Filed>,
    offset: u64,
    length: usize,
    sum: u32,
) -> Result<Vec<u8>, BodyReadError> {
    let call = move || {
        let mut block = vec![0; length];
        let read = match &file.file {
            Some(file) => file.read_at(&mut block, offset),
            None => Err(io::ErrorKind::NotFound.into()),
        };
        read.map(|()| (crc32fast::hash(&block), block))
    };
    let far = Instant::now() + Duration::from_secs(3_600);
    match bodies.pool.run(far, call).await {
        Some((Ok((found, block)), _)) if found == sum => Ok(block),
        Some((Ok(_), _)) => {
            bodies.counters.corrupt.add(1);
            warn!(offset, "stored body corrupt");
            Err(BodyReadError::Corrupt)
        }
        Some((Err(error), _)) => {
            bodies.counters.unread.add(1);
            warn!(offset, %error, "stored body unreadable");
            Err(BodyReadError::Failed)
        }
        None => Err(BodyReadError::Failed),
    }
}

/// Takes a body in. Dropped before its end, the body is one whose request was over before it had come.
pub struct BodyWriter {
    shared: Rc<Shared>,
    disk_time: Duration,
}

impl BodyWriter {
    /// The body as its request holds it.
    pub fn body(&self) -> RequestBody {
        RequestBody(self.shared.clone())
    }

    /// Bytes that have come.
    pub fn received(&self) -> u64 {
        self.shared.state.borrow().came
    }

    /// Takes in what comes next. Waits while a file is written, or while a body that is not kept is not passed on.
    ///
    /// # Errors
    /// How the body's coming has ended with this.
    pub async fn push(&mut self, bytes: &[u8]) -> Result<(), BodyEnd> {
        let Shared { bodies, id, declared, state, .. } = &*self.shared;
        let verdict = bodies.plan.borrow_mut().want(bodies.now(), *id, bytes.len() as u64);
        match verdict {
            StorageDecision::TooLong => return Err(self.end(BodyEnd::TooLong)),
            StorageDecision::Keep(step) => {
                {
                    let state = &mut *state.borrow_mut();
                    state.step = step;
                    state.append(bytes, *declared);
                }
                bodies.relief();
                if step == StorageTier::File {
                    let kept = async {
                        if self.shared.state.borrow().file.is_none() {
                            self.open_file().await?;
                        }
                        self.flush(false).await
                    };
                    // What the disk did not take is still in memory: only what comes next is not kept.
                    if let Err(why) = kept.await {
                        self.unkept(why)?;
                    }
                }
            }
            StorageDecision::NotStored(why) => {
                self.unkept(why)?;
                self.window().await;
                self.shared.state.borrow_mut().append(bytes, self.shared.declared);
            }
        }
        self.shared.notify();
        Ok(())
    }

    /// All of it has come.
    pub async fn finish(mut self) -> BodyEnd {
        if self.shared.state.borrow().step == StorageTier::File {
            // What the disk does not take is still in memory, so the body is whole all the same.
            let _ = self.flush(true).await;
        }
        let end = BodyEnd::whole(match self.shared.state.borrow().unkept_from {
            Some(_) => StorageTier::NotStored,
            None => self.shared.state.borrow().step,
        });
        let Shared { bodies, id, .. } = &*self.shared;
        bodies.plan.borrow_mut().whole(*id);
        bodies.relief();
        self.end(end)
    }

    /// It ends here, for this reason.
    pub fn end(&self, end: BodyEnd) -> BodyEnd {
        let mut state = self.shared.state.borrow_mut();
        if state.end.is_none() {
            state.end = Some(end);
            self.shared.bodies.counters.ends[place(end)].add(1);
            if !end.is_whole() {
                // No one can read it any more: what was held is free at once, whoever still knows of it.
                state.blocks.clear();
                (state.file, state.permit) = (None, None);
                let mut plan = self.shared.bodies.plan.borrow_mut();
                plan.left_memory(self.shared.id, u64::MAX);
                plan.left_file(self.shared.id);
            }
        }
        drop(state);
        self.shared.notify();
        end
    }

    /// From here on nothing more is kept.
    fn unkept(&self, why: NotStoredReason) -> Result<(), BodyEnd> {
        let Shared { bodies, id, state, .. } = &*self.shared;
        {
            let state = &mut *state.borrow_mut();
            if state.unkept_from.is_some() {
                return Ok(());
            }
            state.unkept_from = Some(state.came);
            state.step = StorageTier::NotStored;
        }
        let kind = match why {
            NotStoredReason::Budget => 0,
            NotStoredReason::DiskFull => 1,
            NotStoredReason::DiskFailed => 2,
            NotStoredReason::DiskSlow => 3,
        };
        bodies.plan.borrow_mut().unkept(*id);
        bodies.counters.unkept[kind].add(1);
        if bodies.refuse.get() { Err(self.end(BodyEnd::unkept(why))) } else { Ok(()) }
    }

    /// Waits until there is room for more of a body that is not kept.
    async fn window(&self) {
        loop {
            let changed = self.shared.changed.listen();
            let held = {
                let state = self.shared.state.borrow();
                match state.passed_to {
                    // What was kept counts in the budgets.
                    None => state.came - state.unkept_from.unwrap_or(0),
                    Some(_) => state.came - state.memory_from,
                }
            };
            if held < WINDOW {
                return;
            }
            changed.await;
        }
    }

    /// Makes the body's file.
    async fn open_file(&mut self) -> Result<(), NotStoredReason> {
        let Shared { bodies, id, .. } = &*self.shared;
        let Some(disk) = bodies.disk.borrow().clone() else { return Err(NotStoredReason::Budget) };
        let Some(permit) = (bodies.permit)() else { return Err(NotStoredReason::Budget) };
        let call = move || disk.free().and_then(|free| Ok((free, disk.create()?)));
        let (free, file) = match bodies.pool.run(Instant::now() + STALL, call).await {
            Some((Ok(made), _)) => made,
            Some((Err(error), _)) => return Err(self.failed(&error)),
            None => return Err(self.slow()),
        };
        if !bodies.plan.borrow().has_room(*id, free) {
            bodies.trouble(*id, NotStoredReason::DiskFull, "it has no more left than is to be left free");
            return Err(NotStoredReason::DiskFull);
        }
        bodies.counters.files.add(1);
        let mut state = self.shared.state.borrow_mut();
        state.file = Some(Arc::new(Filed { file: Some(file) }));
        state.permit = Some(permit);
        Ok(())
    }

    /// Writes the full blocks to the file, all of them where `whole`.
    async fn flush(&mut self, whole: bool) -> Result<(), NotStoredReason> {
        loop {
            let Shared { bodies, id, state, .. } = &*self.shared;
            let (file, block, offset) = {
                let state = state.borrow();
                let (Some(file), Some(block)) = (&state.file, state.blocks.front()) else { return Ok(()) };
                if block.len() < BLOCK_BYTES && !whole || state.end.is_some_and(|e| !e.is_whole()) {
                    return Ok(());
                }
                (file.clone(), block.clone(), state.filed)
            };
            let length = block.len() as u64;
            let call = move || {
                let sum = crc32fast::hash(&block);
                match &file.file {
                    Some(file) => file.write_at(&block, offset).map(|()| sum),
                    None => Err(io::ErrorKind::NotFound.into()),
                }
            };
            let sum = match bodies.pool.run(Instant::now() + STALL, call).await {
                Some((Ok(sum), took)) => {
                    self.disk_time += took;
                    sum
                }
                Some((Err(error), _)) => return Err(self.failed(&error)),
                None => return Err(self.slow()),
            };
            {
                let state = &mut *state.borrow_mut();
                // It may have ended while the disk wrote.
                if state.file.is_some() && state.blocks.pop_front().is_some() {
                    state.filed += length;
                    state.memory_from = state.filed;
                    state.sums.push(sum);
                }
            }
            let well = {
                let mut plan = bodies.plan.borrow_mut();
                plan.left_memory(*id, length);
                plan.disk_well()
            };
            if well {
                info!("body store disk enabled");
            }
            let filed = self.shared.state.borrow().filed;
            if self.disk_time > SLACK + Duration::from_secs_f64(filed as f64 / SLOWEST) {
                return Err(self.slow());
            }
        }
    }

    fn failed(&self, error: &io::Error) -> NotStoredReason {
        let why = if is_full(error) { NotStoredReason::DiskFull } else { NotStoredReason::DiskFailed };
        self.shared.bodies.trouble(self.shared.id, why, &error.to_string());
        why
    }

    fn slow(&self) -> NotStoredReason {
        self.shared.bodies.trouble(self.shared.id, NotStoredReason::DiskSlow, "it is slower than the client");
        NotStoredReason::DiskSlow
    }
}

impl Drop for BodyWriter {
    fn drop(&mut self) {
        if self.shared.state.borrow().end.is_none() {
            self.end(if self.received() == 0 { BodyEnd::NeverBegun } else { BodyEnd::Refused });
        }
    }
}
