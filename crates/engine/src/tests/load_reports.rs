//! Load reports at the two places where answers hold them, whole and in pieces, absent and malformed.

use super::fixtures;
use crate::attempt;
use crate::attempt_end::AttemptEnd;
use crate::job::RequestMessage;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";

fn done(load: &str) -> String {
    let line = format!("{{\"id\":\"r1\",\"from\":\"s-1\",\"state\":\"done\",\"result\":\"fine\"{load}}}\n");
    format!("{CHUNKED}\r\n{:x}\r\n{line}\r\n0\r\n\r\n", line.len())
}

/// What comes of this answer, written in pieces of so many bytes: the ending, the report, and the counts of reports that
/// were taken and dropped.
fn answered(answer: &str, piece: usize) -> (AttemptEnd, Vec<f64>, [u64; 2]) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    let answer = answer.to_string();
    let executor = std::thread::spawn(move || {
        let mut stream = listener.accept().expect("the node comes").0;
        stream.set_nodelay(true).expect("a socket");
        let mut got = Vec::new();
        while !got.ends_with(b"\r\n\r\nbody") {
            let mut byte = [0];
            stream.read_exact(&mut byte).expect("a request");
            got.push(byte[0]);
        }
        for piece in answer.as_bytes().chunks(piece) {
            stream.write_all(piece).expect("the node reads");
        }
    });
    let text = sorrelhaven_test_support::single_worker_config(address, "at_most_once").replace(
        r#""balancers":1"#,
        r#""balancers":1,"report":{"how":"answers","fields":["x0","cpu_share"]}"#,
    );
    let engine = fixtures::configured(&text);
    let parcel = Rc::new(fixtures::parcel(&engine, "/api", b"body"));
    let order = fixtures::order(Duration::from_secs(9));
    let (mail, inbox) = async_channel::unbounded();
    fixtures::run(&engine, attempt::run(engine.upstreams.clone(), parcel, order, mail));
    executor.join().expect("the executor");
    let Ok(RequestMessage::AttemptEnded { end: ending, load_report: load, .. }) = inbox.try_recv() else {
        panic!("no outcome")
    };
    (ending, load, [engine.counters.load_reports.get(), engine.counters.load_reports_malformed.get()])
}

#[test]
fn a_report_is_read_in_the_last_line_and_in_the_head_of_an_answer() {
    let fine = || AttemptEnd::Completed("fine".into());
    let head = "HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nServer-Load: {\"cpu_share\":0.61,\"x0\":2}\r\nContent-Length: 0\r\n\r\n";
    for piece in [1, 7, 4_000] {
        let line = answered(&done(r#","load":{"x0":2,"cpu_share":0.61}"#), piece);
        assert_eq!(line, (fine(), vec![2.0, 0.61], [1, 0]));
        assert_eq!(answered(head, piece), (AttemptEnd::Rejected, vec![2.0, 0.61], [1, 0]));
        assert_eq!(answered(&done(""), piece), (fine(), Vec::new(), [0, 0]));
    }
}

/// The result is the client's, whatever its executor says of its load.
#[test]
fn a_report_that_does_not_read_is_counted_and_the_answer_stands() {
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
        let (ending, report, counts) = answered(&done(&format!(",\"load\":{load}")), 4_000);
        assert_eq!((ending, report), (AttemptEnd::Completed("fine".into()), Vec::new()), "{load}");
        assert_eq!(counts, [0, u64::from(load != "null")], "{load}");
    }
    let head = format!("{CHUNKED}Server-Load: {{\"x0\":NaN}}\r\n");
    let (ending, report, counts) = answered(&done("").replace(CHUNKED, &head), 4_000);
    assert_eq!((ending, report, counts), (AttemptEnd::Completed("fine".into()), Vec::new(), [0, 1]));
}
