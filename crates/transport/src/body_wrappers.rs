//! Body wrappers: timeout, size limit and resources that live until the end of a body.

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

/// Ends a body with an error when no data arrives for `stall` or it exceeds `limit_bytes`.
///
/// Otherwise a stalled sender would hold a slot, a connection and memory indefinitely.
#[must_use]
pub fn limited_body(body: Body, stall: Duration, limit_bytes: u64) -> Body {
    let limited = LimitedBody {
        inner: body,
        stall,
        timer: None,
        remaining_bytes: limit_bytes,
    };
    limited.boxed_unsync()
}

/// Drops `guard` when the body ends, fails or is dropped.
#[must_use]
pub fn guarded_body<T: fmt::Debug + Send + Unpin + 'static>(body: Body, guard: T) -> Body {
    let guarded = GuardedBody {
        inner: body,
        guard: Some(guard),
    };
    guarded.boxed_unsync()
}

struct LimitedBody {
    inner: Body,
    stall: Duration,
    timer: Option<Pin<Box<Sleep>>>,
    remaining_bytes: u64,
}

impl LimitedBody {
    fn poll_timeout(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let stall = self.stall;
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(stall)));
        timer.as_mut().poll(context)
    }

    fn consume(&mut self, frame: &Frame<Bytes>) -> Result<(), BodyError> {
        let size_bytes = frame.data_ref().map_or(0, Bytes::len) as u64;
        match self.remaining_bytes.checked_sub(size_bytes) {
            Some(remaining_bytes) => {
                self.remaining_bytes = remaining_bytes;
                Ok(())
            }
            None => Err(BodyError::TooLarge),
        }
    }
}

impl HttpBody for LimitedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        match Pin::new(&mut self.inner).poll_frame(context) {
            Poll::Pending => match self.poll_timeout(context) {
                Poll::Pending => Poll::Pending,
                Poll::Ready(()) => Poll::Ready(Some(Err(BodyError::Stalled))),
            },
            Poll::Ready(Some(Ok(frame))) => {
                let deadline = Instant::now() + self.stall;
                if let Some(timer) = &mut self.timer {
                    timer.as_mut().reset(deadline);
                }
                Poll::Ready(Some(self.consume(&frame).map(|()| frame)))
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

struct GuardedBody<T> {
    inner: Body,
    guard: Option<T>,
}

impl<T: Unpin> HttpBody for GuardedBody<T> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(context);
        let is_ended = match &polled {
            Poll::Pending => false,
            Poll::Ready(Some(Ok(_))) => self.inner.is_end_stream(),
            Poll::Ready(None | Some(Err(_))) => true,
        };
        if is_ended {
            drop(self.guard.take());
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
