//! Folding the log's entries into the published state.

use {
    crate::{
        divergence::{DigestAt, Divergence},
        operations::Operations,
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

/// Entries read from the log, in order.
#[derive(Debug)]
pub(crate) struct FoldEntries {
    /// Entries.
    pub(crate) entries: Vec<LogEntry>,
}

/// Replaces the state by a later one, when records between them cannot be read.
#[derive(Debug)]
pub(crate) struct Reload {
    state: Box<FleetState>,
}

impl Reload {
    pub(crate) fn new(state: FleetState) -> Self {
        Self {
            state: Box::new(state),
        }
    }
}

/// What the fold tells the other duties of a node; copies share it.
#[derive(Clone, Debug)]
pub(crate) struct FoldOutputs {
    /// Latest state.
    pub(crate) published: Arc<PublishedState>,
    /// Proposers that wait for their records.
    pub(crate) waiters: Arc<Waiters>,
    /// Latest entries, for peers that are cut from the log.
    pub(crate) recent: Arc<RecentEntries>,
    /// Outcomes of declarations.
    pub(crate) operations: Arc<Operations>,
    /// Digests to compare with peers.
    pub(crate) divergence: Arc<Divergence>,
}

impl FoldOutputs {
    pub(crate) fn new(state: FleetState) -> Self {
        Self {
            published: Arc::new(PublishedState::new(state)),
            waiters: Arc::default(),
            recent: Arc::default(),
            operations: Arc::default(),
            divergence: Arc::default(),
        }
    }
}

/// Actor that owns the state.
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

    /// Applies one entry; an entry that does not follow the last one is left out.
    fn fold(&mut self, entry: &LogEntry) -> Option<ProposalOutcome> {
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
        self.outputs
            .operations
            .note(entry.offset, &record, &verdict);
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
        let mut decisions = Vec::new();
        let mut digests = Vec::with_capacity(message.entries.len());
        for entry in &message.entries {
            decisions.extend(self.fold(entry));
            if self.state.offset() == entry.offset {
                self.outputs.divergence.mark_if_due(&self.state);
                digests.push(DigestAt {
                    offset: entry.offset,
                    digest: self.state.digest(),
                });
            }
        }
        self.outputs.divergence.note(&digests);
        self.outputs.recent.note(&message.entries);
        self.outputs.published.store(self.state.clone());
        // Published first, so that a proposer finds its own record in the state it then reads.
        for decision in decisions {
            if decision.verdict != Verdict::Duplicate {
                self.outputs.waiters.resolve(decision.id.sequence, decision);
            }
        }
        metrics::gauge!("lynxwheel_fold_offset").set(offset_metric(self.state.offset()));
    }
}

impl Message<Reload> for Fold {
    type Reply = ();

    async fn handle(&mut self, message: Reload, _context: &mut Context<Self, Self::Reply>) {
        if message.state.offset() <= self.state.offset() {
            return;
        }
        info!(event = "reloaded", from = self.state.offset(), offset = message.state.offset(); "");
        self.state = *message.state;
        self.outputs.divergence.forget();
        self.outputs.published.store(self.state.clone());
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "gauges are floats; offsets stay far below 2^52"
)]
fn offset_metric(offset: u64) -> f64 {
    offset as f64
}

fn log_verdict(offset: u64, record: &Record, verdict: &Verdict) {
    let proposal = format!("{}-{}", record.id.incarnation, record.id.sequence);
    let kind = kind_of(&record.body);
    metrics::counter!("lynxwheel_records_total", "kind" => kind, "verdict" => verdict_name(verdict))
        .increment(1);
    match verdict {
        Verdict::Rejected(rejection) => {
            info!(event = "record", offset = offset, proposal = proposal.as_str(), kind = kind,
                verdict = "rejected"; "{rejection}");
        }
        other => {
            info!(event = "record", offset = offset, proposal = proposal.as_str(), kind = kind,
                verdict = verdict_name(other); "");
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

fn kind_of(body: &RecordBody) -> &'static str {
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
