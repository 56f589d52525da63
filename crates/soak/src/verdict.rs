//! The outcome of a soak.

/// What a soak has shown.
#[derive(Debug, Default)]
pub struct Verdict {
    /// Each violation of a rule, a line each.
    pub violations: Vec<String>,
    /// Requests that clients sent.
    pub requested: usize,
    /// Requests that were served.
    pub served: usize,
    /// Processes that were started.
    pub processes: usize,
    /// Faults that the shim injected into processes that ended by themselves.
    pub injected_faults: u64,
}
