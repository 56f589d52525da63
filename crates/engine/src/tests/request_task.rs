//! Tests the task of a request with the real dispatcher: whatever the worker does, the request has one
//! answer, and a job that may have run is not sent again.

use super::fixtures;
use super::pooled_connection::{WorkerScript, expected_end, serve_request, worker_script};
use crate::attempt_end::AttemptEnd;
use crate::job::Answer;
use proptest::prelude::*;
use sorrelhaven_test_support::check_cases;
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc;

/// Runs a worker that serves each connection according to the next script, cyclically, and reports each
/// request to `requests`.
fn run_worker(listener: TcpListener, scripts: Vec<WorkerScript>, requests: mpsc::Sender<()>) {
    for script in scripts.iter().cycle() {
        let Ok((mut stream, _)) = listener.accept() else { return };
        match serve_request(&mut stream, script, || _ = requests.send(())) {
            Ok(true) | Err(_) => {}
            // The test ends the worker by a connection that sends nothing.
            Ok(false) => return,
        }
    }
}

#[test]
fn an_at_most_once_request_has_one_answer_and_one_run() {
    check_cases(24, prop::collection::vec(worker_script(), 1..4), |scripts| {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (request_sender, requests) = mpsc::channel();
        let worker_scripts = scripts.clone();
        let (worker_running, worker_ended) = async_channel::bounded::<()>(1);
        let worker = std::thread::spawn(move || {
            run_worker(listener, worker_scripts, request_sender);
            drop(worker_running);
        });
        let engine = fixtures::engine(address);
        let timer_engine = engine.clone();
        engine.tasks.spawn_urgent(async move { timer_engine.dispatcher_loop.run_timers().await });
        let payload = fixtures::payload(&engine, "/api", b"body");
        let deadline = engine.dispatcher_loop.clock.now() + 400_000;
        let job = fixtures::job(payload, deadline, None);
        let handle = engine.submit(job).expect("the id is not in use");
        let answer = fixtures::run(&engine, handle.answer());
        let late_by = engine.dispatcher_loop.clock.now() - deadline;
        // All attempts must end, after which the request is deregistered.
        fixtures::run(&engine, async {
            while engine.dispatcher_loop.registered_requests() > 0 {
                futures_lite::future::yield_now().await;
            }
            drop(TcpStream::connect(address));
            _ = worker_ended.recv().await;
        });
        worker.join().expect("the worker has not panicked");
        let runs = requests.iter().count();
        let ends: Vec<AttemptEnd> =
            scripts.iter().cycle().take(runs).map(|script| expected_end(script).0).collect();
        prop_assert!(late_by < 1_000_000, "the request was answered {} us after its deadline", late_by);
        check_answer(&ends, answer)
    });
}

/// Checks the answer to an at-most-once request whose attempts must have ended with `ends`, in this order.
fn check_answer(ends: &[AttemptEnd], answer: Option<Answer>) -> Result<(), TestCaseError> {
    let Some((last, earlier)) = ends.split_last() else { return Ok(()) };
    prop_assert!(
        earlier.iter().all(|end| *end == AttemptEnd::Rejected),
        "the request was sent again after {:?}",
        earlier
    );
    match (last, &answer) {
        (AttemptEnd::Completed(result), Some(Answer::Served(served))) => prop_assert_eq!(result, served),
        (AttemptEnd::Rejected, Some(Answer::Rejected { .. })) => {}
        (AttemptEnd::Completed(_) | AttemptEnd::Rejected, _) => {
            prop_assert!(
                false,
                "a request whose last attempt ended with {:?} was answered with {:?}",
                last,
                answer
            )
        }
        (_, answer) => prop_assert_eq!(answer, &Some(Answer::Failed)),
    }
    Ok(())
}
