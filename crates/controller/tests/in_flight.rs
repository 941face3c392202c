//! Batches in flight to the store, and when their effects are released.

use {
    lynxwheel_controller::{
        InFlightBatches, MAX_IN_FLIGHT_BATCHES, PIPELINE_DELAY_MS, STORE_UNAVAILABLE_MS,
    },
    lynxwheel_engine::{Batch, Record},
};

/// Returns a batch with one record of this key.
fn batch(key: &str) -> Batch {
    let mut batch = Batch::default();
    batch.records.push(Record {
        key: key.into(),
        value: Vec::new(),
    });
    batch
}

fn keys(batches: &[Batch]) -> Vec<&str> {
    let records = batches.iter().flat_map(|batch| &batch.records);
    records.map(|record| record.key.as_str()).collect()
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body; })*
    };
}

cases! {
    /// A slow store takes half a second to respond; one that is silent for longer is unavailable.
    silent_store_counts_as_unavailable: {
        let mut in_flight = InFlightBatches::default();
        assert!(!in_flight.is_store_unavailable(1_000));
        let first = in_flight.add(batch("a"), 1_000);
        in_flight.add(batch("b"), 1_400);
        assert!(!in_flight.is_store_unavailable(1_000 + STORE_UNAVAILABLE_MS - 1));
        assert!(in_flight.is_store_unavailable(1_000 + STORE_UNAVAILABLE_MS));
        in_flight.mark_stored(first, 1_500);
        assert!(!in_flight.is_store_unavailable(1_499 + STORE_UNAVAILABLE_MS));
        assert!(in_flight.is_store_unavailable(1_500 + STORE_UNAVAILABLE_MS));
    };

    /// A fast store responds within 10 ms, so that load makes batches larger, not more frequent.
    fast_store_gets_one_batch_at_a_time: {
        let mut in_flight = InFlightBatches::default();
        assert!(in_flight.has_capacity(1_000));
        let number = in_flight.add(batch("a"), 1_000);
        assert!(!in_flight.has_capacity(1_010));
        in_flight.mark_stored(number, 1_500);
        assert!(in_flight.has_capacity(1_011));
    };

    /// Guards against changes that wait for two responses of a slow store.
    slow_store_gets_next_batch_before_it_responds: {
        let mut in_flight = InFlightBatches::default();
        in_flight.add(batch("a"), 1_000);
        assert!(in_flight.has_capacity(1_000 + PIPELINE_DELAY_MS));
    };

    /// The store remembers its last five responses; no more batches may have to be repeated.
    unavailable_store_gets_limited_batches: {
        let mut in_flight = InFlightBatches::default();
        let mut now_ms = 1_000;
        while in_flight.has_capacity(now_ms) {
            in_flight.add(batch("a"), now_ms);
            now_ms += PIPELINE_DELAY_MS;
        }
        assert!(!in_flight.has_capacity(now_ms + 60_000));
        assert_eq!(
            now_ms,
            1_000 + PIPELINE_DELAY_MS * u64::try_from(MAX_IN_FLIGHT_BATCHES).unwrap(),
        );
    };

    /// Guards against releasing effects of a batch before an earlier one, on which they may depend,
    /// is stored.
    batch_stored_out_of_order_waits_for_earlier_ones: {
        let mut in_flight = InFlightBatches::default();
        let first = in_flight.add(batch("a"), 1_000);
        let second = in_flight.add(batch("b"), 1_100);
        assert_eq!(keys(&in_flight.mark_stored(second, 1_500)), [] as [&str; 0]);
        assert_eq!(keys(&in_flight.mark_stored(first, 1_500)), ["a", "b"]);
        assert!(in_flight.is_empty());
    };

    batch_without_records_waits_for_newest: {
        let mut in_flight = InFlightBatches::default();
        let first = in_flight.add(batch("a"), 1_000);
        in_flight.append_to_newest(batch("joined"));
        assert_eq!(keys(&in_flight.mark_stored(first, 1_500)), ["a", "joined"]);
    };
}
