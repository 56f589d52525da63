//! A node that hands jobs to executors: start, signals, exit.

mod check;
mod cli;
mod membership;
mod signals;

use async_channel::Sender;
use async_io::{Async, Timer};
use clap::Parser;
use cli::{Cli, Command, Common, LogFormat};
use futures_lite::future::or;
use membership::Others;
use signals::{Signal, Signals};
use sorrelhaven_admin as ops;
use sorrelhaven_body_store::{Directory, Disk};
use sorrelhaven_config::{Config, Operator};
use sorrelhaven_engine::Engine;
use sorrelhaven_frontend_http1::{self as frontend_http1, AcceptQueue, Frontend};
use sorrelhaven_handover::ProcessRegistry;
use sorrelhaven_lifecycle::{Lifecycle, LifecycleHandle, Phase};
use std::cell::Cell;
use std::net::{SocketAddr, TcpListener};
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tracing::{info, warn};
use tracing_subscriber::EnvFilter;

/// How often a closing node looks whether all is answered.
const CLOSING_LOOK: Duration = Duration::from_millis(20);

/// How often a process looks for others of its node.
const OTHERS_LOOK: Duration = Duration::from_millis(200);

/// The key of the directory, which is tried when it is opened.
const DIRECTORY: &str = "bodies.files.directory";
/// The exit status where a file is at fault, as where the command line is.
const AT_FAULT: u8 = 2;

fn main() -> ExitCode {
    let cli = Cli::parse();
    let env = cli.env();
    // Before any other descriptor is opened: one of them could get the number of one that was not handed over.
    let inherited = match cli.command() {
        Command::Run => inherited(&env),
        Command::Check { .. } | Command::Schema => Ok(None),
    };
    if let Err(error) = signals::survive_file_size_limit() {
        eprintln!("sorrelhaven: signals: {error}");
        return ExitCode::FAILURE;
    }
    match cli.command() {
        Command::Schema => {
            println!("{}", Operator::schema());
            ExitCode::SUCCESS
        }
        Command::Check { .. } => match Config::load(env) {
            Ok(config) => match directory(&config) {
                Ok(_) => {
                    println!("{}", check::summary(&config));
                    ExitCode::SUCCESS
                }
                Err(fault) => {
                    println!("{fault}");
                    ExitCode::from(AT_FAULT)
                }
            },
            Err(faults) => {
                faults.iter().for_each(|fault| println!("{fault}"));
                ExitCode::from(AT_FAULT)
            }
        },
        Command::Run => {
            if let Err(message) = log(&cli.common) {
                eprintln!("sorrelhaven: --log: {message}");
                return ExitCode::from(AT_FAULT);
            }
            let config = match Config::load(&env) {
                Ok(config) => config,
                Err(faults) => {
                    faults.iter().for_each(|fault| eprintln!("sorrelhaven: {fault}"));
                    return ExitCode::FAILURE;
                }
            };
            let format = cli.common.log_format;
            match inherited.and_then(|listener| run(config, listener, env, format)) {
                Ok(()) => ExitCode::SUCCESS,
                Err(message) => {
                    eprintln!("sorrelhaven: {message}");
                    ExitCode::FAILURE
                }
            }
        }
    }
}

/// The clients' listening socket where the platform holds it.
fn inherited(env: &impl Fn(&str) -> Option<String>) -> Result<Option<TcpListener>, String> {
    let number = sorrelhaven_config::listen_fd(env).map_err(|fault| fault.to_string())?;
    let listener = number.map(sorrelhaven_handover::inherited_listener).transpose();
    listener.map_err(|fault| format!("RELAY_FD: {fault}"))
}

/// Sets up the log on standard error.
fn log(common: &Common) -> Result<(), String> {
    let filter = match &common.log {
        Some(directives) => EnvFilter::try_new(directives).map_err(|e| e.to_string())?,
        None => EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info")),
    };
    let log = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
    match common.log_format {
        LogFormat::Text => log.with_ansi(false).init(),
        LogFormat::Json => log.json().flatten_event(true).init(),
    }
    Ok(())
}

fn run(
    config: Config,
    inherited: Option<TcpListener>,
    env: impl Fn(&str) -> Option<String> + 'static,
    format: LogFormat,
) -> Result<(), String> {
    let signals = Signals::new().map_err(|e| format!("signals: {e}"))?;
    let (listen, discovery, seq) = (config.listen, config.discovery, config.known.seq);
    let disk = disk(&config)?;
    let engine = Engine::new(&config, disk);
    let standing = Rc::<LifecycleHandle>::default();
    let frontend = Frontend::new(engine.clone(), &config, standing.clone());
    let peers = Others::start(&config)?.map(Rc::new);
    // The operators are answered from here on.
    let ops = match config.ops {
        Some(at) => Some(ops::listen(at).map_err(|e| format!("ops: {at}: {e}"))?),
        None => None,
    };
    let (listener, queue) = match inherited {
        Some(listener) => (Async::new(listener).map_err(|e| format!("RELAY_FD: {e}"))?, AcceptQueue::Shared),
        None => {
            (frontend_http1::listen(listen).map_err(|e| format!("listen: {listen}: {e}"))?, AcceptQueue::Own)
        }
    };
    let listen = listener.get_ref().local_addr().unwrap_or(listen);
    // Where another process may serve the same clients, both are one node to the limits.
    let seats = match queue {
        AcceptQueue::Own => None,
        AcceptQueue::Shared => ProcessRegistry::register(&std::env::temp_dir(), &config.name)
            .inspect_err(|error| warn!(%error, "cannot count the other processes of this node"))
            .ok(),
    };
    let tasks = engine.tasks.clone();
    if let Some(others) = peers.clone() {
        tasks.spawn_urgent(async move { others.run().await });
    }
    let at = ops.as_ref().and_then(|ops| ops.get_ref().local_addr().ok());
    if let Some(ops) = ops {
        let members = peers.as_ref().map(|others| others.member.clone());
        let desk = Rc::new(ops::Desk::new(engine.clone(), standing.clone(), members));
        tasks.spawn_urgent(ops::serve(desk, tasks.clone(), ops));
    }
    standing.startup_completed(Instant::now());
    let at = at.map_or("none".to_string(), |at| at.to_string());
    info!(name = config.name, ops = %at, ?queue, %listen, "ready");

    let (moves, moved) = async_channel::unbounded();
    engine.start(discovery, seq, moved);
    let at = frontend.clone();
    tasks.spawn(async move { at.close_idle_connections().await });
    let (sockets, others) = (Cell::new(config.sockets), Cell::new(0));
    let node = Rc::new(Node { engine, frontend, standing, format, sockets, others });
    if let Some(seats) = seats {
        node.others.set(seats.other_processes());
        node.divide();
        let at = node.clone();
        tasks.spawn_urgent(async move { at.count_others(seats).await });
    }
    let at = node.clone();
    tasks.spawn_urgent(async move { at.obey(signals, config, env, moves).await });
    let serve = node.serve(listener, queue);
    async_io::block_on(or(serve, async { match tasks.run().await {} }));
    if let Some(others) = peers {
        others.leave();
    }
    node.count();
    Ok(())
}

/// The directory that the operators set for bodies.
fn directory(config: &Config) -> Result<Option<Directory>, String> {
    let Some(path) = &config.operator.bodies.files.directory else { return Ok(None) };
    Directory::open(path, &config.name).map(Some).map_err(|e| format!("{DIRECTORY}: {e}"))
}

/// That directory as the disk for bodies. One that is full is used as soon as there is room.
fn disk(config: &Config) -> Result<Option<Arc<dyn Disk>>, String> {
    let Some(directory) = directory(config)? else { return Ok(None) };
    let swept = directory.sweep().map_err(|e| format!("{DIRECTORY}: it can't be listed: {e}"))?;
    info!(swept, "body directory opened");
    if directory.is_full() {
        warn!("{DIRECTORY}: it is full; files are used once there is room");
    }
    Ok(Some(Arc::new(directory)))
}

/// The engine with its frontend.
struct Node {
    engine: Rc<Engine>,
    frontend: Rc<Frontend>,
    standing: Rc<LifecycleHandle>,
    format: LogFormat,
    /// Descriptors that all processes of this node may hold.
    sockets: Cell<usize>,
    /// The other processes of this node that live.
    others: Cell<usize>,
}

impl Node {
    /// Prints the counters, on one line.
    fn count(&self) {
        let Node { engine, frontend, .. } = self;
        let metrics = engine.counters.metrics().into_iter().chain(frontend.counters.metrics());
        let metrics = metrics.chain(engine.bodies.metrics());
        match self.format {
            LogFormat::Text => {
                let metrics: Vec<String> = metrics.map(|(name, count)| format!("{name}={count}")).collect();
                eprintln!("sorrelhaven: {}", metrics.join(" "));
            }
            LogFormat::Json => {
                let metrics = metrics.map(|(name, count)| (name.to_string(), count.into()));
                let metrics: serde_json::Map<String, serde_json::Value> = metrics.collect();
                eprintln!("{}", serde_json::json!({ "counters": metrics }));
            }
        }
    }

    /// Divides the descriptors among the processes of this node.
    fn divide(&self) {
        self.engine.upstreams.pool.resize(self.sockets.get() / (1 + self.others.get()));
        self.frontend.evict_excess_connections();
    }

    /// Counts the other processes of this node, for ever.
    async fn count_others(&self, seats: ProcessRegistry) {
        loop {
            let others = seats.other_processes();
            if self.others.replace(others) != others {
                info!(others, "process count changed");
                self.divide();
            }
            Timer::after(OTHERS_LOOK).await;
        }
    }

    /// Does what signals ask for, to the program's end: a node that closes is still told where discovery is.
    async fn obey(
        &self,
        mut signals: Signals,
        mut config: Config,
        env: impl Fn(&str) -> Option<String>,
        moves: Sender<SocketAddr>,
    ) {
        loop {
            match signals.next().await {
                Signal::Report => self.count(),
                Signal::Reload => self.reload(&mut config, &env, &moves),
                Signal::Stop => {
                    info!("shutdown requested");
                    self.standing.begin_shutdown(Instant::now());
                }
            }
        }
    }

    /// Reads both files again. What is at fault changes nothing.
    fn reload(&self, config: &mut Config, env: &impl Fn(&str) -> Option<String>, moves: &Sender<SocketAddr>) {
        let (next, waiting) = match config.reloaded(env) {
            Ok(read) => read,
            Err(error) => return warn!(%error, "reload rejected, configuration unchanged"),
        };
        let (old, new) = (&config.operator.bodies, &next.operator.bodies);
        if old != new {
            // Also the directory is taken over as a whole or not at all.
            match disk(&next) {
                Ok(disk) => self.engine.bodies.configure(new, disk),
                Err(error) => return warn!(error, "reload rejected, configuration unchanged"),
            }
        }
        if config.operator.membership != next.operator.membership {
            warn!("membership settings changed, restart required");
        }
        self.sockets.set(next.sockets);
        self.divide();
        if next.discovery != config.discovery {
            // The watch runs as long as the node.
            let _ = moves.try_send(next.discovery);
        }
        *config = next;
        info!(discovery = %config.discovery, sockets = config.sockets, "configuration reloaded");
        if !waiting.is_empty() {
            warn!(keys = waiting.join(", "), "settings changed, restart required");
        }
    }

    /// Serves until it is told to stop and all that was taken is answered.
    async fn serve(&self, listener: Async<TcpListener>, queue: AcceptQueue) {
        frontend_http1::accept(self.frontend.clone(), listener, queue, self.accepted_enough(queue)).await;
        while self.frontend.open_connections() > 0 || self.engine.dispatcher_loop.registered_requests() > 0 {
            Timer::after(CLOSING_LOOK).await;
        }
    }

    /// Waits until no more client links are to be accepted. Clients still come for a while after the node was told to
    /// stop, but where another process shares the queue it takes them, and has more time to answer them.
    async fn accepted_enough(&self, queue: AcceptQueue) {
        let enough = |node: &Lifecycle| match (node.phase(), queue) {
            (Phase::Stopping { .. }, AcceptQueue::Own) => node.idle_close_at(),
            (Phase::Stopping { since }, AcceptQueue::Shared) => Some(since),
            (Phase::Starting { .. } | Phase::Serving | Phase::Drained { .. }, _) => None,
        };
        self.frontend.lifecycle_deadline_passed(enough).await;
        info!(?queue, "stopped accepting connections");
    }
}
