//! Tests attempts against workers with random scripts. A model derives from each script how the attempt must
//! end, and whether its connection can be reused. Further tests cover connections that fail.

use super::fixtures::{self, attempt_spec, next_end, run_attempt};
use crate::Engine;
use crate::attempt_end::AttemptEnd;
use crate::attempt_spec::AttemptSpec;
use crate::job::{RequestMessage, RequestPayload};
use proptest::prelude::*;
use sorrelhaven_config::BodySettings;
use sorrelhaven_dispatcher::{Outcome, WorkerId};
use sorrelhaven_test_support::check_cases;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The length of a line that is longer than the protocol allows.
const OVERSIZED_LINE_BYTES: usize = 300_000;
/// Responses longer than this are written in pieces of this size instead of the script's.
const MAX_RESPONSE_PIECE_BYTES: usize = 10_000;

/// A step of a script: the worker writes a line, or closes the connection.
#[derive(Clone, Debug)]
pub enum Step {
    Line(&'static str),
    BlankLine,
    OversizedLine,
    Close,
}

/// How a worker handles one request. After the last step the worker ends its response or, if it hangs, sends
/// nothing more and keeps the connection open.
#[derive(Clone, Debug)]
pub struct WorkerScript {
    status: &'static str,
    steps: Vec<Step>,
    hangs: bool,
    piece_bytes: usize,
}

const LINES: [&str; 10] = [
    r#"{"id":"r1","from":"s-1","state":"started"}"#,
    r#"{"id":"r1","from":"s-1","state":"started"}"#,
    r#"{"id":"r1","from":"s-1","state":"running","share":0.4}"#,
    r#"{"id":"r1","from":"s-1","state":"done","result":"ok\n"}"#,
    r#"{"id":"r1","from":"s-1","state":"failed"}"#,
    r#"{"id":"r1","from":"s-1","state":"returned"}"#,
    r#"{"id":"r1","from":"s-1","state":"lost"}"#,
    r#"{"id":"r2","from":"s-1","state":"done","result":"another's"}"#,
    r#"{"id":"r1","from":"s-1","state":"dancing"}"#,
    "not json",
];

pub fn worker_script() -> impl Strategy<Value = WorkerScript> {
    let line = prop::sample::select(LINES.to_vec()).prop_map(Step::Line);
    let step = prop_oneof![
        12 => line,
        1 => Just(Step::BlankLine),
        1 => Just(Step::OversizedLine),
        1 => Just(Step::Close),
    ];
    let status = prop::sample::select(vec![
        "200 OK",
        "200 OK",
        "200 OK",
        "200 OK",
        "200 OK",
        "500 Oops",
        "503 Full",
        "503 Full\r\nNot-Started: 1",
        "504 Late\r\nNot-Started: 1",
        "404 What",
        "nonsense",
    ]);
    (status, prop::collection::vec(step, 0..4), prop::bool::weighted(0.1), 1usize..60)
        .prop_map(|(status, steps, hangs, piece_bytes)| WorkerScript { status, steps, hangs, piece_bytes })
}

/// How the attempt must end, and whether its connection can be reused: not after a response that names no request, nor
/// after a rejection, of which a second copy could be taken for the answer to a later attempt.
pub fn expected_end(script: &WorkerScript) -> (AttemptEnd, bool) {
    match script.status {
        "200 OK" => {}
        "nonsense" => return (AttemptEnd::Malformed, false),
        status if status.contains("Not-Started") => return (AttemptEnd::Rejected, false),
        "404 What" => return (AttemptEnd::InvalidRequest, false),
        _ => return (AttemptEnd::Failed, false),
    }
    for (i, step) in script.steps.iter().enumerate() {
        let end = match step {
            Step::BlankLine => continue,
            Step::Close => return (AttemptEnd::Truncated, false),
            Step::OversizedLine => return (AttemptEnd::ResponseTooLarge, false),
            Step::Line(line) => match LINES.iter().position(|known| known == line) {
                Some(0..=2) => continue,
                Some(3) => AttemptEnd::Completed("ok\n".into()),
                Some(4) => AttemptEnd::Failed,
                Some(5) => return (AttemptEnd::Rejected, false),
                Some(6) => AttemptEnd::Killed,
                Some(7) => return (AttemptEnd::WrongRequestId, false),
                _ => return (AttemptEnd::Malformed, false),
            },
        };
        return (end, response_ends(script, &script.steps[i..]));
    }
    (if script.hangs { AttemptEnd::ResponseTimeout } else { AttemptEnd::Truncated }, false)
}

/// Whether the worker completes its response after the remaining steps.
fn response_ends(script: &WorkerScript, remaining_steps: &[Step]) -> bool {
    !script.hangs && !remaining_steps.iter().any(|step| matches!(step, Step::Close | Step::OversizedLine))
}

/// Serves one request according to the script, and calls `on_request` once the request is complete. Returns
/// false if the connection was closed before that.
pub fn serve_request(
    stream: &mut TcpStream,
    script: &WorkerScript,
    on_request: impl FnOnce(),
) -> std::io::Result<bool> {
    stream.set_nodelay(true)?;
    let mut received = Vec::new();
    while !received.ends_with(b"\r\n\r\nbody") {
        let mut chunk = [0; 512];
        match stream.read(&mut chunk)? {
            0 => return Ok(false),
            count => received.extend_from_slice(&chunk[..count]),
        }
    }
    on_request();
    let mut response =
        format!("HTTP/1.1 {}\r\nTransfer-Encoding: chunked\r\n\r\n", script.status).into_bytes();
    let mut closes = false;
    for step in &script.steps {
        let line = match step {
            Step::Line(line) => format!("{line}\n"),
            Step::BlankLine => "\n".to_string(),
            Step::OversizedLine => "x".repeat(OVERSIZED_LINE_BYTES),
            Step::Close => {
                closes = true;
                break;
            }
        };
        response.extend_from_slice(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes());
    }
    if !closes && !script.hangs {
        response.extend_from_slice(b"0\r\n\r\n");
    }
    let is_long = response.len() > MAX_RESPONSE_PIECE_BYTES;
    let piece_bytes = if is_long { MAX_RESPONSE_PIECE_BYTES } else { script.piece_bytes };
    for piece in response.chunks(piece_bytes) {
        stream.write_all(piece)?;
    }
    if script.hangs && !closes {
        // Keeps the connection open until the node closes it.
        while stream.read(&mut [0; 64])? > 0 {}
    }
    Ok(true)
}

fn payload(engine: &Rc<Engine>) -> Rc<RequestPayload> {
    Rc::new(fixtures::payload(engine, "/api?x=1", b"body"))
}

/// Runs one attempt at `address`. Returns how it ended, and whether its connection is in the pool afterwards.
fn end_and_in_pool(address: SocketAddr, timeout: Duration) -> (AttemptEnd, bool) {
    let engine = fixtures::engine(address);
    let messages = run_attempt(&engine, payload(&engine), attempt_spec(timeout));
    let ends: Vec<AttemptEnd> = std::iter::from_fn(|| messages.try_recv().ok())
        .filter_map(|message| match message {
            RequestMessage::AttemptEnded { end, .. } => Some(end),
            _ => None,
        })
        .collect();
    assert_eq!(ends.len(), 1, "an attempt must report one end: {ends:?}");
    (ends[0].clone(), engine.upstreams.pool.checkout(WorkerId(0), address).is_some())
}

#[test]
fn an_attempt_ends_as_the_model_says() {
    check_cases(160, worker_script(), |script| {
        let (expected, reusable) = expected_end(&script);
        let times_out = expected == AttemptEnd::ResponseTimeout;
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (attempt_running, attempt_ended) = std::sync::mpsc::channel::<()>();
        let worker = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("the node connects");
            // Writing fails if the node has already closed the connection, as it must for some scripts.
            let _ = serve_request(&mut stream, &script, || {});
            if !script.steps.iter().any(|step| matches!(step, Step::Close)) {
                let _ = attempt_ended.recv();
            }
        });
        let timeout = Duration::from_millis(if times_out { 150 } else { 20_000 });
        let (end, in_pool) = end_and_in_pool(address, timeout);
        drop(attempt_running);
        worker.join().expect("the worker has not panicked");
        prop_assert_eq!(end, expected);
        prop_assert_eq!(in_pool, reusable);
        Ok(())
    });
}

/// If a refused connection were not taken as proof that the job never ran, an at-most-once request could not
/// be sent to another worker.
#[test]
fn an_attempt_at_a_refused_connection_never_ran() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    drop(listener);
    let (end, _) = end_and_in_pool(address, Duration::from_secs(20));
    assert_eq!((end.clone(), end.outcome()), (AttemptEnd::Unreachable, Outcome::ConnectFailed));
}

/// A lack of descriptors in the node must not count as a failure of the worker.
#[test]
fn an_attempt_without_a_descriptor_is_reported_as_not_sent() {
    assert_eq!(AttemptEnd::NoDescriptor.outcome(), Outcome::NotSent);
    let engine = fixtures::engine_with_unreachable_worker();
    let permits: Vec<_> = std::iter::from_fn(|| engine.upstreams.pool.acquire_descriptor()).collect();
    let messages = run_attempt(&engine, payload(&engine), attempt_spec(Duration::from_secs(9)));
    assert_eq!(next_end(&messages), AttemptEnd::NoDescriptor, "while {} permits are in use", permits.len());
}

/// If a worker closes idle connections earlier than the settings state, a reused connection breaks right
/// after the request was written. The job may have run, so the request cannot be sent again. To prevent
/// further failures, connections that have been idle as long must no longer be reused.
#[test]
fn a_stale_connection_shortens_the_idle_timeout() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let engine = fixtures::engine(address);
    let before = engine.upstreams.pool.idle_timeout();
    let worker = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the node connects");
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("the node sends the request");
        // Because the rest of the request is unread, closing the connection resets it.
    });
    fixtures::run(&engine, async {
        let upstream = engine.upstreams.pool.connect(address).await.expect("the node can connect");
        engine.upstreams.pool.check_in(WorkerId(0), upstream);
        async_io::Timer::after(Duration::from_millis(200)).await;
    });
    let messages = run_attempt(&engine, payload(&engine), attempt_spec(Duration::from_secs(9)));
    worker.join().expect("the worker has not panicked");
    let end = next_end(&messages);
    assert_eq!((end.clone(), end.outcome()), (AttemptEnd::StaleConnection, Outcome::Reset));
    let after = engine.upstreams.pool.idle_timeout();
    assert!(
        before > Duration::from_secs(10) && after >= Duration::from_millis(100),
        "idle timeout before: {before:?}, after: {after:?}"
    );
    assert!(
        after < Duration::from_secs(5),
        "the idle timeout is half of the idle time of the stale connection: {after:?}"
    );
}

/// If the worker does not read, the request's last byte is not written, which proves that the job never ran.
#[test]
fn an_attempt_that_was_not_fully_sent_never_ran() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let engine = fixtures::engine(address);
    // More than the buffers of both sockets hold.
    let mut settings = BodySettings { largest_bytes: 64 << 20, ..BodySettings::default() };
    (settings.memory.each_bytes, settings.memory.total_bytes) = (64 << 20, 128 << 20);
    engine.bodies.configure(&settings, None);
    let payload = Rc::new(fixtures::payload(&engine, "/api", &vec![b'x'; 64 << 20]));
    let messages = run_attempt(&engine, payload, attempt_spec(Duration::from_millis(200)));
    let end = next_end(&messages);
    assert_eq!((end.clone(), end.outcome()), (AttemptEnd::TimeoutBeforeSent, Outcome::ConnectFailed));
}

/// A request that is written to a connection that the worker has closed fails, but may have run: unlike a
/// failure to connect, this does not prove that the job never ran, so an at-most-once request could not be
/// sent again.
#[test]
fn a_connection_that_the_worker_has_closed_is_not_reused() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let engine = fixtures::engine(address);
    fixtures::run(&engine, async {
        let upstream = engine.upstreams.pool.connect(address).await.expect("the node can connect");
        engine.upstreams.pool.check_in(WorkerId(0), upstream);
    });
    drop(listener.accept().expect("the node's connection"));
    let until = Instant::now() + Duration::from_secs(10);
    while engine.upstreams.pool.checkout(WorkerId(0), address).is_some_and(|upstream| {
        engine.upstreams.pool.check_in(WorkerId(0), upstream);
        Instant::now() < until
    }) {}
    assert!(Instant::now() < until, "a connection that the worker has closed stayed in the pool");
}

/// Workers drop duplicates of a request only until its idempotency window ends. If the window ends while the
/// attempt connects, sending the request could run the job twice.
#[test]
fn a_retry_whose_idempotency_window_has_expired_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    let engine = fixtures::engine(address);
    let spec = AttemptSpec { send_by: Instant::now(), ..attempt_spec(Duration::from_secs(9)) };
    let messages = run_attempt(&engine, payload(&engine), spec);
    let end = next_end(&messages);
    assert_eq!((end.clone(), end.outcome()), (AttemptEnd::IdempotencyWindowExpired, Outcome::NotSent));
    assert_eq!(engine.counters.requests_sent.get(), 0);
}
