//! Tests the load reports in job lines and in response heads: received at once or in pieces, absent, and
//! malformed.

use super::fixtures;
use crate::attempt_end::AttemptEnd;
use crate::job::RequestMessage;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";

fn done_response(load: &str) -> String {
    let line = format!("{{\"id\":\"r1\",\"from\":\"s-1\",\"state\":\"done\",\"result\":\"fine\"{load}}}\n");
    format!("{CHUNKED_HEAD}\r\n{:x}\r\n{line}\r\n0\r\n\r\n", line.len())
}

/// Runs an attempt whose worker writes `response` in pieces of `piece_bytes`. Returns how the attempt ended,
/// its load report, and the counters of valid and of malformed reports.
fn attempt_with_response(response: &str, piece_bytes: usize) -> (AttemptEnd, Vec<f64>, [u64; 2]) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let response = response.to_string();
    let worker = std::thread::spawn(move || {
        let mut stream = listener.accept().expect("the node connects").0;
        stream.set_nodelay(true).expect("the socket can be set up");
        let mut received = Vec::new();
        while !received.ends_with(b"\r\n\r\nbody") {
            let mut byte = [0];
            stream.read_exact(&mut byte).expect("the node sends the request");
            received.push(byte[0]);
        }
        for piece in response.as_bytes().chunks(piece_bytes) {
            stream.write_all(piece).expect("the node reads");
        }
    });
    let text = sorrelhaven_test_support::single_worker_config(address, "at_most_once").replace(
        r#""balancers":1"#,
        r#""balancers":1,"report":{"how":"answers","fields":["x0","cpu_share"]}"#,
    );
    let engine = fixtures::engine_with_config(&text);
    let payload = Rc::new(fixtures::payload(&engine, "/api", b"body"));
    let messages = fixtures::run_attempt(&engine, payload, fixtures::attempt_spec(Duration::from_secs(9)));
    worker.join().expect("the worker has not panicked");
    let Ok(RequestMessage::AttemptEnded { end, load_report, .. }) = messages.try_recv() else {
        panic!("the first message does not report the end of the attempt")
    };
    (end, load_report, [engine.counters.load_reports.get(), engine.counters.load_reports_malformed.get()])
}

#[test]
fn a_report_is_read_from_the_last_line_and_from_the_head_of_a_response() {
    let completed = || AttemptEnd::Completed("fine".into());
    let head = "HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nServer-Load: {\"cpu_share\":0.61,\"x0\":2}\r\nContent-Length: 0\r\n\r\n";
    for piece_bytes in [1, 7, 4_000] {
        let line = attempt_with_response(&done_response(r#","load":{"x0":2,"cpu_share":0.61}"#), piece_bytes);
        assert_eq!(line, (completed(), vec![2.0, 0.61], [1, 0]));
        assert_eq!(attempt_with_response(head, piece_bytes), (AttemptEnd::Rejected, vec![2.0, 0.61], [1, 0]));
        assert_eq!(attempt_with_response(&done_response(""), piece_bytes), (completed(), Vec::new(), [0, 0]));
    }
}

/// A malformed load report of the worker must not affect the result that the client gets.
#[test]
fn a_malformed_report_is_counted_and_the_result_stands() {
    for load in [
        "7",
        "\"x0\"",
        "null",
        "[]",
        "{}",
        r#"{"x0":-1}"#,
        r#"{"x0":1e300}"#,
        r#"{"mood":1}"#,
        r#"{"x0":"2"}"#,
    ] {
        let (end, report, counts) =
            attempt_with_response(&done_response(&format!(",\"load\":{load}")), 4_000);
        assert_eq!((end, report), (AttemptEnd::Completed("fine".into()), Vec::new()), "load report {load}");
        assert_eq!(counts, [0, u64::from(load != "null")], "counters after load report {load}");
    }
    let head = format!("{CHUNKED_HEAD}Server-Load: {{\"x0\":NaN}}\r\n");
    let (end, report, counts) = attempt_with_response(&done_response("").replace(CHUNKED_HEAD, &head), 4_000);
    assert_eq!((end, report, counts), (AttemptEnd::Completed("fine".into()), Vec::new(), [0, 1]));
}
