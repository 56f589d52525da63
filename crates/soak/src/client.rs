//! Clients of a soak: well-behaved ones that must hear of each request, and some that leave or send nonsense.

use crate::fleet::Place;
use fastrand::Rng;
use sorrelhaven_test_support::{Checker, TestRequest};
use std::io::{ErrorKind, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// A request is lost that is answered so long after its time, or never.
const LATE: Duration = Duration::from_millis(500);
/// For so long after SIGTERM new connections come; a later one may find the door closed.
const DOOR: Duration = Duration::from_millis(400);
const CLASSES: [&str; 3] = ["renewal-check", "licence-issue", "fee-charge"];

/// What all clients of a soak share.
pub struct Shared {
    /// What was asked and heard.
    pub checker: Checker,
    /// Requests that were lost, a line each.
    pub lost: Mutex<Vec<String>>,
    /// Where clients end.
    pub until: Instant,
}

/// One client of one node, until the end of the soak.
pub fn run(number: usize, place: &Arc<Place>, shared: &Shared, mut rng: Rng) {
    let mut resting: Option<TcpStream> = None;
    for request in 0.. {
        if Instant::now() >= shared.until {
            return;
        }
        thread::sleep(Duration::from_millis(rng.u64(0..30)));
        let id = format!("r-{number}-{request}");
        let length = [30, 30, 30, 3_000, 65_536][rng.usize(0..5)];
        let mut ask = TestRequest::new(&id, CLASSES[rng.usize(0..CLASSES.len())], vec![b'x'; length]);
        ask.patience = Duration::from_millis([40, 300, 1_000, 2_500][rng.usize(0..4)]);
        ask.hint = Some(5_000);
        // A fifth of the requests are about one object.
        ask.affinity = Some(if rng.u8(0..5) == 0 { "popular".to_string() } else { rng.u32(..).to_string() });
        match rng.u8(0..20) {
            0 => leaves(place, shared, &ask, &mut rng),
            1 => nonsense(place, &mut rng),
            _ => resting = asks(place, shared, &ask, resting.take()),
        }
    }
}

/// Asks and waits for the answer; gives the connection back where it can be used again.
fn asks(place: &Place, shared: &Shared, ask: &TestRequest, resting: Option<TcpStream>) -> Option<TcpStream> {
    shared.checker.asked(ask);
    let was_resting = resting.is_some();
    let (begun, life) = (Instant::now(), place.life());
    let mut stream = match resting {
        Some(stream) => stream,
        None => TcpStream::connect(life.address).ok()?,
    };
    let _ = stream.set_nodelay(true);
    match ask.send_on(&mut stream) {
        Ok(reply) => {
            shared.checker.answered(&ask.id, reply.status);
            if reply.took > ask.patience + LATE {
                shared.lose(format!("{} answered {} after {:?}", ask.id, reply.status, reply.took));
            }
            (!reply.close).then_some(stream)
        }
        // What a killed process had read may have run: it is not sent again, for it may be one that must not run twice.
        Err(_) if place.was_killed(&life) => None,
        // A close between requests that crosses this one: it is sent once more on a new connection.
        Err(error) if was_resting && error.kind() != ErrorKind::WouldBlock => {
            let again = TcpStream::connect(place.life().address).ok()?;
            resend(place, shared, ask, again, begun)
        }
        Err(error) => {
            if !place.may_close(&life, begun, DOOR) {
                shared.lose(format!("{} {:?} on a new connection, {error}", ask.id, begun.elapsed()));
            }
            None
        }
    }
}

fn resend(
    place: &Place,
    shared: &Shared,
    ask: &TestRequest,
    mut stream: TcpStream,
    begun: Instant,
) -> Option<TcpStream> {
    let life = place.life();
    match ask.send_on(&mut stream) {
        Ok(reply) => {
            shared.checker.answered(&ask.id, reply.status);
            (!reply.close).then_some(stream)
        }
        Err(error) => {
            if !place.may_close(&life, begun, DOOR) {
                shared.lose(format!("{} sent again, {error}", ask.id));
            }
            None
        }
    }
}

/// Asks, and closes before the answer.
fn leaves(place: &Place, shared: &Shared, ask: &TestRequest, rng: &mut Rng) {
    shared.checker.asked(ask);
    let Ok(mut stream) = TcpStream::connect(place.life().address) else { return };
    let mut bytes = ask.head().into_bytes();
    bytes.extend_from_slice(&ask.body);
    if stream.write_all(&bytes).is_ok() {
        thread::sleep(Duration::from_millis(rng.u64(0..80)));
    }
}

/// Sends what is no request, or half of one, and goes.
fn nonsense(place: &Place, rng: &mut Rng) {
    let Ok(mut stream) = TcpStream::connect(place.life().address) else { return };
    let texts: [&[u8]; 3] = [b"POST /api HTTP/1.1\r\nHost:", b"\0\x01\x02 nonsense\r\n\r\n", b""];
    let _ = stream.write_all(texts[rng.usize(0..3)]);
    thread::sleep(Duration::from_millis(rng.u64(0..50)));
}

impl Shared {
    fn lose(&self, line: String) {
        self.lost.lock().unwrap_or_else(PoisonError::into_inner).push(line);
    }
}
