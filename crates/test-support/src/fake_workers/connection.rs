//! One connection to a fake worker.

use super::request_head::RequestHead;
use super::{ExecutedRequest, FakeWorkers, WorkerBehavior, checksum, reset_on_close};
use crate::chunked::{CHUNKED_RESPONSE_HEAD, chunk};
use std::io::{self, BufReader, Read, Write};
use std::net::TcpStream;
use std::ops::ControlFlow;
use std::thread;
use std::time::Duration;

const NOT_STARTED_RESPONSE: &[u8] = b"HTTP/1.1 503 Full\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n";
const BAD_REQUEST_RESPONSE: &[u8] = b"HTTP/1.1 400 What\r\nContent-Length: 0\r\n\r\n";
/// Exceeds the longest response line that the protocol allows.
const TOO_LONG_LINE_BYTES: usize = 300_000;
/// Interval at which a worker that has stopped reading checks whether the other side has closed the
/// connection.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A connection to the worker with the number `worker`.
pub(super) struct WorkerConnection<'a> {
    pub(super) workers: &'a FakeWorkers,
    pub(super) worker: usize,
    pub(super) stream: TcpStream,
}

impl WorkerConnection<'_> {
    /// Serves requests until either side ends the connection.
    pub(super) fn serve(self) {
        let _ = self.stream.set_nodelay(true);
        let Ok(read_half) = self.stream.try_clone() else { return };
        let mut reader = BufReader::new(read_half);
        while let Some(head) = RequestHead::read(&mut reader) {
            let behavior = self.workers.next_behavior(self.worker, &head.id);
            if self.serve_request(&head, behavior, &mut reader).is_break() {
                return;
            }
        }
    }

    /// Serves one request. Breaks if the connection is to be closed.
    fn serve_request(
        &self,
        head: &RequestHead,
        behavior: WorkerBehavior,
        reader: &mut BufReader<TcpStream>,
    ) -> ControlFlow<()> {
        self.act_before_body(behavior, reader)?;
        let Ok(body) = head.read_body(reader) else {
            self.workers.state().incomplete_requests += 1;
            return ControlFlow::Break(());
        };
        if behavior.runs_job() {
            self.workers.state().executed.push(ExecutedRequest {
                id: head.id.clone(),
                worker: self.worker,
                body_length: body.len(),
                body_checksum: checksum(&body),
            });
        }
        self.act_before_response(behavior, reader)?;
        match self.respond(&head.id, behavior, &body) {
            Ok(()) => ControlFlow::Continue(()),
            Err(_) => ControlFlow::Break(()),
        }
    }

    /// Performs the behaviours that end the connection before the body is read; breaks after one.
    fn act_before_body(
        &self,
        behavior: WorkerBehavior,
        reader: &mut BufReader<TcpStream>,
    ) -> ControlFlow<()> {
        match behavior {
            WorkerBehavior::ResetDuringBody => {
                let _ = reader.read(&mut [0; 16]);
                reset_on_close(&self.stream);
            }
            WorkerBehavior::RejectedBeforeBody => {
                let _ = (&self.stream).write_all(NOT_STARTED_RESPONSE);
            }
            WorkerBehavior::StopsReading => {
                // While bytes are unread, `peek` does not report the end of the stream: `poll` does.
                while self.stream.peek(&mut [0]).is_ok_and(|length| length > 0)
                    && !peer_has_closed(&self.stream)
                {
                    thread::sleep(CLOSE_POLL_INTERVAL);
                }
            }
            _ => return ControlFlow::Continue(()),
        }
        ControlFlow::Break(())
    }

    /// Performs the behaviours that end the connection without a response; breaks after one.
    fn act_before_response(
        &self,
        behavior: WorkerBehavior,
        reader: &mut BufReader<TcpStream>,
    ) -> ControlFlow<()> {
        match behavior {
            WorkerBehavior::ResetAfterBody => reset_on_close(&self.stream),
            WorkerBehavior::SilentThenReset(milliseconds) => {
                let _ = self.stream.set_read_timeout(Some(Duration::from_millis(milliseconds)));
                let _ = reader.read(&mut [0; 1]);
                reset_on_close(&self.stream);
            }
            WorkerBehavior::Silent => while reader.read(&mut [0; 64]).is_ok_and(|length| length > 0) {},
            _ => return ControlFlow::Continue(()),
        }
        ControlFlow::Break(())
    }

    fn respond(&self, id: &str, behavior: WorkerBehavior, body: &[u8]) -> io::Result<()> {
        let mut stream = &self.stream;
        match behavior {
            WorkerBehavior::Rejected => return stream.write_all(NOT_STARTED_RESPONSE),
            WorkerBehavior::RejectedTwice(milliseconds) => {
                return self.send_twice(NOT_STARTED_RESPONSE.to_vec(), milliseconds);
            }
            WorkerBehavior::ReturnedTwice(milliseconds) => {
                let line = format!("{{\"id\":\"{id}\",\"from\":\"s\",\"state\":\"returned\"}}\n");
                let response = format!("{CHUNKED_RESPONSE_HEAD}{}0\r\n\r\n", chunk(&line));
                return self.send_twice(response.into_bytes(), milliseconds);
            }
            WorkerBehavior::DoneAfterWait(milliseconds) => {
                thread::sleep(Duration::from_millis(milliseconds));
            }
            WorkerBehavior::InvalidRequest => return stream.write_all(BAD_REQUEST_RESPONSE),
            _ => {}
        }
        stream.write_all(CHUNKED_RESPONSE_HEAD.as_bytes())?;
        self.send_status(id, "\"state\":\"started\"")?;
        match behavior {
            WorkerBehavior::Truncated => {}
            WorkerBehavior::Malformed => stream.write_all(b"5\r\nwhat\n\r\n")?,
            WorkerBehavior::ResponseTooLarge => self.send_too_long_line()?,
            WorkerBehavior::WrongRequestId => {
                let line = "{\"id\":\"another\",\"from\":\"s\",\"state\":\"done\",\"result\":\"1\"}\n";
                stream.write_all(chunk(line).as_bytes())?;
            }
            WorkerBehavior::Failed => self.send_status(id, "\"state\":\"failed\"")?,
            WorkerBehavior::Killed => self.send_status(id, "\"state\":\"lost\"")?,
            WorkerBehavior::DoneAfterMillis(milliseconds) => {
                thread::sleep(Duration::from_millis(milliseconds));
                self.send_result(id, body)?;
            }
            WorkerBehavior::PausedUntilReleased => {
                self.workers.wait_for_release();
                self.send_result(id, body)?;
            }
            WorkerBehavior::DoneWithResult(length) => {
                let result = "x".repeat(length);
                self.send_status(id, &format!("\"state\":\"done\",\"result\":\"{result}\""))?;
            }
            WorkerBehavior::StallsInResult(length) => {
                let result = "x".repeat(length);
                let line =
                    format!("{{\"id\":\"{id}\",\"from\":\"s\",\"state\":\"done\",\"result\":\"{result}");
                stream.write_all(chunk(&line).as_bytes())?;
                let _ = stream.read(&mut [0; 1]);
                return Err(io::ErrorKind::TimedOut.into());
            }
            _ => self.send_result(id, body)?,
        }
        stream.write_all(b"0\r\n\r\n")
    }

    /// Sends a response, and once more after this many milliseconds from another thread.
    fn send_twice(&self, response: Vec<u8>, milliseconds: u64) -> io::Result<()> {
        let mut stream = self.stream.try_clone()?;
        stream.write_all(&response)?;
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(milliseconds));
            let _ = stream.write_all(&response);
        });
        Ok(())
    }

    fn send_result(&self, id: &str, body: &[u8]) -> io::Result<()> {
        let result = format!("\"state\":\"done\",\"result\":\"{} {:x}\"", body.len(), checksum(body));
        self.send_status(id, &result)
    }

    /// Sends one response line for the request with these JSON fields.
    fn send_status(&self, id: &str, fields: &str) -> io::Result<()> {
        let line = format!("{{\"id\":\"{id}\",\"from\":\"s\",{fields}}}\n");
        (&self.stream).write_all(chunk(&line).as_bytes())
    }

    fn send_too_long_line(&self) -> io::Result<()> {
        let mut stream = &self.stream;
        let line = vec![b'x'; TOO_LONG_LINE_BYTES];
        stream.write_all(format!("{:x}\r\n", line.len()).as_bytes())?;
        stream.write_all(&line)?;
        stream.write_all(b"\r\n")
    }
}

/// Whether the other side has closed its end of the connection, even if bytes that it sent are still unread.
fn peer_has_closed(stream: &TcpStream) -> bool {
    let mut events = [rustix::event::PollFd::new(stream, rustix::event::PollFlags::RDHUP)];
    let no_wait = rustix::time::Timespec { tv_sec: 0, tv_nsec: 0 };
    rustix::event::poll(&mut events, Some(&no_wait)).is_ok_and(|count| count > 0)
}
