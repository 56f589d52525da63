//! Stores request bodies so that a request can be sent again after a failed attempt. A body is stored in
//! memory while it fits there, else in a file; one that fits in neither is not stored.
//!
//! A [`BodyWriter`] receives a body as it arrives. Any number of [`RequestBodyReader`]s read the body from
//! its first byte, also while the upload is still in progress. A body is a sequence of blocks of
//! [`BLOCK_BYTES`]: the first ones may be in a file, with a CRC-32 checksum for each, and the rest is in
//! memory. Bytes that are not stored are streamed to a single reader.
//!
//! | module | purpose |
//! | --- | --- |
//! | `plan` | decides where each body is stored, and which to spill. No I/O; callers pass the time |
//! | `budget` | a number of bytes shared by budget groups (pairs of class and tenant). No I/O |
//! | `disk_health` | disables the disk for a time after failures. No I/O; callers pass the time |
//! | `decision` | the types in which these decisions are expressed |
//! | `store` | entry point: all bodies of a node |
//! | `resources` | what the bodies share: plan, disk, permits, thread pool, counters |
//! | `body`, `block_buffer`, `body_file` | one body: its state, its blocks in memory, its file |
//! | `writer`, `reader`, `request_body` | the writing end, the reading end, and the handle of the request |
//! | `spiller` | background task that moves bodies from memory to files while memory is short |
//! | `disk`, `directory` | the interface of a disk, and its implementation for the configured directory |
//! | `blocking_pool` | runs blocking calls on threads |
//! | `body_end`, `counters` | how uploads end, and the metrics |
//! | `settings` | converts the operators' settings to the limits of the plan |
//!
//! ```
//! use sorrelhaven_body_store::{BodyEnd, SharedBudgets, BodyStore};
//!
//! let store = BodyStore::new(&Default::default(), 1, None, SharedBudgets::unlimited());
//! async_io::block_on(async {
//!     let mut writer = store.begin_upload(0, Some(4)).map_err(|(end, _)| end)?;
//!     let body = writer.body();
//!     writer.push(b"body").await?;
//!     assert_eq!(writer.finish().await, BodyEnd::InMemory);
//!     let (mut reader, mut out) = (body.reader(), Vec::new());
//!     while reader.read_next(&mut out).await.expect("the whole body is stored") {}
//!     assert_eq!(out, b"body");
//!     Ok::<(), BodyEnd>(())
//! })?;
//! # Ok::<(), BodyEnd>(())
//! ```

mod block_buffer;
mod blocking_pool;
mod body;
mod body_end;
mod body_file;
mod budget;
mod counters;
mod decision;
mod directory;
mod disk;
mod disk_health;
mod plan;
mod reader;
mod request_body;
mod resources;
mod settings;
mod spiller;
mod store;
mod writer;

pub use block_buffer::BLOCK_BYTES;
pub use body_end::{BodyEnd, BodyReadError};
pub use budget::{Budget, SMALL_BODY_BYTES};
pub use decision::{NotStoredReason, StorageDecision, StorageTier, Timestamp};
pub use directory::{Directory, DirectoryError};
pub use disk::{Disk, DiskFile, is_disk_full};
pub use plan::{BodyId, DiskFailure, FileLimits, RegisteredBody, StorageLimits, StoragePlan, StorageUsage};
pub use reader::RequestBodyReader;
pub use request_body::RequestBody;
pub use resources::{FilePermit, SharedBudgets};
pub use store::BodyStore;
pub use writer::BodyWriter;
