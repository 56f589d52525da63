//! Workers that drain, or whose idempotency window ends, while a connection to them is being established.

use crate::peers::{
    Cancellation, accept, accept_watch, first_request, list_entry, next_request, read_response, request_id,
    send_request, send_update, start_node, wait_for_counter,
};
use sorrelhaven_test_support::{StalledListener, TestResponse, open_listener, reset_connection};
use std::time::{Duration, Instant};

/// The worker begins to drain during the connect: nothing is sent on the connection.
#[test]
fn a_worker_that_begins_to_drain_during_connect_gets_no_request() {
    let stalled = StalledListener::new().expect("the listener stalls");
    let (discovery_listener, discovery) = open_listener();
    let (mut node, _scratch) = start_node(stalled.address, discovery, Cancellation::Enabled, "leaving");
    let mut watch = accept_watch(&discovery_listener);
    let mut client = send_request(&node, "held", "once", 4_000);
    // The first attempt has begun.
    wait_for_counter(&mut node, "upstream_connections", 1);
    send_update(&mut watch, 2, &[list_entry("s-1", stalled.address, "terminating")]);
    wait_for_counter(&mut node, "worker_lists", 1);
    let worker = stalled.release().expect("the listener accepts");
    let mut connection = accept(&worker);
    assert_eq!(next_request(&mut connection), None, "no request is sent, and the connection ends");
    // It has not run, and there is no other worker: the request is rejected.
    assert_eq!(read_response(&mut client).status, 503);
    assert_eq!((node.counter("connect_failed"), node.counter("requests_sent")), (1, 0));
}

/// Workers drop a retry within a stated time. A retry that was begun within it, on a connection that is
/// established after it, would run twice: it is not sent, and its client is told in time that it may try
/// again.
#[test]
fn a_retry_whose_connect_ends_after_the_idempotency_window_is_not_sent() {
    let (worker, address) = open_listener();
    let stalled = StalledListener::new().expect("the listener stalls");
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
    // The request may have run. It is retried at the other worker, where connections are not established.
    reset_connection(connection);
    wait_for_counter(&mut node, "upstream_connections", 2);
    let response = TestResponse::read(&mut client, begun).expect("the request is answered");
    assert_eq!(response.status, 503, "a retry by the client is dropped by every worker");
    assert!(response.elapsed < Duration::from_secs(5), "{:?}", response.elapsed);
    let worker = stalled.release().expect("the listener accepts");
    let _client = send_request(&node, "stays", "safe", 30_000);
    let (request, _connection) = first_request(&worker);
    assert_eq!(request_id(&request), "stays", "{request}");
    assert_eq!((node.counter("reset"), node.counter("not_sent")), (1, 1));
}
