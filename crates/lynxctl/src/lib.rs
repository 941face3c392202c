//! Library of `lynxctl`, the command-line client for operators.
//!
//! ```
//! let text = "[pool notices]\nsize = 10\nbudget.min_available = 70%\n";
//! let declarations = lynxctl::parse("fleet.ini", text).unwrap();
//! assert_eq!(declarations[0].resource.reference().to_string(), "pool/notices");
//!
//! let errors = lynxctl::parse("fleet.ini", "[pool notices]\nsize = ten\n").unwrap_err();
//! assert_eq!(errors.len(), 2);
//! ```

pub mod cli;

mod apply;
mod changes;
mod client;
mod commands;
mod declarations;
mod error;
mod output;
mod watch;

pub use apply::{FieldChange, Plan, PlanStep, apply_plan, build_plan, diff_declarations};
pub use client::{ApiClient, WatchStream};
pub use commands::{TOKEN_VARIABLE, run};
pub use declarations::{
    Declaration, DeclarationError, MAX_FILE_BYTES, MAX_FILES, field_texts, format_value, load,
    parse,
};
pub use error::{CtlError, EXIT_CODES};
pub use output::{
    format_conditions, format_list, format_operation, format_operations, format_resource,
    format_table,
};
