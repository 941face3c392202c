//! Watching a resource, optionally until it is ready.

use {
    crate::{client::ApiClient, error::CtlError, output},
    lynxwheel_protocol::{FINAL_CONDITION, ProblemReason, ResourceRef, ResourceView, WatchEvent},
    std::time::Duration,
    tokio::time::{Instant, sleep, timeout_at},
};

/// Pause before an interrupted watch is opened again.
const REOPEN_DELAY: Duration = Duration::from_millis(500);

/// State of a watched resource after an event.
enum Status {
    /// Neither ready nor final.
    Pending,
    /// Ready, with a summary.
    Ready(String),
    /// Final without being ready, with the reason.
    Failed(String),
}

/// Watches a resource and reports each change to `progress`, until `timeout` has passed or, with
/// `until_ready`, the resource is ready.
///
/// # Errors
///
/// Fails when the servers reject the watch or, with `until_ready`, the resource is not ready in
/// time or never will be.
pub(crate) async fn watch_resource(
    client: &ApiClient,
    reference: &ResourceRef,
    until_ready: bool,
    timeout: Duration,
    progress: &(dyn Fn(&str) + Sync),
) -> Result<String, CtlError> {
    let deadline = Instant::now() + timeout;
    let mut last_summary = "nothing was seen of it".to_owned();
    while Instant::now() < deadline {
        let mut stream = match client.watch(reference).await {
            Ok(stream) => stream,
            // Another node may respond, or this one after a while.
            Err(error) if is_transient(&error) => {
                progress(&error.to_string());
                sleep(REOPEN_DELAY).await;
                continue;
            }
            Err(error) => return Err(error),
        };
        while let Ok(Some(event)) = timeout_at(deadline, stream.next()).await {
            let state = handle_event(&event, &mut last_summary, progress);
            match state {
                Status::Ready(text) if until_ready => return Ok(text),
                Status::Failed(reason) if until_ready => return Err(not_ready(reference, reason)),
                Status::Pending | Status::Failed(_) | Status::Ready(_) => {}
            }
        }
        if Instant::now() < deadline {
            sleep(REOPEN_DELAY).await;
        }
    }
    if until_ready {
        return Err(not_ready(
            reference,
            format!("in {} s; {last_summary}", timeout.as_secs()),
        ));
    }
    Ok(String::new())
}

/// Returns whether an error may be temporary.
fn is_transient(error: &CtlError) -> bool {
    match error {
        CtlError::Unreachable { .. } => true,
        CtlError::Refused { problem, .. } => matches!(
            problem.reason,
            ProblemReason::Behind | ProblemReason::TooManyWatches
        ),
        _ => false,
    }
}

fn not_ready(reference: &ResourceRef, reason: String) -> CtlError {
    CtlError::NotReady {
        reference: reference.clone(),
        reason,
    }
}

/// Reports an event to `progress`, unless its summary is the same as the last one.
fn handle_event(
    event: &WatchEvent,
    last_summary: &mut String,
    progress: &(dyn Fn(&str) + Sync),
) -> Status {
    match event {
        WatchEvent::Changed { view } => {
            let text = summary(view);
            if *last_summary != text {
                progress(&text);
                last_summary.clone_from(&text);
            }
            evaluate(view, text)
        }
        WatchEvent::Deleted { reference, .. } => {
            let text = format!("{reference} was withdrawn");
            progress(&text);
            Status::Failed(text)
        }
        WatchEvent::Bookmark { .. } | WatchEvent::Ended { .. } => Status::Pending,
    }
}

fn summary(view: &ResourceView) -> String {
    let reference = view.resource.reference();
    match output::ready_condition(view) {
        Some(ready) if ready.holds => format!("{reference} is ready: {}", ready.reason),
        Some(ready) => format!("{reference}: {}", ready.reason),
        None => format!("{reference}: nothing is known"),
    }
}

fn evaluate(view: &ResourceView, text: String) -> Status {
    if output::ready_condition(view).is_some_and(|ready| ready.holds) {
        return Status::Ready(text);
    }
    let is_final = |name: &str, holds: bool| name == FINAL_CONDITION && holds;
    let final_condition = view
        .conditions
        .iter()
        .find(|condition| is_final(&condition.name, condition.holds));
    match final_condition {
        Some(condition) => Status::Failed(condition.reason.clone()),
        None => Status::Pending,
    }
}
