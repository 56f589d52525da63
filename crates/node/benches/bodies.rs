//! Large bodies through the program, against what the machine does without it. Prints a table; `cargo bench -p
//! sorrelhaven --bench bodies`.
//!
//! - throughput of 8 MB bodies by step;
//! - bodies into files against a plain sequential write of the same bytes;
//! - peak resident memory with 64 clients that send 8 MB at once;
//! - small jobs' 99th percentile beside such a surge and without.

use sorrelhaven_body_store::{BodyEnd, BodyStore, Directory};
use sorrelhaven_config::{BodyFiles, BodyMemory, BodySettings};
use sorrelhaven_test_support::{
    FakeWorkers, Program, ScratchDir, TestRequest, WorkerBehavior, workers_config,
};
use std::fs::File;
use std::io::Write;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const MIB: usize = 1 << 20;
const BODY: usize = 8 * MIB;
const MEMORY: usize = 32 * MIB;

fn main() {
    let scratch = ScratchDir::new("bench");
    std::fs::create_dir(scratch.at("spool")).expect("a directory");
    println!("8 MB bodies, 8 clients, 96 bodies each step");
    println!("{:<28} {:>10}", "step", "MB/s");
    for (step, bounds) in [("memory", [16, 140, 16]), ("file", [1, 32, 16]), ("not kept", [1, 32, 1])] {
        let rate = through(&scratch, bounds.map(|b| b * MIB), 8, 96);
        println!("{step:<28} {rate:>10.0}");
    }
    files(&scratch);
    surge(&scratch);
}

fn start(scratch: &ScratchDir, boxes: &FakeWorkers, [each, total, file]: [usize; 3]) -> Program {
    let config = scratch.write("node.json", &workers_config(&boxes.addresses));
    let operator = scratch.write(
        "operator.json",
        &format!(
            r#"{{"bodies":{{"largest_bytes":{},"memory":{{"each_bytes":{each},"total_bytes":{total}}},
                "files":{{"directory":"{}","each_bytes":{file},"total_bytes":2147483648,"leave_free_bytes":0}}}}}}"#,
            16 * MIB,
            scratch.at("spool").display()
        ),
    );
    Program::start(Command::new(env!("CARGO_BIN_EXE_sorrelhaven")), &config, Some(&operator))
}

fn ask(id: &str, body: Vec<u8>) -> TestRequest {
    let mut ask = TestRequest::new(id, "renewal-check", body);
    (ask.patience, ask.hint) = (Duration::from_secs(5), Some(20_000));
    ask
}

/// MB/s of so many bodies by so many clients.
fn through(scratch: &ScratchDir, bounds: [usize; 3], clients: usize, bodies: u64) -> f64 {
    let boxes = FakeWorkers::new(32);
    let node = start(scratch, &boxes, bounds);
    let next = AtomicU64::new(0);
    let served = AtomicU64::new(0);
    let begun = Instant::now();
    thread::scope(|scope| {
        for _ in 0..clients {
            scope.spawn(|| {
                loop {
                    let n = next.fetch_add(1, Ordering::Relaxed);
                    if n >= bodies {
                        return;
                    }
                    let reply = ask(&format!("q-{n}"), vec![n as u8; BODY]).send(&node.address);
                    served.fetch_add(u64::from(reply.is_ok_and(|r| r.status == 200)), Ordering::Relaxed);
                }
            });
        }
    });
    let (served, took) = (served.into_inner(), begun.elapsed().as_secs_f64());
    if served < bodies {
        println!("  ({} of {bodies} not served)", bodies - served);
    }
    served as f64 * BODY as f64 / 1e6 / took
}

/// Bodies into files, 8 at once, against a plain sequential write of the same bytes; three rounds, the middle one.
fn files(scratch: &ScratchDir) {
    let count = 64;
    let block = vec![7; 64 * 1024];
    let mut rounds: Vec<(f64, f64)> = (0..3)
        .map(|_| {
            let begun = Instant::now();
            for i in 0..count {
                let path = scratch.at(&format!("plain-{i}"));
                let mut file = File::create(&path).expect("a file");
                for _ in 0..BODY / block.len() {
                    file.write_all(&block).expect("room");
                }
                drop(file);
                std::fs::remove_file(&path).expect("it is there");
            }
            let plain = (count * BODY) as f64 / 1e6 / begun.elapsed().as_secs_f64();
            (plain, spooled(scratch, count, &block))
        })
        .collect();
    rounds.sort_by(|a, b| (a.1 / a.0).total_cmp(&(b.1 / b.0)));
    let (plain, spooled) = rounds[1];
    println!("\n{:<28} {plain:>10.0}", "plain sequential write, MB/s");
    println!("{:<28} {spooled:>10.0}", "into bodies' files, MB/s");
    println!("{:<28} {:>10.2}  (aim: 0.60)", "the second over the first", spooled / plain);
}

fn spooled(scratch: &ScratchDir, count: usize, block: &[u8]) -> f64 {
    let settings = BodySettings {
        largest_bytes: 16 * MIB as u64,
        memory: BodyMemory { each_bytes: MIB as u64, total_bytes: MEMORY as u64 },
        files: BodyFiles {
            directory: Some(scratch.at("spool")),
            each_bytes: 16 * MIB as u64,
            total_bytes: 1 << 31,
            leave_free_bytes: 0,
        },
        ..BodySettings::default()
    };
    let directory = Directory::open(&scratch.at("spool"), "bench").expect("a directory");
    let bodies = BodyStore::new(&settings, 1, Some(Arc::new(directory)), || Some(Box::new(())));
    let executor = async_executor::LocalExecutor::new();
    let begun = Instant::now();
    async_io::block_on(executor.run(async {
        let tasks: Vec<_> = (0..8)
            .map(|_| {
                let bodies = bodies.clone();
                executor.spawn(async move {
                    for _ in 0..count / 8 {
                        let mut writer = bodies.begin(0, Some(BODY as u64)).ok().expect("not too long");
                        for _ in 0..BODY / block.len() {
                            writer.push(block).await.expect("it is kept");
                        }
                        let spool = writer.body();
                        writer.finish().await;
                        assert_eq!(spool.end(), Some(BodyEnd::InFile));
                    }
                })
            })
            .collect();
        for task in tasks {
            task.await;
        }
    }));
    (count * BODY) as f64 / 1e6 / begun.elapsed().as_secs_f64()
}

/// Small jobs of 20 ms alone, and beside 64 clients that send 8 MB at once.
fn surge(scratch: &ScratchDir) {
    println!(
        "\nsmall jobs of 20 ms by 8 clients; the surge: 64 clients that send 8 MB at once, over and over"
    );
    println!("{:<28} {:>8} {:>8} {:>8} {:>8} {:>12}", "", "served", "not", "p50 ms", "p99 ms", "peak MB");
    let mut alone = 0.0;
    for (name, clients, bounds) in [
        ("alone", 0, [1, 32, 16]),
        ("beside bodies in files", 64, [1, 32, 16]),
        ("beside bodies not kept", 64, [1, 32, 1]),
    ] {
        let boxes = FakeWorkers::new(96);
        boxes.usual(WorkerBehavior::Takes(20));
        let node = start(scratch, &boxes, bounds.map(|b| b * MIB));
        let stop = AtomicBool::new(false);
        let next = AtomicU64::new(0);
        let (mut took, lost): (Vec<f64>, usize) = thread::scope(|scope| {
            for _ in 0..clients {
                scope.spawn(|| {
                    while !stop.load(Ordering::Relaxed) {
                        let n = next.fetch_add(1, Ordering::Relaxed);
                        let _ = ask(&format!("big-{n}"), vec![n as u8; BODY]).send(&node.address);
                    }
                });
            }
            let small: Vec<_> = (0..8)
                .map(|c| {
                    let (node, stop) = (&node, &stop);
                    scope.spawn(move || {
                        let (mut took, mut lost) = (Vec::new(), 0);
                        let until = Instant::now() + Duration::from_secs(6);
                        while Instant::now() < until {
                            let id = format!("small-{c}-{}", took.len());
                            match ask(&id, vec![1; 1_000]).send(&node.address) {
                                Ok(reply) if reply.status == 200 => took.push(reply.took.as_secs_f64() * 1e3),
                                _ => lost += 1,
                            }
                        }
                        stop.store(true, Ordering::Relaxed);
                        (took, lost)
                    })
                })
                .collect();
            small.into_iter().map(|s| s.join().expect("a client")).fold((Vec::new(), 0), |mut all, one| {
                all.0.extend(one.0);
                (all.0, all.1 + one.1)
            })
        });
        if took.is_empty() {
            println!("{name:<28} none served, {lost} not");
            continue;
        }
        took.sort_by(f64::total_cmp);
        let at = |share: f64| took[((took.len() - 1) as f64 * share) as usize];
        let peak = peak(node.child.id());
        println!("{name:<28} {:>8} {lost:>8} {:>8.1} {:>8.1} {peak:>12.1}", took.len(), at(0.5), at(0.99));
        if clients == 0 {
            alone = at(0.99);
        } else {
            let beside = peak - MEMORY as f64 / 1e6;
            println!("  99th percentile {:.2} times that alone (aim: 2)", at(0.99) / alone);
            println!("  peak memory {beside:.1} MB beside memory.total_bytes (aim: 24)");
        }
    }
}

/// The most resident memory that a process has had, in MB.
fn peak(id: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).expect("a process");
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("its peak");
    line.trim().trim_end_matches(" kB").parse::<f64>().expect("a number") * 1024.0 / 1e6
}
