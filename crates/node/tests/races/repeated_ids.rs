//! A request comes again under the same id.

use crate::peers::{
    Cancellation, Disconnect, disconnect, done_response, first_request, next_request, no_discovery,
    read_response, request_id, respond, send_request, start_node, wait_for_counter,
};
use sorrelhaven_test_support::open_listener;
use std::io::ErrorKind;
use std::time::Duration;

/// How long a worker is watched for a request that must not come.
const WATCH_TIME: Duration = Duration::from_millis(300);

/// A request that must not run twice is sent to its worker, and its client leaves. When the same id comes again, it
/// must be answered with 409 and not be sent, whether or not the first attempt was cancelled.
#[test]
fn an_id_that_may_have_run_is_not_sent_again_after_its_client_has_left() {
    for class in ["once", "drops"] {
        for kind in Disconnect::ALL {
            let (worker, address) = open_listener();
            let (mut node, _scratch) = start_node(address, no_discovery(), Cancellation::Enabled, "again");
            let client = send_request(&node, "same", class, 5_000);
            let (request, mut connection) = first_request(&worker);
            assert_eq!(request_id(&request), "same");
            disconnect(&mut node, client, kind, 0);
            assert_eq!(next_request(&mut connection), None, "the attempt was not cancelled");
            wait_for_counter(&mut node, "cancelled", 1);
            let mut again = send_request(&node, "same", class, 5_000);
            again.set_read_timeout(Some(WATCH_TIME)).expect("the read timeout can be set");
            worker.set_nonblocking(true).expect("the listener can be made non-blocking");
            assert_eq!(read_response(&mut again).status, 409, "{class}, {kind:?}");
            let error = worker.accept().expect_err("the request was sent again");
            assert_eq!(error.kind(), ErrorKind::WouldBlock);
        }
    }
}

/// The same after the first request was answered.
#[test]
fn an_id_that_was_answered_is_not_sent_again() {
    let (worker, address) = open_listener();
    let (node, _scratch) = start_node(address, no_discovery(), Cancellation::Enabled, "answered");
    let mut client = send_request(&node, "same", "once", 5_000);
    let (_, mut connection) = first_request(&worker);
    respond(&mut connection, &done_response("same"));
    assert_eq!(read_response(&mut client).status, 200);
    let mut again = send_request(&node, "same", "once", 5_000);
    assert_eq!(read_response(&mut again).status, 409);
}

/// An id whose request never ran may come again: the worker rejected it, or its client left before it was sent. An
/// idempotent request may come again in any case.
#[test]
fn an_id_that_has_not_run_is_served_when_it_comes_again() {
    let (worker, address) = open_listener();
    let (mut node, _scratch) = start_node(address, no_discovery(), Cancellation::Enabled, "unrun");
    let client = send_request(&node, "rejected", "once", 5_000);
    let (_, mut connection) = first_request(&worker);
    respond(&mut connection, "HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n");
    wait_for_counter(&mut node, "worker_rejected", 1);
    disconnect(&mut node, client, Disconnect::Close, 0);
    wait_for_counter(&mut node, "client_gone", 1);
    assert_eq!(next_request(&mut connection), None, "the connection carried a request after a rejection");
    let mut client = send_request(&node, "rejected", "once", 5_000);
    let (request, mut connection) = first_request(&worker);
    assert_eq!(request_id(&request), "rejected", "{request}");
    respond(&mut connection, &done_response("rejected"));
    assert_eq!(read_response(&mut client).status, 200);
    for (id, class) in [("safe", "safe"), ("safe", "safe")] {
        let mut client = send_request(&node, id, class, 5_000);
        let request = next_request(&mut connection).expect("the pooled connection carries the next request");
        assert_eq!(request_id(&request), id, "{request}");
        respond(&mut connection, &done_response(id));
        assert_eq!(read_response(&mut client).status, 200);
    }
}
