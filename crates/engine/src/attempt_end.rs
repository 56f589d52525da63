//! Every way in which an attempt can end, and the outcome that is reported to the dispatcher for each.

use sorrelhaven_body_store::BodyReadError;
use sorrelhaven_dispatcher::Outcome;
use sorrelhaven_wire::WireError;

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The worker's last job line held the result.
    Completed(String),
    /// The worker reported that the job failed, or its response has an error status.
    Failed,
    /// The worker reported that the request is invalid (status 400 or 404). No other worker would accept it.
    InvalidRequest,
    /// The worker reported that it did not start the job.
    Rejected,
    /// The worker reported that the job was killed.
    Killed,
    /// Once connected, the worker no longer accepted work according to the worker list; nothing was sent.
    Draining,
    /// The worker list has no address for the worker; nothing was sent.
    NoAddress,
    /// The request was concluded before the last byte was written.
    RequestConcluded,
    /// Too little time was left until the attempt's deadline, and the last byte was not written.
    DeadlineTooClose,
    /// The idempotency window, in which workers drop duplicates of the request, ended before the last byte
    /// was written.
    IdempotencyWindowExpired,
    /// The request's body could not be read to its end, so the last byte was not written. Says nothing about
    /// the worker.
    BodyUnavailable(BodyReadError),
    /// The node lacked a file descriptor or another resource (memory, a local port, a route) for a
    /// connection. Says nothing about the worker.
    NoDescriptor,
    /// The connection was refused or failed before it was established.
    Unreachable,
    /// The connection was not established in time.
    ConnectTimeout,
    /// The connection was reset or closed before the request's last byte was written.
    ResetBeforeSent,
    /// The request's last byte was not written in time.
    TimeoutBeforeSent,
    /// A reused connection was reset or closed right after the request was written. The worker had probably
    /// closed it before, but the job may have run.
    StaleConnection,
    /// The connection was reset after the request's last byte was written.
    Reset,
    /// The worker ended its response or the connection before the last job line.
    Truncated,
    /// The last job line was not received in time.
    ResponseTimeout,
    /// The response violates the protocol.
    Malformed,
    /// The response names the id of another request.
    WrongRequestId,
    /// The response is larger than the protocol allows.
    ResponseTooLarge,
    /// The dispatcher cancelled the attempt.
    Cancelled,
}

impl AttemptEnd {
    /// The outcome that is reported to the dispatcher. The outcomes that state that the job never ran
    /// ([`Outcome::Rejected`], [`Outcome::ConnectFailed`], [`Outcome::NotSent`]) are returned only if the
    /// protocol proves it: the worker reported it, or the request's last byte was never written.
    pub fn outcome(&self) -> Outcome {
        match self {
            AttemptEnd::Completed(_) => Outcome::Ok,
            AttemptEnd::Failed
            | AttemptEnd::Malformed
            | AttemptEnd::WrongRequestId
            | AttemptEnd::ResponseTooLarge => Outcome::Error,
            AttemptEnd::Rejected => Outcome::Rejected,
            AttemptEnd::InvalidRequest => Outcome::InvalidRequest,
            AttemptEnd::Draining
            | AttemptEnd::Unreachable
            | AttemptEnd::ConnectTimeout
            | AttemptEnd::ResetBeforeSent
            | AttemptEnd::TimeoutBeforeSent => Outcome::ConnectFailed,
            AttemptEnd::Killed | AttemptEnd::StaleConnection | AttemptEnd::Reset | AttemptEnd::Truncated => {
                Outcome::Reset
            }
            AttemptEnd::ResponseTimeout => Outcome::Timeout,
            AttemptEnd::Cancelled => Outcome::Cancelled,
            AttemptEnd::NoAddress
            | AttemptEnd::RequestConcluded
            | AttemptEnd::DeadlineTooClose
            | AttemptEnd::IdempotencyWindowExpired
            | AttemptEnd::NoDescriptor
            | AttemptEnd::BodyUnavailable(_) => Outcome::NotSent,
        }
    }

    /// How an attempt ends if reading its response fails with `error`.
    pub fn unreadable(error: WireError) -> AttemptEnd {
        match error {
            WireError::Closed => AttemptEnd::Truncated,
            WireError::Broken => AttemptEnd::Reset,
            WireError::Malformed => AttemptEnd::Malformed,
            WireError::HeadTooLarge | WireError::BodyTooLarge => AttemptEnd::ResponseTooLarge,
        }
    }
}
