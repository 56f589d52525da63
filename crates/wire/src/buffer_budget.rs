//! Limits the memory that the buffers of connections use together.
//!
//! Each connection may hold [`UNRESERVED_BYTES`] without asking, which ordinary messages fit into. For more it
//! reserves bytes of a budget. A reservation that does not fit waits for others to be released. So that
//! reservations which each hold a part of a message can't block each other for ever, the budget keeps
//! [`PRIORITY_BYTES`] back for one of them at a time, which is enough for the largest message.

use event_listener::Event;
use std::cell::Cell;
use std::rc::Rc;

/// What a connection may hold without a reservation.
pub const UNRESERVED_BYTES: usize = 4 * 1024;
/// The part of a budget that only one reservation at a time may use: enough for the largest line of a response,
/// and its growth.
const PRIORITY_BYTES: usize = 256 * 1024;

/// A number of bytes that the buffers of many connections share.
#[derive(Default)]
pub struct BufferBudget {
    /// `None`: unlimited.
    limit: Option<Cell<usize>>,
    used: Cell<usize>,
    /// Whether a reservation may use the [`PRIORITY_BYTES`].
    has_priority_holder: Cell<bool>,
    /// Reservations that had to wait, since the start.
    waits: Cell<u64>,
    /// Notified when bytes are released.
    released: Event,
}

impl BufferBudget {
    /// A budget of `limit` bytes, but at least the [`PRIORITY_BYTES`] (256 KiB).
    pub fn new(limit: usize) -> Rc<BufferBudget> {
        let limit = Some(Cell::new(limit.max(PRIORITY_BYTES)));
        Rc::new(BufferBudget { limit, ..BufferBudget::default() })
    }

    /// A budget without a limit, for connections whose number is small.
    pub fn unlimited() -> Rc<BufferBudget> {
        Rc::default()
    }

    /// Changes the limit in bytes. Reservations beyond a lower one stay valid until they are released.
    pub fn set_limit(&self, limit: usize) {
        if let Some(current) = &self.limit {
            current.set(limit.max(PRIORITY_BYTES));
        }
        self.released.notify(usize::MAX);
    }

    /// The bytes that are reserved.
    pub fn used_bytes(&self) -> usize {
        self.used.get()
    }

    /// How many reservations had to wait, or were refused, since the start.
    pub fn waits(&self) -> u64 {
        self.waits.get()
    }

    /// A reservation of no bytes.
    pub fn reservation(self: &Rc<Self>) -> BufferReservation {
        BufferReservation { budget: self.clone(), bytes: 0, has_priority: false }
    }

    /// Whether `additional` bytes fit, with or without the bytes kept back.
    fn has_room(&self, additional: usize, with_priority: bool) -> bool {
        let Some(limit) = &self.limit else { return true };
        let kept_back = if with_priority { 0 } else { PRIORITY_BYTES };
        self.used.get().saturating_add(additional).saturating_add(kept_back) <= limit.get()
    }
}

/// Bytes of a [`BufferBudget`] that belong to one connection or message. Released when dropped.
pub struct BufferReservation {
    budget: Rc<BufferBudget>,
    bytes: usize,
    has_priority: bool,
}

impl BufferReservation {
    /// The budget that the bytes belong to.
    pub fn budget(&self) -> &Rc<BufferBudget> {
        &self.budget
    }

    /// The reserved bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Grows the reservation to at least `bytes` if they are free. Returns false, and changes nothing, if they are
    /// not.
    pub fn try_grow_to(&mut self, bytes: usize) -> bool {
        let additional = bytes.saturating_sub(self.bytes);
        if additional > 0 && !self.budget.has_room(additional, self.has_priority) {
            return false;
        }
        self.budget.used.set(self.budget.used.get() + additional);
        self.bytes += additional;
        true
    }

    /// Grows the reservation to at least `bytes`, and waits until they are free.
    pub async fn grow_to(&mut self, bytes: usize) {
        if self.try_grow_to(bytes) {
            return;
        }
        self.budget.waits.set(self.budget.waits.get() + 1);
        loop {
            let budget = self.budget.clone();
            let released = budget.released.listen();
            self.take_priority();
            if self.try_grow_to(bytes) {
                // There may be room for the next one as well.
                budget.released.notify_additional(1);
                return;
            }
            released.await;
        }
    }

    /// As [`try_grow_to`](BufferReservation::try_grow_to), and counts a refusal.
    pub fn grow_now(&mut self, bytes: usize) -> bool {
        let has_grown = self.try_grow_to(bytes);
        if !has_grown {
            self.budget.waits.set(self.budget.waits.get() + 1);
        }
        has_grown
    }

    /// Releases all but `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let released = self.bytes.saturating_sub(bytes);
        if released == 0 && !self.has_priority {
            return;
        }
        self.budget.used.set(self.budget.used.get() - released);
        self.bytes -= released;
        if self.bytes == 0 {
            self.return_priority();
        }
        self.budget.released.notify_additional(1);
    }

    /// Allows this reservation to use the bytes kept back, if no other one may.
    fn take_priority(&mut self) {
        if !self.has_priority && !self.budget.has_priority_holder.replace(true) {
            self.has_priority = true;
        }
    }

    fn return_priority(&mut self) {
        if std::mem::take(&mut self.has_priority) {
            self.budget.has_priority_holder.set(false);
        }
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}
