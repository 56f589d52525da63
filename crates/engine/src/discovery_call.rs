//! One call of discovery: connects, requests the worker list, and reports the events of the response until it fails.

use crate::responsiveness::Responsiveness;
use crate::watch_error::{MAX_LIST_BYTES, WatchError};
use sorrelhaven_config::DiscoveryList;
use sorrelhaven_wire::{
    BufferBudget, Connection, Head, JsonObjectEvent, JsonObjectReader, StartLine, WireError,
};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

/// What a call reports.
#[derive(Debug)]
pub enum CallEvent {
    /// The connection was made.
    Connected,
    /// The head of a response with status 200 was received.
    Responding,
    /// A list: complete, or the changes since the one before.
    List(DiscoveryList),
    /// A blank line: nothing has changed since the last list.
    Unchanged,
    /// The call has failed, and reports nothing more.
    Failed(WatchError),
}

/// Receives the events of a call, one at a time.
pub trait CallEvents {
    /// Hands over an event, and returns once it has been taken.
    fn report(&self, event: CallEvent) -> impl Future<Output = ()>;
}

/// The parameters of a call.
pub struct DiscoveryCall {
    /// The address of discovery.
    pub address: SocketAddr,
    /// Requests a watch on the changes after this version; if `None`, the complete list first, and then a watch
    /// on the same connection.
    pub after: Option<u64>,
    /// Counts how long parsing a list takes.
    pub responsiveness: Rc<Responsiveness>,
}

impl DiscoveryCall {
    /// Runs the call until it fails. Has no time limit: the caller drops a call that is not wanted any more.
    pub async fn run(self, events: impl CallEvents) {
        let error = match self.watch(&events).await {
            Ok(never) => match never {},
            Err(error) => error,
        };
        events.report(CallEvent::Failed(error)).await;
    }

    async fn watch(&self, events: &impl CallEvents) -> Result<Infallible, WatchError> {
        let mut connection = Connection::connect(self.address, &BufferBudget::unlimited())
            .await
            .map_err(|_| WatchError::Unreachable)?;
        events.report(CallEvent::Connected).await;
        let mut after = self.after;
        loop {
            let response = self.request(&mut connection, after).await?;
            events.report(CallEvent::Responding).await;
            after = Some(self.report_lists(&mut connection, response, after, events).await?);
        }
    }

    /// Sends a request on a connection whose previous response is complete, and reads the head of the response.
    async fn request(
        &self,
        connection: &mut Connection,
        after: Option<u64>,
    ) -> Result<JsonObjectReader, WatchError> {
        let query = after.map(|version| format!("?watch=1&after={version}")).unwrap_or_default();
        let address = self.address;
        let request = format!("GET /registry/instances{query} HTTP/1.1\r\nHost: {address}\r\n\r\n");
        connection.write(request.as_bytes()).await.map_err(WatchError::Unreadable)?;
        let head = connection.read_head(Head::parse_response).await.map_err(WatchError::Unreadable)?;
        match head.start_line {
            StartLine::Response { status } if status != 200 => Err(WatchError::ErrorStatus(status)),
            _ => {
                let decoder = head.body_decoder().map_err(WatchError::Unreadable)?;
                Ok(JsonObjectReader::new(decoder, MAX_LIST_BYTES))
            }
        }
    }

    /// Reports the lists of a response. Returns the version of the last one after the response to a fetch of the
    /// complete list; the response to a watch must not end.
    async fn report_lists(
        &self,
        connection: &mut Connection,
        mut lists: JsonObjectReader,
        after: Option<u64>,
        events: &impl CallEvents,
    ) -> Result<u64, WatchError> {
        let mut fetched = None;
        loop {
            match lists.next(connection).await.map_err(WatchError::Unreadable)? {
                JsonObjectEvent::Object(text) => {
                    let list = self.parse(&text)?;
                    fetched = Some(list.version);
                    events.report(CallEvent::List(list)).await;
                }
                JsonObjectEvent::Incomplete if lists.is_inside_object() => {}
                JsonObjectEvent::Incomplete => events.report(CallEvent::Unchanged).await,
                JsonObjectEvent::End => match (after, fetched) {
                    (None, Some(version)) => return Ok(version),
                    _ => return Err(WatchError::Unreadable(WireError::Closed)),
                },
            }
        }
    }

    fn parse(&self, text: &[u8]) -> Result<DiscoveryList, WatchError> {
        let started = Instant::now();
        let list = DiscoveryList::read(text).map_err(WatchError::InvalidList)?;
        self.responsiveness.record_part("parsing a worker list", started);
        Ok(list)
    }
}
