//! What counts as sent: a request whose last byte was written may have run, whatever happens next in the node.

use super::fixtures;
use crate::attempt;
use crate::attempt_end::AttemptEnd;
use crate::job::RequestMessage;
use sorrelhaven_body_store::BLOCK_BYTES;
use std::io::Read;
use std::net::TcpListener;
use std::time::Duration;

/// A large body waits for its turn behind other work after each block, the last one too. The time may be up, or the
/// client gone, before that turn comes: the executor has the whole request all the same.
#[test]
fn a_whole_request_that_waits_for_its_turn_may_have_run() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let engine = fixtures::engine(listener.local_addr().expect("its address"));
    let parcel = fixtures::parcel(&engine, "/api", &[b'x'; BLOCK_BYTES]).into();
    let executor = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the node");
        let mut got = Vec::new();
        stream.read_to_end(&mut got).expect("the node ends the connection");
        got.iter().rev().take_while(|byte| **byte == b'x').count()
    });
    let (mail, inbox) = async_channel::unbounded();
    // No other task runs, so the turn after the last block does not come within the deadline.
    let order = fixtures::order(Duration::from_millis(300));
    async_io::block_on(attempt::run(engine.upstreams.clone(), parcel, order, mail));
    let last = std::iter::from_fn(|| inbox.try_recv().ok()).last();
    assert_eq!(executor.join().expect("the executor"), BLOCK_BYTES, "the executor has all of it");
    let Some(RequestMessage::AttemptEnded { end: ending, .. }) = last else { panic!("no ending: {last:?}") };
    assert_eq!(ending, AttemptEnd::ResponseTimeout, "it may have run");
}
