//! Bodies on their way: time limits, size limits and what is held until their end.

use {
    crate::body::{Body, BodyError},
    bytes::Bytes,
    http_body_util::BodyExt,
    hyper::body::{Body as HttpBody, Frame, SizeHint},
    std::{
        fmt,
        future::Future,
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::time::{Instant, Sleep},
};

/// Breaks a body when nothing comes for `stall`, or when more than `limit_bytes` come.
///
/// A source that stalls would hold a slot, a connection and memory for as long as it likes.
#[must_use]
pub fn limited_body(body: Body, stall: Duration, limit_bytes: u64) -> Body {
    let bounded = Bounded {
        inner: body,
        stall,
        timer: None,
        left_bytes: limit_bytes,
    };
    bounded.boxed_unsync()
}

/// Keeps `held` until the body has ended, has broken or is given up on.
#[must_use]
pub fn guarded_body<T: fmt::Debug + Send + Unpin + 'static>(body: Body, held: T) -> Body {
    let holding = Holding {
        inner: body,
        held: Some(held),
    };
    holding.boxed_unsync()
}

struct Bounded {
    inner: Body,
    stall: Duration,
    timer: Option<Pin<Box<Sleep>>>,
    left_bytes: u64,
}

impl Bounded {
    fn poll_stall(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let stall = self.stall;
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(stall)));
        timer.as_mut().poll(context)
    }

    fn count(&mut self, frame: &Frame<Bytes>) -> Result<(), BodyError> {
        let size_bytes = frame.data_ref().map_or(0, Bytes::len) as u64;
        match self.left_bytes.checked_sub(size_bytes) {
            Some(left_bytes) => {
                self.left_bytes = left_bytes;
                Ok(())
            }
            None => Err(BodyError::TooLarge),
        }
    }
}

impl HttpBody for Bounded {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        match Pin::new(&mut self.inner).poll_frame(context) {
            Poll::Pending => match self.poll_stall(context) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(()) => Poll::Ready(Some(Err(BodyError::Stalled))),
            },
            Poll::Ready(Some(Ok(frame))) => {
                let deadline = Instant::now() + self.stall;
                if let Some(timer) = &mut self.timer {
                    timer.as_mut().reset(deadline);
                }
                Poll::Ready(Some(self.count(&frame).map(|()| frame)))
            }
            ended @ Poll::Ready(_) => ended,
        }
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

struct Holding<T> {
    inner: Body,
    held: Option<T>,
}

impl<T: Unpin> HttpBody for Holding<T> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(context);
        let is_over = match &polled {
            Poll::Pending => false,
            Poll::Ready(Some(Ok(_))) => self.inner.is_end_stream(),
            Poll::Ready(None | Some(Err(_))) => true,
        };
        if is_over {
            drop(self.held.take());
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
