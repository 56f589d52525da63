//! Every way in which a server link's exchange can end, and what each means to the module.

use sorrelhaven_body_store::Unreadable;
use sorrelhaven_dispatcher::Outcome;
use sorrelhaven_wire::Fault;

/// How an execution ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The executor's last line brought the result.
    Done(String),
    /// The executor says that the job failed, or answered with an error.
    Failed,
    /// The executor can't use the job: it is not one that any client sent in this form.
    Unusable,
    /// The executor turned the job away, or handed it back unstarted.
    Returned,
    /// The executor says that the job was killed.
    Lost,
    /// The executor was told to leave while the link came up; nothing was sent.
    Leaving,
    /// The host group names no address for it; nothing was sent.
    NoAddress,
    /// The request had its answer before anything was sent.
    Concluded,
    /// The client's time was all but over before anything was sent.
    NoTimeLeft,
    /// The time in which a repeat is dropped was over before its last byte was written.
    WindowOver,
    /// The request's body can't be had whole, so its last byte was not sent: the parcel's failure, not the executor's.
    Body(Unreadable),
    /// No descriptor was free for a server link.
    NoDescriptor,
    /// The connection was refused or could not be made.
    Unreachable,
    /// The connection did not come up in time.
    ConnectLate,
    /// The connection broke before the request's last byte was written.
    BrokenUnwritten,
    /// The time was up before the request's last byte was written.
    LateUnwritten,
    /// A link that had stood idle broke as soon as the request was written on it; that it never ran is no more
    /// than likely.
    Stale,
    /// The connection broke after the request's last byte was written.
    Broken,
    /// The executor ended its answer or the connection before the last line.
    Cut,
    /// Nothing more had come when the time was up.
    Silent,
    /// What came was not the protocol.
    Malformed,
    /// What came was about another request.
    WrongId,
    /// What came was larger than the protocol allows.
    Oversize,
    /// The module withdrew it.
    Withdrawn,
}

impl Ending {
    /// What the module is told. "Never ran" (`Full`, `ConnectFailed`, `Moot`) stands only where the protocol
    /// proves it: the executor said so, or the request's last byte was never written.
    pub fn outcome(&self) -> Outcome {
        match self {
            Ending::Done(_) => Outcome::Ok,
            Ending::Failed | Ending::Malformed | Ending::WrongId | Ending::Oversize => Outcome::Error,
            Ending::Returned => Outcome::Rejected,
            Ending::Unusable => Outcome::InvalidRequest,
            Ending::Leaving
            | Ending::Unreachable
            | Ending::ConnectLate
            | Ending::BrokenUnwritten
            | Ending::LateUnwritten => Outcome::ConnectFailed,
            Ending::Lost | Ending::Stale | Ending::Broken | Ending::Cut => Outcome::Reset,
            Ending::Silent => Outcome::Timeout,
            Ending::Withdrawn => Outcome::Cancelled,
            Ending::NoAddress
            | Ending::Concluded
            | Ending::NoTimeLeft
            | Ending::WindowOver
            | Ending::NoDescriptor
            | Ending::Body(_) => Outcome::NotSent,
        }
    }

    /// How a link ends whose answer could not be read.
    pub fn unreadable(fault: Fault) -> Ending {
        match fault {
            Fault::Closed => Ending::Cut,
            Fault::Broken => Ending::Broken,
            Fault::Malformed => Ending::Malformed,
            Fault::HeadTooLarge | Fault::BodyTooLarge => Ending::Oversize,
        }
    }
}
