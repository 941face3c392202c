//! Forecast of a wave's completion against its deadline.

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

/// Assumed duration of an action before any was observed, in milliseconds.
const DEFAULT_ACTION_MS: u64 = 5 * 60 * 1_000;

/// Expected completion of a wave.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outlook {
    /// Every VM is maintained.
    Complete,
    /// Finishes by its deadline, if it has one.
    InTime {
        /// Expected completion, in milliseconds since the epoch.
        finish_ms: u64,
    },
    /// Cannot finish by its deadline under the budgets.
    Late {
        /// Expected completion, in milliseconds since the epoch.
        finish_ms: u64,
        /// Additional VMs that the pools need to finish by the deadline.
        missing_vms: u32,
    },
    /// Never finishes, since the budgets of some pools allow no VM out of service.
    NoBudget {
        /// Pools whose budget is exhausted.
        blocked_pools: u32,
        /// Additional VMs that the pools need.
        missing_vms: u32,
    },
    /// The operator paused or aborted it.
    Stopped,
    /// It halted on failures.
    Halted(WaveHealth),
}

/// Remaining work of a wave and its expected completion.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Forecast {
    /// VMs still to maintain.
    pub remaining: u32,
    /// Expected completion.
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
                missing_vms,
            } => write!(
                formatter,
                "cannot finish in time under this budget: needs {missing_vms} more VMs or until \
                 {finish_ms}"
            ),
            Outlook::NoBudget {
                blocked_pools,
                missing_vms,
            } => write!(
                formatter,
                "cannot finish under this budget: VMs needed: {missing_vms}, in pools: {blocked_pools}"
            ),
            Outlook::Stopped => write!(formatter, "stopped by the operator"),
            Outlook::Halted(health) => write!(formatter, "halted: {}", health.as_str()),
        }
    }
}

/// Forecasts a wave from the pools' budgets and the mean duration of its actions.
#[must_use]
pub fn forecast(state: &FleetState, wave: &WaveState, now_ms: u64) -> Forecast {
    let view = FleetView::new(state);
    let action_ms = wave
        .total_action_ms
        .checked_div(u64::from(wave.done))
        .map_or(DEFAULT_ACTION_MS, |mean_ms| mean_ms.max(1));
    let mut work = RemainingWork::default();
    for index in member_pools(&view, wave) {
        let pool = &view.pools[index];
        let due = pool.vms.iter().filter(|vm| is_due(wave, vm)).count();
        let due = u32::try_from(due).unwrap_or(u32::MAX);
        let claimed: u32 = pool.state.claimed_zones.iter().map(|row| row.1).sum();
        let concurrency = pool.state.availability().spare_vms() + claimed;
        work.add(
            due,
            concurrency,
            rounds_before_deadline(wave, now_ms, action_ms),
        );
    }
    Forecast {
        remaining: work.remaining,
        outlook: outlook(&view, wave, &work, now_ms, action_ms),
    }
}

fn outlook(
    view: &FleetView<'_>,
    wave: &WaveState,
    work: &RemainingWork,
    now_ms: u64,
    action_ms: u64,
) -> Outlook {
    let health = WaveHealth::new(view, wave);
    let finish_ms = now_ms + u64::from(work.rounds) * action_ms;
    if work.remaining == 0 {
        return Outlook::Complete;
    }
    if wave.spec.goal != WaveGoal::Run {
        return Outlook::Stopped;
    }
    if !health.can_continue() {
        return Outlook::Halted(health);
    }
    if work.blocked_pools > 0 {
        return Outlook::NoBudget {
            blocked_pools: work.blocked_pools,
            missing_vms: work.missing_vms.max(work.blocked_pools),
        };
    }
    if wave.spec.deadline_ms > 0 && finish_ms > wave.spec.deadline_ms {
        return Outlook::Late {
            finish_ms,
            missing_vms: work.missing_vms,
        };
    }
    Outlook::InTime { finish_ms }
}

/// Returns how many consecutive actions fit before the deadline, at least one.
fn rounds_before_deadline(wave: &WaveState, now_ms: u64, action_ms: u64) -> u32 {
    if wave.spec.deadline_ms == 0 {
        return u32::MAX;
    }
    let left_ms = wave.spec.deadline_ms.saturating_sub(now_ms);
    u32::try_from(left_ms / action_ms)
        .unwrap_or(u32::MAX)
        .max(1)
}

/// Work that remains in all pools of a wave.
#[derive(Debug, Default)]
struct RemainingWork {
    remaining: u32,
    rounds: u32,
    missing_vms: u32,
    blocked_pools: u32,
}

impl RemainingWork {
    fn add(&mut self, due: u32, concurrency: u32, rounds_available: u32) {
        self.remaining += due;
        if due == 0 {
            return;
        }
        self.missing_vms += due.div_ceil(rounds_available).saturating_sub(concurrency);
        if concurrency == 0 {
            self.blocked_pools += 1;
            return;
        }
        self.rounds = self.rounds.max(due.div_ceil(concurrency));
    }
}
