//! Heads of requests from callers.

use {
    crate::inputs::check_all,
    http::{Request, request::Parts},
    lynxwheel_gateway::{
        CLASS_HEADER, CallerRequest, DEADLINE_HEADER, IDEMPOTENCY_KEY_HEADER, ISSUED_HEADER,
    },
    proptest::{
        collection::vec,
        prelude::{Strategy, any},
        prop_oneof,
        sample::select,
    },
};

const HEADERS: [&str; 7] = [
    CLASS_HEADER,
    DEADLINE_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    ISSUED_HEADER,
    "host",
    "x-request-id",
    "lynxwheel-team",
];

const METHODS: [&str; 5] = ["GET", "POST", "PUT", "DELETE", "ANY"];

/// A request head that the HTTP library may accept, with any path and header values.
#[derive(Clone, Debug)]
struct RequestHead {
    method: &'static str,
    path: Vec<u8>,
    headers: Vec<(&'static str, Vec<u8>)>,
}

impl RequestHead {
    fn parts(&self) -> Option<Parts> {
        let mut builder = Request::builder()
            .method(self.method)
            .uri(self.path.as_slice());
        for (name, value) in &self.headers {
            builder = builder.header(*name, value.as_slice());
        }
        let (parts, ()) = builder.body(()).ok()?.into_parts();
        Some(parts)
    }
}

fn request_heads() -> impl Strategy<Value = RequestHead> {
    let value = prop_oneof![
        vec(any::<u8>(), 0..300),
        any::<u64>().prop_map(|number| number.to_string().into_bytes()),
        select(vec!["urgent", "-1", "1e9", "18446744073709551616", ""])
            .prop_map(|text| text.as_bytes().to_vec()),
    ];
    let path = vec(select(b"/maps?=&%.~:@\x7f\xff# ".to_vec()), 0..40).prop_map(|rest| {
        let mut path = b"/".to_vec();
        path.extend(rest);
        path
    });
    let headers = vec((select(HEADERS.to_vec()), value), 0..6);
    (select(METHODS.to_vec()), path, headers).prop_map(|(method, path, headers)| RequestHead {
        method,
        path,
        headers,
    })
}

/// Guards against malformed heads that are rejected without a reason or reported as possibly run.
#[test]
fn random_request_heads() {
    check_all(7, &request_heads(), |head| {
        let Some(parts) = head.parts() else {
            return true;
        };
        match CallerRequest::from_parts(parts) {
            Ok(request) => !request.path.is_empty() && request.path.starts_with('/'),
            Err(rejection) => rejection.did_not_run && !rejection.detail.is_empty(),
        }
    });
}
