//! Server-side stream with a write timeout and detection of ambiguous request heads.

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

/// Stream whose writes fail when they make no progress within a timeout.
///
/// When a caller stops reading, its TCP window fills up and the response body is no longer polled.
/// A timeout of the body then cannot fire, and the request would keep its slot, so the timeout
/// applies to the pending write.
#[derive(Debug)]
pub(crate) struct StallGuard<S> {
    inner: S,
    timeout: Duration,
    timer: Option<Pin<Box<Sleep>>>,
    scan: HeadScan,
}

impl<S> StallGuard<S> {
    pub(crate) fn new(inner: S, timeout: Duration) -> Self {
        Self {
            inner,
            timeout,
            timer: None,
            scan: HeadScan::default(),
        }
    }

    /// Returns whether reading failed because the first request head has ambiguous framing.
    pub(crate) fn is_ambiguous(&self) -> bool {
        self.scan.is_ambiguous()
    }

    /// Returns the result of a write, or an error once the write has been pending for the timeout.
    fn check_timeout<T>(
        &mut self,
        written: Poll<io::Result<T>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.timer = None;
            return written;
        }
        let timeout = self.timeout;
        let timer = self
            .timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
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
        if read.is_ready() && self.scan.is_incomplete() {
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
        self.check_timeout(written, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(context, slices);
        self.check_timeout(written, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.inner).poll_flush(context);
        self.check_timeout(flushed, context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
