//! Keeps the bodies of requests, so that a request can be tried again: in memory, then in files, then not at all.
//!
//! | file | concern |
//! | --- | --- |
//! | `plan` | what is kept where: budgets, steps, who steps down. No I/O, time passed in |
//! | `budget` | bytes that classes and state offices share |
//! | `spool` | takes a body in, keeps it where the plan says, gives it out |
//! | `disk` | the operators' directory, and files without a name in it |
//! | `pool` | calls that may block, beside the executor |
//! | `end` | every way in which the coming of a body can end |
//!
//! ```
//! use sorrelhaven_body_store::{BodyStore, BodyEnd};
//!
//! let bodies = BodyStore::new(&Default::default(), 1, None, || None);
//! async_io::block_on(async {
//!     let mut writer = bodies.begin(0, Some(4)).map_err(|(end, _)| end)?;
//!     let body = writer.body();
//!     writer.push(b"body").await?;
//!     assert_eq!(writer.finish().await, BodyEnd::InMemory);
//!     let (mut reader, mut out) = (body.reader(), Vec::new());
//!     while reader.next(&mut out).await.expect("all of it is kept") {}
//!     assert_eq!(out, b"body");
//!     Ok::<(), BodyEnd>(())
//! })?;
//! # Ok::<(), BodyEnd>(())
//! ```

mod body_end;
mod budget;
mod disk;
mod plan;
mod pool;
mod settings;
mod store;

pub use body_end::{BodyEnd, BodyReadError};
pub use budget::{Budget, SMALL};
pub use disk::{Directory, Disk, DiskFile, Unusable, is_full};
pub use plan::{BodyId, FileLimits, Limits, NotStoredReason, Now, Plan, StorageDecision, StorageTier};
pub use store::{BLOCK_BYTES, BodyStore, BodyWriter, Permit, RequestBody, StoredBodyReader};
