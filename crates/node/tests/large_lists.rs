//! Worker lists of a thousand entries on a node with the smallest limit on memory and with 256 descriptors,
//! and a known list that is mostly out of date at the start.

use sorrelhaven_test_support::{
    FakeWorkers, Program, RefusingPort, ScratchDir, TestRequest, begin_chunked_response, open_listener,
    send_chunk, worker_list,
};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::Range;
use std::process::Command;
use std::thread;

const WORKERS: usize = 1025;
/// Number of zones, and of worker kinds, in the settings.
const NAME_COUNT: usize = 1025;
const MEMORY_LIMIT_KIB: u64 = 32 * 1024;
const DESCRIPTOR_LIMIT: usize = 256;

/// An entry of the worker list. Workers share these few addresses, but the node keeps separate connections
/// for each worker.
fn entry(number: usize, addresses: &[SocketAddr], health: &str) -> String {
    let dial = addresses[number % addresses.len()];
    let name = number % NAME_COUNT;
    format!(
        r#"{{"host":"s-{number:08x}","dial":"{dial}","site":"zone-{name}","class":"kind-{name}","block":{number},"health":"{health}","share":1.0,"born_ms":0}}"#
    )
}

/// Formats a worker list as JSON with line breaks and an indentation of 8 spaces, as some JSON writers do.
fn indented(list: &str) -> String {
    let value: serde_json::Value = serde_json::from_str(list).expect("the list is JSON");
    let mut text = Vec::new();
    let format = serde_json::ser::PrettyFormatter::with_indent(b"        ");
    let mut writer = serde_json::Serializer::with_formatter(&mut text, format);
    serde::Serialize::serialize(&value, &mut writer).expect("the list can be serialized");
    String::from_utf8(text).expect("serialized JSON is UTF-8") + "\n"
}

fn config(addresses: &[SocketAddr], discovery: SocketAddr) -> String {
    let names = |prefix: &str| -> String {
        (0..NAME_COUNT).map(|number| format!("\"{prefix}-{number}\"")).collect::<Vec<_>>().join(",")
    };
    let known: Vec<String> = (0..WORKERS).map(|number| entry(number, addresses, "in_service")).collect();
    format!(
        r#"{{"name":"n1023","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"1f",
            "limits":{{"sockets":{DESCRIPTOR_LIMIT},"memory_mb":32}},"known":{},
            "settings":{{"balancers":1024,"me":1023,"zone":3,"zones":[{}],"kinds":[{}],
                "ceilings":{{"maxAttempts":3,"dialTimeout":250000,"cancel":true}},
                "invariants":{{"cold":24000000,"fall":1000000,"overloadFactor":3.0,"startCapacity":0.12}},
                "familyInfo":{{"tellsStart":true}},
                "grades":[{{"name":"fee-charge","aim":300000,"deadline":5000000,"lateValue":0.5,
                    "effect":"at_most_once"}}]}}}}"#,
        worker_list(1, true, &known),
        names("zone"),
        names("kind"),
    )
}

/// Accepts the node's watch on discovery, and sends the head of the response.
fn accept_watch(discovery: &TcpListener) -> TcpStream {
    let mut stream = discovery.accept().expect("the node polls discovery").0;
    begin_chunked_response(&mut stream);
    stream
}

/// The number in the line of `/proc/PID/status` that begins with `key`.
fn process_status(node: &Program, key: &str) -> u64 {
    let text =
        std::fs::read_to_string(format!("/proc/{}/status", node.child.id())).expect("the process runs");
    let line = text.lines().find_map(|line| line.strip_prefix(key)).expect("the process status has the key");
    line.trim_matches(|character: char| !character.is_ascii_digit()).parse().expect("the value is a number")
}

/// A node with [`WORKERS`] known workers and small resource limits, and its fake discovery.
struct LargeListNode {
    program: Program,
    addresses: Vec<SocketAddr>,
    discovery: TcpListener,
    _scratch: ScratchDir,
}

impl LargeListNode {
    fn start() -> LargeListNode {
        let addresses = FakeWorkers::new(8).addresses;
        let (discovery, discovery_address) = open_listener();
        let scratch = ScratchDir::new("many");
        let file = scratch.write("node.json", &config(&addresses, discovery_address));
        let mut command = Command::new("sh");
        let limited = format!("ulimit -n {DESCRIPTOR_LIMIT}; exec \"$0\"");
        command.args(["-c", &limited, env!("CARGO_BIN_EXE_sorrelhaven")]);
        // The log is read only at the end: a line for each list would fill the pipe and block the node.
        command.env("RUST_LOG", "info,sorrelhaven_engine::discovery_watch=warn");
        command.env("RELAY_OPS", "127.0.0.1:0");
        let program = Program::start(command, &file, None);
        LargeListNode { program, addresses, discovery, _scratch: scratch }
    }

    /// The entries of all workers, with this health.
    fn entries(&self, health: &str) -> Vec<String> {
        (0..WORKERS).map(|number| entry(number, &self.addresses, health)).collect()
    }

    /// Sends requests one after the other. Each must be served.
    fn send_requests(&self, numbers: Range<u64>) {
        for number in numbers {
            let request = TestRequest {
                work_hint_micros: Some(20_000),
                ..TestRequest::new(&format!("q-{number}"), "fee-charge", b"body".to_vec())
            };
            let response = request.send(&self.program.address).expect("the request is answered");
            assert_eq!(response.status, 200, "{number}: {}", response.body);
        }
    }

    /// Sends one update of the worker list for each entry, every third one indented. Returns the last
    /// version.
    fn send_updates(&self, watch: &mut TcpStream, mut version: u64, entries: &[String]) -> u64 {
        for entry in entries {
            version += 1;
            let update = worker_list(version, false, std::slice::from_ref(entry));
            let text = if version.is_multiple_of(3) { indented(&update) } else { update + "\n" };
            send_chunk(watch, &text);
        }
        version
    }

    /// Waits until the node counts this many workers as skipped. It must still know all [`WORKERS`].
    fn wait_for_skipped(&self, count: usize) {
        while self.program.metric("node_skipped_executors") != count as u64 {
            thread::yield_now();
        }
        assert_eq!(self.program.metric("node_known_executors"), WORKERS as u64);
    }

    /// Checks the number of open descriptors and the peak of the resident memory.
    fn check_resources(&self) {
        let process_id = self.program.child.id();
        let descriptors =
            std::fs::read_dir(format!("/proc/{process_id}/fd")).expect("the process runs").count();
        assert!(descriptors < DESCRIPTOR_LIMIT, "{descriptors} descriptors are open");
        let peak_kib = process_status(&self.program, "VmHWM:");
        println!("{peak_kib} KiB at most, {descriptors} descriptors");
        assert!(peak_kib < MEMORY_LIMIT_KIB, "{peak_kib} KiB of resident memory");
    }
}

/// The node knows the list from its configuration, and gets it again indented. Then one update for each
/// worker takes all but one out of service, and another one for each puts all back. Requests must be served
/// throughout, within 32 MiB of memory and 256 descriptors.
#[test]
fn a_node_among_1024_with_1025_workers_keeps_to_32_mb_and_256_descriptors() {
    let node = LargeListNode::start();
    node.send_requests(0..100);
    let mut watch = accept_watch(&node.discovery);
    send_chunk(&mut watch, &indented(&worker_list(2, true, &node.entries("in_service"))));
    let mut version = 2;
    for (first, health, skipped) in [(1, "terminating", WORKERS - 1), (0, "in_service", 0)] {
        version = node.send_updates(&mut watch, version, &node.entries(health)[first..]);
        node.wait_for_skipped(skipped);
        node.send_requests(version..version + 100);
    }
    // A list in which an entry has an unknown health is not applied: the node logs the entry's key, and polls
    // the full list.
    let mut invalid = node.entries("terminating");
    invalid[700] = invalid[700].replace("terminating", "asleep");
    send_chunk(&mut watch, &indented(&worker_list(version + 1, true, &invalid)));
    let mut polled = accept_watch(&node.discovery);
    send_chunk(&mut polled, &indented(&worker_list(version + 2, true, &node.entries("in_service"))));
    node.send_requests(version + 100..version + 200);
    assert_eq!(node.program.metric("node_skipped_executors"), 0);
    node.check_resources();
    let log = node.program.terminate();
    let is_fault = |line: &&str| line.contains("hosts[700].health") && line.contains("asleep");
    let faults_logged = log.lines().filter(is_fault).count();
    assert_eq!(faults_logged, 1, "{log}");
}

/// In the list that a node starts with, 16 of 20 workers no longer exist, and discovery sends nothing at
/// first. Each request must be answered within a second: served, or rejected without a run. Once failed
/// connections have shown the node which workers exist, all requests must be served. The current list then
/// removes the others.
#[test]
fn with_an_outdated_known_list_requests_are_answered_and_the_current_list_corrects_it() {
    let workers = FakeWorkers::new(4);
    let (discovery, discovery_address) = open_listener();
    let removed: Vec<_> = (0..16).map(|_| RefusingPort::new().expect("a port is free")).collect();
    let live = workers.addresses.iter().copied();
    let known: Vec<SocketAddr> = removed.iter().map(|port| port.address).chain(live).collect();
    let entry = |(number, dial): (usize, &SocketAddr)| {
        format!(r#"{{"host":"s-{number}","dial":"{dial}","health":"in_service"}}"#)
    };
    let entries: Vec<String> = known.iter().enumerate().map(entry).collect();
    let config = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{discovery_address}","seed":"1f","known":{},
            "settings":{{"balancers":1,"ceilings":{{"maxAttempts":3,"dialTimeout":250000}},"invariants":{{}},
                "familyInfo":{{"tellsStart":true}},
                "grades":[{{"name":"fee","aim":300000,"deadline":5000000,"effect":"at_most_once"}}]}}}}"#,
        worker_list(1, true, &entries)
    );
    let scratch = ScratchDir::new("stale");
    let command = Command::new(env!("CARGO_BIN_EXE_sorrelhaven"));
    let mut node = Program::start(command, &scratch.write("node.json", &config), None);
    let mut watch = accept_watch(&discovery);
    let address = node.address.clone();
    let count_served = |numbers: Range<u64>| {
        let outcomes = numbers.map(|number| {
            let request = TestRequest::new(&format!("q-{number}"), "fee", b"body".to_vec());
            let response = request.send(&address).expect("the request is answered");
            assert!([200, 503].contains(&response.status), "{number}: {}", response.status);
            // A rejected request never ran.
            let runs = workers.executions_of(&request.id).len();
            assert_eq!(runs, usize::from(response.status == 200), "{number}");
            assert!(response.elapsed.as_millis() < 1_000, "{number}: {:?}", response.elapsed);
            response.status == 200
        });
        outcomes.filter(|served| *served).count()
    };
    let (first_served, next_served) = (count_served(0..30), count_served(30..60));
    let failed = node.counter("connect_failed");
    println!(
        "{first_served} of the first 30 served, {next_served} of the next, {failed} connections refused"
    );
    assert!(
        first_served >= 15 && next_served == 30,
        "{first_served} of the first 30 served, {next_served} of the next"
    );
    assert!((1..=64).contains(&failed), "{failed} connections refused");
    send_chunk(&mut watch, &(worker_list(2, true, &entries[16..]) + "\n"));
    node.wait_for_log_line("workers=4");
    assert_eq!(
        (count_served(60..90), node.counter("connect_failed")),
        (30, failed),
        "a request was not served, or the node connected to a worker that the current list removed"
    );
    node.terminate();
}
