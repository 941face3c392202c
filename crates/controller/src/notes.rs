//! Log lines of what the owner found out.

use {
    log::info,
    lynxwheel_engine::{EndKind, Note, RunEnd},
};

/// Writes a line for each note.
///
/// Runs that ended as done are left out: there are hundreds a second, and their job's end tells of
/// them.
pub fn log_notes(epoch: u64, notes: &[Note]) {
    for note in notes {
        match note {
            Note::RunOver {
                end: RunEnd::Reported(EndKind::Done),
                ..
            } => {}
            Note::RunOver {
                task,
                run,
                endpoint,
                end,
                after_ms,
            } => info!(
                event = "run_over", epoch = epoch, task:% = task, run = run,
                endpoint = endpoint.as_str(), end:? = end, after_ms = after_ms;
                ""
            ),
            Note::JobEnded {
                job,
                state,
                after_ms,
            } => info!(
                event = "job_ended", epoch = epoch, job = job.as_str(), state:? = state,
                after_ms = after_ms;
                ""
            ),
            Note::EndpointOver { endpoint, vm, runs } => info!(
                event = "endpoint_over", epoch = epoch, endpoint = endpoint.as_str(),
                vm = vm.as_str(), runs = runs;
                ""
            ),
        }
    }
}
