//! Metrics of network traffic.

use {
    metrics::{Counter, counter},
    std::{
        io::{self, IoSlice},
        pin::Pin,
        task::{Context, Poll, ready},
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
    },
};

/// Connection that counts its bytes in `lynxwheel_bytes_total`.
pub(crate) struct CountedStream {
    stream: TcpStream,
    received: Counter,
    sent: Counter,
}

impl CountedStream {
    /// Wraps `stream`; `side` is `client` or `server`, the role of this process.
    pub(crate) fn new(stream: TcpStream, side: &'static str) -> Self {
        Self {
            stream,
            received: counter!("lynxwheel_bytes_total", "side" => side, "direction" => "received"),
            sent: counter!("lynxwheel_bytes_total", "side" => side, "direction" => "sent"),
        }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.received
            .increment((buffer.filled().len() - before) as u64);
        polled
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        self.sent.increment(written as u64);
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, slices))?;
        self.sent.increment(written as u64);
        Poll::Ready(Ok(written))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
