//! Each way an attempt can end, for an at-most-once request whose body can be read only once: one answer, no
//! retry, and a rejection only where the protocol proves that the job never ran.

use super::fixtures;
use crate::attempt_end::AttemptEnd;
use crate::job::RequestMessage;
use sorrelhaven_body_store::{BodyEnd, BodyReadError};
use sorrelhaven_dispatcher::{Arrival, Event, WorkerId};

/// The end listed after this one; a new variant must be inserted here.
fn next(end: &AttemptEnd) -> Option<AttemptEnd> {
    Some(match end {
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
            AttemptEnd::BodyUnavailable(BodyReadError::Ended(BodyEnd::ClientDisconnected))
        }
        AttemptEnd::BodyUnavailable(BodyReadError::Ended(_)) => {
            AttemptEnd::BodyUnavailable(BodyReadError::Consumed)
        }
        AttemptEnd::BodyUnavailable(BodyReadError::Consumed) => {
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

/// Whether the protocol proves that an attempt that ended so never ran: the worker reports it, or the
/// request's last byte was not written.
fn never_ran(end: &AttemptEnd) -> bool {
    match end {
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

/// What the dispatcher answers where the only attempt at a request with a consumed body ends with `end`.
fn answers_after(end: &AttemptEnd) -> Vec<RequestMessage> {
    let engine = fixtures::engine_without_worker();
    let dispatcher_loop = &engine.dispatcher_loop;
    let (sender, messages) = async_channel::unbounded();
    let request = dispatcher_loop.register_request(sender);
    dispatcher_loop.dispatch(Event::Arrival(Arrival {
        request,
        class: 0,
        deadline: dispatcher_loop.clock.now() + 4_000_000,
        work_hint: Some(50_000),
        slots: 1.0,
        is_retry: false,
        affinity_key: 0,
        body_sendable: true,
    }));
    let first = messages.try_recv();
    assert!(matches!(first, Ok(RequestMessage::Send { worker: WorkerId(0), .. })), "{end:?}: {first:?}");
    dispatcher_loop.dispatch(Event::BodyConsumed(request));
    dispatcher_loop.dispatch(Event::AttemptEnded {
        request,
        attempt: 0,
        worker: WorkerId(0),
        outcome: end.outcome(),
        elapsed: 1_000,
        request_concluded: matches!(end, AttemptEnd::Completed(_)),
        load_report: Vec::new(),
    });
    std::iter::from_fn(|| messages.try_recv().ok()).collect()
}

#[test]
fn an_at_most_once_request_with_a_consumed_body_is_rejected_only_if_it_never_ran() {
    let mut ends = 0;
    let mut next_end = Some(AttemptEnd::Completed("fine".into()));
    while let Some(end) = next_end {
        next_end = next(&end);
        ends += 1;
        let answers = answers_after(&end);
        let concluded = matches!(end, AttemptEnd::Completed(_));
        let is_right = match (&answers[..], concluded, never_ran(&end)) {
            ([], true, _) => true,
            ([RequestMessage::Reject { .. }], false, never_ran) => never_ran,
            ([RequestMessage::Fail], false, never_ran) => !never_ran,
            _ => false,
        };
        assert!(is_right, "{end:?}: {answers:?}");
    }
    assert_eq!(ends, 27);
}
