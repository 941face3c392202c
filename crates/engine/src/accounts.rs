//! Client accounts as operators have configured them, and the keys by which callers are known.

use {
    crate::job::Resources,
    compact_str::CompactString,
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::fmt,
};

/// Bytes of a key's digest.
const DIGEST_BYTES: usize = 32;

/// Bytes of the digest that identify a key in logs.
const FINGERPRINT_BYTES: usize = 4;

/// Digest of a caller's key.
///
/// Keys are looked up by digest, so that neither the time of a comparison nor what is logged or sent
/// between nodes tells anything of a key.
#[derive(Clone, Copy, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Digests a key.
    #[must_use]
    pub fn new(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

/// Writes the fingerprint, by which the key is known in logs.
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

/// Why a request's key is none.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyError {
    /// The request carries no key.
    Missing,
    /// The key is empty.
    Empty,
    /// The request carries several keys.
    Repeated,
    /// The key is longer than any that is taken.
    TooLong,
    /// The key has other characters than visible ASCII.
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
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
    /// Jobs a second that are its share when there is not room for everybody.
    pub weight: f64,
    /// Most that it may have running at once on all endpoints; 0 is no limit.
    pub quota: Resources,
}

impl ClientAccount {
    /// Tells whether runs that take this room together fit into the quota.
    #[must_use]
    pub fn may_ever_run(&self, resources: &Resources) -> bool {
        !exceeds_quota(resources, &self.quota)
    }
}

/// Tells whether a room is larger than a quota, of which 0 is no limit.
pub(crate) fn exceeds_quota(resources: &Resources, quota: &Resources) -> bool {
    let exceeds = |amount: u64, quota: u64| quota > 0 && amount > quota;
    exceeds(resources.cpu_millis, quota.cpu_millis)
        || exceeds(resources.memory_mb, quota.memory_mb)
        || exceeds(resources.gpus, quota.gpus)
}

/// A key that two accounts hold.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SharedKey {
    /// Key.
    pub key: KeyDigest,
    /// Account that the key stands for.
    pub holder: CompactString,
    /// Account that the key does not stand for.
    pub ignored_account: CompactString,
}

/// Client accounts, sorted by name, and whose each key is.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ClientAccounts {
    accounts: Vec<ClientAccount>,
    /// Keys in order, with the place of the account that each stands for.
    keys: Vec<(KeyDigest, u32)>,
}

impl ClientAccounts {
    /// Sorts accounts by name and indexes their keys.
    ///
    /// A key of several accounts stands for the first by name, and of several accounts with one name
    /// the first counts, so that every node decides alike.
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

    /// Returns the keys that several accounts hold.
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

    /// Returns the account that a key stands for.
    #[must_use]
    pub fn holder_of(&self, key: &KeyDigest) -> Option<&ClientAccount> {
        let index = self.keys.binary_search_by_key(key, |(known, _)| *known);
        let (_, account) = self.keys[index.ok()?];
        self.accounts.get(usize::try_from(account).ok()?)
    }

    /// Returns the account with a name.
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

    /// Returns how many accounts there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Tells whether there is no account.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}
