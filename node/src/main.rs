//! A node that hands jobs to executors: start, signals, exit.

mod clock;
mod counters;
mod deadline;
mod desk;
mod ending;
mod execution;
mod front;
mod host_group;
mod http;
mod links;
mod node;
mod probe;
mod request;
#[cfg(test)]
mod tests;

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use futures_lite::future::or;
use node::Node;
use sorrelhaven_config::Config;
use std::net::{SocketAddr, TcpListener};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};
use tracing_subscriber::EnvFilter;

/// After SIGTERM clients may still come for 0.4 s; the rest is a margin. What comes later than 0.7 s after it
/// might find the node killed before its answer.
const LAST_CLIENTS: Duration = Duration::from_millis(550);
/// How often idle server links are looked through.
const SWEEP: Duration = Duration::from_millis(500);
/// How often a closing node looks whether all is answered.
const CLOSING_LOOK: Duration = Duration::from_millis(20);

fn main() -> ExitCode {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).with_ansi(false).init();
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("sorrelhaven: {message}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), String> {
    let config = Config::load(|name| std::env::var(name).ok()).map_err(|e| e.to_string())?;
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Usr1, Signal::Hup])
        .map_err(|e| format!("signals: {e}"))?;
    let (listen, discovery, seq) = (config.listen, config.discovery, config.known.seq);
    let name = config.name.clone();
    let (node, probes) = Node::new(config.clone());
    let listener = front::listen(listen).map_err(|e| format!("listen: {listen}: {e}"))?;
    let listen = listener.get_ref().local_addr().unwrap_or(listen);
    info!(name, %listen, "ready");

    let at = node.clone();
    let (moves, moved) = async_channel::unbounded();
    node.spawn_urgent(host_group::watch(at.clone(), discovery, seq, moved));
    let (stop, stopped) = async_channel::bounded(1);
    node.spawn_urgent(obey(at.clone(), signals, config, moves, stop));
    node.spawn_urgent(async move { at.desk.run_timers().await });
    let at = node.clone();
    node.spawn(async move {
        while let Ok(worker) = probes.recv().await {
            at.spawn(probe::run(at.clone(), worker));
        }
    });
    let at = node.clone();
    node.spawn(async move {
        loop {
            Timer::after(SWEEP).await;
            at.links.sweep();
        }
    });
    let serve = serve(node.clone(), listener, stopped);
    async_io::block_on(or(serve, async { node.run().await }));
    eprintln!("sorrelhaven: {}", node.counters);
    Ok(())
}

/// Does what signals ask for, to the program's end: a node that closes is still told where discovery is.
async fn obey(
    node: Rc<Node>,
    mut signals: Signals,
    mut config: Config,
    moves: Sender<SocketAddr>,
    stop: Sender<()>,
) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Usr1) => eprintln!("sorrelhaven: {}", node.counters),
            Ok(Signal::Hup) => reload(&node, &mut config, &moves),
            Ok(_) => {
                // A second one finds the first in force.
                let _ = stop.try_send(());
            }
            Err(error) => warn!(%error, "a signal was not read"),
        }
    }
}

/// Reads the configuration again. What is at fault changes nothing.
fn reload(node: &Node, config: &mut Config, moves: &Sender<SocketAddr>) {
    let before = config.discovery;
    match config.reload(|name| std::env::var(name).ok()) {
        Ok(waiting) => {
            node.links.descriptors.resize(config.sockets);
            if config.discovery != before {
                // The watch runs as long as the node.
                let _ = moves.try_send(config.discovery);
            }
            info!(discovery = %config.discovery, sockets = config.sockets, "the configuration was read again");
            if !waiting.is_empty() {
                warn!(keys = waiting.join(", "), "these have changed and wait for a restart");
            }
        }
        Err(error) => warn!(%error, "the configuration stays as it was"),
    }
}

/// Serves until it is told to stop and all that was taken is answered.
async fn serve(node: Rc<Node>, listener: Async<TcpListener>, stopped: Receiver<()>) {
    let stop = async {
        let _ = stopped.recv().await;
        info!("closing");
        Timer::after(LAST_CLIENTS).await;
    };
    front::accept(node.clone(), listener, stop).await;
    node.close();
    while node.client_links.get() > 0 || node.desk.open_requests() > 0 {
        Timer::after(CLOSING_LOOK).await;
    }
}
