//! Upgrades: an old and a new process of the program accept from one inherited listening socket.

use sorrelhaven_test_support::{
    AT_MOST_ONCE_CLASS, DeliveryChecker, FakeWorkers, Program, ScratchDir, TestRequest, WorkerBehavior,
    open_listener, workers_config,
};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

const CLIENT_COUNT: usize = 12;

/// The parts that stay while processes are replaced: the listening socket, the workers, the configuration and
/// the temporary files.
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

    /// The command that starts a process with the listening socket as descriptor 5, named by `RELAY_FD`.
    fn command(&self) -> Command {
        let mut command = Command::new("sh");
        command.args(["-c", "exec \"$0\" 5<&0 0</dev/null", env!("CARGO_BIN_EXE_sorrelhaven")]);
        command.stdin(Stdio::from(OwnedFd::from(
            self.listener.try_clone().expect("the listening socket can be duplicated"),
        )));
        command.env("RELAY_FD", "5").env("RELAY_OPS", "127.0.0.1:0").env("TMPDIR", self.scratch.root());
        command
    }

    /// Starts a process and checks that it reports itself ready.
    fn start(&self) -> Program {
        let program = Program::start(self.command(), &self.config, None);
        assert_eq!(program.admin_command("ready"), "SUCCESS serving\n");
        program
    }
}

/// What a client does when its connection ends before the answer to its request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum OnLostAnswer {
    /// Sends the request once more on a new connection, as clients do when an idle connection was closed just
    /// as they sent.
    SendAgain,
    GiveUp,
}

/// The outcome of a load.
struct LoadTotals {
    requested: usize,
    served: usize,
    /// Requests that were sent once more, on a second connection.
    sent_again: u64,
}

/// [`CLIENT_COUNT`] clients that send at-most-once requests without a pause, each on a persistent connection.
struct Load {
    shared: Arc<LoadState>,
    clients: Vec<JoinHandle<u64>>,
}

/// The state that the clients of a load share.
struct LoadState {
    address: String,
    on_lost_answer: OnLostAnswer,
    stop: AtomicBool,
    answered: AtomicU64,
    checker: DeliveryChecker,
}

impl LoadState {
    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(&self.address).expect("the connection is not refused");
        stream.set_nodelay(true).expect("the socket option can be set");
        stream
    }

    /// Sends requests until the load stops. Returns the number of requests that were sent again.
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
                assert!(gave_up, "{id} got no answer on either of two connections");
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

    /// Waits until the clients have received `count` more answers.
    fn wait_for_answers(&self, count: u64) {
        let answered = &self.shared.answered;
        let target = answered.load(Ordering::Relaxed) + count;
        while answered.load(Ordering::Relaxed) < target {
            assert!(
                self.clients.iter().all(|client| !client.is_finished()),
                "a client thread has ended before the load was stopped"
            );
            thread::yield_now();
        }
    }

    /// Stops the clients. Checks that the requests violate no rule of the checker.
    fn stop(self, workers: &FakeWorkers) -> LoadTotals {
        self.shared.stop.store(true, Ordering::Relaxed);
        let sent_again = self
            .clients
            .into_iter()
            .map(|client| client.join().expect("the client thread does not panic"))
            .sum();
        assert_eq!(self.shared.checker.violations(&workers.executed_requests()), [""; 0]);
        let totals = self.shared.checker.totals();
        LoadTotals { requested: totals.requested, served: totals.served, sent_again }
    }
}

/// While a new process starts and the old one shuts down, three times in a row, each request must be answered
/// once and run once, and no connection may be refused.
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
            "the old process ended with admitted requests unanswered: {log}"
        );
        old = new;
        load.wait_for_answers(200);
    }
    assert!(old.metric("node_passed") > 0);
    let totals = load.stop(&platform.workers);
    assert_eq!(totals.requested, totals.served, "a request was not served");
    // A client sends again only if the node closed an idle connection just as the client sent on it. The
    // connections are never idle for long, so this is rare.
    let LoadTotals { requested, sent_again, .. } = totals;
    assert!(sent_again <= 3, "{sent_again} of {requested} were sent again");
    old.terminate();
}

/// If the new process fails to start, since its admin address is in use, or is killed before it is ready, the
/// old one must serve all requests.
#[test]
fn a_new_process_that_ends_before_it_is_ready_loses_no_request() {
    let platform = Platform::new("failed-start");
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

/// When the old process is killed, only its requests in progress may be lost with their connections, at most
/// two for each client. The new process must serve all others, also those whose connections wait in the
/// shared accept queue.
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

/// A payment that the old process has sent must not be sent by the new one, when it comes again under the same id: not
/// while it is in progress, nor after its client has left, nor after the old process has ended or was killed.
#[test]
fn an_id_that_one_process_has_sent_is_not_sent_by_the_other() {
    let platform = Platform::new("same-id");
    platform.workers.set_default_behavior(WorkerBehavior::DoneAfterMillis(300));
    let address = platform.address.to_string();
    let payment = |id: &str| TestRequest::new(id, AT_MOST_ONCE_CLASS, b"body".to_vec());
    let connect = || TcpStream::connect(&address).expect("the connection is not refused");
    let old = platform.start();
    // Connections to the old process, made while it is the only one.
    let (mut in_progress, mut abandoned, mut killed) = (connect(), connect(), connect());
    for (stream, id) in [(&mut in_progress, "warm-0"), (&mut abandoned, "warm-1"), (&mut killed, "warm-2")] {
        assert_eq!(payment(id).send_on(stream).expect("the request is answered").status, 200);
    }
    let send_head = |stream: &mut TcpStream, id: &str| {
        let text = payment(id).head() + "body";
        stream.write_all(text.as_bytes()).expect("the node reads the bytes");
        while platform.workers.executions_of(id).is_empty() {
            thread::yield_now();
        }
    };
    send_head(&mut abandoned, "abandoned");
    drop(abandoned);
    let new = platform.start();
    send_head(&mut in_progress, "in-progress");
    send_head(&mut killed, "killed");
    // The old process no longer accepts: what comes on a new connection goes to the new one.
    old.signal("TERM");
    thread::sleep(Duration::from_millis(50));
    for id in ["in-progress", "abandoned", "killed"] {
        let response = payment(id).send(&address).expect("the request is answered");
        assert_eq!((id, response.status), (id, 409));
    }
    drop(old);
    for id in ["in-progress", "abandoned", "killed", "warm-0"] {
        let response = payment(id).send(&address).expect("the request is answered");
        assert_eq!((id, response.status), (id, 409));
        assert_eq!(platform.workers.executions_of(id).len(), 1, "{id} ran twice");
    }
    assert_eq!(payment("new").send(&address).expect("the request is answered").status, 200);
    new.terminate();
}

/// The limit on descriptors must hold for both processes together, also with hundreds of clients that send
/// nothing.
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
    // Connections are accepted in order: after this answer the earlier ones have been accepted or evicted.
    let served = TestRequest::new("after", AT_MOST_ONCE_CLASS, b"body".to_vec())
        .send(&address.to_string())
        .expect("the request is answered");
    assert_eq!(served.status, 200);
    assert!(
        descriptors(&old) > LIMIT / 2,
        "a single process may use the whole limit, but uses {}",
        descriptors(&old)
    );
    let new = platform.start();
    old.wait_for_log_line("process count changed");
    for round in 0..6 {
        clients.extend(connect_silent(50));
        let request = TestRequest::new(&format!("overlap-{round}"), AT_MOST_ONCE_CLASS, b"body".to_vec());
        assert_eq!(request.send(&address.to_string()).expect("the request is answered").status, 200);
        let (old_count, new_count) = (descriptors(&old), descriptors(&new));
        assert!(
            old_count + new_count <= LIMIT,
            "round {round}: {old_count} and {new_count} descriptors of {LIMIT}"
        );
    }
    drop(clients);
    old.terminate();
    new.terminate();
}
