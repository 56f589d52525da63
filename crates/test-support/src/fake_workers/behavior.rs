//! The behaviours of a fake worker.

/// What a fake worker does with one request. A behaviour that makes an attempt end with a certain variant of
/// the engine's `AttemptEnd` is named after that variant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerBehavior {
    /// Runs the job and returns its result: the length and checksum of the body.
    Done,
    /// As `Done`, but the job runs for this many milliseconds.
    DoneAfterMillis(u64),
    /// Runs the job and returns a result of this many bytes.
    DoneWithResult(usize),
    /// Runs the job, sends this many bytes of the line with its result, and then nothing until the other side
    /// closes the connection.
    StallsInResult(usize),
    /// Runs the job, reports its start, and continues as `Done` once [`FakeWorkers::release`] is called.
    ///
    /// [`FakeWorkers::release`]: crate::FakeWorkers::release
    PausedUntilReleased,
    /// Runs the job and reports that it failed.
    Failed,
    /// Reads the body and responds 503 with `Not-Started: 1`, without running the job.
    Rejected,
    /// As `Rejected`, and sends the response a second time after this many milliseconds, while the connection is
    /// served on.
    RejectedTwice(u64),
    /// As `RejectedTwice`, with the rejection in a job line that names the request.
    ReturnedTwice(u64),
    /// Runs the job, but sends nothing for this many milliseconds, as a job does that waits for a slot.
    DoneAfterWait(u64),
    /// Runs the job and reports that it was killed.
    Killed,
    /// Responds 503 with `Not-Started: 1` after the head, and closes the connection without reading the body.
    RejectedBeforeBody,
    /// Reads the body and responds 400, without running the job.
    InvalidRequest,
    /// Runs the job, reports its start, and ends the response without a result.
    Truncated,
    /// Runs the job and responds with a line that the protocol does not define.
    Malformed,
    /// Runs the job and returns a result with the id of another request.
    WrongRequestId,
    /// Runs the job and responds with a line longer than the protocol allows.
    ResponseTooLarge,
    /// Reads only the head, and waits until the other side closes the connection.
    StopsReading,
    /// Reads a part of the body and resets the connection.
    ResetDuringBody,
    /// Runs the job and resets the connection without a response.
    ResetAfterBody,
    /// Runs the job and sends nothing until the other side closes the connection.
    Silent,
    /// Runs the job, sends nothing for this many milliseconds, and resets the connection.
    SilentThenReset(u64),
}

impl WorkerBehavior {
    /// Whether a worker that has received the whole body runs the job.
    pub(super) fn runs_job(self) -> bool {
        !matches!(
            self,
            WorkerBehavior::Rejected
                | WorkerBehavior::RejectedTwice(_)
                | WorkerBehavior::ReturnedTwice(_)
                | WorkerBehavior::InvalidRequest
        )
    }
}
