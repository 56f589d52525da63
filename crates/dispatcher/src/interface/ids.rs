//! Times and identifiers.

/// Point in time or duration, in microseconds.
pub type Micros = i64;

/// Identifier of a request, assigned by the host and never reused for another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Identifier of a worker. The host numbers workers densely from 0, in the order in which it first names them
/// to this dispatcher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u32);
