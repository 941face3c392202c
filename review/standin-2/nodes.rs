//! Nodes of the system, each a process with the command of the deploy file, and their callers.

use {
    crate::{
        http::{self, free_port},
        json::{Json, number, object, text},
        record::Record,
    },
    std::{
        fs::{self, File},
        net::SocketAddr,
        path::PathBuf,
        process::{Child, Command, Stdio},
        thread,
        time::{Duration, Instant},
    },
};

/// Time that clients wait for an answer, in milliseconds.
const CLIENT_MS: u64 = 3_000;

pub const HOST: &str = "case.example";
pub const PREFIX: &str = "/queue/";

pub struct Node {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

impl Node {
    pub fn start(name: &str, folder: &str, store: SocketAddr, cloud: SocketAddr, save_s: f64) -> Self {
        let (front, ready, control, internal) = (free_port(), free_port(), free_port(), free_port());
        let settings = format!(
            "node_name={name}\nrole=node\nmachine_class=frontend\nserves=frontend\nip=127.0.0.1\n\
             zone=zone-1\nregion=region-1\nzones.zone-1=region-1\nlisten_addrs.front=127.0.0.1:{front}\n\
             listen_addrs.ready=127.0.0.1:{ready}\nlisten_addrs.control=127.0.0.1:{control}\n\
             internal_ports={internal},{internal}\nseeds=\nbootstrap=true\nin_tolerance=false\n\
             limits.cpu_share=0.25\nlimits.cores=1\nlimits.memory_mb=260\nlimits.max_fds=4100\n\
             limits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=platform\nentry=vip\n\
             heartbeat_ms=1500\n\
             contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing\n\
             fault_tolerance.machines=1\nfault_tolerance.zones=0\nfault_tolerance.regions=0\n\
             bounds.seed_lag_s=3\nbounds.reuse_after_s=2\nbounds.contact_ms=3000\n\
             bounds.ack_timeout_ms=4000\nbounds.catch_up_s=4\nbounds.drain_ms=2000\n\
             bounds.grace_s=6\nbounds.loss_slack_ms=200\nbounds.config_apply_ms=2000\n\
             bounds.rollback_slack_ms=250\nbounds.max_stretch_ms=5000\nbounds.recovery_s=12\n\
             bounds.max_hold_ms=10000\nbounds.stop_ms=200\nbounds.gang_timeout_ms=3000\n\
             bounds.cancel_ms=3000\nbounds.visible_ms=3000\nbounds.early_ms=250\n\
             bounds.finish_s=14\nbounds.status_s=120\nbounds.remote_factor=2\n\
             bounds.checkpoint_s={save_s}\nbounds.restore_ms=100\nbounds.notice_ms=4500\n\
             bounds.migrate_s=1.5\nbounds.maintenance_s=2\nbounds.require_fencing=false\n\
             bounds.lease_ms=3000\nbounds.thaw_ms=300\nbounds.pace_ms=100\nbounds.impact_ms=4000\n\
             control_mode=call\nplatform.address={store}\nplatform.form=log\n\
             platform.writes_per_s=800\nplatform.reads_per_s=2000\nplatform.parts=32\n\
             platform.append_ms=2.0\nplatform.partition_mb_s=20.0\nplatform.read_mb_s=80.0\n\
             platform.record_bytes=262144\nplatform.request_bytes=2097152\nplatform.keep_s=300\n\
             platform.partition_mb=200\nplatform.min_ttl_ms=1000\ncloud.address={cloud}\n\
             cloud.rate_per_s=64.0\ncloud.duties=\ncloud.duty_per_s=64.0\n"
        );
        let path = PathBuf::from(folder).join(format!("{name}.conf"));
        fs::write(&path, settings).expect("the settings can be written");
        let log = File::create(PathBuf::from(folder).join(format!("{name}.log"))).expect("a log");
        let child = Command::new("target/release/lynxwheel")
            .arg("serve")
            .env("LYNXWHEEL_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .expect("target/release/lynxwheel starts");
        let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        Self { name: name.into(), front: address(front), ready: address(ready), child }
    }

    pub fn is_ready(&self) -> bool {
        let answer = http::call(self.ready, "GET", "/ready", &[("Host", HOST)], "", 500);
        answer.is_some_and(|(status, _)| status == 200)
    }

    /// Waits until the node reports itself ready; returns whether it does within ten seconds.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The configuration: one queue, whose tasks run on the executors of one service.
pub fn config(version: u64, service: &str, max_attempts: u64) -> String {
    let route = object(vec![
        ("name", text("r-queue")),
        ("host", text(HOST)),
        ("path_prefix", text(PREFIX)),
        ("kind", text("non_idempotent")),
        ("timeout_ms", number(3_000)),
        ("target_latency_ms", number(600)),
        ("priority", number(0)),
        ("service", text(service)),
        ("max_attempts", number(max_attempts)),
        ("stretch", Json::Number(1.6)),
    ]);
    let pool = object(vec![("name", text(service)), ("admission_check", Json::Bool(false))]);
    let config = object(vec![
        ("version", number(version)),
        ("routes", Json::List(vec![route])),
        ("services", Json::List(vec![pool])),
        ("limits", object(vec![])),
    ]);
    config.to_text()
}

/// Sends a client's request about a job.
pub fn ask(record: &Record, node: &Node, method: &str, job: &str, body: &str) -> Option<(u16, String)> {
    let headers =
        [("Host", HOST), ("Content-Type", "application/json"), ("Lynxwheel-Deadline-Ms", "3000")];
    let path = format!("{PREFIX}{job}");
    let answer = http::call(node.front, method, &path, &headers, body, CLIENT_MS);
    record.line(&format!("{} {method} {job} -> {answer:?}", node.name));
    answer
}

/// Submits a job as a client does: again after 503, 429 or no answer. Returns whether it is accepted.
pub fn submit(record: &Record, nodes: &[Node], job: &str, body: &str) -> bool {
    for attempt in 0..20 {
        match ask(record, &nodes[attempt % nodes.len()], "POST", job, body) {
            Some((200..=299, _)) => return true,
            _ => thread::sleep(Duration::from_millis(300)),
        }
    }
    false
}

/// Returns the state of a job as a node gives it.
pub fn state(record: &Record, node: &Node, job: &str) -> Option<String> {
    match ask(record, node, "GET", job, "")? {
        (200, body) => Some(Json::parse(&body)?.get("state").str().to_string()),
        (410, _) => Some("gone".into()),
        _ => None,
    }
}
