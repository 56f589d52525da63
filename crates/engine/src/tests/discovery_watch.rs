//! The discovery watch against an agent that answers, breaks off, sends nonsense and falls silent.

use super::fixtures;
use crate::Engine;
use crate::backoff::Backoff;
use sorrelhaven_dispatcher::WorkerId;
use sorrelhaven_test_support::{CHUNKED_RESPONSE_HEAD, read_request_target, send_chunk};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

fn list(seq: u64, complete: bool, hosts: &str) -> String {
    format!("{{\"seq\":{seq},\"whole\":{complete},\"hosts\":[{hosts}]}}\n")
}

fn host(name: &str, port: u16) -> String {
    format!(r#"{{"host":"{name}","dial":"127.0.0.1:{port}","health":"in_service"}}"#)
}

/// Runs an engine that watches the agent that `script` plays, until the script is over.
fn watch(script: impl FnOnce(TcpListener) + Send + 'static) -> Rc<Engine> {
    watch_with(fixtures::engine_without_worker(), script)
}

fn watch_with(engine: Rc<Engine>, script: impl FnOnce(TcpListener) + Send + 'static) -> Rc<Engine> {
    let agent = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = agent.local_addr().expect("its address");
    let agent = std::thread::spawn(move || script(agent));
    let (done, stop) = async_channel::bounded::<()>(1);
    let waiter = std::thread::spawn(move || {
        let end = agent.join();
        drop(done);
        end
    });
    let (_sender, no_moves) = async_channel::unbounded();
    let watching_engine = engine.clone();
    engine.tasks.spawn_urgent(async move { watching_engine.watch_discovery(address, 1, no_moves).await });
    fixtures::run(&engine, async { _ = stop.recv().await });
    waiter.join().expect("the waiter").expect("the agent saw what it should");
    engine
}

#[test]
fn a_watch_that_ends_is_retried_and_the_last_list_stays_in_force() {
    let engine = watch(|agent| {
        let next = || agent.accept().expect("the node connects").0;
        // It continues from the configured list, and ignores an invalid entry.
        let mut stream = next();
        assert_eq!(read_request_target(&mut stream), "/registry/instances?watch=1&after=1");
        stream.write_all(CHUNKED_RESPONSE_HEAD.as_bytes()).expect("the node reads");
        let invalid = r#"{"host":"s-odd","health":"in_service"}"#;
        send_chunk(&mut stream, &list(5, false, &format!("{invalid},{}", host("s-2", 2))));
        send_chunk(&mut stream, "\n");
        drop(stream);
        // A watch that breaks continues from its version; after nonsense no version can be trusted.
        let mut stream = next();
        assert_eq!(read_request_target(&mut stream), "/registry/instances?watch=1&after=5");
        stream.write_all(CHUNKED_RESPONSE_HEAD.as_bytes()).expect("the node reads");
        send_chunk(&mut stream, "{\"seq\":6,\n");
        send_chunk(&mut stream, "\n");
        let mut stream = next();
        assert_eq!(read_request_target(&mut stream), "/registry/instances");
        let complete = list(7, true, &host("s-3", 3));
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{complete}", complete.len());
        stream.write_all(response.as_bytes()).expect("the node reads");
        assert_eq!(read_request_target(&mut stream), "/registry/instances?watch=1&after=7");
        // A watch without any input is given up as well.
        stream.write_all(CHUNKED_RESPONSE_HEAD.as_bytes()).expect("the node reads");
        let mut again = next();
        assert_eq!(read_request_target(&mut again), "/registry/instances?watch=1&after=7");
    });
    let port =
        |worker: u32| engine.upstreams.registry.address(WorkerId(worker)).map(|address| address.port());
    assert_eq!([port(0), port(1), port(2), port(3)], [Some(1), Some(2), Some(3), None]);
    assert_eq!(engine.counters.worker_lists.get(), 2);
}

/// The size of a large fleet.
const MANY_WORKERS: u16 = 1025;

/// The same list on indented lines.
fn indented(list: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(list).expect("a list");
    format!("{value:#}\n")
}

/// How many workers accept work, and how many do not.
fn accepting_and_draining(engine: &Engine) -> [usize; 2] {
    let worker_counts = engine.dispatcher_loop.worker_counts();
    [(worker_counts.known - worker_counts.draining) as usize, worker_counts.draining as usize]
}

#[test]
fn a_watch_applies_lists_of_1025_workers_indented_or_as_changes() {
    let engine = watch(|agent| {
        let mut stream = agent.accept().expect("the node connects").0;
        assert_eq!(read_request_target(&mut stream), "/registry/instances?watch=1&after=1");
        stream.write_all(CHUNKED_RESPONSE_HEAD.as_bytes()).expect("the node reads");
        let hosts: Vec<String> =
            (0..MANY_WORKERS).map(|number| host(&format!("s-{number}"), 1000 + number)).collect();
        // The complete list in pieces that end anywhere.
        for piece in indented(&list(2, true, &hosts.join(","))).as_bytes().chunks(700) {
            send_chunk(&mut stream, std::str::from_utf8(piece).expect("text"));
        }
        send_chunk(&mut stream, "\n");
        // All but one drain, a change for each, some of them indented and some in one piece with the next.
        let mut changes = String::new();
        for (number, host) in (0..MANY_WORKERS - 1).zip(&hosts) {
            let change = list(3 + u64::from(number), false, &host.replace("in_service", "terminating"));
            changes += &if number % 2 == 0 { indented(&change) } else { change };
        }
        send_chunk(&mut stream, &changes);
        stream.shutdown(std::net::Shutdown::Write).expect("the node reads");
        let mut again = agent.accept().expect("the node connects again").0;
        assert_eq!(
            read_request_target(&mut again),
            format!("/registry/instances?watch=1&after={}", 2 + u64::from(MANY_WORKERS - 1))
        );
    });
    assert_eq!(engine.counters.worker_lists.get(), u64::from(MANY_WORKERS));
    assert_eq!(accepting_and_draining(&engine), [1, usize::from(MANY_WORKERS) - 1]);
}

/// After an invalid list the complete one is fetched, and it may be indented too.
#[test]
fn a_complete_list_that_is_fetched_may_be_indented() {
    let engine = watch(|agent| {
        let next = || agent.accept().expect("the node connects").0;
        let mut stream = next();
        read_request_target(&mut stream);
        stream.write_all(CHUNKED_RESPONSE_HEAD.as_bytes()).expect("the node reads");
        // A state that no worker has: the last list stays in force.
        send_chunk(&mut stream, &indented(&list(2, true, &host("s-9", 9).replace("in_service", "odd"))));
        let mut stream = next();
        assert_eq!(read_request_target(&mut stream), "/registry/instances");
        let hosts: Vec<String> =
            (0..MANY_WORKERS).map(|number| host(&format!("s-{number}"), 1000 + number)).collect();
        let complete = indented(&list(3, true, &hosts.join(",")));
        let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{complete}", complete.len());
        stream.write_all(response.as_bytes()).expect("the node reads");
        assert_eq!(read_request_target(&mut stream), "/registry/instances?watch=1&after=3");
    });
    assert_eq!(accepting_and_draining(&engine), [usize::from(MANY_WORKERS), 0]);
}

/// Where lists are pushed, the node counts as notified of what the agent has: one that waits after a silence
/// would send to draining workers.
#[test]
fn a_silent_agent_is_polled_again_within_a_second_and_any_poll_may_be_answered() {
    for answered in [0, 2] {
        let engine = watch(move |agent| {
            // A busy machine may be slower; one poll at a time would take 3 s each.
            let started = Instant::now();
            let mut polls: Vec<TcpStream> = Vec::new();
            for _ in 0..3 {
                let mut stream = agent.accept().expect("the node connects").0;
                assert_eq!(read_request_target(&mut stream), "/registry/instances?watch=1&after=1");
                polls.push(stream);
            }
            assert!(started.elapsed() < Duration::from_millis(2_900), "{:?}", started.elapsed());
            let mut stream = polls.remove(answered);
            stream.write_all(CHUNKED_RESPONSE_HEAD.as_bytes()).expect("the node reads");
            send_chunk(&mut stream, &list(2, false, &host("s-2", 2)));
            // The others are given up.
            for mut poll in polls {
                assert!(matches!(poll.read(&mut [0]), Ok(0) | Err(_)));
            }
            // A watch that breaks off is retried soon, however often.
            drop(stream);
            for retry in 2..8 {
                let started = Instant::now();
                let mut stream = agent.accept().expect("the node connects").0;
                assert_eq!(read_request_target(&mut stream), "/registry/instances?watch=1&after=2");
                assert!(started.elapsed() < Duration::from_secs(2), "{retry}: {:?}", started.elapsed());
            }
        });
        assert_eq!(engine.counters.worker_lists.get(), 1);
    }
}

/// Where discovery is polled, a node counts as notified of what a watch misses 6 s after the silence began. A
/// watch that answered after polls that failed, and is then silent for 3 s, is retried a second later at
/// most, however long the delays had become.
#[test]
fn a_polled_watch_that_falls_silent_is_not_delayed_by_polls_that_failed_before() {
    const SECOND: Duration = Duration::from_secs(1);
    // Delays drawn so that the first is short, and the second long unless the bound was reset.
    let seed = (0..).find(|&seed| {
        let mut backoff = Backoff::new(seed, 1_000_000, 10_000_000);
        backoff.retry_delay(true) < SECOND / 4 && backoff.retry_delay(false) > 6 * SECOND
    });
    let text = sorrelhaven_test_support::single_worker_config(
        "127.0.0.1:1".parse().expect("an address"),
        "at_most_once",
    );
    let text = text.replace(r#""seed":"1f""#, &format!(r#""seed":"{:x}""#, seed.expect("there is one")));
    let text = text.replace(r#""balancers":1"#, r#""balancers":1,"discovery":"subscribe""#);
    let engine = watch_with(fixtures::engine_with_config(&text), |agent| {
        let next = || agent.accept().expect("the node connects").0;
        let mut rejected = next();
        read_request_target(&mut rejected);
        rejected.write_all(b"HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n").expect("the node reads");
        let mut answered = next();
        assert_eq!(read_request_target(&mut answered), "/registry/instances?watch=1&after=1");
        answered.write_all(CHUNKED_RESPONSE_HEAD.as_bytes()).expect("the node reads");
        send_chunk(&mut answered, &list(2, false, &host("s-2", 2)));
        let silent_since = Instant::now();
        assert_eq!(read_request_target(&mut next()), "/registry/instances?watch=1&after=2");
        let retried_after = silent_since.elapsed();
        assert!(retried_after >= 3 * SECOND && retried_after < 5 * SECOND, "retried after {retried_after:?}");
    });
    assert_eq!(engine.counters.worker_lists.get(), 1);
}

/// A part of a line counts for nothing, also where the rest never comes.
#[test]
fn a_watch_that_falls_silent_in_the_middle_of_a_line_is_retried_from_its_version() {
    let engine = watch(|agent| {
        let next = || agent.accept().expect("the node connects").0;
        let mut stalled = next();
        assert_eq!(read_request_target(&mut stalled), "/registry/instances?watch=1&after=1");
        stalled.write_all(CHUNKED_RESPONSE_HEAD.as_bytes()).expect("the node reads");
        let line = list(2, false, &host("s-1", 7).replace("in_service", "terminating"));
        let half = &line[..line.len() / 2];
        stalled.write_all(format!("{:x}\r\n{half}", line.len()).as_bytes()).expect("the node reads");
        let silent_since = Instant::now();
        let mut retried = next();
        assert_eq!(read_request_target(&mut retried), "/registry/instances?watch=1&after=1");
        assert!(silent_since.elapsed() < Duration::from_secs(5), "{:?}", silent_since.elapsed());
        // The rest of the old line comes now: nothing reads it any more.
        let _ = stalled.write_all(format!("{}\r\n", &line[line.len() / 2..]).as_bytes());
        retried.write_all(CHUNKED_RESPONSE_HEAD.as_bytes()).expect("the node reads");
        send_chunk(&mut retried, &list(3, false, &host("s-2", 2)));
        assert!(matches!(stalled.read(&mut [0]), Ok(0) | Err(_)), "the old connection was closed");
        drop(retried);
        assert_eq!(read_request_target(&mut next()), "/registry/instances?watch=1&after=3");
    });
    assert_eq!(engine.counters.worker_lists.get(), 1);
    assert_eq!(accepting_and_draining(&engine), [2, 0], "the notice of the drain was incomplete");
}

/// A list that comes a byte at a time would take half a minute: it is fetched again after 6 s, and not
/// before, since one that is merely slow must have its time.
#[test]
fn a_list_that_trickles_is_fetched_again() {
    let engine = watch(|agent| {
        let mut trickling = agent.accept().expect("the node connects").0;
        assert_eq!(read_request_target(&mut trickling), "/registry/instances?watch=1&after=1");
        trickling.write_all(CHUNKED_RESPONSE_HEAD.as_bytes()).expect("the node reads");
        let line = list(2, false, &host("s-1", 7).replace("in_service", "terminating"));
        let (retries, retried) = std::sync::mpsc::channel();
        let accepting =
            std::thread::spawn(move || retries.send(agent.accept().expect("the node connects").0));
        let started = Instant::now();
        let mut bytes = line.bytes();
        let mut next = loop {
            match retried.recv_timeout(Duration::from_millis(500)) {
                Ok(next) => break next,
                Err(_) => {
                    let byte = bytes.next().expect("the node retries long before the end") as char;
                    trickling.write_all(format!("1\r\n{byte}\r\n").as_bytes()).expect("the node reads");
                }
            }
        };
        let elapsed = started.elapsed();
        assert!(elapsed >= Duration::from_secs(6) && elapsed < Duration::from_secs(9), "{elapsed:?}");
        assert_eq!(read_request_target(&mut next), "/registry/instances?watch=1&after=1");
        accepting.join().expect("a thread").expect("it was awaited");
    });
    assert_eq!((engine.counters.worker_lists.get(), accepting_and_draining(&engine)), (0, [1, 0]));
}
