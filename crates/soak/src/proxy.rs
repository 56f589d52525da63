//! A TCP proxy in front of one executor, whose connections can be delayed, stalled, cut one way or reset.

use crate::plan::Link;
use sorrelhaven_test_support::reset_connection;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// How often a connection looks at what holds for it.
const LOOK: Duration = Duration::from_millis(5);

#[derive(Default)]
struct State {
    link: Option<(Link, Instant)>,
    resets: u64,
}

/// The proxy of one executor; it serves for as long as the process.
#[derive(Clone)]
pub struct Proxy {
    state: Arc<Mutex<State>>,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Proxy {
    /// A proxy that passes everything on to `executor`.
    pub fn new(executor: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let proxy = Proxy { state: Arc::default(), address: listener.local_addr().expect("its address") };
        let at = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Ok(server) = TcpStream::connect(executor) else { continue };
                at.carry(client, server);
            }
        });
        proxy
    }

    /// From now on and for so long its connections are like this.
    pub fn set(&self, link: Link, lasts: Duration) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.link = Some((link, Instant::now() + lasts));
        state.resets += u64::from(link == Link::Reset);
    }

    /// What holds at the moment, and how often all connections were reset.
    fn now(&self) -> (Option<Link>, u64) {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let link = state.link.filter(|(_, until)| Instant::now() < *until).map(|(link, _)| link);
        (link, state.resets)
    }

    fn carry(&self, client: TcpStream, server: TcpStream) {
        let (link, resets) = self.now();
        if link == Some(Link::Reset) {
            return reset_connection(client);
        }
        let pairs =
            [(client.try_clone(), server.try_clone(), false), (server.try_clone(), client.try_clone(), true)];
        for (from, to, back) in pairs {
            let (Ok(from), Ok(to)) = (from, to) else { return };
            let at = self.clone();
            thread::spawn(move || at.pump(from, to, back, resets));
        }
    }

    /// Moves bytes one way until either side ends, or all connections are reset.
    fn pump(&self, mut from: TcpStream, mut to: TcpStream, back: bool, born: u64) {
        let _ = from.set_read_timeout(Some(LOOK));
        let _ = (from.set_nodelay(true), to.set_nodelay(true));
        let mut piece = [0; 16 * 1024];
        loop {
            let (link, resets) = self.now();
            if resets != born {
                reset_connection(from);
                return reset_connection(to);
            }
            if link == Some(Link::Stalled) {
                thread::sleep(LOOK);
                continue;
            }
            match from.read(&mut piece) {
                Ok(0) => {
                    let _ = to.shutdown(Shutdown::Write);
                    return;
                }
                Ok(_) if back && link == Some(Link::CutBack) => {}
                Ok(length) => {
                    if let Some(Link::Delayed(ms)) = link {
                        thread::sleep(Duration::from_millis(ms));
                    }
                    if to.write_all(&piece[..length]).is_err() {
                        return reset_connection(from);
                    }
                }
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(_) => return reset_connection(to),
            }
        }
    }
}
