//! A discovery service whose state a test changes while nodes call it: out of reach, silent, slow, or failing in
//! one of several ways.

use crate::chunked::{CHUNKED_RESPONSE_HEAD, chunk};
use crate::fake_discovery::worker_list;
use crate::fake_workers::reset_connection;
use rustix::fd::OwnedFd;
use rustix::net::{AddressFamily, SocketType, bind, getsockname, socket, sockopt};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// How often the accept loop and each connection look at the state.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// A watch that has sent nothing for this long sends a blank line.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(1_900);

/// What discovery does with calls and open watches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryState {
    /// Refuses connections; those that were open are reset.
    Refusing,
    /// Accepts connections and reads requests, but sends nothing, on open watches either. What arrives in this state is
    /// never answered, as if the machine had been cut off.
    Silent,
    /// Begins to answer each call after this delay.
    Answering(Duration),
    /// Answers at once, but sends the list one byte at a time, with this delay between two bytes.
    Trickling(Duration),
    /// Resets each connection in the middle of the list.
    ResettingInList,
    /// Answers with this status instead of a list.
    Rejecting(u16),
    /// Sends a line that is not a list.
    SendingGarbage,
}

/// What discovery has counted since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DiscoveryLoad {
    /// Calls whose request was read.
    pub calls: usize,
    /// Lists, complete or not, that were sent to their last byte.
    pub lists: usize,
    /// The most connections that were open at once.
    pub most_open: usize,
    open: usize,
}

struct Shared {
    state: DiscoveryState,
    /// Incremented by each change of the state.
    epoch: u64,
    version: u64,
    /// The entry of each worker, and the version in which it last changed.
    entries: BTreeMap<String, (u64, String)>,
    load: DiscoveryLoad,
}

/// A discovery service on loopback, which serves until the test ends.
pub struct ScriptedDiscovery {
    /// The address at which nodes call it. Its port stays reserved while connections are refused.
    pub address: SocketAddr,
    shared: Arc<Mutex<Shared>>,
    _reserved_port: OwnedFd,
}

impl ScriptedDiscovery {
    /// Starts a discovery service in this state, with an empty list of version 1.
    ///
    /// # Errors
    /// Those of the socket calls.
    pub fn start(state: DiscoveryState) -> io::Result<ScriptedDiscovery> {
        // A bound socket that does not listen reserves the port; the listener binds the same port beside it.
        let reserved_port = socket(AddressFamily::INET, SocketType::STREAM, None)?;
        sockopt::set_socket_reuseaddr(&reserved_port, true)?;
        bind(&reserved_port, &SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let address = SocketAddr::try_from(getsockname(&reserved_port)?)?;
        let shared = Arc::new(Mutex::new(Shared {
            state,
            epoch: 0,
            version: 1,
            entries: BTreeMap::new(),
            load: DiscoveryLoad::default(),
        }));
        let served = shared.clone();
        thread::spawn(move || accept_calls(address, &served));
        Ok(ScriptedDiscovery { address, shared, _reserved_port: reserved_port })
    }

    /// Changes the state.
    pub fn set_state(&self, state: DiscoveryState) {
        let mut shared = lock(&self.shared);
        shared.state = state;
        shared.epoch += 1;
    }

    /// Adds a worker, or changes its health, in a new version of the list.
    pub fn set_worker(&self, name: &str, address: SocketAddr, health: &str) {
        let mut shared = lock(&self.shared);
        shared.version += 1;
        let entry = format!(r#"{{"host":"{name}","dial":"{address}","health":"{health}"}}"#);
        let version = shared.version;
        shared.entries.insert(name.to_string(), (version, entry));
    }

    /// What was counted until now.
    pub fn load(&self) -> DiscoveryLoad {
        lock(&self.shared).load
    }
}

fn lock(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Accepts calls while the state is not [`DiscoveryState::Refusing`].
fn accept_calls(address: SocketAddr, shared: &Arc<Mutex<Shared>>) {
    let mut listener: Option<TcpListener> = None;
    loop {
        if lock(shared).state == DiscoveryState::Refusing {
            listener = None;
        } else if listener.is_none() {
            let opened = TcpListener::bind(address).expect("the reserved port can be listened at");
            opened.set_nonblocking(true).expect("a listener can be non-blocking");
            listener = Some(opened);
        }
        while let Some((stream, _)) = listener.as_ref().and_then(|listener| listener.accept().ok()) {
            let shared = shared.clone();
            thread::spawn(move || serve_connection(stream, &shared));
        }
        thread::sleep(POLL_INTERVAL);
    }
}

fn serve_connection(stream: TcpStream, shared: &Arc<Mutex<Shared>>) {
    {
        let mut shared = lock(shared);
        shared.load.open += 1;
        shared.load.most_open = shared.load.most_open.max(shared.load.open);
    }
    let mut connection = ServedConnection { stream, shared: shared.clone() };
    // An error here is the end of the connection, by the node or by a change of the state.
    let end = connection.serve();
    lock(shared).load.open -= 1;
    if end.is_err() {
        reset_connection(connection.stream);
    }
}

struct ServedConnection {
    stream: TcpStream,
    shared: Arc<Mutex<Shared>>,
}

impl ServedConnection {
    fn serve(&mut self) -> io::Result<()> {
        self.stream.set_nonblocking(false)?;
        self.stream.set_read_timeout(Some(POLL_INTERVAL))?;
        while let Some(target) = self.read_target()? {
            let (state, epoch) = {
                let mut shared = lock(&self.shared);
                shared.load.calls += 1;
                (shared.state, shared.epoch)
            };
            let after = target.split("after=").nth(1).and_then(|version| version.parse::<u64>().ok());
            match state {
                DiscoveryState::Refusing => return Err(io::ErrorKind::ConnectionReset.into()),
                DiscoveryState::Silent => return self.stay_silent(),
                DiscoveryState::Answering(delay) => {
                    self.wait(delay, epoch)?;
                    self.answer(after)?;
                }
                DiscoveryState::Trickling(interval) => self.trickle(after, interval)?,
                DiscoveryState::ResettingInList => {
                    let list = self.list_after(after.unwrap_or(0)).1;
                    let half =
                        format!("{CHUNKED_RESPONSE_HEAD}{:x}\r\n{}", list.len(), &list[..list.len() / 2]);
                    self.stream.write_all(half.as_bytes())?;
                    thread::sleep(POLL_INTERVAL);
                    return Err(io::ErrorKind::ConnectionReset.into());
                }
                DiscoveryState::Rejecting(status) => {
                    let response = format!("HTTP/1.1 {status} no\r\nContent-Length: 0\r\n\r\n");
                    self.stream.write_all(response.as_bytes())?;
                }
                DiscoveryState::SendingGarbage => {
                    self.stream
                        .write_all(format!("{CHUNKED_RESPONSE_HEAD}{}", chunk("no list\n")).as_bytes())?;
                }
            }
        }
        Ok(())
    }

    /// Reads a request head and returns its target; `None` at the end of the connection.
    fn read_target(&mut self) -> io::Result<Option<String>> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            match self.stream.read(&mut byte) {
                Ok(0) => return Ok(None),
                Ok(_) => head.push(byte[0]),
                Err(error) if is_timeout(&error) => self.check_reachable()?,
                Err(error) => return Err(error),
            }
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        Ok(head.split(' ').nth(1).map(str::to_string))
    }

    /// Fails once connections are refused: those that are open are reset.
    fn check_reachable(&self) -> io::Result<()> {
        match lock(&self.shared).state {
            DiscoveryState::Refusing => Err(io::ErrorKind::ConnectionReset.into()),
            _ => Ok(()),
        }
    }

    /// Sends nothing until the node closes the connection, or connections are refused.
    fn stay_silent(&mut self) -> io::Result<()> {
        loop {
            match self.stream.read(&mut [0]) {
                Ok(0) => return Ok(()),
                Ok(_) => {}
                Err(error) if is_timeout(&error) => self.check_reachable()?,
                Err(error) => return Err(error),
            }
        }
    }

    /// Waits for the delay of an answer. Sends nothing more on this connection if the state becomes `Silent` meanwhile.
    fn wait(&mut self, delay: Duration, epoch: u64) -> io::Result<()> {
        let begun = Instant::now();
        while begun.elapsed() < delay {
            self.check_reachable()?;
            self.check_not_cut_off(epoch)?;
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Sends nothing more on this connection once the state has become `Silent`.
    fn check_not_cut_off(&mut self, epoch: u64) -> io::Result<()> {
        let is_cut_off = {
            let shared = lock(&self.shared);
            shared.epoch != epoch && shared.state == DiscoveryState::Silent
        };
        if is_cut_off { self.stay_silent() } else { Ok(()) }
    }

    /// Sends the complete list, or serves a watch until its connection ends.
    fn answer(&mut self, after: Option<u64>) -> io::Result<()> {
        let Some(after) = after else {
            let (_, list) = self.list_after(0);
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
            self.stream.write_all(format!("{head}{list}").as_bytes())?;
            lock(&self.shared).load.lists += 1;
            return Ok(());
        };
        self.stream.write_all(CHUNKED_RESPONSE_HEAD.as_bytes())?;
        let mut sent_version = None;
        let mut last_sent = Instant::now();
        loop {
            let epoch = lock(&self.shared).epoch;
            self.check_reachable()?;
            let (version, list) = self.list_after(sent_version.unwrap_or(after));
            if sent_version != Some(version) {
                self.stream.write_all(chunk(&list).as_bytes())?;
                lock(&self.shared).load.lists += 1;
                sent_version = Some(version);
                last_sent = Instant::now();
            } else if last_sent.elapsed() >= KEEP_ALIVE_INTERVAL {
                self.stream.write_all(chunk("\n").as_bytes())?;
                last_sent = Instant::now();
            }
            thread::sleep(POLL_INTERVAL);
            self.check_not_cut_off(epoch)?;
            self.check_open()?;
        }
    }

    /// Sends a list one byte at a time, then serves the watch.
    fn trickle(&mut self, after: Option<u64>, interval: Duration) -> io::Result<()> {
        let (_, list) = self.list_after(after.unwrap_or(0));
        self.stream.write_all(CHUNKED_RESPONSE_HEAD.as_bytes())?;
        for byte in list.chars() {
            self.stream.write_all(chunk(&byte.to_string()).as_bytes())?;
            self.check_reachable()?;
            self.check_open()?;
            thread::sleep(interval);
        }
        lock(&self.shared).load.lists += 1;
        self.stay_silent()
    }

    /// Fails if the node has closed the connection.
    fn check_open(&mut self) -> io::Result<()> {
        self.stream.set_nonblocking(true)?;
        let result = self.stream.read(&mut [0]);
        self.stream.set_nonblocking(false)?;
        match result {
            Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
            Err(error) if !is_timeout(&error) => Err(error),
            _ => Ok(()),
        }
    }

    /// The version of the list and its entries after `version`, as one line.
    fn list_after(&self, version: u64) -> (u64, String) {
        let shared = lock(&self.shared);
        let changed = shared.entries.values().filter(|(changed_in, _)| *changed_in > version);
        let entries: Vec<String> = changed.map(|(_, entry)| entry.clone()).collect();
        (shared.version, worker_list(shared.version, version == 0, &entries) + "\n")
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted)
}
