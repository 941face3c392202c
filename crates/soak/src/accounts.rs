//! Client accounts of a run: their keys change with each configuration, and so do their quotas.

use {
    lynxwheel_platform_standin::AccountSpec,
    std::sync::atomic::{AtomicU64, Ordering},
};

/// Names, with the quotas by turns, in thousandths of a core.
const ACCOUNTS: [(&str, [u64; 2]); 3] = [
    ("hall", [3_000, 7_000]),
    ("desk", [12_000, 4_000]),
    ("hotline", [0, 0]),
];

/// A key that no configuration holds.
pub const STRANGE_KEY: &str = "nobody-0";

/// Place of an account.
pub type AccountPlace = usize;

/// Number of accounts.
pub const ACCOUNT_COUNT: usize = ACCOUNTS.len();

/// Returns the most that an account may have running by any configuration; nothing for no limit.
pub fn highest_quota(account: AccountPlace) -> Option<u64> {
    ACCOUNTS[account]
        .1
        .into_iter()
        .max()
        .filter(|&most| most > 0)
}

/// What the configurations of a run say of accounts.
#[derive(Debug, Default)]
pub struct Accounts {
    round: AtomicU64,
}

impl Accounts {
    /// Begins the next round, and returns the accounts of its configuration: each keeps one of its keys,
    /// loses one and gets one.
    pub fn next_round(&self) -> Vec<AccountSpec> {
        let round = self.round.fetch_add(1, Ordering::Relaxed) + 1;
        let spec = |(name, quotas): &(&str, [u64; 2])| AccountSpec {
            name: (*name).into(),
            keys: vec![key(name, round), key(name, round + 1)],
            cpu_millis: quotas[usize::from(round.is_multiple_of(2))],
        };
        ACCOUNTS.iter().map(spec).collect()
    }

    /// Begins the last round, in which no account has a limit: whatever waits for a quota runs then, also
    /// beside long-running tasks that fill it.
    pub fn last_round(&self) -> Vec<AccountSpec> {
        let mut accounts = self.next_round();
        for account in &mut accounts {
            account.cpu_millis = 0;
        }
        accounts
    }

    /// Returns a key that the newest configuration holds, and the one before it.
    pub fn key(&self, account: AccountPlace) -> String {
        key(ACCOUNTS[account].0, self.round.load(Ordering::Relaxed))
    }
}

fn key(name: &str, round: u64) -> String {
    format!("{name}-{round}")
}
