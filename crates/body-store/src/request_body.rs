//! A body as its request holds it.

use crate::body::SharedBody;
use crate::body_end::BodyEnd;
use crate::decision::StorageTier;
use crate::reader::RequestBodyReader;
use std::rc::Rc;

/// A body as a request holds it. Its storage is released when the request, the writer and all readers have
/// dropped it.
#[derive(Clone)]
pub struct RequestBody(Rc<SharedBody>);

impl RequestBody {
    pub(crate) fn new(shared: Rc<SharedBody>) -> RequestBody {
        RequestBody(shared)
    }

    /// Its length, if that is known yet.
    pub fn length(&self) -> Option<u64> {
        if self.0.declared_length.is_some() {
            return self.0.declared_length;
        }
        let state = self.0.state.borrow();
        let is_complete = state.end.is_some_and(BodyEnd::is_complete);
        is_complete.then_some(state.received)
    }

    /// Where it is stored.
    pub fn tier(&self) -> StorageTier {
        self.0.state.borrow().tier
    }

    /// How its upload ended; `None` while it lasts.
    pub fn end(&self) -> Option<BodyEnd> {
        self.0.state.borrow().end
    }

    /// Whether bytes that are not stored were given to a reader: then no other attempt can have the complete
    /// body.
    pub fn is_consumed(&self) -> bool {
        self.0.state.borrow().consumer.is_some()
    }

    /// A reader that begins at the first byte.
    pub fn reader(&self) -> RequestBodyReader {
        RequestBodyReader::new(self.0.clone(), self.0.new_reader_id())
    }
}
