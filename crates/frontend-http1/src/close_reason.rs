//! Why a downstream connection was closed.

/// Why a downstream connection was closed. Logged for each connection, and counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed it, or it failed, between two requests.
    ClientClosedIdle,
    /// The client closed it, or it failed, during a request.
    ClientClosedInRequest,
    /// Its descriptor was needed for another connection while it was idle.
    Evicted,
    /// Its descriptor was needed for another connection while its first request was incomplete.
    EvictedIncomplete,
    /// It was idle for too long, or carried no job within the time for the first one.
    IdleTimeout,
    /// The node drains or shuts down.
    Draining,
    /// A request was not received in time (408).
    RequestTimeout,
    /// A request was invalid, so that the beginning of the next one is unknown (another 4xx status).
    InvalidRequest,
    /// The client asked for it (`Connection: close`), or the rest of a request was not read.
    NotReusable,
    /// Input after a request was discarded, so that the next request is unknown.
    InputDiscarded,
    /// A response could not be written, or not in time.
    WriteFailed,
    /// The connection could not be registered with the event loop.
    NotRegistered,
}

impl CloseReason {
    /// Every reason, in the order of the discriminants, which index the counts.
    pub const ALL: [CloseReason; 12] = [
        CloseReason::ClientClosedIdle,
        CloseReason::ClientClosedInRequest,
        CloseReason::Evicted,
        CloseReason::EvictedIncomplete,
        CloseReason::IdleTimeout,
        CloseReason::Draining,
        CloseReason::RequestTimeout,
        CloseReason::InvalidRequest,
        CloseReason::NotReusable,
        CloseReason::InputDiscarded,
        CloseReason::WriteFailed,
        CloseReason::NotRegistered,
    ];

    /// The name of the counter of connections that were closed for this reason.
    pub fn metric_name(self) -> &'static str {
        match self {
            CloseReason::ClientClosedIdle => "closed_by_client_idle",
            CloseReason::ClientClosedInRequest => "closed_by_client_in_request",
            CloseReason::Evicted => "evicted_connections",
            CloseReason::EvictedIncomplete => "evicted_incomplete_requests",
            CloseReason::IdleTimeout => "closed_idle_timeout",
            CloseReason::Draining => "closed_draining",
            CloseReason::RequestTimeout => "closed_request_timeout",
            CloseReason::InvalidRequest => "closed_invalid_request",
            CloseReason::NotReusable => "closed_not_reusable",
            CloseReason::InputDiscarded => "closed_input_discarded",
            CloseReason::WriteFailed => "closed_write_failed",
            CloseReason::NotRegistered => "closed_not_registered",
        }
    }
}
