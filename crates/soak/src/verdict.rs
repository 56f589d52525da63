//! The result of a soak.

/// The violations that a soak found, and the load under which it found them.
#[derive(Debug, Default)]
pub struct Verdict {
    /// One line for each violation of a delivery rule, lost request, and node that failed or violated an
    /// invariant; empty if the soak passed.
    pub violations: Vec<String>,
    /// Number of requests that clients sent.
    pub requested: usize,
    /// Number of requests that were answered with status 200.
    pub served: usize,
    /// Number of processes of the program that were started, including those after restarts.
    pub processes: usize,
    /// Number of faults that the shim injected into processes that were not killed: a killed process writes
    /// no counts.
    pub injected_faults: u64,
}
