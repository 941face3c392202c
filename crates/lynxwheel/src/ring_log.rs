//! Log lines through a bounded ring: a caller of the log never waits for standard output.

use {
    log::{
        Record,
        kv::{Error as KvError, Key, Value, VisitSource},
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

/// Lines that wait for the writer at most; what comes when the ring is full is counted and lost.
const RING_LINES: usize = 2_048;

/// Time for which a line waits for others that are written with it.
const GATHER: Duration = Duration::from_millis(5);

/// Appender whose lines are written by a thread of its own.
#[derive(Debug)]
pub struct RingAppender {
    lines: SyncSender<String>,
    lost: AtomicU64,
}

impl RingAppender {
    /// Starts the writer.
    ///
    /// # Errors
    ///
    /// Fails when its thread cannot be started.
    pub fn start() -> io::Result<Self> {
        let (lines, receiver) = sync_channel(RING_LINES);
        thread::Builder::new()
            .name("log".into())
            .stack_size(64 * 1024)
            .spawn(move || write_lines(&receiver))?;
        Ok(Self {
            lines,
            lost: AtomicU64::new(0),
        })
    }
}

/// Writes lines as they come, those that came together in one go.
///
/// A busy owner logs thousands of lines a second; a wake-up and a write for each cost it a good part
/// of a small processor.
fn write_lines(lines: &Receiver<String>) {
    let stdout = io::stdout();
    while let Ok(mut text) = lines.recv() {
        thread::sleep(GATHER);
        while let Ok(line) = lines.try_recv() {
            text.push_str(&line);
        }
        let mut stdout = stdout.lock();
        // Nobody can be told when standard output is closed.
        drop(
            stdout
                .write_all(text.as_bytes())
                .and_then(|()| stdout.flush()),
        );
    }
}

impl Append for RingAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let lost = self.lost.swap(0, Ordering::Relaxed);
        if self.lines.try_send(encode(record, lost)).is_err() {
            self.lost.fetch_add(lost + 1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

/// Fields of a line.
struct Fields(Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), KvError> {
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

fn encode(record: &Record<'_>, lost: u64) -> String {
    let mut fields = Fields(Map::new());
    let time_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .ok()
        .and_then(|passed| u64::try_from(passed.as_millis()).ok());
    fields.0.insert("time_ms".into(), time_ms.into());
    fields
        .0
        .insert("level".into(), record.level().as_str().into());
    // A field that cannot be read leaves the others.
    drop(record.key_values().visit(&mut fields));
    let message = record.args().to_string();
    if !message.is_empty() {
        fields.0.insert("message".into(), message.into());
    }
    if lost > 0 {
        fields.0.insert("lines_lost_before".into(), lost.into());
    }
    let mut line = Json::Object(fields.0).to_string();
    line.push('\n');
    line
}
