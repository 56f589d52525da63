//! Sends sequences of valid and invalid requests on a downstream connection. The statuses of the responses,
//! and the request after which the connection closes, must be those of a model.

use async_io::Async;
use futures_lite::future::or;
use proptest::prelude::*;
use sorrelhaven_config::Config;
use sorrelhaven_engine::Engine;
use sorrelhaven_frontend_http1::{AcceptQueue, Frontend, accept};
use sorrelhaven_lifecycle::LifecycleHandle;
use sorrelhaven_test_support::{check_cases, single_worker_config};
use sorrelhaven_wire::{Head, ParsedHead, StartLine};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Instant;

/// The beginning of a job's head, up to its `Request-Timeout`.
const JOB_HEAD: &str = "POST /api HTTP/1.1\r\nRequest-Id: r\r\nRequest-Class: fee\r\n";

/// A message of a client, and what the model expects after it.
struct Message {
    text: String,
    /// The status of the response.
    status: u16,
    /// Whether the connection stays open after the response.
    stays_open: bool,
}

/// The number of kinds of messages.
const KINDS: usize = 17;
/// The number of kinds that are drawn more often: the first ones, which keep the connection open, so that
/// more messages of a sequence get a response.
const FREQUENT_KINDS: usize = 4;
/// The kind of a valid message that closes the connection.
const CLOSING_KIND: usize = 4;

impl Message {
    /// A message after which the connection stays open.
    fn open(text: impl Into<String>, status: u16) -> Message {
        Message { text: text.into(), status, stays_open: true }
    }

    /// A message whose response closes the connection.
    fn closing(text: impl Into<String>, status: u16) -> Message {
        Message { text: text.into(), status, stays_open: false }
    }
}

fn message(kind: usize) -> Message {
    match kind {
        0 => Message::open("GET /health/ready HTTP/1.1\r\n\r\n", 200),
        1 => Message::open("GET /nowhere HTTP/1.1\r\n\r\n", 404),
        2 => Message::open("GET /api HTTP/1.1\r\n\r\n", 405),
        3 => Message::open(
            "POST /health/ready HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
            405,
        ),
        CLOSING_KIND => Message::closing("GET /health/ready HTTP/1.1\r\nConnection: close\r\n\r\n", 200),
        5 => Message::closing(format!("{JOB_HEAD}\r\n"), 400),
        6 => Message::closing(format!("{JOB_HEAD}Request-Timeout: soon\r\n\r\n"), 400),
        7 => Message::closing(format!("{JOB_HEAD}Request-Timeout: 9m\r\nWork-Hint: much\r\n\r\n"), 400),
        8 => Message::closing(format!("{JOB_HEAD}Request-Timeout: 9m\r\nRequest-Info: slots\r\n\r\n"), 400),
        9 => Message::closing(format!("{JOB_HEAD}Request-Timeout: 9m\r\nRequest-Id: again\r\n\r\n"), 400),
        10 => Message::closing(
            "POST /api HTTP/1.1\r\nRequest-Id: r\r\nRequest-Class: odd\r\nRequest-Timeout: 9m\r\n\r\n",
            400,
        ),
        11 => Message::closing(
            format!("{JOB_HEAD}Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"),
            400,
        ),
        12 => Message::closing("\u{1}\u{2}\r\n\r\n", 400),
        13 => Message::closing(format!("{JOB_HEAD}X: {}\r\n\r\n", "x".repeat(20_000)), 431),
        14 => Message::closing(format!("{JOB_HEAD}{}\r\n", "X: y\r\n".repeat(80)), 431),
        15 => Message::closing(format!("{JOB_HEAD}Content-Length: 70000\r\n\r\n{}", "x".repeat(70_000)), 413),
        // A timeout of 0 expires at once, and the dispatcher rejects a request whose timeout has expired.
        _ => Message::open(format!("{JOB_HEAD}Request-Timeout: 0m\r\n\r\n"), 503),
    }
}

/// The statuses of the responses in `received`.
fn statuses(mut received: &[u8]) -> Vec<u16> {
    let mut found = Vec::new();
    while let Ok(Some(parsed)) = Head::parse_response(received) {
        let ParsedHead { head, length: head_length } = parsed;
        let StartLine::Response { status } = head.start_line else { break };
        let length: usize = head
            .text("Content-Length")
            .expect("a readable Content-Length")
            .and_then(|length| length.parse().ok())
            .expect("a valid Content-Length");
        received = &received[head_length + length..];
        found.push(status);
    }
    assert!(received.is_empty(), "the received bytes end with an incomplete or malformed response");
    found
}

/// Sends `text` in pieces of `piece_bytes`, or of 10 000 bytes if it is longer than that. Returns all bytes
/// that are received until the node closes the connection.
fn send_and_receive(address: SocketAddr, text: &str, piece_bytes: usize) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).expect("the node accepts the connection");
    stream.set_nodelay(true).expect("TCP_NODELAY can be set");
    let piece_bytes = if text.len() > 10_000 { 10_000 } else { piece_bytes };
    // Writing fails if the node closes the connection before it has received the whole text.
    let _ = text.as_bytes().chunks(piece_bytes).try_for_each(|piece| stream.write_all(piece));
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received);
    let _ = stream.shutdown(Shutdown::Both);
    received
}

/// Starts a front end that is ready, serves one client that sends `text`, and returns the bytes that the
/// client received.
fn serve_one_client(text: String, piece_bytes: usize) -> std::io::Result<Vec<u8>> {
    let config = single_worker_config("127.0.0.1:1".parse().expect("a valid address"), "at_most_once");
    let config = Config::parse(&config, |_| None).expect("the configuration is valid");
    let engine = Engine::new(&config, None);
    let lifecycle = Rc::<LifecycleHandle>::default();
    lifecycle.startup_completed(Instant::now());
    let frontend = Frontend::new(engine.clone(), &config, lifecycle);
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let client = std::thread::spawn(move || send_and_receive(address, &text, piece_bytes));
    let (client_ended, stop) = async_channel::bounded::<()>(1);
    let waiter = std::thread::spawn(move || {
        let received = client.join().expect("the client's thread does not panic");
        drop(client_ended);
        received
    });
    let listener = Async::new(listener)?;
    let serve = accept(frontend, listener, AcceptQueue::Own, async { _ = stop.recv().await });
    async_io::block_on(or(serve, async { match engine.tasks.run().await {} }));
    Ok(waiter.join().expect("the thread that waits for the client does not panic"))
}

#[test]
fn any_sequence_of_messages_gets_the_statuses_of_the_model() {
    let kind = prop_oneof![2 => 0usize..FREQUENT_KINDS, 1 => FREQUENT_KINDS..KINDS];
    let kinds = prop::collection::vec(kind, 1..6);
    check_cases(120, (kinds, 1usize..300), |(mut kinds, piece_bytes)| {
        kinds.push(CLOSING_KIND);
        let (mut text, mut expected, mut open) = (String::new(), Vec::new(), true);
        for message in kinds.into_iter().map(message) {
            text += &message.text;
            if open {
                expected.push(message.status);
            }
            open &= message.stays_open;
        }
        let received = serve_one_client(text, piece_bytes)?;
        prop_assert_eq!(statuses(&received), expected);
        Ok(())
    });
}
