//! The task of a request with the real dispatcher: whatever the worker does, one answer, and no second run of
//! a job that may have run.

use super::fixtures;
use super::pooled_connection::{ServerScript, expected_end, play, server_script};
use crate::attempt_end::AttemptEnd;
use crate::job::Answer;
use proptest::prelude::*;
use sorrelhaven_test_support::check_cases;
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc;

/// Plays a worker that follows the next script for each connection, and reports each request to `requests`.
fn play_worker(listener: TcpListener, scripts: Vec<ServerScript>, requests: mpsc::Sender<()>) {
    for script in scripts.iter().cycle() {
        let Ok((mut stream, _)) = listener.accept() else { return };
        match play(&mut stream, script, || _ = requests.send(())) {
            Ok(true) | Err(_) => {}
            // The test's own connection, which sends nothing, ends it.
            Ok(false) => return,
        }
    }
}

#[test]
fn an_at_most_once_request_has_one_answer_and_one_run() {
    check_cases(24, prop::collection::vec(server_script(), 1..4), |scripts| {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (request_sender, requests) = mpsc::channel();
        let worker_scripts = scripts.clone();
        let (end_sender, end) = async_channel::bounded::<()>(1);
        let worker = std::thread::spawn(move || {
            play_worker(listener, worker_scripts, request_sender);
            drop(end_sender);
        });
        let engine = fixtures::engine(address);
        let timer_engine = engine.clone();
        engine.tasks.spawn_urgent(async move { timer_engine.dispatcher_loop.run_timers().await });
        let payload = fixtures::payload(&engine, "/api", b"body");
        let deadline = engine.dispatcher_loop.clock.now() + 400_000;
        let job = fixtures::job(payload, deadline, None);
        let handle = engine.submit(job).expect("no other has its id");
        let answer = fixtures::run(&engine, handle.answer());
        let late = engine.dispatcher_loop.clock.now() - deadline;
        // Every attempt must end, too.
        fixtures::run(&engine, async {
            while engine.dispatcher_loop.registered_requests() > 0 {
                futures_lite::future::yield_now().await;
            }
            drop(TcpStream::connect(address));
            _ = end.recv().await;
        });
        worker.join().expect("the worker ends");
        let runs = requests.iter().count();
        let ends: Vec<AttemptEnd> =
            scripts.iter().cycle().take(runs).map(|script| expected_end(script).0).collect();
        prop_assert!(late < 1_000_000, "an answer {} us late", late);
        check_answer(&ends, answer)
    });
}

/// Checks the answer to an at-most-once request whose attempts ended so, in this order.
fn check_answer(ends: &[AttemptEnd], answer: Option<Answer>) -> Result<(), TestCaseError> {
    let Some((last, before)) = ends.split_last() else { return Ok(()) };
    prop_assert!(before.iter().all(|end| *end == AttemptEnd::Rejected), "sent again after {:?}", before);
    match (last, &answer) {
        (AttemptEnd::Completed(result), Some(Answer::Served(served))) => prop_assert_eq!(result, served),
        (AttemptEnd::Rejected, Some(Answer::Rejected { .. })) => {}
        (AttemptEnd::Completed(_) | AttemptEnd::Rejected, _) => {
            prop_assert!(false, "{:?} led to {:?}", last, answer)
        }
        (_, answer) => prop_assert_eq!(answer, &Some(Answer::Failed)),
    }
    Ok(())
}
