//! Fuzzes the decoders of external input, which must not panic or use unbounded memory.
//!
//! Inputs are random bytes, valid values with changed, truncated or repeated bytes, and length
//! prefixes that exceed the data. The seeds are fixed, so that every run has the same inputs.

mod heads;
mod inputs;
mod messages;
mod resources;
mod settings;
