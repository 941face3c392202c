//! Recent changes of resources, which watches are told from.
//!
//! The log keeps names, not states: a watch is told how a resource is now, so that changes in
//! quick succession are told as one, and neither an open watch nor the past keeps a state alive.
//!
//! Changes are found by comparing states at certain offsets, the boundaries. Between two of them
//! a resource may have come and gone, or changed back, and no comparison shows it. So a watch
//! starts only at a boundary: lists and bookmarks of this node are made there.

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

/// Changes kept; 16 Ki names take about a megabyte.
const MAX_CHANGES: usize = 16 * 1024;

/// Boundaries kept; at the pace below they reach back 13 minutes.
const MAX_BOUNDARIES: usize = 16 * 1024;

/// Pause between two comparisons of states, in milliseconds.
const PACE_MS: u64 = 50;

/// One change of one resource.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Change {
    /// Name.
    pub(crate) name: String,
    /// Offset by which it had changed.
    pub(crate) offset: u64,
    /// Whether it was withdrawn.
    pub(crate) is_removed: bool,
}

/// Changes of one kind between two offsets.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct ChangeBatch {
    /// Last change of each resource, by name.
    pub(crate) changes: Vec<Change>,
    /// Offset up to which the batch is complete.
    pub(crate) known_to: u64,
}

/// This node cannot tell all changes since the offset asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct TooOld {
    /// Offset asked for.
    pub(crate) offset: u64,
}

/// Bounded log of changes.
#[derive(Debug)]
pub(crate) struct ChangeLog {
    rows: Mutex<Rows>,
    known_to: watch::Sender<u64>,
}

#[derive(Debug)]
struct Rows {
    changes: VecDeque<(Kind, Change)>,
    /// Every change after this offset is kept.
    complete_from: u64,
    /// Offsets of compared states, rising.
    boundaries: VecDeque<u64>,
    /// State at the last boundary.
    latest: Arc<FleetState>,
}

impl ChangeLog {
    /// Creates a log that begins at a state.
    pub(crate) fn new(state: Arc<FleetState>) -> Self {
        let offset = state.offset();
        Self {
            rows: Mutex::new(Rows {
                changes: VecDeque::new(),
                complete_from: offset,
                boundaries: VecDeque::from([offset]),
                latest: state,
            }),
            known_to: watch::Sender::new(offset),
        }
    }

    /// Notes what differs in a later state, and returns the state of the last boundary.
    pub(crate) fn catch_up(&self, now: Arc<FleetState>) -> Arc<FleetState> {
        let mut rows = self.rows();
        if now.offset() > rows.latest.offset() {
            rows.compare(now);
            self.known_to.send_replace(rows.latest.offset());
        }
        Arc::clone(&rows.latest)
    }

    /// Returns the changes of a kind after `offset`.
    pub(crate) fn since(&self, kind: Kind, offset: u64) -> Result<ChangeBatch, TooOld> {
        let rows = self.rows();
        rows.check(offset)?;
        let known_to = rows.latest.offset();
        let first = rows
            .changes
            .partition_point(|(_, change)| change.offset <= offset);
        let mut changes: Vec<Change> = rows
            .changes
            .range(first..)
            .filter(|(of, _)| *of == kind)
            .map(|(_, change)| change.clone())
            .collect();
        drop(rows);
        // The last change of each name is the one that stays.
        changes.sort();
        changes.reverse();
        changes.dedup_by(|earlier, later| earlier.name == later.name);
        changes.reverse();
        Ok(ChangeBatch { changes, known_to })
    }

    /// Tells whether every change after `offset` can be told.
    pub(crate) fn check(&self, offset: u64) -> Result<(), TooOld> {
        self.rows().check(offset)
    }

    /// Returns a receiver of the offset up to which changes are noted.
    pub(crate) fn progress(&self) -> watch::Receiver<u64> {
        self.known_to.subscribe()
    }

    fn rows(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Rows {
    fn compare(&mut self, now: Arc<FleetState>) {
        let offset = now.offset();
        for kind in Kind::ALL {
            self.push_all(kind, now.changed_since(&self.latest, kind), offset);
        }
        if self.boundaries.len() == MAX_BOUNDARIES {
            self.boundaries.pop_front();
        }
        self.boundaries.push_back(offset);
        self.latest = now;
    }

    fn check(&self, offset: u64) -> Result<(), TooOld> {
        let is_boundary = self.boundaries.binary_search(&offset).is_ok();
        if is_boundary && offset >= self.complete_from {
            return Ok(());
        }
        Err(TooOld { offset })
    }

    fn push_all(&mut self, kind: Kind, names: ChangedNames, offset: u64) {
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

/// Compares published states until the signal.
pub(crate) async fn follow(node: Node, log: Arc<ChangeLog>, stop: Shutdown) {
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
        tokio::time::sleep(Duration::from_millis(PACE_MS)).await;
    }
}
