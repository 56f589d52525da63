//! Actions that a dispatcher asks its host to perform.

use crate::interface::{Micros, RequestId, WorkerId};

/// An action for the host to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt of a request. The attempts of a request are numbered from 0, in the order of their
    /// sends.
    Send {
        /// Request to send.
        request: RequestId,
        /// Worker to send it to.
        worker: WorkerId,
        /// Timeout of this attempt; 0 if only the request's deadline applies.
        timeout: Micros,
        /// Time from which the attempt must not be sent any more: workers may have dropped the request's
        /// idempotency key and would execute a repeat. [`Micros::MAX`] if there is no such time.
        send_by: Micros,
    },
    /// Cancel an outstanding attempt.
    Cancel {
        /// Request that the attempt belongs to.
        request: RequestId,
        /// Number of the attempt within its request.
        attempt: u32,
    },
    /// Give the final answer that the request was rejected: it was not executed, or a retry is harmless.
    Reject {
        /// Request to answer.
        request: RequestId,
        /// How long the client should wait before it retries; 0 for no advice.
        retry_after: Micros,
    },
    /// Give the final answer that the request failed: it may have taken effect.
    Fail {
        /// Request to answer.
        request: RequestId,
    },
    /// Probe a worker; the result is reported as [`crate::Event::ProbeEnded`].
    Probe {
        /// Worker to probe.
        worker: WorkerId,
    },
    /// Start a timer; its expiry is reported as [`crate::Event::Timer`].
    SetTimer {
        /// Delay from now.
        delay: Micros,
        /// Token that is reported with the expiry.
        token: u64,
    },
    /// Start a watch on the worker list, after which its changes are reported.
    WatchWorkerList,
    /// Write a message to the operators' log.
    Log(String),
}
