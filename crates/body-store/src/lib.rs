//! Stores the bodies of requests so that a request can be retried: in memory, then in files, then not at all.
//!
//! A [`BodyWriter`] takes a body in as it arrives. Any number of [`RequestBodyReader`]s read it from the first
//! byte on, also while it is still being uploaded. A body is a sequence of blocks: those at its front may be
//! in a file, with a checksum each, and the rest is in memory. A body that is stored nowhere is streamed to
//! one reader.
//!
//! | module | concern |
//! | --- | --- |
//! | `plan` | decides where each body is stored: limits, tiers, what to spill. No I/O, time passed in |
//! | `budget` | bytes that tenants (class and state office) share. No I/O |
//! | `disk_health` | whether the disk may be used after failures. No I/O, time passed in |
//! | `decision` | the plain types of these decisions |
//! | `store` | all bodies of a node |
//! | `resources` | what they share: plan, disk, descriptors, thread pool, counters |
//! | `body`, `block_buffer`, `body_file` | one body: its state, its blocks in memory, its file |
//! | `writer`, `reader`, `request_body` | take a body in, read it, and hold it |
//! | `spiller` | moves bodies from memory to files while memory is short |
//! | `disk`, `directory` | what is needed of a disk, and the operators' directory |
//! | `blocking_pool` | runs calls that may block |
//! | `body_end`, `counters` | how uploads end, and what is counted |
//!
//! ```
//! use sorrelhaven_body_store::{BodyStore, BodyEnd};
//!
//! let store = BodyStore::new(&Default::default(), 1, None, || None);
//! async_io::block_on(async {
//!     let mut writer = store.begin_upload(0, Some(4)).map_err(|(end, _)| end)?;
//!     let body = writer.body();
//!     writer.push(b"body").await?;
//!     assert_eq!(writer.finish().await, BodyEnd::InMemory);
//!     let (mut reader, mut out) = (body.reader(), Vec::new());
//!     while reader.read_next(&mut out).await.expect("all of it is stored") {}
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
pub use resources::FilePermit;
pub use store::BodyStore;
pub use writer::BodyWriter;
