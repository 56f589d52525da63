//! A client with ordinary requests, which must be answered whatever other clients do.

use sorrelhaven_test_support::{TestRequest, TestResponse};
use std::io;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// How long the bystander waits for each answer.
const TIMEOUT: Duration = Duration::from_secs(2);
/// An answer that comes later than this after the timeout counts as lost (`STANDING.md`: half a second).
const LATE_GRACE: Duration = Duration::from_millis(500);
/// The pause between two requests.
const PAUSE: Duration = Duration::from_millis(10);

/// What the bystander got.
#[derive(Clone, Debug, Default)]
pub struct Answers {
    pub sent: usize,
    pub served: usize,
    pub rejected: usize,
    pub longest: Duration,
    /// One line for each request without an answer, or with one that came too late.
    pub lost: Vec<String>,
}

/// A client on a thread of its own, with one persistent connection.
pub struct Bystander {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Answers>,
}

impl Bystander {
    /// Starts a client whose request ids begin with `name`.
    pub fn start(address: &str, name: &str) -> Bystander {
        let stop = Arc::new(AtomicBool::new(false));
        let (address, name, stopped) = (address.to_string(), name.to_string(), stop.clone());
        let connected = connect(&address).expect("the node accepts the connection");
        let thread = thread::spawn(move || run(&address, &name, connected, &stopped));
        Bystander { stop, thread }
    }

    /// Stops the client.
    pub fn stop(self) -> Answers {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().expect("the bystander does not panic")
    }
}

fn connect(address: &str) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

fn run(address: &str, name: &str, connected: TcpStream, stop: &AtomicBool) -> Answers {
    let mut answers = Answers::default();
    let mut stream = Some(connected);
    while !stop.load(Ordering::Relaxed) {
        let id = format!("{name}-{}", answers.sent);
        answers.sent += 1;
        let mut request = TestRequest::new(&id, "renewal-check", b"body".to_vec());
        request.timeout = TIMEOUT;
        request.work_hint_micros = Some(1_000);
        let begun = Instant::now();
        let result = send(address, &mut stream, &request);
        answers.record(&id, begun.elapsed(), result);
        thread::sleep(PAUSE);
    }
    answers
}

/// Sends a request on the open connection. If that ends without an answer, sends it once more on a new one, as
/// clients do when the close crosses their request.
fn send(address: &str, stream: &mut Option<TcpStream>, request: &TestRequest) -> io::Result<TestResponse> {
    if let Some(mut open) = stream.take()
        && let Ok(response) = request.send_on(&mut open)
    {
        *stream = (!response.connection_close).then_some(open);
        return Ok(response);
    }
    let mut new = connect(address)?;
    let response = request.send_on(&mut new)?;
    *stream = (!response.connection_close).then_some(new);
    Ok(response)
}

impl Answers {
    fn record(&mut self, id: &str, elapsed: Duration, result: io::Result<TestResponse>) {
        self.longest = self.longest.max(elapsed);
        match result {
            Ok(_) if elapsed > TIMEOUT + LATE_GRACE => {
                self.lost.push(format!("{id} answered after {elapsed:?}"))
            }
            Ok(response) if response.status == 200 => self.served += 1,
            Ok(response) if response.status == 503 => self.rejected += 1,
            Ok(response) => self.lost.push(format!("{id} answered {}", response.status)),
            Err(error) => self.lost.push(format!("{id} not answered: {error}")),
        }
    }

    /// What is wrong with the answers: one is missing or late, or fewer than the fraction `min_served` of the
    /// requests were served.
    pub fn faults(&self, min_served: f64, during: &str) -> Vec<String> {
        let Answers { sent, served, rejected, longest, lost } = self;
        println!(
            "bystander: {sent} sent, {served} served, {rejected} rejected, longest {longest:?}: {during}"
        );
        let mut faults: Vec<String> = lost.iter().map(|line| format!("{line}: {during}")).collect();
        if (*served as f64) < min_served * *sent as f64 {
            faults.push(format!("{served} of {sent} requests of the bystander were served: {during}"));
        }
        faults
    }
}
