//! Age of an idempotency key, as the key or a header tells it.

/// Caller's clock may be off by this much, in milliseconds.
const MAX_SKEW_MS: u64 = 60_000;

/// Part of the keeping time that the skew may take.
const SKEW_DIVISOR: u64 = 10;

/// Digits of a UUID's time of 48 bits.
const UUID_TIME_DIGITS: usize = 12;

/// Whether a key can still be judged by the keys kept.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyAge {
    /// The key tells no time, or a time for which keys are still kept.
    Valid,
    /// An earlier attempt may have been forgotten.
    Expired,
    /// The time lies ahead of this node's clock by more than the skew allowed.
    InFuture,
}

/// Judges the time at which a key was first used.
///
/// A key that is no longer kept looks like a new one, and its request would run a second time.
/// The margin covers the caller's clock: a key is refused before it can have been forgotten.
#[must_use]
pub fn check_key_age(issued_ms: Option<u64>, now_ms: u64, keep_ms: u64) -> KeyAge {
    let Some(issued_ms) = issued_ms else {
        return KeyAge::Valid;
    };
    let skew_ms = MAX_SKEW_MS.min(keep_ms / SKEW_DIVISOR);
    if issued_ms > now_ms.saturating_add(skew_ms) {
        return KeyAge::InFuture;
    }
    if now_ms.saturating_add(skew_ms) > issued_ms.saturating_add(keep_ms) {
        return KeyAge::Expired;
    }
    KeyAge::Valid
}

/// Returns the time in a key that is a version 7 UUID, in milliseconds since the epoch.
#[must_use]
pub fn uuid_v7_timestamp_ms(key: &str) -> Option<u64> {
    let bytes = key.as_bytes();
    let is_uuid = bytes.len() == 36
        && bytes.iter().enumerate().all(|(place, byte)| match place {
            8 | 13 | 18 | 23 => *byte == b'-',
            _ => byte.is_ascii_hexdigit(),
        });
    if !is_uuid || bytes[14] != b'7' {
        return None;
    }
    let digits: String = key.chars().filter(|digit| *digit != '-').collect();
    u64::from_str_radix(&digits[..UUID_TIME_DIGITS], 16).ok()
}
