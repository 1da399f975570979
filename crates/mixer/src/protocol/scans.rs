//! Requests from clients, and the responses to them.

use super::http::{response, Message};
use super::json::{quote, Json};
use fernglade::Span;
use fernglade_dialect::request::Request;
use std::collections::BTreeSet;

/// A scan as requested by a client. Traffic type and customer are unresolved names.
#[derive(Clone, Debug, PartialEq)]
pub struct ScanRequest {
    pub request_id: String,
    pub traffic_type: String,
    pub customer: String,
    /// Time that the client still waits.
    pub time_left: Span,
    /// The client has sent this scan before.
    pub is_retry: bool,
    pub idempotency_key: Option<String>,
    /// The query text, passed on to searchers unchanged.
    pub text: String,
    pub parts: Vec<ScanPart>,
}

/// One part of a requested scan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScanPart {
    pub shard: u32,
    /// Share of the whole answer, from 0 to 1.
    pub weight: f64,
    /// Estimated execution time, if the client states one.
    pub work: Option<Span>,
}

/// A valid request from a client.
#[derive(Debug, PartialEq)]
pub enum ClientRequest {
    Health,
    /// The mixer's metrics, which only permitted addresses may read.
    Metrics,
    Scan(ScanRequest),
    /// A request of the query API.
    Query(Box<Request>),
}

/// Why a request is refused. Variant names are part of the query API: an error without its own text there is
/// sent to the client in its `Debug` form.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestError {
    Invalid(String),
    /// No traffic type of this name.
    Path,
    Method,
    /// A scan with the same request id is open or may have run.
    Conflict,
    HeadTooLong,
    BodyTooLong,
    /// An error of the query API.
    Dialect(fernglade_dialect::ApiError),
}

fn invalid(message: impl Into<String>) -> RequestError {
    RequestError::Invalid(message.into())
}

/// Parses a request. `indices` are the configured indices of the query API; without any, requests of that API
/// are not recognised.
pub fn parse_request(message: &Message, indices: &BTreeSet<String>) -> Result<ClientRequest, RequestError> {
    let [method, target, _] = &message.start_line;
    let path = target.split('?').next().unwrap_or_default();
    let mut segments = path.trim_start_matches('/').split('/');
    let (first, second) = (segments.next().unwrap_or_default(), segments.next().unwrap_or_default());
    let is_dialect =
        first.is_empty() || first.starts_with('_') || second.starts_with('_') || indices.contains(first);
    if !indices.is_empty() && is_dialect {
        let request = Request::parse(method, target, |name| message.header(name), &message.body);
        return request.map(|request| ClientRequest::Query(Box::new(request))).map_err(RequestError::Dialect);
    }
    match (method.as_str(), path) {
        ("GET" | "HEAD", "/healthz") => Ok(ClientRequest::Health),
        (_, "/healthz") => Err(RequestError::Method),
        ("GET", "/figures") => Ok(ClientRequest::Metrics),
        ("POST", path) => parse_scan(message, path).map(ClientRequest::Scan),
        ("GET" | "HEAD" | "PUT" | "DELETE" | "PATCH" | "OPTIONS", _) => Err(RequestError::Method),
        _ => Err(invalid("an unknown method")),
    }
}

fn parse_scan(message: &Message, path: &str) -> Result<ScanRequest, RequestError> {
    let path_type = path.trim_start_matches('/').split('/').next().unwrap_or_default();
    let traffic_type = message.header("x-priority-class").unwrap_or(path_type);
    if traffic_type != path_type || path_type.is_empty() {
        return Err(RequestError::Path);
    }
    let request_id =
        message.header("x-request-id").and_then(parse_token).ok_or_else(|| invalid("no X-Request-ID"))?;
    let time_left = message
        .header("x-timeout")
        .and_then(parse_seconds)
        .ok_or_else(|| invalid("no sensible X-Timeout"))?;
    let key = message.header("idempotency-key");
    let idempotency_key =
        key.map(|key| parse_token(key).ok_or_else(|| invalid("a malformed Idempotency-Key"))).transpose()?;
    let body =
        Json::parse(&message.body).map_err(|error| invalid(format!("the body is no JSON: {error}")))?;
    let text = body.get("predicate").and_then(Json::as_str).ok_or_else(|| invalid("no predicate"))?;
    let ranges = body.get("ranges").and_then(Json::as_array).ok_or_else(|| invalid("no ranges"))?;
    Ok(ScanRequest {
        request_id,
        traffic_type: traffic_type.into(),
        customer: message.header("x-tenant-id").unwrap_or_default().into(),
        time_left,
        is_retry: message.header("x-retried") == Some("1"),
        idempotency_key,
        text: text.into(),
        parts: ranges.iter().map(parse_part).collect::<Result<_, _>>()?,
    })
}

fn parse_part(range: &Json) -> Result<ScanPart, RequestError> {
    let shard = range.get("range").and_then(Json::as_u64).and_then(|shard| u32::try_from(shard).ok());
    let weight = range.get("portion").and_then(Json::as_f64).filter(|w| (0.0..=1.001).contains(w));
    let work = range.get("price").and_then(Json::as_f64).filter(|price| *price >= 0.0);
    Ok(ScanPart {
        shard: shard.ok_or_else(|| invalid("a range has no number"))?,
        weight: weight.ok_or_else(|| invalid("a range has no sensible portion"))?,
        work: work.map(|price| Span::from_micros(price as u64)),
    })
}

/// Accepts an id or key of at most 128 graphic ASCII characters without commas: it is written into searchers'
/// frames, where spaces and commas are separators.
fn parse_token(text: &str) -> Option<String> {
    let is_allowed = |b: u8| b.is_ascii_graphic() && b != b',';
    (!text.is_empty() && text.len() <= 128 && text.bytes().all(is_allowed)).then(|| text.into())
}

/// Parses a positive number of seconds, of at most one day: no client waits longer.
fn parse_seconds(text: &str) -> Option<Span> {
    let is_decimal = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let seconds: f64 = text.parse().ok().filter(|_| is_decimal)?;
    (seconds > 0.0 && seconds <= 86_400.0).then(|| Span::from_micros((seconds * 1e6) as u64))
}

/// Bytes of a response per part in addition to the part's value.
pub const PART_OVERHEAD_BYTES: usize = 40;

/// The answer to a scan; `is_complete` says whether it counts as whole.
pub fn scan_response(is_complete: bool, values: &[(u32, String)], close: bool) -> Vec<u8> {
    let mut body = format!("{{\"total\":{is_complete},\"answers\":[");
    for (index, (shard, value)) in values.iter().enumerate() {
        body.push_str(&format!("{}{{\"range\":{shard},\"blob\":", if index > 0 { "," } else { "" }));
        quote(value, &mut body);
        body.push('}');
    }
    body.push_str("]}");
    response(200, &[("Content-Type", "application/json")], &body, close)
}

/// The response to a scan that may safely be sent again after `pause`.
pub fn retry_later_response(pause: Span, close: bool) -> Vec<u8> {
    let seconds = format!("{:.3}", pause.as_f64() / 1e6);
    let retry_after = [("Retry-After", seconds.as_str())];
    response(503, if pause > Span::ZERO { &retry_after } else { &[] }, "", close)
}

/// The response to a failed scan whose parts may have run: it does not invite the client to send it again.
pub fn failure_response(close: bool) -> Vec<u8> {
    response(502, &[], "", close)
}

/// The response to a health check.
pub fn health_response(ready: bool, close: bool) -> Vec<u8> {
    response(if ready { 200 } else { 503 }, &[], "", close)
}

/// The response to a request for the metrics.
pub fn metrics_response(text: &str, close: bool) -> Vec<u8> {
    let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    response(200, &[("Content-Type", content_type)], text, close)
}

/// A response of the query API.
pub fn dialect_response(status: u16, body: &str, pause: Span, opaque: Option<&str>, close: bool) -> Vec<u8> {
    let seconds = (pause.micros().div_ceil(1_000_000)).to_string();
    let mut headers = vec![("Content-Type", "application/json; charset=UTF-8")];
    // Clients of the query API expect whole seconds.
    if matches!(status, 429 | 503) && pause > Span::ZERO {
        headers.push(("Retry-After", &seconds));
    }
    headers.extend(opaque.map(|opaque| ("X-Opaque-Id", opaque)));
    response(status, &headers, body, close)
}

/// The response to a request that is refused.
pub fn error_response(error: &RequestError, close: bool) -> Vec<u8> {
    let (status, text) = match error {
        RequestError::Dialect(fault) => {
            let body = fault.body().to_string();
            return dialect_response(fault.kind.status(), &body, Span::ZERO, None, close);
        }
        RequestError::Invalid(message) => (400, message.as_str()),
        RequestError::Path => (404, "no such traffic type here"),
        RequestError::Method => (405, "scans are posted, /healthz is got"),
        RequestError::Conflict => (409, "a scan of this X-Request-ID is open or has run"),
        RequestError::HeadTooLong => (431, "the head is too long"),
        RequestError::BodyTooLong => (413, "the body is too long"),
    };
    let allow: &[(&str, &str)] = if status == 405 { &[("Allow", "GET, POST")] } else { &[] };
    response(status, &[&[("Content-Type", "text/plain")], allow].concat(), &format!("{text}\n"), close)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::protocol::http::Reader;
    use test_case::test_case;

    const BODY: &str = r#"{"ranges":[{"range":3,"portion":0.5,"price":9000},{"range":9,"portion":0.5}],"predicate":"c\u00e9\n"}"#;

    fn parse_post(target: &str, headers: &str, body: &str) -> Result<ClientRequest, RequestError> {
        let length = body.len();
        let text = format!("POST {target} HTTP/1.1\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
        parse_request(&Reader::default().read(text.as_bytes()).unwrap().1.unwrap(), &BTreeSet::new())
    }

    const HEADERS: &str = "X-Request-ID: 9b1f\r\nX-Priority-Class: checkout\r\nX-Tenant-Id: acme\r\n\
                           X-Timeout: 0.480\r\nIdempotency-Key: 5c0f\r\nX-Retried: 1\r\n";

    #[test]
    fn a_scan_is_parsed_with_all_its_fields() {
        let Ok(ClientRequest::Scan(scan)) = parse_post("/checkout?key=7f", HEADERS, BODY) else {
            panic!("no scan")
        };
        assert_eq!((scan.request_id.as_str(), scan.customer.as_str(), scan.is_retry), ("9b1f", "acme", true));
        assert_eq!((scan.time_left, scan.idempotency_key.as_deref()), (Span::from_millis(480), Some("5c0f")));
        assert_eq!(scan.text, "cé\n", "escapes are decoded once");
        let work = Some(Span::from_millis(9));
        assert_eq!(scan.parts[0], ScanPart { shard: 3, weight: 0.5, work });
        assert_eq!(scan.parts[1], ScanPart { shard: 9, weight: 0.5, work: None });
    }

    #[test_case("X-Request-ID: 9b1f", "X-Request-ID: a b", "X-Request-ID"; "id with a space")]
    #[test_case("X-Timeout: 0.480", "X-Timeout: 0", "X-Timeout"; "no time left")]
    #[test_case("X-Timeout: 0.480", "X-Timeout: inf", "X-Timeout"; "infinite time")]
    #[test_case("X-Timeout: 0.480", "X-Timeout: -1", "X-Timeout"; "negative time")]
    #[test_case("Key: 5c0f", "Key: 5,c", "Idempotency-Key"; "key with a comma")]
    fn an_invalid_header_is_refused(from: &str, to: &str, expected: &str) {
        let result = parse_post("/checkout", &HEADERS.replace(from, to), BODY);
        assert!(
            matches!(&result, Err(RequestError::Invalid(message)) if message.contains(expected)),
            "{result:?}"
        );
    }

    #[test_case("{}", "predicate"; "empty object")]
    #[test_case("", "no JSON"; "empty body")]
    #[test_case(r#"{"predicate":"a","ranges":[{"range":-1,"portion":1}]}"#, "number"; "negative shard")]
    #[test_case(r#"{"predicate":"a","ranges":[{"range":1,"portion":9}]}"#, "portion"; "portion over one")]
    fn an_invalid_body_is_refused(body: &str, expected: &str) {
        let result = parse_post("/checkout", HEADERS, body);
        assert!(
            matches!(&result, Err(RequestError::Invalid(message)) if message.contains(expected)),
            "{result:?}"
        );
    }

    #[test]
    fn the_path_names_the_traffic_type() {
        assert_eq!(parse_post("/other", HEADERS, BODY), Err(RequestError::Path));
        assert!(parse_post("/checkout/more", HEADERS, BODY).is_ok());
        let get = |target: &str| {
            let text = format!("GET {target} HTTP/1.1\r\n\r\n");
            parse_request(&Reader::default().read(text.as_bytes()).unwrap().1.unwrap(), &BTreeSet::new())
        };
        assert_eq!(
            (get("/healthz"), get("/checkout")),
            (Ok(ClientRequest::Health), Err(RequestError::Method))
        );
    }

    #[test]
    fn a_scan_response_holds_the_values_unchanged() {
        let bytes = scan_response(false, &[(3, "5be2\"\\\n".into()), (4, "é".into())], false);
        let message = Reader::default().read(&bytes).unwrap().1.unwrap();
        let text =
            r#"{"total":false,"answers":[{"range":3,"blob":"5be2\"\\\u000a"},{"range":4,"blob":"é"}]}"#;
        assert_eq!(String::from_utf8(message.body).unwrap(), text);
    }
}
