//! The parameters of one attempt: its worker, its deadline, and the time from which it must not be sent.

use crate::attempt_end::AttemptEnd;
use crate::invariants::{SentAttempt, WorkerDrain};
use crate::job::RequestState;
use crate::upstreams::Upstreams;
use async_io::Timer;
use sorrelhaven_dispatcher::WorkerId;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Nothing is sent if less than this is left until the attempt's deadline. The transfer alone takes as long,
/// and a worker may drop a request with so little time left without reporting it.
const MIN_REMAINING_TIME: Duration = Duration::from_millis(1);

/// How often an attempt whose client may have closed the connection checks whether this was reported to the
/// request, or all input was read.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The parameters of one attempt, and the state that it shares with its request.
pub struct AttemptSpec {
    /// The attempt's number within its request.
    pub attempt: u32,
    /// The worker that the attempt goes to.
    pub worker: WorkerId,
    /// When the attempt stops waiting for the worker.
    pub deadline: Instant,
    /// The request must not be sent at this time or later; never later than `deadline`.
    pub send_by: Instant,
    /// The state of the request, shared by its attempts.
    pub request: Rc<RequestState>,
    /// Whether the last byte of this attempt's request was written.
    pub fully_sent: Rc<Cell<bool>>,
}

impl AttemptSpec {
    /// Records that the request's last byte was written just now, and checks the invariants of sending.
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

    /// Checks whether the request may be sent now.
    ///
    /// If the client has closed its connection, waits until this is reported to the request. If the client has sent
    /// more than the request, waits until the front end has read that: it may hide the client's close.
    ///
    /// # Errors
    ///
    /// How the attempt ends if the request may not be sent.
    pub async fn check_sendable(&self) -> Result<(), AttemptEnd> {
        while self.request.may_have_unreported_disconnect() {
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

    /// How an attempt ends that timed out before its request was fully sent:
    /// [`AttemptEnd::IdempotencyWindowExpired`] if that window has ended, otherwise `timeout`.
    pub fn unsent_timeout(&self, timeout: AttemptEnd) -> AttemptEnd {
        if self.idempotency_window_expired() { AttemptEnd::IdempotencyWindowExpired } else { timeout }
    }

    /// Whether the idempotency window has ended. `send_by` is the end of that window only if it is earlier
    /// than the deadline.
    fn idempotency_window_expired(&self) -> bool {
        self.send_by < self.deadline && Instant::now() >= self.send_by
    }
}
