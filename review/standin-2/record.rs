//! What was sent, answered and run, with the time since the case began.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    inner: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { inner: Arc::new(Mutex::new(file)), began: Instant::now() }
    }

    pub fn line(&self, line: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let _ = writeln!(self.inner.lock().unwrap(), "{at:8.3} s  {line}");
    }
}
