//! Streams whose writes must make progress.

use {
    std::{
        future::Future,
        io,
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        time::{Sleep, sleep},
    },
};

/// Stream that fails when the peer takes no bytes for a while.
///
/// A peer that stops reading but keeps its connection would hold an answer in progress for as
/// long as it likes: the connection's place stays taken, and a graceful stop, which waits for
/// every answer in progress, never ends. A peer that reads, however slowly, is not cut off.
#[derive(Debug)]
pub(crate) struct StallGuard<S> {
    stream: S,
    limit: Duration,
    waiting: Option<Pin<Box<Sleep>>>,
}

impl<S> StallGuard<S> {
    pub(crate) fn new(stream: S, limit: Duration) -> Self {
        Self {
            stream,
            limit,
            waiting: None,
        }
    }

    fn guard<T>(
        &mut self,
        context: &mut Context<'_>,
        polled: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if polled.is_ready() {
            self.waiting = None;
            return polled;
        }
        let limit = self.limit;
        let waiting = self.waiting.get_or_insert_with(|| Box::pin(sleep(limit)));
        match waiting.as_mut().poll(context) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for StallGuard<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for StallGuard<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.guard(context, polled)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.guard(context, polled)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
