//! Recent changes of resources, the source of watch events.
//!
//! The change log holds names instead of states: a watch sends the current state of a resource,
//! which merges changes in quick succession and keeps no old state in memory.
//!
//! Changes are found by comparing states at certain offsets, the boundaries. A resource that was
//! declared and withdrawn, or changed back, between two boundaries shows no difference. A watch can
//! therefore start only at a boundary, as lists and bookmarks of this node do.

use {
    lynxwheel_coordination::Node,
    lynxwheel_protocol::Kind,
    lynxwheel_state::{ChangedNames, FleetState},
    lynxwheel_transport::Shutdown,
    std::{
        collections::VecDeque,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::Duration,
    },
    tokio::sync::watch,
};

/// Maximum number of retained changes; 16 Ki names take about 1 MB.
const MAX_CHANGES: usize = 16 * 1024;

/// Maximum number of retained boundaries, about 13 minutes at the interval below.
const MAX_BOUNDARIES: usize = 16 * 1024;

/// Minimum interval between comparisons of states, in milliseconds.
const COMPARE_INTERVAL_MS: u64 = 50;

/// Change of a resource.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Change {
    /// Name of the resource.
    pub(crate) name: String,
    /// Boundary at which the change was found.
    pub(crate) offset: u64,
    /// Whether the resource was withdrawn.
    pub(crate) is_removed: bool,
}

/// Changes of one kind between two offsets.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct ChangeBatch {
    /// Last change of each resource, by name.
    pub(crate) changes: Vec<Change>,
    /// Offset up to which the batch is complete.
    pub(crate) complete_to: u64,
}

/// Error: changes since the requested offset are not known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct TooOld {
    /// Requested offset.
    pub(crate) offset: u64,
}

/// Bounded log of recent changes.
#[derive(Debug)]
pub(crate) struct ChangeLog {
    state: Mutex<LogState>,
    complete_to: watch::Sender<u64>,
}

#[derive(Debug)]
struct LogState {
    changes: VecDeque<(Kind, Change)>,
    /// Offset after which all changes are retained.
    complete_from: u64,
    /// Offsets of the compared states, ascending.
    boundaries: VecDeque<u64>,
    /// State at the last boundary.
    latest: Arc<FleetState>,
}

impl ChangeLog {
    /// Creates an empty log that starts at `state`.
    pub(crate) fn new(state: Arc<FleetState>) -> Self {
        let offset = state.offset();
        Self {
            state: Mutex::new(LogState {
                changes: VecDeque::new(),
                complete_from: offset,
                boundaries: VecDeque::from([offset]),
                latest: state,
            }),
            complete_to: watch::Sender::new(offset),
        }
    }

    /// Adds the changes up to a later state, and returns the state at the last boundary.
    pub(crate) fn catch_up(&self, now: Arc<FleetState>) -> Arc<FleetState> {
        let mut state = self.state();
        if now.offset() > state.latest.offset() {
            state.add_comparison(now);
            self.complete_to.send_replace(state.latest.offset());
        }
        Arc::clone(&state.latest)
    }

    /// Returns the changes of a kind after `offset`, which must be a boundary.
    pub(crate) fn changes_since(&self, kind: Kind, offset: u64) -> Result<ChangeBatch, TooOld> {
        let state = self.state();
        state.check_offset(offset)?;
        let complete_to = state.latest.offset();
        let first = state
            .changes
            .partition_point(|(_, change)| change.offset <= offset);
        let mut changes: Vec<Change> = state
            .changes
            .range(first..)
            .filter(|(of, _)| *of == kind)
            .map(|(_, change)| change.clone())
            .collect();
        drop(state);
        // Keep only the last change of each name.
        changes.sort();
        changes.reverse();
        changes.dedup_by(|earlier, later| earlier.name == later.name);
        changes.reverse();
        Ok(ChangeBatch {
            changes,
            complete_to,
        })
    }

    /// Checks that all changes after `offset` are known.
    pub(crate) fn check_offset(&self, offset: u64) -> Result<(), TooOld> {
        self.state().check_offset(offset)
    }

    /// Returns a receiver of the offset up to which the log is complete.
    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.complete_to.subscribe()
    }

    fn state(&self) -> MutexGuard<'_, LogState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LogState {
    fn add_comparison(&mut self, now: Arc<FleetState>) {
        let offset = now.offset();
        for kind in Kind::ALL {
            self.push_changes(kind, now.changed_since(&self.latest, kind), offset);
        }
        if self.boundaries.len() == MAX_BOUNDARIES {
            self.boundaries.pop_front();
        }
        self.boundaries.push_back(offset);
        self.latest = now;
    }

    fn check_offset(&self, offset: u64) -> Result<(), TooOld> {
        let is_boundary = self.boundaries.binary_search(&offset).is_ok();
        if is_boundary && offset >= self.complete_from {
            return Ok(());
        }
        Err(TooOld { offset })
    }

    fn push_changes(&mut self, kind: Kind, names: ChangedNames, offset: u64) {
        for name in names.changed {
            self.push(kind, name, offset, false);
        }
        for name in names.removed {
            self.push(kind, name, offset, true);
        }
    }

    fn push(&mut self, kind: Kind, name: String, offset: u64, is_removed: bool) {
        if self.changes.len() == MAX_CHANGES
            && let Some((_, dropped)) = self.changes.pop_front()
        {
            self.complete_from = dropped.offset;
        }
        let change = Change {
            name,
            offset,
            is_removed,
        };
        self.changes.push_back((kind, change));
    }
}

/// Adds the changes of published states to the log until shutdown.
pub(crate) async fn track_changes(node: Node, log: Arc<ChangeLog>, stop: Shutdown) {
    let mut offsets = node.published_state().subscribe();
    loop {
        log.catch_up(node.state());
        let changed = tokio::select! {
            changed = offsets.changed() => changed,
            () = stop.wait() => return,
        };
        if changed.is_err() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(COMPARE_INTERVAL_MS)).await;
    }
}
