//! Every ending there is, met by a payment whose body is not kept: one answer, no second send, and a refusal only where
//! the protocol proves that it never ran.

use super::fixtures;
use crate::attempt_end::AttemptEnd;
use crate::job::RequestMessage;
use sorrelhaven_body_store::{BodyEnd, BodyReadError};
use sorrelhaven_dispatcher::{Arrival, Event, WorkerId};

/// The ending listed after this one; a new one must find its place here.
fn next(ending: &AttemptEnd) -> Option<AttemptEnd> {
    Some(match ending {
        AttemptEnd::Completed(_) => AttemptEnd::Failed,
        AttemptEnd::Failed => AttemptEnd::InvalidRequest,
        AttemptEnd::InvalidRequest => AttemptEnd::Rejected,
        AttemptEnd::Rejected => AttemptEnd::Killed,
        AttemptEnd::Killed => AttemptEnd::Draining,
        AttemptEnd::Draining => AttemptEnd::NoAddress,
        AttemptEnd::NoAddress => AttemptEnd::RequestConcluded,
        AttemptEnd::RequestConcluded => AttemptEnd::DeadlineTooClose,
        AttemptEnd::DeadlineTooClose => AttemptEnd::IdempotencyWindowExpired,
        AttemptEnd::IdempotencyWindowExpired => {
            AttemptEnd::BodyUnavailable(BodyReadError::Ended(BodyEnd::ClientBroke))
        }
        AttemptEnd::BodyUnavailable(BodyReadError::Ended(_)) => {
            AttemptEnd::BodyUnavailable(BodyReadError::PassedOn)
        }
        AttemptEnd::BodyUnavailable(BodyReadError::PassedOn) => {
            AttemptEnd::BodyUnavailable(BodyReadError::Failed)
        }
        AttemptEnd::BodyUnavailable(BodyReadError::Failed) => {
            AttemptEnd::BodyUnavailable(BodyReadError::Corrupt)
        }
        AttemptEnd::BodyUnavailable(BodyReadError::Corrupt) => AttemptEnd::NoDescriptor,
        AttemptEnd::NoDescriptor => AttemptEnd::Unreachable,
        AttemptEnd::Unreachable => AttemptEnd::ConnectTimeout,
        AttemptEnd::ConnectTimeout => AttemptEnd::ResetBeforeSent,
        AttemptEnd::ResetBeforeSent => AttemptEnd::TimeoutBeforeSent,
        AttemptEnd::TimeoutBeforeSent => AttemptEnd::StaleConnection,
        AttemptEnd::StaleConnection => AttemptEnd::Reset,
        AttemptEnd::Reset => AttemptEnd::Truncated,
        AttemptEnd::Truncated => AttemptEnd::ResponseTimeout,
        AttemptEnd::ResponseTimeout => AttemptEnd::Malformed,
        AttemptEnd::Malformed => AttemptEnd::WrongRequestId,
        AttemptEnd::WrongRequestId => AttemptEnd::ResponseTooLarge,
        AttemptEnd::ResponseTooLarge => AttemptEnd::Cancelled,
        AttemptEnd::Cancelled => return None,
    })
}

/// Whether the protocol proves that an execution that ended so never ran: the executor said so, or the request's last
/// byte was not written.
fn never_ran(ending: &AttemptEnd) -> bool {
    match ending {
        AttemptEnd::Rejected
        | AttemptEnd::Draining
        | AttemptEnd::NoAddress
        | AttemptEnd::RequestConcluded => true,
        AttemptEnd::BodyUnavailable(_)
        | AttemptEnd::DeadlineTooClose
        | AttemptEnd::IdempotencyWindowExpired => true,
        AttemptEnd::NoDescriptor | AttemptEnd::Unreachable | AttemptEnd::ConnectTimeout => true,
        AttemptEnd::ResetBeforeSent | AttemptEnd::TimeoutBeforeSent => true,
        AttemptEnd::Completed(_)
        | AttemptEnd::Failed
        | AttemptEnd::InvalidRequest
        | AttemptEnd::Killed
        | AttemptEnd::StaleConnection => false,
        AttemptEnd::Reset | AttemptEnd::Truncated | AttemptEnd::ResponseTimeout | AttemptEnd::Malformed => {
            false
        }
        AttemptEnd::WrongRequestId | AttemptEnd::ResponseTooLarge | AttemptEnd::Cancelled => false,
    }
}

#[test]
fn a_payment_whose_body_is_not_kept_meets_each_ending() {
    let mut met = 0;
    let mut at = Some(AttemptEnd::Completed("fine".into()));
    while let Some(ending) = at {
        at = next(&ending);
        met += 1;
        let engine = fixtures::engine("127.0.0.1:1".parse().expect("an address"));
        let desk = &engine.dispatcher_loop;
        let (mail, inbox) = async_channel::unbounded();
        let request = desk.register_request(mail);
        let (due, hint) = (desk.clock.now() + 4_000_000, Some(50_000));
        let arrival = Arrival {
            request,
            class: 0,
            deadline: due,
            work_hint: hint,
            slots: 1.0,
            is_retry: false,
            affinity_key: 0,
            body_sendable: true,
        };
        desk.dispatch(Event::Arrival(arrival));
        let first = inbox.try_recv();
        assert!(
            matches!(first, Ok(RequestMessage::Send { worker: WorkerId(0), .. })),
            "{ending:?}: {first:?}"
        );
        desk.dispatch(Event::BodyConsumed(request));
        let (outcome, closed) = (ending.outcome(), matches!(ending, AttemptEnd::Completed(_)));
        let (worker, report) = (WorkerId(0), Vec::new());
        desk.dispatch(Event::AttemptEnded {
            request,
            attempt: 0,
            worker,
            outcome,
            elapsed: 1_000,
            request_concluded: closed,
            load_report: report,
        });
        let answers: Vec<RequestMessage> = std::iter::from_fn(|| inbox.try_recv().ok()).collect();
        let right = match (&answers[..], closed, never_ran(&ending)) {
            ([], true, _) => true,
            ([RequestMessage::Reject { .. }], false, refused) => refused,
            ([RequestMessage::Fail], false, refused) => !refused,
            _ => false,
        };
        assert!(right, "{ending:?}: {answers:?}");
    }
    assert_eq!(met, 27);
}
