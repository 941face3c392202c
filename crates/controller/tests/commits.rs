//! Commits of owners to a store whose appends are lost, late or overtaken.

use {
    lynxwheel_controller::{STATE_TOPIC, Writer},
    lynxwheel_engine::Record,
    lynxwheel_platform::StoreClient,
    lynxwheel_platform_standin::{MAX_RECORD_BYTES, StoreFault, StoreStandIn},
    std::time::Duration,
    tokio::time::{sleep, timeout},
};

/// Maximum size of an append, in bytes.
const MAX_APPEND_BYTES: usize = 100_000;

/// Time in which the outcome of a commit is known.
const STORED_WITHIN: Duration = Duration::from_secs(20);

fn record(key: &str) -> Record {
    Record {
        key: key.into(),
        value: b"stored".to_vec(),
    }
}

/// Stores a commit whose first call is lost while the store is unresponsive, and meanwhile the
/// commit after it. Returns whether each was reported as stored, and which keys the store has.
async fn store_overtaken(store: &StoreStandIn, writer: &mut Writer) -> [(bool, bool); 2] {
    let client = StoreClient::new(store.address());
    let first = writer.commit(&[record("first")]);
    let second = writer.commit(&[record("second")]);
    store.set_fault(StoreFault::Unresponsive);
    let calls = store.call_count();
    let overtaking = async {
        while store.call_count() == calls {
            sleep(Duration::from_millis(1)).await;
        }
        store.set_fault(StoreFault::None);
        second.store(&client).await
    };
    let (first, second) = tokio::join!(first.store(&client), overtaking);
    let has = |key| store.value(STATE_TOPIC, key).is_some();
    [(first, has("first")), (second, has("second"))]
}

/// Runs a test with a store and a writer that has fenced earlier owners.
fn with_fenced_writer<T>(action: impl AsyncFnOnce(StoreStandIn, Writer) -> T) -> T {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let store = StoreStandIn::start().await.expect("a store");
        let client = StoreClient::new(store.address());
        let writer = Writer::new(7, MAX_APPEND_BYTES);
        assert_eq!(writer.fence(&client).await, Some(true));
        action(store, writer).await
    })
}

/// Guards against an owner that takes its first commit for stored because a later one is.
#[test]
fn overtaken_first_commit_of_an_epoch_is_stored() {
    with_fenced_writer(async |store, mut writer| {
        let stored = store_overtaken(&store, &mut writer).await;
        assert_eq!(stored, [(true, true); 2]);
    });
}

/// Guards against an owner that takes a commit for stored because a later one is.
#[test]
fn overtaken_commit_is_stored() {
    with_fenced_writer(async |store, mut writer| {
        let client = StoreClient::new(store.address());
        assert!(writer.commit(&[record("earlier")]).store(&client).await);
        let stored = store_overtaken(&store, &mut writer).await;
        assert_eq!(stored, [(true, true); 2]);
    });
}

/// Guards against an owner that repeats an append for ever which the store never accepts, so that no
/// job is accepted any more.
#[test]
fn append_that_is_never_accepted_ends_the_ownership() {
    with_fenced_writer(async |store, mut writer| {
        let client = StoreClient::new(store.address());
        let too_large = Record {
            key: "large".into(),
            value: vec![1; MAX_RECORD_BYTES],
        };
        let commit = writer.commit(&[record("any"), too_large]);
        let stored = timeout(STORED_WITHIN, commit.store(&client)).await;
        assert_eq!(stored, Ok(false));
    });
}

/// Guards against a second writer of an epoch, whose commits would be taken for those of the first.
#[test]
fn epoch_with_commits_cannot_be_fenced_again() {
    with_fenced_writer(async |store, mut writer| {
        let client = StoreClient::new(store.address());
        for _ in 0..6 {
            assert!(writer.commit(&[record("any")]).store(&client).await);
        }
        let second = Writer::new(7, MAX_APPEND_BYTES);
        assert_eq!(second.fence(&client).await, Some(false));
    });
}
