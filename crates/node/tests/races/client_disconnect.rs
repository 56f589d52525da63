//! A client disconnects before its request is answered: the request must not be sent, or its attempt must be
//! cancelled.

use crate::peers::{
    Cancellation, Disconnect, accept_watch, close_connection, disconnect, done_response, first_request,
    list_entry, next_request, no_discovery, read_response, request_id, respond, send_request,
    send_unsolicited_bytes, send_update, start_node, wait_for_counter,
};
use sorrelhaven_test_support::{StalledListener, open_listener};
use std::net::TcpStream;

/// If the client disconnects while the connection to the worker is being established, its request must not be
/// sent, also if cancellation is disabled. The connection is used for the next request.
#[test]
fn a_request_whose_client_disconnects_during_connect_is_not_sent() {
    let stalled = StalledListener::new().expect("the accept queue can be filled");
    let (mut node, _scratch) =
        start_node(stalled.address, no_discovery(), Cancellation::Disabled, "connecting");
    let clients: Vec<TcpStream> = (0..Disconnect::ALL.len())
        .map(|number| send_request(&node, &format!("gone-{number}"), "safe", 30_000))
        .collect();
    for (disconnects_before, (client, kind)) in (0..).zip(clients.into_iter().zip(Disconnect::ALL)) {
        disconnect(&mut node, client, kind, disconnects_before);
    }
    assert_eq!(node.counter("client_gone_waiting"), 3);
    let worker = stalled.release().expect("the accept queue can be emptied");
    let mut client = send_request(&node, "stays", "safe", 30_000);
    let (request, mut connection) = first_request(&worker);
    assert_eq!(request_id(&request), "stays", "{request}");
    respond(&mut connection, &done_response("stays"));
    assert_eq!(read_response(&mut client).status, 200);
    assert_eq!((node.counter("sent_after_client_gone"), node.counter("requests_sent")), (0, 1));
}

/// A request is pending because no worker accepts work. Its client disconnects before a worker is in service
/// again: the request must not be sent.
#[test]
fn a_pending_request_whose_client_disconnects_is_not_sent() {
    let (worker, address) = open_listener();
    let (discovery_listener, discovery) = open_listener();
    let (mut node, _scratch) = start_node(address, discovery, Cancellation::Disabled, "held");
    let mut watch = accept_watch(&discovery_listener);
    send_update(&mut watch, 2, &[list_entry("s-1", address, "terminating")]);
    wait_for_counter(&mut node, "worker_lists", 1);
    for (disconnects_before, kind) in (0..).zip(Disconnect::ALL) {
        let client = send_request(&node, &format!("gone-{disconnects_before}"), "safe", 30_000);
        wait_for_counter(&mut node, "admitted", disconnects_before + 1);
        disconnect(&mut node, client, kind, disconnects_before);
    }
    send_update(&mut watch, 3, &[list_entry("s-1", address, "in_service")]);
    let _client = send_request(&node, "stays", "safe", 30_000);
    let (request, _) = first_request(&worker);
    assert_eq!(request_id(&request), "stays", "{request}");
    assert_eq!((node.counter("client_gone_waiting"), node.counter("attempts")), (3, 1));
}

/// A client sends its request and disconnects while the node is paused and has read none of it: the request
/// must not be sent.
#[test]
fn an_unread_request_whose_client_disconnects_is_not_sent() {
    let (worker, address) = open_listener();
    let (mut node, _scratch) = start_node(address, no_discovery(), Cancellation::Disabled, "unread");
    node.signal("STOP");
    close_connection(send_request(&node, "gone", "safe", 30_000));
    node.signal("CONT");
    wait_for_counter(&mut node, "client_gone", 1);
    let _client = send_request(&node, "stays", "safe", 30_000);
    let (request, _) = first_request(&worker);
    assert_eq!(request_id(&request), "stays", "{request}");
}

/// A client sends more bytes than the node reads ahead, and then disconnects. The node must detect this all
/// the same, and cancel the attempt.
#[test]
fn a_disconnect_behind_unread_bytes_cancels_the_attempt() {
    for kind in [Disconnect::CloseBehindUnreadBytes, Disconnect::Reset] {
        let (worker, address) = open_listener();
        let (mut node, _scratch) = start_node(address, no_discovery(), Cancellation::Enabled, "much");
        let mut client = send_request(&node, "gone", "safe", 60_000);
        let (_, mut connection) = first_request(&worker);
        send_unsolicited_bytes(&mut client);
        disconnect(&mut node, client, kind, 0);
        assert_eq!(
            next_request(&mut connection),
            None,
            "the node sent another request instead of closing the connection"
        );
        assert_eq!((node.counter("cancelled"), node.counter("client_gone_waiting")), (1, 0));
    }
}

/// A worker rejects a request, and its client disconnects in the pause before the next attempt. The request
/// must not be sent again: the next one that the worker receives is another client's.
#[test]
fn a_request_whose_client_disconnects_between_attempts_is_not_sent_again() {
    for kind in Disconnect::ALL {
        let (worker, address) = open_listener();
        let (mut node, _scratch) = start_node(address, no_discovery(), Cancellation::Disabled, "between");
        let client = send_request(&node, "gone", "once", 30_000);
        let (request, mut connection) = first_request(&worker);
        assert_eq!(request_id(&request), "gone", "{request}");
        respond(&mut connection, "HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n");
        // The request is pending now, since it must wait before a second attempt at the only worker.
        wait_for_counter(&mut node, "worker_rejected", 1);
        disconnect(&mut node, client, kind, 0);
        // A request of the other class is sent at once, since the worker has not rejected that class.
        let mut client = send_request(&node, "stays", "safe", 30_000);
        assert_eq!(next_request(&mut connection), None, "the connection carried a request after a rejection");
        let (request, mut connection) = first_request(&worker);
        assert_eq!(request_id(&request), "stays", "{request}");
        respond(&mut connection, &done_response("stays"));
        assert_eq!(read_response(&mut client).status, 200);
        let counters =
            (node.counter("attempts"), node.counter("sent_after_client_gone"), node.counter("in_progress"));
        assert_eq!(counters, (2, 0, 0));
    }
}
