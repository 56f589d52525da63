//! Every way in which an attempt can end, and the outcome that each is to the dispatcher.

use sorrelhaven_body_store::BodyReadError;
use sorrelhaven_dispatcher::Outcome;
use sorrelhaven_wire::WireError;

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The worker's last job line held the result.
    Completed(String),
    /// The worker reports that the job failed, or its response has an error status.
    Failed,
    /// The worker reports that the request is invalid, as every other worker would.
    InvalidRequest,
    /// The worker rejected the job, or returned it unstarted.
    Rejected,
    /// The worker reports that the job was killed.
    Killed,
    /// The worker began to drain while the connection was made; nothing was sent.
    Draining,
    /// Discovery names no address for the worker; nothing was sent.
    NoAddress,
    /// The request was concluded before anything was sent.
    RequestConcluded,
    /// The client's deadline was too close before anything was sent.
    DeadlineTooClose,
    /// The time in which a duplicate is recognised and dropped ended before the last byte was written.
    IdempotencyWindowExpired,
    /// The request's body could not be read to its end, so its last byte was not written. Not the worker's
    /// fault.
    BodyUnavailable(BodyReadError),
    /// The node has no descriptor for a connection.
    NoDescriptor,
    /// The connection was refused or could not be made.
    Unreachable,
    /// The connection was not made in time.
    ConnectTimeout,
    /// The connection broke before the request's last byte was written.
    ResetBeforeSent,
    /// The time was up before the request's last byte was written.
    TimeoutBeforeSent,
    /// A reused connection broke as soon as the request was written. The job has probably not run, but may
    /// have.
    StaleConnection,
    /// The connection broke after the request's last byte was written.
    Reset,
    /// The worker ended its response or the connection before the last job line.
    Truncated,
    /// The time was up before the last job line.
    ResponseTimeout,
    /// The response breaks the protocol.
    Malformed,
    /// The response is about another request.
    WrongRequestId,
    /// The response is larger than the protocol allows.
    ResponseTooLarge,
    /// The dispatcher cancelled the attempt.
    Cancelled,
}

impl AttemptEnd {
    /// The outcome for the dispatcher. The outcomes that say that the job never ran ([`Outcome::Rejected`],
    /// [`Outcome::ConnectFailed`], [`Outcome::NotSent`]) are given only where the protocol proves it: the
    /// worker reports it, or the request's last byte was never written.
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

    /// How an attempt ends whose response could not be read.
    pub fn unreadable(error: WireError) -> AttemptEnd {
        match error {
            WireError::Closed => AttemptEnd::Truncated,
            WireError::Broken => AttemptEnd::Reset,
            WireError::Malformed => AttemptEnd::Malformed,
            WireError::HeadTooLarge | WireError::BodyTooLarge => AttemptEnd::ResponseTooLarge,
        }
    }
}
