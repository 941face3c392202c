//! Appending records in groups, one group at a time.

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

/// The same after refusals in a row, in milliseconds.
const MAX_REFUSAL_MS: u64 = 2_000;

/// Time after which a failed append is no single lost answer any more, in milliseconds.
const SLOW_MS: u64 = 500;

/// Time after a failure for which each node keeps to its fair part, in milliseconds.
const CAUTIOUS_MS: u64 = 10_000;

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
    pub(crate) decision: oneshot::Receiver<ProposalOutcome>,
}

/// A group's append has failed, and nobody knows yet whether it took effect.
#[derive(Clone, Copy, Debug)]
struct GroupStuck;

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
    rate_limiter: RateLimiter,
    share: RateShare,
    started: Instant,
    published: Arc<PublishedState>,
    waiters: Arc<Waiters>,
    incarnation: u64,
    sequence: u64,
    queue: Vec<Record>,
    is_busy: bool,
    is_stuck: bool,
    refusals: u32,
    refused_until_ms: u64,
    cautious_until_ms: u64,
}

impl Appender {
    pub(crate) fn new(
        log: LogClient,
        clock: Clock,
        share: RateShare,
        published: Arc<PublishedState>,
        waiters: Arc<Waiters>,
        incarnation: u64,
    ) -> Self {
        Self {
            log,
            clock,
            rate_limiter: RateLimiter::default(),
            share,
            started: Instant::now(),
            published,
            waiters,
            incarnation,
            sequence: 0,
            queue: Vec::new(),
            is_busy: false,
            is_stuck: false,
            refusals: 0,
            refused_until_ms: 0,
            cautious_until_ms: 0,
        }
    }

    fn flush(&mut self, context: &Context<Self, impl kameo::Reply>) {
        if self.is_busy || self.queue.is_empty() {
            return;
        }
        self.is_busy = true;
        let count = self.queue.len().min(MAX_GROUP);
        let now_us = u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX);
        let per_s = self.allowed_per_s();
        let wait = Duration::from_micros(self.rate_limiter.reserve(now_us, per_s));
        let group = Group {
            records: self.queue.drain(..count).collect(),
            appender: context.actor_ref().clone(),
            log: self.log.clone(),
            published: Arc::clone(&self.published),
            waiters: Arc::clone(&self.waiters),
        };
        let appender = context.actor_ref().clone();
        tokio::spawn(async move {
            tokio::time::sleep(wait).await;
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

    /// Returns how many appends this node may make now, in a second.
    ///
    /// After a failure all nodes have something to append although the log shows none of it yet,
    /// so each keeps to its fair part for a while.
    fn allowed_per_s(&mut self) -> u64 {
        let now_ms = self.clock.now_ms();
        if now_ms < self.cautious_until_ms {
            return self.share.fair_share_per_s();
        }
        let state = self.published.load();
        let others = state
            .writers()
            .iter()
            .filter(|writer| writer.incarnation != self.incarnation)
            .map(|writer| writer.sequence)
            .sum();
        self.share.allowed_per_s(now_ms, others)
    }

    fn be_cautious(&mut self) {
        self.cautious_until_ms = self.clock.now_ms() + CAUTIOUS_MS;
    }

    /// Returns how long to refuse, longer after each refusal and another time on each node.
    ///
    /// Nodes that all came back in the same moment would exceed the service's rate together.
    fn refusal_ms(&self) -> u64 {
        let base_ms = (REFUSAL_MS << self.refusals.min(3)).min(MAX_REFUSAL_MS);
        base_ms / 2 + jitter_ms(self.incarnation ^ self.sequence, base_ms)
    }

    /// Refuses what waits behind a group that is refused or stuck.
    ///
    /// It was never sent, so it did not run; left in the queue, its proposers would be told after
    /// their whole timeout that the outcome is unknown.
    fn refuse_queued(&mut self) {
        let sequences: Vec<u64> = self
            .queue
            .drain(..)
            .map(|record| record.id.sequence)
            .collect();
        self.waiters.cancel(&sequences);
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
        let is_down = self.is_stuck || now_ms < self.refused_until_ms;
        if is_early || is_down || self.queue.len() >= MAX_QUEUED {
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
        self.is_stuck = false;
        if message.is_refused {
            self.be_cautious();
            self.refused_until_ms = self.clock.now_ms() + self.refusal_ms();
            self.refusals += 1;
            self.refuse_queued();
        } else {
            self.refusals = 0;
        }
        self.flush(context);
    }
}

impl Message<GroupStuck> for Appender {
    type Reply = ();

    async fn handle(&mut self, _message: GroupStuck, _context: &mut Context<Self, Self::Reply>) {
        self.is_stuck = true;
        self.be_cautious();
        self.refuse_queued();
    }
}

/// Records that are appended together.
struct Group {
    records: Vec<Record>,
    appender: ActorRef<Appender>,
    log: LogClient,
    published: Arc<PublishedState>,
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
                    self.waiters.cancel(&[record.id.sequence]);
                }
            }
        }
        let mut may_be_applied = false;
        let mut pause_ms = RETRY_PAUSE_MS;
        let mut failures = 0;
        loop {
            let sent = Instant::now();
            metrics::counter!("lynxwheel_appends_total").increment(1);
            match self.log.append(entries.clone()).await {
                Ok(_) => return GroupEnded { is_refused: false },
                Err(error) => {
                    failures += 1;
                    may_be_applied |= error.may_have_run();
                    self.warn(&error, may_be_applied);
                }
            }
            if !may_be_applied {
                self.waiters.cancel(&sequences);
                return GroupEnded { is_refused: true };
            }
            let is_slow = sent.elapsed() > Duration::from_millis(SLOW_MS);
            if (is_slow || failures > 1) && self.appender.tell(GroupStuck).send().await.is_err() {
                warn!(event = "appender_stopped"; "");
            }
            let seed = self
                .records
                .last()
                .map_or(0, |record| record.id.incarnation);
            let wait_ms = pause_ms + jitter_ms(seed ^ pause_ms, pause_ms);
            tokio::time::sleep(Duration::from_millis(wait_ms)).await;
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

/// Returns a time below `bound_ms` that differs from node to node.
fn jitter_ms(seed: u64, bound_ms: u64) -> u64 {
    xxh3_64(&seed.to_le_bytes()) % bound_ms.max(1)
}
