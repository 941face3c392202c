//! Which keys count at nodes that the store turns away while the configuration changes.

use {
    crate::{
        callers::Callers,
        faults::{Fault, LinkPlace},
        proxy::LinkTrouble,
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
/// take the newest keys and no old one within three seconds.
///
/// # Errors
///
/// Fails when stand-ins or nodes cannot be started.
pub async fn nodes_with_newest_keys(plan: &SoakPlan) -> io::Result<usize> {
    let scene = Scene::start(plan).await?;
    let mut current = 0;
    for node in 0..plan.nodes {
        let place = LinkPlace::Store(node);
        scene.world.begin(Fault::Link(place, LinkTrouble::Reset));
        let old_key = scene.world.accounts().key(0);
        // A key is in two configurations, so that the second takes it away.
        scene.world.begin(Fault::Configure);
        scene.world.begin(Fault::Configure);
        let new_key = scene.world.accounts().key(0);
        let old = (old_key.as_str(), StatusCode::UNAUTHORIZED);
        let new = (new_key.as_str(), StatusCode::OK);
        // What is asked first has to bring the configuration by itself.
        let looks = if node % 2 == 0 {
            [new, old]
        } else {
            [old, new]
        };
        let mut is_current = true;
        for (key, status) in looks {
            is_current &= is_answered_with(&scene.callers, node, key, status).await;
        }
        current += usize::from(is_current);
        scene.world.end(Fault::Link(place, LinkTrouble::None)).await;
        sleep(Duration::from_millis(SETTLE_MS)).await;
    }
    drop(scene);
    fs::remove_dir_all(&plan.folder)?;
    Ok(current)
}

/// Asks a node with a key until it answers with a status; tells whether it did in time.
async fn is_answered_with(callers: &Callers, node: usize, key: &str, status: StatusCode) -> bool {
    let until = Instant::now() + Duration::from_millis(APPLY_MS);
    while Instant::now() < until {
        if callers.count_at(node, key).await == Some(status) {
            return true;
        }
        sleep(Duration::from_millis(LOOK_MS)).await;
    }
    false
}
