//! Tests of `lynxctl`.

mod commands;
mod common;
mod declarations;
mod examples;
mod servers;
