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

use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use futures_lite::future::or;
use node::Node;
use sorrelhaven_config::Config;
use std::net::TcpListener;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tracing::info;
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
    let signals =
        Signals::new([Signal::Term, Signal::Int, Signal::Usr1]).map_err(|e| format!("signals: {e}"))?;
    let (listen, discovery, seq) = (config.listen, config.discovery, config.known.seq);
    let name = config.name.clone();
    let (node, probes) = Node::new(config);
    let listener = Async::<TcpListener>::bind(listen).map_err(|e| format!("listen: {listen}: {e}"))?;
    let listen = listener.get_ref().local_addr().unwrap_or(listen);
    info!(name, %listen, "ready");

    let at = node.clone();
    node.spawn_urgent(host_group::watch(at.clone(), discovery, seq));
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
    let serve = serve(node.clone(), listener, signals);
    async_io::block_on(or(serve, async { node.run().await }));
    eprintln!("sorrelhaven: {}", node.counters);
    Ok(())
}

/// Serves until a signal ends it and all that was taken is answered.
async fn serve(node: Rc<Node>, listener: Async<TcpListener>, mut signals: Signals) {
    let stop = async {
        while let Some(signal) = signals.next().await {
            match signal {
                Ok(Signal::Usr1) => eprintln!("sorrelhaven: {}", node.counters),
                Ok(_) => break,
                Err(_) => {}
            }
        }
        info!("closing");
        Timer::after(LAST_CLIENTS).await;
    };
    front::accept(node.clone(), listener, stop).await;
    node.close();
    while node.client_links.get() > 0 || node.desk.open_requests() > 0 {
        Timer::after(CLOSING_LOOK).await;
    }
}
