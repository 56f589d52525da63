//! Time, and the numbers by which requests and workers are known.

/// A point in time or a duration, in microseconds.
pub type Micros = i64;

/// A request, numbered by the host of the dispatcher. A number is never used again for another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A worker, numbered densely from 0 in the order in which the host first named it to this dispatcher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u32);
