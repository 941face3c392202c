//! Judging a run from the log alone.

use {
    lynxwheel_protocol::{LogEntry, PoolName, Record, RecordBody, decode_record},
    lynxwheel_state::FleetState,
};

/// Lowest availability of a pool over a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolAudit {
    /// Pool.
    pub pool: PoolName,
    /// Lowest number of available VMs after the pool had first reached its floor.
    pub lowest_available: u32,
    /// Whether the pool ever reached its floor.
    pub has_reached_floor: bool,
    /// VMs moved into the pool.
    pub vms_moved_in: u32,
}

impl PoolAudit {
    fn new(pool: &PoolName) -> Self {
        Self {
            pool: pool.clone(),
            lowest_available: u32::MAX,
            has_reached_floor: false,
            vms_moved_in: 0,
        }
    }
}

/// Folds the log again and notes each pool's lowest availability and moves.
///
/// The state after every single record is looked at, so no moment is missed.
#[must_use]
pub fn audit(entries: &[LogEntry]) -> Vec<PoolAudit> {
    let mut state = FleetState::new();
    let mut audits: Vec<PoolAudit> = Vec::new();
    for entry in entries {
        match decode_record(&entry.bytes) {
            Ok(record) => apply(&mut state, entry.offset, &record, &mut audits),
            Err(_) => state.skip(entry.offset),
        }
        for pool in state.pools().iter() {
            let availability = pool.availability();
            let audit = audit_of(&mut audits, &pool.spec.name);
            audit.has_reached_floor |= availability.available >= availability.floor;
            if audit.has_reached_floor {
                audit.lowest_available = audit.lowest_available.min(availability.available);
            }
        }
    }
    audits
}

fn apply(state: &mut FleetState, offset: u64, record: &Record, audits: &mut Vec<PoolAudit>) {
    let is_accepted = state.apply(offset, record).is_accepted();
    if let RecordBody::HandOver { vm, .. } = &record.body
        && is_accepted
        && let Some(vm) = state.vms().get(vm.as_str())
    {
        audit_of(audits, &vm.pool).vms_moved_in += 1;
    }
}

fn audit_of<'a>(audits: &'a mut Vec<PoolAudit>, pool: &PoolName) -> &'a mut PoolAudit {
    let row = audits
        .binary_search_by(|audit| audit.pool.cmp(pool))
        .unwrap_or_else(|row| {
            audits.insert(row, PoolAudit::new(pool));
            row
        });
    &mut audits[row]
}
