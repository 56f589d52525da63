//! The memory that the operating system counts for this process (Linux, `proc(5)`).

use std::fs;

/// The file in which the kernel shows the memory of the process that reads it.
const STATUS_FILE: &str = "/proc/self/status";
/// The unit of the sizes in [`STATUS_FILE`].
const BYTES_PER_KIB: u64 = 1024;

/// The physical memory that this process uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ProcessMemory {
    /// Bytes in use now (`VmRSS`).
    pub resident_bytes: u64,
    /// The most bytes that were in use at any time since the start (`VmHWM`).
    pub peak_resident_bytes: u64,
}

impl ProcessMemory {
    /// Reads the current values; both are 0 if the kernel does not show them.
    pub fn read() -> ProcessMemory {
        let status = fs::read_to_string(STATUS_FILE).unwrap_or_default();
        ProcessMemory {
            resident_bytes: size_in(&status, "VmRSS:"),
            peak_resident_bytes: size_in(&status, "VmHWM:"),
        }
    }
}

/// The size in bytes on the line that begins with `key`; 0 if there is none.
fn size_in(status: &str, key: &str) -> u64 {
    let size = status.lines().find_map(|line| line.strip_prefix(key));
    let kib = size.and_then(|size| size.trim().strip_suffix("kB")?.trim().parse::<u64>().ok());
    kib.unwrap_or(0) * BYTES_PER_KIB
}
