//! Test language for scripted failure scenarios.
//!
//! A script lists the steps of the platform, the operators and several nodes. The steps run the
//! production fold and decision functions against in-process stand-ins, under a manual clock, so
//! that a script always has the same outcome. The expected output follows each block of steps in
//! the script. After each step the [`Audit`] checks the invariants; a violation fails the script.
//!
//! ```
//! use lynxwheel_scenario::Simulation;
//!
//! let script = "node-1: start\nnode-1: pool maps size=2 floor=1\n---\n\
//!     node-1: 1 accepted\nnode-1: 2 accepted\n";
//! assert_eq!(goldenscript::generate(&mut Simulation::new(), script).unwrap(), script);
//! ```

mod audit;
mod command;
mod decide;
mod declare;
mod node;
mod platform_steps;
mod records;
mod show;
mod simulation;
mod snapshot_steps;
mod steps;

pub use audit::Audit;
pub use command::{ActionName, ClassName, Command, FaultName, GoalName, OutcomeName};
pub use simulation::Simulation;
