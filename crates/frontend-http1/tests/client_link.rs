//! The client link as a model: what clients send one after the other, and what each gets.

use async_io::Async;
use futures_lite::future::or;
use proptest::prelude::*;
use sorrelhaven_config::Config;
use sorrelhaven_engine::Engine;
use sorrelhaven_frontend_http1::{Front, Queue, accept};
use sorrelhaven_lifecycle::LifecycleHandle;
use sorrelhaven_test_support::{check_cases, single_worker_config};
use sorrelhaven_wire::{Head, StartLine};
use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Instant;

const API: &str = "POST /api HTTP/1.1\r\nRequest-Id: r\r\nRequest-Class: fee\r\n";

/// A message, the status that answers it, and whether the link goes on.
fn message(kind: usize) -> (String, u16, bool) {
    let (text, status, goes_on) = match kind {
        0 => ("GET /health/ready HTTP/1.1\r\n\r\n".into(), 200, true),
        1 => ("GET /nowhere HTTP/1.1\r\n\r\n".into(), 404, true),
        2 => ("GET /api HTTP/1.1\r\n\r\n".into(), 405, true),
        3 => (
            "POST /health/ready HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n".into(),
            405,
            true,
        ),
        4 => ("GET /health/ready HTTP/1.1\r\nConnection: close\r\n\r\n".into(), 200, false),
        5 => (format!("{API}\r\n"), 400, false),
        6 => (format!("{API}Request-Timeout: soon\r\n\r\n"), 400, false),
        7 => (format!("{API}Request-Timeout: 9m\r\nWork-Hint: much\r\n\r\n"), 400, false),
        8 => (format!("{API}Request-Timeout: 9m\r\nRequest-Info: slots\r\n\r\n"), 400, false),
        9 => (format!("{API}Request-Timeout: 9m\r\nRequest-Id: again\r\n\r\n"), 400, false),
        10 => (
            "POST /api HTTP/1.1\r\nRequest-Id: r\r\nRequest-Class: odd\r\nRequest-Timeout: 9m\r\n\r\n".into(),
            400,
            false,
        ),
        11 => (format!("{API}Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"), 400, false),
        12 => ("\u{1}\u{2}\r\n\r\n".into(), 400, false),
        13 => (format!("{API}X: {}\r\n\r\n", "x".repeat(20_000)), 431, false),
        14 => (format!("{API}{}\r\n", "X: y\r\n".repeat(80)), 431, false),
        15 => (format!("{API}Content-Length: 70000\r\n\r\n{}", "x".repeat(70_000)), 413, false),
        // A time of nothing is over at once, and the module answers a request that has none left.
        _ => (format!("{API}Request-Timeout: 0m\r\n\r\n"), 503, true),
    };
    (text, status, goes_on)
}

/// The statuses that stand in what a client has got.
fn statuses(mut got: &[u8]) -> Vec<u16> {
    let mut found = Vec::new();
    while let Ok(Some((head, used))) = Head::parse_response(got) {
        let StartLine::Response { status } = head.start else { break };
        let length: usize = head.get("Content-Length").and_then(|l| l.parse().ok()).expect("a length");
        got = &got[used + length..];
        found.push(status);
    }
    assert!(got.is_empty(), "a whole number of answers");
    found
}

#[test]
fn a_client_link_answers_as_the_model_says() {
    let kinds = prop::collection::vec(prop_oneof![2 => 0usize..4, 1 => 4usize..17], 1..6);
    check_cases(120, (kinds, 1usize..300), |(mut kinds, piece)| {
        kinds.push(4);
        let (mut text, mut expected, mut open) = (String::new(), Vec::new(), true);
        for (message, status, goes_on) in kinds.iter().map(|&k| message(k)) {
            text += &message;
            if open {
                expected.push(status);
            }
            open &= goes_on;
        }
        let config = single_worker_config("127.0.0.1:1".parse().expect("an address"), "at_most_once");
        let config = Config::parse(&config, |_| None).expect("a configuration");
        let engine = Engine::new(&config, None);
        let lifecycle = Rc::<LifecycleHandle>::default();
        lifecycle.startup_completed(Instant::now());
        let front = Front::new(engine.clone(), &config, lifecycle);
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let client = std::thread::spawn(move || {
            let mut stream = TcpStream::connect(address).expect("the node listens");
            stream.set_nodelay(true).expect("a socket");
            let piece = if text.len() > 10_000 { 10_000 } else { piece };
            // The node may end the link before all is written: then the rest is for no one.
            let _ = text.as_bytes().chunks(piece).try_for_each(|p| stream.write_all(p));
            let mut got = Vec::new();
            let _ = stream.read_to_end(&mut got);
            let _ = stream.shutdown(Shutdown::Both);
            got
        });
        let (gone, stop) = async_channel::bounded::<()>(1);
        let waiter = std::thread::spawn(move || {
            let got = client.join().expect("the client ends");
            drop(gone);
            got
        });
        let listener = Async::new(listener)?;
        let serve = accept(front, listener, Queue::Own, async { _ = stop.recv().await });
        async_io::block_on(or(serve, async { match engine.tasks.run().await {} }));
        let got = waiter.join().expect("the client's answers");
        prop_assert_eq!(statuses(&got), expected);
        Ok(())
    });
}
