//! Records, snapshot chunks, messages of peers and of the platform, snapshots of the state.

use {
    crate::inputs::{inputs, nested, run},
    lynxwheel_coordination::{SnapshotAssembler, split_snapshot},
    lynxwheel_gateway::{PeerAnswer, PeerAnswerRequest},
    lynxwheel_protocol::{
        ActionRequest, AppendRequest, AppendResponse, EndpointLoad, LogEntry, MAX_RECORD_BYTES,
        MAX_REPORTS_PER_RECORD, PeerEntries, PeerHello, PeerSnapshot, ReadResponse, Record,
        RecordBody, TaskReport, TaskStart, VmEntry, VmList, VmListState, VmPhase, VmReport,
        WriterId, decode_chunk, decode_message, decode_record, encode_chunk, encode_message,
        encode_record,
    },
    lynxwheel_state::{FleetState, decode_snapshot, encode_snapshot},
    serde::de::DeserializeOwned,
};

fn record(body: RecordBody) -> Record {
    Record {
        id: WriterId {
            incarnation: 7,
            sequence: 1,
        },
        time_ms: 1,
        body,
    }
}

fn report(index: usize) -> VmReport {
    VmReport {
        // As long as names are in practice.
        vm: format!("{index:0>63}").into(),
        incarnation: u64::MAX,
        phase: VmPhase::Live,
        evidence_ms: u64::MAX,
        zone: "a-zone-with-a-rather-long-name".into(),
        rack: "a-rack-with-a-rather-long-name".into(),
        address: "255.255.255.255:65535".into(),
        capacity: lynxwheel_protocol::Resources {
            cores_milli: u32::MAX,
            memory_mib: u32::MAX,
            accelerators: u32::MAX,
        },
    }
}

fn records() -> Vec<Vec<u8>> {
    let join = RecordBody::Join {
        node: "node-1".into(),
        fold_version: 1,
    };
    let reports = RecordBody::Report {
        reports: (0..4).map(report).collect(),
    };
    let intent = RecordBody::Intent {
        key: lynxwheel_protocol::RequestKey(9),
        request_digest: 1,
        holder: "node-1".into(),
    };
    [join, reports, intent]
        .into_iter()
        .map(|body| encode_record(&record(body)).expect("small"))
        .collect()
}

fn state() -> FleetState {
    let mut state = FleetState::new();
    for (offset, bytes) in (1..).zip(records()) {
        state.apply(offset, &decode_record(&bytes).expect("own record"));
    }
    state
}

fn messages() -> Vec<Vec<u8>> {
    let hello = PeerHello {
        node: "node-1".into(),
        loads: vec![EndpointLoad {
            vm: "vm-1".into(),
            incarnation: 1,
            in_progress: 3,
        }],
        ..PeerHello::default()
    };
    let entry = LogEntry {
        offset: 1,
        bytes: vec![1, 2, 3],
    };
    let read = ReadResponse {
        earliest_offset: 1,
        next_offset: 2,
        entries: vec![entry],
    };
    let list = VmList {
        made_ms: 1,
        vms: vec![VmEntry {
            name: "vm-1".into(),
            incarnation: 1,
            state: VmListState::Live,
            zone: "zone-1".into(),
            rack: "rack-1".into(),
            address: "127.0.0.1:80".into(),
            capacity: lynxwheel_protocol::Resources::default(),
        }],
    };
    vec![
        encode_message(&hello).expect("small"),
        encode_message(&read).expect("small"),
        encode_message(&list).expect("small"),
        encode_message(&AppendRequest {
            entries: vec![vec![0; 40]],
        })
        .expect("small"),
    ]
}

fn decode_as<T: DeserializeOwned>(bytes: &[u8]) {
    drop(decode_message::<T>(bytes));
}

fn decode_all_messages(bytes: &[u8]) -> bool {
    decode_as::<ActionRequest>(bytes);
    decode_as::<AppendResponse>(bytes);
    decode_as::<AppendRequest>(bytes);
    decode_as::<PeerAnswer>(bytes);
    decode_as::<PeerAnswerRequest>(bytes);
    decode_as::<PeerEntries>(bytes);
    decode_as::<PeerHello>(bytes);
    decode_as::<PeerSnapshot>(bytes);
    decode_as::<ReadResponse>(bytes);
    decode_as::<Vec<TaskReport>>(bytes);
    decode_as::<TaskStart>(bytes);
    decode_as::<VmList>(bytes);
    true
}

/// A node that met a record it cannot read would stop folding, and with it every node.
#[test]
fn records_of_any_bytes() {
    run(1, &inputs(records()), |bytes| {
        let mut state = state();
        if let Ok(record) = decode_record(&bytes) {
            state.apply(state.offset() + 1, &record);
        }
        true
    });
}

#[test]
fn messages_of_any_bytes() {
    run(2, &inputs(messages()), |bytes| decode_all_messages(&bytes));
}

#[test]
fn snapshots_of_any_bytes() {
    let valid = vec![encode_snapshot(&state()).expect("small")];
    run(3, &inputs(valid), |bytes| {
        drop(decode_snapshot(&bytes));
        true
    });
}

/// A chunk that is not what its writer cut must not end up in a state.
#[test]
fn changed_chunks_make_no_state() {
    let state = state();
    let chunks = split_snapshot(&state, 7).expect("small");
    let valid: Vec<Vec<u8>> = chunks
        .iter()
        .map(|chunk| encode_chunk(chunk).expect("small"))
        .collect();
    run(4, &inputs(valid), |bytes| {
        let mut assembler = SnapshotAssembler::default();
        if let Ok(chunk) = decode_chunk(&bytes) {
            assembler.add(chunk);
        }
        assembler.latest().is_none_or(|latest| latest == state)
    });
}

#[test]
fn nested_values_end_in_an_error() {
    for bytes in nested() {
        assert!(decode_record(&bytes[..MAX_RECORD_BYTES]).is_err());
        assert!(decode_all_messages(&bytes));
        assert!(decode_snapshot(&bytes).is_err());
    }
}

/// A zone fails and every VM is reported at once. If the record were larger than its bound it
/// would be refused again and again, and the failed VMs would be taken for live.
#[test]
fn fullest_report_fits_a_record() {
    let reports = (0..MAX_REPORTS_PER_RECORD).map(report).collect();
    let bytes = encode_record(&record(RecordBody::Report { reports })).expect("within the bound");
    assert!(bytes.len() <= MAX_RECORD_BYTES);
}
