//! Polls discovery for the worker list and reads the lists of one response.

use crate::backoff::Backoff;
use crate::watch_error::{MAX_LIST_BYTES, WatchError};
use async_io::Timer;
use futures_lite::FutureExt;
use futures_lite::future::{or, poll_fn};
use sorrelhaven_wire::{Connection, Head, JsonObjectEvent, JsonObjectReader, StartLine, timeout_at};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::task::Poll;
use std::time::{Duration, Instant};

/// Discovery sends something every 2 s; a response without a byte for this long has failed.
pub const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// A list that has begun must end within this time. One that trickles withholds what it would notify of, and
/// the node counts as notified 6 s after the watch has broken.
const LIST_TIMEOUT: Duration = Duration::from_secs(6);
/// The most polls of one agent at a time. An older one may still be the one that is answered.
const MAX_CONCURRENT_POLLS: usize = 4;

/// How the worker list reaches a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// It is pushed to an agent on the node's own machine, where polls cost nothing.
    LocalAgent,
    /// The node polls a service that all nodes share and load.
    SharedService,
}

/// A response of discovery of which the head was read; its body is a sequence of lists.
pub struct ListStream {
    connection: Connection,
    lists: JsonObjectReader,
    /// When the list that has begun must have ended.
    list_deadline: Option<Instant>,
}

impl ListStream {
    /// Polls discovery on a new connection.
    ///
    /// # Errors
    ///
    /// [`WatchError`] where no response with status 200 begins within [`READ_TIMEOUT`].
    pub async fn open(discovery: SocketAddr, query: &str) -> Result<ListStream, WatchError> {
        let deadline = Instant::now() + READ_TIMEOUT;
        let connection = timeout_at(deadline, Connection::connect(discovery))
            .await
            .ok_or(WatchError::NoResponse)?
            .map_err(|_| WatchError::Unreachable)?;
        ListStream::request(connection, discovery, query, deadline).await
    }

    /// Polls discovery on a connection whose last response is complete.
    ///
    /// # Errors
    ///
    /// [`WatchError`] where no response with status 200 begins by `deadline`.
    pub async fn request(
        mut connection: Connection,
        discovery: SocketAddr,
        query: &str,
        deadline: Instant,
    ) -> Result<ListStream, WatchError> {
        let request = format!("GET /registry/instances{query} HTTP/1.1\r\nHost: {discovery}\r\n\r\n");
        let exchange = async {
            connection.write(request.as_bytes()).await?;
            let head = connection.read_head(Head::parse_response).await?;
            let lists = JsonObjectReader::new(head.body_decoder()?, MAX_LIST_BYTES);
            Ok((head.start_line.clone(), lists))
        };
        let response = timeout_at(deadline, exchange).await.ok_or(WatchError::NoResponse)?;
        let (start_line, lists) = response.map_err(WatchError::Unreadable)?;
        match start_line {
            StartLine::Response { status } if status != 200 => Err(WatchError::ErrorStatus(status)),
            _ => Ok(ListStream { connection, lists, list_deadline: None }),
        }
    }

    /// Reads up to the next event of the response: a list, a part of one, or the end.
    ///
    /// # Errors
    ///
    /// [`WatchError::Stalled`] where nothing comes or a list does not end in time, and
    /// [`WatchError::Unreadable`] where what comes is no list or the connection breaks.
    pub async fn next(&mut self) -> Result<JsonObjectEvent, WatchError> {
        let now = Instant::now();
        self.list_deadline = if self.lists.is_inside_object() {
            Some(self.list_deadline.unwrap_or(now + LIST_TIMEOUT))
        } else {
            None
        };
        let read_deadline = now + READ_TIMEOUT;
        let limit = self.list_deadline.map_or(read_deadline, |deadline| deadline.min(read_deadline));
        timeout_at(limit, self.lists.next(&mut self.connection))
            .await
            .ok_or(WatchError::Stalled)?
            .map_err(WatchError::Unreadable)
    }

    /// The connection, once the response has ended.
    pub fn into_connection(self) -> Connection {
        self.connection
    }
}

/// Polls an agent until a poll is answered or fails. While the agent is silent, further polls are sent beside
/// those that are out: the node counts as notified of what the agent has from the moment in which the agent
/// could answer.
///
/// # Errors
///
/// The first [`WatchError`] of a poll other than [`WatchError::NoResponse`].
pub async fn poll_hedged(
    discovery: SocketAddr,
    query: &str,
    backoff: &mut Backoff,
) -> Result<ListStream, WatchError> {
    let mut polls = VecDeque::new();
    loop {
        if polls.len() == MAX_CONCURRENT_POLLS {
            polls.pop_front();
        }
        polls.push_back(Box::pin(ListStream::open(discovery, query)));
        let delay = backoff.hedge_delay();
        let ended = async { Some(next_completed(&mut polls).await) };
        let delay_over = async {
            Timer::after(delay).await;
            None
        };
        match or(ended, delay_over).await {
            Some(Err(WatchError::NoResponse)) | None => {}
            Some(result) => return result,
        }
    }
}

/// Waits until one of the polls ends, removes it and returns its result.
async fn next_completed<F: Future + Unpin>(polls: &mut VecDeque<F>) -> F::Output {
    poll_fn(|context| {
        for index in 0..polls.len() {
            if let Poll::Ready(result) = polls[index].poll(context) {
                polls.remove(index);
                return Poll::Ready(result);
            }
        }
        Poll::Pending
    })
    .await
}
