//! What it costs that workers refuse requests: connects, processor time and descriptors of the node, and requests that
//! were answered 502 although another worker could have run them. All requests are of a class that must not run twice,
//! and are sent at a fixed rate while they are answered in time.
//!
//!     cargo bench -p sorrelhaven --bench refusals

use sorrelhaven_test_support::{
    FakeWorkers, Program, ScratchDir, TestRequest, TestResponse, WorkerBehavior, cpu_time, sample_bytes,
    workers_config,
};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::TcpStream;
use std::process::Command;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const CLIENT_COUNT: u32 = 24;
const SERVER_COUNT: usize = 12;
const JOB_MILLIS: u64 = 2;
/// The interval at which one client sends requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
const DURATION: Duration = Duration::from_secs(6);
const DESCRIPTOR_SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// More attempts than are made in one run.
const SCRIPT_LENGTH: usize = 100_000;
/// Determines which attempts are refused.
const SEED: u64 = 59;

/// A measured case.
struct Case {
    name: &'static str,
    /// The number of workers in the list; several have the address of the same server.
    workers: usize,
    /// Of 256 attempts, how many the workers refuse.
    refused_of_256: u16,
}

const CASES: [Case; 4] = [
    Case { name: "calm, 1 in 100 refused", workers: SERVER_COUNT, refused_of_256: 3 },
    Case { name: "busy, 1 in 5 refused", workers: SERVER_COUNT, refused_of_256: 51 },
    Case { name: "full, all refused", workers: SERVER_COUNT, refused_of_256: 256 },
    Case { name: "large, 1 in 100 refused", workers: 3_000, refused_of_256: 3 },
];

fn descriptor_count(process_id: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process_id}/fd")).map_or(0, Iterator::count)
}

/// Which of the next attempts are refused.
fn script(refused_of_256: u16) -> Vec<WorkerBehavior> {
    let draws = sample_bytes(SCRIPT_LENGTH, SEED);
    let behavior = |draw: u8| match u16::from(draw) < refused_of_256 {
        true => WorkerBehavior::Rejected,
        false => WorkerBehavior::DoneAfterMillis(JOB_MILLIS),
    };
    draws.into_iter().map(behavior).collect()
}

fn main() {
    println!(
        "case                      requests    200    503    502  connects/s  CPU us/request  descriptors"
    );
    CASES.iter().for_each(measure);
}

fn measure(case: &Case) {
    let servers = FakeWorkers::new(SERVER_COUNT);
    servers.script(&script(case.refused_of_256));
    let addresses: Vec<_> = servers.addresses.iter().copied().cycle().take(case.workers).collect();
    let scratch = ScratchDir::new("refusals");
    let config = scratch.write("node.json", &workers_config(&addresses));
    let mut command = Command::new(env!("CARGO_BIN_EXE_sorrelhaven"));
    command.env("RELAY_OPS", "127.0.0.1:0").env("RUST_LOG", "info,module=warn");
    let mut node = Program::start(command, &config, None);
    let statuses: Mutex<BTreeMap<u16, u32>> = Mutex::default();
    let used_before = cpu_time(node.child.id());
    let stop = AtomicBool::new(false);
    let mut most_descriptors = 0;
    thread::scope(|scope| {
        let clients: Vec<_> = (0..CLIENT_COUNT)
            .map(|client| {
                let (node, statuses) = (&node, &statuses);
                scope.spawn(move || send_requests(node, client, statuses))
            })
            .collect();
        let sampler = scope.spawn(|| {
            while !stop.load(Ordering::Relaxed) {
                most_descriptors = most_descriptors.max(descriptor_count(node.child.id()));
                thread::sleep(DESCRIPTOR_SAMPLE_INTERVAL);
            }
        });
        let ended: Vec<_> = clients.into_iter().map(thread::ScopedJoinHandle::join).collect();
        stop.store(true, Ordering::Relaxed);
        assert!(ended.iter().all(Result::is_ok), "a client has panicked");
        sampler.join().expect("the sampler does not panic");
    });
    let used = cpu_time(node.child.id()) - used_before;
    let connects = node.counter("upstream_connections") as f64 / DURATION.as_secs_f64();
    let statuses = statuses.into_inner().expect("no thread has panicked");
    let count = |status: u16| statuses.get(&status).copied().unwrap_or(0);
    let requests: u32 = statuses.values().sum();
    let cpu_us = used.as_secs_f64() * 1e6 / f64::from(requests);
    let [served, rejected, failed] = [200, 503, 502].map(count);
    println!(
        "{:24}  {requests:8}  {served:5}  {rejected:5}  {failed:5}  {connects:10.1}  {cpu_us:14.1}  {most_descriptors:11}",
        case.name
    );
}

/// Sends requests on one connection, as one client: at a fixed rate, or as fast as the answers come if they take longer.
fn send_requests(node: &Program, client: u32, statuses: &Mutex<BTreeMap<u16, u32>>) {
    let mut stream = TcpStream::connect(&node.address).expect("the node accepts the connection");
    let _ = stream.set_nodelay(true);
    let begun = Instant::now() + REQUEST_INTERVAL * client / CLIENT_COUNT;
    for number in 0u32.. {
        let due = begun + REQUEST_INTERVAL * number;
        if due.max(Instant::now()) > begun + DURATION {
            return;
        }
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let mut request = TestRequest::new(&format!("q-{client}-{number}"), "fee-charge", vec![b'x'; 200]);
        request.timeout = Duration::from_millis(500);
        request.work_hint_micros = Some(2_000);
        let bytes = [request.head().as_bytes(), &request.body].concat();
        stream.write_all(&bytes).expect("the node reads the request");
        let response = TestResponse::read(&mut stream, Instant::now()).expect("the request is answered");
        *statuses.lock().expect("no thread has panicked").entry(response.status).or_default() += 1;
    }
}
