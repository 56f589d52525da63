//! Races between events, each forced into its critical order: one side is stalled until the other was seen to
//! have acted. The rows of `docs/attempt-ends.md` name these tests.

mod client_disconnect;
mod flooding;
mod peers;
mod shutdown;
mod worker_changes;
