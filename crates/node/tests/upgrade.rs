//! Upgrades: two processes of the program on one inherited listening socket.

use sorrelhaven_test_support::{
    AT_MOST_ONCE_CLASS, DeliveryChecker, FakeWorkers, Program, ScratchDir, TestRequest, WorkerBehavior,
    open_listener, workers_config,
};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};

const CLIENT_COUNT: usize = 12;

/// What outlives the processes: the listening socket, the workers, the configuration and the temporary files.
struct Platform {
    listener: TcpListener,
    address: SocketAddr,
    workers: FakeWorkers,
    scratch: ScratchDir,
    config: PathBuf,
}

impl Platform {
    fn new(name: &str) -> Platform {
        let (listener, address) = open_listener();
        let (workers, scratch) = (FakeWorkers::new(3), ScratchDir::new(name));
        workers.set_default_behavior(WorkerBehavior::DoneAfterMillis(3));
        let config = scratch.write("node.json", &workers_config(&workers.addresses));
        Platform { listener, address, workers, scratch, config }
    }

    /// The command of a process that inherits the socket as descriptor 5.
    fn command(&self) -> Command {
        let mut command = Command::new("sh");
        command.args(["-c", "exec \"$0\" 5<&0 0</dev/null", env!("CARGO_BIN_EXE_sorrelhaven")]);
        command.stdin(Stdio::from(OwnedFd::from(self.listener.try_clone().expect("a descriptor"))));
        command.env("RELAY_FD", "5").env("RELAY_OPS", "127.0.0.1:0").env("TMPDIR", self.scratch.root());
        command
    }

    /// Starts a process, and checks that it is ready.
    fn start(&self) -> Program {
        let program = Program::start(self.command(), &self.config, None);
        assert_eq!(program.admin_command("ready"), "SUCCESS serving\n");
        program
    }
}

/// What a client does with a request whose connection ended without an answer.
#[derive(Clone, Copy, PartialEq, Eq)]
enum OnLostAnswer {
    /// Sends it once more on a new connection, as clients do whose connection was closed between requests.
    SendAgain,
    GiveUp,
}

/// The outcome of a load.
struct LoadTotals {
    requested: usize,
    served: usize,
    /// Requests that were sent on a second connection.
    sent_again: u64,
}

/// Clients that send at-most-once requests without a pause, each on a connection that it keeps.
struct Load {
    shared: Arc<LoadState>,
    clients: Vec<JoinHandle<u64>>,
}

/// What the clients of a load share.
struct LoadState {
    address: String,
    on_lost_answer: OnLostAnswer,
    stop: AtomicBool,
    answered: AtomicU64,
    checker: DeliveryChecker,
}

impl LoadState {
    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(&self.address).expect("no connection is refused");
        stream.set_nodelay(true).expect("the socket can be set up");
        stream
    }

    /// Sends requests until the load ends, and returns how many were sent again.
    fn run_client(&self, client: usize) -> u64 {
        let mut stream = self.connect();
        let mut sent_again = 0;
        for number in 0.. {
            if self.stop.load(Ordering::Relaxed) {
                break;
            }
            let id = format!("pay-{client}-{number}");
            let request = TestRequest::new(&id, AT_MOST_ONCE_CLASS, b"body".to_vec());
            self.checker.record_request(&request);
            let mut response = request.send_on(&mut stream);
            if response.is_err() {
                stream = self.connect();
                if self.on_lost_answer == OnLostAnswer::SendAgain {
                    sent_again += 1;
                    response = request.send_on(&mut stream);
                }
            }
            if let Ok(response) = response {
                if response.connection_close {
                    stream = self.connect();
                }
                self.checker.record_response(&id, response.status);
                self.answered.fetch_add(1, Ordering::Relaxed);
            } else {
                let gave_up = self.on_lost_answer == OnLostAnswer::GiveUp;
                assert!(gave_up, "{id} was left without an answer on two connections");
            }
        }
        sent_again
    }
}

impl Load {
    fn start(platform: &Platform, on_lost_answer: OnLostAnswer) -> Load {
        let address = platform.address.to_string();
        let shared = Arc::new(LoadState {
            address,
            on_lost_answer,
            stop: AtomicBool::default(),
            answered: AtomicU64::default(),
            checker: DeliveryChecker::default(),
        });
        let spawn_client = |client: usize| {
            let shared = shared.clone();
            thread::spawn(move || shared.run_client(client))
        };
        let clients = (0..CLIENT_COUNT).map(spawn_client).collect();
        Load { shared, clients }
    }

    /// Waits for this many more answers.
    fn wait_for_answers(&self, count: u64) {
        let answered = &self.shared.answered;
        let target = answered.load(Ordering::Relaxed) + count;
        while answered.load(Ordering::Relaxed) < target {
            assert!(self.clients.iter().all(|client| !client.is_finished()), "a client has ended");
            thread::yield_now();
        }
    }

    /// Ends the load. No delivery rule may have been violated.
    fn stop(self, workers: &FakeWorkers) -> LoadTotals {
        self.shared.stop.store(true, Ordering::Relaxed);
        let sent_again = self.clients.into_iter().map(|client| client.join().expect("the client ends")).sum();
        assert_eq!(self.shared.checker.violations(&workers.executed_requests()), [""; 0]);
        let totals = self.shared.checker.totals();
        LoadTotals { requested: totals.requested, served: totals.served, sent_again }
    }
}

/// Requests go on while processes overlap, each is answered once and runs once, and no connection is refused.
#[test]
fn three_upgrades_in_a_row_lose_no_request() {
    let platform = Platform::new("upgrades");
    let mut old = platform.start();
    let load = Load::start(&platform, OnLostAnswer::SendAgain);
    load.wait_for_answers(200);
    for _ in 0..3 {
        let new = platform.start();
        load.wait_for_answers(200);
        let log = old.terminate();
        assert!(
            log.contains("in_progress=0"),
            "the process ends once all admitted requests are answered: {log}"
        );
        old = new;
        load.wait_for_answers(200);
    }
    assert!(old.metric("node_passed") > 0);
    let totals = load.stop(&platform.workers);
    assert_eq!(totals.requested, totals.served, "each request was served");
    // A close can cross a request only on an idle connection, and these are never idle for long.
    let LoadTotals { requested, sent_again, .. } = totals;
    assert!(sent_again <= 3, "{sent_again} of {requested} were sent again");
    old.terminate();
}

/// A new process that fails or is killed before it is ready costs no request.
#[test]
fn a_new_process_that_ends_before_it_is_ready_costs_no_request() {
    let platform = Platform::new("stillborn");
    let old = platform.start();
    let load = Load::start(&platform, OnLostAnswer::SendAgain);
    load.wait_for_answers(100);
    let mut command = platform.command();
    let output = command
        .env("RELAY_OPS", &old.admin_address)
        .env("RELAY_CONFIG", &platform.config)
        .output()
        .expect("the program ends");
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("sorrelhaven: ops: "));
    for _ in 0..5 {
        let mut command = platform.command();
        command.env("RELAY_CONFIG", &platform.config).stderr(Stdio::null());
        let mut new = command.spawn().expect("the program starts");
        new.kill().expect("the program runs");
        new.wait().expect("the program has ended");
        load.wait_for_answers(50);
    }
    let totals = load.stop(&platform.workers);
    assert_eq!((totals.requested, totals.sent_again), (totals.served, 0));
    old.terminate();
}

/// The old process is killed: its requests in progress end with their connections, and the new process serves
/// the rest.
#[test]
fn after_the_old_process_is_killed_the_new_one_serves_the_accept_queue() {
    let platform = Platform::new("killed");
    let mut old = platform.start();
    let load = Load::start(&platform, OnLostAnswer::GiveUp);
    load.wait_for_answers(200);
    let new = platform.start();
    load.wait_for_answers(200);
    old.child.kill().expect("the program runs");
    old.child.wait().expect("the program has ended");
    load.wait_for_answers(400);
    let totals = load.stop(&platform.workers);
    let LoadTotals { requested, served, .. } = totals;
    assert!(served + 2 * CLIENT_COUNT >= requested, "{served} of {requested}");
    new.terminate();
}

/// The limit on descriptors holds for both processes together, also under many silent clients.
#[test]
fn two_processes_together_keep_to_the_descriptors_of_one() {
    const LIMIT: usize = 160;
    let platform = Platform::new("descriptors");
    let text = workers_config(&platform.workers.addresses)
        .replace("\"sockets\":1024", &format!("\"sockets\":{LIMIT}"));
    platform.scratch.write("node.json", &text);
    let descriptors = |node: &Program| {
        std::fs::read_dir(format!("/proc/{}/fd", node.child.id())).map_or(0, |entries| entries.count())
    };
    let mut old = platform.start();
    let address = platform.address;
    let connect_silent = |count: usize| -> Vec<TcpStream> {
        (0..count).map(|_| TcpStream::connect(address).expect("the connection is queued")).collect()
    };
    let mut clients = connect_silent(200);
    // An answer proves that the connections before this one were accepted, or evicted.
    let served = TestRequest::new("after", AT_MOST_ONCE_CLASS, b"body".to_vec())
        .send(&address.to_string())
        .expect("the request is answered");
    assert_eq!(served.status, 200);
    assert!(descriptors(&old) > LIMIT / 2, "a single process uses the whole limit: {}", descriptors(&old));
    let new = platform.start();
    old.wait_for_log_line("process count changed");
    for round in 0..6 {
        clients.extend(connect_silent(50));
        let request = TestRequest::new(&format!("beside-{round}"), AT_MOST_ONCE_CLASS, b"body".to_vec());
        assert_eq!(request.send(&address.to_string()).expect("the request is answered").status, 200);
        let (of_old, of_new) = (descriptors(&old), descriptors(&new));
        assert!(of_old + of_new <= LIMIT, "round {round}: {of_old} and {of_new} of {LIMIT}");
    }
    drop(clients);
    old.terminate();
    new.terminate();
}
