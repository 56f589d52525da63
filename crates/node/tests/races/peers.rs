//! A node under test with its clients, its worker and its discovery, each driven step by step.

use sorrelhaven_test_support::{
    CHUNKED_RESPONSE_HEAD, Program, ScratchDir, TestRequest, TestResponse, begin_chunked_response, chunk,
    reset_connection, send_chunk, worker_list,
};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::time::{Duration, Instant};

/// A wait that is longer than this fails; far more than anything here takes.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// A node that sees a client disconnect later than this is at fault.
const DISCONNECT_SEEN_TIMEOUT: Duration = Duration::from_secs(5);
/// For so long workers drop a retry of class `drops`, in microseconds.
const IDEMPOTENCY_WINDOW_MICROS: u64 = 1_500_000;
/// More bytes than the node reads behind a request.
const UNSOLICITED_BYTES: usize = 40_000;

/// Whether a node may cancel attempts.
#[derive(Clone, Copy)]
pub enum Cancellation {
    Enabled,
    Disabled,
}

/// Starts a node with one known worker, `s-1`, and three classes: `safe` (idempotent), `once` (at most once)
/// and `drops` (deduplicated by workers for [`IDEMPOTENCY_WINDOW_MICROS`]).
pub fn start_node(
    worker: SocketAddr,
    discovery: SocketAddr,
    cancellation: Cancellation,
    name: &str,
) -> (Program, ScratchDir) {
    let cancel = matches!(cancellation, Cancellation::Enabled);
    let text = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"1f",
            "known":{{"seq":1,"hosts":[{}]}},
            "settings":{{"balancers":1,"ceilings":{{"maxAttempts":3,"dialTimeout":15000000,"cancel":{cancel}}},
                "invariants":{{"drainGrace":1000000}},"familyInfo":{{"tellsStart":true}},
                "grades":[{{"name":"safe","aim":200000,"deadline":5000000,"lateValue":0.5,"effect":"idempotent"}},
                    {{"name":"once","aim":200000,"deadline":5000000,"lateValue":0.5,"effect":"at_most_once"}},
                    {{"name":"drops","aim":200000,"deadline":5000000,"lateValue":0.5,"effect":"deduplicated",
                        "dedupScope":"all","repeatWindow":{IDEMPOTENCY_WINDOW_MICROS}}}]}}}}"#,
        list_entry("s-1", worker, "in_service")
    );
    let scratch = ScratchDir::new(name);
    let command = Command::new(env!("CARGO_BIN_EXE_sorrelhaven"));
    let node = Program::start(command, &scratch.write("node.json", &text), None);
    (node, scratch)
}

/// An entry of the worker list.
pub fn list_entry(name: &str, address: SocketAddr, health: &str) -> String {
    format!(r#"{{"host":"{name}","dial":"{address}","health":"{health}"}}"#)
}

/// The address of a discovery that is not there.
pub fn no_discovery() -> SocketAddr {
    "127.0.0.1:1".parse().expect("the text is an address")
}

/// A client connection on which a request, with its body, has been sent.
pub fn send_request(node: &Program, id: &str, class: &str, timeout_ms: u64) -> TcpStream {
    let mut stream = TcpStream::connect(&node.address).expect("the node accepts");
    send_request_on(&mut stream, id, class, timeout_ms).expect("the node reads");
    stream
}

/// Sends a request, with its body, on an open connection.
pub fn send_request_on(stream: &mut TcpStream, id: &str, class: &str, timeout_ms: u64) -> io::Result<()> {
    let mut request = TestRequest::new(id, class, b"body".to_vec());
    request.timeout = Duration::from_millis(timeout_ms);
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the socket takes a time limit");
    stream.write_all((request.head() + "body").as_bytes())
}

/// Reads the answer to a request that was sent before.
pub fn read_response(stream: &mut TcpStream) -> TestResponse {
    TestResponse::read(stream, Instant::now()).expect("the request is answered")
}

/// Waits until one of the node's counters has reached `value`.
pub fn wait_for_counter(node: &mut Program, name: &str, value: u64) {
    let begun = Instant::now();
    while node.counter(name) < value {
        assert!(begun.elapsed() < WAIT_TIMEOUT, "{name} did not reach {value}");
    }
}

/// The next connection to a listener.
pub fn accept(listener: &TcpListener) -> TcpStream {
    let begun = Instant::now();
    listener.set_nonblocking(true).expect("the listener can be set up");
    loop {
        if let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(false).expect("the socket can be set up");
            return stream;
        }
        assert!(begun.elapsed() < WAIT_TIMEOUT, "no connection was opened");
        std::thread::yield_now();
    }
}

/// How a client disconnects.
#[derive(Clone, Copy, Debug)]
pub enum Disconnect {
    Close,
    Reset,
    /// A close behind more bytes than the node reads ahead.
    CloseBehindUnreadBytes,
}

impl Disconnect {
    pub const ALL: [Disconnect; 3] =
        [Disconnect::Close, Disconnect::Reset, Disconnect::CloseBehindUnreadBytes];
}

/// Sends bytes that belong to no request.
pub fn send_unsolicited_bytes(client: &mut TcpStream) {
    client.write_all(&[b'x'; UNSOLICITED_BYTES]).expect("the system buffers the bytes");
}

/// Disconnects a client, and waits until the node has seen it, after `seen_before` others.
pub fn disconnect(node: &mut Program, mut client: TcpStream, manner: Disconnect, seen_before: u64) {
    match manner {
        Disconnect::Close => drop(client),
        Disconnect::Reset => reset_connection(client),
        Disconnect::CloseBehindUnreadBytes => {
            send_unsolicited_bytes(&mut client);
            drop(client);
        }
    }
    let begun = Instant::now();
    while node.counter("client_gone") == seen_before {
        assert!(
            begun.elapsed() < DISCONNECT_SEEN_TIMEOUT,
            "the node does not see a client disconnect: {manner:?}"
        );
    }
}

/// The head and body of the next request on a connection to a worker; `None` if the node ends the connection.
pub fn next_request(connection: &mut TcpStream) -> Option<String> {
    connection.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the socket takes a time limit");
    let mut received = Vec::new();
    while !received.ends_with(b"\r\n\r\nbody") {
        let mut byte = [0];
        match connection.read(&mut byte) {
            Ok(1) => received.push(byte[0]),
            Ok(_) => break,
            Err(error) if error.kind() == ErrorKind::ConnectionReset => break,
            Err(error) => panic!("no request was sent: {error}"),
        }
    }
    (!received.is_empty()).then(|| String::from_utf8(received).expect("a request is text"))
}

/// The first request on any new connection to a worker, and that connection.
pub fn first_request(worker: &TcpListener) -> (String, TcpStream) {
    loop {
        let mut connection = accept(worker);
        if let Some(request) = next_request(&mut connection) {
            return (request, connection);
        }
    }
}

/// The request id in a request's head.
pub fn request_id(request: &str) -> &str {
    request.lines().find_map(|line| line.strip_prefix("Request-Id: ")).expect("a request has an id")
}

/// A worker's complete response: the job is done.
pub fn done_response(id: &str) -> String {
    let line = format!("{{\"id\":\"{id}\",\"state\":\"done\",\"result\":\"fine\"}}\n");
    format!("{CHUNKED_RESPONSE_HEAD}{}0\r\n\r\n", chunk(&line))
}

/// Sends a worker's response, or part of one.
pub fn respond(connection: &mut TcpStream, response: &str) {
    connection.write_all(response.as_bytes()).expect("the node reads the response");
}

/// Accepts the watch of a node and begins to answer it.
pub fn accept_watch(discovery: &TcpListener) -> TcpStream {
    let mut watch = accept(discovery);
    watch.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the socket takes a time limit");
    begin_chunked_response(&mut watch);
    watch
}

/// Sends an update of the worker list.
pub fn send_update(watch: &mut TcpStream, version: u64, entries: &[String]) {
    send_chunk(watch, &(worker_list(version, false, entries) + "\n"));
}
