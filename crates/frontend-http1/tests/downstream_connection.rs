//! Compares a downstream connection with a model: a sequence of messages, and the status that answers each.

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
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Instant;

/// The beginning of a job's head, without its timeout.
const JOB_HEAD: &str = "POST /api HTTP/1.1\r\nRequest-Id: r\r\nRequest-Class: fee\r\n";

/// A message, the status that answers it, and whether the connection stays open after it.
fn message(kind: usize) -> (String, u16, bool) {
    let (text, status, stays_open) = match kind {
        0 => ("GET /health/ready HTTP/1.1\r\n\r\n".into(), 200, true),
        1 => ("GET /nowhere HTTP/1.1\r\n\r\n".into(), 404, true),
        2 => ("GET /api HTTP/1.1\r\n\r\n".into(), 405, true),
        3 => (
            "POST /health/ready HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n".into(),
            405,
            true,
        ),
        4 => ("GET /health/ready HTTP/1.1\r\nConnection: close\r\n\r\n".into(), 200, false),
        5 => (format!("{JOB_HEAD}\r\n"), 400, false),
        6 => (format!("{JOB_HEAD}Request-Timeout: soon\r\n\r\n"), 400, false),
        7 => (format!("{JOB_HEAD}Request-Timeout: 9m\r\nWork-Hint: much\r\n\r\n"), 400, false),
        8 => (format!("{JOB_HEAD}Request-Timeout: 9m\r\nRequest-Info: slots\r\n\r\n"), 400, false),
        9 => (format!("{JOB_HEAD}Request-Timeout: 9m\r\nRequest-Id: again\r\n\r\n"), 400, false),
        10 => (
            "POST /api HTTP/1.1\r\nRequest-Id: r\r\nRequest-Class: odd\r\nRequest-Timeout: 9m\r\n\r\n".into(),
            400,
            false,
        ),
        11 => (format!("{JOB_HEAD}Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"), 400, false),
        12 => ("\u{1}\u{2}\r\n\r\n".into(), 400, false),
        13 => (format!("{JOB_HEAD}X: {}\r\n\r\n", "x".repeat(20_000)), 431, false),
        14 => (format!("{JOB_HEAD}{}\r\n", "X: y\r\n".repeat(80)), 431, false),
        15 => (format!("{JOB_HEAD}Content-Length: 70000\r\n\r\n{}", "x".repeat(70_000)), 413, false),
        // A timeout of 0 has expired at once, and the decision module rejects a request that has expired.
        _ => (format!("{JOB_HEAD}Request-Timeout: 0m\r\n\r\n"), 503, true),
    };
    (text, status, stays_open)
}

/// The statuses of the responses in `received`.
fn statuses(mut received: &[u8]) -> Vec<u16> {
    let mut found = Vec::new();
    while let Ok(Some(parsed)) = Head::parse_response(received) {
        let ParsedHead { head, length: head_length } = parsed;
        let StartLine::Response { status } = head.start else { break };
        let length: usize =
            head.get("Content-Length").and_then(|length| length.parse().ok()).expect("a length");
        received = &received[head_length + length..];
        found.push(status);
    }
    assert!(received.is_empty(), "an incomplete response");
    found
}

#[test]
fn any_sequence_of_messages_gets_the_statuses_of_the_model() {
    let kinds = prop::collection::vec(prop_oneof![2 => 0usize..4, 1 => 4usize..17], 1..6);
    check_cases(120, (kinds, 1usize..300), |(mut kinds, piece_bytes)| {
        kinds.push(4);
        let (mut text, mut expected, mut open) = (String::new(), Vec::new(), true);
        for (message, status, stays_open) in kinds.iter().map(|&kind| message(kind)) {
            text += &message;
            if open {
                expected.push(status);
            }
            open &= stays_open;
        }
        let config = single_worker_config("127.0.0.1:1".parse().expect("an address"), "at_most_once");
        let config = Config::parse(&config, |_| None).expect("a configuration");
        let engine = Engine::new(&config, None);
        let lifecycle = Rc::<LifecycleHandle>::default();
        lifecycle.startup_completed(Instant::now());
        let frontend = Frontend::new(engine.clone(), &config, lifecycle);
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let client = std::thread::spawn(move || {
            let mut stream = TcpStream::connect(address).expect("the node listens");
            stream.set_nodelay(true).expect("a socket");
            let piece_bytes = if text.len() > 10_000 { 10_000 } else { piece_bytes };
            // The node may close the connection before everything is written.
            let _ = text.as_bytes().chunks(piece_bytes).try_for_each(|piece| stream.write_all(piece));
            let mut received = Vec::new();
            let _ = stream.read_to_end(&mut received);
            let _ = stream.shutdown(Shutdown::Both);
            received
        });
        let (client_ended, stop) = async_channel::bounded::<()>(1);
        let waiter = std::thread::spawn(move || {
            let received = client.join().expect("the client ends");
            drop(client_ended);
            received
        });
        let listener = Async::new(listener)?;
        let serve = accept(frontend, listener, AcceptQueue::Own, async { _ = stop.recv().await });
        async_io::block_on(or(serve, async { match engine.tasks.run().await {} }));
        let received = waiter.join().expect("the client's answers");
        prop_assert_eq!(statuses(&received), expected);
        Ok(())
    });
}
