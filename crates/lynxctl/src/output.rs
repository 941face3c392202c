//! Human-readable output of resources and operations.

use {
    crate::declarations::field_texts,
    lynxwheel_protocol::{Condition, OperationOutcome, OperationView, ResourceView},
    std::fmt::Write,
};

/// Spaces between two columns.
const COLUMN_GAP: usize = 2;

/// Formats rows as aligned columns; the last column is not padded.
#[must_use]
pub fn format_table(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = header.iter().map(|cell| cell.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let header: Vec<String> = header.iter().map(|cell| (*cell).into()).collect();
    let lines = std::iter::once(&header).chain(rows);
    let lines: Vec<String> = lines.map(|row| format_row(row, &widths)).collect();
    lines.join("\n")
}

fn format_row(row: &[String], widths: &[usize]) -> String {
    let mut line = String::new();
    for (cell, width) in row.iter().zip(widths) {
        // Writing to a string cannot fail.
        let _ = write!(line, "{cell:<width$}", width = width + COLUMN_GAP);
    }
    line.trim_end().into()
}

/// Returns the first condition, which states whether the fleet matches the declaration.
#[must_use]
pub fn ready_condition(view: &ResourceView) -> Option<&Condition> {
    view.conditions.first()
}

/// Formats resources as a table.
#[must_use]
pub fn format_list(views: &[ResourceView]) -> String {
    let rows: Vec<Vec<String>> = views
        .iter()
        .map(|view| {
            let (holds, reason) = ready_condition(view).map_or(("-", ""), |condition| {
                (yes_no(condition.holds), condition.reason.as_str())
            });
            vec![
                view.resource.name().into(),
                view.revision.to_string(),
                holds.into(),
                reason.into(),
            ]
        })
        .collect();
    format_table(&["NAME", "REVISION", "READY", "REASON"], &rows)
}

/// Formats a resource with its declaration, conditions and status; the declaration has the syntax
/// of a declaration file.
#[must_use]
pub fn format_resource(view: &ResourceView) -> String {
    let reference = view.resource.reference();
    let mut text = format!("[{} {}]\n", reference.kind, reference.name);
    // Writing to a string cannot fail.
    for (field, value) in field_texts(&view.resource) {
        let _ = writeln!(text, "{field} = {value}");
    }
    let _ = writeln!(
        text,
        "\nrevision {}, observed at {}\n",
        view.revision, view.observed_revision
    );
    text += &format_conditions(view);
    if !view.status.is_null() {
        let _ = write!(text, "\n\nstatus {:#}", view.status);
    }
    text
}

/// Formats the conditions of a resource as a table.
#[must_use]
pub fn format_conditions(view: &ResourceView) -> String {
    let rows: Vec<Vec<String>> = view
        .conditions
        .iter()
        .map(|condition| {
            vec![
                condition.name.clone(),
                yes_no(condition.holds).into(),
                condition.reason.clone(),
            ]
        })
        .collect();
    format_table(&["CONDITION", "HOLDS", "REASON"], &rows)
}

/// Formats the outcome of an operation.
#[must_use]
pub fn format_operation(view: &OperationView) -> String {
    let mut text = format_outcome(view);
    if !view.current {
        text += "\nthis node is not current: ask another one too";
    }
    text
}

/// Formats operations as a table.
#[must_use]
pub fn format_operations(views: &[OperationView]) -> String {
    let rows: Vec<Vec<String>> = views
        .iter()
        .map(|view| {
            let reference = view.reference.as_ref();
            let reference = reference.map_or_else(|| "-".into(), ToString::to_string);
            vec![view.operation.to_string(), reference, format_outcome(view)]
        })
        .collect();
    format_table(&["OPERATION", "RESOURCE", "OUTCOME"], &rows)
}

fn format_outcome(view: &OperationView) -> String {
    match &view.outcome {
        OperationOutcome::Accepted { offset } => format!("accepted at revision {offset}"),
        OperationOutcome::Rejected { offset, reason } => {
            format!("rejected at offset {offset}: {reason}")
        }
        OperationOutcome::NotSeen => format!(
            "not seen up to offset {}; it may still arrive",
            view.observed_revision
        ),
        OperationOutcome::TooOld => "too old to know; look at the resource itself".into(),
    }
}

fn yes_no(holds: bool) -> &'static str {
    if holds { "yes" } else { "no" }
}
