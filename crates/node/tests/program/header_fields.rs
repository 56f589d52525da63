//! Header fields that can't be read, and fields that travel on to a worker.

use crate::node::{Node, config, line_chunk, open_worker, read_until};
use sorrelhaven_test_support::CHUNKED_RESPONSE_HEAD;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

/// White space of Unicode in UTF-8, which HTTP has not: no-break space, next line, en quad, line separator, ideographic
/// space.
const UNICODE_SPACES: [&str; 5] = ["\u{a0}", "\u{85}", "\u{2000}", "\u{2028}", "\u{3000}"];
/// Bytes that are no UTF-8.
const NOT_UTF8: &[u8] = b"\xff";
/// A client's wait for a response fails after this time, which is far longer than any takes.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// The fields of a sound request of the class `issue` and the tenant `pahang`, in the order in which they are sent.
const FIELDS: [(&str, &str); 9] = [
    ("Request-Id", "q-1"),
    ("Request-Class", "issue"),
    ("Tenant", "pahang"),
    ("Request-Timeout", "5000m"),
    ("Work-Hint", "2000"),
    ("Request-Info", "mem=1, slots=1"),
    ("Client-Retry", "1"),
    ("Connection", "keep-alive"),
    ("Content-Length", "4"),
];

/// A node with tenants and with the class `keyed`, which needs an idempotency key, beside `issue` and `fee`.
fn node_config(worker: &str) -> String {
    let keyed = r#""grades":[{"name":"keyed","aim":200000,"deadline":5000000,"effect":"deduplicated",
        "dedupScope":"all","repeatWindow":5000000},"#;
    let tenants = r#""projects":[{"name":"pahang","portion":1.0,"quotaPerS":10.0}],"balancers":1"#;
    config(worker, "at_most_once").replace(r#""grades":["#, keyed).replace(r#""balancers":1"#, tenants)
}

/// A request with these fields, each with its value in place of that of [`FIELDS`] or after them.
fn request(changed: &[(&str, &[u8])]) -> Vec<u8> {
    let mut bytes = b"POST /api HTTP/1.1\r\nHost: n\r\n".to_vec();
    let mut append = |name: &str, value: &[u8]| {
        bytes.extend_from_slice(name.as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value);
        bytes.extend_from_slice(b"\r\n");
    };
    for (name, value) in FIELDS {
        if !changed.iter().any(|(other, _)| *other == name) {
            append(name, value.as_bytes());
        }
    }
    changed.iter().for_each(|(name, value)| append(name, value));
    bytes.extend_from_slice(b"\r\nbody");
    bytes
}

fn send(node: &Node, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(&node.program.address).expect("the node accepts the connection");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the read timeout can be set");
    stream.write_all(bytes).expect("the node reads the bytes");
    stream
}

/// The bytes of the next request at a worker, and its connection.
fn receive(worker: &TcpListener) -> (Vec<u8>, TcpStream) {
    let (mut stream, _) = worker.accept().expect("the node connects");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the read timeout can be set");
    let mut received = Vec::new();
    let mut byte = [0];
    while !received.ends_with(b"\r\n\r\nbody") {
        stream.read_exact(&mut byte).expect("the node sends the whole request");
        received.push(byte[0]);
    }
    (received, stream)
}

/// The values of the field `name` in a request's head.
fn field_values<'a>(request: &'a [u8], name: &str) -> Vec<&'a [u8]> {
    let prefix = format!("{name}: ");
    let lines = request.split(|&byte| byte == b'\n');
    let values = lines.filter_map(|line| line.strip_prefix(prefix.as_bytes())?.strip_suffix(b"\r"));
    values.collect()
}

/// Answers a request at the worker as done, and closes the connection so that the next one comes on a new one.
fn finish(mut stream: TcpStream, id: &str) {
    let head = CHUNKED_RESPONSE_HEAD.replace("OK", "OK\r\nConnection: close");
    let line = format!(r#"{{"id":"{id}","state":"done","result":"fine"}}"#);
    let response = head + &line_chunk(&line) + "0\r\n\r\n";
    stream.write_all(response.as_bytes()).expect("the node reads the response");
}

/// Each value with a byte sequence that HTTP doesn't count as white space, at its beginning and at its end.
fn unreadable_values(value: &str) -> Vec<Vec<u8>> {
    let spoilers = UNICODE_SPACES.iter().map(|space| space.as_bytes()).chain([NOT_UTF8]);
    let both_ends =
        |spoiler: &[u8]| [[spoiler, value.as_bytes()].concat(), [value.as_bytes(), spoiler].concat()];
    spoilers.flat_map(both_ends).collect()
}

/// Guards against a field that can't be read being cut until it can (review/7): a worker got an id that no client sent.
#[test]
fn a_request_with_a_field_that_cannot_be_read_is_answered_400_and_reaches_no_worker() {
    let (worker, address) = open_worker();
    let node = Node::start(&node_config(&address), "unreadable");
    let keyed = [("Request-Class", "keyed"), ("Idempotency-Key", "k")];
    let chunked = [("Transfer-Encoding", "chunked"), ("Expect", "100-continue")];
    for (name, value) in FIELDS.into_iter().chain(chunked).chain(keyed) {
        for unreadable in unreadable_values(value) {
            let mut changed: Vec<(&str, &[u8])> = vec![(name, &unreadable)];
            if name == "Idempotency-Key" {
                changed.push(("Request-Class", b"keyed"));
            }
            let mut client = send(&node, &request(&changed));
            let response = read_until(&mut client, "\r\n\r\n");
            let shown = unreadable.escape_ascii();
            assert!(response.starts_with("HTTP/1.1 400 "), "{name}: {shown}: {response}");
        }
    }
    worker.set_nonblocking(true).expect("the listener can be made non-blocking");
    assert!(worker.accept().is_err(), "the node sent a request to the worker");
}

/// Guards against sound clients losing the white space that HTTP allows: spaces and tabs around a value.
#[test]
fn spaces_and_tabs_around_each_field_are_allowed_and_do_not_travel() {
    let (worker, address) = open_worker();
    let node = Node::start(&node_config(&address), "spaces");
    let values: Vec<Vec<u8>> =
        FIELDS.iter().map(|(_, value)| [b" \t", value.as_bytes(), b"\t "].concat()).collect();
    let mut changed: Vec<(&str, &[u8])> =
        FIELDS.iter().zip(&values).map(|((name, _), value)| (*name, value.as_slice())).collect();
    changed.push(("Idempotency-Key", b"\tk 1 "));
    let mut client = send(&node, &request(&changed));
    let (received, stream) = receive(&worker);
    assert_eq!(field_values(&received, "Request-Id"), [b"q-1"]);
    assert_eq!(field_values(&received, "Idempotency-Key"), [b"k 1"]);
    finish(stream, "q-1");
    assert!(read_until(&mut client, "\r\n\r\nfine").starts_with("HTTP/1.1 200 OK\r\n"));
}

/// Guards against bytes of a field that travels on being replaced or cut. The protocol: "Method, path, query, body,
/// `Request-Id` and `Idempotency-Key` travel on unchanged."
#[test]
fn fields_that_travel_on_reach_the_worker_byte_for_byte() {
    let (worker, address) = open_worker();
    let node = Node::start(&node_config(&address), "travel");
    let values: [&[u8]; 4] = [b"a\xffb", "k\u{a0}".as_bytes(), "\u{3000}k k".as_bytes(), b"\x80"];
    for (number, value) in values.into_iter().enumerate() {
        let id = format!("q-{number}");
        let changed = [
            ("Request-Id", id.as_bytes()),
            ("Idempotency-Key", value),
            ("Content-Type", value),
            ("Affinity-Key", value),
        ];
        let request = request(&changed);
        let target = "/api?name=caf\u{e9}\u{a0}".as_bytes();
        let mut client = send(&node, &[b"POST ", target, &request["POST /api".len()..]].concat());
        let (received, stream) = receive(&worker);
        assert!(received.starts_with(&[b"POST ", target, b" HTTP/1.1\r\n"].concat()), "the target");
        assert_eq!(field_values(&received, "Request-Id"), [id.as_bytes()]);
        assert_eq!(field_values(&received, "Idempotency-Key"), [value]);
        assert_eq!(field_values(&received, "Content-Type"), [value]);
        finish(stream, &id);
        assert!(read_until(&mut client, "\r\n\r\nfine").starts_with("HTTP/1.1 200 OK\r\n"));
    }
}

/// Guards against a target that can't be read being replaced by one that can.
#[test]
fn a_target_that_is_not_utf8_is_answered_400() {
    let node = Node::start(&node_config("127.0.0.1:1"), "target");
    let request = request(&[]);
    let mut client = send(&node, &[b"POST /api?\xff", &request["POST /api".len()..]].concat());
    assert!(read_until(&mut client, "\r\n\r\n").starts_with("HTTP/1.1 400 "));
}

/// Guards against the first of several fields deciding while a worker or a proxy reads another one. RFC 9110, section 5.3:
/// a sender must not repeat a field that is no list.
#[test]
fn a_request_that_repeats_a_field_that_is_no_list_is_answered_400() {
    let (worker, address) = open_worker();
    let node = Node::start(&node_config(&address), "repeated");
    let singletons = [
        ("Request-Id", "q-2"),
        ("Request-Class", "fee"),
        ("Tenant", "perak"),
        ("Request-Timeout", "10m"),
        ("Work-Hint", "9"),
        ("Client-Retry", "0"),
        ("Affinity-Key", "b"),
        ("Idempotency-Key", "k-2"),
        ("Content-Type", "text/plain"),
        ("Content-Length", "5"),
    ];
    for (name, second) in singletons {
        let sound = FIELDS.iter().find(|(other, _)| *other == name).map_or("a", |(_, value)| value);
        let mut client = send(&node, &request(&[(name, sound.as_bytes()), (name, second.as_bytes())]));
        let response = read_until(&mut client, "\r\n\r\n");
        assert!(response.starts_with("HTTP/1.1 400 "), "{name}: {response}");
    }
    worker.set_nonblocking(true).expect("the listener can be made non-blocking");
    assert!(worker.accept().is_err(), "the node sent a request to the worker");
}

/// Guards against sound clients losing lists that they send in several fields of one name. RFC 9110, section 5.3: they
/// are one list.
#[test]
fn a_list_may_come_in_several_fields_of_one_name() {
    let (worker, address) = open_worker();
    let node = Node::start(&node_config(&address), "lists");
    let lists = [
        ("Request-Info", "mem=1"),
        ("Request-Info", "slots=1"),
        ("Connection", "foo"),
        ("Connection", "close"),
    ];
    let changed: Vec<(&str, &[u8])> = lists.iter().map(|(name, value)| (*name, value.as_bytes())).collect();
    let mut client = send(&node, &request(&changed));
    let (_, stream) = receive(&worker);
    finish(stream, "q-1");
    let response = read_until(&mut client, "never");
    assert!(response.starts_with("HTTP/1.1 200 OK\r\nConnection: close\r\n"), "{response}");
}
