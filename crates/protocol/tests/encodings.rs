//! Golden encodings of records and messages, which nodes of other versions read and write.

use {
    lynxwheel_protocol::{
        ActionRequest, Amount, AppendRequest, AppendResponse, Budget, ClaimPurpose, Class,
        CodecError, EndpointLoad, JobOutcome, JobSpec, KeyOutcome, Kind, LogEntry, PeerEntries,
        PeerHello, PeerSnapshot, PolicySpec, PoolSpec, ReadResponse, Record, RecordBody,
        RequestKey, Resource, ResourceRef, Resources, ServiceSpec, SnapshotChunk, SnapshotId,
        TaskReport, TaskStart, TaskState, TeamSpec, VmAction, VmEntry, VmList, VmListState,
        VmPhase, VmReport, VmSpec, WaveAction, WaveGoal, WaveSpec, Weights, WriterId, decode_chunk,
        decode_message, decode_record, encode_chunk, encode_message, encode_record,
    },
    serde::{Serialize, de::DeserializeOwned},
    std::fmt::Debug,
};

/// Hexadecimal digits per line in the output of a failed test.
const DIGITS_PER_LINE: usize = 90;

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

/// Compares an encoding with the golden bytes; a failure prints it in the format of this file.
fn assert_golden(encoded: &[u8], golden: &str) {
    let encoded = hex(encoded);
    let starts = (0..encoded.len()).step_by(DIGITS_PER_LINE);
    let lines = starts.map(|at| &encoded[at..encoded.len().min(at + DIGITS_PER_LINE)]);
    let lines: Vec<&str> = lines.collect();
    assert!(encoded == golden, "encoded as\n{}", lines.join("\\\n"));
}

/// Checks that a value is encoded as the golden bytes and that they decode to the value.
fn check<T: Debug + PartialEq>(
    value: &T,
    golden: &str,
    encode: impl Fn(&T) -> Result<Vec<u8>, CodecError>,
    decode: impl Fn(&[u8]) -> Result<T, CodecError>,
) {
    assert_golden(&encode(value).expect("a small value"), golden);
    assert_eq!(decode(&bytes(golden)).as_ref(), Ok(value));
}

fn check_record(body: &RecordBody, golden: &str) {
    let record = Record {
        id: WriterId {
            incarnation: 7,
            sequence: 300,
        },
        time_ms: 1_700_000_000_123,
        body: body.clone(),
    };
    check(&record, golden, encode_record, decode_record);
}

fn check_message<T: Debug + DeserializeOwned + PartialEq + Serialize>(message: &T, golden: &str) {
    check(message, golden, encode_message, decode_message);
}

fn check_chunk(chunk: &SnapshotChunk, golden: &str) {
    check(chunk, golden, encode_chunk, decode_chunk);
}

macro_rules! golden {
    ($check:ident; $($(#[$doc:meta])* $name:ident: $value:expr => $golden:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $check(&$value, $golden); })*
    };
}

/// Returns bytes whose encoding differs between a sequence of numbers and a binary value.
fn sample_bytes() -> Vec<u8> {
    vec![0x01, 0x7f, 0x80, 0xff]
}

fn resources(cores_milli: u32) -> Resources {
    Resources {
        cores_milli,
        memory_mib: 2_048,
        accelerators: 3,
    }
}

fn put(resource: Resource) -> RecordBody {
    RecordBody::Put {
        resource: Box::new(resource),
        if_revision: Some(41),
    }
}

fn delete(kind: Kind) -> RecordBody {
    RecordBody::Delete {
        reference: ResourceRef::new(kind, "name-1"),
        if_revision: Some(42),
    }
}

fn policy() -> Resource {
    Resource::Policy(PolicySpec {
        name: "policy-1".into(),
        weights: Weights {
            roll_out: 2,
            buffer: 3,
            moves: 4,
        },
        key_keep_ms: 86_400_000,
        key_limit: 65_536,
    })
}

fn team() -> Resource {
    Resource::Team(TeamSpec {
        name: "team-1".into(),
        quota: resources(64_000),
    })
}

fn pool(min_available: Amount) -> Resource {
    Resource::Pool(PoolSpec {
        name: "pool-1".into(),
        size: 12,
        budget: Budget {
            min_available,
            zones_at_once: 2,
        },
    })
}

fn vm() -> Resource {
    Resource::Vm(VmSpec {
        name: "vm-1".into(),
        pool: "pool-1".into(),
    })
}

fn service() -> Resource {
    Resource::Service(ServiceSpec {
        name: "service-1".into(),
        pool: "pool-1".into(),
        slots_per_endpoint: 4,
        connections_per_endpoint: 8,
        deadline_ms: 2_500,
        team_rate_per_s: 90,
    })
}

fn job(class: Class) -> Resource {
    Resource::Job(JobSpec {
        name: "job-1".into(),
        pool: "pool-1".into(),
        team: "team-1".into(),
        class,
        demand: resources(1_500),
        run_time_ms: 60_000,
        checkpoint: true,
        max_attempts: 5,
        cancelled: true,
    })
}

fn wave(goal: WaveGoal) -> Resource {
    Resource::Wave(WaveSpec {
        name: "wave-1".into(),
        pools: vec!["pool-1".into(), "pool-2".into()],
        action: WaveAction::Reboot,
        goal,
        due_before_ms: 1_700_000_000_000,
        deadline_ms: 1_700_000_600_000,
    })
}

/// Returns a record that reports a VM in each phase.
fn report() -> RecordBody {
    let phases = [
        VmPhase::Live,
        VmPhase::Leaving,
        VmPhase::Failed,
        VmPhase::Unknown,
    ];
    let reports = phases.map(|phase| VmReport {
        vm: "vm-1".into(),
        incarnation: 4,
        phase,
        evidence_ms: 1_700_000_000_100,
        zone: "zone-1".into(),
        rack: "rack-1".into(),
        address: "10.0.0.1:9000".into(),
        capacity: resources(16_000),
    });
    RecordBody::Report {
        reports: reports.to_vec(),
    }
}

fn claim(purpose: ClaimPurpose) -> RecordBody {
    RecordBody::Claim {
        vm: "vm-1".into(),
        purpose,
        holder: "node-1".into(),
    }
}

fn end(outcome: JobOutcome) -> RecordBody {
    RecordBody::End {
        job: "job-1".into(),
        attempt: 2,
        outcome,
    }
}

fn outcome(outcome: KeyOutcome) -> RecordBody {
    RecordBody::Outcome {
        key: key(),
        outcome,
    }
}

fn key() -> RequestKey {
    RequestKey(0x0123_4567_89ab_cdef_fedc_ba98_7654_3210)
}

fn snapshot() -> SnapshotId {
    SnapshotId {
        offset: 70_000,
        writer: 7,
        chunks: 3,
        digest: 0xfedc_ba98_7654_3210,
    }
}

golden! {
    check_record;

    /// Guards against a joining node being unknown to others, which reject all its records.
    join: RecordBody::Join { node: "node-1".into(), fold_version: 2 } =>
        "939207cd012ccf0000018bcfe5687b81a44a6f696e92a66e6f64652d3102";

    /// Guards against nodes that keep the earlier fold version.
    raise_version: RecordBody::RaiseVersion { fold_version: 2 } =>
        "939207cd012ccf0000018bcfe5687b81ac526169736556657273696f6e9102";

    /// Guards against lost weights and limits.
    put_policy: put(policy()) => "\
        939207cd012ccf0000018bcfe5687b81a35075749292a6706f6c69637994a8706f6c6963792d3193020304ce05\
        265c00ce0001000029";

    /// Guards against a lost quota or swapped amounts.
    put_team: put(team()) =>
        "939207cd012ccf0000018bcfe5687b81a35075749292a47465616d92a67465616d2d3193cdfa00cd08000329";

    /// Guards against a percentage being lost or read as a count.
    put_pool_in_percent: put(pool(Amount::Percent(75))) => "\
        939207cd012ccf0000018bcfe5687b81a35075749292a4706f6f6c93a6706f6f6c2d310c9281a770657263656e\
        744b0229";

    /// Guards against a count being lost or read as a percentage.
    put_pool_as_count: put(pool(Amount::Count(9))) => "\
        939207cd012ccf0000018bcfe5687b81a35075749292a4706f6f6c93a6706f6f6c2d310c9281a5636f756e7409\
        0229";

    /// Guards against a lost pool or swapped names.
    put_vm: put(vm()) =>
        "939207cd012ccf0000018bcfe5687b81a35075749292a2766d92a4766d2d31a6706f6f6c2d3129";

    /// Guards against a lost pool or lost limits of a service.
    put_service: put(service()) => "\
        939207cd012ccf0000018bcfe5687b81a35075749292a77365727669636596a9736572766963652d31a6706f6f\
        6c2d310408cd09c45a29";

    /// Guards against an urgent job being lost or ordered last.
    put_urgent_job: put(job(Class::Urgent)) => "\
        939207cd012ccf0000018bcfe5687b81a35075749292a36a6f6299a56a6f622d31a6706f6f6c2d31a67465616d\
        2d31a6757267656e7493cd05dccd080003cdea60c305c329";

    /// Guards against a job being lost or ordered by another class.
    put_normal_job: put(job(Class::Normal)) => "\
        939207cd012ccf0000018bcfe5687b81a35075749292a36a6f6299a56a6f622d31a6706f6f6c2d31a67465616d\
        2d31a66e6f726d616c93cd05dccd080003cdea60c305c329";

    /// Guards against a batch job being lost or ordered first.
    put_batch_job: put(job(Class::Batch)) => "\
        939207cd012ccf0000018bcfe5687b81a35075749292a36a6f6299a56a6f622d31a6706f6f6c2d31a67465616d\
        2d31a5626174636893cd05dccd080003cdea60c305c329";

    /// Guards against a lost wave.
    put_running_wave: put(wave(WaveGoal::Run)) => "\
        939207cd012ccf0000018bcfe5687b81a35075749292a47761766596a6776176652d3192a6706f6f6c2d31a670\
        6f6f6c2d32a67265626f6f74a372756ecf0000018bcfe56800cf0000018bcfee8fc029";

    /// Guards against a paused wave that continues.
    put_paused_wave: put(wave(WaveGoal::Pause)) => "\
        939207cd012ccf0000018bcfe5687b81a35075749292a47761766596a6776176652d3192a6706f6f6c2d31a670\
        6f6f6c2d32a67265626f6f74a57061757365cf0000018bcfe56800cf0000018bcfee8fc029";

    /// Guards against an aborted wave that continues.
    put_aborted_wave: put(wave(WaveGoal::Abort)) => "\
        939207cd012ccf0000018bcfe5687b81a35075749292a47761766596a6776176652d3192a6706f6f6c2d31a670\
        6f6f6c2d32a67265626f6f74a561626f7274cf0000018bcfe56800cf0000018bcfee8fc029";

    /// Guards against an unconditional declaration being read as one that must create the resource.
    put_at_any_revision: RecordBody::Put { resource: Box::new(vm()), if_revision: None } =>
        "939207cd012ccf0000018bcfe5687b81a35075749292a2766d92a4766d2d31a6706f6f6c2d31c0";

    /// Guards against a withdrawn policy staying active.
    delete_policy: delete(Kind::Policy) =>
        "939207cd012ccf0000018bcfe5687b81a644656c6574659292a6706f6c696379a66e616d652d312a";

    /// Guards against a withdrawn team being kept.
    delete_team: delete(Kind::Team) =>
        "939207cd012ccf0000018bcfe5687b81a644656c6574659292a47465616da66e616d652d312a";

    /// Guards against a withdrawn pool being kept.
    delete_pool: delete(Kind::Pool) =>
        "939207cd012ccf0000018bcfe5687b81a644656c6574659292a4706f6f6ca66e616d652d312a";

    /// Guards against a withdrawn VM that gets work.
    delete_vm: delete(Kind::Vm) =>
        "939207cd012ccf0000018bcfe5687b81a644656c6574659292a2766da66e616d652d312a";

    /// Guards against a withdrawn service that accepts requests.
    delete_service: delete(Kind::Service) =>
        "939207cd012ccf0000018bcfe5687b81a644656c6574659292a773657276696365a66e616d652d312a";

    /// Guards against a withdrawn job that starts.
    delete_job: delete(Kind::Job) =>
        "939207cd012ccf0000018bcfe5687b81a644656c6574659292a36a6f62a66e616d652d312a";

    /// Guards against a withdrawn wave that continues.
    delete_wave: delete(Kind::Wave) =>
        "939207cd012ccf0000018bcfe5687b81a644656c6574659292a477617665a66e616d652d312a";

    /// Guards against a lost phase, by which a failed VM would get work.
    report_of_each_phase: report() => "\
        939207cd012ccf0000018bcfe5687b81a65265706f7274919498a4766d2d3104a46c697665cf0000018bcfe568\
        64a67a6f6e652d31a67261636b2d31ad31302e302e302e313a3930303093cd3e80cd08000398a4766d2d3104a7\
        6c656176696e67cf0000018bcfe56864a67a6f6e652d31a67261636b2d31ad31302e302e302e313a3930303093\
        cd3e80cd08000398a4766d2d3104a66661696c6564cf0000018bcfe56864a67a6f6e652d31a67261636b2d31ad\
        31302e302e302e313a3930303093cd3e80cd08000398a4766d2d3104a7756e6b6e6f776ecf0000018bcfe56864\
        a67a6f6e652d31a67261636b2d31ad31302e302e302e313a3930303093cd3e80cd080003";

    /// Guards against a VM claimed for maintenance counting as available.
    claim_for_maintenance: claim(ClaimPurpose::Maintain("wave-1".into())) => "\
        939207cd012ccf0000018bcfe5687b81a5436c61696d93a4766d2d3181a86d61696e7461696ea6776176652d31\
        a66e6f64652d31";

    /// Guards against a VM claimed for a move counting as available.
    claim_for_move: claim(ClaimPurpose::Move("pool-2".into())) => "\
        939207cd012ccf0000018bcfe5687b81a5436c61696d93a4766d2d3181a46d6f7665a6706f6f6c2d32a66e6f64\
        652d31";

    /// Guards against an action that begins without the knowledge of other nodes.
    begin: RecordBody::Begin {
        vm: "vm-1".into(),
        fence: 70_001,
        not_after_ms: 1_700_000_005_000,
    } => "939207cd012ccf0000018bcfe5687b81a5426567696e93a4766d2d31ce00011171cf0000018bcfe57b88";

    /// Guards against two holders of one claim.
    take_over: RecordBody::TakeOver {
        vm: "vm-1".into(),
        fence: 70_002,
        holder: "node-2".into(),
    } => "939207cd012ccf0000018bcfe5687b81a854616b654f76657293a4766d2d31ce00011172a66e6f64652d32";

    /// Guards against a released claim that stays charged to the budget.
    release: RecordBody::Release { vm: "vm-1".into(), fence: 70_003 } =>
        "939207cd012ccf0000018bcfe5687b81a752656c6561736592a4766d2d31ce00011173";

    /// Guards against completed maintenance staying charged, or a failure counting as done.
    done: RecordBody::Done { vm: "vm-1".into(), fence: 70_004, succeeded: true } =>
        "939207cd012ccf0000018bcfe5687b81a4446f6e6593a4766d2d31ce00011174c3";

    /// Guards against a moved VM that still belongs to its previous pool.
    hand_over: RecordBody::HandOver { vm: "vm-1".into(), fence: 70_005 } =>
        "939207cd012ccf0000018bcfe5687b81a848616e644f76657292a4766d2d31ce00011175";

    /// Guards against a second start of a running job.
    start: RecordBody::Start {
        job: "job-1".into(),
        attempt: 2,
        vm: "vm-1".into(),
        reserved: resources(1_500),
        holder: "node-1".into(),
    } => "\
        939207cd012ccf0000018bcfe5687b81a5537461727495a56a6f622d3102a4766d2d3193cd05dccd080003a66e\
        6f64652d31";

    /// Guards against a stopped attempt that continues.
    stop: RecordBody::Stop { job: "job-1".into(), attempt: 2 } =>
        "939207cd012ccf0000018bcfe5687b81a453746f7092a56a6f622d3102";

    /// Guards against a succeeded job that runs again.
    end_succeeded: end(JobOutcome::Succeeded) =>
        "939207cd012ccf0000018bcfe5687b81a3456e6493a56a6f622d3102a9737563636565646564";

    /// Guards against a failed attempt that is not counted.
    end_failed: end(JobOutcome::Failed) =>
        "939207cd012ccf0000018bcfe5687b81a3456e6493a56a6f622d3102a66661696c6564";

    /// Guards against a checkpointed attempt counting as failed or running.
    end_checkpointed: end(JobOutcome::Checkpointed) =>
        "939207cd012ccf0000018bcfe5687b81a3456e6493a56a6f622d3102ac636865636b706f696e746564";

    /// Guards against an attempt that never started keeping its reservation.
    end_not_started: end(JobOutcome::NotStarted) =>
        "939207cd012ccf0000018bcfe5687b81a3456e6493a56a6f622d3102aa6e6f7473746172746564";

    /// Guards against a job that was lost with its VM never restarting.
    end_lost: end(JobOutcome::Lost) =>
        "939207cd012ccf0000018bcfe5687b81a3456e6493a56a6f622d3102a46c6f7374";

    /// Guards against placing a job by its declared demand when it uses more.
    usage: RecordBody::Usage {
        job: "job-1".into(),
        attempt: 2,
        used: resources(1_700),
    } => "939207cd012ccf0000018bcfe5687b81a5557361676593a56a6f622d310293cd06a4cd080003";

    /// Guards against an abandoned job that starts again.
    give_up: RecordBody::GiveUp { job: "job-1".into(), reason: "no room".into() } =>
        "939207cd012ccf0000018bcfe5687b81a647697665557092a56a6f622d31a76e6f20726f6f6d";

    /// Guards against a quarantined VM that gets work.
    quarantine: RecordBody::Quarantine {
        vm: "vm-1".into(),
        until_ms: 1_700_000_060_000,
    } => "939207cd012ccf0000018bcfe5687b81aa51756172616e74696e6592a4766d2d31cf0000018bcfe65260";

    /// Guards against executing two requests with the same key.
    intent: RecordBody::Intent {
        key: key(),
        request_digest: 0x0123_4567_89ab_cdef,
        holder: "node-1".into(),
    } => "\
        939207cd012ccf0000018bcfe5687b81a6496e74656e7493c4100123456789abcdeffedcba9876543210cf0123\
        456789abcdefa66e6f64652d31";

    /// Guards against a lost outcome or status of a completed request.
    outcome_answered: outcome(KeyOutcome::Answered(201)) => "\
        939207cd012ccf0000018bcfe5687b81a74f7574636f6d6592c4100123456789abcdeffedcba987654321081a8\
        616e737765726564ccc9";

    /// Guards against rejecting a key that may be used again.
    outcome_not_run: outcome(KeyOutcome::NotRun) => "\
        939207cd012ccf0000018bcfe5687b81a74f7574636f6d6592c4100123456789abcdeffedcba9876543210a66e\
        6f7472756e";

    /// Guards against repeating a request that may have been executed.
    outcome_unknown: outcome(KeyOutcome::Unknown) => "\
        939207cd012ccf0000018bcfe5687b81a74f7574636f6d6592c4100123456789abcdeffedcba9876543210a775\
        6e6b6e6f776e";

    /// Guards against a starting node that does not find the latest snapshot.
    snapshot_record: RecordBody::Snapshot { id: snapshot() } =>
        "939207cd012ccf0000018bcfe5687b81a8536e617073686f749194ce000111700703cffedcba9876543210";

    /// Guards against time not advancing when no other record is written.
    tick: RecordBody::Tick => "939207cd012ccf0000018bcfe5687ba45469636b";
}

fn load(in_progress: u32) -> EndpointLoad {
    EndpointLoad {
        vm: "vm-1".into(),
        incarnation: 4,
        in_progress,
    }
}

fn hello() -> PeerHello {
    PeerHello {
        node: "node-1".into(),
        incarnation: 7,
        zone: "zone-1".into(),
        stopping: true,
        reads_log: true,
        diverged: true,
        fold_version: 2,
        offset: 70_000,
        digest_offset: 69_999,
        digest: 0x0123_4567_89ab_cdef,
        content_offset: 69_998,
        content_digest: 0xfedc_ba98_7654_3210,
        loads: vec![load(300)],
        leaving: vec![load(2)],
    }
}

fn entries() -> Vec<LogEntry> {
    let entry = |offset| LogEntry {
        offset,
        bytes: sample_bytes(),
    };
    vec![entry(70_000), entry(70_001)]
}

fn task_start() -> TaskStart {
    TaskStart {
        job: "job-1".into(),
        attempt: 2,
        reserved: resources(1_500),
        run_time_ms: 60_000,
        lease_ms: 30_000,
        vm_incarnation: 4,
        not_after_ms: 1_700_000_005_000,
    }
}

/// Returns a task report in each state.
fn task_reports() -> Vec<TaskReport> {
    let states = [
        TaskState::Running,
        TaskState::Succeeded,
        TaskState::Failed,
        TaskState::Checkpointed,
    ];
    let reports = states.map(|state| TaskReport {
        job: "job-1".into(),
        attempt: 2,
        state,
        used: resources(1_400),
    });
    reports.to_vec()
}

/// Returns a list with a VM in each state.
fn vm_list() -> VmList {
    let vms = [VmListState::Live, VmListState::Leaving].map(|state| VmEntry {
        name: "vm-1".into(),
        incarnation: 4,
        state,
        zone: "zone-1".into(),
        rack: "rack-1".into(),
        address: "10.0.0.1:9000".into(),
        capacity: resources(16_000),
    });
    VmList {
        made_ms: 1_700_000_000_000,
        vms: vms.to_vec(),
    }
}

fn action(action: VmAction) -> ActionRequest {
    ActionRequest {
        action,
        fence: 70_001,
        not_after_ms: 1_700_000_005_000,
        vm_incarnation: 4,
    }
}

golden! {
    check_message;

    /// Guards against a node that considers its peers unavailable or misidentifies them.
    peer_hello: hello() => "\
        8ea46e6f6465a66e6f64652d31ab696e6361726e6174696f6e07a47a6f6e65a67a6f6e652d31a873746f707069\
        6e67c3a972656164735f6c6f67c3a86469766572676564c3ac666f6c645f76657273696f6e02a66f6666736574\
        ce00011170ad6469676573745f6f6666736574ce0001116fa6646967657374cf0123456789abcdefae636f6e74\
        656e745f6f6666736574ce0001116eae636f6e74656e745f646967657374cffedcba9876543210a56c6f616473\
        9193a4766d2d3104cd012ca76c656176696e679193a4766d2d310402";

    /// Guards against a node without access to the log getting no entries from its peers.
    peer_entries: PeerEntries { entries: entries() } => "\
        81a7656e74726965739282a66f6666736574ce00011170a56279746573c404017f80ff82a66f6666736574ce00\
        011171a56279746573c404017f80ff";

    /// Guards against a starting node getting no snapshot from its peers.
    peer_snapshot: PeerSnapshot {
        offset: 70_000,
        digest: 0x0123_4567_89ab_cdef,
        bytes: sample_bytes(),
    } => "83a66f6666736574ce00011170a6646967657374cf0123456789abcdefa56279746573c404017f80ff";

    /// Guards against a worker that starts nothing or uses a wrong lease.
    task_start_message: task_start() => "\
        87a36a6f62a56a6f622d31a7617474656d707402a8726573657276656483ab636f7265735f6d696c6c69cd05dc\
        aa6d656d6f72795f6d6962cd0800ac616363656c657261746f727303ab72756e5f74696d655f6d73cdea60a86c\
        656173655f6d73cd7530ae766d5f696e6361726e6174696f6e04ac6e6f745f61667465725f6d73cf0000018bcf\
        e57b88";

    /// Guards against an ended attempt counting as running.
    task_report_of_each_state: task_reports() => "\
        9484a36a6f62a56a6f622d31a7617474656d707402a57374617465a772756e6e696e67a47573656483ab636f72\
        65735f6d696c6c69cd0578aa6d656d6f72795f6d6962cd0800ac616363656c657261746f72730384a36a6f62a5\
        6a6f622d31a7617474656d707402a57374617465a9737563636565646564a47573656483ab636f7265735f6d69\
        6c6c69cd0578aa6d656d6f72795f6d6962cd0800ac616363656c657261746f72730384a36a6f62a56a6f622d31\
        a7617474656d707402a57374617465a66661696c6564a47573656483ab636f7265735f6d696c6c69cd0578aa6d\
        656d6f72795f6d6962cd0800ac616363656c657261746f72730384a36a6f62a56a6f622d31a7617474656d7074\
        02a57374617465ac636865636b706f696e746564a47573656483ab636f7265735f6d696c6c69cd0578aa6d656d\
        6f72795f6d6962cd0800ac616363656c657261746f727303";

    /// Guards against unknown VMs, or a leaving VM that gets work.
    vm_list_of_each_state: vm_list() => "\
        82a76d6164655f6d73cf0000018bcfe56800a3766d739287a46e616d65a4766d2d31ab696e6361726e6174696f\
        6e04a57374617465a46c697665a47a6f6e65a67a6f6e652d31a47261636ba67261636b2d31a761646472657373\
        ad31302e302e302e313a39303030a8636170616369747983ab636f7265735f6d696c6c69cd3e80aa6d656d6f72\
        795f6d6962cd0800ac616363656c657261746f72730387a46e616d65a4766d2d31ab696e6361726e6174696f6e\
        04a57374617465a76c656176696e67a47a6f6e65a67a6f6e652d31a47261636ba67261636b2d31a76164647265\
        7373ad31302e302e302e313a39303030a8636170616369747983ab636f7265735f6d696c6c69cd3e80aa6d656d\
        6f72795f6d6962cd0800ac616363656c657261746f727303";

    /// Guards against failing appends.
    append_request: AppendRequest { entries: vec![sample_bytes(), vec![0x05]] } =>
        "81a7656e747269657392c404017f80ffc40105";

    /// Guards against unknown offsets of appended records.
    append_response: AppendResponse { first_offset: 70_000 } =>
        "81ac66697273745f6f6666736574ce00011170";

    /// Guards against an unreadable log.
    read_response: ReadResponse {
        earliest_offset: 60_000,
        next_offset: 70_002,
        entries: entries(),
    } => "\
        83af6561726c696573745f6f6666736574cdea60ab6e6578745f6f6666736574ce00011172a7656e7472696573\
        9282a66f6666736574ce00011170a56279746573c404017f80ff82a66f6666736574ce00011171a56279746573\
        c404017f80ff";

    /// Guards against a draining VM that accepts new work.
    action_drain: action(VmAction::Drain) => "\
        84a6616374696f6ea5647261696ea566656e6365ce00011171ac6e6f745f61667465725f6d73cf0000018bcfe5\
        7b88ae766d5f696e6361726e6174696f6e04";

    /// Guards against a VM that accepts no work after its restart.
    action_undrain: action(VmAction::Undrain) => "\
        84a6616374696f6ea7756e647261696ea566656e6365ce00011171ac6e6f745f61667465725f6d73cf0000018b\
        cfe57b88ae766d5f696e6361726e6174696f6e04";

    /// Guards against a missing restart, or one with an expired fencing token.
    action_reboot: action(VmAction::Reboot) => "\
        84a6616374696f6ea67265626f6f74a566656e6365ce00011171ac6e6f745f61667465725f6d73cf0000018bcf\
        e57b88ae766d5f696e6361726e6174696f6e04";
}

golden! {
    check_chunk;

    /// Guards against a starting node that cannot read a snapshot.
    snapshot_chunk: SnapshotChunk { id: snapshot(), index: 2, bytes: sample_bytes() } =>
        "9394ce000111700703cffedcba987654321002c404017f80ff";
}
