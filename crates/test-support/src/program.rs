//! The program under test, `sorrelhaven`, run as a process.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::thread;
use std::time::Duration;

/// A program that has not ended this long after SIGTERM is killed: far longer than a shutdown may take.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(30);
/// Read timeout of a reply to an admin command: far longer than a reply may take.
const ADMIN_REPLY_TIMEOUT: Duration = Duration::from_secs(20);
/// The environment variables that the program reads, except `RELAY_CONFIG`, which each start sets.
const PROGRAM_VARIABLES: [&str; 7] = [
    "RUST_LOG",
    "SORRELHAVEN_OPERATOR",
    "RELAY_NAME",
    "RELAY_LISTEN",
    "RELAY_DISCOVERY",
    "RELAY_OPS",
    "RELAY_FD",
];

/// A process of the program. It is killed when dropped, also if the test panics.
pub struct Program {
    /// The child process, whose standard error is read as the log.
    pub child: Child,
    log: BufReader<ChildStderr>,
    startup_log: Vec<String>,
    /// The address at which the program accepts clients.
    pub address: String,
    /// The address of the admin listener; `none` if there is no such listener.
    pub admin_address: String,
}

impl Program {
    /// Starts `command` with the platform's configuration file `config` and the operator's file `operator`,
    /// if any, and waits until the program logs that it is ready. Variables that the program reads are not
    /// inherited from the test: only those that `command` sets are passed on.
    ///
    /// # Panics
    /// If the program can't be started, or ends before it is ready.
    pub fn start(mut command: Command, config: &Path, operator: Option<&Path>) -> Program {
        remove_inherited_variables(&mut command);
        command.env("RELAY_CONFIG", config);
        if let Some(operator) = operator {
            command.env("SORRELHAVEN_OPERATOR", operator);
        }
        let mut child = command.stderr(Stdio::piped()).spawn().expect("the program can be started");
        let log = BufReader::new(child.stderr.take().expect("standard error is piped"));
        let mut program = Program {
            child,
            log,
            startup_log: Vec::new(),
            address: String::new(),
            admin_address: String::new(),
        };
        program.wait_until_ready();
        program
    }

    /// Reads the log up to the ready line, and takes the addresses from that line.
    fn wait_until_ready(&mut self) {
        let ready_line = loop {
            let line = self.wait_for_log_line("");
            if line.contains(" ready ") {
                break line;
            }
            self.startup_log.push(line);
        };
        self.admin_address = log_field(&ready_line, "ops").unwrap_or_default().to_string();
        let address = ready_line.rsplit("listen=").next().expect("the ready line names the address");
        self.address = address.trim().to_string();
    }

    /// Reads the log up to the next line that contains `text`, and returns that line.
    ///
    /// # Panics
    /// If the log ends before such a line.
    pub fn wait_for_log_line(&mut self, text: &str) -> String {
        let mut line = String::new();
        while self.log.read_line(&mut line).expect("the log can be read") > 0 {
            if line.contains(text) {
                return line;
            }
            line.clear();
        }
        panic!("the log ended without a line that contains {text:?}");
    }

    /// The most physical memory that the program has used since its start, in bytes; 0 if it has ended.
    pub fn peak_memory_bytes(&self) -> u64 {
        self.status_bytes("VmHWM:")
    }

    /// The physical memory that holds pages of files, such as the program itself, in bytes; 0 if the program has ended.
    /// Processes of the same program share these pages.
    pub fn file_memory_bytes(&self) -> u64 {
        self.status_bytes("RssFile:")
    }

    /// The size on the line of the process's status that begins with `key`, in bytes.
    fn status_bytes(&self, key: &str) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).unwrap_or_default();
        let size = status.lines().find_map(|line| line.strip_prefix(key));
        let kib = size.and_then(|size| size.trim().strip_suffix("kB")?.trim().parse::<u64>().ok());
        kib.unwrap_or(0) * 1024
    }

    /// The log lines before the ready line.
    pub fn startup_log(&self) -> &[String] {
        &self.startup_log
    }

    /// The number of body files, left by ended processes, that the program deleted at its start, from its
    /// log.
    pub fn leftover_files_deleted(&self) -> u64 {
        let removed = self.startup_log.iter().find_map(|line| line.split("swept=").nth(1));
        removed.and_then(|count| count.trim().parse().ok()).unwrap_or(0)
    }

    /// Sends `command` to the admin listener and returns its reply.
    ///
    /// # Panics
    /// If the connection fails, or nothing of the reply arrives for 20 s.
    pub fn admin_command(&self, command: &str) -> String {
        let mut stream =
            TcpStream::connect(&self.admin_address).expect("the admin listener accepts the connection");
        stream.write_all(format!("{command}\n").as_bytes()).expect("the admin listener reads the command");
        stream.set_read_timeout(Some(ADMIN_REPLY_TIMEOUT)).expect("the socket takes a time limit");
        let mut reply = String::new();
        stream.read_to_string(&mut reply).expect("the admin listener sends a reply");
        reply
    }

    /// The value of a metric in the reply to `show-stat`, summed over all its labels; 0 if there is none.
    ///
    /// # Panics
    /// If the admin listener does not reply, or the value is not an integer.
    pub fn metric(&self, name: &str) -> u64 {
        let metrics = self.admin_command("show-stat");
        let value_of = |line: &str| {
            let (key, value) = line.rsplit_once(' ')?;
            let has_name = key.split('{').next() == Some(name);
            has_name.then(|| value.parse::<u64>().expect("a metric is an integer"))
        };
        metrics.lines().filter_map(value_of).sum()
    }

    /// Sends the signal with this name without its prefix, such as `TERM` for SIGTERM.
    ///
    /// # Panics
    /// If the signal can't be sent.
    pub fn signal(&self, name: &str) {
        let process_id = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &process_id]).status().expect("kill can be run");
        assert!(status.success(), "SIG{name} was not sent");
    }

    /// The current value of a counter: sends SIGUSR1, on which the program logs its counters, and reads the
    /// next line with counters.
    ///
    /// # Panics
    /// If the log line has no counter of this name, or the log ends before that line.
    pub fn counter(&mut self, name: &str) -> u64 {
        self.signal("USR1");
        let line = self.wait_for_log_line("admitted=");
        let value = log_field(&line, name).and_then(|value| value.parse().ok());
        value.unwrap_or_else(|| panic!("no integer counter {name} in the log line {line}"))
    }

    /// Sends SIGTERM, waits for the end of the program and returns the unread rest of its log.
    ///
    /// # Panics
    /// If the program exits with an error, or has not ended 30 s after SIGTERM.
    pub fn terminate(self) -> String {
        self.signal("TERM");
        self.wait_for_end(SHUTDOWN_TIMEOUT).expect("the program ends by itself")
    }

    /// Waits for the end of a program that was sent SIGTERM, and returns the unread rest of its log. Sends SIGKILL
    /// after `limit`, and returns `None` then.
    ///
    /// # Panics
    /// If the program exits with an error.
    pub fn wait_for_end(mut self, limit: Duration) -> Option<String> {
        let process_id = self.child.id();
        let (ended, watched) = channel::<()>();
        let watchdog = thread::spawn(move || kill_unless_ended(process_id, &watched, limit));
        let mut log = String::new();
        self.log.read_to_string(&mut log).expect("the log can be read");
        drop(ended);
        let was_killed = watchdog.join().expect("the watchdog thread does not panic");
        let status = self.child.wait().expect("the program has ended");
        if was_killed {
            return None;
        }
        assert!(status.success(), "{log}");
        Some(log)
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Prevents `command` from inheriting variables that the program reads, except those that `command` sets.
fn remove_inherited_variables(command: &mut Command) {
    let set_by_test: Vec<_> = command.get_envs().map(|(name, _)| name.to_os_string()).collect();
    for name in PROGRAM_VARIABLES {
        if !set_by_test.iter().any(|set| set == name) {
            command.env_remove(name);
        }
    }
}

/// The value of the field `name` in a log line, in which fields are written as `name=value`.
fn log_field<'line>(line: &'line str, name: &str) -> Option<&'line str> {
    line.split_whitespace().find_map(|field| field.strip_prefix(name)?.strip_prefix('='))
}

/// Kills the process unless the sender of `ended` is dropped within `limit`, and returns whether it did. A program that
/// never ends must not block the tests: its log, which [`Program::wait_for_end`] reads, ends with it.
fn kill_unless_ended(process_id: u32, ended: &Receiver<()>, limit: Duration) -> bool {
    let is_late = ended.recv_timeout(limit) == Err(RecvTimeoutError::Timeout);
    if is_late {
        let _ = Command::new("kill").args(["-s", "KILL", &process_id.to_string()]).status();
    }
    is_late
}
