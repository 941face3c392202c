//! Appending records in groups, one group at a time.

use {
    crate::{
        clock::Clock,
        log_client::{LogClient, LogError},
        proposer::{Decision, ProposeError},
        published::Published,
        waiters::Waiters,
    },
    kameo::{
        Actor,
        message::{Context, Message},
    },
    log::warn,
    lynxwheel_protocol::{Record, RecordBody, WriterId, encode_record},
    std::{sync::Arc, time::Duration},
    tokio::sync::oneshot,
};

/// Records that wait for the next group at most.
const MAX_QUEUED: usize = 1_024;

/// Records in one group at most.
const MAX_GROUP: usize = 256;

/// Pause before an append whose outcome is unknown is sent again, in milliseconds.
const RETRY_PAUSE_MS: u64 = 200;

/// Longest such pause, in milliseconds.
const MAX_RETRY_PAUSE_MS: u64 = 3_000;

/// Time for which the log is taken to be down after a refusal, in milliseconds.
const REFUSAL_MS: u64 = 300;

/// A proposal to append.
#[derive(Debug)]
pub(crate) struct Submit {
    /// What is proposed.
    pub(crate) body: RecordBody,
}

/// Identity of a submitted record and the way to its decision.
#[derive(Debug)]
pub(crate) struct Ticket {
    /// Identity.
    pub(crate) id: WriterId,
    /// Gets the decision; closed without one when the record was not appended.
    pub(crate) decision: oneshot::Receiver<Decision>,
}

/// End of a group's append.
#[derive(Clone, Copy, Debug)]
struct GroupEnded {
    is_refused: bool,
}

/// Actor that appends records.
///
/// One group is under way at a time and a group whose outcome is unknown is sent again until it
/// has come back or is proven not to be applied, so that a run's sequences enter the log in
/// order. The fold relies on this order to recognise duplicates.
#[derive(Actor, Debug)]
pub(crate) struct Appender {
    log: LogClient,
    clock: Clock,
    published: Arc<Published>,
    waiters: Arc<Waiters>,
    incarnation: u64,
    sequence: u64,
    queue: Vec<Record>,
    is_busy: bool,
    refused_until_ms: u64,
}

impl Appender {
    pub(crate) fn new(
        log: LogClient,
        clock: Clock,
        published: Arc<Published>,
        waiters: Arc<Waiters>,
        incarnation: u64,
    ) -> Self {
        Self {
            log,
            clock,
            published,
            waiters,
            incarnation,
            sequence: 0,
            queue: Vec::new(),
            is_busy: false,
            refused_until_ms: 0,
        }
    }

    fn flush(&mut self, context: &Context<Self, impl kameo::Reply>) {
        if self.is_busy || self.queue.is_empty() {
            return;
        }
        self.is_busy = true;
        let count = self.queue.len().min(MAX_GROUP);
        let group = Group {
            records: self.queue.drain(..count).collect(),
            log: self.log.clone(),
            published: Arc::clone(&self.published),
            waiters: Arc::clone(&self.waiters),
        };
        let appender = context.actor_ref().clone();
        tokio::spawn(async move {
            let ended = group.append().await;
            if appender.tell(ended).send().await.is_err() {
                warn!(event = "appender_stopped"; "");
            }
        });
    }

    /// Tells whether the fold knows this run.
    ///
    /// A record that enters the log before its run's join is rejected for good; an operator who
    /// declares something right after a start would see a valid declaration refused.
    fn has_joined(&self) -> bool {
        self.published
            .load()
            .writers()
            .get(self.incarnation)
            .is_some()
    }

    fn refuse_queued(&mut self) {
        let sequences: Vec<u64> = self
            .queue
            .drain(..)
            .map(|record| record.id.sequence)
            .collect();
        self.waiters.forget(&sequences);
    }
}

impl Message<Submit> for Appender {
    type Reply = Result<Ticket, ProposeError>;

    async fn handle(
        &mut self,
        message: Submit,
        context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let now_ms = self.clock.now_ms();
        let is_early = !matches!(message.body, RecordBody::Join { .. }) && !self.has_joined();
        if is_early || self.queue.len() >= MAX_QUEUED || now_ms < self.refused_until_ms {
            return Err(ProposeError::NotAppended {
                retry_after_ms: self.refused_until_ms.saturating_sub(now_ms).max(REFUSAL_MS),
            });
        }
        self.sequence += 1;
        let id = WriterId {
            incarnation: self.incarnation,
            sequence: self.sequence,
        };
        let decision = self.waiters.register(id.sequence);
        self.queue.push(Record {
            id,
            time_ms: now_ms,
            body: message.body,
        });
        self.flush(context);
        Ok(Ticket { id, decision })
    }
}

impl Message<GroupEnded> for Appender {
    type Reply = ();

    async fn handle(&mut self, message: GroupEnded, context: &mut Context<Self, Self::Reply>) {
        self.is_busy = false;
        if message.is_refused {
            self.refused_until_ms = self.clock.now_ms() + REFUSAL_MS;
            self.refuse_queued();
        }
        self.flush(context);
    }
}

/// Records that are appended together.
struct Group {
    records: Vec<Record>,
    log: LogClient,
    published: Arc<Published>,
    waiters: Arc<Waiters>,
}

impl Group {
    async fn append(self) -> GroupEnded {
        let mut entries = Vec::with_capacity(self.records.len());
        let mut sequences = Vec::with_capacity(self.records.len());
        for record in &self.records {
            match encode_record(record) {
                Ok(bytes) => {
                    entries.push(bytes);
                    sequences.push(record.id.sequence);
                }
                Err(error) => {
                    warn!(event = "record_refused", sequence = record.id.sequence; "{error}");
                    self.waiters.forget(&[record.id.sequence]);
                }
            }
        }
        let mut may_be_applied = false;
        let mut pause_ms = RETRY_PAUSE_MS;
        loop {
            match self.log.append(entries.clone()).await {
                Ok(_) => return GroupEnded { is_refused: false },
                Err(error) => {
                    may_be_applied |= error.may_have_run();
                    self.warn(&error, may_be_applied);
                }
            }
            if !may_be_applied {
                self.waiters.forget(&sequences);
                return GroupEnded { is_refused: true };
            }
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            if self.has_come_back() {
                return GroupEnded { is_refused: false };
            }
            pause_ms = (pause_ms * 2).min(MAX_RETRY_PAUSE_MS);
        }
    }

    fn has_come_back(&self) -> bool {
        self.records.last().is_none_or(|last| {
            self.published
                .load()
                .writers()
                .get(last.id.incarnation)
                .is_some_and(|writer| writer.sequence >= last.id.sequence)
        })
    }

    fn warn(&self, error: &LogError, may_be_applied: bool) {
        let first = self.records.first().map_or(0, |record| record.id.sequence);
        warn!(event = "append_failed", sequence = first, may_be_applied = may_be_applied; "{error}");
    }
}
