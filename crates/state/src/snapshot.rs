//! Encoded form of the state, for snapshots.

use {
    crate::fleet::FleetState,
    std::{error, fmt},
};

/// Failure to write or read a snapshot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SnapshotError {
    /// The state could not be encoded.
    Encode {
        /// What the codec said.
        reason: String,
    },
    /// The bytes are no state.
    Decode {
        /// What the codec said.
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

/// Encodes the state.
///
/// # Errors
///
/// Fails when the codec does.
pub fn encode_snapshot(state: &FleetState) -> Result<Vec<u8>, SnapshotError> {
    rmp_serde::to_vec(state).map_err(|error| SnapshotError::Encode {
        reason: error.to_string(),
    })
}

/// Decodes a state.
///
/// # Errors
///
/// Fails when the bytes are no state.
pub fn decode_snapshot(bytes: &[u8]) -> Result<FleetState, SnapshotError> {
    rmp_serde::from_slice(bytes).map_err(|error| SnapshotError::Decode {
        reason: error.to_string(),
    })
}
