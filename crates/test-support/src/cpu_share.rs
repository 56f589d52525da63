//! Limits the processor time of a process under test to a share of one core.

use rustix::process::{Pid, Signal, kill_process};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The limit applies to periods of this length; time unused in one is not added to the next.
const PERIOD: Duration = Duration::from_millis(25);
/// Interval at which the processor time of the process is read.
const SAMPLE_INTERVAL: Duration = Duration::from_micros(250);

/// Limits a process to a share of one core, as on a machine that many processes share: the process is stopped
/// with SIGSTOP while it is over its share. The limit ends when this is dropped.
pub struct CpuShare {
    lifted: Arc<AtomicBool>,
    limiter: Option<thread::JoinHandle<()>>,
}

impl CpuShare {
    /// Limits the process `process_id` to the fraction `share` of one core, above 0 and at most 1.
    pub fn limit(process_id: u32, share: f64) -> CpuShare {
        let lifted = Arc::new(AtomicBool::new(false));
        let limiter_lifted = lifted.clone();
        let limiter = thread::spawn(move || limit_until_lifted(process_id, share, &limiter_lifted));
        CpuShare { lifted, limiter: Some(limiter) }
    }
}

impl Drop for CpuShare {
    fn drop(&mut self) {
        self.lifted.store(true, Ordering::Relaxed);
        if let Some(limiter) = self.limiter.take() {
            let _ = limiter.join();
        }
    }
}

fn limit_until_lifted(process_id: u32, share: f64, lifted: &AtomicBool) {
    let Some(pid) = i32::try_from(process_id).ok().and_then(Pid::from_raw) else { return };
    let mut period_start = Instant::now();
    let mut used_before = cpu_time(process_id);
    while !lifted.load(Ordering::Relaxed) {
        let allowed = period_start.elapsed().mul_f64(share);
        let used = cpu_time(process_id).saturating_sub(used_before);
        if used > allowed {
            let pause = (used - allowed).div_f64(share);
            let _ = kill_process(pid, Signal::STOP);
            thread::sleep(pause);
            let _ = kill_process(pid, Signal::CONT);
        }
        if period_start.elapsed() > PERIOD {
            period_start = Instant::now();
            used_before = cpu_time(process_id);
        }
        thread::sleep(SAMPLE_INTERVAL);
    }
    let _ = kill_process(pid, Signal::CONT);
}

/// The processor time that the live threads of a process have used so far; zero if there is no such process.
pub fn cpu_time(process_id: u32) -> Duration {
    let threads = std::fs::read_dir(format!("/proc/{process_id}/task")).into_iter().flatten().flatten();
    let thread_nanoseconds = |thread: std::fs::DirEntry| {
        let text = std::fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<u64>().ok()
    };
    Duration::from_nanos(threads.filter_map(thread_nanoseconds).sum())
}
