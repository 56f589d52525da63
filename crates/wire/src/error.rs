//! Why a message could not be read.

/// Why a message could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WireError {
    /// The other side ended its sending.
    Closed,
    /// The connection broke.
    Broken,
    /// What came is not HTTP, or not to be trusted.
    Malformed,
    /// The head is larger than the bound.
    HeadTooLarge,
    /// The body or a line of it is larger than the bound.
    BodyTooLarge,
}
