//! A fake discovery service: streams updates of the worker list to each node that watches it.

use crate::chunked::{CHUNKED_RESPONSE_HEAD, chunk};
use crate::listener::open_listener;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which the next step of each watch is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// A watch that has sent nothing for this long sends an empty line.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The next action of one watch.
pub enum WatchStep {
    /// Sends these updates, each a line of JSON that ends with a line feed. Without updates, sends an empty
    /// line if nothing was sent for a second.
    Send(Vec<String>),
    /// Sends nothing: no empty line either, nor the head of the response if it was not sent before.
    StaySilent,
    /// Closes the connection.
    Close,
}

/// Serves watches on loopback until the process ends, and returns the address. Calls `new_watch` once for
/// each request, and polls the returned function for the next step of that watch.
///
/// # Panics
/// If the listener can't be opened.
pub fn serve_discovery<Watch>(new_watch: impl Fn() -> Watch + Clone + Send + 'static) -> SocketAddr
where
    Watch: FnMut() -> WatchStep,
{
    let (listener, address) = open_listener();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let new_watch = new_watch.clone();
            thread::spawn(move || serve_watch(stream, new_watch));
        }
    });
    address
}

/// One version of the worker list in discovery's format: all `entries` if `is_full`, otherwise only the
/// changed ones.
pub fn worker_list(version: u64, is_full: bool, entries: &[String]) -> String {
    format!(r#"{{"seq":{version},"whole":{is_full},"hosts":[{}]}}"#, entries.join(","))
}

fn serve_watch<Watch: FnMut() -> WatchStep>(mut stream: TcpStream, new_watch: impl Fn() -> Watch) {
    if !skip_request_head(&mut stream) {
        return;
    }
    let mut next_step = new_watch();
    let mut unsent = CHUNKED_RESPONSE_HEAD.to_string();
    let mut last_sent = Instant::now();
    loop {
        match next_step() {
            WatchStep::Close => return,
            WatchStep::StaySilent => {}
            WatchStep::Send(updates) => {
                unsent.extend(updates.iter().map(|update| chunk(update)));
                if unsent.is_empty() && last_sent.elapsed() > KEEP_ALIVE_INTERVAL {
                    unsent = chunk("\n");
                }
                if !unsent.is_empty() {
                    if stream.write_all(unsent.as_bytes()).is_err() {
                        return;
                    }
                    unsent.clear();
                    last_sent = Instant::now();
                }
            }
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Reads up to the blank line that ends a request head. Returns false if the connection ends before it.
fn skip_request_head(stream: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        if !matches!(stream.read(&mut byte), Ok(1)) {
            return false;
        }
        head.push(byte[0]);
    }
    true
}
