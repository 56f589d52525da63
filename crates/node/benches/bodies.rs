//! Requests with large bodies, compared with what the machine achieves without the program. Prints tables.
//!
//!     cargo bench -p sorrelhaven --bench bodies
//!
//! - the throughput of 8 MB bodies that are stored in memory, stored in files, or not stored;
//! - the rate of storing bodies in files, compared with a plain sequential write of the same bytes;
//! - the peak resident memory while 64 clients send 8 MB bodies at the same time;
//! - the 99th percentile of the response times of small jobs, under that load and without it.

use sorrelhaven_body_store::{BodyEnd, BodyStore, Directory, SharedBudgets};
use sorrelhaven_config::{BodyFiles, BodyMemory, BodySettings};
use sorrelhaven_test_support::{
    FakeWorkers, Program, ScratchDir, TestRequest, WorkerBehavior, workers_config,
};
use std::fs::File;
use std::io::Write;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, ScopedJoinHandle};
use std::time::{Duration, Instant};

const MIB: usize = 1 << 20;
const BODY_BYTES: usize = 8 * MIB;
const MEMORY_TOTAL_BYTES: usize = 32 * MIB;
const MAX_BODY_BYTES: usize = 16 * MIB;
const FILES_TOTAL_BYTES: u64 = 1 << 31;
const BLOCK_BYTES: usize = 64 * 1024;
const WORK_HINT_MICROS: u64 = 20_000;
const SMALL_JOB_MILLIS: u64 = 20;
const SMALL_BODY_BYTES: usize = 1_000;
const SMALL_JOB_CLIENTS: usize = 8;
const SMALL_JOBS_DURATION: Duration = Duration::from_secs(6);
const LARGE_BODY_CLIENTS: usize = 64;
const THROUGHPUT_CLIENTS: usize = 8;
const THROUGHPUT_BODIES: u64 = 96;
const FILE_BODIES: usize = 64;
const FILE_WRITERS: usize = 8;

/// The operator's limits on stored bodies, in MiB.
#[derive(Clone, Copy)]
struct BodyLimits {
    memory_each: usize,
    memory_total: usize,
    file_each: usize,
}

const IN_MEMORY: BodyLimits = BodyLimits { memory_each: 16, memory_total: 140, file_each: 16 };
const IN_FILES: BodyLimits = BodyLimits { memory_each: 1, memory_total: 32, file_each: 16 };
const NOT_STORED: BodyLimits = BodyLimits { memory_each: 1, memory_total: 32, file_each: 1 };

fn main() {
    let scratch = ScratchDir::new("bench");
    std::fs::create_dir(scratch.path("spool")).expect("the spool directory can be created");
    println!("8 MB bodies, {THROUGHPUT_CLIENTS} clients, {THROUGHPUT_BODIES} bodies per storage tier");
    println!("{:<28} {:>10}", "tier", "MB/s");
    for (tier, limits) in [("memory", IN_MEMORY), ("file", IN_FILES), ("not stored", NOT_STORED)] {
        let rate = measure_throughput(&scratch, limits);
        println!("{tier:<28} {rate:>10.0}");
    }
    compare_files(&scratch);
    measure_small_jobs(&scratch);
}

fn start_node(scratch: &ScratchDir, workers: &FakeWorkers, limits: BodyLimits) -> Program {
    let config = scratch.write("node.json", &workers_config(&workers.addresses));
    let memory_each = limits.memory_each * MIB;
    let memory_total = limits.memory_total * MIB;
    let file_each = limits.file_each * MIB;
    let spool = scratch.path("spool").display().to_string();
    let operator = scratch.write(
        "operator.json",
        &format!(
            r#"{{"bodies":{{"largest_bytes":{MAX_BODY_BYTES},
                "memory":{{"each_bytes":{memory_each},"total_bytes":{memory_total}}},
                "files":{{"directory":"{spool}","each_bytes":{file_each},"total_bytes":{FILES_TOTAL_BYTES},
                    "leave_free_bytes":0}}}}}}"#
        ),
    );
    Program::start(Command::new(env!("CARGO_BIN_EXE_sorrelhaven")), &config, Some(&operator))
}

fn new_request(id: &str, body: Vec<u8>) -> TestRequest {
    let mut request = TestRequest::new(id, "renewal-check", body);
    request.timeout = Duration::from_secs(5);
    request.work_hint_micros = Some(WORK_HINT_MICROS);
    request
}

/// The throughput of large bodies through the node, in MB/s.
fn measure_throughput(scratch: &ScratchDir, limits: BodyLimits) -> f64 {
    let workers = FakeWorkers::new(32);
    let node = start_node(scratch, &workers, limits);
    let next_number = AtomicU64::new(0);
    let served = AtomicU64::new(0);
    let send_bodies = || {
        loop {
            let number = next_number.fetch_add(1, Ordering::Relaxed);
            if number >= THROUGHPUT_BODIES {
                return;
            }
            let request = new_request(&format!("q-{number}"), vec![number as u8; BODY_BYTES]);
            let is_served = request.send(&node.address).is_ok_and(|response| response.status == 200);
            served.fetch_add(u64::from(is_served), Ordering::Relaxed);
        }
    };
    let started_at = Instant::now();
    thread::scope(|scope| {
        for _ in 0..THROUGHPUT_CLIENTS {
            scope.spawn(send_bodies);
        }
    });
    let elapsed = started_at.elapsed().as_secs_f64();
    let served = served.load(Ordering::Relaxed);
    if served < THROUGHPUT_BODIES {
        println!("  ({} of {THROUGHPUT_BODIES} not served)", THROUGHPUT_BODIES - served);
    }
    served as f64 * BODY_BYTES as f64 / 1e6 / elapsed
}

/// The rates of writing the same bytes in two ways, in MB/s.
struct FileRates {
    /// A plain sequential write.
    plain: f64,
    /// Bodies stored in files by the body store.
    stored: f64,
}

impl FileRates {
    fn ratio(&self) -> f64 {
        self.stored / self.plain
    }
}

/// Compares storing bodies in files, eight at the same time, with a plain sequential write of the same bytes,
/// and prints the median of three rounds.
fn compare_files(scratch: &ScratchDir) {
    let block = vec![7; BLOCK_BYTES];
    let measure_round = |_| FileRates {
        plain: measure_plain_writes(scratch, &block),
        stored: measure_stored_bodies(scratch, &block),
    };
    let mut rounds: Vec<FileRates> = (0..3).map(measure_round).collect();
    rounds.sort_by(|left, right| left.ratio().total_cmp(&right.ratio()));
    let median = &rounds[1];
    println!("\n{:<28} {:>10.0}", "plain sequential write, MB/s", median.plain);
    println!("{:<28} {:>10.0}", "bodies stored in files, MB/s", median.stored);
    println!("{:<28} {:>10.2}  (target: 0.60)", "ratio of stored to plain", median.ratio());
}

/// The rate of writing [`FILE_BODIES`] bodies since `started_at`, in MB/s.
fn file_rate(started_at: Instant) -> f64 {
    (FILE_BODIES * BODY_BYTES) as f64 / 1e6 / started_at.elapsed().as_secs_f64()
}

fn measure_plain_writes(scratch: &ScratchDir, block: &[u8]) -> f64 {
    let started_at = Instant::now();
    for number in 0..FILE_BODIES {
        let path = scratch.path(&format!("plain-{number}"));
        let mut file = File::create(&path).expect("the file can be created");
        for _ in 0..BODY_BYTES / block.len() {
            file.write_all(block).expect("the disk has room");
        }
        drop(file);
        std::fs::remove_file(&path).expect("the file exists");
    }
    file_rate(started_at)
}

fn measure_stored_bodies(scratch: &ScratchDir, block: &[u8]) -> f64 {
    let settings = BodySettings {
        largest_bytes: MAX_BODY_BYTES as u64,
        memory: BodyMemory { each_bytes: MIB as u64, total_bytes: MEMORY_TOTAL_BYTES as u64 },
        files: BodyFiles {
            directory: Some(scratch.path("spool")),
            each_bytes: MAX_BODY_BYTES as u64,
            total_bytes: FILES_TOTAL_BYTES,
            leave_free_bytes: 0,
        },
        ..BodySettings::default()
    };
    let directory = Directory::open(&scratch.path("spool"), "bench").expect("the directory can be used");
    let bodies = BodyStore::new(&settings, 1, Some(Arc::new(directory)), SharedBudgets::unlimited());
    let executor = async_executor::LocalExecutor::new();
    let started_at = Instant::now();
    async_io::block_on(executor.run(async {
        let tasks: Vec<_> = (0..FILE_WRITERS)
            .map(|_| {
                let bodies = bodies.clone();
                executor.spawn(async move {
                    for _ in 0..FILE_BODIES / FILE_WRITERS {
                        let mut writer = bodies
                            .begin_upload(0, Some(BODY_BYTES as u64))
                            .ok()
                            .expect("the body is not too long");
                        for _ in 0..BODY_BYTES / block.len() {
                            writer.push(block).await.expect("the body is stored");
                        }
                        let body = writer.body();
                        writer.finish().await;
                        assert_eq!(body.end(), Some(BodyEnd::InFile));
                    }
                })
            })
            .collect();
        for task in tasks {
            task.await;
        }
    }));
    file_rate(started_at)
}

/// Measures small jobs without and with clients that continuously send large bodies.
fn measure_small_jobs(scratch: &ScratchDir) {
    println!("\nsmall jobs of {SMALL_JOB_MILLIS} ms by {SMALL_JOB_CLIENTS} clients");
    println!("load: {LARGE_BODY_CLIENTS} clients that continuously send 8 MB bodies");
    println!(
        "{:<28} {:>8} {:>8} {:>8} {:>8} {:>12}",
        "", "served", "unserved", "p50 ms", "p99 ms", "peak MB"
    );
    let unloaded = measure_small_jobs_under_load(scratch, "without load", 0, IN_FILES);
    for (name, limits) in [("load, bodies in files", IN_FILES), ("load, bodies not stored", NOT_STORED)] {
        let Some(loaded) = measure_small_jobs_under_load(scratch, name, LARGE_BODY_CLIENTS, limits) else {
            continue;
        };
        let p99_unloaded_ms = unloaded.as_ref().map_or(0.0, |figures| figures.p99_ms);
        let peak_without_bodies_mb = loaded.peak_mb - MEMORY_TOTAL_BYTES as f64 / 1e6;
        println!(
            "  99th percentile {:.2} times that without load (target: 2)",
            loaded.p99_ms / p99_unloaded_ms
        );
        println!("  peak memory {peak_without_bodies_mb:.1} MB in excess of memory.total_bytes (target: 24)");
    }
}

/// The measurements of small jobs in one row of the table.
struct SmallJobFigures {
    p99_ms: f64,
    /// The node's peak resident memory.
    peak_mb: f64,
}

/// The results of the small jobs of one or more clients.
#[derive(Default)]
struct SmallJobs {
    response_times_ms: Vec<f64>,
    unserved: usize,
}

impl SmallJobs {
    fn add(&mut self, other: SmallJobs) {
        self.response_times_ms.extend(other.response_times_ms);
        self.unserved += other.unserved;
    }
}

/// Measures small jobs while `large_body_clients` send large bodies, and prints a row. Returns `None` if no
/// small job was served.
fn measure_small_jobs_under_load(
    scratch: &ScratchDir,
    name: &str,
    large_body_clients: usize,
    limits: BodyLimits,
) -> Option<SmallJobFigures> {
    let workers = FakeWorkers::new(96);
    workers.set_default_behavior(WorkerBehavior::DoneAfterMillis(SMALL_JOB_MILLIS));
    let node = start_node(scratch, &workers, limits);
    let SmallJobs { mut response_times_ms, unserved } = send_small_jobs(&node, large_body_clients);
    if response_times_ms.is_empty() {
        println!("{name:<28} none served, {unserved} unserved");
        return None;
    }
    response_times_ms.sort_by(f64::total_cmp);
    let quantile =
        |fraction: f64| response_times_ms[((response_times_ms.len() - 1) as f64 * fraction) as usize];
    let figures = SmallJobFigures { p99_ms: quantile(0.99), peak_mb: peak_memory_mb(node.child.id()) };
    println!(
        "{name:<28} {:>8} {unserved:>8} {:>8.1} {:>8.1} {:>12.1}",
        response_times_ms.len(),
        quantile(0.5),
        figures.p99_ms,
        figures.peak_mb
    );
    Some(figures)
}

fn send_small_jobs(node: &Program, large_body_clients: usize) -> SmallJobs {
    let stop = AtomicBool::new(false);
    let next_number = AtomicU64::new(0);
    let send_large_bodies = || {
        while !stop.load(Ordering::Relaxed) {
            let number = next_number.fetch_add(1, Ordering::Relaxed);
            let body = vec![number as u8; BODY_BYTES];
            let _ = new_request(&format!("big-{number}"), body).send(&node.address);
        }
    };
    thread::scope(|scope| {
        for _ in 0..large_body_clients {
            scope.spawn(send_large_bodies);
        }
        let clients: Vec<ScopedJoinHandle<SmallJobs>> = (0..SMALL_JOB_CLIENTS)
            .map(|client| {
                let stop = &stop;
                scope.spawn(move || run_small_job_client(node, client, stop))
            })
            .collect();
        let mut all = SmallJobs::default();
        for client in clients {
            all.add(client.join().expect("the client thread does not panic"));
        }
        all
    })
}

fn run_small_job_client(node: &Program, client: usize, stop: &AtomicBool) -> SmallJobs {
    let mut jobs = SmallJobs::default();
    let until = Instant::now() + SMALL_JOBS_DURATION;
    while Instant::now() < until {
        let id = format!("small-{client}-{}", jobs.response_times_ms.len());
        match new_request(&id, vec![1; SMALL_BODY_BYTES]).send(&node.address) {
            Ok(response) if response.status == 200 => {
                jobs.response_times_ms.push(response.elapsed.as_secs_f64() * 1e3);
            }
            _ => jobs.unserved += 1,
        }
    }
    stop.store(true, Ordering::Relaxed);
    jobs
}

/// The peak resident memory of a process, in MB.
fn peak_memory_mb(process_id: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).expect("the process runs");
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .expect("the process status has a VmHWM line");
    let kib: f64 = line.trim().trim_end_matches(" kB").parse().expect("VmHWM is a number");
    kib * 1024.0 / 1e6
}
