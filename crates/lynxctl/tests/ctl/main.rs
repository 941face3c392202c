//! Tests of the operators' command.

mod commands;
mod common;
mod declarations;
mod examples;
mod servers;
