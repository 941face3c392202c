//! Intents and outcomes of keys in the log.

use {
    crate::refusal::{Refusal, RefusalReason},
    log::warn,
    lynxwheel_coordination::{Node, ProposeError},
    lynxwheel_protocol::{KeyOutcome, RecordBody, RequestKey, WriterId},
    lynxwheel_state::{KeyState, Rejection, Verdict},
    std::time::Duration,
};

/// Time after which to come back when the log takes no records, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Pause between two looks for a record whose outcome is unknown.
const LOOK_PAUSE: Duration = Duration::from_millis(500);

/// What became of an intent.
#[derive(Debug)]
pub(crate) enum Intended {
    /// This node may dispatch the request.
    Accepted,
    /// Another attempt came first.
    Taken,
    /// It will never be in the log.
    NotAppended(Refusal),
    /// It may come into the log later; this node must not dispatch the request any more.
    Unknown {
        /// Identity of the record.
        id: WriterId,
        /// What the caller is told.
        refusal: Refusal,
    },
}

/// Writes intents and outcomes; copies share the node.
#[derive(Clone, Debug)]
pub(crate) struct Intents {
    node: Node,
}

impl Intents {
    pub(crate) fn new(node: Node) -> Self {
        Self { node }
    }

    /// Proposes the intent of a key.
    pub(crate) async fn propose(&self, key: RequestKey, request_digest: u64) -> Intended {
        let body = RecordBody::Intent {
            key,
            request_digest,
            holder: self.node.settings().identity.node.clone(),
        };
        match self.node.proposer().propose(body).await {
            Ok(decision) => match decision.verdict {
                Verdict::Accepted => Intended::Accepted,
                Verdict::Rejected(Rejection::KeyTaken) => Intended::Taken,
                _ => Intended::NotAppended(
                    Refusal::not_run(RefusalReason::KeysFull, "no more keys can be kept")
                        .with_retry_after_ms(RETRY_AFTER_MS),
                ),
            },
            Err(ProposeError::NotAppended { retry_after_ms }) => Intended::NotAppended(
                unavailable("the log takes no records").with_retry_after_ms(retry_after_ms),
            ),
            Err(ProposeError::OutcomeUnknown { id }) => Intended::Unknown {
                id,
                refusal: unavailable("the log did not answer").with_retry_after_ms(RETRY_AFTER_MS),
            },
        }
    }

    /// Frees the key of an intent whose request this node will never dispatch.
    ///
    /// An append whose answer is lost may take effect minutes later. Its key would then be pending
    /// for good although nothing ran, and the caller's renewal would never be charged. This node
    /// alone knows that it did not run, so it says so once the intent has come back. The caller of
    /// this method keeps other attempts of the key off this node until then, so a pending entry of
    /// this run is that of the withdrawn intent.
    pub(crate) async fn withdraw(&self, key: RequestKey, id: WriterId) {
        self.wait_decided(id).await;
        let is_own = self.node.state().key(key).is_some_and(|entry| {
            entry.incarnation == id.incarnation && entry.state == KeyState::Pending
        });
        if is_own {
            self.record(key, KeyOutcome::NotRun).await;
        }
    }

    /// Records how an intent of this run ended, however long the log takes.
    ///
    /// A record whose outcome is unknown is not proposed anew: the appender sends it until it has
    /// come back, and a second copy could end a later intent of the same key.
    pub(crate) async fn record(&self, key: RequestKey, outcome: KeyOutcome) {
        loop {
            let body = RecordBody::Outcome { key, outcome };
            match self.node.proposer().propose(body).await {
                Ok(decision) => {
                    if !decision.verdict.is_accepted() {
                        warn!(event = "outcome_rejected", offset = decision.offset; "");
                    }
                    return;
                }
                Err(ProposeError::OutcomeUnknown { id }) => return self.wait_decided(id).await,
                Err(ProposeError::NotAppended { retry_after_ms }) => {
                    tokio::time::sleep(Duration::from_millis(retry_after_ms)).await;
                }
            }
        }
    }

    /// Waits until the fold has gone past a record of this run.
    async fn wait_decided(&self, id: WriterId) {
        let mut offsets = self.node.published_state().subscribe();
        loop {
            let is_decided = self
                .node
                .state()
                .writers()
                .get(id.incarnation)
                .is_some_and(|writer| writer.sequence >= id.sequence);
            if is_decided {
                return;
            }
            // The pause covers a state that is published between the look and the wait.
            drop(tokio::time::timeout(LOOK_PAUSE, offsets.changed()).await);
        }
    }
}

fn unavailable(detail: &str) -> Refusal {
    Refusal::not_run(RefusalReason::LogUnavailable, detail)
}
