//! Races between two events. Each test forces the critical order: it stalls one side until the other side has
//! visibly acted. The rows of `docs/attempt-ends.md` name these tests.

mod client_disconnect;
mod flooding;
mod peers;
mod repeated_ids;
mod shutdown;
mod worker_changes;
