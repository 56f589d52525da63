//! A process that is given a small share of a core.

use rustix::process::{Pid, Signal, kill_process};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The share is kept to over spans of this length.
const PERIOD: Duration = Duration::from_millis(25);
/// How often the processor time used is looked at while the process runs.
const LOOK: Duration = Duration::from_micros(250);

/// Holds a process to a share of one core: it is stopped whenever it has used more, as on a machine that many share. It
/// is not, once this is dropped.
pub struct CpuShare {
    done: Arc<AtomicBool>,
    keeper: Option<thread::JoinHandle<()>>,
}

impl CpuShare {
    /// Holds the process of this number to `share` of a core, from 0 to 1.
    pub fn hold(process: u32, share: f64) -> CpuShare {
        let done = Arc::new(AtomicBool::new(false));
        let seen = done.clone();
        let keeper = thread::spawn(move || keep(process, share, &seen));
        CpuShare { done, keeper: Some(keeper) }
    }
}

impl Drop for CpuShare {
    fn drop(&mut self) {
        self.done.store(true, Ordering::Relaxed);
        if let Some(keeper) = self.keeper.take() {
            let _ = keeper.join();
        }
    }
}

fn keep(process: u32, share: f64, done: &AtomicBool) {
    let Some(pid) = i32::try_from(process).ok().and_then(Pid::from_raw) else { return };
    let (mut began, mut used) = (Instant::now(), processor_time(process));
    while !done.load(Ordering::Relaxed) {
        let allowed = began.elapsed().mul_f64(share);
        let spent = processor_time(process).saturating_sub(used);
        if spent > allowed {
            let pause = (spent - allowed).div_f64(share);
            let _ = kill_process(pid, Signal::STOP);
            thread::sleep(pause);
            let _ = kill_process(pid, Signal::CONT);
        }
        // What was not used is not saved up.
        if began.elapsed() > PERIOD {
            (began, used) = (Instant::now(), processor_time(process));
        }
        thread::sleep(LOOK);
    }
    let _ = kill_process(pid, Signal::CONT);
}

/// The processor time that all threads of a process have used.
pub fn processor_time(process: u32) -> Duration {
    let threads = std::fs::read_dir(format!("/proc/{process}/task")).into_iter().flatten().flatten();
    let time = |thread: std::fs::DirEntry| {
        let text = std::fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<u64>().ok()
    };
    Duration::from_nanos(threads.filter_map(time).sum())
}
