//! Every way in which a server link's exchange can end, and what each means to the module.

use sorrelhaven_body_store::BodyReadError;
use sorrelhaven_dispatcher::Outcome;
use sorrelhaven_wire::WireError;

/// How an execution ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The executor's last line brought the result.
    Completed(String),
    /// The executor says that the job failed, or answered with an error.
    Failed,
    /// The executor can't use the job: it is not one that any client sent in this form.
    InvalidRequest,
    /// The executor turned the job away, or handed it back unstarted.
    Rejected,
    /// The executor says that the job was killed.
    Killed,
    /// The executor was told to leave while the link came up; nothing was sent.
    Draining,
    /// The host group names no address for it; nothing was sent.
    NoAddress,
    /// The request had its answer before anything was sent.
    RequestConcluded,
    /// The client's time was all but over before anything was sent.
    DeadlineTooClose,
    /// The time in which a repeat is dropped was over before its last byte was written.
    IdempotencyWindowExpired,
    /// The request's body can't be had whole, so its last byte was not sent: the parcel's failure, not the executor's.
    BodyUnavailable(BodyReadError),
    /// No descriptor was free for a server link.
    NoDescriptor,
    /// The connection was refused or could not be made.
    Unreachable,
    /// The connection did not come up in time.
    ConnectTimeout,
    /// The connection broke before the request's last byte was written.
    ResetBeforeSent,
    /// The time was up before the request's last byte was written.
    TimeoutBeforeSent,
    /// A link that had stood idle broke as soon as the request was written on it; that it never ran is no more
    /// than likely.
    StaleConnection,
    /// The connection broke after the request's last byte was written.
    Reset,
    /// The executor ended its answer or the connection before the last line.
    Truncated,
    /// Nothing more had come when the time was up.
    ResponseTimeout,
    /// What came was not the protocol.
    Malformed,
    /// What came was about another request.
    WrongRequestId,
    /// What came was larger than the protocol allows.
    ResponseTooLarge,
    /// The module withdrew it.
    Cancelled,
}

impl AttemptEnd {
    /// What the module is told. "Never ran" (`Full`, `ConnectFailed`, `Moot`) stands only where the protocol
    /// proves it: the executor said so, or the request's last byte was never written.
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

    /// How a link ends whose answer could not be read.
    pub fn unreadable(fault: WireError) -> AttemptEnd {
        match fault {
            WireError::Closed => AttemptEnd::Truncated,
            WireError::Broken => AttemptEnd::Reset,
            WireError::Malformed => AttemptEnd::Malformed,
            WireError::HeadTooLarge | WireError::BodyTooLarge => AttemptEnd::ResponseTooLarge,
        }
    }
}
