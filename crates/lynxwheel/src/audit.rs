//! Audit of the availability guarantees, from the log alone.

use {
    lynxwheel_protocol::{LogEntry, PoolName, Record, RecordBody, decode_record},
    lynxwheel_state::FleetState,
};

/// Availability and moves of a pool over the whole log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolAudit {
    /// Pool.
    pub pool: PoolName,
    /// Lowest number of available VMs since the pool first reached its floor.
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

/// Replays the log and returns each pool's lowest availability and moves.
///
/// Availability is checked after every record, so that no violation is missed.
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
            let audit = find_or_insert(&mut audits, &pool.spec.name);
            audit.has_reached_floor |= availability.available >= availability.floor;
            if audit.has_reached_floor {
                audit.lowest_available = audit.lowest_available.min(availability.available);
            }
        }
    }
    audits
}

/// Applies a record and counts the move that it completes.
fn apply(state: &mut FleetState, offset: u64, record: &Record, audits: &mut Vec<PoolAudit>) {
    let is_accepted = state.apply(offset, record).is_accepted();
    if let RecordBody::HandOver { vm, .. } = &record.body
        && is_accepted
        && let Some(vm) = state.vms().get(vm.as_str())
    {
        find_or_insert(audits, &vm.pool).vms_moved_in += 1;
    }
}

fn find_or_insert<'a>(audits: &'a mut Vec<PoolAudit>, pool: &PoolName) -> &'a mut PoolAudit {
    let index = audits
        .binary_search_by(|audit| audit.pool.cmp(pool))
        .unwrap_or_else(|index| {
            audits.insert(index, PoolAudit::new(pool));
            index
        });
    &mut audits[index]
}
