//! Resources, log records and messages of lynxwheel, with their codecs.
//!
//! ```
//! use lynxwheel_protocol::{Record, RecordBody, WriterId, decode_record, encode_record};
//!
//! let record = Record {
//!     id: WriterId { incarnation: 7, sequence: 1 },
//!     time_ms: 1_000,
//!     body: RecordBody::Join { node: "node-1".into(), fold_version: 1 },
//! };
//! let bytes = encode_record(&record).expect("small record");
//! assert_eq!(decode_record(&bytes).expect("own bytes"), record);
//! ```

mod api;
mod binary;
mod codec;
mod names;
mod peer;
mod platform;
mod record;
mod resource;
mod schema;
mod snapshot;
mod validate;

pub use api::{
    CURRENT_HEADER, Condition, ExplanationView, FINAL_CONDITION, FieldError, MoveList, MoveView,
    OperationId, OperationList, OperationOutcome, OperationView, Problem, ProblemReason,
    READY_CONDITION, REVISION_HEADER, ResourceList, ResourceView, WatchEndReason, WatchEvent,
    WriteResponse,
};
pub use codec::{
    CodecError, MAX_MESSAGE_BYTES, MAX_RECORD_BYTES, decode_chunk, decode_message, decode_record,
    encode_chunk, encode_compact_message, encode_message, encode_record,
};
pub use names::{
    JobName, NodeName, PolicyName, PoolName, RackName, ServiceName, TeamName, VmName, WaveName,
    ZoneName,
};
pub use peer::{EndpointLoad, PeerEntries, PeerHello, PeerSnapshot};
pub use platform::{
    ActionRequest, AppendRequest, AppendResponse, LogEntry, ReadResponse, TaskReport, TaskStart,
    TaskState, VmAction, VmEntry, VmList, VmListState,
};
pub use record::{
    ClaimPurpose, JobOutcome, KeyOutcome, MAX_REPORTS_PER_RECORD, Record, RecordBody, RequestKey,
    VmPhase, VmReport, WriterId,
};
pub use resource::{
    Amount, Budget, Class, JobSpec, Kind, PolicySpec, PoolSpec, Resource, ResourceRef, Resources,
    ServiceSpec, TeamSpec, VmSpec, WaveAction, WaveGoal, WaveSpec, Weights,
};
pub use schema::{Field, FieldDefault, FieldType, fields};
pub use snapshot::{MAX_SNAPSHOT_CHUNKS, SNAPSHOT_CHUNK_BYTES, SnapshotChunk, SnapshotId};
pub use validate::{
    MAX_NAME_CHARS, MAX_WAVE_POOLS, check_name, parse_resource, parse_spec, validate_resource,
};

/// Latest fold version that this build supports.
pub const FOLD_VERSION: u32 = 1;
