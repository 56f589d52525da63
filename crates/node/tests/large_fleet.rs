//! A node with thousands of workers on a small share of a core answers each request in time, also while
//! workers hang and a release replaces half of the worker list.

use sorrelhaven_test_support::{
    CpuShare, FakeWorkers, Program, ScratchDir, TestRequest, WatchStep, WorkerBehavior, cpu_time,
    serve_discovery, worker_list,
};
use std::net::SocketAddr;
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Entries of the list, each a worker of its own to the node.
const WORKERS: usize = 3_200;
/// Processes that serve them: entry n is served by process n modulo this.
const SERVERS: usize = 16;
/// The number of these processes that hang for a time.
const HANGING_SERVERS: usize = 14;
/// The size of a list that processor time is compared with.
const USUAL_WORKERS: usize = 200;
/// How often the use with that list is measured; an odd number.
const USUAL_MEASUREMENTS: usize = 3;
const REQUESTS_PER_SECOND: usize = 40;
/// For so long requests arrive.
const LOAD_DURATION: Duration = Duration::from_secs(12);
/// When workers begin to hang and the release begins.
const FAULT_START: Duration = Duration::from_secs(3);
/// When both end.
const FAULT_END: Duration = Duration::from_secs(8);
/// Updates of the list in which the release is sent.
const RELEASE_PARTS: usize = 10;
/// What a hanging server does: it resets the connections after the end of the fault, when most clients have
/// given up.
const HANG: WorkerBehavior = WorkerBehavior::SilentThenReset(5_300);
/// A node's share of a core, in multiples of its mean use with [`USUAL_WORKERS`] workers.
const SHARE_OF_USUAL_USE: f64 = 1.5;
/// An answer that is later than its deadline by more than this counts as lost.
const ANSWER_GRACE: Duration = Duration::from_millis(500);

/// One entry of the list.
fn entry(number: usize, servers: &[SocketAddr], health: &str) -> String {
    let dial = servers[number % servers.len()];
    let zone = number % 3;
    format!(
        r#"{{"host":"s-{number:08x}","dial":"{dial}","site":"zone-{zone}","class":"m","block":{number},"health":"{health}","share":1.0,"born_ms":0}}"#
    )
}

/// The file of a node among 300, whose clients wait for 5 s.
fn config(discovery: SocketAddr, known: &str) -> String {
    let class = |name: &str, effect: &str| {
        format!(r#"{{"name":"{name}","aim":1000000,"deadline":5000000,"lateValue":0.5,"effect":{effect}}}"#)
    };
    let keyed = class("licence-issue", r#""deduplicated","dedupScope":"zone","repeatWindow":10000000"#);
    let once = class("fee-charge", r#""at_most_once""#);
    format!(
        r#"{{"name":"n62","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"1f",
            "limits":{{"sockets":1024,"memory_mb":192}},"known":{known},
            "settings":{{"balancers":300,"me":62,"zone":1,"zones":["zone-0","zone-1","zone-2"],"kinds":["m"],
                "ceilings":{{"maxAttempts":6,"dialTimeout":250000,"cancel":true,"retryAfter":true,
                    "maxRetryAfter":2000000}},
                "invariants":{{"cold":24000000,"fall":1000000,"overloadFactor":3.0,"startCapacity":0.12}},
                "familyInfo":{{"tellsStart":true}},"grades":[{keyed},{once}]}}}}"#
    )
}

/// A discovery that sends each list that it is given to every watch.
struct Discovery {
    lists: Arc<Mutex<Vec<String>>>,
    address: SocketAddr,
}

impl Discovery {
    fn new() -> Discovery {
        let lists: Arc<Mutex<Vec<String>>> = Arc::default();
        let served = lists.clone();
        let address = serve_discovery(move || {
            let lists = served.clone();
            let mut sent = 0;
            move || {
                let unsent = lists.lock().unwrap_or_else(PoisonError::into_inner)[sent..].to_vec();
                sent += unsent.len();
                WatchStep::Send(unsent)
            }
        });
        Discovery { lists, address }
    }

    fn send(&self, list: &str) {
        self.lists.lock().unwrap_or_else(PoisonError::into_inner).push(format!("{list}\n"));
    }
}

/// The outcomes of all requests.
#[derive(Debug, Default)]
struct RequestCounts {
    answered: AtomicUsize,
    served: AtomicUsize,
    /// Requests without an answer within [`ANSWER_GRACE`] of their deadline.
    lost: AtomicUsize,
}

/// Sends one request on a connection of its own, and waits for the answer.
fn send_request(number: usize, address: &str, counts: &RequestCounts) {
    let class = ["licence-issue", "fee-charge"][number % 2];
    let mut request = TestRequest::new(&format!("q-{number}"), class, vec![b'x'; 200]);
    request.timeout = Duration::from_secs(5);
    request.work_hint_micros = Some(40_000);
    // One request in seven has the same affinity key, one in ten another one.
    let mut rng = fastrand::Rng::with_seed(number as u64);
    request.affinity_key = Some(match rng.u8(0..100) {
        0..15 => "7d3e94f201".to_string(),
        15..25 => "6b22950b01".to_string(),
        _ => format!("{:010x}", rng.u32(0..500)),
    });
    match request.send(address) {
        Ok(response) if response.elapsed <= request.timeout + ANSWER_GRACE => {
            counts.answered.fetch_add(1, Ordering::Relaxed);
            counts.served.fetch_add(usize::from(response.status == 200), Ordering::Relaxed);
        }
        Ok(_) | Err(_) => {
            counts.lost.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// The load that a node is measured under.
struct Scenario {
    workers: usize,
    /// The node's share of a core; `None` for no limit.
    cpu_share: Option<f64>,
}

/// What was measured.
#[derive(Debug)]
struct Measurement {
    requests: Arc<RequestCounts>,
    /// Processor time of the node between the first request and the last answer.
    cpu_time: Duration,
    counters: String,
}

/// Held while a node is measured: the usual use is measured on its own, and so are those that are compared
/// with it. Two loaded nodes at a time would cost each other processor time.
static MEASURING: Mutex<()> = Mutex::new(());

/// Loads a node for [`LOAD_DURATION`]. From [`FAULT_START`] to [`FAULT_END`] most workers hang and a release
/// replaces half of the list.
fn measure(scenario: &Scenario) -> Measurement {
    let _alone = MEASURING.lock().unwrap_or_else(PoisonError::into_inner);
    let workers = FakeWorkers::new(SERVERS);
    workers.set_default_behavior(WorkerBehavior::DoneAfterMillis(40));
    let discovery = Discovery::new();
    let scratch = ScratchDir::new("large");
    let entries: Vec<_> =
        (0..scenario.workers).map(|number| entry(number, &workers.addresses, "in_service")).collect();
    let file = scratch.write("node.json", &config(discovery.address, &worker_list(1, true, &entries)));
    let mut command = Command::new(env!("CARGO_BIN_EXE_sorrelhaven"));
    command.env("RUST_LOG", "error,sorrelhaven=info,sorrelhaven_engine=warn");
    let program = Program::start(command, &file, None);
    let process = program.child.id();
    let requests = Arc::<RequestCounts>::default();
    let limit = scenario.cpu_share.map(|share| CpuShare::limit(process, share));
    let begun = Instant::now();
    let cpu_time_before = cpu_time(process);
    let clients = {
        let (requests, address) = (requests.clone(), program.address.clone());
        thread::spawn(move || send_requests(begun, &address, &requests))
    };
    hang_and_release(begun, scenario.workers, &workers, &discovery);
    clients.join().expect("the clients end");
    let cpu_time = cpu_time(process) - cpu_time_before;
    drop(limit);
    Measurement { requests, cpu_time, counters: program.terminate() }
}

/// Has servers hang from [`FAULT_START`] to [`FAULT_END`] after `begun`, and sends the release meanwhile.
fn hang_and_release(begun: Instant, worker_count: usize, workers: &FakeWorkers, discovery: &Discovery) {
    let wait_until = |at: Duration| thread::sleep((begun + at).saturating_duration_since(Instant::now()));
    wait_until(FAULT_START);
    for server in 0..HANGING_SERVERS {
        workers.set_worker_behavior(server, Some(HANG));
    }
    let part_interval = (FAULT_END - FAULT_START) / RELEASE_PARTS as u32;
    for part in 0..RELEASE_PARTS {
        discovery.send(&release_part(part, worker_count, &workers.addresses));
        wait_until(FAULT_START + part_interval * (part as u32 + 1));
    }
    for server in 0..HANGING_SERVERS {
        workers.set_worker_behavior(server, None);
    }
}

/// One update of a release that replaces half of the list: old workers begin to drain, new ones are in
/// service.
fn release_part(part: usize, workers: usize, servers: &[SocketAddr]) -> String {
    let part_length = workers / 2 / RELEASE_PARTS;
    let replaced = part * part_length..(part + 1) * part_length;
    let old = replaced.clone().map(|number| entry(number, servers, "terminating"));
    let new = replaced.map(|number| entry(workers + number, servers, "in_service"));
    worker_list(part as u64 + 2, false, &old.chain(new).collect::<Vec<_>>())
}

/// Sends all requests, evenly spread over [`LOAD_DURATION`], and waits for the answers.
fn send_requests(begun: Instant, address: &str, counts: &Arc<RequestCounts>) {
    let count = REQUESTS_PER_SECOND * LOAD_DURATION.as_secs() as usize;
    let client = |number: usize| {
        let send_at = begun + LOAD_DURATION.mul_f64(number as f64 / count as f64);
        thread::sleep(send_at.saturating_duration_since(Instant::now()));
        let (counts, address) = (counts.clone(), address.to_string());
        thread::spawn(move || send_request(number, &address, &counts))
    };
    let clients: Vec<_> = (0..count).map(client).collect();
    clients.into_iter().for_each(|client| client.join().expect("the client ends"));
}

/// The processor time that the same load takes with [`USUAL_WORKERS`] workers, by this build on this machine:
/// the median of [`USUAL_MEASUREMENTS`], since one reading alone would move the bounds by a fifth.
fn usual_cpu_time() -> Duration {
    static CPU_TIME: OnceLock<Duration> = OnceLock::new();
    *CPU_TIME.get_or_init(|| {
        let mut cpu_times: Vec<Duration> = (0..USUAL_MEASUREMENTS).map(|_| measure_usual()).collect();
        cpu_times.sort_unstable();
        cpu_times[USUAL_MEASUREMENTS / 2]
    })
}

fn measure_usual() -> Duration {
    let measured = measure(&Scenario { workers: USUAL_WORKERS, cpu_share: None });
    assert_eq!(measured.requests.lost.load(Ordering::Relaxed), 0, "{measured:?}");
    measured.cpu_time
}

/// The operators allow, for more workers, 1.4 times the usual time, and 0.02 s and 0.03 s for each thousand.
#[test]
fn thousands_of_workers_cost_no_more_processor_time_than_allowed() {
    let usual = usual_cpu_time();
    let measured = measure(&Scenario { workers: WORKERS, cpu_share: None });
    let allowed = usual.mul_f64(1.4) + Duration::from_millis(20) + Duration::from_millis(30).mul_f64(3.2);
    println!(
        "{usual:?} with {USUAL_WORKERS} workers, {:?} with {WORKERS}, {allowed:?} allowed",
        measured.cpu_time
    );
    assert!(
        measured.cpu_time <= allowed,
        "{:?} used, {allowed:?} allowed: {}",
        measured.cpu_time,
        measured.counters
    );
}

/// A node whose share of a core is [`SHARE_OF_USUAL_USE`] times its mean use with the usual number of workers
/// answers everything in time with thousands.
#[test]
fn with_thousands_of_workers_each_request_is_answered_in_time_on_a_small_share_of_a_core() {
    let share = (usual_cpu_time().div_duration_f64(LOAD_DURATION) * SHARE_OF_USUAL_USE).min(0.9);
    let measured = measure(&Scenario { workers: WORKERS, cpu_share: Some(share) });
    let requests = &measured.requests;
    println!("share {share:.3}: {requests:?}, {}", measured.counters);
    assert_eq!(
        requests.lost.load(Ordering::Relaxed),
        0,
        "no answer in time on a share of {share:.3}: {measured:?}"
    );
    assert_eq!(
        requests.answered.load(Ordering::Relaxed),
        REQUESTS_PER_SECOND * LOAD_DURATION.as_secs() as usize
    );
}
