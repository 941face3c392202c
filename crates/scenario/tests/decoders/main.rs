//! What comes from outside is decoded without a panic and in bounded memory, whatever it is.
//!
//! Inputs are random bytes, valid values with bytes changed, cut or doubled, and headers that
//! promise far more than follows. The seeds are fixed, so every run has the same inputs.

mod heads;
mod inputs;
mod messages;
mod resources;
mod settings;
