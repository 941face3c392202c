//! Finding out about VMs: the platform's list and probes of endpoints.

use {
    crate::node::Node,
    log::{debug, info},
    lynxwheel_decisions::rendezvous_rank,
    lynxwheel_protocol::{
        MAX_REPORTS, RecordBody, VmEntry, VmList, VmListState, VmPhase, VmReport,
    },
    lynxwheel_state::{FleetState, VmState},
    lynxwheel_transport::Client,
    serde::Deserialize,
    std::{net::SocketAddr, time::Duration},
    tokio::task::JoinSet,
};

/// Time that a probe may take, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 1_000;

/// Time that the VM list may take, in milliseconds.
const LIST_TIMEOUT_MS: u64 = 2_000;

/// Endpoint's own word on its health.
#[derive(Clone, Debug, Deserialize)]
struct Health {
    vm: String,
    incarnation: u64,
    leaving: bool,
}

/// Observes VMs for as long as it is polled.
pub(crate) async fn observe(node: Node) {
    let platform = Client::new(node.settings().platform, 2);
    loop {
        let limit = Duration::from_millis(LIST_TIMEOUT_MS);
        match platform.fetch::<VmList>("/vms", limit).await {
            Ok(list) => observe_list(&node, list).await,
            Err(error) => debug!(event = "vm_list_failed"; "{error}"),
        }
        tokio::time::sleep(Duration::from_millis(node.settings().tick_ms)).await;
    }
}

async fn observe_list(node: &Node, list: VmList) {
    let mut probes = JoinSet::new();
    let state = node.state();
    for entry in list.vms {
        let Some(vm) = state.vms().get(entry.name.as_str()) else {
            continue;
        };
        if rendezvous_rank(
            vm.name.as_str(),
            &node.settings().identity.node,
            &node.live_nodes(),
        ) != 0
        {
            continue;
        }
        let clients = node.clients().clone();
        let clock = node.clock().clone();
        probes.spawn(async move {
            let client = entry.address.parse::<SocketAddr>();
            let client = client.map(|address| clients.get(address)).ok();
            let mut probe_ms = clock.now_ms();
            let mut health = probe(client.as_ref(), &entry).await;
            if health.is_none() {
                // A node that was paused finds its probes timed out when it wakes, though the
                // endpoints answered. Without a second look it would report sound VMs as failed.
                probe_ms = clock.now_ms();
                health = probe(client.as_ref(), &entry).await;
            }
            (entry, probe_ms, health)
        });
    }
    let mut reports = Vec::new();
    while let Some(probed) = probes.join_next().await {
        let Ok((entry, probe_ms, health)) = probed else {
            continue;
        };
        reports.extend(report(&node.state(), &entry, probe_ms, health.as_ref()));
    }
    reports.sort();
    // After a zone's failure the reports of a whole fleet would exceed a record's bound and be
    // refused again and again.
    for reports in reports.chunks(MAX_REPORTS) {
        info!(event = "vm_reports", count = reports.len(), offset = state.offset(); "");
        let reports = reports.to_vec();
        node.proposer()
            .is_accepted(RecordBody::Report { reports })
            .await;
    }
}

async fn probe(client: Option<&Client>, entry: &VmEntry) -> Option<Health> {
    let limit = Duration::from_millis(PROBE_TIMEOUT_MS);
    let answer = client?.get("/healthz", limit).await.ok()?;
    let health: Health = serde_json::from_slice(&answer.body).ok()?;
    (health.vm == entry.name.as_str()).then_some(health)
}

/// Returns what to report of a VM, if it is news.
fn report(
    state: &FleetState,
    entry: &VmEntry,
    probe_ms: u64,
    health: Option<&Health>,
) -> Option<VmReport> {
    let vm = state.vms().get(entry.name.as_str())?;
    let phase = match health {
        None => VmPhase::Failed,
        Some(health) if health.leaving || entry.state == VmListState::Leaving => VmPhase::Leaving,
        Some(_) => VmPhase::Live,
    };
    let report = VmReport {
        vm: entry.name.clone(),
        incarnation: health.map_or(entry.incarnation, |health| health.incarnation),
        phase,
        evidence_ms: probe_ms,
        zone: entry.zone.clone(),
        rack: entry.rack.clone(),
        address: entry.address.clone(),
        capacity: entry.capacity,
    };
    is_news(vm, &report).then_some(report)
}

fn is_news(vm: &VmState, report: &VmReport) -> bool {
    let is_same = vm.incarnation == report.incarnation
        && vm.phase == report.phase
        && vm.zone == report.zone
        && vm.rack == report.rack
        && vm.address == report.address
        && vm.capacity == report.capacity;
    !is_same && report.incarnation >= vm.incarnation && report.evidence_ms >= vm.evidence_ms
}
