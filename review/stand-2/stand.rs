//! Stand-ins for clients, executors and discovery, and the start of real nodes, for the cases of the second review.
//! Only the standard library is used. Every address is on 127.0.0.1.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The processes that this case has started and that may still run.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());
/// A case ends itself after this time, with all that it has started.
const LONGEST_CASE: Duration = Duration::from_secs(115);

/// What every part of a case shares: the record, the clock and the switch `TROUBLE`.
pub struct Case {
    started: Instant,
    record: Mutex<File>,
    pub trouble: bool,
    pub temp: PathBuf,
    ended: AtomicBool,
}

impl Case {
    /// Reads the arguments of the case's program: the case's record.txt, and a private temporary folder.
    pub fn new() -> Arc<Case> {
        let mut arguments = std::env::args().skip(1).map(PathBuf::from);
        let record = arguments.next().unwrap_or_else(|| could_not_run("no path of record.txt"));
        let temp = arguments.next().unwrap_or_else(|| could_not_run("no temporary folder"));
        let record = File::create(record).unwrap_or_else(|error| could_not_run(&error.to_string()));
        let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        let case = Case {
            started: Instant::now(),
            record: Mutex::new(record),
            trouble,
            temp,
            ended: AtomicBool::new(false),
        };
        case.log(&format!("trouble={}", u8::from(trouble)));
        thread::spawn(|| {
            thread::sleep(LONGEST_CASE);
            for process in PROCESSES.lock().unwrap().iter() {
                let _ = Command::new("kill").args(["-s", "KILL", &process.to_string()]).status();
            }
            could_not_run("the case took too long")
        });
        Arc::new(case)
    }

    /// Seconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    /// Writes a line to the record, with its time.
    pub fn log(&self, text: &str) {
        let mut record = self.record.lock().unwrap();
        let _ = writeln!(record, "{:9.4} {text}", self.now());
    }

    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    pub fn sleep_until(&self, at: f64) {
        let left = at - self.now();
        if left > 0.0 {
            thread::sleep(Duration::from_secs_f64(left));
        }
    }

    /// Ends the case: 1 if the rule was broken, 0 if it held.
    pub fn finish(&self, nodes: &mut [Node], is_broken: bool, summary: &str) -> ! {
        self.ended.store(true, Ordering::SeqCst);
        for node in nodes.iter_mut() {
            node.kill();
        }
        let verdict = if is_broken { "BROKEN" } else { "HELD" };
        self.log(&format!("{verdict}: {summary}"));
        println!("{verdict}: {summary}");
        std::process::exit(i32::from(is_broken))
    }
}

/// The case can't run on this machine.
pub fn could_not_run(why: &str) -> ! {
    println!("COULD NOT RUN: {why}");
    std::process::exit(2)
}

/// A generator of random numbers (xorshift), so that a run can be repeated with the same draws.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// Uniform in 0..1.
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * self.unit()
    }

    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }
}

/// A message as it was read: the first line, the header fields with names in lower case, and the body.
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When the first byte of the message was read.
    pub first_byte_at: Instant,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(field, _)| field == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads one HTTP message whose body has a length or is in chunks. `None` at the end of the connection.
/// Bytes of the head that are not ASCII are kept as characters of Latin-1, so that none is lost.
pub fn read_message(input: &mut BufReader<TcpStream>) -> Option<Message> {
    let first = loop {
        match input.fill_buf() {
            Ok([]) => return None,
            Ok(_) => break Instant::now(),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return None,
        }
    };
    let first_line = read_line(input)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(input)?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        let value = value.trim_matches([' ', '\t']);
        headers.push((name.to_ascii_lowercase(), value.to_string()));
    }
    let mut message = Message { first_line, headers, body: Vec::new(), first_byte_at: first };
    if let Some(length) = message.header("content-length").and_then(|text| text.parse::<usize>().ok()) {
        message.body = vec![0; length];
        input.read_exact(&mut message.body).ok()?;
    } else if message.header("transfer-encoding") == Some("chunked") {
        loop {
            let size = usize::from_str_radix(read_line(input)?.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            input.read_exact(&mut chunk).ok()?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    Some(message)
}

fn read_line(input: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = Vec::new();
    input.read_until(b'\n', &mut line).ok()?;
    if line.pop() != Some(b'\n') {
        return None;
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    Some(line.into_iter().map(char::from).collect())
}

pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

// ---------------------------------------------------------------------------------------------- executors

/// One run of a job at an executor.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub executor: String,
    pub received_at: f64,
    pub ended: bool,
}

/// How an executor behaves beyond the protocol page's ordinary course.
#[derive(Clone, Default)]
pub struct ExecutorPlan {
    /// Jobs that run at once, and jobs that may wait.
    pub slots: usize,
    pub queue: usize,
    /// Whether it says when a job starts.
    pub tells_start: bool,
}

pub struct Executor {
    pub name: String,
    pub address: SocketAddr,
    pub case: Arc<Case>,
    plan: ExecutorPlan,
    load: Mutex<Load>,
    changed: Condvar,
    pub runs: Mutex<Vec<Run>>,
    pub refused: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
    down: AtomicBool,
}

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
}

impl Executor {
    /// Starts an executor at a free port. The body of a request says how long its job runs: `work_ms=N`.
    pub fn start(case: &Arc<Case>, name: &str, plan: ExecutorPlan) -> Arc<Executor> {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| could_not_run(&error.to_string()));
        let executor = Arc::new(Executor {
            name: name.to_string(),
            address: listener.local_addr().unwrap(),
            case: case.clone(),
            plan,
            load: Mutex::default(),
            changed: Condvar::new(),
            runs: Mutex::default(),
            refused: AtomicU64::new(0),
            connections: Mutex::default(),
            down: AtomicBool::new(false),
        });
        let shared = executor.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let Ok(stream) = stream else { continue };
                if shared.down.load(Ordering::SeqCst) {
                    return;
                }
                let _ = stream.set_nodelay(true);
                shared.connections.lock().unwrap().push(stream.try_clone().unwrap());
                let executor = shared.clone();
                thread::spawn(move || executor.serve(stream));
            }
        });
        executor
    }

    /// The process ends: its connections are closed, and new ones are not served.
    pub fn end(&self) {
        self.down.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn serve(self: Arc<Executor>, stream: TcpStream) {
        let mut output = stream.try_clone().unwrap();
        let mut input = BufReader::new(stream);
        while let Some(request) = read_message(&mut input) {
            let Some(id) = request.header("request-id").map(str::to_string) else {
                let _ = output.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                continue;
            };
            let received_at = request.first_byte_at.duration_since(self.case.started).as_secs_f64();
            let told = request.header("request-timeout").unwrap_or("").to_string();
            self.case.log(&format!(
                "executor {} received id={id} first_byte={received_at:.4} timeout={told}",
                self.name
            ));
            let taken = {
                let mut load = self.load.lock().unwrap();
                if load.running + load.waiting < self.plan.slots + self.plan.queue {
                    load.waiting += 1;
                    true
                } else {
                    false
                }
            };
            if !taken {
                self.refuse(&id, &mut output);
                continue;
            }
            if output.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_err() {
                // The node has gone before the job began: it is dropped from the queue.
                self.load.lock().unwrap().waiting -= 1;
                return;
            }
            {
                let mut load = self.load.lock().unwrap();
                while load.running >= self.plan.slots {
                    load = self.changed.wait(load).unwrap();
                }
                load.waiting -= 1;
                load.running += 1;
            }
            let index = {
                let mut runs = self.runs.lock().unwrap();
                runs.push(Run { id: id.clone(), executor: self.name.clone(), received_at, ended: false });
                runs.len() - 1
            };
            self.case.log(&format!("executor {} runs id={id}", self.name));
            if self.plan.tells_start {
                let line = format!("{{\"id\":\"{id}\",\"from\":\"{}\",\"state\":\"started\"}}\n", self.name);
                let _ = output.write_all(chunk(&line).as_bytes());
            }
            thread::sleep(Duration::from_secs_f64(work_of(&request.body)));
            {
                let mut load = self.load.lock().unwrap();
                load.running -= 1;
                self.changed.notify_all();
            }
            self.runs.lock().unwrap()[index].ended = !self.down.load(Ordering::SeqCst);
            let line = format!(
                "{{\"id\":\"{id}\",\"from\":\"{}\",\"state\":\"done\",\"result\":\"result of {id}\"}}\n",
                self.name
            );
            let _ = output.write_all((chunk(&line) + "0\r\n\r\n").as_bytes());
        }
    }

    /// Turns a job away unstarted, since no place is free.
    fn refuse(&self, id: &str, output: &mut TcpStream) {
        const REFUSAL: &[u8] =
            b"HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";
        self.refused.fetch_add(1, Ordering::SeqCst);
        self.case.log(&format!("executor {} turned away id={id}", self.name));
        let _ = output.write_all(REFUSAL);
    }
}

fn work_of(body: &[u8]) -> f64 {
    let text = String::from_utf8_lossy(body);
    let work =
        text.split("work_ms=").nth(1).and_then(|rest| rest.split([';', ' ']).next()?.parse::<f64>().ok());
    work.unwrap_or(10.0) / 1e3
}

// ---------------------------------------------------------------------------------------------- discovery

/// One entry of discovery's list.
#[derive(Clone)]
pub struct Entry {
    pub host: String,
    pub dial: SocketAddr,
    pub site: String,
    pub class: String,
    pub block: u64,
    pub health: &'static str,
    pub share: f64,
}

impl Entry {
    pub fn json(&self) -> String {
        format!(
            r#"{{"host":"{}","dial":"{}","site":"{}","class":"{}","block":{},"health":"{}","share":{:.1},"born_ms":0}}"#,
            self.host, self.dial, self.site, self.class, self.block, self.health, self.share
        )
    }
}

pub struct Discovery {
    pub address: SocketAddr,
    case: Arc<Case>,
    state: Mutex<DiscoveryState>,
    changed: Condvar,
    /// The time that a call's answer takes to begin, in milliseconds.
    pub answer_delay_ms: AtomicU64,
    connections: Mutex<Vec<TcpStream>>,
    down: AtomicBool,
}

struct DiscoveryState {
    version: u64,
    /// Each entry with the version of its last change.
    entries: Vec<(u64, Entry)>,
}

pub fn list_json(version: u64, whole: bool, entries: &[Entry]) -> String {
    let entries: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(r#"{{"seq":{version},"whole":{whole},"hosts":[{}]}}"#, entries.join(","))
}

impl Discovery {
    pub fn start(case: &Arc<Case>, entries: Vec<Entry>) -> Arc<Discovery> {
        let listener =
            TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| could_not_run(&error.to_string()));
        let entries = entries.into_iter().map(|entry| (1, entry)).collect();
        let discovery = Arc::new(Discovery {
            address: listener.local_addr().unwrap(),
            case: case.clone(),
            state: Mutex::new(DiscoveryState { version: 1, entries }),
            changed: Condvar::new(),
            answer_delay_ms: AtomicU64::new(0),
            connections: Mutex::default(),
            down: AtomicBool::new(false),
        });
        discovery.clone().accept(listener);
        discovery
    }

    fn accept(self: Arc<Discovery>, listener: TcpListener) {
        thread::spawn(move || {
            for stream in listener.incoming() {
                if self.down.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                self.connections.lock().unwrap().push(stream.try_clone().unwrap());
                let discovery = self.clone();
                thread::spawn(move || discovery.serve(stream));
            }
        });
    }

    /// Discovery is down: its connections break and new ones are refused.
    pub fn go_down(&self) {
        self.case.log("discovery goes down");
        self.down.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        self.changed.notify_all();
    }

    /// Discovery is back at its address.
    pub fn come_back(self: &Arc<Discovery>) {
        for _ in 0..100 {
            if let Ok(listener) = TcpListener::bind(self.address) {
                self.down.store(false, Ordering::SeqCst);
                self.case.log("discovery is back");
                self.clone().accept(listener);
                return;
            }
            thread::sleep(Duration::from_millis(5));
        }
        could_not_run("discovery's port was taken")
    }

    /// Changes the health of an executor.
    pub fn set_health(&self, host: &str, health: &'static str) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        for (changed, entry) in &mut state.entries {
            if entry.host == host {
                (*changed, entry.health) = (version, health);
            }
        }
        drop(state);
        self.case.log(&format!("discovery has seq={version}: {host} is {health}"));
        self.changed.notify_all();
    }

    fn serve(self: Arc<Discovery>, stream: TcpStream) {
        let mut output = stream.try_clone().unwrap();
        let mut input = BufReader::new(stream);
        while let Some(request) = read_message(&mut input) {
            let target = request.first_line.split(' ').nth(1).unwrap_or("").to_string();
            self.case.log(&format!("discovery is asked {target}"));
            thread::sleep(Duration::from_millis(self.answer_delay_ms.load(Ordering::SeqCst)));
            let after =
                target.split("after=").nth(1).and_then(|text| text.split('&').next()?.parse::<u64>().ok());
            match after.filter(|_| target.contains("watch=1")) {
                Some(after) => return self.watch(after, &mut output),
                None => {
                    let (version, text) = {
                        let state = self.state.lock().unwrap();
                        let entries: Vec<Entry> =
                            state.entries.iter().map(|(_, entry)| entry.clone()).collect();
                        (state.version, list_json(state.version, true, &entries))
                    };
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
                    if output.write_all((head + &text).as_bytes()).is_err() {
                        return;
                    }
                    self.case.log(&format!("discovery has told the whole list seq={version}"));
                }
            }
        }
    }

    fn watch(&self, mut told: u64, output: &mut TcpStream) {
        if output.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").is_err() {
            return;
        }
        let mut state = self.state.lock().unwrap();
        while !self.down.load(Ordering::SeqCst) {
            let text = if state.version > told {
                let changed = state.entries.iter().filter(|(version, _)| *version > told);
                let entries: Vec<Entry> = changed.map(|(_, entry)| entry.clone()).collect();
                told = state.version;
                self.case.log(&format!("discovery tells seq={told} on a watch"));
                list_json(told, false, &entries) + "\n"
            } else {
                "\n".to_string()
            };
            if output.write_all(chunk(&text).as_bytes()).is_err() {
                return;
            }
            let wait = Duration::from_secs(2);
            state = self.changed.wait_timeout_while(state, wait, |state| state.version <= told).unwrap().0;
        }
    }
}

// ---------------------------------------------------------------------------------------------- nodes

/// A node: a process of the real program, started by the command `run` of the deploy file.
pub struct Node {
    pub name: String,
    pub address: SocketAddr,
    child: Child,
    pub log: PathBuf,
}

impl Node {
    /// Starts a node with this configuration, and waits until `GET /health/ready` answers 200.
    pub fn start(case: &Case, name: &str, config: &str) -> Node {
        let deploy = std::fs::read_to_string("deploy/balancer.toml")
            .unwrap_or_else(|_| could_not_run("no deploy file"));
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
        let run = run.unwrap_or_else(|| could_not_run("the deploy file has no line run")).to_string();
        let temp = case.temp.join(format!("tmp-{name}"));
        let _ = std::fs::create_dir_all(&temp);
        let config_path = case.temp.join(format!("{name}.json"));
        std::fs::write(&config_path, config).unwrap_or_else(|error| could_not_run(&error.to_string()));
        let log = case.temp.join(format!("{name}.log"));
        let output = File::create(&log).unwrap_or_else(|error| could_not_run(&error.to_string()));
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .env("RELAY_CONFIG", &config_path)
            .env("RELAY_NAME", name)
            .env("TMPDIR", &temp)
            .env_remove("RELAY_LISTEN")
            .env_remove("RELAY_DISCOVERY")
            .env_remove("RELAY_OPS")
            .env_remove("RELAY_FD")
            .env_remove("RUST_LOG")
            .env_remove("SORRELHAVEN_OPERATOR")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(output)
            .spawn()
            .unwrap_or_else(|error| could_not_run(&error.to_string()));
        PROCESSES.lock().unwrap().push(child.id());
        let mut node =
            Node { name: name.to_string(), address: SocketAddr::from(([127, 0, 0, 1], 0)), child, log };
        let limit = Instant::now() + Duration::from_secs(30);
        loop {
            if let Some(address) = node.listen_address()
                && is_ready(address)
            {
                node.address = address;
                case.log(&format!("node {name} is ready at {address}"));
                return node;
            }
            if Instant::now() > limit || node.child.try_wait().ok().flatten().is_some() {
                node.kill();
                could_not_run(&format!("node {name} did not become ready"));
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn listen_address(&self) -> Option<SocketAddr> {
        let text = std::fs::read_to_string(&self.log).ok()?;
        let line = text.lines().find(|line| line.contains(" ready "))?;
        line.rsplit("listen=").next()?.trim().parse().ok()
    }

    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status();
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().ok().flatten().is_some()
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let id = self.child.id();
        PROCESSES.lock().unwrap().retain(|process| *process != id);
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
    let request = b"GET /health/ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
    if stream.write_all(request).is_err() {
        return false;
    }
    read_message(&mut BufReader::new(stream)).is_some_and(|answer| answer.status() == 200)
}

// ---------------------------------------------------------------------------------------------- clients

/// A request of a client.
#[derive(Clone)]
pub struct Request {
    pub id: String,
    pub class: String,
    pub tenant: Option<String>,
    pub timeout_ms: u64,
    pub hint_us: u64,
    pub key: Option<String>,
    pub idempotency_key: Option<String>,
    pub body: String,
}

impl Request {
    pub fn bytes(&self) -> Vec<u8> {
        let mut head = format!(
            "POST /api HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: {}\r\nRequest-Class: {}\r\nRequest-Timeout: {}m\r\n",
            self.id, self.class, self.timeout_ms
        );
        if self.hint_us > 0 {
            head += &format!("Work-Hint: {}\r\n", self.hint_us);
        }
        for (name, value) in [
            ("Tenant", &self.tenant),
            ("Affinity-Key", &self.key),
            ("Idempotency-Key", &self.idempotency_key),
        ] {
            if let Some(value) = value {
                head += &format!("{name}: {value}\r\n");
            }
        }
        head += &format!("Content-Length: {}\r\n\r\n{}", self.body.len(), self.body);
        head.into_bytes()
    }
}

/// What a client saw of its request.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(String),
    Refused,
    Failed(u16),
    /// The connection ended without an answer.
    Closed,
    /// No answer within the client's time and half a second more.
    Nothing,
}

/// Keeps connections to one node, as clients do.
pub struct Clients {
    node: SocketAddr,
    idle: Mutex<Vec<TcpStream>>,
}

impl Clients {
    pub fn new(node: SocketAddr) -> Arc<Clients> {
        Arc::new(Clients { node, idle: Mutex::default() })
    }

    /// Sends a request on a kept or a new connection and waits for its answer.
    pub fn send(&self, request: &Request) -> Answer {
        let kept = self.idle.lock().unwrap().pop();
        let stream = match kept {
            Some(stream) => stream,
            None => match TcpStream::connect(self.node) {
                Ok(stream) => stream,
                Err(_) => return Answer::Closed,
            },
        };
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(Duration::from_millis(request.timeout_ms + 500)));
        let mut output = stream.try_clone().unwrap();
        let sent_at = Instant::now();
        if output.write_all(&request.bytes()).is_err() {
            return Answer::Closed;
        }
        let mut input = BufReader::new(stream);
        let Some(answer) = read_message(&mut input) else {
            let waited = sent_at.elapsed().as_millis() as u64;
            return if waited >= request.timeout_ms { Answer::Nothing } else { Answer::Closed };
        };
        if answer.header("connection") != Some("close") {
            self.idle.lock().unwrap().push(output);
        }
        match answer.status() {
            200 => Answer::Served(String::from_utf8_lossy(&answer.body).to_string()),
            429 | 503 => Answer::Refused,
            status => Answer::Failed(status),
        }
    }
}

/// A request and its answer.
pub struct Outcome {
    pub request: Request,
    pub sent_at: f64,
    pub answer: Answer,
}

/// Sends requests at random moments, `rate` a second, from `from` to `to`, each from a thread of its own, and
/// collects the outcomes.
pub struct Traffic {
    pub outcomes: Arc<Mutex<Vec<Outcome>>>,
    open: Arc<AtomicU64>,
}

impl Traffic {
    pub fn start(
        case: &Arc<Case>,
        nodes: Vec<Arc<Clients>>,
        (from, to): (f64, f64),
        rate: impl Fn(f64) -> f64 + Send + 'static,
        mut make: impl FnMut(u64, &mut Random) -> Request + Send + 'static,
        seed: u64,
    ) -> Traffic {
        let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
        let open = Arc::new(AtomicU64::new(1));
        let traffic = Traffic { outcomes: outcomes.clone(), open: open.clone() };
        let case = case.clone();
        thread::spawn(move || {
            let mut random = Random::new(seed);
            let mut at = from;
            let mut number = 0;
            while at < to {
                case.sleep_until(at);
                let request = make(number, &mut random);
                let clients = nodes[(random.next() % nodes.len() as u64) as usize].clone();
                let (case, outcomes, open) = (case.clone(), outcomes.clone(), open.clone());
                open.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    let sent_at = case.now();
                    case.log(&format!("client sends id={} class={}", request.id, request.class));
                    let answer = clients.send(&request);
                    if !case.has_ended() {
                        case.log(&format!("client id={} is answered {answer:?}", request.id));
                    }
                    outcomes.lock().unwrap().push(Outcome { request, sent_at, answer });
                    open.fetch_sub(1, Ordering::SeqCst);
                });
                number += 1;
                at += random.exponential(1.0 / rate(at));
            }
            open.fetch_sub(1, Ordering::SeqCst);
        });
        traffic
    }

    /// Waits until every request has its outcome, until `limit` at the latest.
    pub fn wait(&self, case: &Case, limit: f64) {
        while self.open.load(Ordering::SeqCst) > 0 && case.now() < limit {
            thread::sleep(Duration::from_millis(20));
        }
    }

    pub fn counts(&self) -> String {
        let mut counts: HashMap<&str, u64> = HashMap::new();
        for outcome in self.outcomes.lock().unwrap().iter() {
            let name = match outcome.answer {
                Answer::Served(_) => "served",
                Answer::Refused => "refused",
                Answer::Failed(_) => "failed",
                Answer::Closed => "closed",
                Answer::Nothing => "nothing",
            };
            *counts.entry(name).or_default() += 1;
        }
        let mut counts: Vec<String> = counts.iter().map(|(name, count)| format!("{name}={count}")).collect();
        counts.sort();
        counts.join(" ")
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

pub fn read_log(path: &Path) -> String {
    std::fs::read_to_string(path).unwrap_or_default()
}
