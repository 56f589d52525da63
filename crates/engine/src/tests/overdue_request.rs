//! A request's own deadline: it has its answer even where whatever should have brought that never does.

use super::fixtures;
use crate::job::Answer;
use sorrelhaven_wire::{Connection, timeout_at};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// An attempt waits for its client's leave to be told, and nobody tells it: a message that is lost must not hold the
/// request, and with it the end of the process, for ever.
#[test]
fn a_request_whose_message_is_lost_is_answered_and_closed() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let engine = fixtures::engine(listener.local_addr().expect("its address"));
    let at = engine.clone();
    engine.tasks.spawn_urgent(async move { at.dispatcher_loop.run_timers().await });
    let clients = TcpListener::bind("127.0.0.1:0").expect("a port");
    let client = TcpStream::connect(clients.local_addr().expect("its address")).expect("a client");
    let (accepted, _) = clients.accept().expect("its connection");
    let link = async_io::block_on(Connection::accepted(accepted)).expect("a place in the event loop");
    // The client has gone, and nobody reads from its connection.
    drop(client);
    let due = engine.dispatcher_loop.clock.now() + 200_000;
    let parcel = fixtures::parcel(&engine, "/api", b"body");
    let job = fixtures::job(parcel, due, Some(link.peer_probe()));
    let ticket = engine.take(job).expect("no other has its id");
    let limit = Instant::now() + Duration::from_secs(2);
    let answer = fixtures::run(&engine, timeout_at(limit, ticket.answer()));
    assert_eq!(answer, Some(Some(Answer::Failed)), "no answer by its deadline");
    let closed = fixtures::run(
        &engine,
        timeout_at(limit, async {
            while engine.dispatcher_loop.registered_requests() > 0 {
                futures_lite::future::yield_now().await;
            }
        }),
    );
    assert!(closed.is_some(), "the request is still open");
    assert_eq!(engine.counters.answered_by_deadline_guard.get(), 1);
}
