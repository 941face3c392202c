//! Following a resource, until what was declared holds if asked to.

use {
    crate::{client::ApiClient, error::CtlError, output},
    lynxwheel_protocol::{FINAL_CONDITION, ProblemReason, ResourceRef, ResourceView, WatchEvent},
    std::time::Duration,
    tokio::time::{Instant, sleep, timeout_at},
};

/// Pause before a broken watch is opened anew.
const REOPEN_PAUSE: Duration = Duration::from_millis(500);

/// What a watch has come to.
enum Seen {
    /// Nothing that ends the command.
    More,
    /// What was declared holds.
    Ready(String),
    /// It never will.
    Never(String),
}

/// Follows a resource and tells each change; ends with the time, or when it is ready.
///
/// # Errors
///
/// Fails when the resource is not ready in time or never will be, or when the servers refuse.
pub(crate) async fn follow(
    client: &ApiClient,
    reference: &ResourceRef,
    until_ready: bool,
    limit: Duration,
    progress: &(dyn Fn(&str) + Sync),
) -> Result<String, CtlError> {
    let until = Instant::now() + limit;
    let mut last = "nothing was seen of it".to_owned();
    while Instant::now() < until {
        let mut stream = match client.watch(reference).await {
            Ok(stream) => stream,
            // Another node, or this one a little later, may answer.
            Err(error) if is_passing(&error) => {
                progress(&error.to_string());
                sleep(REOPEN_PAUSE).await;
                continue;
            }
            Err(error) => return Err(error),
        };
        while let Ok(Some(event)) = timeout_at(until, stream.next()).await {
            let seen = look(&event, &mut last, progress);
            match seen {
                Seen::Ready(text) if until_ready => return Ok(text),
                Seen::Never(reason) if until_ready => return Err(not_ready(reference, reason)),
                Seen::More | Seen::Never(_) | Seen::Ready(_) => {}
            }
        }
        if Instant::now() < until {
            sleep(REOPEN_PAUSE).await;
        }
    }
    if until_ready {
        return Err(not_ready(
            reference,
            format!("in {} s; {last}", limit.as_secs()),
        ));
    }
    Ok(String::new())
}

fn is_passing(error: &CtlError) -> bool {
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

/// Tells a change, once for each state in words.
fn look(event: &WatchEvent, last: &mut String, progress: &(dyn Fn(&str) + Sync)) -> Seen {
    match event {
        WatchEvent::Changed { view } => {
            let text = summary(view);
            if *last != text {
                progress(&text);
                last.clone_from(&text);
            }
            judge(view, text)
        }
        WatchEvent::Deleted { reference, .. } => {
            let text = format!("{reference} was withdrawn");
            progress(&text);
            Seen::Never(text)
        }
        WatchEvent::Bookmark { .. } | WatchEvent::Ended { .. } => Seen::More,
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

fn judge(view: &ResourceView, text: String) -> Seen {
    if output::ready_condition(view).is_some_and(|ready| ready.holds) {
        return Seen::Ready(text);
    }
    let is_final = |name: &str, holds: bool| name == FINAL_CONDITION && holds;
    let over = view
        .conditions
        .iter()
        .find(|condition| is_final(&condition.name, condition.holds));
    match over {
        Some(condition) => Seen::Never(condition.reason.clone()),
        None => Seen::More,
    }
}
