//! Workers whose response never ends.

use crate::peers::{
    Cancellation, WAIT_TIMEOUT, done_response, first_request, no_discovery, read_response, send_request,
    start_node,
};
use sorrelhaven_test_support::{CHUNKED_RESPONSE_HEAD, TestResponse, chunk, open_listener};
use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Repetitions of [`Case::flood`] in one write.
const REPETITIONS: usize = 10_000;

struct Case {
    /// The beginning of the worker's response, sent once.
    start: String,
    /// The text that the worker then repeats until the node closes the connection.
    flood: String,
    /// The status that the client must receive.
    status: u16,
}

/// A worker that sends lines, empty lines, lines after the job's result or trailer fields without a pause
/// must not keep the node from other requests. The node must answer the flooded request, and close the
/// connection.
#[test]
fn an_endless_response_delays_no_other_request() {
    let running = chunk("{\"id\":\"flood\",\"state\":\"running\",\"share\":0.5}\n");
    let done = done_response("flood");
    let case =
        |start: &str, flood: &str, status: u16| Case { start: start.into(), flood: flood.into(), status };
    let cases = [
        case(CHUNKED_RESPONSE_HEAD, &running, 502),
        case(CHUNKED_RESPONSE_HEAD, &chunk("\n"), 502),
        case(&done.replace("0\r\n\r\n", ""), &running, 200),
        case(&done.replace("0\r\n\r\n", "0\r\n"), "X: y\r\n", 200),
    ];
    for Case { start, flood, status } in cases {
        let (worker, address) = open_listener();
        let (node, _scratch) = start_node(address, no_discovery(), Cancellation::Enabled, "flood");
        let mut client = send_request(&node, "flood", "once", 2_000);
        let (_, mut connection) = first_request(&worker);
        let flooding = std::thread::spawn(move || {
            let piece = flood.repeat(REPETITIONS);
            let _ = connection.write_all(start.as_bytes());
            while connection.write_all(piece.as_bytes()).is_ok() {}
        });
        assert_eq!(read_response(&mut client).status, status);
        let begun = Instant::now();
        let mut probe = TcpStream::connect(&node.address).expect("the node accepts the connection");
        probe.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the read timeout can be set");
        probe.write_all(b"GET /health/ready HTTP/1.1\r\n\r\n").expect("the node reads the bytes");
        let response = TestResponse::read(&mut probe, begun).expect("the probe is answered");
        assert_eq!(response.status, 200);
        // The flooding thread ends when the node closes the connection.
        flooding.join().expect("the flooding thread does not panic");
        assert!(begun.elapsed() < Duration::from_secs(10), "{:?}", begun.elapsed());
    }
}
