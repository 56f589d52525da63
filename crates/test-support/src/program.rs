//! The program itself, started as an operator starts it.

use std::io::{BufRead, BufReader, Read, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

/// A directory of a test's own, gone when dropped.
pub struct ScratchDir(pub PathBuf);

impl ScratchDir {
    /// A new one, whose name holds `name`.
    pub fn new(name: &str) -> ScratchDir {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("sorrelhaven-{}-{number}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a directory");
        ScratchDir(path.canonicalize().expect("it is there"))
    }

    /// A path in it.
    pub fn at(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    /// Writes a file in it, and gives its path.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        std::fs::write(self.at(name), text).expect("a file");
        self.at(name)
    }

    /// The names in a directory of it, sorted.
    pub fn names(&self, directory: &str) -> Vec<String> {
        let entries = std::fs::read_dir(self.at(directory)).expect("a directory");
        let mut names: Vec<String> =
            entries.map(|e| e.expect("an entry").file_name().to_string_lossy().into_owned()).collect();
        names.sort();
        names
    }
}

impl Drop for ScratchDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A program that was told to end must have ended by then; far more than it may take.
const END_MOST: std::time::Duration = std::time::Duration::from_secs(30);
/// The variables that the program reads.
const VARIABLES: [&str; 7] = [
    "RUST_LOG",
    "SORRELHAVEN_OPERATOR",
    "RELAY_NAME",
    "RELAY_LISTEN",
    "RELAY_DISCOVERY",
    "RELAY_OPS",
    "RELAY_FD",
];

/// A program that serves; ended when dropped, whatever the test came to.
pub struct Program {
    /// The process.
    pub child: Child,
    log: BufReader<ChildStderr>,
    early: Vec<String>,
    /// Where it listens.
    pub address: String,
    /// Where its operators call; `none` where it has no such address.
    pub ops: String,
}

impl Program {
    /// Starts `command` with a platform's file, and an operators' if there is one, and waits until it is ready. Of
    /// the variables that it reads it has those that the command sets, and no others.
    pub fn start(mut command: Command, config: &Path, operator: Option<&Path>) -> Program {
        let set: Vec<_> = command.get_envs().map(|(name, _)| name.to_os_string()).collect();
        for name in VARIABLES.into_iter().filter(|name| !set.iter().any(|s| s == name)) {
            command.env_remove(name);
        }
        command.env("RELAY_CONFIG", config);
        if let Some(operator) = operator {
            command.env("SORRELHAVEN_OPERATOR", operator);
        }
        let mut child = command.stderr(Stdio::piped()).spawn().expect("the program starts");
        let log = BufReader::new(child.stderr.take().expect("its log"));
        let mut program =
            Program { child, log, early: Vec::new(), address: String::new(), ops: String::new() };
        let line = loop {
            let line = program.line("");
            if line.contains(" ready ") {
                break line;
            }
            program.early.push(line);
        };
        let field =
            |name: &str| line.split_whitespace().find_map(|f| f.strip_prefix(name)).unwrap_or_default();
        program.ops = field("ops=").to_string();
        program.address = line.rsplit("listen=").next().expect("its address").trim().to_string();
        program
    }

    /// The next line of the log that holds `word`.
    pub fn line(&mut self, word: &str) -> String {
        let mut line = String::new();
        while self.log.read_line(&mut line).expect("its log") > 0 {
            if line.contains(word) {
                return line;
            }
            line.clear();
        }
        panic!("no line with {word:?}");
    }

    /// What its log said before it was ready.
    pub fn early(&self) -> &[String] {
        &self.early
    }

    /// The leftovers that it swept at its start.
    pub fn swept(&self) -> u64 {
        let swept = self.early.iter().find_map(|line| line.split("swept=").nth(1));
        swept.and_then(|swept| swept.trim().parse().ok()).unwrap_or(0)
    }

    /// What its operators are answered who call so.
    pub fn call(&self, call: &str) -> String {
        let mut stream = std::net::TcpStream::connect(&self.ops).expect("its operators' address");
        stream.write_all(format!("{call}\n").as_bytes()).expect("it reads");
        // Far beyond what it owes: a node that never answers must not hold up the tests for ever.
        stream.set_read_timeout(Some(std::time::Duration::from_secs(20))).expect("a socket");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("an answer");
        answer
    }

    /// One of the metrics that it shows its operators, over all classes.
    pub fn shown(&self, name: &str) -> u64 {
        let text = self.call("show-stat");
        let of = |line: &str| {
            let (key, figure) = line.rsplit_once(' ')?;
            (key.split('{').next() == Some(name)).then(|| figure.parse::<u64>().expect("a figure"))
        };
        text.lines().filter_map(of).sum()
    }

    /// Sends it a signal by its short name.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args(["-s", name, &id]).status().expect("kill").success());
    }

    /// A figure of its counters now.
    pub fn figure(&mut self, name: &str) -> u64 {
        self.signal("USR1");
        let line = self.line("admitted=");
        let found = line.split_whitespace().find_map(|f| f.strip_prefix(&format!("{name}=")));
        found.and_then(|f| f.parse().ok()).unwrap_or_else(|| panic!("no {name} in {line}"))
    }

    /// Asks it to end, and gives what is left of its log; panics where it does not end cleanly.
    pub fn end(mut self) -> String {
        self.signal("TERM");
        // One that never ends must not hold up the tests for ever: its log ends with it.
        let (id, (ended, watch)) = (self.child.id().to_string(), std::sync::mpsc::channel::<()>());
        let watchdog = std::thread::spawn(move || {
            if watch.recv_timeout(END_MOST) == Err(std::sync::mpsc::RecvTimeoutError::Timeout) {
                let _ = Command::new("kill").args(["-s", "KILL", &id]).status();
            }
        });
        let mut rest = String::new();
        self.log.read_to_string(&mut rest).expect("its log");
        drop(ended);
        watchdog.join().expect("the watchdog");
        assert!(self.child.wait().expect("it ends").success(), "{rest}");
        rest
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
