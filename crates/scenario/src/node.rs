//! A simulated node: position in the log, folded state and known claims.

use {
    lynxwheel_coordination::{PublishedState, SnapshotAssembler},
    lynxwheel_protocol::{
        NodeName, ReadResponse, Record, VmName, WriterId, ZoneName, decode_record,
    },
    lynxwheel_state::{FleetState, Verdict},
    std::{error, fmt},
};

/// A claim of a node as the node last knew it; it may be outdated.
#[derive(Clone, Debug)]
pub(crate) struct KnownClaim {
    pub(crate) vm: VmName,
    pub(crate) fence: u64,
    pub(crate) not_after_ms: u64,
    pub(crate) vm_incarnation: u64,
}

/// A folded record with its verdict.
#[derive(Clone, Debug)]
pub(crate) struct FoldedRecord {
    pub(crate) id: WriterId,
    pub(crate) offset: u64,
    pub(crate) verdict: Verdict,
}

/// Error when entries were trimmed before a node read them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Trimmed {
    earliest_offset: u64,
}

impl fmt::Display for Trimmed {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "trimmed up to {}, a snapshot is needed",
            self.earliest_offset - 1
        )
    }
}

impl error::Error for Trimmed {}

/// A simulated node.
#[derive(Debug)]
pub(crate) struct SimNode {
    pub(crate) name: NodeName,
    pub(crate) zone: ZoneName,
    pub(crate) incarnation: u64,
    pub(crate) sequence: u64,
    pub(crate) clock_ahead_ms: u64,
    pub(crate) is_frozen: bool,
    pub(crate) is_cut_from_log: bool,
    pub(crate) pending_record: Option<Record>,
    pub(crate) known_claims: Vec<KnownClaim>,
    pub(crate) snapshots: SnapshotAssembler,
    state: FleetState,
    published: PublishedState,
}

impl SimNode {
    pub(crate) fn new(name: &str, incarnation: u64, state: FleetState) -> Self {
        let number: usize = name
            .rsplit('-')
            .next()
            .and_then(|number| number.parse().ok())
            .unwrap_or(0);
        Self {
            name: name.into(),
            zone: format!("zone-{}", number % 3 + 1).into(),
            incarnation,
            sequence: 0,
            clock_ahead_ms: 0,
            is_frozen: false,
            is_cut_from_log: false,
            pending_record: None,
            known_claims: Vec::new(),
            snapshots: SnapshotAssembler::default(),
            published: PublishedState::new(state.clone()),
            state,
        }
    }

    pub(crate) fn state(&self) -> &FleetState {
        &self.state
    }

    /// Returns whether the node folds new entries immediately.
    pub(crate) fn can_follow(&self) -> bool {
        !self.is_frozen && !self.is_cut_from_log && self.pending_record.is_none()
    }

    /// Folds the entries after the last folded one; never skips a gap.
    pub(crate) fn fold(&mut self, response: &ReadResponse) -> Result<Vec<FoldedRecord>, Trimmed> {
        if self.state.offset() + 1 < response.earliest_offset {
            return Err(Trimmed {
                earliest_offset: response.earliest_offset,
            });
        }
        let mut folded = Vec::new();
        for entry in &response.entries {
            if entry.offset != self.state.offset() + 1 {
                continue;
            }
            let Ok(record) = decode_record(&entry.bytes) else {
                self.state.skip(entry.offset);
                continue;
            };
            let verdict = self.state.apply(entry.offset, &record);
            folded.push(FoldedRecord {
                id: record.id,
                offset: entry.offset,
                verdict,
            });
        }
        self.published.store(self.state.clone());
        self.clear_answered_record();
        Ok(folded)
    }

    /// Replaces the state unless `state` is older than the published one; returns whether it did.
    pub(crate) fn restore(&mut self, state: FleetState) -> bool {
        let offset = state.offset();
        self.published.store(state);
        self.state = (*self.published.load()).clone();
        self.state.offset() == offset
    }

    /// Returns the claim of the node on a VM as it last knew it.
    pub(crate) fn known_claim(&self, vm: &str) -> Option<&KnownClaim> {
        self.known_claims
            .iter()
            .find(|claim| claim.vm.as_str() == vm)
    }

    pub(crate) fn remember_claim(&mut self, claim: KnownClaim) {
        self.known_claims.retain(|known| known.vm != claim.vm);
        self.known_claims.push(claim);
    }

    fn clear_answered_record(&mut self) {
        let last = self
            .state
            .writers()
            .get(self.incarnation)
            .map_or(0, |writer| writer.sequence);
        if self
            .pending_record
            .as_ref()
            .is_some_and(|record| record.id.sequence <= last)
        {
            self.pending_record = None;
        }
    }
}
