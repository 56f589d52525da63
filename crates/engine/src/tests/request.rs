//! A request's life with the real module: whatever the executor does, one answer, and no second run of a job
//! that may have run.

use super::fixtures;
use super::pooled_connection::{ServerScript, conduct, model, play};
use crate::attempt_end::AttemptEnd;
use crate::job::Answer;
use proptest::prelude::*;
use sorrelhaven_test_support::check_cases;
use std::net::TcpListener;
use std::sync::mpsc;

/// Plays an executor that does one thing for each connection, and counts the requests.
fn executor(listener: TcpListener, conducts: Vec<ServerScript>, begun: mpsc::Sender<()>) {
    for conduct in conducts.iter().cycle() {
        let Ok((mut stream, _)) = listener.accept() else { return };
        match play(&mut stream, conduct, || _ = begun.send(())) {
            Ok(true) | Err(_) => {}
            // The test's own connection, which says nothing, ends it.
            Ok(false) => return,
        }
    }
}

#[test]
fn a_job_that_must_not_run_twice_has_one_answer_and_one_run() {
    check_cases(24, prop::collection::vec(conduct(), 1..4), |conducts| {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (begun, count) = mpsc::channel();
        let script = conducts.clone();
        let (ended, end) = async_channel::bounded::<()>(1);
        let executor = std::thread::spawn(move || {
            executor(listener, script, begun);
            drop(ended);
        });
        let engine = fixtures::engine(address);
        let at = engine.clone();
        engine.tasks.spawn_urgent(async move { at.dispatcher_loop.run_timers().await });
        let parcel = fixtures::parcel(&engine, "/api", b"body");
        let due = engine.dispatcher_loop.clock.now() + 400_000;
        let job = fixtures::job(parcel, due, None);
        let ticket = engine.take(job).expect("no other has its id");
        let answer = fixtures::run(&engine, ticket.answer());
        let late = engine.dispatcher_loop.clock.now() - due;
        // All that is out must come to its end, too.
        fixtures::run(&engine, async {
            while engine.dispatcher_loop.registered_requests() > 0 {
                futures_lite::future::yield_now().await;
            }
            drop(std::net::TcpStream::connect(address));
            _ = end.recv().await;
        });
        executor.join().expect("the executor ends");
        let runs = count.iter().count();
        let endings: Vec<AttemptEnd> = conducts.iter().cycle().take(runs).map(|c| model(c).0).collect();
        prop_assert!(late < 1_000_000, "an answer {} us late", late);
        if let Some((last, before)) = endings.split_last() {
            prop_assert!(before.iter().all(|e| *e == AttemptEnd::Rejected), "sent again after {:?}", before);
            match (last, &answer) {
                (AttemptEnd::Completed(result), Some(Answer::Served(got))) => prop_assert_eq!(result, got),
                (AttemptEnd::Rejected, Some(Answer::Rejected { .. })) => {}
                (AttemptEnd::Completed(_) | AttemptEnd::Rejected, _) => {
                    prop_assert!(false, "{:?} gave {:?}", last, answer)
                }
                (_, answer) => prop_assert_eq!(answer, &Some(Answer::Failed)),
            }
        }
        Ok(())
    });
}
