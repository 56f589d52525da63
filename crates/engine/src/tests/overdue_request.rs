//! Tests that a request's own task answers it shortly after its deadline if nothing else does.

use super::fixtures;
use crate::job::Answer;
use sorrelhaven_wire::{BufferBudget, Connection, timeout_at};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// An attempt of a client that has closed its connection waits until that is reported to the request. If the
/// report is lost, this must not keep the request, and so the process, from ending.
#[test]
fn a_request_whose_message_is_lost_is_answered_and_deregistered() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let engine = fixtures::engine(listener.local_addr().expect("the listener has an address"));
    let timer_engine = engine.clone();
    engine.tasks.spawn_urgent(async move { timer_engine.dispatcher_loop.run_timers().await });
    let clients = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let client = TcpStream::connect(clients.local_addr().expect("the listener has an address"))
        .expect("the client connects");
    let (accepted, _) = clients.accept().expect("the listener accepts");
    let connection = async_io::block_on(Connection::accepted(accepted, &BufferBudget::unlimited()))
        .expect("the socket can be set up");
    // Nothing reads from the connection, so the disconnect is not reported to the request.
    drop(client);
    let deadline = engine.dispatcher_loop.clock.now() + 200_000;
    let payload = fixtures::payload(&engine, "/api", b"body");
    let job = fixtures::job(payload, deadline, Some(connection.peer_close_detector()));
    let handle = engine.submit(job).expect("the id is not in use");
    let limit = Instant::now() + Duration::from_secs(2);
    let answer = fixtures::run(&engine, timeout_at(limit, handle.answer()));
    assert_eq!(answer, Some(Some(Answer::Failed)), "the request was not failed within 2 s");
    let deregistered = fixtures::run(
        &engine,
        timeout_at(limit, async {
            while engine.dispatcher_loop.registered_requests() > 0 {
                futures_lite::future::yield_now().await;
            }
        }),
    );
    assert!(deregistered.is_some(), "the request is still registered after 2 s");
    assert_eq!(engine.counters.answered_by_deadline_guard.get(), 1);
}
