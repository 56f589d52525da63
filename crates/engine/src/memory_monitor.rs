//! Compares the memory of the process with its limit, and logs when it comes close and when it has fallen again.

use crate::process_memory::ProcessMemory;
use async_io::Timer;
use std::cell::Cell;
use std::time::Duration;
use tracing::{info, warn};

/// How often the memory of the process is read.
const READ_INTERVAL: Duration = Duration::from_millis(250);
/// Memory is high above this fraction of the limit. Numerator and denominator.
const HIGH_FRACTION: (u64, u64) = (7, 8);
/// Memory is normal again below this fraction of the limit. Lower than [`HIGH_FRACTION`], so that small changes
/// are not logged over and over.
const NORMAL_FRACTION: (u64, u64) = (3, 4);

/// How close the process is to its memory limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum MemoryLevel {
    #[default]
    Normal,
    High,
}

/// Follows the memory of the process.
pub struct MemoryMonitor {
    limit_bytes: Cell<u64>,
    level: Cell<MemoryLevel>,
}

impl MemoryMonitor {
    /// A monitor for a process that may use `limit_bytes`.
    pub fn new(limit_bytes: u64) -> MemoryMonitor {
        MemoryMonitor { limit_bytes: Cell::new(limit_bytes), level: Cell::default() }
    }

    /// Changes the number of bytes that the process may use.
    pub fn set_limit(&self, limit_bytes: u64) {
        self.limit_bytes.set(limit_bytes);
    }

    /// Reads the memory at intervals. Never returns.
    pub async fn run(&self) {
        loop {
            self.record(ProcessMemory::read());
            Timer::after(READ_INTERVAL).await;
        }
    }

    fn record(&self, memory: ProcessMemory) {
        let ProcessMemory { resident_bytes, peak_resident_bytes } = memory;
        let limit_bytes = self.limit_bytes.get();
        match self.level.get() {
            MemoryLevel::Normal if resident_bytes > fraction_of(limit_bytes, HIGH_FRACTION) => {
                self.level.set(MemoryLevel::High);
                warn!(resident_bytes, peak_resident_bytes, limit_bytes, "memory is close to its limit");
            }
            MemoryLevel::High if resident_bytes < fraction_of(limit_bytes, NORMAL_FRACTION) => {
                self.level.set(MemoryLevel::Normal);
                info!(
                    resident_bytes,
                    peak_resident_bytes, limit_bytes, "memory is no longer close to its limit"
                );
            }
            MemoryLevel::Normal | MemoryLevel::High => {}
        }
    }
}

fn fraction_of(bytes: u64, (numerator, denominator): (u64, u64)) -> u64 {
    bytes / denominator * numerator
}
