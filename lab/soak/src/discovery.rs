//! A fake discovery: watches on one list, which may fall silent or be closed.

use sorrelhaven_standins::{OPEN, piece};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const LOOK: Duration = Duration::from_millis(5);
/// Something is said at least this often.
const KEEP_ALIVE: Duration = Duration::from_millis(1_000);

#[derive(Clone)]
struct Host {
    dial: SocketAddr,
    health: &'static str,
    born_ms: u128,
}

struct State {
    seq: u64,
    hosts: Vec<Host>,
    silent_until: Instant,
    resets: u64,
}

/// Discovery as all nodes of a soak see it.
#[derive(Clone)]
pub struct Discovery {
    state: Arc<Mutex<State>>,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Discovery {
    /// All executors in service, for long.
    pub fn new(dials: impl Iterator<Item = SocketAddr>) -> Discovery {
        let hosts = dials.map(|dial| Host { dial, health: "in_service", born_ms: 0 }).collect();
        let state = State { seq: 1, hosts, silent_until: Instant::now(), resets: 0 };
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("its address");
        let discovery = Discovery { state: Arc::new(Mutex::new(state)), address };
        let at = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let at = at.clone();
                thread::spawn(move || at.serve(stream));
            }
        });
        discovery
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An executor begins to drain; the last but one in service stays.
    pub fn drain(&self, executor: usize) {
        let mut state = self.state();
        if state.hosts.iter().filter(|host| host.health == "in_service").count() > 2 {
            state.hosts[executor].health = "terminating";
            state.seq += 1;
        }
    }

    /// An executor that drains is in service again, started just now.
    pub fn born(&self, executor: usize) {
        let mut state = self.state();
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        if state.hosts[executor].health != "in_service" {
            state.hosts[executor] =
                Host { health: "in_service", born_ms: now, ..state.hosts[executor].clone() };
            state.seq += 1;
        }
    }

    /// Nothing is said for so long.
    pub fn silent(&self, lasts: Duration) {
        self.state().silent_until = Instant::now() + lasts;
    }

    /// All watches are closed.
    pub fn reset(&self) {
        self.state().resets += 1;
    }

    fn serve(&self, mut stream: TcpStream) {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            if !matches!(stream.read(&mut byte), Ok(1)) {
                return;
            }
            head.push(byte[0]);
        }
        let (resets, mut told, mut last) = (self.state().resets, 0, Instant::now());
        let mut text = OPEN.to_string();
        loop {
            let state = self.state();
            if state.resets != resets {
                return;
            }
            let silent = Instant::now() < state.silent_until;
            if !silent && state.seq != told {
                text += &piece(&list(&state));
                told = state.seq;
            } else if !silent && last.elapsed() > KEEP_ALIVE {
                text += &piece("\n");
            }
            drop(state);
            if !text.is_empty() && !silent {
                if stream.write_all(text.as_bytes()).is_err() {
                    return;
                }
                text.clear();
                last = Instant::now();
            }
            thread::sleep(LOOK);
        }
    }
}

fn list(state: &State) -> String {
    let host = |(number, host): (usize, &Host)| {
        let Host { dial, health, born_ms } = host;
        format!(r#"{{"host":"s-{number}","dial":"{dial}","health":"{health}","born_ms":{born_ms}}}"#)
    };
    let hosts: Vec<String> = state.hosts.iter().enumerate().map(host).collect();
    format!("{{\"seq\":{},\"whole\":true,\"hosts\":[{}]}}\n", state.seq, hosts.join(","))
}
