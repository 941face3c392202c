//! Which keys count at nodes that the store turns away while the configuration changes.

use {
    crate::{
        callers::Callers,
        faults::{Fault, LinkId},
        proxy::LinkFault,
        run::SoakPlan,
        scene::{SETTLE_MS, Scene},
    },
    http::StatusCode,
    std::{fs, io, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Time within which a node that others reach knows the newest keys, in milliseconds.
const APPLY_MS: u64 = 3_000;

/// Pause between two looks, in milliseconds.
const LOOK_MS: u64 = 100;

/// Cuts each node in turn off the store, takes every key away that it knows, and returns how many nodes
/// know the newest key and serve no old one three seconds later. The owner among them loses the fleet with
/// the store, and may refuse what it cannot pass on.
///
/// # Errors
///
/// Fails when stand-ins or nodes cannot be started.
pub async fn count_nodes_with_latest_keys(plan: &SoakPlan) -> io::Result<usize> {
    let scene = Scene::start(plan).await?;
    let accounts = scene.world.accounts();
    let mut current = 0;
    for cut in 0..plan.nodes {
        let old_key = accounts.key(0);
        // Nodes know of each other by the requests that they pass on.
        for node in 0..plan.nodes {
            scene.callers.count_at(node, &old_key).await;
        }
        let place = LinkId::Store(cut);
        scene.world.begin(Fault::Link(place, LinkFault::Reset));
        // A key is in two configurations, so that the second takes it away.
        scene.world.begin(Fault::ChangeConfig);
        scene.world.begin(Fault::ChangeConfig);
        let new_key = accounts.key(0);
        let mut looks = [(new_key, Look::Known), (old_key, Look::Refused)];
        // What is asked first has to bring the configuration by itself.
        if cut % 2 == 1 {
            looks.reverse();
        }
        let mut is_current = true;
        for (key, look) in looks {
            is_current &= is_seen(&scene.callers, cut, &key, look).await;
        }
        current += usize::from(is_current);
        scene.world.end(Fault::Link(place, LinkFault::None)).await;
        sleep(Duration::from_millis(SETTLE_MS)).await;
    }
    drop(scene);
    if current == plan.nodes {
        fs::remove_dir_all(&plan.folder)?;
    }
    Ok(current)
}

/// What is looked for in a node's answer.
#[derive(Clone, Copy, Debug)]
enum Look {
    /// The key is known.
    Known,
    /// The request is not served.
    Refused,
}

/// Asks a node with a key until its answer is as looked for; tells whether it was in time.
async fn is_seen(callers: &Callers, node: usize, key: &str, look: Look) -> bool {
    let until = Instant::now() + Duration::from_millis(APPLY_MS);
    while Instant::now() < until {
        let status = callers.count_at(node, key).await;
        let is_seen = status.is_some_and(|status| match look {
            Look::Known => status != StatusCode::UNAUTHORIZED,
            Look::Refused => !status.is_success(),
        });
        if is_seen {
            return true;
        }
        sleep(Duration::from_millis(LOOK_MS)).await;
    }
    false
}
