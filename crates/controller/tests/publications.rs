//! Publications of the status of waves to a store whose appends are lost or late.

use {
    lynxwheel_controller::StatusPublisher,
    lynxwheel_platform::StoreClient,
    lynxwheel_platform_standin::{StoreFault, StoreStandIn, is_wave_completed},
    std::time::Duration,
    tokio::time::sleep,
};

/// Wave that is published.
const WAVE: u64 = 3;

/// Delay of late appends, in milliseconds.
const LATE_MS: u64 = 700;

/// Time after which every late or repeated append has been executed, in milliseconds.
const SETTLED_MS: u64 = 3_000;

/// Names a test that publishes to a store with a fault and checks that the wave stays completed.
macro_rules! stays_completed {
    ($(#[doc = $doc:literal] $name:ident: $publish:expr;)+) => {
        $(
            #[doc = $doc]
            #[test]
            fn $name() {
                assert!(is_completed_after($publish));
            }
        )+
    };
}

/// Returns whether the wave is completed once nothing is on its way to the store any more.
fn is_completed_after(publish: impl AsyncFnOnce(&StoreStandIn)) -> bool {
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(async {
        let store = StoreStandIn::start().await.expect("a store");
        publish(&store).await;
        sleep(Duration::from_millis(SETTLED_MS)).await;
        is_wave_completed(&store, WAVE)
    })
}

fn publisher(store: &StoreStandIn, epoch: u64) -> StatusPublisher {
    StatusPublisher::start(StoreClient::new(store.address()), epoch)
}

/// Waits until the store has received a number of calls.
async fn wait_for_calls(store: &StoreStandIn, count: u64) {
    while store.call_count() < count {
        sleep(Duration::from_millis(1)).await;
    }
}

stays_completed! {
    /// Guards against a late status of an owner being stored over its next one.
    late_status_does_not_undo_the_next_one: async |store| {
        store.set_fault(StoreFault::LateAppends(LATE_MS));
        let publisher = publisher(store, 5);
        publisher.publish(WAVE, false);
        wait_for_calls(store, 1).await;
        publisher.publish(WAVE, true);
    };
    /// Guards against a status of an earlier owner being stored over one of its successor.
    status_of_an_earlier_owner_does_not_undo_a_later_one: async |store| {
        store.set_fault(StoreFault::LateAppends(LATE_MS));
        publisher(store, 5).publish(WAVE, false);
        wait_for_calls(store, 1).await;
        publisher(store, 6).publish(WAVE, true);
    };
    /// Guards against statuses that overtake each other while the store is unresponsive.
    statuses_wait_for_an_unresponsive_store: async |store| {
        store.set_fault(StoreFault::Unresponsive);
        let publisher = publisher(store, 5);
        publisher.publish(WAVE, false);
        publisher.publish(WAVE, true);
        wait_for_calls(store, 2).await;
        store.set_fault(StoreFault::LateAppends(LATE_MS));
    };
}
