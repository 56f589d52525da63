//! A worker sends a response a second time. The copy must never be taken for the answer to another attempt.

use super::fixtures::{attempt_spec, engine, next_end, payload, run_attempt};
use crate::attempt_end::AttemptEnd;
use crate::job::RequestPayload;
use sorrelhaven_dispatcher::Outcome;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

const NOT_STARTED: &str = "HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";
const NOT_STARTED_BEFORE_THE_START: &str = "HTTP/1.1 504 Late\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";
const ERROR: &str = "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n";
const INVALID_REQUEST: &str = "HTTP/1.1 400 What\r\nContent-Length: 0\r\n\r\n";
/// The pause between two pieces of a copy.
const PIECE_PAUSE: Duration = Duration::from_millis(20);

/// When the copy of the response to the first request is sent, if that connection carries the second one.
#[derive(Clone, Copy, Debug)]
enum CopyOrder {
    BeforeOwnResponse,
    BeforeOwnResponseInTwoPieces,
    HeadWithoutBodyBeforeOwnResponse,
    AfterOwnResponse,
}

const ORDERS: [CopyOrder; 4] = [
    CopyOrder::BeforeOwnResponse,
    CopyOrder::BeforeOwnResponseInTwoPieces,
    CopyOrder::HeadWithoutBodyBeforeOwnResponse,
    CopyOrder::AfterOwnResponse,
];

fn job_response(id: &str, fields: &str) -> String {
    let line = format!("{{\"id\":\"{id}\",\"from\":\"s-1\",{fields}}}\n");
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{line}", line.len())
}

fn done_response(id: &str) -> String {
    job_response(id, r#""state":"done","result":"fine""#)
}

/// The value of `Request-Id` in the next request on a connection; `None` once the node has closed it.
fn next_request_id(stream: &mut TcpStream) -> Option<String> {
    let mut received = Vec::new();
    let mut byte = [0];
    while !received.ends_with(b"\r\n\r\nbody") {
        if stream.read(&mut byte).unwrap_or(0) == 0 {
            return None;
        }
        received.push(byte[0]);
    }
    let request = String::from_utf8(received).expect("the request is ASCII");
    let id = request.lines().find_map(|line| line.strip_prefix("Request-Id: "));
    Some(id.expect("the request has an id").to_string())
}

/// Answers a request that came on the connection of an earlier one, whose response was `copied`.
fn respond_with_copy(stream: &mut TcpStream, copied: &str, order: CopyOrder, own: &str) {
    let head = copied.replace("Content-Length: 0", "Content-Length: 9");
    let (first, second) = copied.split_at(copied.len() / 2);
    let pieces = match order {
        CopyOrder::BeforeOwnResponse => vec![copied, own],
        CopyOrder::BeforeOwnResponseInTwoPieces => vec![first, second, own],
        CopyOrder::HeadWithoutBodyBeforeOwnResponse => vec![&head, own],
        CopyOrder::AfterOwnResponse => vec![own, copied],
    };
    for piece in pieces {
        // Writing fails once the node has closed the connection.
        let _ = stream.write_all(piece.as_bytes());
        std::thread::sleep(PIECE_PAUSE);
    }
}

/// Serves connections until this many requests have come: answers the first with `response`, and runs all others. On a
/// connection that has carried the first request, a copy of its response comes with the next one.
fn serve(listener: &TcpListener, requests: usize, response: &str, order: CopyOrder) {
    let mut served = 0;
    while served < requests {
        let (mut stream, _) = listener.accept().expect("the node connects");
        stream.set_nodelay(true).expect("the socket can be set up");
        let mut copy_is_due = false;
        while served < requests
            && let Some(id) = next_request_id(&mut stream)
        {
            served += 1;
            if served == 1 {
                stream.write_all(response.as_bytes()).expect("the node reads the response");
                copy_is_due = true;
            } else if std::mem::take(&mut copy_is_due) {
                respond_with_copy(&mut stream, response, order, &done_response(&id));
            } else {
                stream.write_all(done_response(&id).as_bytes()).expect("the node reads the response");
            }
        }
    }
}

/// Runs an attempt for each of these ids, one after the other, at a worker that answers the first one with `response`,
/// runs the others, and sends `response` again where it can. Returns how each attempt ended.
fn ends_with_copy(ids: &[&str], response: &str, order: CopyOrder) -> Vec<AttemptEnd> {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let engine = engine(listener.local_addr().expect("the listener has an address"));
    let (requests, response) = (ids.len(), response.to_string());
    let worker = std::thread::spawn(move || serve(&listener, requests, &response, order));
    let end_of = |id: &&str| {
        let payload = RequestPayload { id: (*id).into(), ..payload(&engine, "/api", b"body") };
        next_end(&run_attempt(&engine, payload.into(), attempt_spec(Duration::from_secs(9))))
    };
    let ends = ids.iter().map(end_of).collect();
    worker.join().expect("the worker has not panicked");
    ends
}

/// Guards against a second copy of a response that names no request being taken for the answer to the next request
/// (review/1): a job that runs counted as rejected, and ran once more at another worker.
#[test]
fn a_copy_of_a_response_that_names_no_request_never_answers_another_one() {
    for response in [NOT_STARTED, NOT_STARTED_BEFORE_THE_START, ERROR, INVALID_REQUEST] {
        for order in ORDERS {
            let ends = ends_with_copy(&["r1", "r2", "r3"], response, order);
            let completed = AttemptEnd::Completed("fine".into());
            assert_eq!(ends[1..], [completed.clone(), completed], "{response:?} {order:?}");
        }
    }
}

/// Guards against a second copy of a rejection that names its request being taken for the answer to a later attempt of
/// the same request.
#[test]
fn a_copy_of_a_rejection_never_answers_a_later_attempt_of_its_request() {
    let response = job_response("r1", r#""state":"returned""#);
    for order in [CopyOrder::BeforeOwnResponse, CopyOrder::AfterOwnResponse] {
        let ends = ends_with_copy(&["r1", "r1", "r2"], &response, order);
        let completed = AttemptEnd::Completed("fine".into());
        assert_eq!(ends, [AttemptEnd::Rejected, completed.clone(), completed], "{order:?}");
    }
}

/// Guards against a copy of any other response proving that a job has not run: the connection is kept after it, and the
/// copy names another request.
#[test]
fn a_copy_of_a_result_proves_nothing_about_another_request() {
    for order in ORDERS {
        let ends = ends_with_copy(&["r1", "r2"], &done_response("r1"), order);
        assert_eq!(ends[0], AttemptEnd::Completed("fine".into()));
        let proves_not_run =
            matches!(ends[1].outcome(), Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent);
        assert!(!proves_not_run, "{order:?}: {:?}", ends[1]);
    }
}
