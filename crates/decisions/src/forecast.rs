//! Forecast of a wave against its deadline.

use {
    crate::{
        fleet_view::FleetView,
        wave_health::{WaveHealth, member_pools},
        waves::is_due,
    },
    lynxwheel_protocol::WaveGoal,
    lynxwheel_state::{FleetState, WaveState},
    std::fmt,
};

/// Time of one action before any was observed, in milliseconds.
const DEFAULT_ACTION_MS: u64 = 5 * 60 * 1_000;

/// Whether a wave can finish in time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outlook {
    /// Every VM is maintained.
    Complete,
    /// Finishes by then, in milliseconds since the epoch.
    InTime {
        /// When it finishes.
        finish_ms: u64,
    },
    /// Cannot finish by its deadline under the budgets.
    Late {
        /// When it finishes, in milliseconds since the epoch.
        finish_ms: u64,
        /// VMs that the pools would need besides to finish by the deadline.
        needs_vms: u32,
    },
    /// Some pools have no room under their budgets, so that it never finishes.
    NoRoom {
        /// Pools without room.
        pools: u32,
        /// VMs that they need at least.
        needs_vms: u32,
    },
    /// The operator paused or aborted it.
    Stopped,
    /// It halted on failures.
    Halted(WaveHealth),
}

/// Forecast of a wave.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Forecast {
    /// VMs still to maintain.
    pub remaining: u32,
    /// Outlook.
    pub outlook: Outlook,
}

impl fmt::Display for Forecast {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.outlook {
            Outlook::Complete => write!(formatter, "complete"),
            Outlook::InTime { finish_ms } => {
                write!(formatter, "{} VMs left, until {finish_ms}", self.remaining)
            }
            Outlook::Late {
                finish_ms,
                needs_vms,
            } => write!(
                formatter,
                "cannot finish in time under this budget: needs {needs_vms} more VMs or until \
                 {finish_ms}"
            ),
            Outlook::NoRoom { pools, needs_vms } => write!(
                formatter,
                "cannot finish under this budget: VMs needed: {needs_vms}, in pools: {pools}"
            ),
            Outlook::Stopped => write!(formatter, "stopped by the operator"),
            Outlook::Halted(health) => write!(formatter, "halted: {}", health.as_str()),
        }
    }
}

/// Forecasts a wave from the budgets and the action times seen so far.
#[must_use]
pub fn forecast(state: &FleetState, wave: &WaveState, now_ms: u64) -> Forecast {
    let view = FleetView::new(state);
    let action_ms = wave
        .acting_ms
        .checked_div(u64::from(wave.done))
        .map_or(DEFAULT_ACTION_MS, |mean_ms| mean_ms.max(1));
    let mut load = Load::default();
    for index in member_pools(&view, wave) {
        let pool = &view.pools[index];
        let due = pool.vms.iter().filter(|vm| is_due(wave, vm)).count();
        let due = u32::try_from(due).unwrap_or(u32::MAX);
        let claimed: u32 = pool.state.claimed_zones.iter().map(|row| row.1).sum();
        let slots = pool.state.availability().spare_vms() + claimed;
        load.add(due, slots, rounds_until(wave, now_ms, action_ms));
    }
    Forecast {
        remaining: load.remaining,
        outlook: outlook(&view, wave, &load, now_ms, action_ms),
    }
}

fn outlook(
    view: &FleetView<'_>,
    wave: &WaveState,
    load: &Load,
    now_ms: u64,
    action_ms: u64,
) -> Outlook {
    let health = WaveHealth::new(view, wave);
    let finish_ms = now_ms + u64::from(load.rounds) * action_ms;
    if load.remaining == 0 {
        return Outlook::Complete;
    }
    if wave.spec.goal != WaveGoal::Run {
        return Outlook::Stopped;
    }
    if !health.can_continue() {
        return Outlook::Halted(health);
    }
    if load.stuck_pools > 0 {
        return Outlook::NoRoom {
            pools: load.stuck_pools,
            needs_vms: load.needs_vms.max(load.stuck_pools),
        };
    }
    if wave.spec.deadline_ms > 0 && finish_ms > wave.spec.deadline_ms {
        return Outlook::Late {
            finish_ms,
            needs_vms: load.needs_vms,
        };
    }
    Outlook::InTime { finish_ms }
}

/// Returns how many actions fit one after the other before the deadline.
fn rounds_until(wave: &WaveState, now_ms: u64, action_ms: u64) -> u32 {
    if wave.spec.deadline_ms == 0 {
        return u32::MAX;
    }
    let left_ms = wave.spec.deadline_ms.saturating_sub(now_ms);
    u32::try_from(left_ms / action_ms)
        .unwrap_or(u32::MAX)
        .max(1)
}

#[derive(Debug, Default)]
struct Load {
    remaining: u32,
    rounds: u32,
    needs_vms: u32,
    stuck_pools: u32,
}

impl Load {
    fn add(&mut self, due: u32, slots: u32, rounds_left: u32) {
        self.remaining += due;
        if due == 0 {
            return;
        }
        self.needs_vms += due.div_ceil(rounds_left).saturating_sub(slots);
        if slots == 0 {
            self.stuck_pools += 1;
            return;
        }
        self.rounds = self.rounds.max(due.div_ceil(slots));
    }
}
