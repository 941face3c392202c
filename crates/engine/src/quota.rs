//! What each client account has running, against its quota.
//!
//! A run counts from the decision to start it until its end is known, so orders under way, orders
//! without answer and runs that are being stopped count as running.

use {
    crate::{
        accounts::{ClientAccounts, exceeds_quota},
        event::Now,
        fair_share::{Claim, fair_level},
        job::Resources,
    },
    compact_str::CompactString,
};

/// Time between two notes that tasks of one account wait for the same reason, in milliseconds.
const LOG_INTERVAL_MS: u64 = 1_000;

/// Number of a client account within one engine.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct AccountNumber(u32);

/// What one account may have running, and has.
#[derive(Clone, Debug, Default)]
struct AccountUse {
    name: CompactString,
    /// Most that may run at once; 0 is no limit.
    quota: Resources,
    running: Resources,
    /// Its part of the room when there is not enough for all.
    weight: f64,
    /// Jobs in progress.
    jobs: usize,
    /// When it was noted last that tasks wait for the quota, on the steady clock.
    quota_logged_ms: Option<u64>,
    /// When it was noted last that tasks wait as the share is reached, on the steady clock.
    share_logged_ms: Option<u64>,
    is_configured: bool,
}

/// What is left of a quota; nothing for a dimension without a limit.
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

/// What is left of every quota while work that waits is counted.
#[derive(Clone, Debug)]
pub struct RemainingQuotas {
    rows: Vec<RemainingQuota>,
}

impl RemainingQuotas {
    /// Takes runs of this room as far as the quota lets them start, at most `count`; returns how many.
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

    /// Returns what the account has of all processors, in thousandths of a core.
    fn claim(&self) -> Claim {
        let held = millis(self.running.cpu_millis);
        Claim {
            weight: self.weight,
            held,
            wanted: held,
        }
    }

    fn is_unused(&self) -> bool {
        !self.is_configured && self.jobs == 0 && self.running == Resources::default()
    }
}

/// What every account has running.
///
/// Jobs without an account share number 0, which has no limit.
#[derive(Clone, Debug)]
pub struct QuotaTracker {
    rows: Vec<AccountUse>,
    /// Numbers in use, sorted by name; number 0 is not among them.
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
    /// Takes over the quotas of a configuration.
    ///
    /// An account that is no longer configured has no limit while its accepted jobs go on.
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

    /// Returns the number of an account, and adds the account when it is new. An empty name stands for
    /// no account.
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

    /// Counts a job in progress.
    pub fn add_job(&mut self, number: AccountNumber) {
        self.row_mut(number).jobs += 1;
    }

    /// Counts a job no more.
    pub fn remove_job(&mut self, number: AccountNumber) {
        let row = self.row_mut(number);
        row.jobs = row.jobs.saturating_sub(1);
        self.forget_if_unused(number);
    }

    /// Counts a run from its decision on.
    pub fn charge(&mut self, number: AccountNumber, resources: &Resources) {
        self.row_mut(number).running.add(resources);
    }

    /// Counts a run no more, as its end is known.
    pub fn release(&mut self, number: AccountNumber, resources: &Resources) {
        let row = self.row_mut(number);
        row.running = row.running.saturating_sub(resources);
    }

    /// Returns how many runs of this room the account may start now.
    #[must_use]
    pub fn startable_runs(&self, number: AccountNumber, resources: &Resources) -> u64 {
        self.row(number).remaining().startable_runs(resources)
    }

    /// Returns what is left of every quota.
    #[must_use]
    pub fn remaining(&self) -> RemainingQuotas {
        RemainingQuotas {
            rows: self.rows.iter().map(AccountUse::remaining).collect(),
        }
    }

    /// Tells whether it is to be noted that tasks wait for an account's quota: not too often.
    pub fn should_log_quota_wait(&mut self, number: AccountNumber, now: Now) -> bool {
        is_log_due(&mut self.row_mut(number).quota_logged_ms, now)
    }

    /// Tells whether it is to be noted that tasks wait as an account has its share: not too often.
    pub fn should_log_share_wait(&mut self, number: AccountNumber, now: Now) -> bool {
        is_log_due(&mut self.row_mut(number).share_logged_ms, now)
    }

    /// Tells whether an account has more running than its quota, as after a cut of it.
    #[must_use]
    pub fn is_exceeded(&self, number: AccountNumber) -> bool {
        let AccountUse { quota, running, .. } = self.row(number);
        exceeds_quota(running, quota)
    }

    /// Returns the accounts that want far more than their share, sorted, with the share of each in
    /// thousandths of a core; `waiting` is what waits of each account, and `free` what is free for it.
    #[must_use]
    pub fn excess_demand_shares(
        &self,
        waiting: &[(AccountNumber, u64)],
        free_cpu_millis: u64,
    ) -> Vec<(AccountNumber, f64)> {
        let mut claims: Vec<Claim> = self.rows.iter().map(AccountUse::claim).collect();
        for &(number, cpu_millis) in waiting {
            claims[row_index(number)].wanted += millis(cpu_millis);
        }
        let level = fair_level(&claims, millis(free_cpu_millis));
        (0..)
            .map(AccountNumber)
            .zip(claims)
            .skip(1)
            .filter(|(_, claim)| claim.has_excess_demand(level))
            .map(|(number, claim)| (number, claim.share(level)))
            .collect()
    }

    /// Tells whether an account has so much running, in thousandths of a core.
    #[must_use]
    pub fn has_running(&self, number: AccountNumber, cpu_millis: f64) -> bool {
        millis(self.running(number).cpu_millis) >= cpu_millis
    }

    /// Returns the name of an account; empty for none.
    #[must_use]
    pub fn name(&self, number: AccountNumber) -> &CompactString {
        &self.row(number).name
    }

    /// Returns the quota of an account; 0 is no limit.
    #[must_use]
    pub fn quota(&self, number: AccountNumber) -> Resources {
        self.row(number).quota
    }

    /// Returns what an account has running.
    #[must_use]
    pub fn running(&self, number: AccountNumber) -> Resources {
        self.row(number).running
    }

    /// Returns what the account with a name has running.
    #[must_use]
    pub fn running_resources(&self, name: &str) -> Resources {
        let index = self.search(name);
        index.map_or_else(
            |_| Resources::default(),
            |index| self.running(self.by_name[index]),
        )
    }

    /// Returns the numbers of the accounts that are known, sorted by name.
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
