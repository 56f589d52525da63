//! Every ending there is, met by a payment whose body is not kept: one answer, no second send, and a refusal only where
//! the protocol proves that it never ran.

use super::shared;
use crate::ending::Ending;
use crate::job::Mail;
use sorrelhaven_body_store::{End, Unreadable};
use sorrelhaven_dispatcher::{Arrival, Event, WorkerId};

/// The ending listed after this one; a new one must find its place here.
fn next(ending: &Ending) -> Option<Ending> {
    Some(match ending {
        Ending::Done(_) => Ending::Failed,
        Ending::Failed => Ending::Unusable,
        Ending::Unusable => Ending::Returned,
        Ending::Returned => Ending::Lost,
        Ending::Lost => Ending::Leaving,
        Ending::Leaving => Ending::NoAddress,
        Ending::NoAddress => Ending::Concluded,
        Ending::Concluded => Ending::NoTimeLeft,
        Ending::NoTimeLeft => Ending::WindowOver,
        Ending::WindowOver => Ending::Body(Unreadable::Ended(End::ClientBroke)),
        Ending::Body(Unreadable::Ended(_)) => Ending::Body(Unreadable::PassedOn),
        Ending::Body(Unreadable::PassedOn) => Ending::Body(Unreadable::Failed),
        Ending::Body(Unreadable::Failed) => Ending::Body(Unreadable::Corrupt),
        Ending::Body(Unreadable::Corrupt) => Ending::NoDescriptor,
        Ending::NoDescriptor => Ending::Unreachable,
        Ending::Unreachable => Ending::ConnectLate,
        Ending::ConnectLate => Ending::BrokenUnwritten,
        Ending::BrokenUnwritten => Ending::LateUnwritten,
        Ending::LateUnwritten => Ending::Stale,
        Ending::Stale => Ending::Broken,
        Ending::Broken => Ending::Cut,
        Ending::Cut => Ending::Silent,
        Ending::Silent => Ending::Malformed,
        Ending::Malformed => Ending::WrongId,
        Ending::WrongId => Ending::Oversize,
        Ending::Oversize => Ending::Withdrawn,
        Ending::Withdrawn => return None,
    })
}

/// Whether the protocol proves that an execution that ended so never ran: the executor said so, or the request's last
/// byte was not written.
fn never_ran(ending: &Ending) -> bool {
    match ending {
        Ending::Returned | Ending::Leaving | Ending::NoAddress | Ending::Concluded => true,
        Ending::Body(_) | Ending::NoTimeLeft | Ending::WindowOver => true,
        Ending::NoDescriptor | Ending::Unreachable | Ending::ConnectLate => true,
        Ending::BrokenUnwritten | Ending::LateUnwritten => true,
        Ending::Done(_) | Ending::Failed | Ending::Unusable | Ending::Lost | Ending::Stale => false,
        Ending::Broken | Ending::Cut | Ending::Silent | Ending::Malformed => false,
        Ending::WrongId | Ending::Oversize | Ending::Withdrawn => false,
    }
}

#[test]
fn a_payment_whose_body_is_not_kept_meets_each_ending() {
    let mut met = 0;
    let mut at = Some(Ending::Done("fine".into()));
    while let Some(ending) = at {
        at = next(&ending);
        met += 1;
        let engine = shared::engine("127.0.0.1:1".parse().expect("an address"));
        let desk = &engine.desk;
        let (mail, inbox) = async_channel::unbounded();
        let request = desk.open(mail);
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
        desk.tell(Event::Arrival(arrival));
        let first = inbox.try_recv();
        assert!(matches!(first, Ok(Mail::Send { worker: WorkerId(0), .. })), "{ending:?}: {first:?}");
        desk.tell(Event::BodyConsumed(request));
        let (outcome, closed) = (ending.outcome(), matches!(ending, Ending::Done(_)));
        let (worker, report) = (WorkerId(0), Vec::new());
        desk.tell(Event::AttemptEnded {
            request,
            attempt: 0,
            worker,
            outcome,
            elapsed: 1_000,
            request_concluded: closed,
            load_report: report,
        });
        let answers: Vec<Mail> = std::iter::from_fn(|| inbox.try_recv().ok()).collect();
        let right = match (&answers[..], closed, never_ran(&ending)) {
            ([], true, _) => true,
            ([Mail::Refuse { .. }], false, refused) => refused,
            ([Mail::Fail], false, refused) => !refused,
            _ => false,
        };
        assert!(right, "{ending:?}: {answers:?}");
    }
    assert_eq!(met, 27);
}
