//! Appends records to the log in batches, one batch at a time.

use {
    crate::{
        clock::Clock,
        log_client::{LogClient, LogError},
        proposer::{ProposalOutcome, ProposeError},
        published_state::PublishedState,
        rate_limit::{RateLimiter, RateShare},
        waiters::Waiters,
    },
    kameo::{
        Actor,
        actor::ActorRef,
        message::{Context, Message},
    },
    log::warn,
    lynxwheel_protocol::{Record, RecordBody, WriterId, encode_record},
    std::{sync::Arc, time::Duration},
    tokio::{sync::oneshot, time::Instant},
    xxhash_rust::xxh3::xxh3_64,
};

/// Maximum number of records waiting for the next batch.
const MAX_QUEUED_RECORDS: usize = 1_024;

/// Maximum number of records in a batch.
const MAX_BATCH_RECORDS: usize = 256;

/// Pause before the first retry of an append whose outcome is unknown, in milliseconds.
const MIN_RETRY_PAUSE_MS: u64 = 200;

/// Longest pause between retries, in milliseconds.
const MAX_RETRY_PAUSE_MS: u64 = 3_000;

/// Backoff after the first rejected batch, in milliseconds.
const MIN_BACKOFF_MS: u64 = 300;

/// Longest backoff after consecutive rejections, in milliseconds.
const MAX_BACKOFF_MS: u64 = 2_000;

/// Duration of a failed append beyond which the batch counts as stalled, in milliseconds.
const STALL_THRESHOLD_MS: u64 = 500;

/// Time after a failure during which the node keeps to its fair share, in milliseconds.
const FAIR_SHARE_PERIOD_MS: u64 = 10_000;

/// A proposal to append.
#[derive(Debug)]
pub(crate) struct Submit {
    /// Body of the record to append.
    pub(crate) body: RecordBody,
}

/// Identity of a submitted record and the channel for its outcome.
#[derive(Debug)]
pub(crate) struct Submission {
    /// Identity of the record.
    pub(crate) id: WriterId,
    /// Receives the outcome; closed without one when the record was not appended.
    pub(crate) outcome: oneshot::Receiver<ProposalOutcome>,
}

/// Signals that the append of a batch failed and its outcome is unknown.
#[derive(Clone, Copy, Debug)]
struct BatchStalled;

/// Signals that the append of a batch is complete.
#[derive(Clone, Copy, Debug)]
struct BatchFinished {
    is_rejected: bool,
}

/// Actor that appends records.
///
/// Only one batch is in flight at a time. A batch whose outcome is unknown is retried until it is
/// read back from the log or is known not to be applied, so that the sequences of an incarnation
/// enter the log in order. The fold relies on this order to detect duplicates.
#[derive(Actor, Debug)]
pub(crate) struct Appender {
    log: LogClient,
    clock: Clock,
    rate_limiter: RateLimiter,
    rate_share: RateShare,
    started_at: Instant,
    published: Arc<PublishedState>,
    waiters: Arc<Waiters>,
    incarnation: u64,
    sequence: u64,
    queue: Vec<Record>,
    is_append_in_flight: bool,
    is_stalled: bool,
    rejections: u32,
    backoff_until_ms: u64,
    fair_share_until_ms: u64,
}

impl Appender {
    pub(crate) fn new(
        log: LogClient,
        clock: Clock,
        rate_share: RateShare,
        published: Arc<PublishedState>,
        waiters: Arc<Waiters>,
        incarnation: u64,
    ) -> Self {
        Self {
            log,
            clock,
            rate_limiter: RateLimiter::default(),
            rate_share,
            started_at: Instant::now(),
            published,
            waiters,
            incarnation,
            sequence: 0,
            queue: Vec::new(),
            is_append_in_flight: false,
            is_stalled: false,
            rejections: 0,
            backoff_until_ms: 0,
            fair_share_until_ms: 0,
        }
    }

    fn flush(&mut self, context: &Context<Self, impl kameo::Reply>) {
        if self.is_append_in_flight || self.queue.is_empty() {
            return;
        }
        self.is_append_in_flight = true;
        let count = self.queue.len().min(MAX_BATCH_RECORDS);
        let now_us = u64::try_from(self.started_at.elapsed().as_micros()).unwrap_or(u64::MAX);
        let per_s = self.allowed_per_s();
        let wait = Duration::from_micros(self.rate_limiter.reserve(now_us, per_s));
        let batch = Batch {
            records: self.queue.drain(..count).collect(),
            appender: context.actor_ref().clone(),
            log: self.log.clone(),
            published: Arc::clone(&self.published),
            waiters: Arc::clone(&self.waiters),
        };
        let appender = context.actor_ref().clone();
        tokio::spawn(async move {
            tokio::time::sleep(wait).await;
            let finished = batch.append().await;
            if appender.tell(finished).send().await.is_err() {
                warn!(event = "appender_stopped"; "the appender has stopped");
            }
        });
    }

    /// Returns whether this incarnation's join has been folded.
    ///
    /// A record that enters the log before the join of its incarnation is rejected permanently,
    /// which would fail a valid declaration right after a start.
    fn has_joined(&self) -> bool {
        self.published
            .load()
            .writers()
            .get(self.incarnation)
            .is_some()
    }

    /// Returns the rate that this node may use now, in appends a second.
    ///
    /// After a failure every node has queued records that the log does not show yet, so each
    /// node keeps to its fair share for a while.
    fn allowed_per_s(&mut self) -> u64 {
        let now_ms = self.clock.now_ms();
        if now_ms < self.fair_share_until_ms {
            return self.rate_share.fair_share_per_s();
        }
        let state = self.published.load();
        let other_records = state
            .writers()
            .iter()
            .filter(|writer| writer.incarnation != self.incarnation)
            .map(|writer| writer.sequence)
            .sum();
        self.rate_share.allowed_per_s(now_ms, other_records)
    }

    fn limit_to_fair_share(&mut self) {
        self.fair_share_until_ms = self.clock.now_ms() + FAIR_SHARE_PERIOD_MS;
    }

    /// Returns the backoff after a rejection, exponential and with a jitter for each node.
    ///
    /// Without the jitter all nodes would retry at once and exceed the service's rate limit.
    fn backoff_ms(&self) -> u64 {
        let base_ms = (MIN_BACKOFF_MS << self.rejections.min(3)).min(MAX_BACKOFF_MS);
        base_ms / 2 + jitter_ms(self.incarnation ^ self.sequence, base_ms)
    }

    /// Rejects the records queued behind a batch that is rejected or stalled.
    ///
    /// They were never sent. Left in the queue, their proposers would time out and report an
    /// unknown outcome.
    fn reject_queued(&mut self) {
        let sequences: Vec<u64> = self
            .queue
            .drain(..)
            .map(|record| record.id.sequence)
            .collect();
        self.waiters.cancel(&sequences);
    }
}

impl Message<Submit> for Appender {
    type Reply = Result<Submission, ProposeError>;

    async fn handle(
        &mut self,
        message: Submit,
        context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let now_ms = self.clock.now_ms();
        let is_before_join = !matches!(message.body, RecordBody::Join { .. }) && !self.has_joined();
        let is_unavailable = self.is_stalled || now_ms < self.backoff_until_ms;
        if is_before_join || is_unavailable || self.queue.len() >= MAX_QUEUED_RECORDS {
            return Err(ProposeError::NotAppended {
                retry_after_ms: self
                    .backoff_until_ms
                    .saturating_sub(now_ms)
                    .max(MIN_BACKOFF_MS),
            });
        }
        self.sequence += 1;
        let id = WriterId {
            incarnation: self.incarnation,
            sequence: self.sequence,
        };
        let outcome = self.waiters.register(id.sequence);
        self.queue.push(Record {
            id,
            time_ms: now_ms,
            body: message.body,
        });
        self.flush(context);
        Ok(Submission { id, outcome })
    }
}

impl Message<BatchFinished> for Appender {
    type Reply = ();

    async fn handle(&mut self, message: BatchFinished, context: &mut Context<Self, Self::Reply>) {
        self.is_append_in_flight = false;
        self.is_stalled = false;
        if message.is_rejected {
            self.limit_to_fair_share();
            self.backoff_until_ms = self.clock.now_ms() + self.backoff_ms();
            self.rejections += 1;
            self.reject_queued();
        } else {
            self.rejections = 0;
        }
        self.flush(context);
    }
}

impl Message<BatchStalled> for Appender {
    type Reply = ();

    async fn handle(&mut self, _message: BatchStalled, _context: &mut Context<Self, Self::Reply>) {
        self.is_stalled = true;
        self.limit_to_fair_share();
        self.reject_queued();
    }
}

/// Records appended in one request.
struct Batch {
    records: Vec<Record>,
    appender: ActorRef<Appender>,
    log: LogClient,
    published: Arc<PublishedState>,
    waiters: Arc<Waiters>,
}

impl Batch {
    async fn append(self) -> BatchFinished {
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
                    self.waiters.cancel(&[record.id.sequence]);
                }
            }
        }
        let mut may_be_applied = false;
        let mut pause_ms = MIN_RETRY_PAUSE_MS;
        let mut failures = 0;
        loop {
            let sent_at = Instant::now();
            metrics::counter!("lynxwheel_appends_total").increment(1);
            match self.log.append(entries.clone()).await {
                Ok(_) => return BatchFinished { is_rejected: false },
                Err(error) => {
                    failures += 1;
                    may_be_applied |= error.may_have_run();
                    self.log_failure(&error, may_be_applied);
                }
            }
            if !may_be_applied {
                self.waiters.cancel(&sequences);
                return BatchFinished { is_rejected: true };
            }
            let is_slow = sent_at.elapsed() > Duration::from_millis(STALL_THRESHOLD_MS);
            if (is_slow || failures > 1) && self.appender.tell(BatchStalled).send().await.is_err() {
                warn!(event = "appender_stopped"; "the appender has stopped");
            }
            let seed = self
                .records
                .last()
                .map_or(0, |record| record.id.incarnation);
            let wait_ms = pause_ms + jitter_ms(seed ^ pause_ms, pause_ms);
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
            if self.is_in_log() {
                return BatchFinished { is_rejected: false };
            }
            pause_ms = (pause_ms * 2).min(MAX_RETRY_PAUSE_MS);
        }
    }

    fn is_in_log(&self) -> bool {
        self.records.last().is_none_or(|last| {
            self.published
                .load()
                .writers()
                .get(last.id.incarnation)
                .is_some_and(|writer| writer.sequence >= last.id.sequence)
        })
    }

    fn log_failure(&self, error: &LogError, may_be_applied: bool) {
        let first = self.records.first().map_or(0, |record| record.id.sequence);
        warn!(event = "append_failed", sequence = first,
            may_be_applied = may_be_applied; "{error}");
    }
}

/// Returns a pseudo-random duration below `limit_ms`, derived from `seed`.
fn jitter_ms(seed: u64, limit_ms: u64) -> u64 {
    xxh3_64(&seed.to_le_bytes()) % limit_ms.max(1)
}
