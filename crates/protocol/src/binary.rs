//! Serialization of byte vectors as one binary value instead of a sequence of numbers.
//!
//! In a sequence, each byte from 128 on takes two bytes, and each byte costs a serializer call.

use {
    serde::{
        Deserializer, Serializer,
        de::{Error, SeqAccess, Visitor},
    },
    std::fmt,
};

/// Maximum preallocation for a sequence, since its announced length is untrusted.
const MAX_PREALLOCATED_BYTES: usize = 4_096;

/// Serializes bytes as a binary value.
pub(crate) fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(bytes)
}

/// Deserializes bytes from a binary value, or from the sequence of numbers of earlier versions.
pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
    deserializer.deserialize_byte_buf(BytesVisitor)
}

struct BytesVisitor;

impl<'de> Visitor<'de> for BytesVisitor {
    type Value = Vec<u8>;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("bytes")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Self::Value, E> {
        Ok(bytes.to_vec())
    }

    fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<Self::Value, E> {
        Ok(bytes)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Self::Value, A::Error> {
        let size_hint = list.size_hint().unwrap_or(0).min(MAX_PREALLOCATED_BYTES);
        let mut bytes = Vec::with_capacity(size_hint);
        while let Some(byte) = list.next_element()? {
            bytes.push(byte);
        }
        Ok(bytes)
    }
}

/// Serialization of a sequence of byte vectors, each as a binary value.
pub(crate) mod list {
    use serde::{
        Deserialize, Deserializer, Serialize, Serializer,
        de::{SeqAccess, Visitor},
    };

    /// Deserialized element.
    #[derive(Deserialize)]
    #[serde(transparent)]
    struct Owned(#[serde(with = "super")] Vec<u8>);

    /// Element to be serialized.
    #[derive(Serialize)]
    #[serde(transparent)]
    struct Borrowed<'a>(#[serde(serialize_with = "super::serialize")] &'a [u8]);

    /// Serializes the elements.
    pub(crate) fn serialize<S: Serializer>(
        values: &[Vec<u8>],
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(values.iter().map(|value| Borrowed(value)))
    }

    /// Deserializes the elements.
    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<Vec<u8>>, D::Error> {
        deserializer.deserialize_seq(ListVisitor)
    }

    struct ListVisitor;

    impl<'de> Visitor<'de> for ListVisitor {
        type Value = Vec<Vec<u8>>;

        fn expecting(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
            formatter.write_str("a list of bytes")
        }

        fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Self::Value, A::Error> {
            let mut values = Vec::new();
            while let Some(Owned(value)) = list.next_element()? {
                values.push(value);
            }
            Ok(values)
        }
    }
}
