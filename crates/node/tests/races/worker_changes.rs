//! A worker begins to drain, or the idempotency window of a request ends, while a connection to the worker is
//! being established.

use crate::peers::{
    Cancellation, accept, accept_watch, first_request, list_entry, next_request, read_response, request_id,
    send_request, send_update, start_node, wait_for_counter,
};
use sorrelhaven_test_support::{StalledListener, TestResponse, open_listener, reset_connection};
use std::time::{Duration, Instant};

/// If the worker begins to drain while the connection is being established, no request must be sent on it.
#[test]
fn a_worker_that_begins_to_drain_during_connect_gets_no_request() {
    let stalled = StalledListener::new().expect("the accept queue can be filled");
    let (discovery_listener, discovery) = open_listener();
    let (mut node, _scratch) = start_node(stalled.address, discovery, Cancellation::Enabled, "leaving");
    let mut watch = accept_watch(&discovery_listener);
    let mut client = send_request(&node, "held", "once", 4_000);
    // The first attempt is connecting.
    wait_for_counter(&mut node, "upstream_connections", 1);
    send_update(&mut watch, 2, &[list_entry("s-1", stalled.address, "terminating")]);
    wait_for_counter(&mut node, "worker_lists", 1);
    let worker = stalled.release().expect("the accept queue can be emptied");
    let mut connection = accept(&worker);
    assert_eq!(next_request(&mut connection), None, "the node sent a request to the draining worker");
    // The request has not run, and there is no other worker, so it is rejected.
    assert_eq!(read_response(&mut client).status, 503);
    assert_eq!((node.counter("connect_failed"), node.counter("requests_sent")), (1, 0));
}

/// Workers deduplicate retries within the idempotency window only. A retry whose attempt begins within the
/// window but whose connection is established after it would run a second time. It must not be sent, and its
/// client must be told in time that it may try again.
#[test]
fn a_retry_whose_connect_ends_after_the_idempotency_window_is_not_sent() {
    let (worker, address) = open_listener();
    let stalled = StalledListener::new().expect("the accept queue can be filled");
    let (discovery_listener, discovery) = open_listener();
    let (mut node, _scratch) = start_node(address, discovery, Cancellation::Enabled, "window");
    let mut watch = accept_watch(&discovery_listener);
    let begun = Instant::now();
    let mut client = send_request(&node, "twice", "drops", 30_000);
    let (_, connection) = first_request(&worker);
    let entries =
        [list_entry("s-1", address, "terminating"), list_entry("s-2", stalled.address, "in_service")];
    send_update(&mut watch, 2, &entries);
    wait_for_counter(&mut node, "worker_lists", 1);
    // The request may have run. It is retried at the other worker, whose listener is stalled.
    reset_connection(connection);
    wait_for_counter(&mut node, "upstream_connections", 2);
    let response = TestResponse::read(&mut client, begun).expect("the request is answered");
    assert_eq!(
        response.status, 503,
        "the client was not told that it may retry, although every worker drops a retry"
    );
    assert!(response.elapsed < Duration::from_secs(5), "{:?}", response.elapsed);
    let worker = stalled.release().expect("the accept queue can be emptied");
    let _client = send_request(&node, "stays", "safe", 30_000);
    let (request, _connection) = first_request(&worker);
    assert_eq!(request_id(&request), "stays", "{request}");
    assert_eq!((node.counter("reset"), node.counter("not_sent")), (1, 1));
}
