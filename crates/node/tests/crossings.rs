//! Moments at which two things cross, each forced: one side is held until the other was seen to have acted. The rows of
//! `docs/attempt-ends.md` name these tests.

use sorrelhaven_test_support::{
    CHUNKED_RESPONSE_HEAD, Program, ScratchDir, StalledListener, TestRequest, TestResponse, chunk,
    read_request_target, reset_connection, send_chunk,
};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::time::{Duration, Instant};

/// Far more than anything here takes: a test that waits in vain must end.
const BOUND: Duration = Duration::from_secs(20);

/// A node that knows one executor, `s-1` at `dial`, and where attempts may be called off or not.
fn node(dial: SocketAddr, discovery: SocketAddr, cancel: bool, name: &str) -> (Program, ScratchDir) {
    let text = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"1f",
            "known":{{"seq":1,"hosts":[{}]}},
            "settings":{{"balancers":1,"ceilings":{{"maxAttempts":3,"dialTimeout":15000000,"cancel":{cancel}}},
                "invariants":{{"drainGrace":1000000}},"familyInfo":{{"tellsStart":true}},
                "grades":[{{"name":"safe","aim":200000,"deadline":5000000,"lateValue":0.5,"effect":"idempotent"}},
                    {{"name":"once","aim":200000,"deadline":5000000,"lateValue":0.5,"effect":"at_most_once"}},
                    {{"name":"drops","aim":200000,"deadline":5000000,"lateValue":0.5,"effect":"deduplicated",
                        "dedupScope":"all","repeatWindow":{WINDOW}}}]}}}}"#,
        host(dial, "in_service")
    );
    let scratch = ScratchDir::new(name);
    let command = Command::new(env!("CARGO_BIN_EXE_sorrelhaven"));
    let program = Program::start(command, &scratch.write("node.json", &text), None);
    (program, scratch)
}

/// For so long executors drop a repeat of class `drops`, in microseconds.
const WINDOW: u64 = 1_500_000;

fn host(dial: SocketAddr, health: &str) -> String {
    format!(r#"{{"host":"s-1","dial":"{dial}","health":"{health}"}}"#)
}

fn nowhere() -> SocketAddr {
    "127.0.0.1:1".parse().expect("an address")
}

fn listener() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("its address");
    (listener, address)
}

/// A client that has sent its request, all of it.
fn asked(node: &Program, id: &str, class: &str, patience: u64) -> TcpStream {
    let mut stream = TcpStream::connect(&node.address).expect("it listens");
    ask_on(&mut stream, id, class, patience).expect("it reads");
    stream
}

/// Sends a request on an open link, all of it.
fn ask_on(stream: &mut TcpStream, id: &str, class: &str, patience: u64) -> std::io::Result<()> {
    let mut ask = TestRequest::new(id, class, b"body".to_vec());
    ask.patience = Duration::from_millis(patience);
    stream.set_read_timeout(Some(BOUND)).expect("a socket");
    stream.write_all((ask.head() + "body").as_bytes())
}

/// Waits until one of the node's counters has come to this.
fn until(node: &mut Program, name: &str, count: u64) {
    let begun = Instant::now();
    while node.figure(name) < count {
        assert!(begun.elapsed() < BOUND, "{name} never came to {count}");
    }
}

/// What connects to an executor next.
fn accept(listener: &TcpListener) -> TcpStream {
    let begun = Instant::now();
    listener.set_nonblocking(true).expect("a listener");
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).expect("a socket");
                return stream;
            }
            Err(_) => assert!(begun.elapsed() < BOUND, "nobody connects"),
        }
        std::thread::yield_now();
    }
}

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
enum Leaves {
    ByClose,
    ByReset,
    /// Behind more than the node reads ahead.
    BehindMuch,
}

const WAYS: [Leaves; 3] = [Leaves::ByClose, Leaves::ByReset, Leaves::BehindMuch];

/// Has a client leave, and waits until the node has seen it.
fn leave(node: &mut Program, mut client: TcpStream, way: Leaves, before: u64) {
    if matches!(way, Leaves::BehindMuch) {
        client.write_all(&[b'x'; 40_000]).expect("the system takes it");
    }
    match way {
        Leaves::ByReset => reset_connection(client),
        Leaves::ByClose | Leaves::BehindMuch => drop(client),
    }
    let begun = Instant::now();
    while node.figure("client_gone") == before {
        assert!(
            begun.elapsed() < Duration::from_secs(5),
            "the node does not see that its client left {way:?}"
        );
    }
}

/// The head and body of the next request that comes to an executor; `None` where the node ends the connection.
fn next(stream: &mut TcpStream) -> Option<String> {
    stream.set_read_timeout(Some(BOUND)).expect("a socket");
    let mut got = Vec::new();
    while !got.ends_with(b"\r\n\r\nbody") {
        let mut byte = [0];
        match stream.read(&mut byte) {
            Ok(1) => got.push(byte[0]),
            Ok(_) => break,
            Err(e) if matches!(e.kind(), ErrorKind::ConnectionReset) => break,
            Err(e) => panic!("nothing came: {e}"),
        }
    }
    (!got.is_empty()).then(|| String::from_utf8(got).expect("text"))
}

/// The first request that comes to an executor on any connection, and the connection.
fn first(listener: &TcpListener) -> (String, TcpStream) {
    loop {
        let mut stream = accept(listener);
        if let Some(request) = next(&mut stream) {
            return (request, stream);
        }
    }
}

fn done(id: &str) -> String {
    let line = format!("{{\"id\":\"{id}\",\"state\":\"done\",\"result\":\"fine\"}}\n");
    format!("{CHUNKED_RESPONSE_HEAD}{}0\r\n\r\n", chunk(&line))
}

/// The watch of a node, open.
fn watch(agent: &TcpListener) -> TcpStream {
    let mut stream = accept(agent);
    stream.set_read_timeout(Some(BOUND)).expect("a socket");
    read_request_target(&mut stream);
    stream.write_all(CHUNKED_RESPONSE_HEAD.as_bytes()).expect("the node reads");
    stream
}

fn tell(watch: &mut TcpStream, seq: u64, host: &str) {
    let list = format!("{{\"seq\":{seq},\"whole\":false,\"hosts\":[{host}]}}\n");
    send_chunk(watch, &list);
}

/// A link takes its time to come up, and the client leaves meanwhile: nothing is sent for it, also where attempts can't
/// be called off. The link carries the next request instead.
#[test]
fn a_client_that_leaves_while_its_link_comes_up_is_not_sent_on() {
    let held = StalledListener::new().expect("a listener");
    let (mut node, _scratch) = node(held.address, nowhere(), false, "connecting");
    let clients: Vec<TcpStream> =
        (0..WAYS.len()).map(|n| asked(&node, &format!("gone-{n}"), "safe", 30_000)).collect();
    for (n, (client, way)) in clients.into_iter().zip(WAYS).enumerate() {
        leave(&mut node, client, way, n as u64);
    }
    assert_eq!(node.figure("client_gone_waiting"), 3);
    let executor = held.release().expect("a listener");
    let mut client = asked(&node, "stays", "safe", 30_000);
    let (request, mut link) = first(&executor);
    assert!(request.contains("Request-Id: stays\r\n"), "{request}");
    link.write_all(done("stays").as_bytes()).expect("the node reads");
    assert_eq!(TestResponse::read(&mut client, Instant::now()).expect("an answer").status, 200);
    assert_eq!((node.figure("sent_after_client_gone"), node.figure("requests_sent")), (0, 1));
}

/// An executor is told to leave while a link to it comes up: nothing is sent on that link.
#[test]
fn an_executor_that_leaves_while_its_link_comes_up_gets_nothing_new() {
    let held = StalledListener::new().expect("a listener");
    let (agent, discovery) = listener();
    let (mut node, _scratch) = node(held.address, discovery, true, "leaving");
    let mut watch = watch(&agent);
    let mut client = asked(&node, "held", "once", 4_000);
    // It is on its way, as one execution.
    until(&mut node, "upstream_connections", 1);
    tell(&mut watch, 2, &host(held.address, "terminating"));
    until(&mut node, "worker_lists", 1);
    let executor = held.release().expect("a listener");
    let mut link = accept(&executor);
    assert_eq!(next(&mut link), None, "nothing comes, and the link ends");
    // It has never run: it is throttled, as there is no other to send it to.
    assert_eq!(TestResponse::read(&mut client, Instant::now()).expect("an answer").status, 503);
    assert_eq!((node.figure("connect_failed"), node.figure("requests_sent")), (1, 0));
}

/// A request waits in the node, as no executor takes work; its client leaves, and then there is one.
#[test]
fn a_client_that_leaves_while_its_request_is_held_is_not_sent_on() {
    let (executor, dial) = listener();
    let (agent, discovery) = listener();
    let (mut node, _scratch) = node(dial, discovery, false, "held");
    let mut watch = watch(&agent);
    tell(&mut watch, 2, &host(dial, "terminating"));
    until(&mut node, "worker_lists", 1);
    for (n, way) in WAYS.into_iter().enumerate() {
        let client = asked(&node, &format!("gone-{n}"), "safe", 30_000);
        until(&mut node, "admitted", n as u64 + 1);
        leave(&mut node, client, way, n as u64);
    }
    tell(&mut watch, 3, &host(dial, "in_service"));
    let _client = asked(&node, "stays", "safe", 30_000);
    let (request, _) = first(&executor);
    assert!(request.contains("Request-Id: stays\r\n"), "{request}");
    assert_eq!((node.figure("client_gone_waiting"), node.figure("attempts")), (3, 1));
}

/// A client sends its request and leaves before the node has read any of it.
#[test]
fn a_client_that_leaves_before_its_request_is_read_is_not_sent_on() {
    let (executor, dial) = listener();
    let (mut node, _scratch) = node(dial, nowhere(), false, "unread");
    node.signal("STOP");
    drop(asked(&node, "gone", "safe", 30_000));
    node.signal("CONT");
    until(&mut node, "client_gone", 1);
    let _client = asked(&node, "stays", "safe", 30_000);
    let (request, _) = first(&executor);
    assert!(request.contains("Request-Id: stays\r\n"), "{request}");
}

/// A client that sends much behind its request and goes is seen to have gone, and its executor freed.
#[test]
fn a_client_that_sends_much_and_goes_withdraws_its_execution() {
    for way in [Leaves::BehindMuch, Leaves::ByReset] {
        let (executor, dial) = listener();
        let (mut node, _scratch) = node(dial, nowhere(), true, "much");
        let mut client = asked(&node, "gone", "safe", 60_000);
        let (_, mut link) = first(&executor);
        client.write_all(&[b'x'; 40_000]).expect("the system takes it");
        leave(&mut node, client, way, 0);
        assert_eq!(next(&mut link), None, "the node ends the link");
        assert_eq!((node.figure("cancelled"), node.figure("client_gone_waiting")), (1, 0));
    }
}

/// SIGTERM finds a request half read. What comes of it more than 0.7 s later must be answered before SIGKILL may come,
/// whatever its client allows and its executor does; a second signal and a reload change nothing.
#[test]
fn a_request_that_is_whole_late_after_sigterm_is_answered_before_the_node_may_be_killed() {
    let (executor, dial) = listener();
    let (mut node, scratch) = node(dial, nowhere(), true, "late");
    let mut early = asked(&node, "early", "once", 5_000);
    let (_, mut early_link) = first(&executor);
    let started = "{\"id\":\"early\",\"state\":\"started\"}\n";
    let started = format!("{CHUNKED_RESPONSE_HEAD}{}", chunk(started));
    early_link.write_all(started.as_bytes()).expect("the node reads");
    let mut ask = TestRequest::new("late", "once", b"body".to_vec());
    ask.patience = Duration::from_secs(30);
    let mut late = TcpStream::connect(&node.address).expect("it listens");
    late.set_read_timeout(Some(BOUND)).expect("a socket");
    late.write_all((ask.head() + "bo").as_bytes()).expect("it reads");
    node.signal("TERM");
    let told = Instant::now();
    node.line("shutdown requested");
    node.signal("HUP");
    node.line("configuration reloaded");
    node.signal("TERM");
    node.line("shutdown requested");
    // Idle links are closed, nobody new is accepted, and the time is over in which what comes may be cut off.
    node.line("stopped accepting connections");
    while told.elapsed() < Duration::from_millis(800) {
        std::thread::yield_now();
    }
    late.write_all(b"dy").expect("it reads on");
    let (request, _late_link) = first(&executor);
    assert!(request.contains("Request-Id: late\r\n"), "{request}");
    // Its executor says nothing. It may have run, so it fails, and in time.
    let reply = TestResponse::read(&mut late, told).expect("an answer");
    assert_eq!((reply.status, reply.close), (502, true));
    assert!(told.elapsed() < Duration::from_millis(3_700), "{:?}", told.elapsed());
    early_link
        .write_all(done("early").trim_start_matches(CHUNKED_RESPONSE_HEAD).as_bytes())
        .expect("the node reads");
    assert_eq!(TestResponse::read(&mut early, told).expect("an answer").status, 200);
    assert!(node.child.wait().expect("it ends").success());
    drop(scratch);
}

/// Executors that say something without a pause, in lines, in empty lines, after their answer or behind its end, do not
/// keep the node from others.
#[test]
fn an_answer_that_never_ends_keeps_no_one_waiting() {
    let line = |text: &str| format!("{:x}\r\n{text}\r\n", text.len());
    let running = line("{\"id\":\"flood\",\"state\":\"running\",\"share\":0.5}\n");
    let cases = [
        (CHUNKED_RESPONSE_HEAD.to_string(), running.clone(), 502),
        (CHUNKED_RESPONSE_HEAD.to_string(), line("\n"), 502),
        (done("flood").replace("0\r\n\r\n", ""), running, 200),
        (done("flood").replace("0\r\n\r\n", "0\r\n"), "X: y\r\n".to_string(), 200),
    ];
    for (begin, flood, status) in cases {
        let (executor, dial) = listener();
        let (node, _scratch) = node(dial, nowhere(), true, "flood");
        let mut client = asked(&node, "flood", "once", 2_000);
        let (_, mut link) = first(&executor);
        let flooding = std::thread::spawn(move || {
            let much = flood.repeat(10_000);
            let _ = link.write_all(begin.as_bytes());
            while link.write_all(much.as_bytes()).is_ok() {}
        });
        let reply = TestResponse::read(&mut client, Instant::now()).expect("an answer");
        assert_eq!(reply.status, status);
        let begun = Instant::now();
        let mut ready = TcpStream::connect(&node.address).expect("it listens");
        ready.set_read_timeout(Some(BOUND)).expect("a socket");
        ready.write_all(b"GET /health/ready HTTP/1.1\r\n\r\n").expect("it reads");
        assert_eq!(TestResponse::read(&mut ready, begun).expect("an answer").status, 200);
        // The node gives such a link up, and with it whoever floods.
        flooding.join().expect("the flood ends");
        assert!(begun.elapsed() < Duration::from_secs(10), "{:?}", begun.elapsed());
    }
}

/// An executor turns a request away unstarted, and its client leaves in the pause before another attempt: the executor's
/// next request is another's.
#[test]
fn a_client_that_leaves_between_two_attempts_is_not_sent_on() {
    for way in WAYS {
        let (executor, dial) = listener();
        let (mut node, _scratch) = node(dial, nowhere(), false, "between");
        let client = asked(&node, "gone", "once", 30_000);
        let (request, mut link) = first(&executor);
        assert!(request.contains("Request-Id: gone\r\n"), "{request}");
        let busy = "HTTP/1.1 503 Busy\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";
        link.write_all(busy.as_bytes()).expect("the node reads");
        // It is held now: its one executor is not asked again at once.
        until(&mut node, "worker_rejected", 1);
        leave(&mut node, client, way, 0);
        // A class that was not turned away is not kept waiting.
        let mut stays = asked(&node, "stays", "safe", 30_000);
        let request = next(&mut link).expect("the kept link carries the next request");
        assert!(request.contains("Request-Id: stays\r\n"), "{request}");
        link.write_all(done("stays").as_bytes()).expect("the node reads");
        assert_eq!(TestResponse::read(&mut stays, Instant::now()).expect("an answer").status, 200);
        assert_eq!(
            (node.figure("attempts"), node.figure("sent_after_client_gone"), node.figure("in_progress")),
            (2, 0, 0)
        );
    }
}

/// SIGTERM comes while a link to the executor comes up: the request is sent on and served, and then the node ends.
#[test]
fn a_request_whose_link_comes_up_after_sigterm_is_served() {
    let held = StalledListener::new().expect("a listener");
    let (mut node, _scratch) = node(held.address, nowhere(), true, "term-connect");
    let mut client = asked(&node, "held", "once", 5_000);
    until(&mut node, "upstream_connections", 1);
    node.signal("TERM");
    node.line("shutdown requested");
    let executor = held.release().expect("a listener");
    let (request, mut link) = first(&executor);
    assert!(request.contains("Request-Id: held\r\n"), "{request}");
    link.write_all(done("held").as_bytes()).expect("the node reads");
    let reply = TestResponse::read(&mut client, Instant::now()).expect("an answer");
    assert_eq!((reply.status, reply.close), (200, true));
    assert!(node.child.wait().expect("it ends").success());
}

/// A client goes on sending on its open links while the node ends. What comes before a link's last answer is answered,
/// on the link that it came on; what crosses the end of a link is never sent on, so that the client may send it again.
#[test]
fn what_crosses_the_end_of_a_client_link_is_not_sent_on() {
    let (executor, dial) = listener();
    let (mut node, _scratch) = node(dial, nowhere(), true, "crosses");
    let (mut client, mut resting) =
        (asked(&node, "one", "once", 5_000), TcpStream::connect(&node.address).expect("it listens"));
    let (_, mut link) = first(&executor);
    link.write_all(done("one").as_bytes()).expect("the node reads");
    assert_eq!(TestResponse::read(&mut client, Instant::now()).expect("an answer").status, 200);
    let ask = |stream: &mut TcpStream, id: &str| ask_on(stream, id, "once", 5_000);
    ask(&mut resting, "two").expect("it reads");
    assert!(next(&mut link).expect("the kept link carries it").contains("Request-Id: two\r\n"));
    link.write_all(done("two").as_bytes()).expect("the node reads");
    assert_eq!(TestResponse::read(&mut resting, Instant::now()).expect("an answer").status, 200);
    node.signal("TERM");
    node.line("shutdown requested");
    // The link is still open: taken, and answered as the last one on it.
    ask(&mut client, "three").expect("it reads");
    assert!(next(&mut link).expect("it is sent on").contains("Request-Id: three\r\n"));
    // Behind it, before its answer: on a link that ends with that answer it is not read.
    ask(&mut client, "four").expect("the system takes it");
    link.write_all(done("three").as_bytes()).expect("the node reads");
    let reply = TestResponse::read(&mut client, Instant::now()).expect("an answer");
    assert_eq!((reply.status, reply.close), (200, true));
    // The one that rests is ended by the node; what was written to it in that moment meets a closed link.
    let mut end = [0];
    assert!(matches!(resting.read(&mut end), Ok(0) | Err(_)), "the resting link ends");
    let _ = ask(&mut resting, "five");
    let counters = node.line("admitted=");
    assert!(counters.contains("admitted=3 served=3 ") && counters.contains("attempts=3 "), "{counters}");
    assert!(node.child.wait().expect("it ends").success());
}

/// Executors drop a repeat for a stated time. One that was begun within it, on a link that comes up after it, would run
/// twice: it is not written, and its client hears in time that it may try again.
#[test]
fn a_repeat_whose_link_comes_up_after_its_window_is_not_sent() {
    let (executor, dial) = listener();
    let held = StalledListener::new().expect("a listener");
    let (agent, discovery) = listener();
    let (mut node, _scratch) = node(dial, discovery, true, "window");
    let mut watch = watch(&agent);
    let begun = Instant::now();
    let mut client = asked(&node, "twice", "drops", 30_000);
    let (_, link) = first(&executor);
    tell(
        &mut watch,
        2,
        &format!("{},{}", host(dial, "terminating"), host(held.address, "in_service").replace("s-1", "s-2")),
    );
    until(&mut node, "worker_lists", 1);
    // It may have run; the other executor is tried, where connections do not come up.
    reset_connection(link);
    until(&mut node, "upstream_connections", 2);
    let reply = TestResponse::read(&mut client, begun).expect("an answer");
    assert_eq!(reply.status, 503, "a repeat is harmless where it is dropped everywhere");
    assert!(reply.took < Duration::from_secs(5), "{:?}", reply.took);
    let executor = held.release().expect("a listener");
    let _client = asked(&node, "stays", "safe", 30_000);
    let (request, _link) = first(&executor);
    assert!(request.contains("Request-Id: stays\r\n"), "{request}");
    assert_eq!((node.figure("reset"), node.figure("not_sent")), (1, 1));
}
