//! Search of a connection's first head for two framings.

/// End of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Bytes looked at; the server's own bound on heads is lower.
const MAX_BYTES: usize = 64 * 1024;

/// Looks for a length and a transfer coding in one head.
///
/// The HTTP library drops the length when a coding comes with it, so the request cannot be refused
/// later: a proxy in front that goes by the length would take the rest of the body for another
/// caller's request. Only the first head is looked at, since later ones cannot be told from bodies
/// here; for those the library ends the connection after the request's own answer.
#[derive(Debug, Default)]
pub(crate) struct HeadScan {
    head: Vec<u8>,
    is_over: bool,
    is_ambiguous: bool,
}

impl HeadScan {
    /// Tells whether the head is still coming.
    pub(crate) fn is_open(&self) -> bool {
        !self.is_over
    }

    /// Tells whether the head has two framings.
    pub(crate) fn is_ambiguous(&self) -> bool {
        self.is_ambiguous
    }

    /// Looks at further bytes.
    pub(crate) fn feed(&mut self, bytes: &[u8]) {
        let from = self.head.len().saturating_sub(HEAD_END.len());
        self.head.extend_from_slice(bytes);
        let end = self.head[from..]
            .windows(HEAD_END.len())
            .position(|window| window == HEAD_END);
        self.is_over = end.is_some() || self.head.len() > MAX_BYTES;
        if let Some(end) = end {
            let head = &self.head[..from + end];
            self.is_ambiguous =
                has_header(head, b"content-length") && has_header(head, b"transfer-encoding");
        }
        if self.is_over {
            self.head = Vec::new();
        }
    }
}

fn has_header(head: &[u8], name: &[u8]) -> bool {
    head.split(|byte| *byte == b'\n').any(|line| {
        line.len() > name.len()
            && line[..name.len()].eq_ignore_ascii_case(name)
            && line[name.len()] == b':'
    })
}
