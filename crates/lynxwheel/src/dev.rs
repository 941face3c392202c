//! Development modes: the embedded platform with or without nodes.

use {
    crate::{
        embedded::Fleet,
        main_job::{VMS, declarations, run_main_job},
        report::DevReport,
    },
    lynxwheel_standin::{PlatformServer, VmTemplate},
    std::net::SocketAddr,
};

/// Runs the main job on an embedded platform and returns its report.
///
/// # Errors
///
/// Returns an error when the fleet cannot be started or the job does not complete in time.
pub async fn run_dev_job() -> Result<DevReport, String> {
    let fleet = Fleet::start(VMS).await?;
    let report = run_main_job(&fleet).await?;
    for daemon in fleet.daemons {
        daemon.stop().await;
    }
    fleet.platform.stop();
    Ok(report)
}

/// Runs the embedded platform with nodes until Ctrl-C.
///
/// # Errors
///
/// Returns an error when the fleet cannot be started.
pub async fn run_dev_fleet() -> Result<(), String> {
    let fleet = Fleet::start(VMS).await?;
    fleet.declare(&declarations()).await?;
    println!("platform   http://{}", fleet.platform.address());
    for daemon in &fleet.daemons {
        println!(
            "{}     callers http://{}  operators http://{}",
            daemon.node().settings().identity.node,
            daemon.caller_address(),
            daemon.operator_address()
        );
    }
    tokio::signal::ctrl_c()
        .await
        .map_err(|error| error.to_string())
}

/// Runs the platform and its endpoints without nodes until Ctrl-C.
///
/// # Errors
///
/// Returns an error when the platform cannot listen on `listen`.
pub async fn run_dev_platform(listen: SocketAddr, vms: u32, reboot_ms: u64) -> Result<(), String> {
    let templates: Vec<VmTemplate> = (0..vms).map(VmTemplate::numbered).collect();
    let platform = PlatformServer::start(listen, &templates, reboot_ms)
        .await
        .map_err(|error| format!("cannot listen on {listen}: {error}"))?;
    println!("platform http://{}", platform.address());
    tokio::signal::ctrl_c()
        .await
        .map_err(|error| error.to_string())
}
