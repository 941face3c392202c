//! Records that are larger than the store accepts.

use {
    lynxwheel_controller::{JoinedRecords, LoadedState, RecordParts, Writer},
    lynxwheel_engine::{
        Engine, EngineSettings, Event, JobId, JobSpec, JobState, Now, Queue, Record, StepSpec,
    },
    lynxwheel_platform::{KeyedRecord, StoreClient, encode_keyed_record},
    lynxwheel_platform_standin::{MAX_RECORD_BYTES, StoreStandIn},
    proptest::{prelude::*, test_runner::RngSeed},
};

/// Largest record of the stores in these tests without a stand-in, in bytes.
const SMALL_RECORD_BYTES: usize = 40;

/// Largest append, in bytes.
const MAX_APPEND_BYTES: usize = 1_000_000;

const KEY: &str = "s/5c0e7a21d94b36f8";

/// Latest record of each key.
#[derive(Clone, Debug, Default)]
struct Stored(Vec<KeyedRecord>);

impl Stored {
    fn store(&mut self, record: &Record) {
        let encoded = encode_keyed_record(&record.key, &record.value);
        assert!(encoded.len() <= SMALL_RECORD_BYTES, "{record:?}");
        self.0.retain(|known| known.key != record.key);
        if !record.value.is_empty() {
            self.0.push(KeyedRecord {
                key: record.key.clone(),
                value: record.value.clone(),
                offset: None,
            });
        }
    }

    fn join(&self) -> JoinedRecords {
        JoinedRecords::new(self.0.clone())
    }
}

fn record(bytes: usize, fill: u8) -> Record {
    Record {
        key: KEY.into(),
        value: vec![fill; bytes],
    }
}

/// Returns the size and the content of the only record, or `None` if there is none.
fn content(joined: &JoinedRecords) -> Option<(usize, u8)> {
    assert_eq!(joined.incomplete, Vec::<String>::new());
    assert!(joined.records.len() <= 1);
    let value = &joined.records.first()?.value;
    assert!(value.iter().all(|byte| *byte == value[0]), "{value:?}");
    Some((value.len(), value[0]))
}

/// Write of a record by an owner, which may be lost after some of its records were stored.
#[derive(Clone, Copy, Debug)]
struct Write {
    bytes: usize,
    /// Number of records that are stored; the owner is replaced if this is not all.
    stored: usize,
}

fn write() -> impl Strategy<Value = Write> {
    let bytes = prop_oneof![Just(0_usize), 1_usize..20, 20_usize..400];
    let stored = prop_oneof![2 => Just(usize::MAX), 1 => 0_usize..30];
    (bytes, stored).prop_map(|(bytes, stored)| Write { bytes, stored })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a record that is lost or mixed with an earlier one when its owner is lost while
    /// it stores the parts, and against parts that are never deleted.
    #[test]
    fn record_is_stored_whole_or_not_at_all(writes in prop::collection::vec(write(), 1..12)) {
        let mut stored = Stored::default();
        let mut parts = RecordParts::new(SMALL_RECORD_BYTES);
        let mut expected = None;
        for (write, fill) in writes.into_iter().zip(1_u8..) {
            for unused in parts.take_unused() {
                stored.store(&unused);
            }
            let records = parts.divide(&record(write.bytes, fill));
            let is_lost = write.stored < records.len();
            for piece in records.iter().take(write.stored) {
                stored.store(piece);
            }
            let joined = stored.join();
            let written = (write.bytes > 0).then_some((write.bytes, fill));
            let found = content(&joined);
            if is_lost {
                prop_assert!(found == expected || found == written);
                parts = RecordParts::new(SMALL_RECORD_BYTES).with_stored(&joined);
            } else {
                prop_assert_eq!(found, written);
            }
            expected = found;
        }
        parts.divide(&record(0, 0)).iter().for_each(|piece| stored.store(piece));
        parts.take_unused().iter().for_each(|piece| stored.store(piece));
        prop_assert_eq!(stored.0, []);
    }
}

/// Guards against a build that cannot read the records in parts of another one.
#[test]
fn encoding_of_records_in_parts() {
    let pieces = RecordParts::new(SMALL_RECORD_BYTES).divide(&record(30, 7));
    let pieces = pieces
        .iter()
        .map(|piece| (piece.key.as_str(), piece.value.as_slice()));
    let parts = [
        ("p/0/0/s/5c0e7a21d94b36f8", [7; 14].as_slice()),
        ("p/0/1/s/5c0e7a21d94b36f8", [7; 14].as_slice()),
        ("p/0/2/s/5c0e7a21d94b36f8", [7; 2].as_slice()),
        (KEY, [0xc1, 0x93, 0, 3, 30].as_slice()),
    ];
    assert_eq!(pieces.collect::<Vec<_>>(), parts);
}

/// Guards against a takeover that uses a record of which a part is missing.
#[test]
fn record_without_all_parts_is_reported() {
    let mut stored = Stored::default();
    let records = RecordParts::new(SMALL_RECORD_BYTES).divide(&record(200, 7));
    for piece in &records[1..] {
        stored.store(piece);
    }
    let joined = stored.join();
    assert_eq!(joined.incomplete, [KEY]);
    assert_eq!(joined.records, []);
}

fn now() -> Now {
    Now {
        steady_ms: 1_000,
        wall_ms: 1_000,
    }
}

fn job_id() -> JobId {
    "5c0e7a21d94b36f8".parse().expect("16 digits")
}

/// Submits a job of this many tasks.
fn submit(engine: &mut Engine, count: u16) {
    let step = StepSpec {
        count,
        ..StepSpec::default()
    };
    let spec = JobSpec {
        steps: vec![step],
        ..JobSpec::default()
    };
    let event = Event::Submit {
        job: job_id(),
        queue: Queue::default(),
        spec: Box::new(spec),
        account: "".into(),
        origin: None,
        token: 1,
    };
    engine.handle(event, now());
}

/// Guards against a job whose progress is larger than a record, which keeps an owner from storing
/// anything else, and its successor from knowing the job.
#[test]
fn job_of_many_tasks_is_stored_and_restored() {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let store = StoreStandIn::start().await.expect("a store");
        let client = StoreClient::new(store.address());
        let parts = RecordParts::new(MAX_RECORD_BYTES);
        let mut writer = Writer::new(7, MAX_APPEND_BYTES).with_parts(parts);
        assert_eq!(writer.fence(&client).await, Some(true));
        let mut engine = Engine::new(EngineSettings::default());
        submit(&mut engine, 60_000);
        let batch = engine.take_batch(now());
        let largest = batch.records.iter().map(|record| record.value.len()).max();
        assert!(largest > Some(MAX_RECORD_BYTES));
        assert!(writer.commit(&batch.records).store(&client).await);
        engine.committed(batch, now());
        assert_eq!(engine.job_state(job_id()), Some(JobState::Queued));
        let loaded = LoadedState::load(&client, EngineSettings::default(), 8).await;
        let restored = loaded.expect("readable records").engine;
        let tasks = restored.jobs().map(|job| job.tasks().count());
        assert_eq!(tasks.collect::<Vec<_>>(), [60_000]);
    });
}
