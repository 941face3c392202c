//! Judging a run from the log alone.

use {
    lynxwheel_protocol::{LogEntry, PoolName, decode_record},
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
    pub was_ready: bool,
}

/// Folds the log again and notes each pool's lowest availability.
///
/// The state after every single record is looked at, so no moment is missed.
#[must_use]
pub fn audit(entries: &[LogEntry]) -> Vec<PoolAudit> {
    let mut state = FleetState::new();
    let mut audits: Vec<PoolAudit> = Vec::new();
    for entry in entries {
        match decode_record(&entry.bytes) {
            Ok(record) => drop(state.apply(entry.offset, &record)),
            Err(_) => state.skip(entry.offset),
        }
        for pool in state.pools().iter() {
            let availability = pool.availability();
            let row = audits.binary_search_by(|audit| audit.pool.cmp(&pool.spec.name));
            let row = row.unwrap_or_else(|row| {
                let pool = pool.spec.name.clone();
                audits.insert(
                    row,
                    PoolAudit {
                        pool,
                        lowest_available: u32::MAX,
                        was_ready: false,
                    },
                );
                row
            });
            let audit = &mut audits[row];
            audit.was_ready |= availability.available >= availability.floor;
            if audit.was_ready {
                audit.lowest_available = audit.lowest_available.min(availability.available);
            }
        }
    }
    audits
}
