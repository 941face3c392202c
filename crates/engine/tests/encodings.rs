//! Golden encodings of stored records and of messages between nodes, which owners of other builds
//! read and write.

mod common;

use {
    common::{Fleet, account, job_id, queue, standby_vm, step},
    lynxwheel_engine::{
        Attempt, CallOutcome, CallerLimits, ClientAccount, ClientAccounts, Effect, EndKind,
        EndedTask, EndpointAddress, EndpointReport, Engine, EngineSettings, Event, FleetConfig,
        Job, JobSpec, JobState, KeyDigest, Now, Pool, Queue, Record, Refusal, Resources,
        RunningTask, StartOrder, StepSpec, TaskRef, UnreadRecord, VmOutcome, WaveOrder,
    },
    serde::{Serialize, de::DeserializeOwned},
    std::{collections::BTreeMap, fmt::Debug, net::SocketAddr},
};

/// Number of hexadecimal digits per line.
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

/// Compares an encoding with the golden bytes; prints the encoding if they differ.
fn assert_held(encoded: &[u8], held: &str) {
    let encoded = hex(encoded);
    let starts = (0..encoded.len()).step_by(LINE_DIGITS);
    let lines = starts.map(|at| &encoded[at..encoded.len().min(at + LINE_DIGITS)]);
    let lines: Vec<&str> = lines.collect();
    assert!(encoded == held, "encoded as\n{}", lines.join("\\\n"));
}

/// Checks that a value is encoded with field names as the golden bytes, and that decoding them
/// returns the value.
fn check<T: Debug + DeserializeOwned + Serialize>(value: &T, held: &str) {
    assert_held(&rmp_serde::to_vec_named(value).expect("a value"), held);
    let decoded: T = rmp_serde::from_slice(&bytes(held)).expect("a value");
    assert_eq!(format!("{decoded:?}"), format!("{value:?}"));
    assert_held(&rmp_serde::to_vec_named(&decoded).expect("a value"), held);
}

macro_rules! held {
    ($($(#[$guard:meta])* $name:ident: $value:expr => $held:expr;)*) => {
        $($(#[$guard])* #[test] fn $name() { check(&$value, $held); })*
    };
}

fn address(port: u16) -> SocketAddr {
    ([10, 0, 0, 1], port).into()
}

fn task() -> TaskRef {
    "5c0e7a21d94b36f8.3.1.300".parse().expect("a task's name")
}

fn resources(cpu_millis: u64) -> Resources {
    Resources {
        cpu_millis,
        memory_mb: 2_048,
        gpus: 1,
    }
}

/// Returns a queue with all fields set.
fn full_queue() -> Queue {
    Queue {
        host: "tiles.example".into(),
        path_prefix: "/tiles/".into(),
        pool: "tiles".into(),
        priority: 3,
        max_attempts: 4,
        stretch: 1.6,
        target_latency_ms: 600,
        advised: true,
        is_public: true,
    }
}

/// Returns a step with all fields set, if it depends on others.
fn full_step(depends_on: Vec<u16>) -> StepSpec {
    StepSpec {
        count: 300,
        resources: resources(1_500),
        estimated_ms: 90_000,
        depends_on,
        saves_progress: true,
        gang: true,
        same_rack: true,
        required_label: "gpu".into(),
        data_rack: "rack-7".into(),
        max_per_endpoint: 2,
        concurrent_copies: true,
        long_running: true,
        image: "tiles".into(),
        target_ms: 40,
        filler: true,
        max_unavailable: 5,
    }
}

/// Returns a job with all fields set.
fn full_spec() -> JobSpec {
    JobSpec {
        payload: "z=7&x=3".into(),
        steps: vec![full_step(Vec::new()), full_step(vec![0])],
        repeat_count: 6,
        interval_ms: 60_000,
        first_due_ms: 1_700_000_000_000,
    }
}

fn config() -> FleetConfig {
    let account = |name: &str| ClientAccount {
        name: name.into(),
        keys: vec![KeyDigest::new(name.as_bytes())],
        weight: 2.5,
        quota: resources(64_000),
    };
    FleetConfig {
        version: 12,
        queues: vec![full_queue()],
        pools: vec![Pool {
            name: "tiles".into(),
            is_standby: true,
            checks_admission: true,
        }],
        limits: CallerLimits {
            max_body_bytes: 300_000,
            max_header_bytes: 20_000,
            header_timeout_ms: 2_000,
        },
        accounts: ClientAccounts::new(vec![account("account-1"), account("account-2")]),
    }
}

/// Returns a report with an end of each kind.
fn report() -> EndpointReport {
    let kinds = [
        EndKind::Done,
        EndKind::Failed,
        EndKind::Stopped,
        EndKind::Lapsed,
        EndKind::Broken,
        EndKind::Alone,
        EndKind::Unknown,
    ];
    let ended = kinds.map(|kind| EndedTask {
        number: 40,
        task: task(),
        run: 2,
        kind,
        checkpoint: "half".into(),
    });
    EndpointReport {
        clock_ms: 2_500_000,
        running: vec![RunningTask {
            task: task(),
            run: 2,
            checkpoint: "half".into(),
            percent: 60,
            usage: Some(750),
        }],
        ended: ended.to_vec(),
        is_partial: true,
        born_ms: None,
    }
}

fn start_order() -> StartOrder {
    StartOrder {
        endpoint: 17,
        task: task(),
        run: 2,
        payload: "z=7&x=3".into(),
        origin: Some(address(7_061)),
        deadline_ms: 2_506_000,
        checkpoint: "half".into(),
        ticket: "ticket-1".into(),
    }
}

fn done() -> CallOutcome<u64> {
    CallOutcome::Done(2_500_000)
}

fn refused(refusal: Refusal) -> CallOutcome<u64> {
    CallOutcome::Refused(refusal)
}

held! {
    /// Guards against a node that cannot read the configuration of another build, or reads another
    /// one.
    fleet_config: config() => "\
        85a776657273696f6e0ca67175657565739189a4686f7374ad74696c65732e6578616d706c65ab706174685f70\
        7265666978a72f74696c65732fa4706f6f6ca574696c6573a87072696f7269747903ac6d61785f617474656d70\
        747304a773747265746368cb3ff999999999999ab17461726765745f6c6174656e63795f6d73cd0258a7616476\
        69736564c3a969735f7075626c6963c3a5706f6f6c739183a46e616d65a574696c6573aa69735f7374616e6462\
        79c3b0636865636b735f61646d697373696f6ec3a66c696d69747383ae6d61785f626f64795f6279746573ce00\
        0493e0b06d61785f6865616465725f6279746573cd4e20b16865616465725f74696d656f75745f6d73cd07d0a8\
        6163636f756e747382a86163636f756e74739284a46e616d65a96163636f756e742d31a46b65797391dc002007\
        cce9cc98012c1137ccdecccdccf3ccefccbbccb1ccc3ccee6d79ccb01563cc8cccbc197bccdbcccccce1cc875d\
        cce4ccfaccada6776569676874cb4004000000000000a571756f746183aa6370755f6d696c6c6973cdfa00a96d\
        656d6f72795f6d62cd0800a4677075730184a46e616d65a96163636f756e742d32a46b65797391dc0020703039\
        cce8cc81cc85cc964b380eccf6cced7dccef54cc8a2d3cccbd7fcc90412e2bccaccca114ccdf5acca3ccc65ba6\
        776569676874cb4004000000000000a571756f746183aa6370755f6d696c6c6973cdfa00a96d656d6f72795f6d\
        62cd0800a46770757301a46b6579739292dc002007cce9cc98012c1137ccdecccdccf3ccefccbbccb1ccc3ccee\
        6d79ccb01563cc8cccbc197bccdbcccccce1cc875dcce4ccfaccad0092dc0020703039cce8cc81cc85cc964b38\
        0eccf6cced7dccef54cc8a2d3cccbd7fcc90412e2bccaccca114ccdf5acca3ccc65b01";

    /// Guards against losing runs and ends reported by an endpoint.
    endpoint_report: report() => "\
        84a8636c6f636b5f6d73ce002625a0a772756e6e696e679185a47461736b84a36a6f62dc001035633065376132\
        316439346233366638aa6f6363757272656e636503a47374657001a5696e646578cd012ca372756e02aa636865\
        636b706f696e74a468616c66a770657263656e743ca57573616765cd02eea5656e6465649785a66e756d626572\
        28a47461736b84a36a6f62dc001035633065376132316439346233366638aa6f6363757272656e636503a47374\
        657001a5696e646578cd012ca372756e02a46b696e64a4446f6e65aa636865636b706f696e74a468616c6685a6\
        6e756d62657228a47461736b84a36a6f62dc001035633065376132316439346233366638aa6f6363757272656e\
        636503a47374657001a5696e646578cd012ca372756e02a46b696e64a64661696c6564aa636865636b706f696e\
        74a468616c6685a66e756d62657228a47461736b84a36a6f62dc001035633065376132316439346233366638aa\
        6f6363757272656e636503a47374657001a5696e646578cd012ca372756e02a46b696e64a753746f70706564aa\
        636865636b706f696e74a468616c6685a66e756d62657228a47461736b84a36a6f62dc00103563306537613231\
        6439346233366638aa6f6363757272656e636503a47374657001a5696e646578cd012ca372756e02a46b696e64\
        a64c6170736564aa636865636b706f696e74a468616c6685a66e756d62657228a47461736b84a36a6f62dc0010\
        35633065376132316439346233366638aa6f6363757272656e636503a47374657001a5696e646578cd012ca372\
        756e02a46b696e64a642726f6b656eaa636865636b706f696e74a468616c6685a66e756d62657228a47461736b\
        84a36a6f62dc001035633065376132316439346233366638aa6f6363757272656e636503a47374657001a5696e\
        646578cd012ca372756e02a46b696e64a5416c6f6e65aa636865636b706f696e74a468616c6685a66e756d6265\
        7228a47461736b84a36a6f62dc001035633065376132316439346233366638aa6f6363757272656e636503a473\
        74657001a5696e646578cd012ca372756e02a46b696e64a7556e6b6e6f776eaa636865636b706f696e74a46861\
        6c66aa69735f7061727469616cc3";

    /// Guards against starting a task with other values than ordered.
    start_order_alone: start_order() => "\
        88a8656e64706f696e7411a47461736b84a36a6f62dc001035633065376132316439346233366638aa6f636375\
        7272656e636503a47374657001a5696e646578cd012ca372756e02a77061796c6f6164a77a3d3726783d33a66f\
        726967696e81a2563492940a000001cd1b95ab646561646c696e655f6d73ce00263d10aa636865636b706f696e\
        74a468616c66a67469636b6574a87469636b65742d31";

    /// Guards against calling another endpoint, or none.
    endpoint_address: EndpointAddress { id: "i-1".into(), address: address(9_000) } =>
        "82a26964a3692d31a76164647265737381a2563492940a000001cd2328";

    /// Guards against treating a completed call as unknown.
    outcome_done: done() => "81a4446f6e65ce002625a0";

    /// Guards against treating an answered renewal as unknown.
    outcome_done_with_report: CallOutcome::Done(report()) => "\
        81a4446f6e6584a8636c6f636b5f6d73ce002625a0a772756e6e696e679185a47461736b84a36a6f62dc001035\
        633065376132316439346233366638aa6f6363757272656e636503a47374657001a5696e646578cd012ca37275\
        6e02aa636865636b706f696e74a468616c66a770657263656e743ca57573616765cd02eea5656e6465649785a6\
        6e756d62657228a47461736b84a36a6f62dc001035633065376132316439346233366638aa6f6363757272656e\
        636503a47374657001a5696e646578cd012ca372756e02a46b696e64a4446f6e65aa636865636b706f696e74a4\
        68616c6685a66e756d62657228a47461736b84a36a6f62dc001035633065376132316439346233366638aa6f63\
        63757272656e636503a47374657001a5696e646578cd012ca372756e02a46b696e64a64661696c6564aa636865\
        636b706f696e74a468616c6685a66e756d62657228a47461736b84a36a6f62dc00103563306537613231643934\
        6233366638aa6f6363757272656e636503a47374657001a5696e646578cd012ca372756e02a46b696e64a75374\
        6f70706564aa636865636b706f696e74a468616c6685a66e756d62657228a47461736b84a36a6f62dc00103563\
        3065376132316439346233366638aa6f6363757272656e636503a47374657001a5696e646578cd012ca372756e\
        02a46b696e64a64c6170736564aa636865636b706f696e74a468616c6685a66e756d62657228a47461736b84a3\
        6a6f62dc001035633065376132316439346233366638aa6f6363757272656e636503a47374657001a5696e6465\
        78cd012ca372756e02a46b696e64a642726f6b656eaa636865636b706f696e74a468616c6685a66e756d626572\
        28a47461736b84a36a6f62dc001035633065376132316439346233366638aa6f6363757272656e636503a47374\
        657001a5696e646578cd012ca372756e02a46b696e64a5416c6f6e65aa636865636b706f696e74a468616c6685\
        a66e756d62657228a47461736b84a36a6f62dc001035633065376132316439346233366638aa6f636375727265\
        6e636503a47374657001a5696e646578cd012ca372756e02a46b696e64a7556e6b6e6f776eaa636865636b706f\
        696e74a468616c66aa69735f7061727469616cc3";

    /// Guards against counting the runs of an ended incarnation as active.
    outcome_other_life: CallOutcome::<u64>::OtherLife => "a94f746865724c696665";

    /// Guards against an owner that continues after it was replaced.
    outcome_fenced: CallOutcome::<u64>::Fenced => "a646656e636564";

    /// Guards against counting a run as placed after it has ended at its endpoint.
    outcome_refused_old_run: refused(Refusal::OldRun) => "81a752656675736564a64f6c6452756e";

    /// Guards against treating an expired order as executed.
    outcome_refused_late: refused(Refusal::Late) => "81a752656675736564a44c617465";

    /// Guards against sending more tasks to a full endpoint.
    outcome_refused_no_room: refused(Refusal::NoRoom) => "81a752656675736564a64e6f526f6f6d";

    /// Guards against reusing an invalid ticket.
    outcome_refused_ticket: refused(Refusal::Ticket) => "81a752656675736564a65469636b6574";

    /// Guards against sending more tasks to an unhealthy endpoint.
    outcome_refused_unhealthy: refused(Refusal::Unhealthy) =>
        "81a752656675736564a9556e6865616c746879";

    /// Guards against retrying a malformed order forever.
    outcome_refused_invalid: refused(Refusal::Invalid) => "81a752656675736564a7496e76616c6964";

    /// Guards against treating an unsent call as one that may still take effect.
    outcome_unsent: CallOutcome::<u64>::Unsent => "a6556e73656e74";

    /// Guards against treating a call that may still take effect as unsent, so that the task runs
    /// twice.
    outcome_unknown: CallOutcome::<u64>::Unknown => "a7556e6b6e6f776e";
}

/// Epoch of the writing owners.
const EPOCH: u64 = 70_000;

/// Returns a fleet whose owner has an epoch, with an account and a number of endpoints.
fn fleet(endpoints: u32) -> Fleet {
    let mut fleet = Fleet::new();
    fleet.engine = Engine::new(EngineSettings::default()).with_epoch(EPOCH);
    fleet.configure_accounts(&[account("account-1", 0)]);
    for number in 1..=endpoints {
        fleet.list_endpoint(&format!("i-{number}"), 16_000);
    }
    fleet
}

/// Returns the stored record of a key.
fn stored(fleet: &Fleet, key: &str) -> Record {
    let mut records = fleet.stored.iter();
    let record = records.find(|record| record.key == key);
    record.unwrap_or_else(|| panic!("no {key}")).clone()
}

fn spec_of(fleet: &Fleet, job: u64) -> Record {
    stored(fleet, &format!("j/{}", job_id(job)))
}

fn progress_of(fleet: &Fleet, job: u64) -> Record {
    stored(fleet, &format!("s/{}", job_id(job)))
}

/// Returns a record with the golden value.
fn held_record(key: &str, held: &str) -> Record {
    Record {
        key: key.into(),
        value: bytes(held),
    }
}

/// Returns an engine restored from records.
fn restored(records: &[Record], now: Now) -> Engine {
    let mut engine = Engine::new(EngineSettings::default()).with_epoch(EPOCH);
    assert_eq!(engine.restore(records, now), Vec::<UnreadRecord<'_>>::new());
    engine
}

/// Returns the job records that a restored owner writes.
///
/// Jobs are written again when their queue has changed, so the queue is changed and changed back.
fn written_again(records: &[Record], queue: &Queue, now: Now) -> Vec<Record> {
    let mut engine = restored(records, now);
    assert!(engine.jobs().all(|job| job.queue == *queue));
    let changed = Queue {
        priority: queue.priority + 1,
        ..queue.clone()
    };
    for (version, queue) in [(1, &changed), (2, queue)] {
        let config = FleetConfig {
            version,
            queues: vec![queue.clone()],
            ..FleetConfig::default()
        };
        engine.handle(Event::ConfigChanged(config.into()), now);
    }
    engine.take_batch(now).records
}

/// Checks both records of a job, and that an owner restored from the golden bytes writes the same.
fn check_job(fleet: &Fleet, job: u64, queue: &Queue, held_spec: &str, held_progress: &str) {
    let spec = spec_of(fleet, job);
    assert_held(&spec.value, held_spec);
    let progress = progress_of(fleet, job);
    assert_held(&progress.value, held_progress);
    let held = [
        held_record(&spec.key, held_spec),
        held_record(&progress.key, held_progress),
    ];
    assert_eq!(written_again(&held, queue, fleet.now), [spec, progress]);
}

/// Guards against losing or changing a job that waits for its first occurrence.
#[test]
fn job_with_every_field_set() {
    let mut fleet = fleet(0);
    fleet.submit_for("account-1", full_queue(), 1, full_spec());
    fleet.settle();
    check_job(
        &fleet,
        1,
        &full_queue(),
        SPEC_WITH_EVERY_FIELD,
        PROGRESS_QUEUED,
    );
}

const SPEC_WITH_EVERY_FIELD: &str = "\
    9399ad74696c65732e6578616d706c65a72f74696c65732fa574696c65730304cb3ff999999999999acd0258c3\
    c395a77a3d3726783d3392dc0010cd012c93cd05dccd080001ce00015f9090c3c3c3a3677075a67261636b2d37\
    02c3c3a574696c657328c305dc0010cd012c93cd05dccd080001ce00015f909100c3c3c3a3677075a67261636b\
    2d3702c3c3a574696c657328c30506cdea60cf0000018bcfe56800ce004c4b40";

const PROGRESS_QUEUED: &str = "95a6517565756564009090a96163636f756e742d31";

/// Returns a job of two steps with two occurrences that are due.
fn due_twice(fleet: &Fleet) -> JobSpec {
    JobSpec {
        payload: "z=7".into(),
        steps: vec![
            step(2),
            StepSpec {
                depends_on: vec![0],
                ..step(1)
            },
        ],
        repeat_count: 2,
        interval_ms: 0,
        first_due_ms: fleet.now.wall_ms,
    }
}

/// Ends a run with a checkpoint.
fn end_run(fleet: &mut Fleet, task: &str, kind: EndKind, checkpoint: &str) {
    let name = format!("{}.{task}", job_id(1));
    let name: TaskRef = name.parse().expect("a task's name");
    for endpoint in &mut fleet.endpoints {
        let run = endpoint.running.iter().find(|(task, _)| *task == name);
        if let Some((task, run)) = run.copied() {
            endpoint.end(&task, run, kind);
            let ended = endpoint.ended.last_mut().expect("the end");
            ended.checkpoint = checkpoint.into();
            return;
        }
    }
    panic!("{task} runs nowhere");
}

/// Returns a fleet with a job of which one task is done, one runs again from a checkpoint after a
/// failure, and others run for the first time.
fn fleet_at_work() -> Fleet {
    let mut fleet = fleet(2);
    let spec = due_twice(&fleet);
    fleet.submit_for("account-1", queue(), 1, spec);
    fleet.settle();
    end_run(&mut fleet, "0.0.0", EndKind::Done, "");
    end_run(&mut fleet, "0.0.1", EndKind::Failed, "half");
    fleet.advance(200);
    fleet
}

fn job(fleet: &Fleet) -> &Job {
    let mut jobs = fleet.engine.jobs();
    jobs.find(|job| job.id == job_id(1)).expect("a job")
}

/// Guards against restarting active runs after a takeover, or starting tasks without their
/// checkpoint.
#[test]
fn job_at_work() {
    let fleet = fleet_at_work();
    let tasks: Vec<_> = job(&fleet).tasks().map(|(_, task)| task).collect();
    assert!(tasks.iter().any(|task| task.is_done));
    assert!(tasks.iter().any(|task| task.failed_runs == 1
        && task.checkpoint == "half"
        && task.attempts.iter().any(|attempt| attempt.run == 2)));
    check_job(&fleet, 1, &queue(), SPEC_AT_WORK, PROGRESS_AT_WORK);
}

/// Guards against a successor that treats stopping runs as working.
#[test]
fn cancelled_job_whose_runs_are_to_stop() {
    let mut fleet = fleet_at_work();
    for endpoint in &mut fleet.endpoints {
        endpoint.is_unresponsive = true;
    }
    fleet.handle(Event::Cancel {
        job: job_id(1),
        account: "account-1".into(),
        token: 2,
    });
    fleet.settle();
    let attempts = job(&fleet).tasks().flat_map(|(_, task)| &task.attempts);
    assert!(attempts.into_iter().any(Attempt::is_stopping));
    check_job(&fleet, 1, &queue(), SPEC_AT_WORK, PROGRESS_CANCELLED);
}

const SPEC_AT_WORK: &str = "\
    9399ac6d6170732e6578616d706c65a62f6d6170732fa46d6170730002cb3ff999999999999acd0258c2c395a3\
    7a3d3792dc00100293cd03e86400cd03e890c2c2c2a0a000c2c2a000c200dc00100193cd03e86400cd03e89100\
    c2c2c2a0a000c2c2a000c2000200ce004c4b40ce004c4b40";

const PROGRESS_AT_WORK: &str = "\
    95a752756e6e696e67029292a3692d3281a2563492947f000001cd232992a3692d3181a2563492947f000001cd\
    23289292009292950100c3a090950201c2a468616c6691930200c291950000c2a09092019292950100c2a09193\
    0101c2950100c2a091930101c291950000c2a090a96163636f756e742d31";

const PROGRESS_CANCELLED: &str = "\
    95a943616e63656c6c6564029292a3692d3281a2563492947f000001cd232992a3692d3181a2563492947f0000\
    01cd23289292009292950100c3a090950201c2a468616c6691930200c391950000c2a09092019292950100c2a0\
    91930101c3950100c2a091930101c391950000c2a090a96163636f756e742d31";

/// Guards against a count of crashes that the next owner does not know of, or that leads it to
/// the wrong endpoint.
#[test]
fn job_after_crashes() {
    let mut fleet = fleet(2);
    fleet.submit_for("account-1", queue(), 1, due_once());
    fleet.settle();
    let index = running_on(&fleet);
    fleet.crash(index);
    fleet.advance(500);
    fleet.restart(index);
    fleet.advance(500);
    let index = running_on(&fleet);
    fleet.crash(index);
    fleet.advance(9_000);
    let task = job(&fleet).tasks().next().expect("a task").1;
    assert_eq!((task.crashes, task.lost_runs.len()), (1, 1));
    check_job(&fleet, 1, &queue(), SPEC_DUE_ONCE, PROGRESS_AFTER_CRASHES);
}

/// Guards against a crash history that owners of other builds cannot read.
#[test]
fn crash_history_of_a_job() {
    let mut fleet = fleet_after_one_crash();
    fleet.advance(3_000);
    let key = format!("c/{}", job_id(1));
    assert_held(&stored(&fleet, &key).value, CRASH_HISTORY);
    let restored = restored(&fleet.stored, fleet.now);
    let mut jobs = restored.jobs();
    let task = jobs
        .next()
        .and_then(|job| job.tasks().next())
        .expect("a task")
        .1;
    let active_ms = task.attempts.iter().map(|attempt| attempt.active_ms);
    assert_eq!((task.crashes, active_ms.collect()), (1, vec![2_000]));
}

/// Returns a fleet with a task under which one endpoint has crashed, and which runs again.
fn fleet_after_one_crash() -> Fleet {
    let mut fleet = fleet(2);
    fleet.submit_for("account-1", queue(), 1, due_once());
    fleet.settle();
    let index = running_on(&fleet);
    fleet.crash(index);
    fleet.advance(500);
    fleet.restart(index);
    fleet.advance(500);
    fleet
}

const CRASH_HISTORY: &str = "\
    81a57461736b739188aa6f6363757272656e636500a47374657000a5696e64657800a372756e02a76372617368\
    657301b0756e6c696b656c795f6372617368657300b0756e7368617265645f6372617368657301a472756e7391\
    83a372756e02b56163746976655f73696e63655f636c6f636b5f6d73ce00262794a96163746976655f6d73cd07\
    d0";

/// Crash history as a later build may write it.
#[derive(Serialize)]
struct LaterHistory<'a> {
    tasks: Vec<LaterTaskHistory<'a>>,
    later_field: &'a str,
}

#[derive(Serialize)]
struct LaterTaskHistory<'a> {
    later_field: &'a str,
    occurrence: u32,
    step: u16,
    index: u16,
    run: u32,
    crashes: u32,
    unlikely_crashes: u32,
    runs: Vec<LaterRunHistory<'a>>,
}

#[derive(Serialize)]
struct LaterRunHistory<'a> {
    run: u32,
    later_field: &'a str,
}

/// Guards against fields of a later build that keep an owner from reading the others, and against
/// missing fields that do.
#[test]
fn crash_history_of_a_later_build() {
    let mut fleet = fleet_after_one_crash();
    let later_field = "later";
    let history = LaterHistory {
        tasks: vec![LaterTaskHistory {
            later_field,
            occurrence: 0,
            step: 0,
            index: 0,
            run: 2,
            crashes: 1,
            unlikely_crashes: 1,
            runs: vec![LaterRunHistory {
                run: 2,
                later_field,
            }],
        }],
        later_field,
    };
    let key = format!("c/{}", job_id(1));
    let mut records = fleet.stored.iter_mut();
    let record = records.find(|record| record.key == key).expect("a history");
    record.value = rmp_serde::to_vec_named(&history).expect("a value");
    let restored = restored(&fleet.stored, fleet.now);
    let mut jobs = restored.jobs();
    let task = jobs
        .next()
        .and_then(|job| job.tasks().next())
        .expect("a task")
        .1;
    assert_eq!((task.crashes, task.unlikely_crashes), (1, 1));
    let attempt = task.attempts.first().expect("a run");
    assert_eq!(
        (attempt.active_since_clock_ms, attempt.active_ms),
        (None, 0)
    );
}

/// Guards against an early cancellation of a later build that this one cannot read, or that counts for
/// an account which it does not name.
#[test]
fn early_cancellation_of_a_later_build() {
    let fleet = fleet(1);
    let later = |accounts: &[&str]| {
        let fields = [("accounts", accounts), ("later", &["field"])];
        let fields: BTreeMap<_, _> = fields.into_iter().collect();
        rmp_serde::to_vec_named(&fields).expect("a value")
    };
    for (value, state) in [
        (later(&["alpha"]), Some(JobState::Cancelled)),
        (later(&["beta"]), Some(JobState::Queued)),
        (vec![0x80], Some(JobState::Queued)),
    ] {
        let key = format!("e/{}", job_id(7));
        let mut engine = restored(&[Record { key, value }], fleet.now);
        engine.handle(
            Event::Submit {
                job: job_id(7),
                queue: queue(),
                spec: Box::new(full_spec()),
                account: "alpha".into(),
                origin: None,
                token: 1,
            },
            fleet.now,
        );
        let batch = engine.take_batch(fleet.now);
        drop(engine.committed(batch, fleet.now));
        assert_eq!(engine.job_state(job_id(7)), state);
    }
}

const EARLY_CANCEL: &str = "81a86163636f756e747391a5616c706861";

/// Guards against a cancellation that owners of other builds cannot read.
#[test]
fn job_cancelled_before_its_submission() {
    let mut fleet = fleet(1);
    fleet.handle(Event::Cancel {
        job: job_id(7),
        account: "alpha".into(),
        token: 0,
    });
    fleet.settle();
    let key = format!("e/{}", job_id(7));
    assert_held(&stored(&fleet, &key).value, EARLY_CANCEL);
    let mut engine = restored(&[held_record(&key, EARLY_CANCEL)], fleet.now);
    let submission = Event::Submit {
        job: job_id(7),
        queue: queue(),
        spec: Box::new(full_spec()),
        account: "alpha".into(),
        origin: None,
        token: 1,
    };
    engine.handle(submission, fleet.now);
    let batch = engine.take_batch(fleet.now);
    drop(engine.committed(batch, fleet.now));
    assert_eq!(engine.job_state(job_id(7)), Some(JobState::Cancelled));
}

/// Returns the endpoint with runs.
fn running_on(fleet: &Fleet) -> usize {
    let mut endpoints = fleet.endpoints.iter();
    let index = endpoints.position(|endpoint| !endpoint.running.is_empty());
    index.expect("a running task")
}

/// Returns a job of one task.
fn due_once() -> JobSpec {
    JobSpec {
        payload: "z=7".into(),
        steps: vec![step(1)],
        ..JobSpec::default()
    }
}

const SPEC_DUE_ONCE: &str = "\
    9399ac6d6170732e6578616d706c65a62f6d6170732fa46d6170730002cb3ff999999999999acd0258c2c395a3\
    7a3d3791dc00100193cd03e86400cd03e890c2c2c2a0a000c2c2a000c200000000ce004c4b40";

const PROGRESS_AFTER_CRASHES: &str = "\
    95a752756e6e696e67019292a4692d312b81a2563492947f000001cd232892a3692d3281a2563492947f000001\
    cd23299192009191960300c2a091930300c292019101a96163636f756e742d31";

/// Returns a fleet with an ended job of one task.
fn fleet_after(kind: EndKind) -> Fleet {
    let mut fleet = fleet(1);
    let once = Queue {
        max_attempts: 1,
        ..queue()
    };
    let spec = JobSpec {
        steps: vec![step(1)],
        ..JobSpec::default()
    };
    fleet.submit_for("account-1", once, 1, spec);
    fleet.settle();
    end_run(&mut fleet, "0.0.0", kind, "");
    fleet.advance(500);
    fleet
}

/// Checks the remaining record of an ended job, and the state that a successor reports.
fn check_ended(fleet: &Fleet, state: JobState, held: &str) {
    let progress = progress_of(fleet, 1);
    assert_held(&progress.value, held);
    let engine = restored(&[held_record(&progress.key, held)], fleet.now);
    assert_eq!(engine.job_state(job_id(1)), Some(state));
    assert!(engine.can_access(job_id(1), "account-1"));
    assert!(!engine.can_access(job_id(1), "account-2"));
}

/// Guards against losing a completed job in a takeover, or showing it to another account.
#[test]
fn completed_job() {
    check_ended(&fleet_after(EndKind::Done), JobState::Completed, COMPLETED);
}

const COMPLETED: &str = "95a9436f6d706c65746564019090a96163636f756e742d31";

/// Guards against losing a failed job in a takeover, or showing it to another account.
#[test]
fn failed_job() {
    check_ended(&fleet_after(EndKind::Failed), JobState::Failed, FAILED);
}

const FAILED: &str = "95a64661696c656401909192009191950101c2a090a96163636f756e742d31";

/// Orders maintenance of VMs, all at once.
fn order_wave(fleet: &mut Fleet, wave: u64, vms: &[&str]) {
    fleet.handle(Event::WaveOrdered(WaveOrder {
        wave,
        vms: vms.iter().map(|name| (*name).into()).collect(),
        duration_s: 60.0,
        max_count: 2,
    }));
}

/// Lists two VMs that are switched off, and allows VM orders.
fn list_vms(fleet: &mut Fleet) {
    fleet.list_vms(vec![standby_vm("vm-1"), standby_vm("vm-2")]);
    fleet.engine.allow_vm_orders(true);
}

/// Returns a fleet of two VMs with ordered maintenance, some of which is known to have begun.
fn fleet_in_maintenance(begun: &[&str]) -> Fleet {
    let mut fleet = fleet(0);
    list_vms(&mut fleet);
    order_wave(&mut fleet, 12, &["vm-1", "vm-2"]);
    fleet.advance(100);
    for vm in begun {
        fleet.answer_vm_order(vm, VmOutcome::Done);
    }
    fleet.advance(100);
    fleet
}

/// Returns whether maintenance of the VM was ordered.
fn is_ordered(fleet: &Fleet, name: &str) -> bool {
    let mut orders = fleet.orders.iter();
    orders.any(|order| matches!(order, Effect::MaintainVm { vm, .. } if vm == name))
}

/// Replaces the owner by one restored from records.
fn take_over(fleet: &mut Fleet, records: &[Record]) {
    fleet.stored = records.to_vec();
    fleet.orders.clear();
    fleet.take_over();
}

/// Guards against restarting a wave after a takeover, so that VMs are maintained twice or too late.
#[test]
fn wave_under_way() {
    let mut fleet = fleet_in_maintenance(&["vm-1"]);
    assert_held(&stored(&fleet, "w/12").value, WAVE_UNDER_WAY);
    take_over(&mut fleet, &[held_record("w/12", WAVE_UNDER_WAY)]);
    list_vms(&mut fleet);
    order_wave(&mut fleet, 12, &["vm-1", "vm-2"]);
    // Written again with the retried order, whose outcome is unknown.
    fleet.stored.clear();
    fleet.advance(100);
    assert!(is_ordered(&fleet, "vm-2") && !is_ordered(&fleet, "vm-1"));
    assert_held(&stored(&fleet, "w/12").value, WAVE_UNDER_WAY);
}

const WAVE_UNDER_WAY: &str = "9492a4766d2d31a4766d2d3291a4766d2d31c2ce004c4b40";

/// Guards against restarting a completed wave after a takeover.
#[test]
fn wave_completed() {
    let mut fleet = fleet_in_maintenance(&["vm-1", "vm-2"]);
    assert_held(&stored(&fleet, "w/12").value, WAVE_COMPLETED);
    take_over(&mut fleet, &[held_record("w/12", WAVE_COMPLETED)]);
    list_vms(&mut fleet);
    order_wave(&mut fleet, 12, &["vm-1", "vm-2"]);
    fleet.advance(100);
    let is_told = |order: &Effect| {
        matches!(
            order,
            Effect::PublishWave {
                wave: 12,
                is_completed: true
            }
        )
    };
    assert!(fleet.orders.iter().any(is_told));
    assert!(!is_ordered(&fleet, "vm-1") && !is_ordered(&fleet, "vm-2"));
}

const WAVE_COMPLETED: &str = "9492a4766d2d31a4766d2d3292a4766d2d31a4766d2d32c3ce004c4b40";

/// Returns when a successor orders the VM, in milliseconds after its takeover, given the epoch of
/// an owner that is known to have ended.
fn ordered_after_ms(name: &str, held: &str, over_epoch: u64) -> u64 {
    let mut fleet = fleet_in_maintenance(&["vm-1"]);
    let key = format!("v/{name}");
    take_over(&mut fleet, &[held_record(&key, held)]);
    let taken_ms = fleet.now.steady_ms;
    fleet.engine.end_vm_cooldowns(over_epoch, taken_ms + 1_000);
    list_vms(&mut fleet);
    order_wave(&mut fleet, 13, &[name]);
    while !is_ordered(&fleet, name) {
        fleet.advance(100);
    }
    fleet.now.steady_ms - taken_ms
}

/// Guards against orders of two owners for a VM within seconds, and against unnecessary delays.
#[test]
fn vm_whose_order_is_settled() {
    let fleet = fleet_in_maintenance(&["vm-1"]);
    assert_held(&stored(&fleet, "v/vm-1").value, VM_SETTLED);
    assert_eq!(ordered_after_ms("vm-1", VM_SETTLED, EPOCH), 100);
    assert_eq!(ordered_after_ms("vm-1", VM_SETTLED, EPOCH - 1), 3_000);
}

const VM_SETTLED: &str = "93ce004c4ba4c3ce00011170";

/// Guards against orders of two owners for a VM within seconds because one was treated as settled.
#[test]
fn vm_whose_order_is_not_settled() {
    let fleet = fleet_in_maintenance(&["vm-1"]);
    assert_held(&stored(&fleet, "v/vm-2").value, VM_NOT_SETTLED);
    assert_eq!(ordered_after_ms("vm-2", VM_NOT_SETTLED, EPOCH), 1_000);
    assert_eq!(ordered_after_ms("vm-2", VM_NOT_SETTLED, EPOCH - 1), 3_000);
}

const VM_NOT_SETTLED: &str = "93ce004c4ba4c2ce00011170";

/// Guards against a cooldown of VMs whose last order was long ago.
#[test]
fn vm_that_was_ordered_long_ago() {
    let mut fleet = fleet_in_maintenance(&["vm-1"]);
    fleet.now.wall_ms += 60_000;
    take_over(&mut fleet, &[held_record("v/vm-2", VM_NOT_SETTLED)]);
    list_vms(&mut fleet);
    order_wave(&mut fleet, 13, &["vm-2"]);
    fleet.advance(100);
    assert!(is_ordered(&fleet, "vm-2"));
}
