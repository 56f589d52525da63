//! A node among a thousand, with a thousand executors in its list, within the least memory and descriptors.

use sorrelhaven_test_support::{
    CHUNKED_RESPONSE_HEAD, FakeWorkers, Program, RefusingPort, ScratchDir, TestRequest, read_request_target,
    send_chunk,
};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::thread;

const EXECUTORS: usize = 1025;
const WORDS: usize = 1025;
const MEMORY_KB: u64 = 32 * 1024;

/// An entry of the list; the executors share the boxes' addresses, each with links of its own.
fn host(n: usize, boxes: &[SocketAddr], health: &str) -> String {
    let dial = boxes[n % boxes.len()];
    format!(
        r#"{{"host":"s-{n:08x}","dial":"{dial}","site":"zone-{}","class":"kind-{}","block":{n},"health":"{health}","share":1.0,"born_ms":0}}"#,
        n % WORDS,
        n % WORDS,
    )
}

fn list(seq: usize, whole: bool, hosts: &[String]) -> String {
    format!(r#"{{"seq":{seq},"whole":{whole},"hosts":[{}]}}"#, hosts.join(","))
}

/// Laid out over many lines, as deep as printers go.
fn indented(list: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(list).expect("a list");
    let mut text = Vec::new();
    let format = serde_json::ser::PrettyFormatter::with_indent(b"        ");
    let mut writer = serde_json::Serializer::with_formatter(&mut text, format);
    serde::Serialize::serialize(&value, &mut writer).expect("text");
    String::from_utf8(text).expect("text") + "\n"
}

fn config(boxes: &[SocketAddr], discovery: SocketAddr) -> String {
    let words = |word: &str| -> String {
        (0..WORDS).map(|n| format!("\"{word}-{n}\"")).collect::<Vec<_>>().join(",")
    };
    let known: Vec<String> = (0..EXECUTORS).map(|n| host(n, boxes, "in_service")).collect();
    format!(
        r#"{{"name":"n1023","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"1f",
            "limits":{{"sockets":256,"memory_mb":32}},"known":{},
            "settings":{{"balancers":1024,"me":1023,"zone":3,"zones":[{}],"kinds":[{}],
                "ceilings":{{"maxAttempts":3,"dialTimeout":250000,"cancel":true}},
                "invariants":{{"cold":24000000,"fall":1000000,"overloadFactor":3.0,"startCapacity":0.12}},
                "familyInfo":{{"tellsStart":true}},
                "grades":[{{"name":"fee-charge","aim":300000,"deadline":5000000,"lateValue":0.5,
                    "effect":"at_most_once"}}]}}}}"#,
        list(1, true, &known),
        words("zone"),
        words("kind"),
    )
}

/// Takes one ask of the node and opens the answer to it.
fn opened(agent: &TcpListener) -> TcpStream {
    let mut stream = agent.accept().expect("the node asks").0;
    read_request_target(&mut stream);
    stream.write_all(CHUNKED_RESPONSE_HEAD.as_bytes()).expect("the node reads");
    stream
}

/// What the system says of the process, by a key of its status.
fn status(node: &Program, key: &str) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{}/status", node.child.id())).expect("it lives");
    let line = text.lines().find_map(|l| l.strip_prefix(key)).expect("the key");
    line.trim_matches(|c: char| !c.is_ascii_digit()).parse().expect("a figure")
}

/// The whole list is known from the start, comes again indented, and then a change for each executor: all but one
/// leave, then all are back. Jobs are answered through all of it.
#[test]
fn a_node_among_1024_with_1025_executors_keeps_to_32_mb_and_256_descriptors() {
    let boxes = FakeWorkers::new(8).addresses;
    let agent = TcpListener::bind("127.0.0.1:0").expect("a port");
    let scratch = ScratchDir::new("many");
    let file = scratch.write("node.json", &config(&boxes, agent.local_addr().expect("its address")));
    let mut command = Command::new("sh");
    // Its log is read at the end only, so it must not hold a line for each list.
    command.args(["-c", "ulimit -n 256; exec \"$0\"", env!("CARGO_BIN_EXE_sorrelhaven")]);
    command.env("RUST_LOG", "info,sorrelhaven_engine::host_group=warn");
    command.env("RELAY_OPS", "127.0.0.1:0");
    let node = Program::start(command, &file, None);
    let asks = |from: usize, to: usize| {
        for n in from..to {
            let ask = TestRequest {
                hint: Some(20_000),
                ..TestRequest::new(&format!("q-{n}"), "fee-charge", b"body".to_vec())
            };
            let reply = ask.send(&node.address).expect("an answer");
            assert_eq!(reply.status, 200, "{n}: {}", reply.body);
        }
    };
    asks(0, 100);
    let mut watch = opened(&agent);
    let hosts = |health: &str| -> Vec<String> { (0..EXECUTORS).map(|n| host(n, &boxes, health)).collect() };
    send_chunk(&mut watch, &indented(&list(2, true, &hosts("in_service"))));
    let mut seq = 2;
    for (first, health, skipped) in [(1, "terminating", EXECUTORS - 1), (0, "in_service", 0)] {
        for host in &hosts(health)[first..] {
            seq += 1;
            let change = list(seq, false, std::slice::from_ref(host));
            send_chunk(&mut watch, &if seq % 3 == 0 { indented(&change) } else { change + "\n" });
        }
        while node.shown("node_skipped_executors") != skipped as u64 {
            thread::yield_now();
        }
        assert_eq!(node.shown("node_known_executors"), EXECUTORS as u64);
        asks(seq, seq + 100);
    }
    // A list with one wrong entry is named, changes nothing, and the whole one is asked for.
    let mut wrong = hosts("terminating");
    wrong[700] = wrong[700].replace("terminating", "asleep");
    send_chunk(&mut watch, &indented(&list(seq + 1, true, &wrong)));
    let mut fetched = opened(&agent);
    send_chunk(&mut fetched, &indented(&list(seq + 2, true, &hosts("in_service"))));
    asks(0, 100);
    assert_eq!(node.shown("node_skipped_executors"), 0);
    let open = std::fs::read_dir(format!("/proc/{}/fd", node.child.id())).expect("it lives").count();
    assert!(open < 256, "{open} descriptors");
    let most = status(&node, "VmHWM:");
    println!("{most} KiB at most, {open} descriptors");
    assert!(most < MEMORY_KB, "{most} KiB");
    let log = node.end();
    let named = log.lines().filter(|l| l.contains("hosts[700].health") && l.contains("asleep")).count();
    assert_eq!(named, 1, "{log}");
}

/// A node starts with a list of which four in five are gone, and discovery says nothing yet: each request has an answer at
/// once, served or refused unrun, until the node has learned who is there; then all are served. The true list ends it.
#[test]
fn a_known_list_that_is_mostly_gone_is_answered_from_and_put_right() {
    let boxes = FakeWorkers::new(4);
    let agent = TcpListener::bind("127.0.0.1:0").expect("a port");
    // Ports that are held and not listened at refuse every link, and nobody else can have them meanwhile.
    let gone: Vec<_> = (0..16).map(|_| RefusingPort::new().expect("a port")).collect();
    let live = boxes.addresses.iter().copied();
    let known: Vec<SocketAddr> = gone.iter().map(|g| g.address).chain(live).collect();
    let entry = |(n, dial): (usize, &SocketAddr)| {
        format!(r#"{{"host":"s-{n}","dial":"{dial}","health":"in_service"}}"#)
    };
    let hosts: Vec<String> = known.iter().enumerate().map(entry).collect();
    let config = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{}","seed":"1f","known":{},
            "settings":{{"balancers":1,"ceilings":{{"maxAttempts":3,"dialTimeout":250000}},"invariants":{{}},
                "familyInfo":{{"tellsStart":true}},
                "grades":[{{"name":"fee","aim":300000,"deadline":5000000,"effect":"at_most_once"}}]}}}}"#,
        agent.local_addr().expect("its address"),
        list(1, true, &hosts)
    );
    let scratch = ScratchDir::new("stale");
    let command = Command::new(env!("CARGO_BIN_EXE_sorrelhaven"));
    let mut node = Program::start(command, &scratch.write("node.json", &config), None);
    let mut watch = opened(&agent);
    let address = node.address.clone();
    let served = |from: usize, to: usize| {
        let statuses = (from..to).map(|n| {
            let ask = TestRequest::new(&format!("q-{n}"), "fee", b"body".to_vec());
            let reply = ask.send(&address).expect("an answer");
            assert!([200, 503].contains(&reply.status), "{n}: {}", reply.status);
            // What is refused never ran.
            assert_eq!(boxes.runs_of(&ask.id).len(), usize::from(reply.status == 200), "{n}");
            assert!(reply.took.as_millis() < 1_000, "{n}: {:?}", reply.took);
            reply.status == 200
        });
        statuses.filter(|served| *served).count()
    };
    let (learning, learned) = (served(0, 30), served(30, 60));
    let failed = node.figure("connect_failed");
    println!("{learning} of the first 30 served, {learned} of the next, {failed} links refused");
    assert!(learning >= 15 && learned == 30, "{learning} of the first 30 served, {learned} of the next");
    assert!((1..=64).contains(&failed), "{failed} links refused");
    send_chunk(&mut watch, &(list(2, true, &hosts[16..]) + "\n"));
    node.line("workers=4");
    assert_eq!(
        (served(60, 90), node.figure("connect_failed")),
        (30, failed),
        "nothing goes to those that are gone"
    );
    node.end();
}
