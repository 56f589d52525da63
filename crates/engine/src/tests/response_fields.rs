//! Header fields and job lines of a worker's response that can't be read.

use super::fixtures::{attempt_spec, engine_with_config, next_end, payload, run_attempt};
use crate::attempt_end::AttemptEnd;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// White space of Unicode in UTF-8, which HTTP has not, and a byte that is no UTF-8.
const SPOILERS: [&[u8]; 4] = [b"\xc2\xa0", b"\xc2\x85", b"\xe3\x80\x80", b"\xff"];

fn read_request(stream: &mut TcpStream) -> bool {
    let mut received = Vec::new();
    let mut byte = [0];
    while !received.ends_with(b"\r\n\r\nbody") {
        if stream.read(&mut byte).unwrap_or(0) == 0 {
            return false;
        }
        received.push(byte[0]);
    }
    true
}

/// Runs two attempts one after the other, whose worker answers each request with `response`. Returns how the first one
/// ended, the number of connections that the node has opened, and the number of malformed load reports.
fn attempts_with_response(response: &[u8]) -> (AttemptEnd, usize, u64) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let response = response.to_vec();
    let worker = std::thread::spawn(move || {
        let (mut connections, mut requests) = (0, 0);
        while requests < 2 {
            let (mut stream, _) = listener.accept().expect("the node connects");
            connections += 1;
            while requests < 2 && read_request(&mut stream) {
                requests += 1;
                stream.write_all(&response).expect("the node reads the response");
            }
        }
        connections
    });
    let text = sorrelhaven_test_support::single_worker_config(address, "at_most_once")
        .replace(r#""balancers":1"#, r#""balancers":1,"report":{"how":"answers","fields":["x0"]}"#);
    let engine = engine_with_config(&text);
    let payload = Rc::new(payload(&engine, "/api", b"body"));
    let spec = || attempt_spec(Duration::from_secs(9));
    let end = next_end(&run_attempt(&engine, payload.clone(), spec()));
    run_attempt(&engine, payload, spec());
    let connections = worker.join().expect("the worker has not panicked");
    (end, connections, engine.counters.load_reports_malformed.get())
}

fn response_with(status: &str, name: &str, value: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n{name}: ");
    [head.as_bytes(), value, b"\r\n\r\n"].concat()
}

/// Each value before and after `value`.
fn spoiled(value: &[u8]) -> impl Iterator<Item = Vec<u8>> {
    SPOILERS.into_iter().flat_map(move |spoiler| [[spoiler, value].concat(), [value, spoiler].concat()])
}

/// Guards against a request being sent again, or rejected, on a proof that can't be read. The protocol: only "503 or 504
/// with `Not-Started: 1`" says that it has never run.
#[test]
fn a_not_started_that_cannot_be_read_is_no_proof() {
    let sound = attempts_with_response(&response_with("503 Full", "Not-Started", b"\t1 "));
    assert_eq!(sound, (AttemptEnd::Rejected, 2, 0));
    for value in spoiled(b"1") {
        let (end, ..) = attempts_with_response(&response_with("503 Full", "Not-Started", &value));
        assert_eq!(end, AttemptEnd::Failed, "{}", value.escape_ascii());
    }
}

/// Guards against a connection that the worker may have announced to close being used again.
#[test]
fn a_connection_option_that_cannot_be_read_ends_the_use_of_the_connection() {
    let line = done_line("r1", "done", "fine") + "\n";
    let response = |connection: &[u8]| {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: ", line.len());
        [head.as_bytes(), connection, b"\r\n\r\n", line.as_bytes()].concat()
    };
    let completed = || AttemptEnd::Completed("fine".into());
    assert_eq!(attempts_with_response(&response(b"keep-alive")), (completed(), 1, 0));
    for value in spoiled(b"close") {
        let ended = attempts_with_response(&response(&value));
        assert_eq!(ended, (completed(), 2, 0), "{}", value.escape_ascii());
    }
}

/// Guards against a response whose end is unknown being taken for a whole one.
#[test]
fn a_length_that_cannot_be_read_is_a_malformed_response() {
    for value in spoiled(b"0") {
        let response = [b"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: ", &value[..], b"\r\n\r\n"];
        let (end, ..) = attempts_with_response(&response.concat());
        assert_eq!(end, AttemptEnd::Malformed, "{}", value.escape_ascii());
    }
}

/// Guards against a load report that can't be read being cut until it can.
#[test]
fn a_load_report_that_cannot_be_read_is_counted_and_dropped() {
    for value in spoiled(br#"{"x0":1}"#) {
        let (_, _, malformed) = attempts_with_response(&response_with("500 Oops", "Server-Load", &value));
        assert_eq!(malformed, 2, "{}", value.escape_ascii());
    }
}

/// Guards against a response that contradicts itself being taken for a proof: the first of two fields counted.
#[test]
fn a_repeated_not_started_is_no_proof() {
    for second in ["0", "1"] {
        let value = format!("1\r\nNot-Started: {second}");
        let (end, ..) = attempts_with_response(&response_with("503 Full", "Not-Started", value.as_bytes()));
        assert_eq!(end, AttemptEnd::Failed, "Not-Started: 1, then {second}");
    }
}

/// How an attempt ends whose worker answers with this line, and then ends the response.
fn end_after_line(line: &[u8]) -> AttemptEnd {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", line.len() + 1);
    attempts_with_response(&[head.as_bytes(), line, b"\n"].concat()).0
}

fn done_line(id: &str, state: &str, result: &str) -> String {
    format!(r#"{{"id":"{id}","from":"s-1","state":"{state}","result":"{result}"}}"#)
}

/// Guards against a line that can't be read being cut or replaced until it can. The protocol: "one JSON object a line";
/// RFC 8259, section 2: its white space is space, tab and line ends.
#[test]
fn a_job_line_that_cannot_be_read_is_malformed() {
    let line = done_line("r1", "done", "fine");
    for outside in [&b"\xc2\xa0"[..], b"\xe3\x80\x80", b"\xef\xbb\xbf", b"\xff", b"\x0c", b"\0"] {
        for unreadable in
            [[outside, line.as_bytes()].concat(), [line.as_bytes(), outside].concat(), outside.to_vec()]
        {
            assert_eq!(end_after_line(&unreadable), AttemptEnd::Malformed, "{}", unreadable.escape_ascii());
        }
    }
    let not_utf8: Vec<u8> =
        line.bytes().flat_map(|byte| if byte == b'f' { vec![b'f', 0xff] } else { vec![byte] }).collect();
    assert_eq!(end_after_line(&not_utf8), AttemptEnd::Malformed);
    for state in ["done\u{a0}", " done", "Done", "done\\u0000"] {
        let end = end_after_line(done_line("r1", state, "fine").as_bytes());
        assert_eq!(end, AttemptEnd::Malformed, "{state:?}");
    }
    let repeated = r#"{"id":"r1","state":"returned","state":"done","result":"fine"}"#;
    assert_eq!(end_after_line(repeated.as_bytes()), AttemptEnd::Malformed);
}

/// Guards against the answer to another request being taken for this one's, because their ids look alike.
#[test]
fn a_job_line_whose_id_differs_in_any_byte_belongs_to_another_request() {
    for id in ["r1\u{a0}", "\u{3000}r1", "r1 ", "R1", "r1\\u0000", "r1\\u00a0", "r\u{ff11}"] {
        let end = end_after_line(done_line(id, "done", "fine").as_bytes());
        assert_eq!(end, AttemptEnd::WrongRequestId, "{id:?}");
    }
}

/// Guards against the loss of white space that JSON allows, and against a result that is changed: "the `result` that an
/// executor gave for this request is the body".
#[test]
fn white_space_of_json_is_allowed_and_a_result_is_kept_byte_for_byte() {
    for line in
        [done_line("r1", "done", "fine"), format!("\t {}\r", done_line("\\u0072\\u0031", "done", "fine"))]
    {
        assert_eq!(end_after_line(line.as_bytes()), AttemptEnd::Completed("fine".into()), "{line:?}");
    }
    let result = "\u{a0} caf\u{e9}\u{2028}\u{fffd}\u{3000} ";
    let end = end_after_line(done_line("r1", "done", result).as_bytes());
    assert_eq!(end, AttemptEnd::Completed(result.into()));
}
