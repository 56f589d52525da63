//! The platform's front: clients that speak HTTP/1.1, and `/health/ready`.
//!
//! A client link carries requests one after the other. Each becomes a `Job` for the engine; its one `Answer`
//! becomes 200, 503 or 502. What is no job is answered by the protocol alone (400, 404, 405, 408, 409, 413, 431).
//!
//! ```no_run
//! use sorrelhaven_config::Config;
//! use sorrelhaven_engine::Engine;
//! use sorrelhaven_frontend_http1::{Front, Queue, accept, listen};
//! use sorrelhaven_lifecycle::LifecycleHandle;
//! use std::rc::Rc;
//!
//! let config = Config::load(|name| std::env::var(name).ok())?;
//! let engine = Engine::new(&config, None);
//! let front = Front::new(engine.clone(), &config, Rc::<LifecycleHandle>::default());
//! let listener = listen(config.listen)?;
//! engine.tasks.spawn(accept(front, listener, Queue::Own, std::future::pending()));
//! async_io::block_on(engine.tasks.run());
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod accept;
mod connection;
mod front;
mod intake;
mod read;
mod response;

pub use accept::{Queue, accept, listen};
pub use front::{Counters, Front};
