//! Resource usage of client accounts, compared with their quotas.
//!
//! A run counts from the decision to start it until its end is known. This includes pending orders,
//! unanswered orders and runs that are being stopped.

use {
    crate::{
        accounts::{ClientAccounts, exceeds_quota},
        event::Now,
        fair_share::{AccountDemand, fair_level},
        job::Resources,
    },
    compact_str::CompactString,
};

/// Minimum interval between log events of one account about the same kind of wait, in milliseconds.
const LOG_INTERVAL_MS: u64 = 1_000;

/// Identifies a client account within an engine.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct AccountNumber(u32);

/// Usage and limits of one account.
#[derive(Clone, Debug, Default)]
struct AccountUse {
    name: CompactString,
    /// Maximum usage; 0 means unlimited.
    quota: Resources,
    running: Resources,
    /// Weight of the account's fair share.
    weight: f64,
    /// Number of jobs in progress.
    jobs: usize,
    /// When a wait for the quota was last logged, on the monotonic clock.
    quota_logged_ms: Option<u64>,
    /// When a wait for the fair share was last logged, on the monotonic clock.
    share_logged_ms: Option<u64>,
    is_configured: bool,
}

/// Remaining part of a quota; `None` for an unlimited dimension.
#[derive(Clone, Copy, Debug)]
struct RemainingQuota {
    cpu_millis: Option<u64>,
    memory_mb: Option<u64>,
    gpus: Option<u64>,
}

impl RemainingQuota {
    fn startable_runs(&self, resources: &Resources) -> u64 {
        let dimensions = [
            (self.cpu_millis, resources.cpu_millis),
            (self.memory_mb, resources.memory_mb),
            (self.gpus, resources.gpus),
        ];
        dimensions
            .into_iter()
            .filter_map(|(left, amount)| left?.checked_div(amount))
            .min()
            .unwrap_or(u64::MAX)
    }

    fn take(&mut self, resources: &Resources) {
        let less =
            |left: &mut Option<u64>, amount| *left = left.map(|left| left.saturating_sub(amount));
        less(&mut self.cpu_millis, resources.cpu_millis);
        less(&mut self.memory_mb, resources.memory_mb);
        less(&mut self.gpus, resources.gpus);
    }
}

/// Remaining quotas of all accounts while waiting work is counted.
#[derive(Clone, Debug)]
pub struct RemainingQuotas {
    rows: Vec<RemainingQuota>,
}

impl RemainingQuotas {
    /// Takes up to `count` runs of `resources` each as far as the quota allows, and returns their
    /// number.
    pub fn take(&mut self, number: AccountNumber, resources: &Resources, count: u64) -> u64 {
        let left = &mut self.rows[row_index(number)];
        let taken = left.startable_runs(resources).min(count);
        left.take(&resources.scaled(taken));
        taken
    }
}

impl AccountUse {
    fn remaining(&self) -> RemainingQuota {
        let Self { quota, running, .. } = self;
        let left = |quota: u64, running| (quota > 0).then(|| quota.saturating_sub(running));
        RemainingQuota {
            cpu_millis: left(quota.cpu_millis, running.cpu_millis),
            memory_mb: left(quota.memory_mb, running.memory_mb),
            gpus: left(quota.gpus, running.gpus),
        }
    }

    /// Returns the demand of the account, in thousandths of a core.
    fn demand(&self) -> AccountDemand {
        let held = millis(self.running.cpu_millis);
        AccountDemand {
            weight: self.weight,
            held,
            wanted: held,
        }
    }

    fn is_unused(&self) -> bool {
        !self.is_configured && self.jobs == 0 && self.running == Resources::default()
    }
}

/// Resource usage of all accounts.
///
/// Jobs without an account share number 0, which has no limit.
#[derive(Clone, Debug)]
pub struct QuotaTracker {
    rows: Vec<AccountUse>,
    /// Numbers in use, sorted by name, without number 0.
    by_name: Vec<AccountNumber>,
    unused: Vec<AccountNumber>,
}

impl Default for QuotaTracker {
    fn default() -> Self {
        Self {
            rows: vec![AccountUse::default()],
            by_name: Vec::new(),
            unused: Vec::new(),
        }
    }
}

impl QuotaTracker {
    /// Applies the quotas of a configuration.
    ///
    /// An account that is no longer configured is unlimited until its jobs have ended.
    pub fn configure(&mut self, accounts: &ClientAccounts) {
        for row in &mut self.rows[1..] {
            row.is_configured = false;
            row.quota = Resources::default();
        }
        for account in accounts.iter() {
            let number = self.number(&account.name);
            let row = self.row_mut(number);
            row.is_configured = true;
            row.quota = account.quota;
            row.weight = account.weight;
        }
        let numbers = self.by_name.clone();
        for number in numbers {
            self.forget_if_unused(number);
        }
    }

    /// Returns the number of an account, adding the account if needed. An empty name means no
    /// account.
    pub fn number(&mut self, name: &str) -> AccountNumber {
        if name.is_empty() {
            return AccountNumber::default();
        }
        match self.search(name) {
            Ok(index) => self.by_name[index],
            Err(index) => {
                let number = self.unused.pop().unwrap_or_else(|| {
                    self.rows.push(AccountUse::default());
                    AccountNumber(u32::try_from(self.rows.len() - 1).unwrap_or_default())
                });
                self.row_mut(number).name = name.into();
                self.by_name.insert(index, number);
                number
            }
        }
    }

    /// Returns the number of an account if it is known.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<AccountNumber> {
        if name.is_empty() {
            return Some(AccountNumber::default());
        }
        let index = self.search(name).ok()?;
        Some(self.by_name[index])
    }

    /// Adds a job in progress.
    pub fn add_job(&mut self, number: AccountNumber) {
        self.row_mut(number).jobs += 1;
    }

    /// Removes a job in progress.
    pub fn remove_job(&mut self, number: AccountNumber) {
        let row = self.row_mut(number);
        row.jobs = row.jobs.saturating_sub(1);
        self.forget_if_unused(number);
    }

    /// Counts a run from the decision to start it.
    pub fn charge(&mut self, number: AccountNumber, resources: &Resources) {
        self.row_mut(number).running.add(resources);
    }

    /// Stops counting a run that has ended.
    pub fn release(&mut self, number: AccountNumber, resources: &Resources) {
        let row = self.row_mut(number);
        row.running = row.running.saturating_sub(resources);
    }

    /// Returns how many runs of `resources` each the account may start now.
    #[must_use]
    pub fn startable_runs(&self, number: AccountNumber, resources: &Resources) -> u64 {
        self.row(number).remaining().startable_runs(resources)
    }

    /// Returns the remaining quotas of all accounts.
    #[must_use]
    pub fn remaining(&self) -> RemainingQuotas {
        RemainingQuotas {
            rows: self.rows.iter().map(AccountUse::remaining).collect(),
        }
    }

    /// Returns whether to log that tasks wait for the quota of an account, and limits the rate of
    /// such events.
    pub fn should_log_quota_wait(&mut self, number: AccountNumber, now: Now) -> bool {
        is_log_due(&mut self.row_mut(number).quota_logged_ms, now)
    }

    /// Returns whether to log that tasks wait for the fair share of an account, and limits the rate
    /// of such events.
    pub fn should_log_share_wait(&mut self, number: AccountNumber, now: Now) -> bool {
        is_log_due(&mut self.row_mut(number).share_logged_ms, now)
    }

    /// Returns whether an account exceeds its quota, for example after a reduction.
    #[must_use]
    pub fn is_exceeded(&self, number: AccountNumber) -> bool {
        let AccountUse { quota, running, .. } = self.row(number);
        exceeds_quota(running, quota)
    }

    /// Returns the accounts whose demand is counted at the fair level, sorted, each with its fair
    /// share in thousandths of a core. `waiting` is the waiting work of each account, and
    /// `free_cpu_millis` the capacity available for it.
    #[must_use]
    pub fn fair_shares(
        &self,
        waiting: &[(AccountNumber, u64)],
        free_cpu_millis: u64,
        is_counted: impl Fn(&AccountDemand, f64) -> bool,
    ) -> Vec<(AccountNumber, f64)> {
        let mut demands: Vec<AccountDemand> = self.rows.iter().map(AccountUse::demand).collect();
        for &(number, cpu_millis) in waiting {
            demands[row_index(number)].wanted += millis(cpu_millis);
        }
        let level = fair_level(&demands, millis(free_cpu_millis));
        (0..)
            .map(AccountNumber)
            .zip(demands)
            .skip(1)
            .filter(|(_, demand)| is_counted(demand, level))
            .map(|(number, demand)| (number, demand.share(level)))
            .collect()
    }

    /// Returns whether an account uses at least `cpu_millis`, in thousandths of a core.
    #[must_use]
    pub fn has_running(&self, number: AccountNumber, cpu_millis: f64) -> bool {
        millis(self.running(number).cpu_millis) >= cpu_millis
    }

    /// Returns how much less than `cpu_millis` an account uses, in thousandths of a core.
    #[must_use]
    pub fn missing_cpu_millis(&self, number: AccountNumber, cpu_millis: f64) -> u64 {
        let missing = cpu_millis - millis(self.running(number).cpu_millis);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "rounded down, and never negative"
        )]
        let missing = missing.max(0.0) as u64;
        missing
    }

    /// Returns the name of an account; empty for none.
    #[must_use]
    pub fn name(&self, number: AccountNumber) -> &CompactString {
        &self.row(number).name
    }

    /// Returns the quota of an account; 0 means unlimited.
    #[must_use]
    pub fn quota(&self, number: AccountNumber) -> Resources {
        self.row(number).quota
    }

    /// Returns the resources that an account uses.
    #[must_use]
    pub fn running(&self, number: AccountNumber) -> Resources {
        self.row(number).running
    }

    /// Returns the resources that the account with this name uses.
    #[must_use]
    pub fn running_resources(&self, name: &str) -> Resources {
        let index = self.search(name);
        index.map_or_else(
            |_| Resources::default(),
            |index| self.running(self.by_name[index]),
        )
    }

    /// Returns the numbers of all known accounts, sorted by name.
    #[must_use]
    pub fn numbers(&self) -> &[AccountNumber] {
        &self.by_name
    }

    fn search(&self, name: &str) -> Result<usize, usize> {
        self.by_name
            .binary_search_by(|&number| self.row(number).name.as_str().cmp(name))
    }

    fn forget_if_unused(&mut self, number: AccountNumber) {
        if number == AccountNumber::default() || !self.row(number).is_unused() {
            return;
        }
        if let Ok(index) = self.search(&self.row(number).name) {
            self.by_name.remove(index);
            *self.row_mut(number) = AccountUse::default();
            self.unused.push(number);
        }
    }

    fn row(&self, number: AccountNumber) -> &AccountUse {
        &self.rows[row_index(number)]
    }

    fn row_mut(&mut self, number: AccountNumber) -> &mut AccountUse {
        &mut self.rows[row_index(number)]
    }
}

fn is_log_due(logged_ms: &mut Option<u64>, now: Now) -> bool {
    let is_log_due = logged_ms.is_none_or(|ms| now.steady_ms >= ms + LOG_INTERVAL_MS);
    if is_log_due {
        *logged_ms = Some(now.steady_ms);
    }
    is_log_due
}

#[expect(clippy::cast_precision_loss, reason = "far below what fits exactly")]
fn millis(cpu_millis: u64) -> f64 {
    cpu_millis as f64
}

fn row_index(number: AccountNumber) -> usize {
    usize::try_from(number.0).unwrap_or_default()
}
