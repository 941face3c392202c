//! Age of an idempotency key, from the key itself or a header.

/// Maximum clock skew of a caller, in milliseconds.
const MAX_SKEW_MS: u64 = 60_000;

/// The skew is at most the retention of keys divided by this.
const SKEW_DIVISOR: u64 = 10;

/// Hexadecimal digits of the 48-bit timestamp of a version 7 UUID.
const UUID_TIME_DIGITS: usize = 12;

/// Result of checking the age of a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyAge {
    /// The key has no time, or one within the retention of keys.
    Valid,
    /// An earlier attempt may no longer be recorded.
    Expired,
    /// The time is ahead of this node's clock by more than the allowed skew.
    InFuture,
}

/// Checks the time at which a key was first used against the retention of keys.
///
/// A key that is no longer recorded looks like a new one, and its request would run twice. The skew
/// of the caller's clock is added, so that a key is refused before it can have been removed.
#[must_use]
pub fn check_key_age(issued_ms: Option<u64>, now_ms: u64, retention_ms: u64) -> KeyAge {
    let Some(issued_ms) = issued_ms else {
        return KeyAge::Valid;
    };
    let skew_ms = MAX_SKEW_MS.min(retention_ms / SKEW_DIVISOR);
    if issued_ms > now_ms.saturating_add(skew_ms) {
        return KeyAge::InFuture;
    }
    if now_ms.saturating_add(skew_ms) > issued_ms.saturating_add(retention_ms) {
        return KeyAge::Expired;
    }
    KeyAge::Valid
}

/// Returns the timestamp of a key that is a version 7 UUID, in milliseconds since the epoch.
#[must_use]
pub fn uuid_v7_timestamp_ms(key: &str) -> Option<u64> {
    let bytes = key.as_bytes();
    let is_uuid = bytes.len() == 36
        && bytes.iter().enumerate().all(|(index, byte)| match index {
            8 | 13 | 18 | 23 => *byte == b'-',
            _ => byte.is_ascii_hexdigit(),
        });
    if !is_uuid || bytes[14] != b'7' {
        return None;
    }
    let digits: String = key.chars().filter(|digit| *digit != '-').collect();
    u64::from_str_radix(&digits[..UUID_TIME_DIGITS], 16).ok()
}
