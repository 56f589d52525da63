//! The server link as a model: what an executor does, and how the execution must end.

use super::fixtures::{self, order};
use crate::Engine;
use crate::attempt;
use crate::attempt_end::AttemptEnd;
use crate::attempt_spec::AttemptSpec;
use crate::job::{RequestMessage, RequestPayload};
use proptest::prelude::*;
use sorrelhaven_config::BodySettings;
use sorrelhaven_dispatcher::{Outcome, WorkerId};
use sorrelhaven_test_support::check_cases;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// One thing that an executor writes, or does.
#[derive(Clone, Debug)]
pub enum Step {
    Line(&'static str),
    BlankLine,
    Huge,
    Close,
}

/// What an executor does with one request. After its last step it writes the end of its answer, or hangs.
#[derive(Clone, Debug)]
pub struct ServerScript {
    status: &'static str,
    steps: Vec<Step>,
    hangs: bool,
    piece: usize,
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

pub fn conduct() -> impl Strategy<Value = ServerScript> {
    let line = prop::sample::select(LINES.to_vec()).prop_map(Step::Line);
    let step =
        prop_oneof![12 => line, 1 => Just(Step::BlankLine), 1 => Just(Step::Huge), 1 => Just(Step::Close)];
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
        .prop_map(|(status, steps, hangs, piece)| ServerScript { status, steps, hangs, piece })
}

/// How the execution must end, and whether the link is fit for another.
pub fn model(c: &ServerScript) -> (AttemptEnd, bool) {
    match c.status {
        "200 OK" => {}
        "nonsense" => return (AttemptEnd::Malformed, false),
        s if s.contains("Not-Started") => return (AttemptEnd::Rejected, whole(c, &c.steps)),
        "404 What" => return (AttemptEnd::InvalidRequest, whole(c, &c.steps)),
        _ => return (AttemptEnd::Failed, whole(c, &c.steps)),
    }
    for (i, step) in c.steps.iter().enumerate() {
        let ending = match step {
            Step::BlankLine => continue,
            Step::Close => return (AttemptEnd::Truncated, false),
            Step::Huge => return (AttemptEnd::ResponseTooLarge, false),
            Step::Line(line) => match LINES.iter().position(|l| l == line) {
                Some(0..=2) => continue,
                Some(3) => AttemptEnd::Completed("ok\n".into()),
                Some(4) => AttemptEnd::Failed,
                Some(5) => AttemptEnd::Rejected,
                Some(6) => AttemptEnd::Killed,
                Some(7) => return (AttemptEnd::WrongRequestId, false),
                _ => return (AttemptEnd::Malformed, false),
            },
        };
        return (ending, whole(c, &c.steps[i..]));
    }
    (if c.hangs { AttemptEnd::ResponseTimeout } else { AttemptEnd::Truncated }, false)
}

/// Whether the rest of the answer comes to its end.
fn whole(c: &ServerScript, rest: &[Step]) -> bool {
    !c.hangs && !rest.iter().any(|s| matches!(s, Step::Close | Step::Huge))
}

/// Plays an executor for one request; false if none came.
pub fn play(stream: &mut TcpStream, c: &ServerScript, begun: impl FnOnce()) -> std::io::Result<bool> {
    stream.set_nodelay(true)?;
    let mut got = Vec::new();
    while !got.ends_with(b"\r\n\r\nbody") {
        let mut chunk = [0; 512];
        match stream.read(&mut chunk)? {
            0 => return Ok(false),
            n => got.extend_from_slice(&chunk[..n]),
        }
    }
    begun();
    let mut wire = format!("HTTP/1.1 {}\r\nTransfer-Encoding: chunked\r\n\r\n", c.status).into_bytes();
    let mut closes = false;
    for step in &c.steps {
        let line = match step {
            Step::Line(line) => format!("{line}\n"),
            Step::BlankLine => "\n".to_string(),
            Step::Huge => "x".repeat(300_000),
            Step::Close => {
                closes = true;
                break;
            }
        };
        wire.extend_from_slice(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes());
    }
    if !closes && !c.hangs {
        wire.extend_from_slice(b"0\r\n\r\n");
    }
    let piece = if wire.len() > 10_000 { 10_000 } else { c.piece };
    for piece in wire.chunks(piece) {
        stream.write_all(piece)?;
    }
    if c.hangs && !closes {
        // Holds the connection until the node ends it.
        while stream.read(&mut [0; 64])? > 0 {}
    }
    Ok(true)
}

fn parcel(engine: &Rc<Engine>) -> Rc<RequestPayload> {
    Rc::new(fixtures::parcel(engine, "/api?x=1", b"body"))
}

/// Runs one execution against `address` and gives how it ended, and how many links stand idle after.
fn execute(address: std::net::SocketAddr, wait: Duration) -> (AttemptEnd, bool) {
    let engine = fixtures::engine(address);
    let (mail, inbox) = async_channel::unbounded();
    fixtures::run(&engine, attempt::run(engine.upstreams.clone(), parcel(&engine), order(wait), mail));
    let endings: Vec<AttemptEnd> = std::iter::from_fn(|| inbox.try_recv().ok())
        .filter_map(|m| {
            if let RequestMessage::AttemptEnded { end: ending, .. } = m { Some(ending) } else { None }
        })
        .collect();
    assert_eq!(endings.len(), 1, "one outcome: {endings:?}");
    (endings[0].clone(), engine.upstreams.pool.checkout(WorkerId(0), address).is_some())
}

#[test]
fn an_execution_ends_as_the_model_says() {
    check_cases(160, conduct(), |c| {
        let (ending, reusable) = model(&c);
        let silent = ending == AttemptEnd::ResponseTimeout;
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (done, finished) = std::sync::mpsc::channel::<()>();
        let case = c.clone();
        let executor = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("the node connects");
            // A node that has closed the link already makes the rest fail, as it should.
            let _ = play(&mut stream, &case, || {});
            if !case.steps.iter().any(|s| matches!(s, Step::Close)) {
                let _ = finished.recv();
            }
        });
        let wait = Duration::from_millis(if silent { 150 } else { 20_000 });
        let (ended, kept) = execute(address, wait);
        drop(done);
        executor.join().expect("the executor ends");
        prop_assert_eq!(ended, ending);
        prop_assert_eq!(kept, reusable);
        Ok(())
    });
}

/// A refused connection proves that the job never ran.
#[test]
fn a_refused_connection_never_ran() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    drop(listener);
    let (ending, _) = execute(address, Duration::from_secs(20));
    assert_eq!((ending.clone(), ending.outcome()), (AttemptEnd::Unreachable, Outcome::ConnectFailed));
}

/// The node's own want of a descriptor is no word on the executor.
#[test]
fn no_descriptor_is_told_as_never_sent() {
    assert_eq!(AttemptEnd::NoDescriptor.outcome(), Outcome::NotSent);
    let engine = fixtures::engine("127.0.0.1:1".parse().expect("an address"));
    let held: Vec<_> = std::iter::from_fn(|| engine.upstreams.pool.acquire_descriptor()).collect();
    let order = order(Duration::from_secs(9));
    let (mail, inbox) = async_channel::unbounded();
    fixtures::run(&engine, attempt::run(engine.upstreams.clone(), parcel(&engine), order, mail));
    let Ok(RequestMessage::AttemptEnded { end: ending, .. }) = inbox.try_recv() else { panic!("no outcome") };
    assert_eq!(ending, AttemptEnd::NoDescriptor, "with {} held", held.len());
}

/// A kept link that goes at the next request: that job may have run, so it is not sent again, but the links
/// that have stood as long are not used any more.
#[test]
fn a_stale_link_shortens_the_keeping_of_all() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    let engine = fixtures::engine(address);
    let before = engine.upstreams.pool.idle_timeout();
    let executor = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("the node connects");
        let mut byte = [0];
        stream.read_exact(&mut byte).expect("a request");
        // What is left unread makes this a reset.
    });
    let (mail, inbox) = async_channel::unbounded();
    let order = order(Duration::from_secs(9));
    fixtures::run(&engine, async {
        let link = engine.upstreams.pool.connect(address).await.expect("a link");
        engine.upstreams.pool.check_in(WorkerId(0), link);
        async_io::Timer::after(Duration::from_millis(200)).await;
        attempt::run(engine.upstreams.clone(), parcel(&engine), order, mail).await;
    });
    executor.join().expect("the executor ends");
    let Ok(RequestMessage::AttemptEnded { end: ending, .. }) = inbox.try_recv() else { panic!("no outcome") };
    assert_eq!((ending.clone(), ending.outcome()), (AttemptEnd::StaleConnection, Outcome::Reset));
    let kept = engine.upstreams.pool.idle_timeout();
    assert!(before > Duration::from_secs(10) && kept >= Duration::from_millis(100), "{before:?} {kept:?}");
    assert!(kept < Duration::from_secs(5), "half of what it had stood: {kept:?}");
}

/// An executor that does not read leaves the last byte unwritten: that, too, never ran.
#[test]
fn a_request_that_was_not_written_never_ran() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    let engine = fixtures::engine(address);
    let (mail, inbox) = async_channel::unbounded();
    // More than the buffers of both sockets take.
    let mut settings = BodySettings { largest_bytes: 64 << 20, ..BodySettings::default() };
    (settings.memory.each_bytes, settings.memory.total_bytes) = (64 << 20, 128 << 20);
    engine.bodies.configure(&settings, None);
    let parcel = fixtures::parcel(&engine, "/api", &vec![b'x'; 64 << 20]);
    let order = order(Duration::from_millis(200));
    fixtures::run(&engine, attempt::run(engine.upstreams.clone(), Rc::new(parcel), order, mail));
    let Ok(RequestMessage::AttemptEnded { end: ending, .. }) = inbox.try_recv() else { panic!("no outcome") };
    assert_eq!((ending.clone(), ending.outcome()), (AttemptEnd::TimeoutBeforeSent, Outcome::ConnectFailed));
}

/// Once written, a link that breaks may have let the job run: never "could not connect".
#[test]
fn a_stale_link_is_not_taken_and_not_sent_on_again() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    let engine = fixtures::engine(address);
    fixtures::run(&engine, async {
        let link = engine.upstreams.pool.connect(address).await.expect("a link");
        engine.upstreams.pool.check_in(WorkerId(0), link);
    });
    drop(listener.accept().expect("the node's link"));
    let until = Instant::now() + Duration::from_secs(10);
    while engine.upstreams.pool.checkout(WorkerId(0), address).is_some_and(|link| {
        engine.upstreams.pool.check_in(WorkerId(0), link);
        Instant::now() < until
    }) {}
    assert!(Instant::now() < until, "a link that the executor has closed was kept");
}

/// What drops a repeat forgets the request at a stated time: a link that comes up in that moment must not carry it.
#[test]
fn a_repeat_whose_window_is_over_is_not_written() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    let engine = fixtures::engine(address);
    let (mail, inbox) = async_channel::unbounded();
    let order = AttemptSpec { send_by: Instant::now(), ..order(Duration::from_secs(9)) };
    fixtures::run(&engine, attempt::run(engine.upstreams.clone(), parcel(&engine), order, mail));
    let Ok(RequestMessage::AttemptEnded { end: ending, .. }) = inbox.try_recv() else { panic!("no outcome") };
    assert_eq!((ending.clone(), ending.outcome()), (AttemptEnd::IdempotencyWindowExpired, Outcome::NotSent));
    assert_eq!(engine.counters.requests_sent.get(), 0);
}
