//! Recent changes of resources, which watches are told from.
//!
//! The log keeps names, not states: a watch is told how a resource is now, so that changes in
//! quick succession are told as one, and neither an open watch nor the past keeps a state alive.

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

/// The changes asked for are no longer kept.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct TooOld {
    /// Lowest offset from which changes can be told.
    pub(crate) earliest: u64,
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
}

impl ChangeLog {
    /// Creates a log that knows of no change up to `offset`.
    pub(crate) fn new(offset: u64) -> Self {
        Self {
            rows: Mutex::new(Rows {
                changes: VecDeque::new(),
                complete_from: offset,
            }),
            known_to: watch::Sender::new(offset),
        }
    }

    /// Notes what differs between two states.
    pub(crate) fn note(&self, earlier: &FleetState, now: &FleetState) {
        let mut rows = self.rows();
        for kind in Kind::ALL {
            rows.push_all(kind, now.changed_since(earlier, kind), now.offset());
        }
        drop(rows);
        self.known_to.send_replace(now.offset());
    }

    /// Returns the changes of a kind after `offset`.
    pub(crate) fn since(&self, kind: Kind, offset: u64) -> Result<ChangeBatch, TooOld> {
        let known_to = self.known_to();
        let rows = self.rows();
        if offset < rows.complete_from {
            return Err(TooOld {
                earliest: rows.complete_from,
            });
        }
        let mut changes: Vec<Change> = rows
            .changes
            .iter()
            .filter(|(of, change)| *of == kind && change.offset > offset)
            .map(|(_, change)| change.clone())
            .collect();
        drop(rows);
        changes.sort();
        changes.reverse();
        changes.dedup_by(|earlier, later| earlier.name == later.name);
        changes.reverse();
        Ok(ChangeBatch { changes, known_to })
    }

    /// Tells whether every change after `offset` is still kept.
    pub(crate) fn covers(&self, offset: u64) -> Result<(), TooOld> {
        let earliest = self.rows().complete_from;
        if offset < earliest {
            return Err(TooOld { earliest });
        }
        Ok(())
    }

    /// Returns the offset up to which changes are noted.
    pub(crate) fn known_to(&self) -> u64 {
        *self.known_to.borrow()
    }

    /// Returns a receiver of that offset.
    pub(crate) fn progress(&self) -> watch::Receiver<u64> {
        self.known_to.subscribe()
    }

    fn rows(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Rows {
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
pub(crate) async fn follow(
    node: Node,
    log: Arc<ChangeLog>,
    mut earlier: Arc<FleetState>,
    stop: Shutdown,
) {
    let mut offsets = node.published().offsets();
    loop {
        let changed = tokio::select! {
            changed = offsets.changed() => changed,
            () = stop.wait() => return,
        };
        if changed.is_err() {
            return;
        }
        let now = node.state();
        log.note(&earlier, &now);
        earlier = now;
        tokio::time::sleep(Duration::from_millis(PACE_MS)).await;
    }
}
