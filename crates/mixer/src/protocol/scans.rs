//! What clients ask, and what they are answered.

use super::http::{response, Message};
use super::json::{quote, Json};
use fernglade::Span;
use fernglade_dialect::request::Request;
use std::collections::BTreeSet;

/// A scan as its client asks for it, names not looked up.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    pub name: String,
    pub traffic_type: String,
    pub customer: String,
    pub left: Span,
    pub repeat: bool,
    pub label: Option<String>,
    pub text: String,
    pub parts: Vec<AskedPart>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AskedPart {
    pub shard: u32,
    pub weight: f64,
    pub work: Option<Span>,
}

/// What a client may send, and what is wrong with it.
#[derive(Debug, PartialEq)]
pub enum Question {
    Health,
    /// What this mixer tells of itself, of those who may ask.
    Figures,
    Scan(Ask),
    /// In the query dialect.
    Query(Box<Request>),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Blame {
    Request(String),
    Path,
    Method,
    Conflict,
    HeadTooLong,
    BodyTooLong,
    /// In the words of the query dialect.
    Dialect(fernglade_dialect::ApiError),
}

fn blame(what: impl Into<String>) -> Blame {
    Blame::Request(what.into())
}

/// `indices` are those of the query dialect, which is not spoken where there are none.
pub fn question(message: &Message, indices: &BTreeSet<String>) -> Result<Question, Blame> {
    let [method, target, _] = &message.start;
    let path = target.split('?').next().unwrap_or_default();
    let mut steps = path.trim_start_matches('/').split('/');
    let (first, second) = (steps.next().unwrap_or_default(), steps.next().unwrap_or_default());
    let of_dialect =
        first.is_empty() || first.starts_with('_') || second.starts_with('_') || indices.contains(first);
    if !indices.is_empty() && of_dialect {
        let request = Request::parse(method, target, |name| message.header(name), &message.body);
        return request.map(|request| Question::Query(Box::new(request))).map_err(Blame::Dialect);
    }
    match (method.as_str(), path) {
        ("GET" | "HEAD", "/healthz") => Ok(Question::Health),
        (_, "/healthz") => Err(Blame::Method),
        ("GET", "/figures") => Ok(Question::Figures),
        ("POST", path) => scan(message, path).map(Question::Scan),
        ("GET" | "HEAD" | "PUT" | "DELETE" | "PATCH" | "OPTIONS", _) => Err(Blame::Method),
        _ => Err(blame("an unknown method")),
    }
}

fn scan(message: &Message, path: &str) -> Result<Ask, Blame> {
    let wanted = path.trim_start_matches('/').split('/').next().unwrap_or_default();
    let traffic_type = message.header("x-priority-class").unwrap_or(wanted);
    if traffic_type != wanted || wanted.is_empty() {
        return Err(Blame::Path);
    }
    let name = message.header("x-request-id").and_then(token).ok_or_else(|| blame("no X-Request-ID"))?;
    let left = message.header("x-timeout").and_then(seconds).ok_or_else(|| blame("no sensible X-Timeout"))?;
    let label = message.header("idempotency-key");
    let label =
        label.map(|key| token(key).ok_or_else(|| blame("a malformed Idempotency-Key"))).transpose()?;
    let body = Json::parse(&message.body).map_err(|what| blame(format!("the body is no JSON: {what}")))?;
    let text = body.get("predicate").and_then(Json::text).ok_or_else(|| blame("no predicate"))?;
    let ranges = body.get("ranges").and_then(Json::list).ok_or_else(|| blame("no ranges"))?;
    Ok(Ask {
        name,
        traffic_type: traffic_type.into(),
        customer: message.header("x-tenant-id").unwrap_or_default().into(),
        left,
        repeat: message.header("x-retried") == Some("1"),
        label,
        text: text.into(),
        parts: ranges.iter().map(part).collect::<Result<_, _>>()?,
    })
}

fn part(range: &Json) -> Result<AskedPart, Blame> {
    let shard = range.get("range").and_then(Json::whole).and_then(|shard| u32::try_from(shard).ok());
    let weight = range.get("portion").and_then(Json::number).filter(|w| (0.0..=1.001).contains(w));
    let work = range.get("price").and_then(Json::number).filter(|price| *price >= 0.0);
    Ok(AskedPart {
        shard: shard.ok_or_else(|| blame("a range has no number"))?,
        weight: weight.ok_or_else(|| blame("a range has no sensible portion"))?,
        work: work.map(|price| Span::of_micros(price as u64)),
    })
}

/// It goes into searchers' frames, where blanks and commas part words.
fn token(text: &str) -> Option<String> {
    let plain = |b: u8| b.is_ascii_graphic() && b != b',';
    (!text.is_empty() && text.len() <= 128 && text.bytes().all(plain)).then(|| text.into())
}

/// Up to a day; more is no time that a client waits.
fn seconds(text: &str) -> Option<Span> {
    let digits = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let seconds: f64 = text.parse().ok().filter(|_| digits)?;
    (seconds > 0.0 && seconds <= 86_400.0).then(|| Span::of_micros((seconds * 1e6) as u64))
}

/// What an answer takes beside its values, for each part.
pub const PART_FRAME: usize = 40;

pub fn answer(whole: bool, values: &[(u32, String)], close: bool) -> Vec<u8> {
    let mut body = format!("{{\"total\":{whole},\"answers\":[");
    for (at, (shard, value)) in values.iter().enumerate() {
        body.push_str(&format!("{}{{\"range\":{shard},\"blob\":", if at > 0 { "," } else { "" }));
        quote(value, &mut body);
        body.push('}');
    }
    body.push_str("]}");
    response(200, &[("Content-Type", "application/json")], &body, close)
}

/// Asking again is harmless, after a pause.
pub fn bounce(pause: Span, close: bool) -> Vec<u8> {
    let seconds = format!("{:.3}", pause.as_f64() / 1e6);
    let advice = [("Retry-After", seconds.as_str())];
    response(503, if pause > Span::ZERO { &advice } else { &[] }, "", close)
}

pub fn write_off(close: bool) -> Vec<u8> {
    response(502, &[], "", close)
}

pub fn health(ready: bool, close: bool) -> Vec<u8> {
    response(if ready { 200 } else { 503 }, &[], "", close)
}

pub fn figures(text: &str, close: bool) -> Vec<u8> {
    let form = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    response(200, &[("Content-Type", form)], text, close)
}

/// An answer in the query dialect.
pub fn dialect(status: u16, body: &str, pause: Span, opaque: Option<&str>, close: bool) -> Vec<u8> {
    let seconds = (pause.micros().div_ceil(1_000_000)).to_string();
    let mut headers = vec![("Content-Type", "application/json; charset=UTF-8")];
    // That API's clients read whole seconds.
    if matches!(status, 429 | 503) && pause > Span::ZERO {
        headers.push(("Retry-After", &seconds));
    }
    headers.extend(opaque.map(|opaque| ("X-Opaque-Id", opaque)));
    response(status, &headers, body, close)
}

pub fn refusal(why: &Blame, close: bool) -> Vec<u8> {
    let (status, says) = match why {
        Blame::Dialect(fault) => {
            let body = fault.body().to_string();
            return dialect(fault.kind.status(), &body, Span::ZERO, None, close);
        }
        Blame::Request(what) => (400, what.as_str()),
        Blame::Path => (404, "no such traffic type here"),
        Blame::Method => (405, "scans are posted, /healthz is got"),
        Blame::Conflict => (409, "a scan of this X-Request-ID is open"),
        Blame::HeadTooLong => (431, "the head is too long"),
        Blame::BodyTooLong => (413, "the body is too long"),
    };
    let allow: &[(&str, &str)] = if status == 405 { &[("Allow", "GET, POST")] } else { &[] };
    response(status, &[&[("Content-Type", "text/plain")], allow].concat(), &format!("{says}\n"), close)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::protocol::http::Reader;
    use test_case::test_case;

    const BODY: &str = r#"{"ranges":[{"range":3,"portion":0.5,"price":9000},{"range":9,"portion":0.5}],"predicate":"c\u00e9\n"}"#;

    fn asked(target: &str, headers: &str, body: &str) -> Result<Question, Blame> {
        let length = body.len();
        let text = format!("POST {target} HTTP/1.1\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
        question(&Reader::default().read(text.as_bytes()).unwrap().1.unwrap(), &BTreeSet::new())
    }

    const HEADERS: &str = "X-Request-ID: 9b1f\r\nX-Priority-Class: checkout\r\nX-Tenant-Id: acme\r\n\
                           X-Timeout: 0.480\r\nIdempotency-Key: 5c0f\r\nX-Retried: 1\r\n";

    #[test]
    fn a_scan_is_read_with_all_that_it_says() {
        let Ok(Question::Scan(ask)) = asked("/checkout?key=7f", HEADERS, BODY) else { panic!("no scan") };
        assert_eq!((ask.name.as_str(), ask.customer.as_str(), ask.repeat), ("9b1f", "acme", true));
        assert_eq!((ask.left, ask.label.as_deref()), (Span::of_millis(480), Some("5c0f")));
        assert_eq!(ask.text, "cé\n", "escapes are undone once");
        let work = Some(Span::of_millis(9));
        assert_eq!(ask.parts[0], AskedPart { shard: 3, weight: 0.5, work });
        assert_eq!(ask.parts[1], AskedPart { shard: 9, weight: 0.5, work: None });
    }

    #[test_case("X-Request-ID: 9b1f", "X-Request-ID: a b", "X-Request-ID"; "id with a blank")]
    #[test_case("X-Timeout: 0.480", "X-Timeout: 0", "X-Timeout"; "no time left")]
    #[test_case("X-Timeout: 0.480", "X-Timeout: inf", "X-Timeout"; "endless time")]
    #[test_case("X-Timeout: 0.480", "X-Timeout: -1", "X-Timeout"; "negative time")]
    #[test_case("Key: 5c0f", "Key: 5,c", "Idempotency-Key"; "label with a comma")]
    fn a_senseless_header_is_blamed(from: &str, to: &str, says: &str) {
        let result = asked("/checkout", &HEADERS.replace(from, to), BODY);
        assert!(matches!(&result, Err(Blame::Request(what)) if what.contains(says)), "{result:?}");
    }

    #[test_case("{}", "predicate"; "empty object")]
    #[test_case("", "no JSON"; "empty body")]
    #[test_case(r#"{"predicate":"a","ranges":[{"range":-1,"portion":1}]}"#, "number"; "negative shard")]
    #[test_case(r#"{"predicate":"a","ranges":[{"range":1,"portion":9}]}"#, "portion"; "portion over one")]
    fn a_senseless_body_is_blamed(body: &str, says: &str) {
        let result = asked("/checkout", HEADERS, body);
        assert!(matches!(&result, Err(Blame::Request(what)) if what.contains(says)), "{result:?}");
    }

    #[test]
    fn the_path_names_the_traffic_type() {
        assert_eq!(asked("/other", HEADERS, BODY), Err(Blame::Path));
        assert!(asked("/checkout/more", HEADERS, BODY).is_ok());
        let get = |target: &str| {
            let text = format!("GET {target} HTTP/1.1\r\n\r\n");
            question(&Reader::default().read(text.as_bytes()).unwrap().1.unwrap(), &BTreeSet::new())
        };
        assert_eq!((get("/healthz"), get("/checkout")), (Ok(Question::Health), Err(Blame::Method)));
    }

    #[test]
    fn an_answer_holds_the_values_as_they_were_given() {
        let bytes = answer(false, &[(3, "5be2\"\\\n".into()), (4, "é".into())], false);
        let message = Reader::default().read(&bytes).unwrap().1.unwrap();
        let text =
            r#"{"total":false,"answers":[{"range":3,"blob":"5be2\"\\\u000a"},{"range":4,"blob":"é"}]}"#;
        assert_eq!(String::from_utf8(message.body).unwrap(), text);
    }
}
