//! The program itself, started as an operator starts it.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::thread;
use std::time::Duration;

/// A program that does not end within this time after SIGTERM is killed; far beyond what it may take.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(30);
/// An admin call without an answer fails after this time; far beyond what it may take.
const ADMIN_CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// The environment variables that the program reads.
const PROGRAM_VARIABLES: [&str; 7] = [
    "RUST_LOG",
    "SORRELHAVEN_OPERATOR",
    "RELAY_NAME",
    "RELAY_LISTEN",
    "RELAY_DISCOVERY",
    "RELAY_OPS",
    "RELAY_FD",
];

/// A running process of the program; it is killed when dropped, however the test ends.
pub struct Program {
    /// The process.
    pub child: Child,
    log: BufReader<ChildStderr>,
    startup_log: Vec<String>,
    /// The address at which it serves clients.
    pub address: String,
    /// The address of its admin listener; `none` if it has none.
    pub admin_address: String,
}

impl Program {
    /// Starts `command` with the platform's file `config`, and with `operator`'s if there is one, and waits
    /// until the program logs that it is ready. Of the variables that the program reads it gets only those
    /// that `command` sets.
    ///
    /// # Panics
    /// If the program does not start, or ends before it is ready.
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

    /// Reads the log up to the line that says that the program is ready, and takes the addresses from it.
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

    /// The log lines before the one that said that the program was ready.
    pub fn startup_log(&self) -> &[String] {
        &self.startup_log
    }

    /// The number of files of earlier processes that the program removed at its start.
    pub fn stale_files_removed(&self) -> u64 {
        let removed = self.startup_log.iter().find_map(|line| line.split("swept=").nth(1));
        removed.and_then(|count| count.trim().parse().ok()).unwrap_or(0)
    }

    /// Sends `command` to the admin listener and returns its answer.
    ///
    /// # Panics
    /// If no answer comes within 20 s.
    pub fn admin_command(&self, command: &str) -> String {
        let mut stream = TcpStream::connect(&self.admin_address).expect("the admin listener accepts");
        stream.write_all(format!("{command}\n").as_bytes()).expect("the admin listener reads");
        stream.set_read_timeout(Some(ADMIN_CALL_TIMEOUT)).expect("the socket takes a time limit");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).expect("the admin listener answers");
        answer
    }

    /// The value of a metric of `show-stat`, summed over all its labels.
    ///
    /// # Panics
    /// If the admin listener does not answer, or the value is not an integer.
    pub fn metric(&self, name: &str) -> u64 {
        let metrics = self.admin_command("show-stat");
        let value_of = |line: &str| {
            let (key, value) = line.rsplit_once(' ')?;
            let has_name = key.split('{').next() == Some(name);
            has_name.then(|| value.parse::<u64>().expect("a metric is an integer"))
        };
        metrics.lines().filter_map(value_of).sum()
    }

    /// Sends the signal with this short name, such as `TERM`.
    ///
    /// # Panics
    /// If the signal can't be sent.
    pub fn signal(&self, name: &str) {
        let process_id = self.child.id().to_string();
        let status = Command::new("kill").args(["-s", name, &process_id]).status().expect("kill can be run");
        assert!(status.success(), "SIG{name} was not sent");
    }

    /// The current value of a counter, from the counters line that SIGUSR1 makes the program log.
    ///
    /// # Panics
    /// If there is no counter of this name.
    pub fn counter(&mut self, name: &str) -> u64 {
        self.signal("USR1");
        let line = self.wait_for_log_line("admitted=");
        let value = log_field(&line, name).and_then(|value| value.parse().ok());
        value.unwrap_or_else(|| panic!("no counter {name} in {line}"))
    }

    /// Ends the program with SIGTERM and returns the rest of its log.
    ///
    /// # Panics
    /// If the program does not exit with success.
    pub fn terminate(mut self) -> String {
        self.signal("TERM");
        let process_id = self.child.id();
        let (ended, watched) = channel::<()>();
        let watchdog = thread::spawn(move || kill_unless_ended(process_id, &watched));
        let mut log = String::new();
        self.log.read_to_string(&mut log).expect("the log can be read");
        drop(ended);
        watchdog.join().expect("the watchdog ends");
        assert!(self.child.wait().expect("the program has ended").success(), "{log}");
        log
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Removes the variables that the program reads and `command` does not set itself.
fn remove_inherited_variables(command: &mut Command) {
    let set_by_test: Vec<_> = command.get_envs().map(|(name, _)| name.to_os_string()).collect();
    for name in PROGRAM_VARIABLES {
        if !set_by_test.iter().any(|set| set == name) {
            command.env_remove(name);
        }
    }
}

/// The value of `name=value` in a log line.
fn log_field<'line>(line: &'line str, name: &str) -> Option<&'line str> {
    line.split_whitespace().find_map(|field| field.strip_prefix(name)?.strip_prefix('='))
}

/// Kills the process unless `ended` is closed within [`SHUTDOWN_TIMEOUT`], so that a program that never ends
/// does not hold up the tests: its log ends with it.
fn kill_unless_ended(process_id: u32, ended: &Receiver<()>) {
    if ended.recv_timeout(SHUTDOWN_TIMEOUT) == Err(RecvTimeoutError::Timeout) {
        let _ = Command::new("kill").args(["-s", "KILL", &process_id.to_string()]).status();
    }
}
