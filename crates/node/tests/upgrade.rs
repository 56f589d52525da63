//! Two processes of the program on one listening socket that neither of them owns.

use sorrelhaven_test_support::{
    AT_MOST_ONCE_CLASS, Checker, FakeWorkers, Program, ScratchDir, TestRequest, WorkerBehavior,
    workers_config,
};
use std::net::{TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};

const CLIENTS: usize = 12;

/// What the platform holds: the listening socket, the file and the one directory for passing files.
struct Platform {
    listener: TcpListener,
    boxes: FakeWorkers,
    scratch: ScratchDir,
    config: PathBuf,
}

impl Platform {
    fn new(name: &str) -> Platform {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let (boxes, scratch) = (FakeWorkers::new(3), ScratchDir::new(name));
        boxes.usual(WorkerBehavior::Takes(3));
        let config = scratch.write("node.json", &workers_config(&boxes.addresses));
        Platform { listener, boxes, scratch, config }
    }

    /// The command of a process that inherits the socket as descriptor 5.
    fn command(&self) -> Command {
        let mut command = Command::new("sh");
        command.args(["-c", "exec \"$0\" 5<&0 0</dev/null", env!("CARGO_BIN_EXE_sorrelhaven")]);
        command.stdin(Stdio::from(OwnedFd::from(self.listener.try_clone().expect("a descriptor"))));
        command.env("RELAY_FD", "5").env("RELAY_OPS", "127.0.0.1:0").env("TMPDIR", &self.scratch.0);
        command
    }

    /// A process that has said yes.
    fn start(&self) -> Program {
        let program = Program::start(self.command(), &self.config, None);
        assert_eq!(program.call("ready"), "SUCCESS serving\n");
        program
    }
}

/// Clients that send payments without a pause, each on a link that it keeps.
struct Load {
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicU64>,
    checker: Arc<Checker>,
    clients: Vec<JoinHandle<u64>>,
}

impl Load {
    /// `again` says whether a request whose link ended without an answer is sent once more on a new link, as clients
    /// do whose link was closed between requests.
    fn begin(platform: &Platform, again: bool) -> Load {
        let address = platform.listener.local_addr().expect("its address").to_string();
        let (stop, answered, checker) =
            (Arc::default(), Arc::<AtomicU64>::default(), Arc::<Checker>::default());
        let client = |client: usize| {
            let (stop, answered, checker) =
                (Arc::<AtomicBool>::clone(&stop), answered.clone(), checker.clone());
            let address = address.clone();
            thread::spawn(move || {
                let connect = || {
                    let stream = TcpStream::connect(&address).expect("no connection is refused");
                    stream.set_nodelay(true).expect("a socket");
                    stream
                };
                let (mut stream, mut sent_again) = (connect(), 0);
                for n in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        break;
                    }
                    let ask =
                        TestRequest::new(&format!("pay-{client}-{n}"), AT_MOST_ONCE_CLASS, b"body".to_vec());
                    checker.asked(&ask);
                    let mut reply = ask.send_on(&mut stream);
                    if reply.is_err() {
                        stream = connect();
                        if again {
                            sent_again += 1;
                            reply = ask.send_on(&mut stream);
                        }
                    }
                    if let Ok(reply) = reply {
                        if reply.close {
                            stream = connect();
                        }
                        checker.answered(&ask.id, reply.status);
                        answered.fetch_add(1, Ordering::Relaxed);
                    } else {
                        assert!(!again, "{} was left without an answer on two links", ask.id);
                    }
                }
                sent_again
            })
        };
        let clients = (0..CLIENTS).map(client).collect();
        Load { stop, answered, checker, clients }
    }

    /// Waits for so many answers more.
    fn more(&self, answers: u64) {
        let until = self.answered.load(Ordering::Relaxed) + answers;
        while self.answered.load(Ordering::Relaxed) < until {
            assert!(self.clients.iter().all(|c| !c.is_finished()), "a client has ended");
            thread::yield_now();
        }
    }

    /// Ends it: payments asked, those served, and requests that were sent again. No rule may be broken.
    fn end(self, boxes: &FakeWorkers) -> (usize, usize, u64) {
        self.stop.store(true, Ordering::Relaxed);
        let again = self.clients.into_iter().map(|c| c.join().expect("a client")).sum();
        assert_eq!(self.checker.faults(&boxes.runs()), [""; 0]);
        let (asked, served) = self.checker.counts();
        (asked, served, again)
    }
}

/// Requests go on through the overlaps, each has one answer and runs once, and no connection is refused.
#[test]
fn three_upgrades_in_a_row_lose_nothing() {
    let platform = Platform::new("upgrades");
    let mut old = platform.start();
    let load = Load::begin(&platform, true);
    load.more(200);
    for _ in 0..3 {
        let new = platform.start();
        load.more(200);
        let log = old.end();
        assert!(log.contains("in_progress=0"), "it ends once all that it took is answered: {log}");
        old = new;
        load.more(200);
    }
    assert!(old.shown("node_passed") > 0);
    let (asked, served, again) = load.end(&platform.boxes);
    assert_eq!(asked, served, "each payment was served");
    // A close crosses a request only where a link had stood idle until then, and these never do for long.
    assert!(again <= 3, "{again} of {asked} were sent again");
    old.end();
}

/// A new process that ends before it can serve, by its own fault or killed, takes nothing with it.
#[test]
fn a_new_process_that_dies_before_it_is_ready_costs_nothing() {
    let platform = Platform::new("stillborn");
    let old = platform.start();
    let load = Load::begin(&platform, true);
    load.more(100);
    let mut command = platform.command();
    let taken =
        command.env("RELAY_OPS", &old.ops).env("RELAY_CONFIG", &platform.config).output().expect("it ends");
    assert!(!taken.status.success());
    assert!(String::from_utf8_lossy(&taken.stderr).contains("sorrelhaven: ops: "));
    for _ in 0..5 {
        let mut command = platform.command();
        command.env("RELAY_CONFIG", &platform.config).stderr(Stdio::null());
        let mut new = command.spawn().expect("it starts");
        new.kill().expect("it runs");
        new.wait().expect("it has ended");
        load.more(50);
    }
    let (asked, served, again) = load.end(&platform.boxes);
    assert_eq!((asked, again), (served, 0));
    old.end();
}

/// The old one killed outright: its open requests end with their links, the new one serves all that comes.
#[test]
fn an_old_process_that_is_killed_leaves_the_queue_to_the_new_one() {
    let platform = Platform::new("killed");
    let mut old = platform.start();
    let load = Load::begin(&platform, false);
    load.more(200);
    let new = platform.start();
    load.more(200);
    old.child.kill().expect("it runs");
    old.child.wait().expect("it has ended");
    load.more(400);
    let (asked, served, _) = load.end(&platform.boxes);
    assert!(served + 2 * CLIENTS >= asked, "{served} of {asked}");
    new.end();
}

/// The two are one node to the limit on descriptors, also where a crowd of silent clients would fill either.
#[test]
fn two_processes_together_keep_to_the_descriptors_of_one() {
    const LIMIT: usize = 160;
    let platform = Platform::new("descriptors");
    let text = workers_config(&platform.boxes.addresses)
        .replace("\"sockets\":1024", &format!("\"sockets\":{LIMIT}"));
    platform.scratch.write("node.json", &text);
    let held = |node: &Program| {
        std::fs::read_dir(format!("/proc/{}/fd", node.child.id())).map_or(0, |entries| entries.count())
    };
    let mut old = platform.start();
    let address = platform.listener.local_addr().expect("its address");
    let crowd = |n: usize| -> Vec<TcpStream> {
        (0..n).map(|_| TcpStream::connect(address).expect("it is queued")).collect()
    };
    let mut clients = crowd(200);
    // One that has been served proves that the crowd before it was accepted, or gave way.
    let served = TestRequest::new("after", AT_MOST_ONCE_CLASS, b"body".to_vec())
        .send(&address.to_string())
        .expect("an answer");
    assert_eq!(served.status, 200);
    assert!(held(&old) > LIMIT / 2, "a node alone uses what it may: {}", held(&old));
    let new = platform.start();
    old.line("process count changed");
    for round in 0..6 {
        clients.extend(crowd(50));
        let ask = TestRequest::new(&format!("beside-{round}"), AT_MOST_ONCE_CLASS, b"body".to_vec());
        assert_eq!(ask.send(&address.to_string()).expect("an answer").status, 200);
        let (a, b) = (held(&old), held(&new));
        assert!(a + b <= LIMIT, "round {round}: {a} and {b} of {LIMIT}");
    }
    drop(clients);
    old.end();
    new.end();
}
