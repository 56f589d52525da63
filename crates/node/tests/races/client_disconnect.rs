//! Clients that disconnect while their request is on its way.

use crate::peers::{
    Cancellation, Disconnect, accept_watch, disconnect, done_response, first_request, list_entry,
    next_request, no_discovery, read_response, request_id, respond, send_request, send_unsolicited_bytes,
    send_update, start_node, wait_for_counter,
};
use sorrelhaven_test_support::{StalledListener, open_listener};
use std::net::TcpStream;

/// The client disconnects while the connection to the worker is being established: nothing is sent for it,
/// also where attempts can't be cancelled. The connection carries the next request instead.
#[test]
fn a_request_whose_client_disconnects_during_connect_is_not_sent() {
    let stalled = StalledListener::new().expect("the listener stalls");
    let (mut node, _scratch) =
        start_node(stalled.address, no_discovery(), Cancellation::Disabled, "connecting");
    let clients: Vec<TcpStream> = (0..Disconnect::ALL.len())
        .map(|number| send_request(&node, &format!("gone-{number}"), "safe", 30_000))
        .collect();
    for (seen_before, (client, manner)) in (0..).zip(clients.into_iter().zip(Disconnect::ALL)) {
        disconnect(&mut node, client, manner, seen_before);
    }
    assert_eq!(node.counter("client_gone_waiting"), 3);
    let worker = stalled.release().expect("the listener accepts");
    let mut client = send_request(&node, "stays", "safe", 30_000);
    let (request, mut connection) = first_request(&worker);
    assert_eq!(request_id(&request), "stays", "{request}");
    respond(&mut connection, &done_response("stays"));
    assert_eq!(read_response(&mut client).status, 200);
    assert_eq!((node.counter("sent_after_client_gone"), node.counter("requests_sent")), (0, 1));
}

/// A request is pending in the node, as no worker accepts work; its client disconnects, and then there is a
/// worker.
#[test]
fn a_pending_request_whose_client_disconnects_is_not_sent() {
    let (worker, address) = open_listener();
    let (discovery_listener, discovery) = open_listener();
    let (mut node, _scratch) = start_node(address, discovery, Cancellation::Disabled, "held");
    let mut watch = accept_watch(&discovery_listener);
    send_update(&mut watch, 2, &[list_entry("s-1", address, "terminating")]);
    wait_for_counter(&mut node, "worker_lists", 1);
    for (seen_before, manner) in (0..).zip(Disconnect::ALL) {
        let client = send_request(&node, &format!("gone-{seen_before}"), "safe", 30_000);
        wait_for_counter(&mut node, "admitted", seen_before + 1);
        disconnect(&mut node, client, manner, seen_before);
    }
    send_update(&mut watch, 3, &[list_entry("s-1", address, "in_service")]);
    let _client = send_request(&node, "stays", "safe", 30_000);
    let (request, _) = first_request(&worker);
    assert_eq!(request_id(&request), "stays", "{request}");
    assert_eq!((node.counter("client_gone_waiting"), node.counter("attempts")), (3, 1));
}

/// A client sends its request and disconnects before the node has read any of it.
#[test]
fn an_unread_request_whose_client_disconnects_is_not_sent() {
    let (worker, address) = open_listener();
    let (mut node, _scratch) = start_node(address, no_discovery(), Cancellation::Disabled, "unread");
    node.signal("STOP");
    drop(send_request(&node, "gone", "safe", 30_000));
    node.signal("CONT");
    wait_for_counter(&mut node, "client_gone", 1);
    let _client = send_request(&node, "stays", "safe", 30_000);
    let (request, _) = first_request(&worker);
    assert_eq!(request_id(&request), "stays", "{request}");
}

/// The node sees that a client disconnects behind many unread bytes, and cancels the attempt.
#[test]
fn a_disconnect_behind_unread_bytes_cancels_the_attempt() {
    for manner in [Disconnect::CloseBehindUnreadBytes, Disconnect::Reset] {
        let (worker, address) = open_listener();
        let (mut node, _scratch) = start_node(address, no_discovery(), Cancellation::Enabled, "much");
        let mut client = send_request(&node, "gone", "safe", 60_000);
        let (_, mut connection) = first_request(&worker);
        send_unsolicited_bytes(&mut client);
        disconnect(&mut node, client, manner, 0);
        assert_eq!(next_request(&mut connection), None, "the node ends the connection");
        assert_eq!((node.counter("cancelled"), node.counter("client_gone_waiting")), (1, 0));
    }
}

/// A worker rejects a request, and its client disconnects in the pause before the next attempt: the worker's
/// next request is another client's.
#[test]
fn a_request_whose_client_disconnects_between_attempts_is_not_sent_again() {
    for manner in Disconnect::ALL {
        let (worker, address) = open_listener();
        let (mut node, _scratch) = start_node(address, no_discovery(), Cancellation::Disabled, "between");
        let client = send_request(&node, "gone", "once", 30_000);
        let (request, mut connection) = first_request(&worker);
        assert_eq!(request_id(&request), "gone", "{request}");
        respond(&mut connection, "HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n");
        // The request is pending now: its only worker gets no second attempt at once.
        wait_for_counter(&mut node, "worker_rejected", 1);
        disconnect(&mut node, client, manner, 0);
        // A request of a class that was not rejected is sent at once.
        let mut client = send_request(&node, "stays", "safe", 30_000);
        let request = next_request(&mut connection).expect("the pooled connection carries the next request");
        assert_eq!(request_id(&request), "stays", "{request}");
        respond(&mut connection, &done_response("stays"));
        assert_eq!(read_response(&mut client).status, 200);
        let counters =
            (node.counter("attempts"), node.counter("sent_after_client_gone"), node.counter("in_progress"));
        assert_eq!(counters, (2, 0, 0));
    }
}
