//! What a dispatcher asks its host to do.

use crate::interface::{Micros, RequestId, WorkerId};

/// What a dispatcher does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Begin an attempt. The attempts of a request are numbered from 0, in the order of their sends.
    Send {
        /// The request.
        request: RequestId,
        /// The worker.
        worker: WorkerId,
        /// The timeout of this attempt; 0 for the request's deadline.
        timeout: Micros,
        /// It must not be sent from this time on, since workers may have forgotten its idempotency key.
        send_by: Micros,
    },
    /// Withdraw an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// Final answer: not executed, and a retry is harmless.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait before it retries; 0 for no advice.
        retry_after: Micros,
    },
    /// Final answer: failed; the request may have taken effect.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Probe a worker.
    Probe {
        /// The worker.
        worker: WorkerId,
    },
    /// Set a timer, which comes back as [`crate::Event::Timer`].
    SetTimer {
        /// The time from now.
        delay: Micros,
        /// Comes back with the event.
        token: u64,
    },
    /// Subscribe to changes of the worker list.
    WatchWorkerList,
    /// Write a log line for the operators.
    Log(String),
}
