//! Integration tests of the resource API.

mod access;
mod common;
mod openapi;
mod operations;
mod resources;
mod watch;
