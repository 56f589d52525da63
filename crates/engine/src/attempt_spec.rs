//! What one attempt is: where it goes, how long it may wait, and when it must not be sent any more.

use crate::attempt_end::AttemptEnd;
use crate::invariants::{SentAttempt, WorkerDrain};
use crate::job::RequestState;
use crate::upstreams::Upstreams;
use async_io::Timer;
use sorrelhaven_dispatcher::WorkerId;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Nothing is sent for a client that waits for less than this. The transfer alone takes as long, and a worker
/// may drop a request with so little time left without reporting it.
const MIN_REMAINING_TIME: Duration = Duration::from_millis(1);

/// How often an attempt whose client's connection has closed looks whether that was reported to the request.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The parameters of one attempt, and the state that it shares with its request.
pub struct AttemptSpec {
    /// The attempt's number within its request.
    pub attempt: u32,
    /// The worker that the attempt goes to.
    pub worker: WorkerId,
    /// When the attempt stops waiting for the worker.
    pub deadline: Instant,
    /// From when on the request must not be sent any more; no later than `deadline`.
    pub send_by: Instant,
    /// The state of the request, shared by its attempts.
    pub request: Rc<RequestState>,
    /// Whether the last byte of this attempt's request was written.
    pub fully_sent: Rc<Cell<bool>>,
}

impl AttemptSpec {
    /// Records that the request's last byte was written just now, and checks that it was allowed to be.
    pub fn record_fully_sent(&self, upstreams: &Upstreams, request_id: &str) {
        let request = &self.request;
        request.fully_sent.set(true);
        self.fully_sent.set(true);
        let client_disconnected_at = request.client_disconnected_at.get();
        upstreams.counters.request_sent(client_disconnected_at);
        let drain = upstreams
            .registry
            .draining_since(self.worker)
            .map(|since| WorkerDrain { since, grace: upstreams.drain_grace });
        let sent = SentAttempt { client_disconnected_at, send_by: self.send_by, drain };
        request.checks.request_sent(&upstreams.counters.invariants, request_id, &sent);
    }

    /// Checks whether the request may be sent at this moment.
    ///
    /// Waits while the client's connection has closed and that was not reported yet: whoever reads from the
    /// connection reports it, and may have much input to read before.
    ///
    /// # Errors
    ///
    /// How the attempt ends where nothing may be sent.
    pub async fn check_sendable(&self) -> Result<(), AttemptEnd> {
        while self.request.has_unreported_disconnect() {
            Timer::after(DISCONNECT_POLL_INTERVAL).await;
        }
        if self.request.concluded.get() {
            return Err(AttemptEnd::RequestConcluded);
        }
        if self.idempotency_window_expired() {
            return Err(AttemptEnd::IdempotencyWindowExpired);
        }
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        if remaining < MIN_REMAINING_TIME {
            return Err(AttemptEnd::DeadlineTooClose);
        }
        Ok(())
    }

    /// How the attempt ends that timed out before its request was fully sent; `timeout` unless the
    /// idempotency window ended it.
    pub fn unsent_timeout(&self, timeout: AttemptEnd) -> AttemptEnd {
        if self.idempotency_window_expired() { AttemptEnd::IdempotencyWindowExpired } else { timeout }
    }

    /// Whether the time is over in which a duplicate would be recognised and dropped, while the client still
    /// waits.
    fn idempotency_window_expired(&self) -> bool {
        self.send_by < self.deadline && Instant::now() >= self.send_by
    }
}
