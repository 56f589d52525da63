//! SIGTERM while requests arrive or connections are being established.

use crate::peers::{
    Cancellation, WAIT_TIMEOUT, done_response, first_request, next_request, no_discovery, read_response,
    request_id, respond, send_request, send_request_on, start_node, wait_for_counter,
};
use sorrelhaven_test_support::{
    CHUNKED_RESPONSE_HEAD, StalledListener, TestRequest, TestResponse, chunk, open_listener,
};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Time after SIGTERM at which the late request is complete. A request that is complete 0.7 s after SIGTERM,
/// or later, must be answered before SIGKILL.
const LATE_REQUEST_DELAY: Duration = Duration::from_millis(800);
/// Time after SIGTERM from which the platform may send SIGKILL: 0.7 s plus the longest client timeout, which
/// counts as at most 3 s.
const SHUTDOWN_LIMIT: Duration = Duration::from_millis(3_700);

/// A request is half read at SIGTERM and complete more than 0.7 s later. It must be answered before the
/// platform may send SIGKILL, however long its client's timeout is and whatever its worker does. A second
/// SIGTERM and a reload must change nothing.
#[test]
fn a_request_that_is_complete_late_after_sigterm_is_answered_before_the_node_may_be_killed() {
    let (worker, address) = open_listener();
    let (mut node, scratch) = start_node(address, no_discovery(), Cancellation::Enabled, "late");
    let mut early_client = send_request(&node, "early", "once", 5_000);
    let (_, mut early_connection) = first_request(&worker);
    let started = "{\"id\":\"early\",\"state\":\"started\"}\n";
    respond(&mut early_connection, &format!("{CHUNKED_RESPONSE_HEAD}{}", chunk(started)));
    let mut late_client = send_first_half(&node.address, "late");
    node.signal("TERM");
    let signalled_at = Instant::now();
    node.wait_for_log_line("shutdown requested");
    node.signal("HUP");
    node.wait_for_log_line("configuration reloaded");
    node.signal("TERM");
    node.wait_for_log_line("shutdown requested");
    // Idle connections are closed by now, and no new one is accepted.
    node.wait_for_log_line("stopped accepting connections");
    while signalled_at.elapsed() < LATE_REQUEST_DELAY {
        std::thread::yield_now();
    }
    late_client.write_all(b"dy").expect("the node still reads");
    let (request, _late_connection) = first_request(&worker);
    assert_eq!(request_id(&request), "late", "{request}");
    // The worker sends nothing. The request may have run, so the answer is a failure, and must come in time.
    let response = TestResponse::read(&mut late_client, signalled_at).expect("the request is answered");
    assert_eq!((response.status, response.connection_close), (502, true));
    assert!(signalled_at.elapsed() < SHUTDOWN_LIMIT, "{:?}", signalled_at.elapsed());
    respond(&mut early_connection, done_response("early").trim_start_matches(CHUNKED_RESPONSE_HEAD));
    let response = TestResponse::read(&mut early_client, signalled_at).expect("the request is answered");
    assert_eq!(response.status, 200);
    assert!(node.child.wait().expect("the node ends").success());
    drop(scratch);
}

/// Sends a request without the second half of its body.
fn send_first_half(address: &str, id: &str) -> TcpStream {
    let mut request = TestRequest::new(id, "once", b"body".to_vec());
    request.timeout = Duration::from_secs(30);
    let mut client = TcpStream::connect(address).expect("the node accepts the connection");
    client.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the read timeout can be set");
    client.write_all((request.head() + "bo").as_bytes()).expect("the node reads the bytes");
    client
}

/// SIGTERM arrives while the connection to the worker is being established. The request must still be sent
/// and answered before the node exits.
#[test]
fn a_request_whose_connect_ends_after_sigterm_is_served() {
    let stalled = StalledListener::new().expect("the accept queue can be filled");
    let (mut node, _scratch) =
        start_node(stalled.address, no_discovery(), Cancellation::Enabled, "term-connect");
    let mut client = send_request(&node, "held", "once", 5_000);
    wait_for_counter(&mut node, "upstream_connections", 1);
    node.signal("TERM");
    node.wait_for_log_line("shutdown requested");
    let worker = stalled.release().expect("the accept queue can be emptied");
    let (request, mut connection) = first_request(&worker);
    assert_eq!(request_id(&request), "held", "{request}");
    respond(&mut connection, &done_response("held"));
    let response = read_response(&mut client);
    assert_eq!((response.status, response.connection_close), (200, true));
    assert!(node.child.wait().expect("the node ends").success());
}

/// Clients send on open connections while the node shuts down. A request that the node reads before the last
/// answer on its connection must be answered. One that crosses the close of the connection must not be sent
/// to a worker, so that the client may send it again.
#[test]
fn a_request_that_crosses_the_end_of_its_client_connection_is_not_sent() {
    let (worker, address) = open_listener();
    let (mut node, _scratch) = start_node(address, no_discovery(), Cancellation::Enabled, "crosses");
    let mut client = send_request(&node, "one", "once", 5_000);
    let mut idle_client = TcpStream::connect(&node.address).expect("the node accepts the connection");
    let (_, mut connection) = first_request(&worker);
    respond(&mut connection, &done_response("one"));
    assert_eq!(read_response(&mut client).status, 200);
    let send = |stream: &mut TcpStream, id: &str| send_request_on(stream, id, "once", 5_000);
    send(&mut idle_client, "two").expect("the node reads the bytes");
    let request = next_request(&mut connection).expect("the pooled connection carries the request");
    assert_eq!(request_id(&request), "two", "{request}");
    respond(&mut connection, &done_response("two"));
    assert_eq!(read_response(&mut idle_client).status, 200);
    node.signal("TERM");
    node.wait_for_log_line("shutdown requested");
    // The connection is still open: the request is admitted, and answered as the last one on it.
    send(&mut client, "three").expect("the node reads the bytes");
    let request = next_request(&mut connection).expect("the request is sent");
    assert_eq!(request_id(&request), "three", "{request}");
    // Sent before the answer to `three`. The connection closes with that answer, so this request is not read.
    send(&mut client, "four").expect("the socket buffer holds the request");
    respond(&mut connection, &done_response("three"));
    let response = read_response(&mut client);
    assert_eq!((response.status, response.connection_close), (200, true));
    // The node closes the idle connection, and a request that is sent at that moment reaches a closed
    // connection.
    let mut end = [0];
    assert!(
        matches!(idle_client.read(&mut end), Ok(0) | Err(_)),
        "the node sent a byte instead of closing the idle connection"
    );
    let _ = send(&mut idle_client, "five");
    let counters = node.wait_for_log_line("admitted=");
    assert!(counters.contains("admitted=3 served=3 ") && counters.contains("attempts=3 "), "{counters}");
    assert!(node.child.wait().expect("the node ends").success());
}
