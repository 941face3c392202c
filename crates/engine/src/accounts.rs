//! Client accounts as configured by operators, and the keys that identify callers.

use {
    crate::job::Resources,
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::fmt,
};

/// Length of a key digest, in bytes.
const DIGEST_BYTES: usize = 32;

/// Length of the digest prefix that identifies a key in logs, in bytes.
const FINGERPRINT_BYTES: usize = 4;

/// Digest of a caller's key.
///
/// Keys are looked up by digest, so that neither comparison times nor logs and messages between
/// nodes reveal a key.
#[derive(Clone, Copy, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Computes the digest of a key.
    #[must_use]
    pub fn new(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

/// Writes the fingerprint, which identifies the key in logs.
impl fmt::Display for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0[..FINGERPRINT_BYTES]
            .iter()
            .try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "KeyDigest({self})")
    }
}

/// Why a request has no valid key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyError {
    /// The request carries no key.
    Missing,
    /// The key is empty.
    Empty,
    /// The request carries more than one key.
    Repeated,
    /// The key exceeds the maximum length.
    TooLong,
    /// The key contains characters other than visible ASCII.
    NotAscii,
}

impl fmt::Display for KeyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Missing => "no key",
            Self::Empty => "an empty key",
            Self::Repeated => "several keys",
            Self::TooLong => "a key that is too long",
            Self::NotAscii => "a key with characters other than visible ASCII",
        })
    }
}

/// A client account.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ClientAccount {
    /// Name.
    pub name: CompactString,
    /// Digests of the account's keys.
    pub keys: Vec<KeyDigest>,
    /// Weight of the account's fair share while capacity is short, in jobs per second.
    pub weight: f64,
    /// Maximum resources in use at once on all endpoints; 0 means unlimited.
    pub quota: Resources,
}

impl ClientAccount {
    /// Returns whether runs with this total fit into the quota.
    #[must_use]
    pub fn fits_quota(&self, resources: &Resources) -> bool {
        !exceeds_quota(resources, &self.quota)
    }
}

/// Returns whether `resources` exceeds a quota, where 0 means unlimited.
pub(crate) fn exceeds_quota(resources: &Resources, quota: &Resources) -> bool {
    let exceeds = |amount: u64, quota: u64| quota > 0 && amount > quota;
    exceeds(resources.cpu_millis, quota.cpu_millis)
        || exceeds(resources.memory_mb, quota.memory_mb)
        || exceeds(resources.gpus, quota.gpus)
}

/// A key configured for two accounts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SharedKey {
    /// Digest of the key.
    pub key: KeyDigest,
    /// Account that the key identifies.
    pub holder: CompactString,
    /// Account that the key does not identify.
    pub ignored_account: CompactString,
}

/// Client accounts sorted by name, with an index of their keys.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ClientAccounts {
    accounts: Vec<ClientAccount>,
    /// Sorted keys, each with the index of its account.
    keys: Vec<(KeyDigest, u32)>,
}

impl ClientAccounts {
    /// Sorts accounts by name and indexes their keys.
    ///
    /// A key of several accounts identifies the first one by name, and of several accounts with the
    /// same name the first one is kept, so that all nodes agree.
    #[must_use]
    pub fn new(mut accounts: Vec<ClientAccount>) -> Self {
        accounts.sort_by(|one, other| one.name.cmp(&other.name));
        accounts.dedup_by(|later, earlier| later.name == earlier.name);
        let mut keys: Vec<(KeyDigest, u32)> = accounts
            .iter()
            .zip(0_u32..)
            .flat_map(|(account, index)| account.keys.iter().map(move |&key| (key, index)))
            .collect();
        keys.sort_unstable();
        keys.dedup_by_key(|(key, _)| *key);
        Self { accounts, keys }
    }

    /// Returns the keys configured for more than one account.
    #[must_use]
    pub fn shared_keys(&self) -> Vec<SharedKey> {
        let mut shared = Vec::new();
        for account in &self.accounts {
            for &key in &account.keys {
                let holder = self.holder_of(&key);
                if let Some(holder) = holder.filter(|holder| holder.name != account.name) {
                    shared.push(SharedKey {
                        key,
                        holder: holder.name.clone(),
                        ignored_account: account.name.clone(),
                    });
                }
            }
        }
        shared
    }

    /// Returns the account that a key identifies.
    #[must_use]
    pub fn holder_of(&self, key: &KeyDigest) -> Option<&ClientAccount> {
        let index = self.keys.binary_search_by_key(key, |(known, _)| *known);
        let (_, account) = self.keys[index.ok()?];
        self.accounts.get(usize::try_from(account).ok()?)
    }

    /// Returns the account with the given name.
    #[must_use]
    pub fn named(&self, name: &str) -> Option<&ClientAccount> {
        let index = self
            .accounts
            .binary_search_by(|account| account.name.as_str().cmp(name));
        index.ok().map(|index| &self.accounts[index])
    }

    /// Returns the accounts, sorted by name.
    pub fn iter(&self) -> impl Iterator<Item = &ClientAccount> {
        self.accounts.iter()
    }

    /// Returns the number of accounts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Returns whether there are no accounts.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}
