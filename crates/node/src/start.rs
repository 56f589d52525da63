//! Starts a node from its configuration and runs it until it has shut down.

use crate::body_directory;
use crate::cli::LogFormat;
use crate::client_listener::ClientListener;
use crate::cluster_member::ClusterMember;
use crate::environment::Environment;
use crate::node::Node;
use crate::process_share::ProcessShare;
use crate::reload::Reloader;
use crate::signals::Signals;
use crate::start_error::StartError;
use async_io::Async;
use futures_lite::future::or;
use sorrelhaven_admin as admin;
use sorrelhaven_config::Config;
use sorrelhaven_engine::Engine;
use sorrelhaven_frontend_http1::{AcceptQueue, Frontend};
use sorrelhaven_handover::{ClaimTable, ProcessRegistry};
use sorrelhaven_lifecycle::LifecycleHandle;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Instant;
use tracing::{info, warn};

/// What [`run`] needs to start a node.
pub struct StartOptions {
    /// The configuration to start with.
    pub config: Config,
    /// The environment variables from which a reload reads the configuration.
    pub environment: Environment,
    /// The listening socket for clients that the platform passed to this process, if it passed one.
    pub inherited: Option<TcpListener>,
    /// The log's format, in which the counters are printed too.
    pub format: LogFormat,
}

/// Runs a node until its shutdown is complete.
///
/// # Errors
/// The node cannot start; see [`StartError`].
pub fn run(options: StartOptions) -> Result<(), StartError> {
    let StartOptions { config, environment, inherited, format } = options;
    let signals = Signals::new().map_err(StartError::Signals)?;
    let disk = body_directory::open_as_disk(&config)?;
    let engine = Engine::new(&config, disk);
    let lifecycle = Rc::<LifecycleHandle>::default();
    let frontend = Frontend::new(engine.clone(), &config, lifecycle.clone());
    let member = ClusterMember::start(&config)?.map(Rc::new);
    let admin_listener = config.admin.map(listen_for_admin).transpose()?;
    let listener = ClientListener::open(inherited, &config)?;
    let registry = register_process(&config, listener.queue);
    share_claims(&engine, &config, listener.queue);

    if let Some(member) = member.clone() {
        engine.tasks.spawn_urgent(async move { member.run().await });
    }
    let admin_address = admin_listener.as_ref().and_then(|socket| socket.get_ref().local_addr().ok());
    if let Some(socket) = admin_listener {
        serve_admin(socket, &engine, &lifecycle, member.as_deref());
    }
    lifecycle.startup_completed(Instant::now());
    log_ready(&config, admin_address, &listener);

    let (discovery_changes, discovery_addresses) = async_channel::unbounded();
    engine.start(config.discovery, config.known_workers.version, discovery_addresses);
    close_idle_connections(&engine, frontend.clone());
    let share = Rc::new(ProcessShare::new(engine.clone(), frontend.clone(), &config));
    if let Some(registry) = registry {
        share_limits(&engine, share.clone(), registry);
    }
    let reloader = Reloader::new(config, environment, engine.clone(), share, discovery_changes);
    let node = Rc::new(Node { engine, frontend, lifecycle, format });
    handle_signals(node.clone(), signals, reloader);
    run_to_shutdown(&node, listener);
    if let Some(member) = member {
        member.leave();
    }
    node.print_counters();
    Ok(())
}

fn listen_for_admin(address: SocketAddr) -> Result<Async<TcpListener>, StartError> {
    admin::listen(address).map_err(|error| StartError::AdminListen { address, error })
}

/// Registers this process if it may share its accept queue with other processes of the node, since the limits
/// on descriptors and memory hold for all of them together. If the registration fails, this process uses the whole
/// limit.
fn register_process(config: &Config, queue: AcceptQueue) -> Option<ProcessRegistry> {
    match queue {
        AcceptQueue::Own => None,
        AcceptQueue::Shared => ProcessRegistry::register(&std::env::temp_dir(), &config.name)
            .inspect_err(|error| warn!(%error, "cannot count the other processes of this node"))
            .ok(),
    }
}

/// Shares the ids of requests that must not run twice with the other processes that accept from the same queue. If that
/// fails, this process remembers its own.
fn share_claims(engine: &Engine, config: &Config, queue: AcceptQueue) {
    if queue == AcceptQueue::Own {
        return;
    }
    match ClaimTable::shared(&std::env::temp_dir(), &config.name) {
        Ok(table) => engine.claims.replace(table),
        Err(error) => warn!(%error, "cannot share request ids with the other processes of this node"),
    }
}

fn serve_admin(
    socket: Async<TcpListener>,
    engine: &Rc<Engine>,
    lifecycle: &Rc<LifecycleHandle>,
    member: Option<&ClusterMember>,
) {
    let membership = member.map(|member| member.membership.clone());
    let service = Rc::new(admin::AdminService::new(engine.clone(), lifecycle.clone(), membership));
    engine.tasks.spawn_urgent(admin::serve(service, engine.tasks.clone(), socket));
}

fn log_ready(config: &Config, admin_address: Option<SocketAddr>, listener: &ClientListener) {
    let listen = listener.address(config.listen);
    let admin_address = admin_address.map_or("none".to_string(), |address| address.to_string());
    info!(name = config.name, ops = %admin_address, queue = ?listener.queue, %listen, "ready");
}

fn share_limits(engine: &Engine, share: Rc<ProcessShare>, registry: ProcessRegistry) {
    share.count_processes_at_start(&registry);
    engine.tasks.spawn_urgent(async move { share.poll_process_count(&registry).await });
}

fn close_idle_connections(engine: &Engine, frontend: Rc<Frontend>) {
    engine.tasks.spawn(async move { frontend.close_idle_connections().await });
}

fn handle_signals(node: Rc<Node>, signals: Signals, reloader: Reloader) {
    let tasks = node.engine.tasks.clone();
    tasks.spawn_urgent(async move { node.handle_signals(signals, reloader).await });
}

/// Runs the event loop on this thread until the node has shut down.
fn run_to_shutdown(node: &Node, listener: ClientListener) {
    let tasks = async { match node.engine.tasks.run().await {} };
    async_io::block_on(or(node.serve(listener), tasks));
}
