//! Streams of changes.

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

/// Lines that wait for one watcher at most.
const MAX_WAITING_LINES: usize = 16;

/// Time that a watcher may take for one line.
const LINE_LIMIT: Duration = Duration::from_secs(10);

/// Longest time without a bookmark, and shortest between two without a change.
const BOOKMARK_PAUSE: Duration = Duration::from_secs(5);

/// Time after which to come back when too many watches are open, in milliseconds.
const BUSY_RETRY_MS: u32 = 5_000;

/// The watcher is gone or too slow.
struct WatcherGone;

impl Api {
    /// Answers with a stream of the changes of a kind.
    pub(crate) fn watch(&self, kind: Kind, query: ListQuery) -> Result<Response<Body>, Problem> {
        if let Some(from) = query.from {
            self.check_reach(from)?;
        }
        let permit = Arc::clone(&self.watches)
            .try_acquire_owned()
            .map_err(|_| too_many())?;
        let (lines, receiver) = mpsc::channel(MAX_WAITING_LINES);
        let watch = Watch {
            node: self.node.clone(),
            log: Arc::clone(&self.changes),
            kind,
            name: query.name,
            told_to: 0,
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

fn too_many() -> Problem {
    let detail = "too many watches are open on this node";
    let mut problem = Problem::new(ProblemReason::TooManyWatches, detail);
    problem.retry_after_ms = Some(BUSY_RETRY_MS);
    problem
}

/// One open watch; it keeps an offset and a few lines, whatever happens in the fleet.
struct Watch {
    node: Node,
    log: Arc<ChangeLog>,
    kind: Kind,
    name: Option<String>,
    told_to: u64,
    lines: mpsc::Sender<Bytes>,
    _permit: OwnedSemaphorePermit,
}

impl Watch {
    /// Tells changes until the watcher goes, falls behind or the node stops.
    ///
    /// A stream that stayed open would hold up the node's graceful stop, which waits for every
    /// answer in progress, so the signal ends it.
    async fn run(mut self, from: Option<u64>, stop: Shutdown) {
        let ended = tokio::select! {
            ended = self.tell(from) => ended,
            () = stop.wait() => Ok(WatchEndReason::Stopping),
        };
        // A watcher that is gone needs no farewell; one that is stuck must not delay the stop.
        if let Ok(reason) = ended {
            let revision = self.told_to;
            if let Some(line) = line(&WatchEvent::Ended { reason, revision }) {
                drop(self.lines.try_send(line));
            }
        }
    }

    async fn tell(&mut self, from: Option<u64>) -> Result<WatchEndReason, WatcherGone> {
        let mut progress = self.log.progress();
        match from {
            Some(from) => self.told_to = from,
            None => self.tell_all().await?,
        }
        let mut marked = None;
        loop {
            let Ok(batch) = self.log.since(self.kind, self.told_to) else {
                return Ok(WatchEndReason::TooOld);
            };
            let mut has_told = false;
            for change in &batch.changes {
                has_told |= self.tell_change(change).await?;
            }
            self.told_to = self.told_to.max(batch.known_to);
            // The fleet's offset moves many times a second; a mark for each would cost every
            // watcher more than the changes it asked for.
            if has_told || marked.is_none_or(|at: Instant| at.elapsed() >= BOOKMARK_PAUSE) {
                self.mark().await?;
                marked = Some(Instant::now());
            }
            // Nothing new for a while: the bookmark then shows that the stream still lives.
            drop(timeout(BOOKMARK_PAUSE, progress.changed()).await);
        }
    }

    async fn mark(&self) -> Result<(), WatcherGone> {
        self.send(&WatchEvent::Bookmark {
            revision: self.told_to,
            current: self.node.is_current(),
        })
        .await
    }

    /// Tells every resource as it is now.
    async fn tell_all(&mut self) -> Result<(), WatcherGone> {
        let state = self.log.catch_up(self.node.state());
        let told_to = state.offset();
        let names = state.names(self.kind);
        let names: Vec<String> = names.into_iter().map(Into::into).collect();
        drop(state);
        for name in names {
            self.tell_change(&Change {
                name,
                offset: told_to,
                is_removed: false,
            })
            .await?;
        }
        self.told_to = told_to;
        Ok(())
    }

    /// Tells how a resource is now, which may be later than the change; says whether it did.
    async fn tell_change(&self, change: &Change) -> Result<bool, WatcherGone> {
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
            // It is being withdrawn; that change follows.
            None => return Ok(false),
        };
        self.send(&event).await.map(|()| true)
    }

    async fn send(&self, event: &WatchEvent) -> Result<(), WatcherGone> {
        let Some(line) = line(event) else {
            return Ok(());
        };
        match timeout(LINE_LIMIT, self.lines.send(line)).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) | Err(_) => Err(WatcherGone),
        }
    }
}

fn line(event: &WatchEvent) -> Option<Bytes> {
    let mut bytes = serde_json::to_vec(event).ok()?;
    bytes.push(b'\n');
    Some(bytes.into())
}

/// Body of lines as they come.
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
