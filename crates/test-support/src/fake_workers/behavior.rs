//! What a fake worker does with a request.

/// What a fake worker does with one request. The names follow the engine's `AttemptEnd` where the behaviour
/// leads to one of its variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerBehavior {
    /// Runs the job and answers with its result, the length and checksum of the body.
    Done,
    /// Runs the job for this many milliseconds, then as `Done`.
    DoneAfterMillis(u64),
    /// Runs the job, reports its start, and ends it as `Done` once [`FakeWorkers::release`] is called.
    ///
    /// [`FakeWorkers::release`]: crate::FakeWorkers::release
    PausedUntilReleased,
    /// Runs the job and reports that it failed.
    Failed,
    /// Answers 503 with `Not-Started: 1` without running the job.
    Rejected,
    /// Runs the job and reports that it was killed.
    Killed,
    /// Answers 503 with `Not-Started: 1` after the head, and closes the connection without reading the body.
    RejectedBeforeBody,
    /// Answers 400 without running the job.
    InvalidRequest,
    /// Runs the job, reports its start, and ends the answer there.
    Truncated,
    /// Runs the job and answers with a line that is not of the protocol.
    Malformed,
    /// Runs the job and answers for another request id.
    WrongRequestId,
    /// Runs the job and answers with a line that is longer than the protocol allows.
    ResponseTooLarge,
    /// Reads the head and nothing more, until the other side closes the connection.
    StopsReading,
    /// Resets the connection in the middle of the body.
    ResetDuringBody,
    /// Runs the job and resets the connection without an answer.
    ResetAfterBody,
    /// Runs the job and sends nothing, until the other side closes the connection.
    Silent,
    /// Runs the job, sends nothing for this many milliseconds, and resets the connection.
    SilentThenReset(u64),
}

impl WorkerBehavior {
    /// Whether a worker that has received the whole body runs the job.
    pub(super) fn runs_job(self) -> bool {
        !matches!(self, WorkerBehavior::Rejected | WorkerBehavior::InvalidRequest)
    }
}
