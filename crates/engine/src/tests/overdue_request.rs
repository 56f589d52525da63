//! A request is answered by its own deadline where nothing else answers it.

use super::fixtures;
use crate::job::Answer;
use sorrelhaven_wire::{Connection, timeout_at};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// An attempt waits until its client's disconnect is reported, and nothing reports it: a lost message must
/// not keep the request, and with it the process, for ever.
#[test]
fn a_request_whose_message_is_lost_is_answered_and_deregistered() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let engine = fixtures::engine(listener.local_addr().expect("its address"));
    let timer_engine = engine.clone();
    engine.tasks.spawn_urgent(async move { timer_engine.dispatcher_loop.run_timers().await });
    let clients = TcpListener::bind("127.0.0.1:0").expect("a port");
    let client = TcpStream::connect(clients.local_addr().expect("its address")).expect("a client");
    let (accepted, _) = clients.accept().expect("its connection");
    let connection = async_io::block_on(Connection::accepted(accepted)).expect("a registered socket");
    // The client has disconnected, and nothing reads from its connection.
    drop(client);
    let deadline = engine.dispatcher_loop.clock.now() + 200_000;
    let payload = fixtures::payload(&engine, "/api", b"body");
    let job = fixtures::job(payload, deadline, Some(connection.peer_close_detector()));
    let handle = engine.submit(job).expect("no other has its id");
    let limit = Instant::now() + Duration::from_secs(2);
    let answer = fixtures::run(&engine, timeout_at(limit, handle.answer()));
    assert_eq!(answer, Some(Some(Answer::Failed)), "no answer by its deadline");
    let deregistered = fixtures::run(
        &engine,
        timeout_at(limit, async {
            while engine.dispatcher_loop.registered_requests() > 0 {
                futures_lite::future::yield_now().await;
            }
        }),
    );
    assert!(deregistered.is_some(), "the request is still registered");
    assert_eq!(engine.counters.answered_by_deadline_guard.get(), 1);
}
