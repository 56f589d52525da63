//! Bodies through the program: what each step means, byte for byte, and what a disk, a client or a signal may do.

use sorrelhaven_test_support::{
    FakeWorkers, Program, ScratchDir, TestRequest, TestResponse, WorkerBehavior, checksum, sample_bytes,
    workers_config,
};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Command;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;

/// An installation: boxes, a directory and an operators' file.
struct Site {
    scratch: ScratchDir,
    boxes: FakeWorkers,
}

/// Bounds in bytes: one in memory, all in memory, one in a file, all in files.
type Bounds = [usize; 4];

const BOUNDS: Bounds = [16 * KIB, 8 * MIB, 256 * KIB, 64 * MIB];

impl Site {
    fn new(name: &str, boxes: usize) -> Site {
        let site = Site { scratch: ScratchDir::new(name), boxes: FakeWorkers::new(boxes) };
        std::fs::create_dir(site.scratch.at("spool")).expect("a directory");
        site.scratch.write("node.json", &workers_config(&site.boxes.addresses));
        site
    }

    fn operator(&self, [each, total, file, files]: Bounds, largest: usize, unkept: &str) {
        let spool = self.scratch.at("spool").display().to_string();
        self.scratch.write(
            "operator.json",
            &format!(
                r#"{{"bodies":{{"largest_bytes":{largest},"unkept":"{unkept}",
                    "memory":{{"each_bytes":{each},"total_bytes":{total}}},
                    "files":{{"directory":"{spool}","each_bytes":{file},"total_bytes":{files},
                        "leave_free_bytes":0}}}}}}"#
            ),
        );
    }

    fn start(&self) -> Program {
        self.begin(Command::new(env!("CARGO_BIN_EXE_sorrelhaven")))
    }

    fn begin(&self, command: Command) -> Program {
        Program::start(command, &self.scratch.at("node.json"), Some(&self.scratch.at("operator.json")))
    }
}

/// These tests measure times: one goes on at once, so that none measures another's load.
fn alone() -> MutexGuard<'static, ()> {
    static ONE: Mutex<()> = Mutex::new(());
    ONE.lock().unwrap_or_else(PoisonError::into_inner)
}

fn result(body: &[u8]) -> String {
    format!("{} {:x}", body.len(), checksum(body))
}

const EFFECTS: [(&str, &str); 3] =
    [("repeat harmless", "renewal-check"), ("keyed", "licence-issue"), ("once", "fee-charge")];
const STEPS: [(&str, usize, &str); 3] = [
    ("memory", 15 * KIB, "body_in_memory"),
    ("file", 100 * KIB, "body_in_file"),
    ("not kept", 400 * KIB, "body_streamed"),
];
const ENDINGS: [(&str, WorkerBehavior); 7] = [
    ("done", WorkerBehavior::Done),
    ("failed", WorkerBehavior::Failed),
    ("lost", WorkerBehavior::Lost),
    ("turned away", WorkerBehavior::Returned),
    ("broke before the last byte", WorkerBehavior::BreaksBefore),
    ("broke after the last byte", WorkerBehavior::BreaksAfter),
    ("silent", WorkerBehavior::Silent),
];

/// The page's table: the names on top, and each row's name with its cells.
fn table() -> (Vec<String>, Vec<(String, Vec<String>)>) {
    let page = include_str!("../../../docs/bodies.md");
    let cells = |line: &str| -> Vec<String> {
        line.trim_matches('|').split('|').map(|c| c.trim().to_string()).collect()
    };
    let mut rows =
        page.lines().skip_while(|l| !l.starts_with("| effect, kept in")).take_while(|l| l.starts_with('|'));
    let top = cells(rows.next().expect("the table")).split_off(1);
    let rows = rows.skip(1).map(|line| {
        let mut row = cells(line);
        (row.remove(0), row)
    });
    (top, rows.collect())
}

/// Every cell of the operators' table, each with a node and boxes of its own.
#[test]
fn every_cell_of_the_table_is_what_the_page_says() {
    let _alone = alone();
    let (top, rows) = table();
    assert_eq!(top, ENDINGS.map(|e| e.0.to_string()));
    assert_eq!(rows.len(), EFFECTS.len() * STEPS.len());
    let mut cells: Vec<Cell> = Vec::new();
    for (e, (effect, class)) in EFFECTS.into_iter().enumerate() {
        for (s, (step, length, end)) in STEPS.into_iter().enumerate() {
            let (name, row) = &rows[e * STEPS.len() + s];
            assert_eq!(*name, format!("{effect}, {step}"));
            for ((ending, act), cell) in ENDINGS.into_iter().zip(row) {
                cells.push((format!("{name}, {ending}"), class, length, end, act, cell.clone()));
            }
        }
    }
    // A silent box is waited for up to the client's limit, and that is measured with nothing else going on.
    let (silent, rest): (Vec<Cell>, Vec<Cell>) =
        cells.into_iter().partition(|c| c.4 == WorkerBehavior::Silent);
    let work = Mutex::new(rest.into_iter());
    let next = || work.lock().unwrap_or_else(PoisonError::into_inner).next();
    thread::scope(|scope| {
        for _ in 0..3 {
            scope.spawn(|| {
                while let Some(cell) = next() {
                    check(cell);
                }
            });
        }
    });
    silent.into_iter().for_each(check);
}

/// On sockets every time limit is so much longer; the whole set of tests may have one core's time between them.
const SLACK: Duration = Duration::from_millis(50);

/// A cell: its name, the class, the body's length, where it ends, what the box does, and what the page says.
type Cell = (String, &'static str, usize, &'static str, WorkerBehavior, String);

fn check((name, class, length, end, act, cell): Cell) {
    assert_eq!(walk(class, length, end, act), cell, "{name}");
}

/// Has the first attempt end so, and says what came of it in the table's words.
fn walk(class: &str, length: usize, end: &str, act: WorkerBehavior) -> String {
    let site = Site::new("cell", 2);
    let mut length = length;
    if act == WorkerBehavior::BreaksBefore {
        // What the system's buffers take is written at once: to break before that takes longer bodies.
        length = [6 * MIB, 12 * MIB, 24 * MIB][STEPS.iter().position(|s| s.2 == end).expect("a step")];
        site.operator([8 * MIB, 64 * MIB, 16 * MIB, 64 * MIB], 40 * MIB, "stream");
    } else {
        site.operator(BOUNDS, MIB, "stream");
    }
    let mut node = site.start();
    site.boxes.script(&[act]);
    let body = sample_bytes(length, 7);
    let mut ask = TestRequest::new("q-1", class, body.clone());
    if act == WorkerBehavior::Silent {
        ask.patience = Duration::from_millis(700);
    }
    let reply = ask.send(&node.address).expect("an answer");
    let longest =
        if act == WorkerBehavior::Silent { ask.patience + SLACK } else { Duration::from_millis(700) };
    assert!(reply.took < longest, "{class} {act:?}: {:?}", reply.took);
    let runs = site.boxes.runs_of("q-1");
    assert!(runs.iter().all(|r| (r.length, r.sum) == (length, checksum(&body))), "a run of half a body");
    assert_eq!(reply.status == 200, reply.body == result(&body));
    assert_eq!(reply.status == 503, reply.retry_after == Some(2.0));
    // Where the answer came before the last of the body, its end is told as that.
    let ends: u64 = [end, "body_request_concluded"].iter().map(|name| node.figure(name)).sum();
    assert_eq!(ends, 1, "it was kept elsewhere");
    node.end();
    format!("{}, {} run{}", reply.status, runs.len(), if runs.len() == 1 { "" } else { "s" })
}

/// A `licence-issue` of 8 MB in a file: its first box resets after the last byte; it is sent again byte for byte.
#[test]
fn a_long_body_is_sent_again_from_its_file() {
    let _alone = alone();
    let site = Site::new("again", 2);
    site.operator([64 * KIB, 8 * MIB, 16 * MIB, 64 * MIB], 16 * MIB, "stream");
    let mut node = site.start();
    site.boxes.script(&[WorkerBehavior::BreaksAfter]);
    let body = sample_bytes(8 * MIB, 3);
    for chunked in [false, true] {
        let mut ask = TestRequest::new(if chunked { "q-2" } else { "q-1" }, "licence-issue", body.clone());
        ask.chunked = chunked;
        let reply = ask.send(&node.address).expect("an answer");
        assert_eq!((reply.status, reply.body), (200, result(&body)));
    }
    let runs = site.boxes.runs_of("q-1");
    assert!(runs.len() == 2 && runs[0].at != runs[1].at && runs[0].sum == runs[1].sum, "{runs:?}");
    assert_eq!(
        (node.figure("body_in_file"), node.figure("file_bytes")),
        (2, 0),
        "a file goes with its request"
    );
    assert_eq!(site.scratch.names("spool"), [""; 0], "a file has no name");
}

/// A `fee-charge` whose body is not kept meets every ending that a box can bring about: one run at most, one answer,
/// at once, and a refusal only where it never ran.
#[test]
fn a_payment_that_is_not_kept_has_one_run_and_one_plain_answer() {
    let _alone = alone();
    let cases = [
        (WorkerBehavior::Done, "ok", 200),
        (WorkerBehavior::Failed, "error", 502),
        (WorkerBehavior::Garbage, "error", 502),
        (WorkerBehavior::OtherId, "error", 502),
        (WorkerBehavior::Huge, "error", 502),
        (WorkerBehavior::Returned, "worker_rejected", 503),
        (WorkerBehavior::ReturnedEarly, "worker_rejected", 503),
        (WorkerBehavior::Unusable, "invalid_request", 502),
        (WorkerBehavior::Lost, "reset", 502),
        (WorkerBehavior::BreaksAfter, "reset", 502),
        (WorkerBehavior::Cuts, "reset", 502),
        (WorkerBehavior::BreaksBefore, "connect_failed", 503),
        (WorkerBehavior::ReadsNothing, "connect_failed", 503),
        (WorkerBehavior::Silent, "timeout", 502),
    ];
    // More than the system's buffers take, so that what breaks in the middle is known to.
    let body = sample_bytes(12 * MIB, 7);
    for (act, outcome, status) in cases {
        let site = Site::new("payment", 2);
        site.operator([16 * KIB, 8 * MIB, 16 * KIB, 8 * MIB], 40 * MIB, "stream");
        let mut node = site.start();
        site.boxes.script(&[act]);
        let mut ask = TestRequest::new("q-1", "fee-charge", body.clone());
        let waits = matches!(act, WorkerBehavior::Silent | WorkerBehavior::ReadsNothing);
        ask.patience = Duration::from_millis(if waits { 1_500 } else { 8_000 });
        let reply = ask.send(&node.address).expect("an answer");
        assert_eq!(reply.status, status, "{act:?}");
        assert!(
            reply.took < ask.patience + SLACK && (waits || reply.took < Duration::from_secs(2)),
            "{act:?}"
        );
        assert_eq!((node.figure("attempts"), node.figure(outcome)), (1, 1), "{act:?}: {outcome}");
        let runs = site.boxes.runs_of("q-1").len();
        assert!(runs <= 1 && (status != 503 || runs == 0), "{act:?}: {runs} runs");
    }
}

/// A box that turns a long body away by its head alone is heard, and what is kept goes to another.
#[test]
fn a_box_that_does_not_read_a_body_is_not_taken_for_broken() {
    let _alone = alone();
    let site = Site::new("early", 2);
    site.operator([MIB, 8 * MIB, 16 * MIB, 64 * MIB], 16 * MIB, "stream");
    let mut node = site.start();
    site.boxes.script(&[WorkerBehavior::ReturnedEarly]);
    let body = sample_bytes(12 * MIB, 1);
    let reply = TestRequest::new("q-1", "fee-charge", body.clone()).send(&node.address).expect("an answer");
    assert_eq!((reply.status, reply.body), (200, result(&body)));
    assert_eq!((node.figure("worker_rejected"), node.figure("connect_failed")), (1, 0));
    assert_eq!(site.boxes.runs_of("q-1").len(), 1);
}

/// A connection that is refused has passed nothing on: another box is tried also for a body that is not kept.
#[test]
fn a_body_that_is_not_kept_is_tried_elsewhere_until_a_byte_is_passed_on() {
    let _alone = alone();
    let site = Site::new("elsewhere", 1);
    let closed = std::net::TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
    site.scratch.write("node.json", &workers_config(&[closed, site.boxes.addresses[0]]));
    site.operator(BOUNDS, MIB, "stream");
    let node = site.start();
    for i in 0..12 {
        let body = sample_bytes(400 * KIB, i);
        let mut ask = TestRequest::new(&format!("q-{i}"), "fee-charge", body.clone());
        ask.chunked = i % 2 == 1;
        let reply = ask.send(&node.address).expect("an answer");
        assert_eq!((reply.status, reply.body), (200, result(&body)), "request {i}");
    }
}

/// What can't be kept is refused before anything is sent, with when to come back, where the operators say so.
#[test]
fn what_cannot_be_kept_is_refused_where_the_operators_say_so() {
    let _alone = alone();
    let site = Site::new("refuse", 1);
    // Promised to each of three parties: a sixth of the files' total.
    site.operator([16 * KIB, MIB, 256 * KIB, 256 * KIB], 256 * KIB, "refuse");
    let mut node = site.start();
    for (length, status) in [(100 * KIB, 200), (250 * KIB, 503)] {
        for chunked in [false, true] {
            let id = format!("q-{length}-{chunked}");
            let mut ask = TestRequest::new(&id, "fee-charge", sample_bytes(length, 1));
            ask.chunked = chunked;
            let reply = ask.send(&node.address).expect("an answer");
            assert_eq!(reply.status, status, "{id}");
            assert_eq!(reply.retry_after, (status == 503).then_some(2.0));
            assert!(reply.took < Duration::from_millis(700));
            assert_eq!(site.boxes.runs_of(&id).len(), usize::from(status == 200), "{id}");
        }
    }
    assert_eq!((node.figure("body_budget_exhausted"), node.figure("rejected")), (2, 2));
}

/// A body that is too long is known by its head, and by its chunks as soon as they are too many.
#[test]
fn a_body_that_is_too_long_is_answered_at_once() {
    let _alone = alone();
    let site = Site::new("long", 1);
    site.operator(BOUNDS, MIB, "stream");
    let mut node = site.start();
    let mut stream = TcpStream::connect(&node.address).expect("it listens");
    let head =
        TestRequest::new("q-1", "fee-charge", Vec::new()).head().replace("Length: 0", "Length: 1048577");
    stream.write_all(head.as_bytes()).expect("it reads");
    let reply = TestResponse::read(&mut stream, Instant::now()).expect("an answer");
    assert_eq!(reply.status, 413);
    let mut ask = TestRequest::new("q-2", "fee-charge", sample_bytes(2 * MIB, 1));
    ask.chunked = true;
    // The answer may be lost to the reset that what is left unread makes; a run may not be.
    assert!(ask.send(&node.address).is_ok_and(|r| r.status == 413));
    thread::sleep(Duration::from_millis(50));
    assert_eq!(site.boxes.runs(), []);
    assert_eq!(node.figure("body_too_large"), 2);
}

/// `Expect: 100-continue`: told to send where the body is taken; what is refused or too long is told without it.
#[test]
fn a_client_that_asks_first_sends_only_what_is_wanted() {
    let _alone = alone();
    let site = Site::new("expect", 1);
    site.operator(BOUNDS, MIB, "stream");
    let mut node = site.start();
    for length in [4 * KIB, 100 * KIB, 400 * KIB] {
        let body = sample_bytes(length, 5);
        let mut ask = TestRequest::new(&format!("q-{length}"), "fee-charge", body.clone());
        ask.expects = true;
        let reply = ask.send(&node.address).expect("an answer");
        assert_eq!((reply.status, reply.body), (200, result(&body)), "{length}");
    }
    site.operator(BOUNDS, MIB, "refuse");
    site.scratch.write(
        "operator.json",
        &std::fs::read_to_string(site.scratch.at("operator.json"))
            .expect("a file")
            .replace("\"largest_bytes\":1048576", "\"largest_bytes\":262144")
            .replace("\"total_bytes\":67108864", "\"total_bytes\":262144"),
    );
    node.signal("HUP");
    node.line("configuration reloaded");
    for (length, status) in [(2 * MIB, 413), (250 * KIB, 503)] {
        let mut ask = TestRequest::new("q-long", "fee-charge", sample_bytes(length, 5));
        ask.expects = true;
        assert_eq!(ask.send(&node.address).expect("an answer").status, status);
    }
    assert_eq!(site.boxes.runs().len(), 3);
}

/// A client that stops in mid-body frees everything at once, and its box sees a broken request, never a whole one.
#[test]
fn a_client_that_stops_in_mid_body_leaves_nothing_behind() {
    let _alone = alone();
    let site = Site::new("stops", 2);
    site.operator(BOUNDS, MIB, "stream");
    let mut node = site.start();
    let mut clients = Vec::new();
    for (i, length) in [10 * KIB, 200 * KIB, 600 * KIB, 600 * KIB].into_iter().enumerate() {
        let mut ask = TestRequest::new(&format!("q-{i}"), "fee-charge", sample_bytes(length, 1));
        ask.chunked = i == 3;
        let mut stream = TcpStream::connect(&node.address).expect("it listens");
        stream.write_all(ask.head().as_bytes()).expect("it reads");
        if ask.chunked {
            stream.write_all(format!("{length:x}\r\n").as_bytes()).expect("it reads");
        }
        stream.write_all(&ask.body[..length / 2]).expect("it reads");
        clients.push(stream);
    }
    let until = Instant::now() + Duration::from_secs(5);
    while node.figure("file_bytes") < 100 * KIB as u64
        || node.figure("attempts") < 2
        || site.boxes.begun() < 2
    {
        assert!(Instant::now() < until, "the bodies have not come");
    }
    drop(clients);
    while site.boxes.broken() < 2 || node.figure("body_client_disconnected") < 4 {
        assert!(Instant::now() < until, "{} broken", site.boxes.broken());
    }
    assert_eq!((node.figure("memory_bytes"), node.figure("file_bytes")), (0, 0));
    assert_eq!(site.boxes.runs(), [], "no box had one whole");
    let reply =
        TestRequest::new("q-9", "fee-charge", sample_bytes(9, 1)).send(&node.address).expect("an answer");
    assert_eq!(reply.status, 200);
}

/// Clients that send 1 byte a second of large bodies: they have an answer within 3 s, what they hold stays in budget,
/// and usual clients keep their turn.
#[test]
fn five_hundred_slow_clients_keep_no_one_waiting() {
    let _alone = alone();
    let site = Site::new("slow", 2);
    site.operator([64 * KIB, MIB, 256 * KIB, 4 * MIB], 16 * MIB, "stream");
    let mut node = site.start();
    let begun = Instant::now();
    let mut slow: Vec<TcpStream> = (0..500)
        .map(|i| {
            let length = [20 * KIB, 200 * KIB, 8 * MIB][i % 3];
            let head = TestRequest::new(&format!("slow-{i}"), "licence-issue", Vec::new()).head();
            let mut stream = TcpStream::connect(&node.address).expect("it listens");
            let head = head.replace("Length: 0", &format!("Length: {length}"));
            stream.write_all((head + "x").as_bytes()).expect("it reads");
            stream
        })
        .collect();
    let mut usual = 0;
    while begun.elapsed() < Duration::from_millis(1_800) {
        let body = sample_bytes(2 * KIB, usual);
        let reply = TestRequest::new(&format!("q-{usual}"), "fee-charge", body.clone())
            .send(&node.address)
            .expect("an answer");
        assert_eq!((reply.status, reply.body), (200, result(&body)), "usual client {usual}");
        assert!(reply.took < Duration::from_millis(300), "{:?}", reply.took);
        usual += 1;
        if usual % 8 == 0 {
            slow.iter_mut().for_each(|s| _ = s.write_all(b"x"));
            assert!(node.figure("memory_bytes") <= MIB as u64 && node.figure("file_bytes") <= 4 * MIB as u64);
        }
    }
    assert!(usual > 50, "{usual} usual requests");
    for (i, stream) in slow.iter_mut().enumerate() {
        stream.set_read_timeout(Some(Duration::from_secs(3))).expect("a socket");
        let mut got = Vec::new();
        let _ = stream.read_to_end(&mut got);
        assert!(
            got.is_empty() || got.starts_with(b"HTTP/1.1 408 "),
            "{i}: {}",
            String::from_utf8_lossy(&got)
        );
    }
    assert!(begun.elapsed() < Duration::from_secs(5), "{:?}", begun.elapsed());
    assert_eq!((node.figure("memory_bytes"), node.figure("file_bytes")), (0, 0));
    assert_eq!(site.boxes.runs().len(), usual as usize, "no slow one ran");
}

/// SIGHUP shrinks the budgets under load, a bad file changes nothing, and SIGTERM with files open finishes all.
#[test]
fn budgets_shrink_under_load_and_a_term_finishes_what_has_files() {
    let _alone = alone();
    let site = Site::new("signals", 2);
    site.operator([MIB, 16 * MIB, 8 * MIB, 128 * MIB], 8 * MIB, "stream");
    let mut node = site.start();
    site.boxes.usual(WorkerBehavior::StalledListener);
    let asks = (0..22).map(|i| {
        let body = sample_bytes(if i < 8 { 3 * MIB } else { 900 * KIB }, i);
        let expected = result(&body);
        (TestRequest::new(&format!("q-{i}"), "licence-issue", body), expected)
    });
    let mut asks = asks.collect::<Vec<_>>().into_iter();
    let address = node.address.clone();
    let client = |(ask, expected): (TestRequest, String)| {
        let address = address.clone();
        thread::spawn(move || (ask.send(&address).expect("an answer"), expected))
    };
    // Long ones first, each whole before the next: on its way to its file a body holds memory too, and which of those
    // that come at once has how much of it is chance. The boxes hold their answers, so all of it stands until the end.
    let until = Instant::now() + Duration::from_secs(5);
    let mut clients = Vec::new();
    for (i, ask) in asks.by_ref().take(16).enumerate() {
        clients.push(client(ask));
        while site.boxes.runs().len() <= i {
            assert!(Instant::now() < until, "body {i} has not come");
        }
    }
    while node.figure("memory_bytes") < 5 * MIB as u64 || node.figure("file_bytes") < 20 * MIB as u64 {
        assert!(Instant::now() < until, "the bodies have not come");
    }
    site.scratch.write("operator.json", r#"{"bodies":{"unkept":"drop"}}"#);
    node.signal("HUP");
    assert!(node.line("configuration unchanged").contains("bodies.unkept: unknown variant"));
    assert!(node.figure("memory_bytes") > 0);
    // These come while the budgets shrink.
    clients.extend(asks.map(client));
    site.operator([64 * KIB, MIB, 8 * MIB, 128 * MIB], 8 * MIB, "stream");
    node.signal("HUP");
    node.line("configuration reloaded");
    while node.figure("memory_bytes") > MIB as u64 {
        assert!(Instant::now() < until, "what is in memory does not step down");
    }
    assert!(node.figure("bodies_spilled") >= 4);
    while node.figure("requests_sent") < 22 {
        assert!(Instant::now() < until, "those that came during the change are not whole");
    }
    node.signal("TERM");
    assert_eq!(node.figure("in_progress"), 22, "what was asked to end goes on until its answers come");
    site.boxes.release();
    let rest = node.end();
    for client in clients {
        let (reply, expected) = client.join().expect("a client");
        assert_eq!((reply.status, reply.body), (200, expected));
    }
    assert!(rest.contains("served=22 "), "{rest}");
    assert!(rest.contains("memory_bytes=0 file_bytes=0"), "{rest}");
}

/// A real bound on files, as an ordinary user may have it: bodies step down, none is corrupt, and the node lives.
#[test]
fn a_bound_on_the_size_of_files_is_a_full_disk() {
    let _alone = alone();
    let site = Site::new("fsize", 2);
    site.operator([64 * KIB, MIB, 8 * MIB, 64 * MIB], 8 * MIB, "stream");
    let mut shell = Command::new("sh");
    // In blocks of 512 bytes by POSIX, of 1024 in some shells: 1 or 2 MB.
    shell.args(["-c", "ulimit -f 2048; exec \"$0\"", env!("CARGO_BIN_EXE_sorrelhaven")]);
    let mut node = site.begin(shell);
    let address = node.address.clone();
    let clients: Vec<_> = (0..8u64)
        .map(|i| {
            let address = address.clone();
            thread::spawn(move || {
                let body = sample_bytes(if i % 2 == 0 { 4 * MIB } else { 2 * KIB }, i);
                let reply = TestRequest::new(&format!("q-{i}"), "fee-charge", body.clone()).send(&address);
                (reply.expect("an answer"), result(&body))
            })
        })
        .collect();
    for client in clients {
        let (reply, expected) = client.join().expect("a client");
        assert_eq!((reply.status, reply.body), (200, expected));
    }
    assert!(node.figure("not_stored_disk_full") >= 1);
    assert!(site.boxes.runs().iter().all(|r| site.boxes.runs_of(&r.id).len() == 1));
}

/// A disk that is full at the start is a warning that names the key; bodies go on without files.
#[test]
fn a_directory_that_is_full_at_the_start_is_named_by_its_key() {
    let _alone = alone();
    let site = Site::new("full", 2);
    site.operator(BOUNDS, MIB, "stream");
    let program = || {
        let mut shell = Command::new("sh");
        shell.args(["-c", "ulimit -f 0; exec \"$0\" \"$@\"", env!("CARGO_BIN_EXE_sorrelhaven")]);
        shell
    };
    let mut node = site.begin(program());
    let warned =
        node.early().iter().any(|l| l.contains("WARN") && l.contains("bodies.files.directory: it is full"));
    assert!(warned, "{:?}", node.early());
    let body = sample_bytes(100 * KIB, 1);
    let reply = TestRequest::new("q-1", "fee-charge", body.clone()).send(&node.address).expect("an answer");
    assert_eq!((reply.status, reply.body), (200, result(&body)));
    assert_eq!((node.figure("body_streamed"), node.figure("not_stored_disk_full")), (1, 1));
}

/// A directory that can't be used ends the start with one line that names the key, and a reload changes nothing.
#[test]
fn a_directory_that_cannot_be_used_is_named_by_its_key() {
    let _alone = alone();
    let site = Site::new("directory", 1);
    std::fs::create_dir(site.scratch.at("real")).expect("a directory");
    std::os::unix::fs::symlink(site.scratch.at("real"), site.scratch.at("link")).expect("a link");
    site.operator(BOUNDS, MIB, "stream");
    let node_file = site.scratch.at("node.json");
    let good = std::fs::read_to_string(site.scratch.at("operator.json")).expect("a file");
    let spool = site.scratch.at("spool").display().to_string();
    let mut running = site.start();
    for (directory, what) in [
        (site.scratch.at("none").display().to_string(), "there is no such directory"),
        (site.scratch.at("link").display().to_string(), "is a symbolic link"),
        (node_file.display().to_string(), "it is not a directory"),
        ("/proc".to_string(), "/proc: it can't be"),
    ] {
        let operator = site.scratch.write("operator.json", &good.replace(&spool, &directory));
        for (args, code) in [(&["check"][..], 2), (&["run"][..], 1)] {
            let mut command = Command::new(env!("CARGO_BIN_EXE_sorrelhaven"));
            command.args(args).env("RELAY_CONFIG", &node_file).env("SORRELHAVEN_OPERATOR", &operator);
            let output = command.env("RUST_LOG", "warn").output().expect("it runs");
            let said = String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned();
            assert_eq!(output.status.code(), Some(code), "{said}");
            assert_eq!(said.lines().count(), 1, "{said}");
            assert!(said.contains("bodies.files.directory: ") && said.contains(what), "{said}");
        }
        running.signal("HUP");
        let line = running.line("configuration unchanged");
        assert!(line.contains("bodies.files.directory: ") && line.contains(what), "{line}");
    }
    let reply = TestRequest::new("q-1", "fee-charge", sample_bytes(100 * KIB, 1))
        .send(&running.address)
        .expect("an answer");
    assert_eq!((reply.status, running.figure("body_in_file")), (200, 1), "the old directory is in use");
}
