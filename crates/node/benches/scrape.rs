//! The cost of `show-stat`: its response time under load, and the throughput, response times and processor
//! time of requests with 10 scrapes per second compared to none. The phases with and without scrapes
//! alternate in one run. Measured with 10, 200 and 1,000 workers.
//!
//!     cargo bench -p sorrelhaven --bench scrape

use sorrelhaven_test_support::{
    FakeWorkers, Program, ScratchDir, TestRequest, WorkerBehavior, cpu_time, workers_config,
};
use std::net::TcpStream;
use std::process::Command;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const CLIENT_COUNT: usize = 24;
const SERVER_COUNT: usize = 10;
const JOB_MILLIS: u64 = 2;
/// Number of phases of each kind.
const PHASES_PER_KIND: usize = 6;
const PHASE_DURATION: Duration = Duration::from_millis(1_500);
const SCRAPES_PER_SECOND: u32 = 10;
/// The kinds of phases, as indices of [`Run::measurements`].
const WITHOUT_SCRAPES: usize = 0;
const WITH_SCRAPES: usize = 1;
/// The kind between phases, during which nothing is recorded.
const NO_PHASE: usize = usize::MAX;

/// The measurements in all phases of one kind.
#[derive(Default)]
struct PhaseMeasurements {
    response_times: Vec<Duration>,
    cpu_time: Duration,
}

impl PhaseMeasurements {
    /// The quantile `fraction` (0 to 1) of the response times, in milliseconds.
    fn quantile_ms(&mut self, fraction: f64) -> f64 {
        self.response_times.sort_unstable();
        let index = ((self.response_times.len() - 1) as f64 * fraction) as usize;
        self.response_times[index].as_secs_f64() * 1e3
    }
}

/// One call of `show-stat`.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Scrape {
    elapsed: Duration,
    bytes: usize,
}

/// The state that the threads of a run share.
struct Run {
    node: Program,
    stop: AtomicBool,
    /// The kind of the current phase.
    phase_kind: AtomicUsize,
    /// The measurements of each kind of phase.
    measurements: Mutex<[PhaseMeasurements; 2]>,
}

fn main() {
    println!(
        "  workers  scrapes  requests/s  p50 ms  p99 ms  CPU us/request  show-stat p50 ms  max ms  bytes"
    );
    for worker_count in [10, 200, 1_000] {
        measure(worker_count);
    }
}

fn measure(worker_count: usize) {
    let servers = FakeWorkers::new(SERVER_COUNT);
    servers.set_default_behavior(WorkerBehavior::DoneAfterMillis(JOB_MILLIS));
    // Many workers of the list share the address of one server: with their number only the list and the
    // node's records of them grow.
    let addresses: Vec<_> = servers.addresses.iter().copied().cycle().take(worker_count).collect();
    let scratch = ScratchDir::new("scrape");
    let config = scratch.write("node.json", &workers_config(&addresses));
    let mut command = Command::new(env!("CARGO_BIN_EXE_sorrelhaven"));
    command.env("RELAY_OPS", "127.0.0.1:0").env("RUST_LOG", "info,module=warn");
    let run = Run {
        node: Program::start(command, &config, None),
        stop: AtomicBool::new(false),
        phase_kind: AtomicUsize::new(NO_PHASE),
        measurements: Mutex::default(),
    };
    let mut scrapes = Vec::new();
    thread::scope(|scope| {
        for client in 0..CLIENT_COUNT {
            let run = &run;
            scope.spawn(move || run.send_requests(client));
        }
        thread::sleep(PHASE_DURATION);
        for number in 0..2 * PHASES_PER_KIND {
            // The kinds alternate in pairs of phases, and each kind comes first in half of the pairs.
            let kind = (number + number / 2) % 2;
            run.run_phase(kind, &mut scrapes);
        }
        run.stop.store(true, Ordering::Relaxed);
    });
    scrapes.sort_unstable();
    print_phases(worker_count, &run, &scrapes);
}

impl Run {
    /// Sends requests on one connection until the end of the run, as one client.
    fn send_requests(&self, client: usize) {
        let mut stream = TcpStream::connect(&self.node.address).expect("the node accepts the connection");
        let _ = stream.set_nodelay(true);
        for number in 0.. {
            if self.stop.load(Ordering::Relaxed) {
                return;
            }
            let id = format!("q-{client}-{number}");
            let mut request = TestRequest::new(&id, "renewal-check", vec![b'x'; 200]);
            request.work_hint_micros = Some(2_000);
            let kind = self.phase_kind.load(Ordering::Relaxed);
            let response = request.send_on(&mut stream).expect("the request is answered");
            assert_eq!(response.status, 200);
            if let Some(phase) = self.measurements.lock().expect("no thread has panicked").get_mut(kind) {
                phase.response_times.push(response.elapsed);
            }
        }
    }

    /// Runs one phase of this kind and records its measurements.
    fn run_phase(&self, kind: usize, scrapes: &mut Vec<Scrape>) {
        let used_before = cpu_time(self.node.child.id());
        self.phase_kind.store(kind, Ordering::Relaxed);
        let end = Instant::now() + PHASE_DURATION;
        while Instant::now() < end {
            if kind == WITH_SCRAPES {
                let started_at = Instant::now();
                let text = self.node.admin_command("show-stat");
                assert!(text.ends_with("EOT\n"));
                scrapes.push(Scrape { elapsed: started_at.elapsed(), bytes: text.len() });
            }
            let pause = Duration::from_secs(1) / SCRAPES_PER_SECOND;
            thread::sleep(pause.min(end.saturating_duration_since(Instant::now())));
        }
        self.phase_kind.store(NO_PHASE, Ordering::Relaxed);
        let used = cpu_time(self.node.child.id()) - used_before;
        self.measurements.lock().expect("no thread has panicked")[kind].cpu_time += used;
    }
}

/// Prints a table row for each kind of phase. `scrapes` must be sorted by elapsed time.
fn print_phases(worker_count: usize, run: &Run, scrapes: &[Scrape]) {
    let mut measurements = run.measurements.lock().expect("no thread has panicked");
    for (kind, phase) in measurements.iter_mut().enumerate() {
        let requests = phase.response_times.len();
        let rate = requests as f64 / (PHASE_DURATION * PHASES_PER_KIND as u32).as_secs_f64();
        let cpu_us = phase.cpu_time.as_secs_f64() * 1e6 / requests as f64;
        let p50_ms = phase.quantile_ms(0.5);
        let p99_ms = phase.quantile_ms(0.99);
        let scrape_rate = if kind == WITHOUT_SCRAPES { 0 } else { SCRAPES_PER_SECOND };
        print!("{worker_count:9}  {scrape_rate:7}  {rate:10.0}  {p50_ms:6.2}  {p99_ms:6.2}  {cpu_us:14.1}");
        if kind == WITHOUT_SCRAPES {
            println!("                 -       -      -");
            continue;
        }
        let scrape_p50_ms = scrapes[scrapes.len() / 2].elapsed.as_secs_f64() * 1e3;
        let scrape_max_ms = scrapes[scrapes.len() - 1].elapsed.as_secs_f64() * 1e3;
        println!("  {scrape_p50_ms:16.2}  {scrape_max_ms:6.2}  {:5}", scrapes[0].bytes);
    }
}
