//! A simulated node: a cursor into the log, the folded state and what it believes.

use {
    lynxwheel_coordination::{PublishedState, SnapshotAssembler},
    lynxwheel_protocol::{
        NodeName, ReadResponse, Record, VmName, WriterId, ZoneName, decode_record,
    },
    lynxwheel_state::{FleetState, Verdict},
    std::{error, fmt},
};

/// What a node believes of a claim that it made, right or wrong.
#[derive(Clone, Debug)]
pub(crate) struct Belief {
    pub(crate) vm: VmName,
    pub(crate) fence: u64,
    pub(crate) not_after_ms: u64,
    pub(crate) vm_incarnation: u64,
}

/// Verdict on one record, as the node's fold gave it.
#[derive(Clone, Debug)]
pub(crate) struct Folded {
    pub(crate) id: WriterId,
    pub(crate) offset: u64,
    pub(crate) verdict: Verdict,
}

/// Why a node cannot read on.
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

/// One simulated node.
#[derive(Debug)]
pub(crate) struct SimNode {
    pub(crate) name: NodeName,
    pub(crate) zone: ZoneName,
    pub(crate) incarnation: u64,
    pub(crate) sequence: u64,
    pub(crate) ahead_ms: u64,
    pub(crate) is_frozen: bool,
    pub(crate) is_cut: bool,
    pub(crate) unanswered: Option<Record>,
    pub(crate) beliefs: Vec<Belief>,
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
            ahead_ms: 0,
            is_frozen: false,
            is_cut: false,
            unanswered: None,
            beliefs: Vec::new(),
            snapshots: SnapshotAssembler::default(),
            published: PublishedState::new(state.clone()),
            state,
        }
    }

    pub(crate) fn state(&self) -> &FleetState {
        &self.state
    }

    /// Tells whether the node folds what is appended at once.
    pub(crate) fn follows(&self) -> bool {
        !self.is_frozen && !self.is_cut && self.unanswered.is_none()
    }

    /// Folds what follows the last folded entry; a gap is never skipped.
    pub(crate) fn fold(&mut self, answer: &ReadResponse) -> Result<Vec<Folded>, Trimmed> {
        if self.state.offset() + 1 < answer.earliest_offset {
            return Err(Trimmed {
                earliest_offset: answer.earliest_offset,
            });
        }
        let mut folded = Vec::new();
        for entry in &answer.entries {
            if entry.offset != self.state.offset() + 1 {
                continue;
            }
            let Ok(record) = decode_record(&entry.bytes) else {
                self.state.skip(entry.offset);
                continue;
            };
            let verdict = self.state.apply(entry.offset, &record);
            folded.push(Folded {
                id: record.id,
                offset: entry.offset,
                verdict,
            });
        }
        self.published.store(self.state.clone());
        self.forget_answered();
        Ok(folded)
    }

    /// Takes a state over unless it is older than what the node has published.
    pub(crate) fn restore(&mut self, state: FleetState) -> bool {
        let offset = state.offset();
        self.published.store(state);
        self.state = (*self.published.load()).clone();
        self.state.offset() == offset
    }

    /// Returns what the node believes of its claim on a VM.
    pub(crate) fn belief(&self, vm: &str) -> Option<&Belief> {
        self.beliefs.iter().find(|belief| belief.vm.as_str() == vm)
    }

    pub(crate) fn believe(&mut self, belief: Belief) {
        self.beliefs.retain(|known| known.vm != belief.vm);
        self.beliefs.push(belief);
    }

    fn forget_answered(&mut self) {
        let last = self
            .state
            .writers()
            .get(self.incarnation)
            .map_or(0, |writer| writer.sequence);
        if self
            .unanswered
            .as_ref()
            .is_some_and(|record| record.id.sequence <= last)
        {
            self.unanswered = None;
        }
    }
}
