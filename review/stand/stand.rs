//! Stand-ins for clients, executors and discovery, after the operators' protocol page, and the start of real nodes.
//! Standard library only. Every address is on loopback.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---------------------------------------------------------------------------------------------------- time, record

static START: OnceLock<Instant> = OnceLock::new();

/// Microseconds since the start of the test.
pub fn now_us() -> u64 {
    START.get_or_init(Instant::now).elapsed().as_micros() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// The file `record.txt` of the case: what was sent, answered and run.
pub struct Record(Mutex<io::BufWriter<File>>);

impl Record {
    pub fn open(path: &str) -> Arc<Record> {
        now_us();
        // A fault of a stand-in is no result.
        std::panic::set_hook(Box::new(|info| cannot_run(&info.to_string())));
        let file = File::create(path).unwrap_or_else(|error| cannot_run(&format!("{path}: {error}")));
        Arc::new(Record(Mutex::new(io::BufWriter::new(file))))
    }
    pub fn line(&self, text: &str) {
        let mut file = self.0.lock().unwrap();
        let _ = writeln!(file, "{:>10.3} ms  {text}", now_us() as f64 / 1e3);
    }
    /// To the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
        let _ = self.0.lock().unwrap().flush();
    }
}

/// Ends the test: the case could not run.
pub fn cannot_run(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    stop_children();
    std::process::exit(2)
}

pub fn finish(code: i32) -> ! {
    stop_children();
    std::process::exit(code)
}

/// Whether the disruption is to be played: the variable TROUBLE is not 0.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Pseudo-random numbers (xorshift).
pub struct Rng(u64);

impl Rng {
    pub fn new(seed: u64) -> Rng {
        Rng(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }
    pub fn below(&mut self, limit: u64) -> u64 {
        (self.next() >> 11) % limit
    }
    pub fn share(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }
}

// ---------------------------------------------------------------------------------------------------- HTTP

pub struct Head {
    pub start: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
        let Some(start) = read_line(reader)? else { return Ok(None) };
        let mut headers = Vec::new();
        loop {
            let Some(line) = read_line(reader)? else { return Ok(None) };
            if line.is_empty() {
                return Ok(Some(Head { start, headers }));
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.trim().to_ascii_lowercase(), value.trim().to_string()));
            }
        }
    }
    pub fn get(&self, name: &str) -> Option<&str> {
        let name = name.to_ascii_lowercase();
        self.headers.iter().find(|(present, _)| *present == name).map(|(_, value)| value.as_str())
    }
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
    pub fn read_body(&self, reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        if let Some(length) = self.get("Content-Length") {
            body.resize(length.parse().map_err(|_| io::ErrorKind::InvalidData)?, 0);
            io::Read::read_exact(reader, &mut body)?;
        } else if self.get("Transfer-Encoding").is_some() {
            loop {
                let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
                let size = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
                let mut chunk = vec![0; size + 2];
                io::Read::read_exact(reader, &mut chunk)?;
                if size == 0 {
                    break;
                }
                body.extend_from_slice(&chunk[..size]);
            }
        }
        Ok(body)
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 || line.last() != Some(&b'\n') {
        return Ok(None);
    }
    while matches!(line.last(), Some(b'\n' | b'\r')) {
        line.pop();
    }
    Ok(Some(String::from_utf8_lossy(&line).into_owned()))
}

pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| cannot_run(&error.to_string()));
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Makes a close of the socket a reset, as that of a dying process.
pub fn reset_on_close(stream: &TcpStream) {
    #[repr(C)]
    struct Linger {
        on: i32,
        seconds: i32,
    }
    unsafe extern "C" {
        fn setsockopt(fd: i32, level: i32, name: i32, value: *const Linger, length: u32) -> i32;
    }
    use std::os::fd::AsRawFd;
    let linger = Linger { on: 1, seconds: 0 };
    // SOL_SOCKET, SO_LINGER on Linux.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, &linger, 8) };
}

// ---------------------------------------------------------------------------------------------------- nodes

static CHILDREN: Mutex<Vec<Child>> = Mutex::new(Vec::new());

fn stop_children() {
    let mut children = CHILDREN.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
    for child in children.iter_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
    children.clear();
}

/// The repository's root: the folder above the one that holds this program's folder.
pub fn root() -> PathBuf {
    let program = std::env::current_exe().unwrap();
    program.ancestors().nth(3).map(Path::to_path_buf).unwrap_or_else(|| cannot_run("no root"))
}

/// The command `run` of the deploy file.
fn run_command() -> String {
    let path = root().join("deploy/balancer.toml");
    let text = fs::read_to_string(&path).unwrap_or_else(|error| cannot_run(&format!("{path:?}: {error}")));
    let line = text.lines().find(|line| line.starts_with("run")).unwrap_or_else(|| cannot_run("no run command"));
    line.split('"').nth(1).unwrap_or_else(|| cannot_run("no run command")).to_string()
}

/// Asks the system to kill this process when its parent ends.
fn end_with_parent() -> io::Result<()> {
    unsafe extern "C" {
        fn prctl(option: i32, argument: u64) -> i32;
    }
    // PR_SET_PDEATHSIG, SIGKILL on Linux.
    match unsafe { prctl(1, 9) } {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}

pub struct Node {
    pub name: String,
    pub address: SocketAddr,
    pub pid: u32,
    pub config_path: PathBuf,
    pub log: PathBuf,
}

impl Node {
    /// Starts a node with this configuration, as the platform does, and waits until it is ready.
    pub fn start(folder: &Path, name: &str, config: &str, discovery: SocketAddr) -> Node {
        let (listener, address) = listen();
        drop(listener);
        let config_path = folder.join(format!("{name}.json"));
        fs::write(&config_path, config).unwrap();
        let temporary = folder.join(format!("{name}.tmp"));
        fs::create_dir_all(&temporary).unwrap();
        let log = folder.join(format!("{name}.log"));
        let output = File::create(&log).unwrap();
        let mut command = Command::new("/bin/sh");
        // The node ends with this program, however that ends.
        unsafe { command.pre_exec(end_with_parent) };
        let child = command
            .args(["-c", &run_command()])
            .current_dir(root())
            .env("RELAY_CONFIG", &config_path)
            .env("RELAY_NAME", name)
            .env("RELAY_LISTEN", address.to_string())
            .env("RELAY_DISCOVERY", discovery.to_string())
            .env("TMPDIR", &temporary)
            .stdin(Stdio::null())
            .stdout(output.try_clone().unwrap())
            .stderr(output)
            .spawn()
            .unwrap_or_else(|error| cannot_run(&format!("node: {error}")));
        let pid = child.id();
        CHILDREN.lock().unwrap().push(child);
        let node = Node { name: name.to_string(), address, pid, config_path, log };
        for _ in 0..300 {
            if node.is_ready() {
                return node;
            }
            sleep_ms(20);
        }
        let log = fs::read_to_string(&node.log).unwrap_or_default();
        cannot_run(&format!("the node {name} does not get ready: {log}"))
    }
    pub fn is_ready(&self) -> bool {
        let mut client = Client::new(self.address);
        matches!(client.exchange("GET /health/ready HTTP/1.1\r\nHost: node\r\n\r\n", Duration::from_secs(1)), Ok((200, _)))
    }
    pub fn signal(&self, name: &str) {
        let _ = Command::new("/bin/kill").args([&format!("-{name}"), &self.pid.to_string()]).status();
    }
    /// Whether the process still runs.
    pub fn runs(&self) -> bool {
        let mut children = CHILDREN.lock().unwrap();
        children.iter_mut().any(|child| child.id() == self.pid && matches!(child.try_wait(), Ok(None)))
    }
}

/// A temporary folder of this run.
pub fn temporary_folder() -> PathBuf {
    let base = std::env::var("REVIEW_TMP").map(PathBuf::from).unwrap_or_else(|_| std::env::temp_dir());
    let folder = base.join(format!("review-{}", std::process::id()));
    fs::create_dir_all(&folder).unwrap_or_else(|error| cannot_run(&error.to_string()));
    folder
}

// ---------------------------------------------------------------------------------------------------- clients

/// A client's connection to a node; one request at a time, opened anew when it has ended.
pub struct Client {
    address: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
}

pub struct Job<'a> {
    pub id: &'a str,
    pub class: &'a str,
    pub tenant: Option<&'a str>,
    pub key: Option<&'a str>,
    pub timeout_ms: u64,
    pub hint_us: Option<u64>,
    pub body: &'a str,
}

impl Job<'_> {
    pub fn text(&self) -> String {
        let mut text = format!(
            "POST /api HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: {}\r\nRequest-Class: {}\r\nRequest-Timeout: {}m\r\n",
            self.id, self.class, self.timeout_ms
        );
        if let Some(tenant) = self.tenant {
            text += &format!("Tenant: {tenant}\r\n");
        }
        if let Some(key) = self.key {
            text += &format!("Idempotency-Key: {key}\r\n");
        }
        if let Some(hint) = self.hint_us {
            text += &format!("Work-Hint: {hint}\r\n");
        }
        text + &format!("Content-Length: {}\r\n\r\n{}", self.body.len(), self.body)
    }
}

impl Client {
    pub fn new(address: SocketAddr) -> Client {
        Client { address, stream: None }
    }
    /// Sends a request and reads the answer. A kept connection that the node has closed is replaced once, as the page
    /// says for a close that crosses a request.
    pub fn exchange(&mut self, request: &str, patience: Duration) -> io::Result<(u16, Vec<u8>)> {
        let reused = self.stream.is_some();
        match self.once(request, patience) {
            Err(error) if reused && !matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                self.once(request, patience)
            }
            result => result,
        }
    }
    fn once(&mut self, request: &str, patience: Duration) -> io::Result<(u16, Vec<u8>)> {
        let mut reader = match self.stream.take() {
            Some(reader) => reader,
            None => {
                let stream = TcpStream::connect(self.address)?;
                stream.set_nodelay(true)?;
                BufReader::new(stream)
            }
        };
        reader.get_ref().set_read_timeout(Some(patience))?;
        reader.get_mut().write_all(request.as_bytes())?;
        let head = Head::read(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let body = head.read_body(&mut reader)?;
        if head.get("Connection") != Some("close") {
            self.stream = Some(reader);
        }
        Ok((head.status(), body))
    }
}

// ---------------------------------------------------------------------------------------------------- executors

pub struct Request {
    pub head: Head,
    pub id: String,
    pub body: Vec<u8>,
    /// When the first and the last byte of the request were there.
    pub first_byte_us: u64,
    pub last_byte_us: u64,
}

/// One executor. The handler writes the answer to a request; returning false closes the connection.
pub struct Executor {
    pub name: String,
    pub address: SocketAddr,
    gone: Mutex<Arc<AtomicBool>>,
    open: Arc<Mutex<HashMap<u64, TcpStream>>>,
    handler: Handler,
}

type Handler = Arc<dyn Fn(&Request, &mut TcpStream) -> bool + Send + Sync>;

impl Executor {
    pub fn start<H>(name: &str, handler: H) -> Executor
    where
        H: Fn(&Request, &mut TcpStream) -> bool + Send + Sync + 'static,
    {
        let (listener, address) = listen();
        let gone = Arc::new(AtomicBool::new(false));
        let executor = Executor {
            name: name.to_string(),
            address,
            gone: Mutex::new(gone.clone()),
            open: Arc::default(),
            handler: Arc::new(handler),
        };
        executor.accept(listener, gone);
        executor
    }
    fn accept(&self, listener: TcpListener, gone: Arc<AtomicBool>) {
        let (open, handler) = (self.open.clone(), self.handler.clone());
        thread::spawn(move || {
            static NEXT: AtomicU64 = AtomicU64::new(0);
            listener.set_nonblocking(true).unwrap();
            while !gone.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).unwrap();
                        let _ = stream.set_nodelay(true);
                        let number = NEXT.fetch_add(1, Ordering::SeqCst);
                        open.lock().unwrap().insert(number, stream.try_clone().unwrap());
                        let (open, handler) = (open.clone(), handler.clone());
                        let serve = move || {
                            serve_executor_connection(stream, &*handler);
                            open.lock().unwrap().remove(&number);
                        };
                        let _ = thread::Builder::new().stack_size(256 * 1024).spawn(serve);
                    }
                    Err(_) => thread::sleep(Duration::from_micros(300)),
                }
            }
            drop(listener);
        });
    }
    /// The process starts again at the same address.
    pub fn restart(&self) {
        let listener = TcpListener::bind(self.address).unwrap_or_else(|error| cannot_run(&error.to_string()));
        let gone = Arc::new(AtomicBool::new(false));
        *self.gone.lock().unwrap() = gone.clone();
        self.accept(listener, gone);
    }
    /// The process dies: its connections are reset, and new ones are refused.
    pub fn die(&self) {
        self.gone.lock().unwrap().store(true, Ordering::SeqCst);
        sleep_ms(5);
        for (_, stream) in self.open.lock().unwrap().drain() {
            reset_on_close(&stream);
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }
}

fn serve_executor_connection(stream: TcpStream, handler: &(impl Fn(&Request, &mut TcpStream) -> bool + ?Sized)) {
    let Ok(mut writer) = stream.try_clone() else { return };
    let mut reader = BufReader::new(stream);
    loop {
        match reader.fill_buf() {
            Ok(bytes) if !bytes.is_empty() => {}
            _ => return,
        }
        let first_byte_us = now_us();
        let Ok(Some(head)) = Head::read(&mut reader) else { return };
        let Ok(body) = head.read_body(&mut reader) else { return };
        let id = head.get("Request-Id").unwrap_or_default().to_string();
        if id.is_empty() {
            let _ = writer.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
            continue;
        }
        let request = Request { head, id, body, first_byte_us, last_byte_us: now_us() };
        if !handler(&request, &mut writer) {
            return;
        }
    }
}

pub const JOB_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
pub const NOT_STARTED: &str = "HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";

pub fn job_line(id: &str, from: &str, state: &str, result: Option<&str>) -> String {
    let result = result.map_or(String::new(), |result| format!(",\"result\":\"{result}\""));
    chunk(&format!("{{\"id\":\"{id}\",\"from\":\"{from}\",\"state\":\"{state}\"{result}}}\n"))
}

// ---------------------------------------------------------------------------------------------------- discovery

pub struct Host {
    pub name: String,
    pub dial: SocketAddr,
    pub site: String,
    pub class: String,
    pub block: u64,
    pub health: &'static str,
    pub share: f64,
    pub born_ms: u64,
}

impl Host {
    pub fn json(&self) -> String {
        format!(
            "{{\"host\":\"{}\",\"dial\":\"{}\",\"site\":\"{}\",\"class\":\"{}\",\"block\":{},\"health\":\"{}\",\"share\":{:.1},\"born_ms\":{}}}",
            self.name, self.dial, self.site, self.class, self.block, self.health, self.share, self.born_ms
        )
    }
}

#[derive(Default)]
struct DiscoveryState {
    hosts: Vec<Host>,
    /// For each version from 1: the changed entries as JSON.
    changes: Vec<Vec<String>>,
    open: Vec<TcpStream>,
    epoch: u64,
    up: bool,
}

/// Discovery: the whole list, and watches that tell changes.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<Mutex<DiscoveryState>>,
    record: Arc<Record>,
}

impl Discovery {
    pub fn start(hosts: Vec<Host>, record: &Arc<Record>) -> Discovery {
        let (listener, address) = listen();
        let first = hosts.iter().map(Host::json).collect();
        let state = DiscoveryState { hosts, changes: vec![first], up: true, ..DiscoveryState::default() };
        let discovery = Discovery { address, state: Arc::new(Mutex::new(state)), record: record.clone() };
        discovery.serve(listener);
        discovery
    }
    fn serve(&self, listener: TcpListener) {
        let discovery = self.clone();
        let epoch = self.state.lock().unwrap().epoch;
        thread::spawn(move || {
            listener.set_nonblocking(true).unwrap();
            while discovery.lives(epoch) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).unwrap();
                        let _ = stream.set_nodelay(true);
                        discovery.state.lock().unwrap().open.push(stream.try_clone().unwrap());
                        let discovery = discovery.clone();
                        thread::spawn(move || discovery.serve_connection(stream, epoch));
                    }
                    Err(_) => sleep_ms(1),
                }
            }
        });
    }
    fn lives(&self, epoch: u64) -> bool {
        let state = self.state.lock().unwrap();
        state.up && state.epoch == epoch
    }
    /// The process dies: open connections are reset, new ones are refused.
    pub fn die(&self) {
        let mut state = self.state.lock().unwrap();
        state.up = false;
        state.epoch += 1;
        for stream in state.open.drain(..) {
            reset_on_close(&stream);
            let _ = stream.shutdown(std::net::Shutdown::Read);
        }
        drop(state);
        sleep_ms(10);
    }
    /// The process starts again at the same address.
    pub fn restart(&self) {
        let listener = TcpListener::bind(self.address).unwrap_or_else(|error| cannot_run(&error.to_string()));
        self.state.lock().unwrap().up = true;
        self.serve(listener);
    }
    pub fn set_health(&self, name: &str, health: &'static str) {
        let mut state = self.state.lock().unwrap();
        let mut changed = Vec::new();
        for host in state.hosts.iter_mut().filter(|host| host.name == name) {
            host.health = health;
            changed.push(host.json());
        }
        state.hosts.retain(|host| host.health != "terminated");
        state.changes.push(changed);
    }
    /// A new entry, or one that is back.
    pub fn add(&self, host: Host) {
        let mut state = self.state.lock().unwrap();
        let entry = host.json();
        state.hosts.retain(|known| known.name != host.name);
        state.hosts.push(host);
        state.changes.push(vec![entry]);
    }
    pub fn version(&self) -> u64 {
        self.state.lock().unwrap().changes.len() as u64
    }
    pub fn whole(&self) -> String {
        let state = self.state.lock().unwrap();
        let hosts: Vec<String> = state.hosts.iter().map(Host::json).collect();
        format!("{{\"seq\":{},\"whole\":true,\"hosts\":[{}]}}\n", state.changes.len(), hosts.join(","))
    }
    fn changes_after(&self, version: u64) -> Option<(u64, String)> {
        let state = self.state.lock().unwrap();
        let seq = state.changes.len() as u64;
        if seq <= version {
            return None;
        }
        let entries: Vec<String> = state.changes[version as usize..].iter().flatten().cloned().collect();
        Some((seq, format!("{{\"seq\":{seq},\"whole\":false,\"hosts\":[{}]}}\n", entries.join(","))))
    }
    fn serve_connection(&self, stream: TcpStream, epoch: u64) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = Head::read(&mut reader) {
            let target = head.start.split(' ').nth(1).unwrap_or_default().to_string();
            self.record.line(&format!("discovery: asked {target}"));
            if !target.contains("watch=1") {
                let list = self.whole();
                let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
                if writer.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let after = target.split("after=").nth(1).and_then(|text| text.parse().ok());
            let mut version: u64 = after.unwrap_or(0);
            if writer.write_all(JOB_HEAD.as_bytes()).is_err() {
                return;
            }
            let mut quiet_since = Instant::now();
            // The first object holds what changed after that version, or the whole list.
            if self.changes_after(version).is_none() {
                let list = format!("{{\"seq\":{version},\"whole\":false,\"hosts\":[]}}\n");
                let _ = writer.write_all(chunk(&list).as_bytes());
            }
            while self.lives(epoch) {
                let line = match self.changes_after(version) {
                    Some((seq, line)) => {
                        version = seq;
                        self.record.line(&format!("discovery: tells version {seq}"));
                        Some(line)
                    }
                    None if quiet_since.elapsed() >= Duration::from_millis(1900) => Some("\n".to_string()),
                    None => None,
                };
                if let Some(line) = line {
                    quiet_since = Instant::now();
                    if writer.write_all(chunk(&line).as_bytes()).is_err() {
                        return;
                    }
                }
                sleep_ms(5);
            }
            return;
        }
    }
}
