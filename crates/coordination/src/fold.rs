//! Folds log entries into the fleet state and publishes it.

use {
    crate::{
        divergence::{Divergence, OffsetDigest},
        operations::OperationHistory,
        proposer::ProposalOutcome,
        published_state::PublishedState,
        recent_entries::RecentEntries,
        waiters::Waiters,
    },
    kameo::{
        Actor,
        message::{Context, Message},
    },
    log::{info, warn},
    lynxwheel_protocol::{LogEntry, Record, RecordBody, decode_record},
    lynxwheel_state::{FleetState, Verdict},
    std::sync::Arc,
};

/// Message with entries read from the log, in order.
#[derive(Debug)]
pub(crate) struct FoldEntries {
    /// Entries to fold.
    pub(crate) entries: Vec<LogEntry>,
}

/// Message that replaces the state by a later one when the records in between are unavailable.
#[derive(Debug)]
pub(crate) struct ReplaceState {
    state: Box<FleetState>,
}

impl ReplaceState {
    pub(crate) fn new(state: FleetState) -> Self {
        Self {
            state: Box::new(state),
        }
    }
}

/// Outputs of the fold that the other parts of a node read; clones share them.
#[derive(Clone, Debug)]
pub(crate) struct FoldOutputs {
    /// Latest published state.
    pub(crate) published: Arc<PublishedState>,
    /// Proposers waiting for the outcomes of their records.
    pub(crate) waiters: Arc<Waiters>,
    /// Latest entries, served to peers that cannot read the log.
    pub(crate) recent_entries: Arc<RecentEntries>,
    /// Outcomes of recent declarations.
    pub(crate) operations: Arc<OperationHistory>,
    /// Digests to compare with those of peers.
    pub(crate) divergence: Arc<Divergence>,
}

impl FoldOutputs {
    pub(crate) fn new(state: FleetState) -> Self {
        Self {
            published: Arc::new(PublishedState::new(state)),
            waiters: Arc::default(),
            recent_entries: Arc::default(),
            operations: Arc::default(),
            divergence: Arc::default(),
        }
    }
}

/// Actor that owns the fleet state.
#[derive(Actor, Debug)]
pub(crate) struct Fold {
    state: FleetState,
    outputs: FoldOutputs,
    incarnation: u64,
}

impl Fold {
    pub(crate) fn new(state: FleetState, outputs: FoldOutputs, incarnation: u64) -> Self {
        Self {
            state,
            outputs,
            incarnation,
        }
    }

    /// Applies an entry; ignores one that does not directly follow the current offset.
    fn apply_entry(&mut self, entry: &LogEntry) -> Option<ProposalOutcome> {
        if entry.offset != self.state.offset() + 1 {
            return None;
        }
        let record = match decode_record(&entry.bytes) {
            Ok(record) => record,
            Err(error) => {
                warn!(event = "record_skipped", offset = entry.offset; "{error}");
                self.state.skip(entry.offset);
                return None;
            }
        };
        let verdict = self.state.apply(entry.offset, &record);
        log_verdict(entry.offset, &record, &verdict);
        self.outputs.operations.add(entry.offset, &record, &verdict);
        (record.id.incarnation == self.incarnation).then_some(ProposalOutcome {
            id: record.id,
            offset: entry.offset,
            verdict,
        })
    }
}

impl Message<FoldEntries> for Fold {
    type Reply = ();

    async fn handle(&mut self, message: FoldEntries, _context: &mut Context<Self, Self::Reply>) {
        let mut outcomes = Vec::new();
        let mut digests = Vec::with_capacity(message.entries.len());
        for entry in &message.entries {
            outcomes.extend(self.apply_entry(entry));
            if self.state.offset() == entry.offset {
                self.outputs.divergence.checkpoint_if_due(&self.state);
                digests.push(OffsetDigest {
                    offset: entry.offset,
                    digest: self.state.digest(),
                });
            }
        }
        self.outputs.divergence.add_digests(&digests);
        self.outputs.recent_entries.extend(&message.entries);
        self.outputs.published.store(self.state.clone());
        // Publish before waking proposers, so that they read a state with their own record.
        for outcome in outcomes {
            if outcome.verdict != Verdict::Duplicate {
                self.outputs.waiters.resolve(outcome.id.sequence, outcome);
            }
        }
        metrics::gauge!("lynxwheel_fold_offset").set(offset_as_f64(self.state.offset()));
    }
}

impl Message<ReplaceState> for Fold {
    type Reply = ();

    async fn handle(&mut self, message: ReplaceState, _context: &mut Context<Self, Self::Reply>) {
        if message.state.offset() <= self.state.offset() {
            return;
        }
        info!(event = "reloaded", from = self.state.offset(), offset = message.state.offset();
            "replaced the state by a later one");
        self.state = *message.state;
        self.outputs.divergence.reset();
        self.outputs.published.store(self.state.clone());
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "gauges are floats; offsets stay far below 2^52"
)]
fn offset_as_f64(offset: u64) -> f64 {
    offset as f64
}

fn log_verdict(offset: u64, record: &Record, verdict: &Verdict) {
    let proposal = format!("{}-{}", record.id.incarnation, record.id.sequence);
    let kind = body_kind(&record.body);
    metrics::counter!("lynxwheel_records_total", "kind" => kind, "verdict" => verdict_name(verdict))
        .increment(1);
    match verdict {
        Verdict::Rejected(rejection) => {
            info!(event = "record", offset = offset, proposal = proposal.as_str(), kind = kind,
                verdict = "rejected"; "{rejection}");
        }
        other => {
            info!(event = "record", offset = offset, proposal = proposal.as_str(), kind = kind,
                verdict = verdict_name(other); "folded a record");
        }
    }
}

fn verdict_name(verdict: &Verdict) -> &'static str {
    match verdict {
        Verdict::Accepted => "accepted",
        Verdict::Duplicate => "duplicate",
        Verdict::Rejected(_) => "rejected",
    }
}

fn body_kind(body: &RecordBody) -> &'static str {
    match body {
        RecordBody::Join { .. } => "join",
        RecordBody::RaiseVersion { .. } => "raise_version",
        RecordBody::Put { .. } => "put",
        RecordBody::Delete { .. } => "delete",
        RecordBody::Report { .. } => "report",
        RecordBody::Claim { .. } => "claim",
        RecordBody::Begin { .. } => "begin",
        RecordBody::TakeOver { .. } => "take_over",
        RecordBody::Release { .. } => "release",
        RecordBody::Done { .. } => "done",
        RecordBody::HandOver { .. } => "hand_over",
        RecordBody::Start { .. } => "start",
        RecordBody::Stop { .. } => "stop",
        RecordBody::End { .. } => "end",
        RecordBody::Usage { .. } => "usage",
        RecordBody::GiveUp { .. } => "give_up",
        RecordBody::Quarantine { .. } => "quarantine",
        RecordBody::Intent { .. } => "intent",
        RecordBody::Outcome { .. } => "outcome",
        RecordBody::Snapshot { .. } => "snapshot",
        RecordBody::Tick => "tick",
    }
}
