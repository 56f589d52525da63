//! The watch on the host group against an agent that answers, breaks off, talks nonsense and falls silent.

use super::fixtures;
use crate::Engine;
use crate::backoff::Backoff;
use sorrelhaven_dispatcher::WorkerId;
use sorrelhaven_test_support::{CHUNKED_RESPONSE_HEAD, read_request_target, send_chunk};
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

fn list(seq: u64, whole: bool, hosts: &str) -> String {
    format!("{{\"seq\":{seq},\"whole\":{whole},\"hosts\":[{hosts}]}}\n")
}

fn host(name: &str, port: u16) -> String {
    format!(r#"{{"host":"{name}","dial":"127.0.0.1:{port}","health":"in_service"}}"#)
}

/// Runs an engine that watches the agent that `script` plays, until the script is over.
fn watched(script: impl FnOnce(TcpListener) + Send + 'static) -> Rc<Engine> {
    watched_by(fixtures::engine("127.0.0.1:1".parse().expect("an address")), script)
}

fn watched_by(engine: Rc<Engine>, script: impl FnOnce(TcpListener) + Send + 'static) -> Rc<Engine> {
    let agent = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = agent.local_addr().expect("its address");
    let agent = std::thread::spawn(move || script(agent));
    let (done, stop) = async_channel::bounded::<()>(1);
    let waiter = std::thread::spawn(move || {
        let end = agent.join();
        drop(done);
        end
    });
    let (_moves, never) = async_channel::unbounded();
    let at = engine.clone();
    engine.tasks.spawn_urgent(async move { at.watch(address, 1, never).await });
    fixtures::run(&engine, async { _ = stop.recv().await });
    waiter.join().expect("the waiter").expect("the agent saw what it should");
    engine
}

#[test]
fn a_watch_that_ends_is_asked_for_again_and_the_old_list_kept() {
    let engine = watched(|agent| {
        let next = || agent.accept().expect("the node comes").0;
        // It goes on from the list in the configuration, and takes an odd entry for what it is.
        let mut stream = next();
        assert_eq!(read_request_target(&mut stream), "/registry/instances?watch=1&after=1");
        stream.write_all(CHUNKED_RESPONSE_HEAD.as_bytes()).expect("the node reads");
        let odd = r#"{"host":"s-odd","health":"in_service"}"#;
        send_chunk(&mut stream, &list(5, false, &format!("{odd},{}", host("s-2", 2))));
        send_chunk(&mut stream, "\n");
        drop(stream);
        // A watch that breaks goes on from what it had; after nonsense nothing it had can be trusted.
        let mut stream = next();
        assert_eq!(read_request_target(&mut stream), "/registry/instances?watch=1&after=5");
        stream.write_all(CHUNKED_RESPONSE_HEAD.as_bytes()).expect("the node reads");
        send_chunk(&mut stream, "{\"seq\":6,\n");
        send_chunk(&mut stream, "\n");
        let mut stream = next();
        assert_eq!(read_request_target(&mut stream), "/registry/instances");
        let whole = list(7, true, &host("s-3", 3));
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{whole}", whole.len());
        stream.write_all(head.as_bytes()).expect("the node reads");
        assert_eq!(read_request_target(&mut stream), "/registry/instances?watch=1&after=7");
        // A watch that says nothing at all is given up as well.
        stream.write_all(CHUNKED_RESPONSE_HEAD.as_bytes()).expect("the node reads");
        let mut again = next();
        assert_eq!(read_request_target(&mut again), "/registry/instances?watch=1&after=7");
    });
    let port = |n: u32| engine.upstreams.registry.address(WorkerId(n)).map(|a| a.port());
    assert_eq!([port(0), port(1), port(2), port(3)], [Some(1), Some(2), Some(3), None]);
    assert_eq!(engine.counters.worker_lists.get(), 2);
}

/// So many executors must be no trouble.
const MANY: u16 = 1025;

/// A list laid out as by a printer that indents.
fn indented(list: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(list).expect("a list");
    format!("{value:#}\n")
}

/// How many executors take work, and how many do not.
fn counted(engine: &Engine) -> [usize; 2] {
    let worker_counts = engine.dispatcher_loop.worker_counts();
    [(worker_counts.known - worker_counts.draining) as usize, worker_counts.draining as usize]
}

#[test]
fn a_watch_takes_1025_executors_indented_or_as_changes() {
    let engine = watched(|agent| {
        let mut stream = agent.accept().expect("the node comes").0;
        assert_eq!(read_request_target(&mut stream), "/registry/instances?watch=1&after=1");
        stream.write_all(CHUNKED_RESPONSE_HEAD.as_bytes()).expect("the node reads");
        let hosts: Vec<String> = (0..MANY).map(|n| host(&format!("s-{n}"), 1000 + n)).collect();
        // The whole list in pieces that end anywhere.
        for piece in indented(&list(2, true, &hosts.join(","))).as_bytes().chunks(700) {
            send_chunk(&mut stream, std::str::from_utf8(piece).expect("text"));
        }
        send_chunk(&mut stream, "\n");
        // All of them but one leave, a change for each, some of them indented and some in one piece with the next.
        let mut changes = String::new();
        for (n, host) in (0..MANY - 1).zip(&hosts) {
            let change = list(3 + u64::from(n), false, &host.replace("in_service", "terminating"));
            changes += &if n % 2 == 0 { indented(&change) } else { change };
        }
        send_chunk(&mut stream, &changes);
        stream.shutdown(std::net::Shutdown::Write).expect("the node reads");
        let mut again = agent.accept().expect("the node comes again").0;
        assert_eq!(
            read_request_target(&mut again),
            format!("/registry/instances?watch=1&after={}", 2 + u64::from(MANY - 1))
        );
    });
    assert_eq!(engine.counters.worker_lists.get(), u64::from(MANY));
    assert_eq!(counted(&engine), [1, usize::from(MANY) - 1]);
}

/// After a list that breaks off a whole one is asked for, and it may come indented too.
#[test]
fn a_whole_list_that_is_fetched_may_be_indented() {
    let engine = watched(|agent| {
        let next = || agent.accept().expect("the node comes").0;
        let mut stream = next();
        read_request_target(&mut stream);
        stream.write_all(CHUNKED_RESPONSE_HEAD.as_bytes()).expect("the node reads");
        // A state that no executor has: the old list stays in force.
        send_chunk(&mut stream, &indented(&list(2, true, &host("s-9", 9).replace("in_service", "odd"))));
        let mut stream = next();
        assert_eq!(read_request_target(&mut stream), "/registry/instances");
        let hosts: Vec<String> = (0..MANY).map(|n| host(&format!("s-{n}"), 1000 + n)).collect();
        let whole = indented(&list(3, true, &hosts.join(",")));
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{whole}", whole.len());
        stream.write_all(head.as_bytes()).expect("the node reads");
        assert_eq!(read_request_target(&mut stream), "/registry/instances?watch=1&after=3");
    });
    assert_eq!(counted(&engine), [usize::from(MANY), 0]);
}

/// Where lists are pushed, what the agent has counts as told: a node that waits after a silence sends to what drains.
#[test]
fn a_silent_agent_is_asked_anew_within_a_second_and_any_ask_may_be_answered() {
    for answered in [0, 2] {
        let engine = watched(move |agent| {
            // A busy machine has some time to spare; one ask at a time would take 3 s each.
            let begun = Instant::now();
            let mut asks: Vec<TcpStream> = Vec::new();
            for _ in 0..3 {
                let mut stream = agent.accept().expect("the node comes").0;
                assert_eq!(read_request_target(&mut stream), "/registry/instances?watch=1&after=1");
                asks.push(stream);
            }
            assert!(begun.elapsed() < Duration::from_millis(2_900), "{:?}", begun.elapsed());
            let mut stream = asks.remove(answered);
            stream.write_all(CHUNKED_RESPONSE_HEAD.as_bytes()).expect("the node reads");
            send_chunk(&mut stream, &list(2, false, &host("s-2", 2)));
            // The others are given up.
            for mut ask in asks {
                assert!(matches!(ask.read(&mut [0]), Ok(0) | Err(_)));
            }
            // A watch that breaks off is asked for again soon, however often.
            drop(stream);
            for n in 2..8 {
                let begun = Instant::now();
                let mut stream = agent.accept().expect("the node comes").0;
                assert_eq!(read_request_target(&mut stream), "/registry/instances?watch=1&after=2");
                assert!(begun.elapsed() < Duration::from_secs(2), "{n}: {:?}", begun.elapsed());
            }
        });
        assert_eq!(engine.counters.worker_lists.get(), 1);
    }
}

/// Where the list is asked for, what a watch misses counts as told 6 s after it fell silent. One that spoke after asks
/// that failed, and falls silent 3 s long, is asked for again a second later at most, however long the pauses had become.
#[test]
fn a_watch_that_is_asked_for_and_falls_silent_does_not_pay_for_asks_that_failed_before() {
    const SECOND: Duration = Duration::from_secs(1);
    // Pauses drawn so that the first is short, and the second long unless the bound has begun anew.
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
    let engine = watched_by(fixtures::configured(&text), |agent| {
        let next = || agent.accept().expect("the node comes").0;
        let mut refused = next();
        read_request_target(&mut refused);
        refused.write_all(b"HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n").expect("the node reads");
        let mut spoke = next();
        assert_eq!(read_request_target(&mut spoke), "/registry/instances?watch=1&after=1");
        spoke.write_all(CHUNKED_RESPONSE_HEAD.as_bytes()).expect("the node reads");
        send_chunk(&mut spoke, &list(2, false, &host("s-2", 2)));
        let silent = Instant::now();
        assert_eq!(read_request_target(&mut next()), "/registry/instances?watch=1&after=2");
        let anew = silent.elapsed();
        assert!(anew >= 3 * SECOND && anew < 5 * SECOND, "asked for again after {anew:?}");
    });
    assert_eq!(engine.counters.worker_lists.get(), 1);
}

/// What came of a line counts for nothing until the line is whole, also where the rest never comes.
#[test]
fn a_watch_that_falls_silent_in_the_middle_of_a_line_is_asked_for_again_from_where_it_was() {
    let engine = watched(|agent| {
        let next = || agent.accept().expect("the node comes").0;
        let mut torn = next();
        assert_eq!(read_request_target(&mut torn), "/registry/instances?watch=1&after=1");
        torn.write_all(CHUNKED_RESPONSE_HEAD.as_bytes()).expect("the node reads");
        let line = list(2, false, &host("s-1", 7).replace("in_service", "terminating"));
        let half = &line[..line.len() / 2];
        torn.write_all(format!("{:x}\r\n{half}", line.len()).as_bytes()).expect("the node reads");
        let silent = Instant::now();
        let mut whole = next();
        assert_eq!(read_request_target(&mut whole), "/registry/instances?watch=1&after=1");
        assert!(silent.elapsed() < Duration::from_secs(5), "{:?}", silent.elapsed());
        // The rest of the old line comes now: nobody listens to that any more.
        let _ = torn.write_all(format!("{}\r\n", &line[line.len() / 2..]).as_bytes());
        whole.write_all(CHUNKED_RESPONSE_HEAD.as_bytes()).expect("the node reads");
        send_chunk(&mut whole, &list(3, false, &host("s-2", 2)));
        assert!(matches!(torn.read(&mut [0]), Ok(0) | Err(_)), "the old one was ended");
        drop(whole);
        assert_eq!(read_request_target(&mut next()), "/registry/instances?watch=1&after=3");
    });
    assert_eq!(engine.counters.worker_lists.get(), 1);
    assert_eq!(counted(&engine), [2, 0], "the drain was never told whole");
}

/// A list that comes a byte at a time, and would take half a minute, tells nothing: it is asked for again after 6 s, and not
/// before, as one that is merely slow must have its time.
#[test]
fn a_list_that_trickles_is_asked_for_again() {
    let engine = watched(|agent| {
        let mut torn = agent.accept().expect("the node comes").0;
        assert_eq!(read_request_target(&mut torn), "/registry/instances?watch=1&after=1");
        torn.write_all(CHUNKED_RESPONSE_HEAD.as_bytes()).expect("the node reads");
        let line = list(2, false, &host("s-1", 7).replace("in_service", "terminating"));
        let (comes, came) = std::sync::mpsc::channel();
        let again = std::thread::spawn(move || comes.send(agent.accept().expect("the node comes").0));
        let begun = Instant::now();
        let mut bytes = line.bytes();
        let mut next = loop {
            match came.recv_timeout(Duration::from_millis(500)) {
                Ok(next) => break next,
                Err(_) => {
                    let byte = bytes.next().expect("the node comes long before the end") as char;
                    torn.write_all(format!("1\r\n{byte}\r\n").as_bytes()).expect("the node reads");
                }
            }
        };
        let took = begun.elapsed();
        assert!(took >= Duration::from_secs(6) && took < Duration::from_secs(9), "{took:?}");
        assert_eq!(read_request_target(&mut next), "/registry/instances?watch=1&after=1");
        again.join().expect("a thread").expect("it was awaited");
    });
    assert_eq!((engine.counters.worker_lists.get(), counted(&engine)), (0, [1, 0]));
}
