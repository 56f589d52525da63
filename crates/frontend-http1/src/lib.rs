//! The HTTP/1.1 front end: accepts client connections and answers `POST /api` and `GET /health/ready`.
//!
//! A downstream connection carries requests one after the other. Each valid request becomes a `Job` for the
//! engine, and its single `Answer` becomes status 200, 503 or 502. Everything else is answered by the front
//! end itself (400, 404, 405, 408, 409, 413, 431).
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
mod connection;
mod counters;
mod downstream;
mod exchange;
mod frontend;
mod job_exchange;
mod listen;
mod parsed_request;
mod request_draft;
mod response;

pub use accept::{AcceptQueue, accept};
pub use counters::Counters;
pub use frontend::Frontend;
pub use listen::listen;
