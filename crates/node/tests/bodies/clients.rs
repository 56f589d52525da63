//! Clients that disconnect in the middle of a body, or send it slowly.

use crate::installation::{BodyLimits, Installation, KIB, MIB, job_result, run_alone};
use sorrelhaven_test_support::{Program, TestRequest, sample_bytes};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// When clients disconnect in the middle of a body, the node must free the memory and files of the bodies. A
/// worker to which a body was being streamed receives an incomplete request and must not run it.
#[test]
fn a_client_that_disconnects_within_a_body_frees_its_storage() {
    let _running_alone = run_alone();
    let installation = Installation::new("stops", 2);
    installation.write_operator_file(BodyLimits::DEFAULT, MIB, "stream");
    let mut node = installation.start();
    let mut clients = Vec::new();
    for (number, length) in [10 * KIB, 200 * KIB, 600 * KIB, 600 * KIB].into_iter().enumerate() {
        let mut request = TestRequest::new(&format!("q-{number}"), "fee-charge", sample_bytes(length, 1));
        request.chunked = number == 3;
        clients.push(send_half_body(&node, &request));
    }
    let deadline = Instant::now() + Duration::from_secs(5);
    while node.counter("file_bytes") < 100 * KIB as u64
        || node.counter("attempts") < 2
        || installation.workers.received_requests() < 2
    {
        assert!(Instant::now() < deadline, "the bodies have not arrived within 5 s");
    }
    drop(clients);
    while installation.workers.incomplete_requests() < 2 || node.counter("body_client_disconnected") < 4 {
        assert!(
            Instant::now() < deadline,
            "not all disconnects were counted; the workers received {} incomplete requests of 2",
            installation.workers.incomplete_requests()
        );
    }
    assert_eq!((node.counter("memory_bytes"), node.counter("file_bytes")), (0, 0));
    assert_eq!(installation.workers.executed_requests(), [], "a worker ran an incomplete body");
    let response = TestRequest::new("q-9", "fee-charge", sample_bytes(9, 1))
        .send(&node.address)
        .expect("the request is answered");
    assert_eq!(response.status, 200);
}

/// Sends a request without the second half of its body. A chunked body is one chunk.
fn send_half_body(node: &Program, request: &TestRequest) -> TcpStream {
    let mut stream = TcpStream::connect(&node.address).expect("the node accepts the connection");
    stream.write_all(request.head().as_bytes()).expect("the node reads the bytes");
    let length = request.body.len();
    if request.chunked {
        stream.write_all(format!("{length:x}\r\n").as_bytes()).expect("the node reads the bytes");
    }
    stream.write_all(&request.body[..length / 2]).expect("the node reads the bytes");
    stream
}

/// 500 clients send a byte of a large body at a time, after each eighth request of another client. Each must
/// be answered with 408 or disconnected: the node's limit is 3 s after the accept, and all of them must have
/// ended 5 s after the first one connects. The stored bytes must stay within the limits, and the other client
/// must be served within 0.3 s meanwhile.
#[test]
fn five_hundred_slow_clients_delay_no_other_client() {
    let _running_alone = run_alone();
    let installation = Installation::new("slow", 2);
    let limits =
        BodyLimits { memory_each: 64 * KIB, memory_total: MIB, file_each: 256 * KIB, file_total: 4 * MIB };
    installation.write_operator_file(limits, 16 * MIB, "stream");
    let mut node = installation.start();
    let begun = Instant::now();
    let mut slow_clients: Vec<TcpStream> = (0..500).map(|number| open_slow_client(&node, number)).collect();
    let mut served = 0;
    while begun.elapsed() < Duration::from_millis(1_800) {
        let body = sample_bytes(2 * KIB, served);
        let response = TestRequest::new(&format!("q-{served}"), "fee-charge", body.clone())
            .send(&node.address)
            .expect("the request is answered");
        assert_eq!((response.status, response.body), (200, job_result(&body)), "request {served}");
        assert!(response.elapsed < Duration::from_millis(300), "{:?}", response.elapsed);
        served += 1;
        if served % 8 == 0 {
            slow_clients.iter_mut().for_each(|client| _ = client.write_all(b"x"));
            assert!(
                node.counter("memory_bytes") <= MIB as u64 && node.counter("file_bytes") <= 4 * MIB as u64
            );
        }
    }
    assert!(served > 50, "only {served} requests of other clients were served");
    for (number, client) in slow_clients.iter_mut().enumerate() {
        let received = read_to_end(client);
        assert!(received.is_empty() || received.starts_with("HTTP/1.1 408 "), "{number}: {received}");
    }
    assert!(begun.elapsed() < Duration::from_secs(5), "{:?}", begun.elapsed());
    assert_eq!((node.counter("memory_bytes"), node.counter("file_bytes")), (0, 0));
    assert_eq!(
        installation.workers.executed_requests().len(),
        served as usize,
        "a request of a slow client ran"
    );
}

/// Sends the head of a request with a large body, and the first byte of the body.
fn open_slow_client(node: &Program, number: usize) -> TcpStream {
    let length = [20 * KIB, 200 * KIB, 8 * MIB][number % 3];
    let head = TestRequest::new(&format!("slow-{number}"), "licence-issue", Vec::new()).head();
    let mut stream = TcpStream::connect(&node.address).expect("the node accepts the connection");
    let head = head.replace("Length: 0", &format!("Length: {length}"));
    stream.write_all((head + "x").as_bytes()).expect("the node reads the bytes");
    stream
}

/// Reads until the node closes the connection, or for 3 s without a byte.
fn read_to_end(client: &mut TcpStream) -> String {
    client.set_read_timeout(Some(Duration::from_secs(3))).expect("the read timeout can be set");
    let mut received = Vec::new();
    let _ = client.read_to_end(&mut received);
    String::from_utf8_lossy(&received).into_owned()
}
