//! Tests that an attempt whose last byte was written ends as one whose job may have run.

use super::fixtures;
use crate::attempt;
use crate::attempt_end::AttemptEnd;
use crate::job::RequestMessage;
use sorrelhaven_body_store::BLOCK_BYTES;
use std::io::Read;
use std::net::TcpListener;
use std::time::Duration;

/// After each block of a large body, the attempt yields to small requests. If it did so after the last block
/// too, the deadline could pass or the client disconnect before it resumes, and it would end as one that
/// never ran, although the worker has the complete request.
#[test]
fn an_attempt_that_times_out_after_the_last_block_was_written_may_have_run() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let engine = fixtures::engine(listener.local_addr().expect("the listener has an address"));
    let payload = fixtures::payload(&engine, "/api", &[b'x'; BLOCK_BYTES]).into();
    let worker = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the node connects");
        let mut received = Vec::new();
        stream.read_to_end(&mut received).expect("the node closes the connection");
        received.iter().rev().take_while(|byte| **byte == b'x').count()
    });
    let (sender, messages) = async_channel::unbounded();
    // Nothing runs the engine's executor, so an attempt that yields does not resume before its deadline.
    let spec = fixtures::attempt_spec(Duration::from_millis(300));
    async_io::block_on(attempt::run(engine.upstreams.clone(), payload, spec, sender));
    let last_message = std::iter::from_fn(|| messages.try_recv().ok()).last();
    assert_eq!(
        worker.join().expect("the worker has not panicked"),
        BLOCK_BYTES,
        "the worker has received the complete body"
    );
    let Some(RequestMessage::AttemptEnded { end, .. }) = last_message else {
        panic!("the last message does not report the end of the attempt: {last_message:?}")
    };
    assert_eq!(end, AttemptEnd::ResponseTimeout, "the job may have run");
}
