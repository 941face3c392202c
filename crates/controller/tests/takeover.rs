//! Takeovers that find progress of a job without its description.

use {
    lynxwheel_controller::{LoadedState, STATE_TOPIC, is_read_again_due},
    lynxwheel_engine::{
        Batch, Engine, EngineSettings, Event, JobId, JobSpec, Now, Queue, Record, StepSpec,
        UnreadCause, UnreadRecord,
    },
    lynxwheel_platform::StoreClient,
    lynxwheel_platform_standin::StoreStandIn,
    std::time::Duration,
    tokio::time::sleep,
};

/// Time after which the missing description appears, in milliseconds.
const APPEARS_AFTER_MS: u64 = 30;

macro_rules! read_again_cases {
    ($(#[doc = $doc:literal] $name:ident: $causes:expr, $reads:expr => $expected:expr;)+) => {
        $(
            #[doc = $doc]
            #[test]
            fn $name() {
                let causes: &[UnreadCause] = &$causes;
                let records = causes.iter().map(|&cause| UnreadRecord {
                    key: "s/1",
                    index: 0,
                    cause,
                });
                let records: Vec<UnreadRecord<'_>> = records.collect();
                assert_eq!(is_read_again_due(&records, $reads), $expected);
            }
        )+
    };
}

read_again_cases! {
    /// Guards against a takeover that forgets a job whose description is missing from one read.
    missing_description_is_read_again: [UnreadCause::MissingSpec], 1 => true;
    /// Guards against overlooking the missing description beside other unread records.
    missing_description_beside_others_is_read_again:
        [UnreadCause::UnknownKey, UnreadCause::MissingSpec], 3 => true;
    /// Guards against a takeover that never ends.
    missing_description_is_not_read_for_ever: [UnreadCause::MissingSpec], 4 => false;
    /// Guards against slower takeovers because of a record that reading again cannot change.
    damaged_and_unknown_records_are_not_read_again:
        [UnreadCause::Undecodable, UnreadCause::UnknownKey], 1 => false;
    /// Guards against reading twice without a reason.
    complete_records_are_not_read_again: [], 1 => false;
}

fn job_id() -> JobId {
    "1".repeat(16).parse().expect("16 digits")
}

/// Returns the records of a stored job: its description and its progress.
fn job_records() -> [Record; 2] {
    let now = Now {
        steady_ms: 1_000,
        wall_ms: 1_000,
    };
    let mut engine = Engine::new(EngineSettings::default());
    let spec = JobSpec {
        steps: vec![StepSpec {
            count: 1,
            ..StepSpec::default()
        }],
        ..JobSpec::default()
    };
    let submission = Event::Submit {
        job: job_id(),
        queue: Queue::default(),
        spec: Box::new(spec),
        account: "".into(),
        origin: None,
        token: 1,
    };
    engine.handle(submission, now);
    let Batch { records, .. } = engine.take_batch(now);
    records.try_into().expect("two records")
}

/// Guards against a takeover that forgets a job whose description it reads a moment too early.
#[tokio::test]
async fn description_that_appears_later_is_found() {
    let store = StoreStandIn::start().await.expect("a store");
    let [spec, progress] = job_records();
    store.put(STATE_TOPIC, &progress.key, &progress.value);
    let late = store.clone();
    tokio::spawn(async move {
        sleep(Duration::from_millis(APPEARS_AFTER_MS)).await;
        late.put(STATE_TOPIC, &spec.key, &spec.value);
    });
    let client = StoreClient::new(store.address());
    let loaded = LoadedState::load(&client, EngineSettings::default(), 7).await;
    let engine = loaded.expect("records").engine;
    let steps: Vec<usize> = engine.jobs().map(|job| job.spec.steps.len()).collect();
    assert_eq!(steps, [1]);
}

/// Guards against missing records on later pages, whose cursor is a key with reserved bytes.
#[tokio::test]
async fn records_of_all_pages_are_read() {
    let store = StoreStandIn::start().await.expect("a store");
    let keys: Vec<String> = (1_000..3_000)
        .map(|number| format!("v/a&b %+{number}"))
        .collect();
    for key in &keys {
        store.put(STATE_TOPIC, key, b"value");
    }
    let client = StoreClient::new(store.address());
    let (records, _) = client.latest_records(STATE_TOPIC).await.expect("records");
    let found: Vec<String> = records.into_iter().map(|record| record.key).collect();
    assert_eq!(found, keys);
}
