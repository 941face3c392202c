//! Client accounts of a run, whose keys and quotas change with each configuration.

use {
    lynxwheel_platform_standin::AccountSpec,
    std::sync::atomic::{AtomicU64, Ordering},
};

/// Account names, weights, and the two CPU quotas that configurations alternate between, in
/// millicores.
const ACCOUNTS: [(&str, u32, [u64; 2]); 3] = [
    ("hall", 1, [3_000, 7_000]),
    ("desk", 2, [12_000, 4_000]),
    ("hotline", 1, [0, 0]),
];

/// A key that is in no configuration.
pub const UNKNOWN_KEY: &str = "nobody-0";

/// Index of an account in `ACCOUNTS`.
pub type AccountIndex = usize;

pub const ACCOUNT_COUNT: usize = ACCOUNTS.len();

/// Returns the name of an account.
pub fn account_name(account: AccountIndex) -> &'static str {
    ACCOUNTS[account].0
}

/// Returns the highest CPU quota of an account in any configuration, or `None` without a limit.
pub fn highest_quota(account: AccountIndex) -> Option<u64> {
    ACCOUNTS[account]
        .2
        .into_iter()
        .max()
        .filter(|&quota| quota > 0)
}

/// Generates the accounts of each configuration of a run.
#[derive(Debug, Default)]
pub struct Accounts {
    round: AtomicU64,
}

impl Accounts {
    /// Begins the next round and returns the accounts of its configuration. Each account keeps one
    /// of its keys, and another one is replaced.
    pub fn next_round(&self) -> Vec<AccountSpec> {
        let round = self.round.fetch_add(1, Ordering::Relaxed) + 1;
        let spec = |(name, weight, quotas): &(&str, u32, [u64; 2])| AccountSpec {
            name: (*name).into(),
            keys: vec![key(name, round), key(name, round + 1)],
            weight: *weight,
            cpu_millis: quotas[usize::from(round.is_multiple_of(2))],
        };
        ACCOUNTS.iter().map(spec).collect()
    }

    /// Begins the last round, in which no account has a quota, so that jobs can end whose quota is
    /// taken by long-running tasks.
    pub fn last_round(&self) -> Vec<AccountSpec> {
        let mut accounts = self.next_round();
        for account in &mut accounts {
            account.cpu_millis = 0;
        }
        accounts
    }

    /// Returns a key that is valid in the latest configuration and in the one before it.
    pub fn key(&self, account: AccountIndex) -> String {
        key(ACCOUNTS[account].0, self.round.load(Ordering::Relaxed))
    }
}

fn key(name: &str, round: u64) -> String {
    format!("{name}-{round}")
}
