//! Bodies of responses whose memory is held until it is written to the connection.

use {
    crate::{
        body::{Body, BodyError},
        connection_table::Phase,
        connections::{Reservation, Slot},
    },
    bytes::Bytes,
    http::Response,
    http_body_util::BodyExt,
    hyper::body::{Body as HttpBody, Frame, SizeHint},
    std::{
        pin::Pin,
        sync::Arc,
        task::{Context, Poll, ready},
    },
};

/// Response that is being sent, until its body and all data of it are dropped.
#[derive(Debug)]
struct SentResponse {
    slot: Slot,
}

impl Drop for SentResponse {
    fn drop(&mut self) {
        // A connection that is being closed is closed in this phase, too.
        let _ = self.slot.set_phase(Phase::Waiting);
    }
}

/// Holds the memory of a response until it is sent, and records when that is.
pub(crate) fn track_response(response: Response<Body>, slot: Slot) -> Response<Body> {
    // As in `SentResponse`.
    let _ = slot.set_phase(Phase::Sending);
    let sent = SentResponse { slot };
    response.map(|inner| {
        if inner.is_end_stream() {
            return inner;
        }
        let sent = Arc::new(sent);
        SentBody { inner, sent }.boxed_unsync()
    })
}

struct SentBody {
    inner: Body,
    sent: Arc<SentResponse>,
}

/// Data that the HTTP library keeps until it is written.
struct SentData {
    data: Bytes,
    _reservation: Reservation,
    _sent: Arc<SentResponse>,
}

impl AsRef<[u8]> for SentData {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl HttpBody for SentBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let frame = ready!(Pin::new(&mut self.inner).poll_frame(context));
        let sent = &self.sent;
        let track = |data: Bytes| {
            Bytes::from_owner(SentData {
                _reservation: sent.slot.reserve_response(data.len()),
                data,
                _sent: Arc::clone(sent),
            })
        };
        Poll::Ready(frame.map(|frame| frame.map(|frame| frame.map_data(track))))
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
