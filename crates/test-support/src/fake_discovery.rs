//! A fake discovery service: streams versions of the worker list to every node that watches it.

use crate::chunked::{CHUNKED_RESPONSE_HEAD, chunk};
use crate::listener::open_listener;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// How often a watch is asked for what to send.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// A watch without updates carries an empty line after this time.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// What one watch sends next.
pub enum WatchStep {
    /// These updates, each a line of JSON that ends with a line feed; with none, an empty line when one is
    /// due.
    Send(Vec<String>),
    /// Nothing at all, not even the head of the response if it has not been sent.
    StaySilent,
    /// Closes the connection.
    Close,
}

/// Serves watches on loopback until the process ends, and returns the address. `new_watch` is called once for
/// each request that arrives, and what it returns is polled for that watch's next step.
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

/// One version of the worker list in discovery's format: all entries if `whole`, or only those that have
/// changed.
pub fn worker_list(version: u64, whole: bool, entries: &[String]) -> String {
    format!(r#"{{"seq":{version},"whole":{whole},"hosts":[{}]}}"#, entries.join(","))
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

/// Reads up to the blank line that ends a request head; false if the connection ends before it.
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
