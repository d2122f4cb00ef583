use std::cell::RefCell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::shared::InProgress;
use crate::connection::socket::AnswerWatch;

/// Requests of a connection whose answers were passed to hyper and may not be written yet.
#[derive(Debug, Default)]
pub struct UnwrittenAnswers {
    requests: RefCell<Vec<InProgress>>,
}

impl AnswerWatch for Rc<UnwrittenAnswers> {
    fn answers_written(&self) {
        self.requests.borrow_mut().clear();
    }
}

/// Body of an answer. Its request counts as in progress until the answer is written.
#[derive(Debug)]
pub struct AnswerBody {
    data: Option<Bytes>,
    request: Option<InProgress>,
    unwritten: Rc<UnwrittenAnswers>,
}

impl AnswerBody {
    /// `request` is `None` if a closing server does not wait for this answer.
    pub fn new(data: Bytes, request: Option<InProgress>, unwritten: Rc<UnwrittenAnswers>) -> Self {
        AnswerBody {
            data: Some(data).filter(|data| !data.is_empty()),
            request,
            unwritten,
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.data.take().map(|data| Ok(Frame::data(data))))
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.data.as_ref().map_or(0, |data| data.len() as u64))
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        if let Some(request) = self.request.take() {
            self.unwritten.requests.borrow_mut().push(request);
        }
    }
}
