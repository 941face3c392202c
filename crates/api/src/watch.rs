//! Watch streams.

use {
    crate::{
        changes::{Change, ChangeLog},
        handler::Api,
        query::ListQuery,
        status::resource_view,
    },
    bytes::Bytes,
    http::{HeaderValue, Response, header},
    http_body_util::BodyExt,
    hyper::body::{Body as HttpBody, Frame},
    lynxwheel_coordination::Node,
    lynxwheel_protocol::{Kind, Problem, ProblemReason, ResourceRef, WatchEndReason, WatchEvent},
    lynxwheel_transport::{Body, BodyError, Shutdown},
    std::{
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
        time::Duration,
    },
    tokio::{
        sync::{OwnedSemaphorePermit, mpsc},
        time::{Instant, timeout},
    },
};

/// Maximum number of queued lines per watch.
const MAX_QUEUED_LINES: usize = 16;

/// Timeout for queueing a line, after which the watcher is too slow.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval of bookmarks while there are no changes.
const BOOKMARK_INTERVAL: Duration = Duration::from_secs(5);

/// Retry delay when too many watches are open, in milliseconds.
const BUSY_RETRY_MS: u32 = 5_000;

/// Error: the watcher has disconnected or is too slow.
struct WatcherDisconnected;

impl Api {
    /// Returns a response that streams the changes of a kind.
    pub(crate) fn watch(&self, kind: Kind, query: ListQuery) -> Result<Response<Body>, Problem> {
        if let Some(from) = query.from {
            self.check_revision(from)?;
        }
        let permit = Arc::clone(&self.watches)
            .try_acquire_owned()
            .map_err(|_| too_many_watches())?;
        let (lines, receiver) = mpsc::channel(MAX_QUEUED_LINES);
        let watch = Watch {
            node: self.node.clone(),
            log: Arc::clone(&self.changes),
            kind,
            name: query.name,
            sent_to: 0,
            lines,
            _permit: permit,
        };
        tokio::spawn(watch.run(query.from, self.stop.clone()));
        let mut response = Response::new(LineBody { receiver }.boxed_unsync());
        let lines = HeaderValue::from_static("application/jsonl");
        response.headers_mut().insert(header::CONTENT_TYPE, lines);
        Ok(response)
    }
}

fn too_many_watches() -> Problem {
    let detail = "too many watches are open on this node";
    let mut problem = Problem::new(ProblemReason::TooManyWatches, detail);
    problem.retry_after_ms = Some(BUSY_RETRY_MS);
    problem
}

/// Open watch; its memory use is bounded by the queue.
struct Watch {
    node: Node,
    log: Arc<ChangeLog>,
    kind: Kind,
    name: Option<String>,
    sent_to: u64,
    lines: mpsc::Sender<Bytes>,
    _permit: OwnedSemaphorePermit,
}

impl Watch {
    /// Sends changes until the watcher disconnects or falls behind, or the node shuts down.
    ///
    /// The graceful shutdown waits for all responses in progress, so the stream must end with it.
    async fn run(mut self, from: Option<u64>, stop: Shutdown) {
        let ended = tokio::select! {
            ended = self.stream_events(from) => ended,
            () = stop.wait() => Ok(WatchEndReason::Stopping),
        };
        // Sent without waiting: a stuck watcher must not delay the shutdown.
        if let Ok(reason) = ended {
            let revision = self.sent_to;
            if let Some(line) = event_line(&WatchEvent::Ended { reason, revision }) {
                drop(self.lines.try_send(line));
            }
        }
    }

    async fn stream_events(
        &mut self,
        from: Option<u64>,
    ) -> Result<WatchEndReason, WatcherDisconnected> {
        let mut progress = self.log.subscribe();
        match from {
            Some(from) => self.sent_to = from,
            None => self.send_all().await?,
        }
        let mut last_bookmark = None;
        loop {
            let Ok(batch) = self.log.changes_since(self.kind, self.sent_to) else {
                return Ok(WatchEndReason::TooOld);
            };
            let mut has_sent = false;
            for change in &batch.changes {
                has_sent |= self.send_change(change).await?;
            }
            self.sent_to = self.sent_to.max(batch.complete_to);
            // The log offset advances many times per second; a bookmark for each would be more
            // traffic than the changes.
            if has_sent || last_bookmark.is_none_or(|at: Instant| at.elapsed() >= BOOKMARK_INTERVAL)
            {
                self.send_bookmark().await?;
                last_bookmark = Some(Instant::now());
            }
            // After the timeout, a bookmark shows that the stream is alive.
            drop(timeout(BOOKMARK_INTERVAL, progress.changed()).await);
        }
    }

    async fn send_bookmark(&self) -> Result<(), WatcherDisconnected> {
        self.send(&WatchEvent::Bookmark {
            revision: self.sent_to,
            current: self.node.is_current(),
        })
        .await
    }

    /// Sends the current state of all resources.
    async fn send_all(&mut self) -> Result<(), WatcherDisconnected> {
        let state = self.log.catch_up(self.node.state());
        let sent_to = state.offset();
        let names = state.names(self.kind);
        let names: Vec<String> = names.into_iter().map(Into::into).collect();
        drop(state);
        for name in names {
            self.send_change(&Change {
                name,
                offset: sent_to,
                is_removed: false,
            })
            .await?;
        }
        self.sent_to = sent_to;
        Ok(())
    }

    /// Sends the current state of a changed resource, and returns whether it sent an event.
    async fn send_change(&self, change: &Change) -> Result<bool, WatcherDisconnected> {
        if self.name.as_ref().is_some_and(|name| *name != change.name) {
            return Ok(false);
        }
        let reference = ResourceRef::new(self.kind, &change.name);
        let view = resource_view(&self.node.state(), &reference);
        let event = match view {
            Some(view) => WatchEvent::Changed {
                view: Box::new(view),
            },
            None if change.is_removed => WatchEvent::Deleted {
                reference,
                revision: change.offset,
            },
            // The resource has been withdrawn since; that change follows.
            None => return Ok(false),
        };
        self.send(&event).await.map(|()| true)
    }

    async fn send(&self, event: &WatchEvent) -> Result<(), WatcherDisconnected> {
        let Some(line) = event_line(event) else {
            return Ok(());
        };
        match timeout(SEND_TIMEOUT, self.lines.send(line)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(WatcherDisconnected),
        }
    }
}

fn event_line(event: &WatchEvent) -> Option<Bytes> {
    let mut bytes = serde_json::to_vec(event).ok()?;
    bytes.push(b'\n');
    Some(bytes.into())
}

/// Body that streams lines from a channel.
struct LineBody {
    receiver: mpsc::Receiver<Bytes>,
}

impl HttpBody for LineBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        self.receiver
            .poll_recv(context)
            .map(|line| line.map(|bytes| Ok(Frame::data(bytes))))
    }
}
