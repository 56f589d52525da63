//! A fake discovery: watches on one list of any length, which may fall silent or be closed.

use sorrelhaven_test_support::{CHUNKED_RESPONSE_HEAD, chunk};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const LOOK: Duration = Duration::from_millis(5);
/// Something is said at least this often.
const KEEP_ALIVE: Duration = Duration::from_millis(1_000);

/// Parts in which a release is told.
const RELEASE_PARTS: usize = 10;

#[derive(Clone)]
struct Host {
    dial: SocketAddr,
    health: &'static str,
    born_ms: u128,
    /// The list's version in which it changed last.
    changed: u64,
}

struct State {
    seq: u64,
    hosts: Vec<Host>,
    silent_until: Instant,
    resets: u64,
    /// Executors behind the entries: entry n is one of number n modulo this.
    executors: usize,
}

impl State {
    /// The entries of one executor are like this from now on.
    fn change(&mut self, executor: usize, health: &'static str, born_ms: u128) {
        let (changed, executors) = (self.next(), self.executors);
        for host in self.hosts.iter_mut().skip(executor).step_by(executors) {
            *host = Host { dial: host.dial, health, born_ms, changed };
        }
    }

    /// These entries drain, and new ones for the same executors come.
    fn replace(&mut self, entries: std::ops::Range<usize>) {
        let changed = self.next();
        for entry in entries {
            let dial = self.hosts[entry].dial;
            self.hosts[entry] = Host { health: "terminating", changed, ..self.hosts[entry].clone() };
            self.hosts.push(Host { dial, health: "in_service", born_ms: now_ms(), changed });
        }
    }

    /// The next version of the list.
    fn next(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }
}

fn now_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()
}

/// Discovery as all nodes of a soak see it.
#[derive(Clone)]
pub struct Discovery {
    state: Arc<Mutex<State>>,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Discovery {
    /// So many entries for these executors, all in service for long.
    pub fn new(dials: &[SocketAddr], entries: usize) -> Discovery {
        let host = |dial: &SocketAddr| Host { dial: *dial, health: "in_service", born_ms: 0, changed: 1 };
        let hosts = dials.iter().cycle().take(entries).map(host).collect();
        let executors = dials.len();
        let state = State { seq: 1, hosts, silent_until: Instant::now(), resets: 0, executors };
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

    /// All entries of an executor begin to drain; two executors stay in service.
    pub fn drain(&self, executor: usize) {
        let mut state = self.state();
        let in_service = |at: &usize| {
            state.hosts.iter().skip(*at).step_by(state.executors).any(|host| host.health == "in_service")
        };
        if (0..state.executors).filter(in_service).count() > 2 {
            state.change(executor, "terminating", 0);
        }
    }

    /// The entries of an executor that drain are in service again, started just now.
    pub fn born(&self, executor: usize) {
        let mut state = self.state();
        let drains = |host: &Host| host.health != "in_service";
        if state.hosts.iter().skip(executor).step_by(state.executors).any(drains) {
            state.change(executor, "in_service", now_ms());
        }
    }

    /// Half of the entries drain, and as many new ones come, a part at a time for so long.
    pub fn release(&self, lasts: Duration) {
        let at = self.clone();
        thread::spawn(move || {
            let part = at.state().hosts.len() / 2 / RELEASE_PARTS;
            for number in 0..RELEASE_PARTS {
                at.state().replace(number * part..(number + 1) * part);
                thread::sleep(lasts / RELEASE_PARTS as u32);
            }
        });
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
        let mut text = CHUNKED_RESPONSE_HEAD.to_string();
        loop {
            let state = self.state();
            if state.resets != resets {
                return;
            }
            let silent = Instant::now() < state.silent_until;
            if !silent && state.seq != told {
                text += &chunk(&list(&state, told));
                told = state.seq;
            } else if !silent && last.elapsed() > KEEP_ALIVE {
                text += &chunk("\n");
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

/// What has changed after this version; after none, the whole list.
fn list(state: &State, after: u64) -> String {
    let host = |(number, host): (usize, &Host)| {
        let Host { dial, health, born_ms, .. } = host;
        format!(r#"{{"host":"s-{number}","dial":"{dial}","health":"{health}","born_ms":{born_ms}}}"#)
    };
    let changed = state.hosts.iter().enumerate().filter(|(_, host)| host.changed > after);
    let hosts: Vec<String> = changed.map(host).collect();
    format!("{{\"seq\":{},\"whole\":{},\"hosts\":[{}]}}\n", state.seq, after == 0, hosts.join(","))
}
