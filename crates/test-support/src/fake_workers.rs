//! Issuing boxes that follow a script, and log what they ran.

use crate::chunked::{CHUNKED_RESPONSE_HEAD, chunk};
use std::collections::{HashMap, VecDeque};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// What a box does with one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerBehavior {
    /// Runs it and gives its result, the length and checksum of the body.
    Done,
    /// Runs it for this many milliseconds, then as `Done`.
    DoneAfterMillis(u64),
    /// Runs it, says that it has started, and ends it as `Done` once [`FakeWorkers::release`] is called.
    PausedUntilReleased,
    /// Runs it, and says that it failed.
    Failed,
    /// Answers 503 with `Not-Started: 1`, unrun.
    Rejected,
    /// Runs it, and says that it was killed.
    Killed,
    /// Answers 503 with `Not-Started: 1` from the head alone, and ends the connection with the body unread.
    RejectedBeforeBody,
    /// Answers 400.
    InvalidRequest,
    /// Runs it, says that it has started, and ends its answer.
    Truncated,
    /// Runs it, and answers with what is no job line.
    Malformed,
    /// Runs it, and answers for another request.
    WrongRequestId,
    /// Runs it, and answers with a line that has no end.
    ResponseTooLarge,
    /// Reads the head and no more, for as long as the other side waits.
    StopsReading,
    /// Resets the connection in the middle of the body.
    ResetDuringBody,
    /// Runs it, and resets the connection without a word.
    ResetAfterBody,
    /// Runs it, and says nothing for as long as the other side waits.
    Silent,
    /// Runs it, says nothing for this many milliseconds, and resets the connection.
    SilentThenReset(u64),
}

/// A request that a box had whole, and so ran unless it turned it away.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExecutedRequest {
    /// The request's id.
    pub id: String,
    /// The box's number.
    pub worker: usize,
    /// The length of the body.
    pub body_length: usize,
    /// The checksum of the body, by [`checksum`].
    pub body_checksum: u64,
}

#[derive(Default)]
struct Shared {
    script: VecDeque<WorkerBehavior>,
    usual: Option<WorkerBehavior>,
    usual_at: HashMap<usize, WorkerBehavior>,
    runs: Vec<ExecutedRequest>,
    begun: usize,
    broken: usize,
    released: bool,
}

/// FakeWorkers that share one script and one log. They serve for as long as the process.
#[derive(Clone)]
pub struct FakeWorkers {
    shared: Arc<Mutex<Shared>>,
    release: Arc<Condvar>,
    /// Where they listen.
    pub addresses: Vec<SocketAddr>,
}

/// A checksum of bytes: FNV-1a.
pub fn checksum(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, &b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}

/// Bytes that differ from place to place and from seed to seed.
pub fn sample_bytes(length: usize, seed: u64) -> Vec<u8> {
    let mut x = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let mut next = || {
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        x as u8
    };
    (0..length).map(|_| next()).collect()
}

impl FakeWorkers {
    /// So many boxes on loopback.
    pub fn new(count: usize) -> FakeWorkers {
        let listeners: Vec<TcpListener> =
            (0..count).map(|_| TcpListener::bind("127.0.0.1:0").expect("a port")).collect();
        let addresses = listeners.iter().map(|l| l.local_addr().expect("its address")).collect();
        let boxes = FakeWorkers { shared: Arc::default(), release: Arc::default(), addresses };
        for (at, listener) in listeners.into_iter().enumerate() {
            let boxes = boxes.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let boxes = boxes.clone();
                    thread::spawn(move || boxes.serve(stream, at));
                }
            });
        }
        boxes
    }

    fn shared(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What is done with the next requests, whichever box they come to; then [`WorkerBehavior::Done`].
    pub fn script(&self, acts: &[WorkerBehavior]) {
        self.shared().script = acts.iter().copied().collect();
    }

    /// What is done with the requests beyond the script, instead of [`WorkerBehavior::Done`].
    pub fn set_default_behavior(&self, act: WorkerBehavior) {
        self.shared().usual = Some(act);
    }

    /// What one box does with the requests beyond the script, from now on; `None`: what all do.
    pub fn set_worker_behavior(&self, at: usize, act: Option<WorkerBehavior>) {
        let mut shared = self.shared();
        match act {
            Some(act) => shared.usual_at.insert(at, act),
            None => shared.usual_at.remove(&at),
        };
    }

    /// Lets what is [`WorkerBehavior::PausedUntilReleased`] end, now and from now on.
    pub fn release(&self) {
        self.shared().released = true;
        self.release.notify_all();
    }

    /// Returns once [`FakeWorkers::release`] was called.
    fn held(&self) {
        let shared = self.release.wait_while(self.shared(), |s| !s.released);
        drop(shared.unwrap_or_else(PoisonError::into_inner));
    }

    /// What they ran so far.
    pub fn executed_requests(&self) -> Vec<ExecutedRequest> {
        self.shared().runs.clone()
    }

    /// The runs of one request.
    pub fn executions_of(&self, id: &str) -> Vec<ExecutedRequest> {
        self.shared().runs.iter().filter(|r| r.id == id).cloned().collect()
    }

    /// Requests whose head has come.
    pub fn received_requests(&self) -> usize {
        self.shared().begun
    }

    /// Requests that ended before they were whole.
    pub fn incomplete_requests(&self) -> usize {
        self.shared().broken
    }

    /// Serves one connection to its end.
    fn serve(&self, stream: TcpStream, at: usize) {
        let _ = stream.set_nodelay(true);
        let Ok(reader) = stream.try_clone() else { return };
        let mut reader = BufReader::new(reader);
        while let Some(head) = Head::read(&mut reader) {
            // The script goes by the order in which requests come.
            let act = {
                let mut shared = self.shared();
                shared.begun += 1;
                let usual =
                    shared.usual_at.get(&at).copied().or(shared.usual).unwrap_or(WorkerBehavior::Done);
                shared.script.pop_front().unwrap_or(usual)
            };
            match act {
                WorkerBehavior::ResetDuringBody => {
                    let _ = reader.read(&mut [0; 16]);
                    return reset_connection(stream);
                }
                WorkerBehavior::RejectedBeforeBody => {
                    let _ = (&stream).write_all(NOT_STARTED);
                    return;
                }
                WorkerBehavior::StopsReading => {
                    // It ends when the other side does, which shows as soon as what it wrote was read.
                    while stream.peek(&mut [0]).is_ok_and(|n| n > 0) && !closed(&stream) {
                        thread::sleep(Duration::from_millis(10));
                    }
                    return;
                }
                _ => {}
            }
            let Ok(body) = head.body(&mut reader) else {
                self.shared().broken += 1;
                return;
            };
            if !matches!(act, WorkerBehavior::Rejected | WorkerBehavior::InvalidRequest) {
                let run = ExecutedRequest {
                    id: head.id.clone(),
                    worker: at,
                    body_length: body.len(),
                    body_checksum: checksum(&body),
                };
                self.shared().runs.push(run);
            }
            match act {
                WorkerBehavior::ResetAfterBody => return reset_connection(stream),
                WorkerBehavior::SilentThenReset(milliseconds) => {
                    let _ = stream.set_read_timeout(Some(Duration::from_millis(milliseconds)));
                    let _ = reader.read(&mut [0; 1]);
                    return reset_connection(stream);
                }
                WorkerBehavior::Silent => {
                    while reader.read(&mut [0; 64]).is_ok_and(|n| n > 0) {}
                    return;
                }
                _ => {}
            }
            if self.answer(&stream, &head.id, act, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, mut stream: &TcpStream, id: &str, act: WorkerBehavior, body: &[u8]) -> io::Result<()> {
        if act == WorkerBehavior::Rejected {
            return stream.write_all(NOT_STARTED);
        }
        if act == WorkerBehavior::InvalidRequest {
            return stream.write_all(b"HTTP/1.1 400 What\r\nContent-Length: 0\r\n\r\n");
        }
        stream.write_all(CHUNKED_RESPONSE_HEAD.as_bytes())?;
        let mut say = |news: &str| {
            let line = format!("{{\"id\":\"{id}\",\"from\":\"s\",{news}}}\n");
            stream.write_all(chunk(&line).as_bytes())
        };
        say("\"state\":\"started\"")?;
        match act {
            WorkerBehavior::Truncated => {}
            WorkerBehavior::Malformed => stream.write_all(b"5\r\nwhat\n\r\n")?,
            WorkerBehavior::ResponseTooLarge => {
                let line = vec![b'x'; 300_000];
                stream.write_all(format!("{:x}\r\n", line.len()).as_bytes())?;
                stream.write_all(&line)?;
                stream.write_all(b"\r\n")?;
            }
            WorkerBehavior::WrongRequestId => {
                let line = "{\"id\":\"another\",\"from\":\"s\",\"state\":\"done\",\"result\":\"1\"}\n";
                stream.write_all(chunk(line).as_bytes())?;
            }
            WorkerBehavior::Failed => say("\"state\":\"failed\"")?,
            WorkerBehavior::Killed => say("\"state\":\"lost\"")?,
            act => {
                match act {
                    WorkerBehavior::DoneAfterMillis(milliseconds) => {
                        thread::sleep(Duration::from_millis(milliseconds))
                    }
                    WorkerBehavior::PausedUntilReleased => self.held(),
                    _ => {}
                }
                say(&format!("\"state\":\"done\",\"result\":\"{} {:x}\"", body.len(), checksum(body)))?;
            }
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

const NOT_STARTED: &[u8] = b"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";

/// Whether the other side has ended the connection, whatever of it is unread.
fn closed(stream: &TcpStream) -> bool {
    let mut ends = [rustix::event::PollFd::new(stream, rustix::event::PollFlags::RDHUP)];
    let now = rustix::time::Timespec { tv_sec: 0, tv_nsec: 0 };
    rustix::event::poll(&mut ends, Some(&now)).is_ok_and(|n| n > 0)
}

/// Ends a connection with a reset: what has come and is not read makes it one.
pub fn reset_connection(stream: TcpStream) {
    let _ = stream.set_linger_zero();
    drop(stream);
}

trait Linger {
    fn set_linger_zero(&self) -> io::Result<()>;
}

impl Linger for TcpStream {
    fn set_linger_zero(&self) -> io::Result<()> {
        Ok(rustix::net::sockopt::set_socket_linger(self, Some(Duration::ZERO))?)
    }
}

/// A request's head as far as a box needs it.
struct Head {
    id: String,
    length: Option<usize>,
}

impl Head {
    fn read(reader: &mut impl BufRead) -> Option<Head> {
        let mut head = Head { id: String::new(), length: None };
        let mut line = String::new();
        let mut lines = 0;
        loop {
            line.clear();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            lines += 1;
            match line.trim_end().split_once(": ") {
                Some(("Request-Id", id)) => head.id = id.to_string(),
                Some(("Content-Length", length)) => head.length = length.parse().ok(),
                None if line.trim_end().is_empty() && lines > 1 => return Some(head),
                _ => {}
            }
        }
    }

    /// The whole body; an error where it is not whole.
    fn body(&self, reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        if let Some(length) = self.length {
            body.resize(length, 0);
            reader.read_exact(&mut body)?;
            return Ok(body);
        }
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim_end(), 16).map_err(io::Error::other)?;
            let from = body.len();
            body.resize(from + size, 0);
            reader.read_exact(&mut body[from..])?;
            reader.read_exact(&mut [0; 2])?;
            if size == 0 {
                return Ok(body);
            }
        }
    }
}
