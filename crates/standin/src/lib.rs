//! Small in-memory stand-ins of the platform and the endpoints, for tests and development.
//!
//! They serve nodes of `lynxwheel run`. The stand-ins for `lynxwheel serve` are in
//! `lynxwheel_platform_standin`.
//!
//! ```
//! use lynxwheel_standin::LogService;
//!
//! let mut log = LogService::new();
//! assert_eq!(log.append("fleet", vec![b"one".to_vec()]), 1);
//! assert_eq!(log.read("fleet", 1, 10).entries.len(), 1);
//! ```

mod endpoint;
mod faults;
mod log_service;
mod machine;
mod platform;
mod proxy;
mod server;

pub use endpoint::RunEntry;
pub use faults::Faults;
pub use log_service::LogService;
pub use machine::{Machine, Task};
pub use platform::{Platform, VmTemplate};
pub use proxy::Proxy;
pub use server::{PlatformServer, REQUEST_ID_HEADER};
