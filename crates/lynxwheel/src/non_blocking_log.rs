//! Non-blocking log appender: a bounded queue and a thread that writes to standard output.

use {
    log::{
        Record,
        kv::{Error as KvError, Key, Value, VisitSource, VisitValue},
    },
    log4rs::append::Append,
    serde_json::{Map, Value as Json},
    std::{
        io::{self, Write},
        sync::{
            atomic::{AtomicU64, Ordering},
            mpsc::{Receiver, SyncSender, sync_channel},
        },
        thread,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
};

/// Capacity of the queue; lines that arrive while it is full are dropped and counted.
const MAX_QUEUED_LINES: usize = 2_048;

/// Delay before a write, in which further lines are batched.
const BATCH_DELAY: Duration = Duration::from_millis(5);

/// Appender that queues lines for a writer thread and never blocks.
#[derive(Debug)]
pub struct NonBlockingAppender {
    lines: SyncSender<String>,
    dropped_lines: AtomicU64,
}

impl NonBlockingAppender {
    /// Starts the writer thread.
    ///
    /// # Errors
    ///
    /// Fails when the thread cannot be spawned.
    pub fn start() -> io::Result<Self> {
        let (lines, receiver) = sync_channel(MAX_QUEUED_LINES);
        thread::Builder::new()
            .name("log".into())
            .stack_size(64 * 1024)
            .spawn(move || write_lines(&receiver))?;
        Ok(Self {
            lines,
            dropped_lines: AtomicU64::new(0),
        })
    }
}

/// Writes queued lines in batches.
///
/// A busy owner logs thousands of lines per second; waking up and writing for each one would take
/// a considerable share of a small VM's processor.
fn write_lines(lines: &Receiver<String>) {
    let stdout = io::stdout();
    while let Ok(mut text) = lines.recv() {
        thread::sleep(BATCH_DELAY);
        while let Ok(line) = lines.try_recv() {
            text.push_str(&line);
        }
        let mut stdout = stdout.lock();
        // A closed standard output leaves nowhere to report the error.
        drop(
            stdout
                .write_all(text.as_bytes())
                .and_then(|()| stdout.flush()),
        );
    }
}

impl Append for NonBlockingAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let dropped = self.dropped_lines.swap(0, Ordering::Relaxed);
        if self.lines.try_send(encode(record, dropped)).is_err() {
            self.dropped_lines.fetch_add(dropped + 1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

/// Whether a value is absent.
#[derive(Default)]
struct Absence(bool);

impl VisitValue<'_> for Absence {
    fn visit_any(&mut self, _: Value<'_>) -> Result<(), KvError> {
        Ok(())
    }

    fn visit_null(&mut self) -> Result<(), KvError> {
        self.0 = true;
        Ok(())
    }
}

/// Fields of a JSON log line, without those that have no value.
struct Fields(Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), KvError> {
        let mut absence = Absence::default();
        value.visit(&mut absence)?;
        if absence.0 {
            return Ok(());
        }
        let json = value
            .to_u64()
            .map(Json::from)
            .or_else(|| value.to_f64().map(Json::from))
            .or_else(|| value.to_bool().map(Json::from))
            .unwrap_or_else(|| Json::from(value.to_string()));
        self.0.insert(key.as_str().into(), json);
        Ok(())
    }
}

/// Encodes a record as a line of JSON, with the number of lines dropped before it.
fn encode(record: &Record<'_>, dropped: u64) -> String {
    let mut fields = Fields(Map::new());
    let time_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .ok()
        .and_then(|passed| u64::try_from(passed.as_millis()).ok());
    fields.0.insert("time_ms".into(), time_ms.into());
    fields
        .0
        .insert("level".into(), record.level().as_str().into());
    // A field that cannot be converted does not drop the line.
    drop(record.key_values().visit(&mut fields));
    let message = record.args().to_string();
    if !message.is_empty() {
        fields.0.insert("message".into(), message.into());
    }
    if dropped > 0 {
        fields.0.insert("lines_lost_before".into(), dropped.into());
    }
    let mut line = Json::Object(fields.0).to_string();
    line.push('\n');
    line
}
