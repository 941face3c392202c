//! Intents and outcomes of keyed requests in the log.

use {
    crate::refusal::{Refusal, RefusalReason},
    log::warn,
    lynxwheel_coordination::{Node, ProposeError},
    lynxwheel_protocol::{KeyOutcome, RecordBody, RequestKey, WriterId},
    lynxwheel_state::{KeyState, Rejection, Verdict},
    std::time::Duration,
};

/// Retry delay for callers while the log is unavailable, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// Interval of polls for a record whose outcome is unknown.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Outcome of proposing an intent.
#[derive(Debug)]
pub(crate) enum IntentOutcome {
    /// This node may dispatch the request.
    Accepted,
    /// Another attempt holds the key.
    KeyTaken,
    /// The intent will never be in the log.
    NotAppended(Refusal),
    /// The intent may still be appended; this node must not dispatch the request.
    Unknown {
        /// Identifier of the record.
        id: WriterId,
        /// Refusal for the caller.
        refusal: Refusal,
    },
}

/// Proposes intents and outcomes; clones share the node.
#[derive(Clone, Debug)]
pub(crate) struct Intents {
    node: Node,
}

impl Intents {
    pub(crate) fn new(node: Node) -> Self {
        Self { node }
    }

    /// Proposes the intent of a key.
    pub(crate) async fn propose(&self, key: RequestKey, request_digest: u64) -> IntentOutcome {
        let body = RecordBody::Intent {
            key,
            request_digest,
            holder: self.node.settings().identity.node.clone(),
        };
        match self.node.proposer().propose(body).await {
            Ok(proposal) => match proposal.verdict {
                Verdict::Accepted => IntentOutcome::Accepted,
                Verdict::Rejected(Rejection::KeyTaken) => IntentOutcome::KeyTaken,
                _ => IntentOutcome::NotAppended(
                    Refusal::not_run(RefusalReason::KeysFull, "no more keys can be kept")
                        .with_retry_after_ms(RETRY_AFTER_MS),
                ),
            },
            Err(ProposeError::NotAppended { retry_after_ms }) => IntentOutcome::NotAppended(
                log_unavailable("the log takes no records").with_retry_after_ms(retry_after_ms),
            ),
            Err(ProposeError::OutcomeUnknown { id }) => IntentOutcome::Unknown {
                id,
                refusal: log_unavailable("the log did not answer")
                    .with_retry_after_ms(RETRY_AFTER_MS),
            },
        }
    }

    /// Releases the key of an intent whose request this node will never dispatch.
    ///
    /// An append without a response may take effect minutes later and would leave its key pending
    /// forever, so this node waits for the intent and then records that the request did not run.
    /// The caller blocks other attempts of the key on this node until then, so a pending entry of
    /// this incarnation belongs to the withdrawn intent.
    pub(crate) async fn withdraw(&self, key: RequestKey, id: WriterId) {
        self.wait_applied(id).await;
        let is_withdrawn_intent = self.node.state().key(key).is_some_and(|entry| {
            entry.incarnation == id.incarnation && entry.state == KeyState::Pending
        });
        if is_withdrawn_intent {
            self.record(key, KeyOutcome::NotRun).await;
        }
    }

    /// Records the outcome of an intent of this incarnation, retrying while the log is unavailable.
    ///
    /// A record whose outcome is unknown is not proposed again: the appender resends it until it is
    /// in the log, and a second copy could end a later intent of the same key.
    pub(crate) async fn record(&self, key: RequestKey, outcome: KeyOutcome) {
        loop {
            let body = RecordBody::Outcome { key, outcome };
            match self.node.proposer().propose(body).await {
                Ok(proposal) => {
                    if !proposal.verdict.is_accepted() {
                        warn!(event = "outcome_rejected", offset = proposal.offset;
                            "outcome of a keyed request rejected");
                    }
                    return;
                }
                Err(ProposeError::OutcomeUnknown { id }) => return self.wait_applied(id).await,
                Err(ProposeError::NotAppended { retry_after_ms }) => {
                    tokio::time::sleep(Duration::from_millis(retry_after_ms)).await;
                }
            }
        }
    }

    /// Waits until the state includes a record of this incarnation.
    async fn wait_applied(&self, id: WriterId) {
        let mut updates = self.node.published_state().subscribe();
        loop {
            let is_applied = self
                .node
                .state()
                .writers()
                .get(id.incarnation)
                .is_some_and(|writer| writer.sequence >= id.sequence);
            if is_applied {
                return;
            }
            // The timeout covers a state published between the check and the wait.
            drop(tokio::time::timeout(POLL_INTERVAL, updates.changed()).await);
        }
    }
}

fn log_unavailable(detail: &str) -> Refusal {
    Refusal::not_run(RefusalReason::LogUnavailable, detail)
}
