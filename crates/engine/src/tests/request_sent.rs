//! A request whose last byte was written may have run, whatever happens next in the node.

use super::fixtures;
use crate::attempt;
use crate::attempt_end::AttemptEnd;
use crate::job::RequestMessage;
use sorrelhaven_body_store::BLOCK_BYTES;
use std::io::Read;
use std::net::TcpListener;
use std::time::Duration;

/// A large body waits for its turn behind other tasks after each block, also after the last one. The deadline
/// may pass, or the client disconnect, before that turn: the worker has the complete request all the same.
#[test]
fn a_fully_sent_request_that_waits_for_its_turn_may_have_run() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let engine = fixtures::engine(listener.local_addr().expect("its address"));
    let payload = fixtures::payload(&engine, "/api", &[b'x'; BLOCK_BYTES]).into();
    let worker = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the node connects");
        let mut received = Vec::new();
        stream.read_to_end(&mut received).expect("the node ends the connection");
        received.iter().rev().take_while(|byte| **byte == b'x').count()
    });
    let (sender, messages) = async_channel::unbounded();
    // No other task runs the executor, so the turn after the last block does not come within the deadline.
    let spec = fixtures::attempt_spec(Duration::from_millis(300));
    async_io::block_on(attempt::run(engine.upstreams.clone(), payload, spec, sender));
    let last = std::iter::from_fn(|| messages.try_recv().ok()).last();
    assert_eq!(worker.join().expect("the worker"), BLOCK_BYTES, "the worker has all of it");
    let Some(RequestMessage::AttemptEnded { end, .. }) = last else { panic!("no end: {last:?}") };
    assert_eq!(end, AttemptEnd::ResponseTimeout, "it may have run");
}
