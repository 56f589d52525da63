//! The request's handle of its body.

use crate::body::SharedBody;
use crate::body_end::BodyEnd;
use crate::decision::StorageTier;
use crate::reader::RequestBodyReader;
use std::rc::Rc;

/// A handle of a body, held by its request. The storage of the body is released when the last of the handles,
/// the writer and the readers is dropped.
#[derive(Clone)]
pub struct RequestBody(Rc<SharedBody>);

impl RequestBody {
    pub(crate) fn new(shared: Rc<SharedBody>) -> RequestBody {
        RequestBody(shared)
    }

    /// The length of the body in bytes; `None` unless the client has declared it or the upload is complete.
    pub fn length(&self) -> Option<u64> {
        if self.0.declared_length.is_some() {
            return self.0.declared_length;
        }
        let state = self.0.state.borrow();
        let is_complete = state.end.is_some_and(BodyEnd::is_complete);
        is_complete.then_some(state.received_bytes)
    }

    /// Where the body is stored. May change until the body is released.
    pub fn tier(&self) -> StorageTier {
        self.0.state.borrow().tier
    }

    /// How the upload ended; `None` while it is in progress.
    pub fn end(&self) -> Option<BodyEnd> {
        self.0.state.borrow().end
    }

    /// Whether a reader has received bytes that are not stored. No other reader, and so no other attempt, can
    /// then read the complete body.
    pub fn is_consumed(&self) -> bool {
        self.0.state.borrow().consumer.is_some()
    }

    /// A new reader, positioned at the first byte of the body.
    pub fn reader(&self) -> RequestBodyReader {
        RequestBodyReader::new(self.0.clone(), self.0.new_reader_id())
    }
}
