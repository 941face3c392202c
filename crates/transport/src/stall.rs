//! Stream of a caller's connection, guarded against readers that take nothing and heads that can
//! be read in two ways.

use {
    crate::head_scan::HeadScan,
    std::{
        future::Future,
        io,
        pin::Pin,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        time::Sleep,
    },
};

/// Stream whose writes fail when they make no progress for a time.
///
/// A caller that stops reading fills its window, and the answer's body is polled no more: no timer
/// of the body can fire, and the request would hold its slot for as long as the caller likes. The
/// write itself waits in that case, so the time is taken here.
#[derive(Debug)]
pub(crate) struct StallGuard<S> {
    inner: S,
    limit: Duration,
    timer: Option<Pin<Box<Sleep>>>,
    scan: HeadScan,
}

impl<S> StallGuard<S> {
    pub(crate) fn new(inner: S, limit: Duration) -> Self {
        Self {
            inner,
            limit,
            timer: None,
            scan: HeadScan::default(),
        }
    }

    /// Tells whether reading failed because the first head can be framed in two ways.
    pub(crate) fn is_ambiguous(&self) -> bool {
        self.scan.is_ambiguous()
    }

    /// Passes a write's result on, or fails when the write has waited for too long.
    fn watch<T>(
        &mut self,
        written: Poll<io::Result<T>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.timer = None;
            return written;
        }
        let limit = self.limit;
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(limit)));
        match timer.as_mut().poll(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for StallGuard<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let start = buffer.filled().len();
        let read = Pin::new(&mut self.inner).poll_read(context, buffer);
        if read.is_ready() && self.scan.is_open() {
            self.scan.feed(&buffer.filled()[start..]);
            if self.scan.is_ambiguous() {
                return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
            }
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for StallGuard<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.watch(written, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(context, slices);
        self.watch(written, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.inner).poll_flush(context);
        self.watch(flushed, context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
