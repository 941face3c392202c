//! Checks which API keys nodes accept that cannot reach the store while the configuration changes.

use {
    crate::{
        callers::Callers,
        faults::{Fault, LinkId},
        harness::{Harness, STARTUP_MS},
        proxy::LinkFault,
        run::SoakPlan,
    },
    http::StatusCode,
    std::{fs, io, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Time within which a node has to learn the latest keys from other nodes, in milliseconds.
const PROPAGATION_MS: u64 = 3_000;

/// Pause between two requests, in milliseconds.
const POLL_INTERVAL_MS: u64 = 100;

/// Returns how many nodes follow a change of the API keys without the store.
///
/// Each node in turn is disconnected from the store while all keys that it knows are replaced. It
/// has to know the latest key and to reject the old one within `PROPAGATION_MS`. An isolated owner
/// loses ownership with the store, and may reject requests that it cannot forward.
///
/// # Errors
///
/// Returns an error if a stand-in or a node cannot be started.
pub async fn count_nodes_with_latest_keys(plan: &SoakPlan) -> io::Result<usize> {
    let harness = Harness::start(plan).await?;
    let accounts = harness.cluster.accounts();
    let mut up_to_date = 0;
    for isolated in 0..plan.nodes {
        let old_key = accounts.key(0);
        // Nodes learn of each other by the requests that they forward.
        for node in 0..plan.nodes {
            harness.callers.query_count_at(node, &old_key).await;
        }
        let link = LinkId::Store(isolated);
        harness
            .cluster
            .start_fault(Fault::Link(link, LinkFault::Reset));
        // Each key is in two consecutive configurations, so only the second change removes it.
        harness.cluster.start_fault(Fault::ChangeConfig);
        harness.cluster.start_fault(Fault::ChangeConfig);
        let new_key = accounts.key(0);
        let mut expectations = [
            (new_key, Expectation::KeyKnown),
            (old_key, Expectation::NotServed),
        ];
        // Alternates the order, because the first request has to trigger the update.
        if isolated % 2 == 1 {
            expectations.reverse();
        }
        let mut is_up_to_date = true;
        for (key, expected) in expectations {
            is_up_to_date &= meets_expectation(&harness.callers, isolated, &key, expected).await;
        }
        up_to_date += usize::from(is_up_to_date);
        harness
            .cluster
            .end_fault(Fault::Link(link, LinkFault::None))
            .await;
        sleep(Duration::from_millis(STARTUP_MS)).await;
    }
    drop(harness);
    if up_to_date == plan.nodes {
        fs::remove_dir_all(&plan.directory)?;
    }
    Ok(up_to_date)
}

/// Expected response of a node.
#[derive(Clone, Copy, Debug)]
enum Expectation {
    /// The node knows the key.
    KeyKnown,
    /// The node does not serve the request.
    NotServed,
}

/// Sends requests with a key until the response is as expected; returns whether it is in time.
async fn meets_expectation(
    callers: &Callers,
    node: usize,
    key: &str,
    expected: Expectation,
) -> bool {
    let until = Instant::now() + Duration::from_millis(PROPAGATION_MS);
    while Instant::now() < until {
        let status = callers.query_count_at(node, key).await;
        let is_as_expected = status.is_some_and(|status| match expected {
            Expectation::KeyKnown => status != StatusCode::UNAUTHORIZED,
            Expectation::NotServed => !status.is_success(),
        });
        if is_as_expected {
            return true;
        }
        sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
    false
}
