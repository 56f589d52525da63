//! Malformed and incomplete admin commands, and invalid addresses of the admin listener.

use crate::node::{read_to_end, request, start};
use sorrelhaven_test_support::{FakeWorkers, Program, ScratchDir, WorkerBehavior, workers_config};
use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const CLIENT_COUNT: usize = 16;
const SILENT_CALLERS: usize = 64;
/// The admin commands are sent after this many requests were answered, so that they meet a running load.
const MIN_ANSWERED: u64 = 100;

/// [`CLIENT_COUNT`] clients that send requests without a pause.
struct Load {
    address: String,
    stop: AtomicBool,
    answered: AtomicU64,
}

impl Load {
    fn new(node: &Program) -> Load {
        Load { address: node.address.clone(), stop: AtomicBool::new(false), answered: AtomicU64::new(0) }
    }

    fn run_client(&self, client: usize) {
        let mut stream = TcpStream::connect(&self.address).expect("the node accepts the connection");
        for number in 0.. {
            if self.stop.load(Ordering::Relaxed) {
                return;
            }
            let response = request(&format!("q-{client}-{number}")).send_on(&mut stream);
            self.answered.fetch_add(u64::from(response.is_ok()), Ordering::Relaxed);
        }
    }

    fn answered(&self) -> u64 {
        self.answered.load(Ordering::Relaxed)
    }
}

/// Stops the clients of a load when dropped, so that they stop also if an assertion fails.
struct StopOnDrop<'a>(&'a Load);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.stop.store(true, Ordering::Relaxed);
    }
}

/// [`SILENT_CALLERS`] connections with incomplete admin commands, beside a full load of clients, must not
/// delay the next command: its reply arrives within 1 s, before the incomplete ones time out.
#[test]
fn silent_admin_callers_delay_no_other_call() {
    let workers = FakeWorkers::new(2);
    workers.set_default_behavior(WorkerBehavior::DoneAfterMillis(2));
    let (node, _scratch) = start(&workers, "crowd");
    let load = Load::new(&node);
    thread::scope(|scope| {
        for client in 0..CLIENT_COUNT {
            let load = &load;
            scope.spawn(move || load.run_client(client));
        }
        let stop_on_drop = StopOnDrop(&load);
        while load.answered() < MIN_ANSWERED {
            thread::yield_now();
        }
        let silent_callers: Vec<TcpStream> = (0..SILENT_CALLERS)
            .map(|number| {
                let mut caller =
                    TcpStream::connect(&node.admin_address).expect("the node accepts the connection");
                caller.write_all(&b"show-stat"[..number % 9]).expect("the bytes are written");
                caller
            })
            .collect();
        let begun = Instant::now();
        let metrics = node.admin_command("show-stat");
        let elapsed = begun.elapsed();
        assert!(
            metrics.contains("node_passed{category=\"fee-charge\"}") && metrics.ends_with("\nEOT\n"),
            "{metrics}"
        );
        assert!(elapsed < Duration::from_secs(1), "{elapsed:?}");
        drop(silent_callers);
        drop(stop_on_drop);
    });
    assert!(load.answered() >= MIN_ANSWERED);
    node.terminate();
}

/// Admin commands that arrive in pieces, are unknown, empty, too long, not UTF-8 or without a line end, and
/// callers that never read: each must get a reply or a close, and must not block the next command.
#[test]
fn every_malformed_admin_call_gets_an_answer_or_a_close() {
    let workers = FakeWorkers::new(1);
    let (node, _scratch) = start(&workers, "malformed-calls");
    let connect_admin = || TcpStream::connect(&node.admin_address).expect("the node accepts the connection");
    let mut pieces = connect_admin();
    pieces.set_nodelay(true).expect("the socket option can be set");
    for piece in ["sh", "ow-st", "at", "\r\n"] {
        pieces.write_all(piece.as_bytes()).expect("the bytes are written");
        // A complete command on another connection, between the pieces.
        assert_eq!(node.admin_command("ready"), "SUCCESS serving\n");
    }
    assert!(read_to_end(&mut pieces).ends_with("\nEOT\n"));
    assert!(node.admin_command("help").starts_with("FAILURE unknown call \"help\"; there are ready,"));
    assert!(node.admin_command("").starts_with("FAILURE unknown call \"\""));
    assert!(node.admin_command(&"x".repeat(100_000)).starts_with("FAILURE a call holds at most 256 bytes"));
    let mut binary = connect_admin();
    binary.write_all(b"\xff\x00\xfe\n").expect("the bytes are written");
    assert!(read_to_end(&mut binary).starts_with("FAILURE unknown call"));
    let mut unterminated = connect_admin();
    unterminated.write_all(b"ready").expect("the bytes are written");
    unterminated.shutdown(Shutdown::Write).expect("the socket can be shut down");
    assert_eq!(
        read_to_end(&mut unterminated),
        "SUCCESS serving\n",
        "a half-closed connection did not end the line"
    );
    let unread: Vec<TcpStream> = (0..40)
        .map(|_| {
            let mut caller = connect_admin();
            caller.write_all(b"show-stat\n").expect("the bytes are written");
            caller
        })
        .collect();
    assert_eq!(node.admin_command("ready"), "SUCCESS serving\n");
    drop(unread);
    let mut closed = connect_admin();
    closed.shutdown(Shutdown::Both).expect("the socket can be shut down");
    assert_eq!(read_to_end(&mut closed), "");
    let mut silent = connect_admin();
    silent.write_all(b"rea").expect("the bytes are written");
    assert_eq!(read_to_end(&mut silent), "FAILURE the call did not come whole in time\n");
    node.terminate();
}

/// With an invalid descriptor or admin address the program must not start, and must print one line that
/// begins with the variable or settings key.
#[test]
fn an_invalid_address_or_descriptor_is_named_by_its_key() {
    let scratch = ScratchDir::new("ops-faults");
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let taken = taken.local_addr().expect("the listener has an address").to_string();
    let cases = [
        ("RELAY_OPS", "here", "RELAY_OPS: \"here\" is not an address with a port"),
        ("RELAY_OPS", taken.as_str(), "ops: 127.0.0.1:"),
        ("RELAY_FD", "five", "RELAY_FD: \"five\" is not the number of a descriptor"),
        ("RELAY_FD", "987", "RELAY_FD: descriptor 987 is not open"),
        ("RELAY_FD", "0", "RELAY_FD: descriptor 0 is not one that a program is handed"),
    ];
    let config = scratch
        .write("node.json", &workers_config(&["127.0.0.1:1".parse().expect("the text is an address")]));
    for (name, value, fault) in cases {
        let mut command = Command::new(env!("CARGO_BIN_EXE_sorrelhaven"));
        command.env_remove("RELAY_OPS").env_remove("RELAY_FD").env("RUST_LOG", "off");
        let output =
            command.env("RELAY_CONFIG", &config).env(name, value).output().expect("the program ends");
        let log = String::from_utf8_lossy(&output.stderr).to_string();
        assert!(!output.status.success());
        assert!(log.starts_with(&format!("sorrelhaven: {fault}")) && log.lines().count() == 1, "{log}");
    }
}
