//! Encoding of the state, held as bytes: nodes of other builds restore it from snapshots.

use {
    lynxwheel_protocol::{
        Amount, Budget, ClaimPurpose, Class, JobOutcome, JobSpec, KeyOutcome, Kind, PolicySpec,
        PoolSpec, Record, RecordBody, RequestKey, Resource, ResourceRef, Resources, ServiceSpec,
        SnapshotId, TeamSpec, VmPhase, VmReport, VmSpec, WaveAction, WaveGoal, WaveSpec, Weights,
        WriterId,
    },
    lynxwheel_state::{
        ClaimStage, FleetState, JobPhase, Verdict, decode_snapshot, encode_snapshot,
    },
};

/// Digits of held bytes in one line.
const LINE_DIGITS: usize = 90;

fn hex(bytes: &[u8]) -> String {
    let digits = bytes.iter().flat_map(|byte| [byte >> 4, byte & 15]);
    let digits = digits.filter_map(|digit| char::from_digit(digit.into(), 16));
    digits.collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let pairs = (0..hex.len()).step_by(2).map(|at| &hex[at..at + 2]);
    let bytes = pairs.map(|pair| u8::from_str_radix(pair, 16).expect("two hexadecimal digits"));
    bytes.collect()
}

/// Compares an encoding with the bytes held; where it differs, shows it as it would be held.
fn assert_held(encoded: &[u8], held: &str) {
    let encoded = hex(encoded);
    let starts = (0..encoded.len()).step_by(LINE_DIGITS);
    let lines = starts.map(|at| &encoded[at..encoded.len().min(at + LINE_DIGITS)]);
    let lines: Vec<&str> = lines.collect();
    assert!(encoded == held, "encoded as\n{}", lines.join("\\\n"));
}

/// Time of the first record, in milliseconds since the epoch.
const START_MS: u64 = 1_000_000;

/// Time between two records, in milliseconds.
const STEP_MS: u64 = 10;

fn resources(cores_milli: u32) -> Resources {
    Resources {
        cores_milli,
        memory_mib: 1_024,
        accelerators: 1,
    }
}

/// A history whose every record is accepted, written by two nodes in turn.
struct History {
    state: FleetState,
    sequences: [u64; 2],
}

impl History {
    fn new() -> Self {
        let mut history = Self {
            state: FleetState::new(),
            sequences: [0; 2],
        };
        for node in ["node-1", "node-2"] {
            history.take(RecordBody::Join {
                node: node.into(),
                fold_version: 2,
            });
        }
        history
    }

    /// Applies a record, and returns its offset.
    fn take(&mut self, body: RecordBody) -> u64 {
        let offset = self.state.offset() + 1;
        let writer = usize::from(offset.is_multiple_of(2));
        self.sequences[writer] += 1;
        let record = Record {
            id: WriterId {
                incarnation: if writer == 0 { 11 } else { 12 },
                sequence: self.sequences[writer],
            },
            time_ms: START_MS + offset * STEP_MS,
            body,
        };
        let verdict = self.state.apply(offset, &record);
        assert_eq!(verdict, Verdict::Accepted, "{record:?}");
        offset
    }

    fn put(&mut self, resource: Resource) {
        self.take(RecordBody::Put {
            resource: Box::new(resource),
            if_revision: None,
        });
    }

    fn put_vm(&mut self, name: &str, pool: &str) {
        self.put(Resource::Vm(VmSpec {
            name: name.into(),
            pool: pool.into(),
        }));
    }

    fn put_job(&mut self, name: &str, class: Class, cancelled: bool) {
        self.put(Resource::Job(JobSpec {
            name: name.into(),
            pool: "pool-1".into(),
            team: "team-1".into(),
            class,
            demand: resources(500),
            run_time_ms: 60_000,
            checkpoint: true,
            max_attempts: 3,
            cancelled,
        }));
    }

    /// Claims a VM; returns the fencing token.
    fn claim(&mut self, vm: &str, purpose: ClaimPurpose) -> u64 {
        self.take(RecordBody::Claim {
            vm: vm.into(),
            purpose,
            holder: "node-1".into(),
        })
    }

    fn begin(&mut self, vm: &str, fence: u64) {
        self.take(RecordBody::Begin {
            vm: vm.into(),
            fence,
            not_after_ms: START_MS + 60_000,
        });
    }

    fn maintain(&mut self, vm: &str, succeeded: bool) {
        let fence = self.claim(vm, ClaimPurpose::Maintain("wave-1".into()));
        self.begin(vm, fence);
        self.take(RecordBody::Done {
            vm: vm.into(),
            fence,
            succeeded,
        });
    }

    fn start(&mut self, job: &str) {
        self.take(RecordBody::Start {
            job: job.into(),
            attempt: 1,
            vm: "vm-5".into(),
            reserved: resources(500),
            holder: "node-2".into(),
        });
    }

    fn end(&mut self, job: &str, outcome: JobOutcome) {
        self.take(RecordBody::End {
            job: job.into(),
            attempt: 1,
            outcome,
        });
    }
}

fn pool(name: &str, size: u32, min_available: Amount) -> Resource {
    Resource::Pool(PoolSpec {
        name: name.into(),
        size,
        budget: Budget {
            min_available,
            zones_at_once: 2,
        },
    })
}

fn policy(name: &str) -> Resource {
    Resource::Policy(PolicySpec {
        name: name.into(),
        weights: Weights {
            roll_out: 2,
            buffer: 3,
            moves: 4,
        },
        key_keep_ms: 86_400_000,
        key_limit: 100,
    })
}

/// Declares one resource of each kind and more VMs, and withdraws one.
fn declare(history: &mut History) {
    history.take(RecordBody::RaiseVersion { fold_version: 2 });
    history.put(policy("policy-1"));
    history.put(policy("policy-2"));
    history.take(RecordBody::Delete {
        reference: ResourceRef::new(Kind::Policy, "policy-2"),
        if_revision: None,
    });
    history.put(Resource::Team(TeamSpec {
        name: "team-1".into(),
        quota: resources(64_000),
    }));
    history.put(pool("pool-1", 4, Amount::Percent(25)));
    history.put(pool("pool-2", 2, Amount::Count(0)));
    for vm in 1..=7 {
        let pool = if vm < 6 { "pool-1" } else { "pool-2" };
        history.put_vm(&format!("vm-{vm}"), pool);
    }
    history.put(Resource::Service(ServiceSpec {
        name: "service-1".into(),
        pool: "pool-1".into(),
        slots_per_endpoint: 4,
        connections_per_endpoint: 8,
        deadline_ms: 2_500,
        team_rate_per_s: 90,
    }));
    history.put(Resource::Wave(WaveSpec {
        name: "wave-1".into(),
        pools: vec!["pool-1".into(), "pool-2".into()],
        action: WaveAction::Reboot,
        goal: WaveGoal::Run,
        due_before_ms: START_MS + 1_000,
        deadline_ms: START_MS + 600_000,
    }));
}

fn report(history: &mut History) {
    let evidence_ms = START_MS + (history.state.offset() + 1) * STEP_MS;
    let reports = (1..=7).map(|vm| VmReport {
        vm: format!("vm-{vm}").into(),
        incarnation: 3,
        phase: if vm == 7 {
            VmPhase::Leaving
        } else {
            VmPhase::Live
        },
        evidence_ms,
        zone: format!("zone-{}", vm % 2).into(),
        rack: format!("rack-{vm}").into(),
        address: format!("10.0.0.{vm}:9000").into(),
        capacity: resources(8_000),
    });
    let reports = reports.collect();
    history.take(RecordBody::Report { reports });
}

/// Leaves claims in each stage and for each purpose, and VMs whose claims are over.
fn claim_all(history: &mut History) {
    history.maintain("vm-1", true);
    history.maintain("vm-2", false);
    history.take(RecordBody::Quarantine {
        vm: "vm-2".into(),
        until_ms: START_MS + 90_000,
    });
    let fence = history.claim("vm-3", ClaimPurpose::Maintain("wave-1".into()));
    let fence = history.take(RecordBody::TakeOver {
        vm: "vm-3".into(),
        fence,
        holder: "node-2".into(),
    });
    history.begin("vm-3", fence);
    let fence = history.claim("vm-6", ClaimPurpose::Maintain("wave-1".into()));
    history.take(RecordBody::Release {
        vm: "vm-6".into(),
        fence,
    });
    history.put_vm("vm-6", "pool-1");
    let fence = history.claim("vm-6", ClaimPurpose::Move("pool-1".into()));
    history.begin("vm-6", fence);
    history.take(RecordBody::HandOver {
        vm: "vm-6".into(),
        fence,
    });
    history.put_vm("vm-4", "pool-2");
    history.claim("vm-4", ClaimPurpose::Move("pool-2".into()));
}

/// Leaves jobs in each phase.
fn run_jobs(history: &mut History) {
    history.put_job("job-cancelled", Class::Batch, true);
    history.put_job("job-waiting", Class::Urgent, false);
    history.put_job("job-done", Class::Normal, false);
    history.start("job-done");
    history.end("job-done", JobOutcome::Succeeded);
    history.put_job("job-given-up", Class::Normal, false);
    history.start("job-given-up");
    history.end("job-given-up", JobOutcome::Failed);
    history.take(RecordBody::GiveUp {
        job: "job-given-up".into(),
        reason: "no room".into(),
    });
    history.put_job("job-running", Class::Normal, false);
    history.start("job-running");
    history.take(RecordBody::Usage {
        job: "job-running".into(),
        attempt: 1,
        used: resources(700),
    });
    history.take(RecordBody::Stop {
        job: "job-running".into(),
        attempt: 1,
    });
}

fn use_keys(history: &mut History) {
    for (key, outcome) in [
        (RequestKey(0xfedc << 96), None),
        (RequestKey(2), Some(KeyOutcome::Answered(201))),
        (RequestKey(3), Some(KeyOutcome::NotRun)),
        (RequestKey(4), Some(KeyOutcome::Unknown)),
    ] {
        let intent = history.take(RecordBody::Intent {
            key,
            request_digest: 0x0123_4567_89ab_cdef,
            holder: "node-1".into(),
        });
        if let Some(outcome) = outcome {
            // Only the run that holds a key ends it; the nodes write in turn.
            assert_eq!(intent + 1, history.take(RecordBody::Tick));
            history.take(RecordBody::Outcome { key, outcome });
        }
    }
    history.take(RecordBody::Snapshot {
        id: SnapshotId {
            offset: 40,
            writer: 11,
            chunks: 2,
            digest: 0xfedc_ba98_7654_3210,
        },
    });
    history.take(RecordBody::Tick);
}

/// Returns a state with something of each kind in it.
fn state() -> FleetState {
    let mut history = History::new();
    declare(&mut history);
    report(&mut history);
    claim_all(&mut history);
    run_jobs(&mut history);
    use_keys(&mut history);
    history.state
}

/// The state that is held would say little were something of it left out.
#[test]
fn state_holds_each_stage_and_phase() {
    let state = state();
    for phase in [
        VmPhase::Live,
        VmPhase::Leaving,
        VmPhase::Failed,
        VmPhase::Unknown,
    ] {
        assert!(state.vms().iter().any(|vm| vm.phase == phase), "{phase:?}");
    }
    for stage in [ClaimStage::Draining, ClaimStage::Acting] {
        let mut claims = state.vms().iter().filter_map(|vm| vm.claim.as_ref());
        assert!(claims.any(|claim| claim.stage == stage), "{stage:?}");
    }
    for phase in [
        JobPhase::Pending,
        JobPhase::Running,
        JobPhase::Succeeded,
        JobPhase::GivenUp,
        JobPhase::Cancelled,
    ] {
        assert!(
            state.jobs().iter().any(|job| job.phase == phase),
            "{phase:?}"
        );
    }
}

macro_rules! held {
    ($($(#[$guard:meta])* $name:ident: $state:expr => $held:expr;)*) => {
        $($(#[$guard])* #[test] fn $name() {
            let state = $state;
            assert_held(&encode_snapshot(&state).expect("a state"), $held);
            assert_eq!(decode_snapshot(&bytes($held)).as_ref(), Ok(&state));
        })*
    };
}

held! {
    /// A starting node of another build cannot read a snapshot, or comes to another state.
    state_of_each_kind: state() => "\
        dc00123ece000f44a2ce000f44ac94a66e6f64652d32ce000f44acce000f44a2ce000f44a2cfeb14a7dc9b657e\
        0d022f9292950ba66e6f64652d31021fce000f44a2950ca66e6f64652d32021fce000f44ac00919294a8706f6c\
        6963792d3193020304ce05265c006404919392a67465616d2d3193cdfa00cd0400010793cd02bccd0400019295\
        93a6706f6f6c2d31049281a770657263656e7419020806019292a67a6f6e652d300192a67a6f6e652d31019593\
        a6706f6f6c2d32029281a5636f756e7400020901009097dc0012a4766d2d31a6706f6f6c2d31a6706f6f6c2d31\
        0a03a67a6f6e652d31a67261636b2d31ad31302e302e302e313a3930303093cd1f40cd04000193000000a7756e\
        6b6e6f776ece000f431dc0ce000f4312c0000090dc0012a4766d2d32a6706f6f6c2d31a6706f6f6c2d310b03a6\
        7a6f6e652d30a67261636b2d32ad31302e302e302e323a3930303093cd1f40cd04000193000000a66661696c65\
        64ce000f433bc000a6776176652d31ce0010a1d00090dc0012a4766d2d33a6706f6f6c2d31a6706f6f6c2d310c\
        03a67a6f6e652d31a67261636b2d33ad31302e302e302e333a3930303093cd1f40cd04000193000000a46c6976\
        65ce000f42fe9781a86d61696e7461696ea6776176652d3103a66e6f64652d321ca6416374696e67ce000f4358\
        ce00102ca000c0000090dc0012a4766d2d34a6706f6f6c2d31a6706f6f6c2d322403a67a6f6e652d30a6726163\
        6b2d34ad31302e302e302e343a3930303093cd1f40cd04000193000000a46c697665ce000f42fe9781a46d6f76\
        65a6706f6f6c2d3203a66e6f64652d3125a8447261696e696e67ce000f43a80000c0000090dc0012a4766d2d35\
        a6706f6f6c2d31a6706f6f6c2d310e03a67a6f6e652d31a67261636b2d35ad31302e302e302e353a3930303093\
        cd1f40cd04000193cd02bccd040001a46c697665ce000f42fec000c0000191ab6a6f622d72756e6e696e67dc00\
        12a4766d2d36a6706f6f6c2d31a6706f6f6c2d312003a67a6f6e652d30a67261636b2d36ad31302e302e302e36\
        3a3930303093cd1f40cd04000193000000a7756e6b6e6f776ece000f439fc000c0000090dc0012a4766d2d37a6\
        706f6f6c2d32a6706f6f6c2d321003a67a6f6e652d31a67261636b2d37ad31302e302e302e373a3930303093cd\
        1f40cd04000193000000a76c656176696e67ce000f42fec000c0000090919296a9736572766963652d31a6706f\
        6f6c2d310408cd09c45a11959a99ad6a6f622d63616e63656c6c6564a6706f6f6c2d31a67465616d2d31a56261\
        74636893cd01f4cd040001cdea60c303c326a963616e63656c6c6564000090c0929300000000ce000f43b2b963\
        616e63656c6c656420627920746865206f70657261746f729a99a86a6f622d646f6e65a6706f6f6c2d31a67465\
        616d2d31a66e6f726d616c93cd01f4cd040001cdea60c303c228a9737563636565646564010090c09293000000\
        0ace000f43daa09a99ac6a6f622d676976656e2d7570a6706f6f6c2d31a67465616d2d31a66e6f726d616c93cd\
        01f4cd040001cdea60c303c22ba7676976656e7570010191a4766d2d35c092930000000ace000f43f8a76e6f20\
        726f6f6d9a99ab6a6f622d72756e6e696e67a6706f6f6c2d31a67465616d2d31a66e6f726d616c93cd01f4cd04\
        0001cdea60c303c22fa772756e6e696e6701009097a4766d2d3503a66e6f64652d323093cd02bccd040001ce00\
        0f4416c39293cd02bccd04000100ce000f440ca09a99ab6a6f622d77616974696e67a6706f6f6c2d31a6746561\
        6d2d31a6757267656e7493cd01f4cd040001cdea60c303c227a770656e64696e67000090c0929300000000ce00\
        0f43bca0919896a6776176652d3192a6706f6f6c2d31a6706f6f6c2d32a67265626f6f74a372756ece000f4628\
        ce00186a0012ce000f42ea010101ce000f43300a929497c41000000000000000000000000000000002cf012345\
        6789abcdefa66e6f64652d310c81a5456e64656481a8616e737765726564ccc9ce000f443e3497c41000000000\
        000000000000000000000003cf0123456789abcdefa66e6f64652d310b81a5456e646564a66e6f7472756ece00\
        0f445c3797c41000000000000000000000000000000004cf0123456789abcdefa66e6f64652d310c81a5456e64\
        6564a7756e6b6e6f776ece000f447a3a97c4100000fedc000000000000000000000000cf0123456789abcdefa6\
        6e6f64652d310ba750656e64696e67ce000f443433949233c4100000fedc0000000000000000000000009234c4\
        10000000000000000000000000000000029237c41000000000000000000000000000000003923ac41000000000\
        00000000000000000000000494280b02cffedcba9876543210ce000f4498";

    /// A node starts with another state than the others before the first record.
    empty_state: FleetState::new() => "dc001200000094c000c00000010092900090909090909090929090c000";
}
