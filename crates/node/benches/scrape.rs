//! What `show-stat` costs: its time to answer under load, and the service with 10 scrapes a second beside the same
//! service without, phase by phase in the same run, at 10, 200 and 1,000 executors.
//!
//!     cargo bench -p sorrelhaven --bench scrape

use sorrelhaven_test_support::{
    FakeWorkers, Program, ScratchDir, TestRequest, WorkerBehavior, workers_config,
};
use std::net::TcpStream;
use std::process::Command;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: usize = 24;
const ROUNDS: usize = 6;
const PHASE: Duration = Duration::from_millis(1_500);
const SCRAPES_PER_S: u32 = 10;

/// What a phase came to.
#[derive(Default)]
struct Phase {
    took: Vec<Duration>,
    cpu: Duration,
}

impl Phase {
    fn quantile(&mut self, share: f64) -> f64 {
        self.took.sort_unstable();
        let at = ((self.took.len() - 1) as f64 * share) as usize;
        self.took[at].as_secs_f64() * 1e3
    }
}

/// The processor time of a process so far, by its clock ticks of 10 ms.
fn cpu(id: u32) -> Duration {
    let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).expect("a process");
    let fields: Vec<&str> = stat.rsplit(')').next().expect("its fields").split_whitespace().collect();
    let ticks = |i: usize| fields[i].parse::<u64>().expect("a number");
    Duration::from_millis(10 * (ticks(11) + ticks(12)))
}

fn main() {
    println!(
        "executors  scrapes  requests/s  p50 ms  p99 ms  CPU us/request  show-stat p50 ms  max ms  bytes"
    );
    for executors in [10, 200, 1_000] {
        run(executors);
    }
}

fn run(executors: usize) {
    let boxes = FakeWorkers::new(10);
    boxes.usual(WorkerBehavior::Takes(2));
    // Each box stands for many executors: the list, and what the node knows, is as long as it says.
    let addresses: Vec<_> = boxes.addresses.iter().copied().cycle().take(executors).collect();
    let scratch = ScratchDir::new("scrape");
    let config = scratch.write("node.json", &workers_config(&addresses));
    let mut command = Command::new(env!("CARGO_BIN_EXE_sorrelhaven"));
    command.env("RELAY_OPS", "127.0.0.1:0").env("RUST_LOG", "info,module=warn");
    let node = Program::start(command, &config, None);
    let (stop, phase) = (AtomicBool::new(false), AtomicUsize::new(usize::MAX));
    let phases = Mutex::new([Phase::default(), Phase::default()]);
    let mut shown: Vec<(Duration, usize)> = Vec::new();
    thread::scope(|scope| {
        for client in 0..CLIENTS {
            let (stop, phase, phases, node) = (&stop, &phase, &phases, &node);
            scope.spawn(move || {
                let mut stream = TcpStream::connect(&node.address).expect("it listens");
                let _ = stream.set_nodelay(true);
                for n in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let mut ask =
                        TestRequest::new(&format!("q-{client}-{n}"), "renewal-check", vec![b'x'; 200]);
                    ask.hint = Some(2_000);
                    let now = phase.load(Ordering::Relaxed);
                    let reply = ask.send_on(&mut stream).expect("an answer");
                    assert_eq!(reply.status, 200);
                    if let Some(phase) = phases.lock().expect("a phase").get_mut(now) {
                        phase.took.push(reply.took);
                    }
                }
            });
        }
        thread::sleep(PHASE);
        for round in 0..2 * ROUNDS {
            // In turn, and each kind first as often.
            let scrapes = (round + round / 2) % 2;
            let before = cpu(node.child.id());
            phase.store(scrapes, Ordering::Relaxed);
            let end = Instant::now() + PHASE;
            while Instant::now() < end {
                if scrapes == 1 {
                    let begun = Instant::now();
                    let text = node.call("show-stat");
                    assert!(text.ends_with("EOT\n"));
                    shown.push((begun.elapsed(), text.len()));
                }
                thread::sleep(
                    (Duration::from_secs(1) / SCRAPES_PER_S)
                        .min(end.saturating_duration_since(Instant::now())),
                );
            }
            phase.store(usize::MAX, Ordering::Relaxed);
            phases.lock().expect("the phases")[scrapes].cpu += cpu(node.child.id()) - before;
        }
        stop.store(true, Ordering::Relaxed);
    });
    shown.sort_unstable();
    let (p50, max) = (shown[shown.len() / 2].0, shown[shown.len() - 1].0);
    for (scrapes, phase) in phases.lock().expect("the phases").iter_mut().enumerate() {
        let requests = phase.took.len();
        let rate = requests as f64 / (PHASE * ROUNDS as u32).as_secs_f64();
        let each = phase.cpu.as_secs_f64() * 1e6 / requests as f64;
        let (half, late) = (phase.quantile(0.5), phase.quantile(0.99));
        print!(
            "{executors:9}  {:7}  {rate:10.0}  {half:6.2}  {late:6.2}  {each:14.1}",
            scrapes * SCRAPES_PER_S as usize
        );
        match scrapes {
            0 => println!("                 -       -      -"),
            _ => println!(
                "  {:16.2}  {:6.2}  {:5}",
                p50.as_secs_f64() * 1e3,
                max.as_secs_f64() * 1e3,
                shown[0].1
            ),
        }
    }
}
