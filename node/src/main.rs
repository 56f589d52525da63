//! A node that hands jobs to executors: start, signals, exit.

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use futures_lite::future::or;
use sorrelhaven_config::Config;
use sorrelhaven_engine::Engine;
use sorrelhaven_front_http1::{self as front, Front};
use std::fmt;
use std::net::{SocketAddr, TcpListener};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;
use tracing::{info, warn};
use tracing_subscriber::EnvFilter;

/// After SIGTERM clients may still come for 0.4 s; the rest is a margin. What comes later than 0.7 s after it
/// might find the node killed before its answer.
const LAST_CLIENTS: Duration = Duration::from_millis(550);
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
    let engine = Engine::new(&config);
    let front = Front::new(engine.clone(), &config);
    let listener = front::listen(listen).map_err(|e| format!("listen: {listen}: {e}"))?;
    let listen = listener.get_ref().local_addr().unwrap_or(listen);
    info!(name = config.name, %listen, "ready");

    let (moves, moved) = async_channel::unbounded();
    engine.start(discovery, seq, moved);
    let (stop, stopped) = async_channel::bounded(1);
    let node = Node { engine: engine.clone(), front: front.clone() };
    let tasks = engine.tasks.clone();
    tasks.spawn_urgent(node.obey(signals, config, moves, stop));
    let node = Node { engine, front };
    let serve = node.serve(listener, stopped);
    async_io::block_on(or(serve, async { match tasks.run().await {} }));
    eprintln!("sorrelhaven: {node}");
    Ok(())
}

/// The engine with its front.
struct Node {
    engine: Rc<Engine>,
    front: Rc<Front>,
}

/// The counters, on one line.
impl fmt::Display for Node {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.engine.counters, self.front.counters)
    }
}

impl Node {
    /// Does what signals ask for, to the program's end: a node that closes is still told where discovery is.
    async fn obey(
        self,
        mut signals: Signals,
        mut config: Config,
        moves: Sender<SocketAddr>,
        stop: Sender<()>,
    ) {
        while let Some(signal) = signals.next().await {
            match signal {
                Ok(Signal::Usr1) => eprintln!("sorrelhaven: {self}"),
                Ok(Signal::Hup) => self.reload(&mut config, &moves),
                Ok(_) => {
                    // A second one finds the first in force.
                    let _ = stop.try_send(());
                }
                Err(error) => warn!(%error, "a signal was not read"),
            }
        }
    }

    /// Reads the configuration again. What is at fault changes nothing.
    fn reload(&self, config: &mut Config, moves: &Sender<SocketAddr>) {
        let before = config.discovery;
        match config.reload(|name| std::env::var(name).ok()) {
            Ok(waiting) => {
                self.engine.ways.links.descriptors.resize(config.sockets);
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
    async fn serve(&self, listener: Async<TcpListener>, stopped: Receiver<()>) {
        let stop = async {
            let _ = stopped.recv().await;
            info!("closing");
            Timer::after(LAST_CLIENTS).await;
        };
        front::accept(self.front.clone(), listener, stop).await;
        self.front.close();
        while self.front.open_links() > 0 || self.engine.desk.open_requests() > 0 {
            Timer::after(CLOSING_LOOK).await;
        }
    }
}
