//! The HTTP/1.1 front end: accepts client connections and serves `POST /api` and `GET /health/ready`.
//!
//! A downstream connection is one accepted from a client; its requests are served one after the other. Each
//! valid `POST /api` request becomes a `Job` for the engine, and its `Answer` becomes status 200 (served),
//! 503 (rejected) or 502 (failed). The front end responds to all other requests itself: with 200 or 503 to a
//! readiness check, and with 400, 404, 405, 408, 409, 413 or 431 to a request that is no valid job.
//!
//! ```no_run
//! use sorrelhaven_config::Config;
//! use sorrelhaven_engine::Engine;
//! use sorrelhaven_frontend_http1::{AcceptQueue, Frontend, accept, listen};
//! use sorrelhaven_lifecycle::LifecycleHandle;
//! use std::rc::Rc;
//!
//! let config = Config::load(|name| std::env::var(name).ok())?;
//! let engine = Engine::new(&config, None);
//! let frontend = Frontend::new(engine.clone(), &config, Rc::<LifecycleHandle>::default());
//! let listener = listen(config.listen)?;
//! engine.tasks.spawn(accept(frontend, listener, AcceptQueue::Own, std::future::pending()));
//! async_io::block_on(engine.tasks.run());
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod accept;
mod body_reader;
mod close_reason;
mod connection;
mod counters;
mod downstream;
mod exchange;
mod frontend;
mod incomplete_eviction;
mod job_exchange;
mod listen;
mod parsed_request;
mod request_draft;
mod response;

pub use accept::{AcceptQueue, accept};
pub use close_reason::CloseReason;
pub use counters::Counters;
pub use frontend::Frontend;
pub use listen::listen;
