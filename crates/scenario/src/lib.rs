//! Small test language for scripted stories of failures.
//!
//! A script tells in order what the platform, the operators and several nodes do. Every step
//! drives the real fold and the real decision functions against in-process stand-ins, under a
//! manual clock, so a story ends the same way every time. The expected output stands below each
//! block of steps in the script itself. After each step the [`Audit`] checks what must always
//! hold and fails the script when it does not.
//!
//! ```
//! use lynxwheel_scenario::World;
//!
//! let story = "node-1: start\nnode-1: pool maps size=2 floor=1\n---\n\
//!     node-1: 1 accepted\nnode-1: 2 accepted\n";
//! assert_eq!(goldenscript::generate(&mut World::new(), story).unwrap(), story);
//! ```

mod audit;
mod command;
mod decide;
mod declare;
mod node;
mod platform_steps;
mod records;
mod show;
mod snapshot_steps;
mod steps;
mod world;

pub use audit::Audit;
pub use command::{ActionName, ClassName, Command, FaultName, GoalName, OutcomeName};
pub use world::World;
