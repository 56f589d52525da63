//! Tests the dispatcher's answer after each way in which an attempt can end, for an at-most-once request
//! whose body can be read only once: there is one answer and no retry, and the answer is a rejection only if
//! the protocol proves that the job never ran.

use super::fixtures;
use crate::attempt_end::AttemptEnd;
use crate::job::RequestMessage;
use sorrelhaven_body_store::{BodyEnd, BodyReadError};
use sorrelhaven_dispatcher::{Arrival, Event, WorkerId};

/// Returns the end that follows `end` in a list of all ends, or `None` after the last. The match is
/// exhaustive, so that a new variant does not compile until it is inserted here.
fn following_end(end: &AttemptEnd) -> Option<AttemptEnd> {
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

/// Whether `end` proves that the job never ran: the worker reported it, or the request's last byte was not
/// written.
fn is_proven_not_run(end: &AttemptEnd) -> bool {
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

/// Returns the messages that the dispatcher sends to an at-most-once request with a consumed body after its
/// first attempt ended with `end`.
fn messages_after(end: &AttemptEnd) -> Vec<RequestMessage> {
    let engine = fixtures::engine_with_unreachable_worker();
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
    assert!(
        matches!(first, Ok(RequestMessage::Send { worker: WorkerId(0), .. })),
        "before {end:?}, no attempt was requested: {first:?}"
    );
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
    let mut end_count = 0;
    let mut next_end = Some(AttemptEnd::Completed("fine".into()));
    while let Some(end) = next_end {
        next_end = following_end(&end);
        end_count += 1;
        let answers = messages_after(&end);
        let concluded = matches!(end, AttemptEnd::Completed(_));
        let is_expected = match (&answers[..], concluded, is_proven_not_run(&end)) {
            ([], true, _) => true,
            ([RequestMessage::Reject { .. }], false, proven_not_run) => proven_not_run,
            ([RequestMessage::Fail], false, proven_not_run) => !proven_not_run,
            _ => false,
        };
        assert!(is_expected, "a request whose attempt ended with {end:?} was answered with {answers:?}");
    }
    assert_eq!(end_count, 27);
}
