//! Binary codec for records and messages, with size limits.

use {
    crate::{record::Record, snapshot::SnapshotChunk},
    serde::{Serialize, de::DeserializeOwned},
    std::{error, fmt},
};

/// Maximum size of an encoded record in bytes.
pub const MAX_RECORD_BYTES: usize = 64 * 1024;

/// Maximum size of an encoded message in bytes.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// Encoding or decoding error.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CodecError {
    /// The encoded value exceeds its size limit.
    TooLarge {
        /// Encoded size in bytes.
        size_bytes: usize,
        /// Size limit in bytes.
        limit_bytes: usize,
    },
    /// The value cannot be encoded.
    Encode {
        /// Error message of the codec.
        reason: String,
    },
    /// The bytes do not encode a value of the type.
    Decode {
        /// Error message of the codec.
        reason: String,
    },
}

impl fmt::Display for CodecError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge {
                size_bytes,
                limit_bytes,
            } => {
                write!(
                    formatter,
                    "{size_bytes} bytes exceed the bound of {limit_bytes}"
                )
            }
            Self::Encode { reason } => write!(formatter, "cannot encode: {reason}"),
            Self::Decode { reason } => write!(formatter, "cannot decode: {reason}"),
        }
    }
}

impl error::Error for CodecError {}

/// Encodes a record.
///
/// # Errors
///
/// Fails when the record exceeds [`MAX_RECORD_BYTES`].
pub fn encode_record(record: &Record) -> Result<Vec<u8>, CodecError> {
    encode_bounded(record, MAX_RECORD_BYTES)
}

/// Decodes a record.
///
/// # Errors
///
/// Fails when the bytes exceed the size limit or do not encode a record.
pub fn decode_record(bytes: &[u8]) -> Result<Record, CodecError> {
    decode_bounded(bytes, MAX_RECORD_BYTES)
}

/// Encodes a chunk of a snapshot.
///
/// # Errors
///
/// Fails when the chunk exceeds [`MAX_RECORD_BYTES`].
pub fn encode_chunk(chunk: &SnapshotChunk) -> Result<Vec<u8>, CodecError> {
    encode_bounded(chunk, MAX_RECORD_BYTES)
}

/// Decodes a chunk of a snapshot.
///
/// # Errors
///
/// Fails when the bytes exceed the size limit or do not encode a chunk.
pub fn decode_chunk(bytes: &[u8]) -> Result<SnapshotChunk, CodecError> {
    decode_bounded(bytes, MAX_RECORD_BYTES)
}

/// Encodes a message with field names, so that later versions can add fields.
///
/// # Errors
///
/// Fails when the message exceeds [`MAX_MESSAGE_BYTES`].
pub fn encode_message<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    let bytes = rmp_serde::to_vec_named(message).map_err(|error| CodecError::Encode {
        reason: error.to_string(),
    })?;
    check_size(bytes.len(), MAX_MESSAGE_BYTES)?;
    Ok(bytes)
}

/// Encodes a message without field names.
///
/// For frequent messages whose sender and receiver have a fallback if their versions differ.
///
/// # Errors
///
/// Fails when the message exceeds [`MAX_MESSAGE_BYTES`].
pub fn encode_compact_message<T: Serialize>(message: &T) -> Result<Vec<u8>, CodecError> {
    encode_bounded(message, MAX_MESSAGE_BYTES)
}

/// Decodes a message, with or without field names.
///
/// # Errors
///
/// Fails when the bytes exceed the size limit or do not encode a message of the type.
pub fn decode_message<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    decode_bounded(bytes, MAX_MESSAGE_BYTES)
}

fn encode_bounded<T: Serialize>(value: &T, limit_bytes: usize) -> Result<Vec<u8>, CodecError> {
    let bytes = rmp_serde::to_vec(value).map_err(|error| CodecError::Encode {
        reason: error.to_string(),
    })?;
    check_size(bytes.len(), limit_bytes)?;
    Ok(bytes)
}

fn decode_bounded<T: DeserializeOwned>(bytes: &[u8], limit_bytes: usize) -> Result<T, CodecError> {
    check_size(bytes.len(), limit_bytes)?;
    rmp_serde::from_slice(bytes).map_err(|error| CodecError::Decode {
        reason: error.to_string(),
    })
}

fn check_size(size_bytes: usize, limit_bytes: usize) -> Result<(), CodecError> {
    if size_bytes > limit_bytes {
        return Err(CodecError::TooLarge {
            size_bytes,
            limit_bytes,
        });
    }
    Ok(())
}
