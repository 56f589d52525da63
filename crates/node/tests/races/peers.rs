//! Starts a node, and controls its clients, its worker and its discovery one step at a time.

use sorrelhaven_test_support::{
    CHUNKED_RESPONSE_HEAD, Program, ScratchDir, TestRequest, TestResponse, begin_chunked_response, chunk,
    reset_connection, send_chunk, worker_list,
};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::time::{Duration, Instant};

/// A wait fails after this time, which is far longer than any step takes.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// The node must detect a client's disconnect within this time.
const DISCONNECT_DETECTION_TIMEOUT: Duration = Duration::from_secs(5);
/// How long workers deduplicate a request of class `drops`, in microseconds.
const IDEMPOTENCY_WINDOW_MICROS: u64 = 1_500_000;
/// More bytes than the node reads ahead behind a request.
const UNSOLICITED_BYTES: usize = 40_000;

/// Whether the settings allow the node to cancel attempts.
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

/// A discovery address on which nothing listens.
pub fn no_discovery() -> SocketAddr {
    "127.0.0.1:1".parse().expect("the text is an address")
}

/// Sends a request with its body on a new connection, and returns the connection.
pub fn send_request(node: &Program, id: &str, class: &str, timeout_ms: u64) -> TcpStream {
    let mut stream = TcpStream::connect(&node.address).expect("the node accepts the connection");
    send_request_on(&mut stream, id, class, timeout_ms).expect("the node reads the bytes");
    stream
}

/// Sends a request with its body on an open connection.
pub fn send_request_on(stream: &mut TcpStream, id: &str, class: &str, timeout_ms: u64) -> io::Result<()> {
    let mut request = TestRequest::new(id, class, b"body".to_vec());
    request.timeout = Duration::from_millis(timeout_ms);
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the read timeout can be set");
    stream.write_all((request.head() + "body").as_bytes())
}

/// Reads the answer to the request that was sent on `stream`.
pub fn read_response(stream: &mut TcpStream) -> TestResponse {
    TestResponse::read(stream, Instant::now()).expect("the request is answered")
}

/// Waits until the node's counter `name` is at least `value`.
pub fn wait_for_counter(node: &mut Program, name: &str, value: u64) {
    let begun = Instant::now();
    while node.counter(name) < value {
        assert!(begun.elapsed() < WAIT_TIMEOUT, "{name} did not reach {value}");
    }
}

/// Accepts the next connection to a listener, within [`WAIT_TIMEOUT`].
pub fn accept(listener: &TcpListener) -> TcpStream {
    let begun = Instant::now();
    listener.set_nonblocking(true).expect("the listener can be made non-blocking");
    loop {
        if let Ok((stream, _)) = listener.accept() {
            stream.set_nonblocking(false).expect("the socket can be made blocking");
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
    /// The client sends more bytes than the node reads ahead, and then closes the connection.
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

/// Ends a client's connection before it returns. Closing the stream alone could end it later, since a program
/// that another test is starting holds a copy of every descriptor until its exec.
pub fn close_connection(client: TcpStream) {
    client.shutdown(Shutdown::Both).expect("the connection is still open");
    drop(client);
}

/// Disconnects a client, and waits until the node has detected it. `disconnects_before` is the number of
/// disconnects that the node has counted so far.
pub fn disconnect(node: &mut Program, mut client: TcpStream, kind: Disconnect, disconnects_before: u64) {
    match kind {
        Disconnect::Close => close_connection(client),
        Disconnect::Reset => reset_connection(client),
        Disconnect::CloseBehindUnreadBytes => {
            send_unsolicited_bytes(&mut client);
            close_connection(client);
        }
    }
    let begun = Instant::now();
    while node.counter("client_gone") == disconnects_before {
        assert!(
            begun.elapsed() < DISCONNECT_DETECTION_TIMEOUT,
            "the node has not detected the client's disconnect: {kind:?}"
        );
    }
}

/// The head and body of the next request on a connection to a worker. `None` if the node closes the
/// connection instead.
pub fn next_request(connection: &mut TcpStream) -> Option<String> {
    connection.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the read timeout can be set");
    let mut received = Vec::new();
    while !received.ends_with(b"\r\n\r\nbody") {
        let mut byte = [0];
        match connection.read(&mut byte) {
            Ok(1) => received.push(byte[0]),
            Ok(_) => break,
            Err(error) if error.kind() == ErrorKind::ConnectionReset => break,
            // A read with a timeout is not restarted after a signal. The end of a program that another test
            // has started (SIGCHLD) can interrupt it while the thread that starts one blocks signals.
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => panic!("no request was sent: {error}"),
        }
    }
    (!received.is_empty()).then(|| String::from_utf8(received).expect("the request is UTF-8"))
}

/// The next request on a new connection to a worker, and that connection. Skips connections that the node
/// closes without a request.
pub fn first_request(worker: &TcpListener) -> (String, TcpStream) {
    loop {
        let mut connection = accept(worker);
        if let Some(request) = next_request(&mut connection) {
            return (request, connection);
        }
    }
}

/// The value of `Request-Id` in a request's head.
pub fn request_id(request: &str) -> &str {
    request.lines().find_map(|line| line.strip_prefix("Request-Id: ")).expect("a request has an id")
}

/// A worker's complete response, which reports that the job is done.
pub fn done_response(id: &str) -> String {
    let line = format!("{{\"id\":\"{id}\",\"state\":\"done\",\"result\":\"fine\"}}\n");
    format!("{CHUNKED_RESPONSE_HEAD}{}0\r\n\r\n", chunk(&line))
}

/// Sends a worker's response, or part of one.
pub fn respond(connection: &mut TcpStream, response: &str) {
    connection.write_all(response.as_bytes()).expect("the node reads the response");
}

/// Accepts the node's watch on discovery, and sends the head of the response.
pub fn accept_watch(discovery: &TcpListener) -> TcpStream {
    let mut watch = accept(discovery);
    watch.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the read timeout can be set");
    begin_chunked_response(&mut watch);
    watch
}

/// Sends an update of the worker list, with these entries, on a watch.
pub fn send_update(watch: &mut TcpStream, version: u64, entries: &[String]) {
    send_chunk(watch, &(worker_list(version, false, entries) + "\n"));
}
