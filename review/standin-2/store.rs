//! The platform's store: a log with topics of one partition, as PROTOCOL.md describes it.

use {
    crate::{
        http::{Handler, Request, Response, empty_response, json_response},
        json::{Json, number, object, text},
    },
    std::{
        collections::BTreeMap,
        sync::{Arc, Condvar, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// Time that an answer takes, in milliseconds.
const ANSWER_MS: u64 = 4;

/// Answers to the last appends of a producer that are given again.
const REPEATED_APPENDS: usize = 5;

#[derive(Default)]
struct Producer {
    epoch: u64,
    next: Option<u64>,
    recent: Vec<(u64, u64, Json)>,
}

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (Vec<u8>, u64)>,
    producers: BTreeMap<String, Producer>,
}

#[derive(Clone, Default)]
pub struct Store {
    inner: Arc<(Mutex<BTreeMap<String, Topic>>, Condvar)>,
}

impl Topic {
    fn add(&mut self, is_keyed: bool, record: Vec<u8>) {
        let offset = self.records.len() as u64;
        if is_keyed && !record.is_empty() {
            let length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
            let value = record[1 + length..].to_vec();
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (value, offset));
            }
        }
        self.records.push(record);
    }
}

impl Store {
    pub fn handler(&self) -> Handler {
        let store = self.clone();
        Arc::new(move |request| {
            thread::sleep(Duration::from_millis(ANSWER_MS));
            store.answer(request)
        })
    }

    /// Writes a record as the operator or an executor does; an empty value removes the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let (topics, changed) = &*self.inner;
        topics.lock().unwrap().entry(topic.into()).or_default().add(true, record);
        changed.notify_all();
    }

    /// Returns the newest value of a key.
    pub fn newest(&self, topic: &str, key: &str) -> Option<String> {
        let topics = self.inner.0.lock().unwrap();
        let (value, _) = topics.get(topic)?.newest.get(key)?;
        Some(String::from_utf8_lossy(value).into_owned())
    }

    fn answer(&self, request: &Request) -> Option<Response> {
        let topic = request.parameter("topic").unwrap_or_default().to_string();
        match request.path.as_str() {
            "/log-append" => self.append(&topic, request),
            "/log-read" => self.read(&topic, request),
            "/log-newest" => self.newest_page(&topic, request),
            _ => empty_response(404),
        }
    }

    fn append(&self, name: &str, request: &Request) -> Option<Response> {
        if name == "keyed.op" || name == "keyed.servers" {
            return empty_response(403);
        }
        let parameter = |name| request.parameter(name).and_then(|value| value.parse::<u64>().ok());
        let (topics, changed) = &*self.inner;
        let mut topics = topics.lock().unwrap();
        let topic = topics.entry(name.into()).or_default();
        let end = topic.records.len() as u64;
        let producer = request.parameter("producer").map(str::to_string);
        let (epoch, sequence) = (
            parameter("epoch").unwrap_or_default(),
            parameter("sequence").unwrap_or_default(),
        );
        let records = split(&request.body)?;
        if let Some(producer) = &producer {
            let known = topic.producers.entry(producer.clone()).or_default();
            if epoch < known.epoch {
                return json_response(409, &object(vec![("reason", text("fenced"))]));
            }
            if epoch > known.epoch {
                known.epoch = epoch;
                known.next = None;
            }
            if !records.is_empty() {
                let is_repeat = |(at, known, _): &&(u64, u64, Json)| *at == epoch && *known == sequence;
                if let Some((_, _, answer)) = known.recent.iter().find(is_repeat) {
                    return json_response(200, answer);
                }
                if let Some(next) = known.next.filter(|next| *next != sequence) {
                    let body = vec![("reason", text("seq")), ("sequence", number(next))];
                    return json_response(409, &object(body));
                }
            }
        }
        if parameter("at").is_some_and(|at| at != end) {
            return json_response(412, &object(vec![("end_offset", number(end))]));
        }
        let count = records.len() as u64;
        let is_keyed = name.starts_with("keyed.");
        for record in records {
            topic.add(is_keyed, record);
        }
        let answer = object(vec![("offset", number(end)), ("end_offset", number(end + count))]);
        if let Some(producer) = producer.filter(|_| count > 0) {
            let known = topic.producers.entry(producer).or_default();
            known.next = Some(sequence + 1);
            known.recent.push((epoch, sequence, answer.clone()));
            if known.recent.len() > REPEATED_APPENDS {
                known.recent.remove(0);
            }
        }
        changed.notify_all();
        json_response(200, &answer)
    }

    fn read(&self, name: &str, request: &Request) -> Option<Response> {
        let parameter = |name| request.parameter(name).and_then(|value| value.parse::<u64>().ok());
        let from = parameter("from").unwrap_or_default() as usize;
        let until = Instant::now() + Duration::from_millis(parameter("wait_ms").unwrap_or_default());
        let (topics, changed) = &*self.inner;
        let mut topics = topics.lock().unwrap();
        loop {
            let topic = topics.entry(name.into()).or_default();
            let left = until.saturating_duration_since(Instant::now());
            if topic.records.len() > from || left.is_zero() {
                let mut body = (topic.records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in topic.records.iter().skip(from).take(2_000) {
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return Some(Response { status: 200, content_type: "application/octet-stream", body });
            }
            topics = changed.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn newest_page(&self, name: &str, request: &Request) -> Option<Response> {
        let after = request.parameter("depends_on");
        let mut topics = self.inner.0.lock().unwrap();
        let topic = topics.entry(name.into()).or_default();
        let rest = topic.newest.iter();
        let rest: Vec<_> =
            rest.filter(|(key, _)| after.is_none_or(|after| key.as_str() > after)).collect();
        let items = rest.iter().take(500).map(|(key, (value, offset))| {
            object(vec![
                ("key", text(key.as_str())),
                ("value", text(base64(value))),
                ("offset", number(*offset)),
            ])
        });
        let body = object(vec![
            ("items", Json::List(items.collect())),
            ("has_more", Json::Bool(rest.len() > 500)),
            ("end_offset", number(topic.records.len() as u64)),
        ]);
        json_response(200, &body)
    }
}

fn split(mut bytes: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !bytes.is_empty() {
        let (length, rest) = bytes.split_first_chunk::<4>()?;
        let length = u32::from_be_bytes(*length) as usize;
        records.push(rest.get(..length)?.to_vec());
        bytes = &rest[length..];
    }
    Some(records)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0_u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for place in 0..4 {
            if place <= chunk.len() {
                out.push(DIGITS[(bits >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}
