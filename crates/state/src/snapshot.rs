//! Encoding of the state for snapshots.

use {
    crate::fleet::FleetState,
    std::{error, fmt},
};

/// Failure to encode or decode a snapshot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SnapshotError {
    /// The state could not be encoded.
    Encode {
        /// Error message of the codec.
        reason: String,
    },
    /// The bytes could not be decoded into a state.
    Decode {
        /// Error message of the codec.
        reason: String,
    },
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Encode { reason } => write!(formatter, "cannot encode the state: {reason}"),
            Self::Decode { reason } => write!(formatter, "cannot decode the state: {reason}"),
        }
    }
}

impl error::Error for SnapshotError {}

/// Encodes a state.
///
/// # Errors
///
/// Returns [`SnapshotError::Encode`] if the codec fails.
pub fn encode_snapshot(state: &FleetState) -> Result<Vec<u8>, SnapshotError> {
    rmp_serde::to_vec(state).map_err(|error| SnapshotError::Encode {
        reason: error.to_string(),
    })
}

/// Decodes a state.
///
/// # Errors
///
/// Returns [`SnapshotError::Decode`] if the bytes are not an encoded state.
pub fn decode_snapshot(bytes: &[u8]) -> Result<FleetState, SnapshotError> {
    rmp_serde::from_slice(bytes).map_err(|error| SnapshotError::Decode {
        reason: error.to_string(),
    })
}
