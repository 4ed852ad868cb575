//! Parses the path and headers of a caller's HTTP request.
//!
//! A request that can't be accepted is refused with [`Reason::BadRequest`]; it has not run.
//!
//! Used by the `daemon` crate; in the `gateway` crate, the platform's adapter parses the requests.

use std::time::{Duration, Instant};

use http::HeaderMap;
use ids::{CustomerName, Priority, RequestId, ServiceName};
use outcomes::{REQUEST_ID_HEADER, Reason, Refusal};

/// Prefix of the headers that belong to this system. An unknown header with it is refused.
const HEADER_PREFIX: &str = "saddlerail-";
/// Header with the customer's name; required.
const CUSTOMER: &str = "saddlerail-customer";
/// Header with the milliseconds until the deadline; required.
const DEADLINE: &str = "saddlerail-deadline-ms";
/// Header with the request's priority.
const PRIORITY: &str = "saddlerail-priority";
/// Header that says whether the request's calls may run more than once.
const REPEATABLE: &str = "saddlerail-repeatable";
/// Header that says whether this is the retry of a refused request, sent at the time that the
/// refusal gave.
const RETURNING: &str = "saddlerail-returning";
/// Header that names the prefix of the prompt.
const PROMPT_PREFIX: &str = "saddlerail-prompt-prefix";
/// Prefix of the path of a request; the name of the service follows it.
pub const SERVICES_PATH: &str = "/v1/services/";

/// A caller's request without its body.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// The id that the caller gave, or a new one.
    pub id: RequestId,
    /// Whether the caller gave the id. It may then send the same id to other VMs too.
    pub has_caller_id: bool,
    /// Name of the requested service.
    pub service: ServiceName,
    /// Customer on whose behalf the request is made.
    pub customer: CustomerName,
    /// Priority; if it is `None`, the service's priority applies.
    pub priority: Option<Priority>,
    /// Whether the request's calls may run more than once.
    pub repeatable: bool,
    /// Whether this is the retry of a refused request, sent at the time that the refusal gave.
    pub returning: bool,
    /// Whether the caller accepts a stream.
    pub wants_stream: bool,
    /// Name of the prompt's prefix, used to select an engine that has it cached.
    pub prefix: Option<String>,
    /// When the head of the request was read.
    pub arrived: Instant,
    /// When the caller no longer needs the answer.
    pub deadline: Instant,
}

/// Returns the request's id and whether the caller gave it; without a header, a new id.
///
/// # Errors
/// `BadRequest` if the given id is not a valid name.
pub fn request_id(headers: &HeaderMap) -> Result<(RequestId, bool), Refusal> {
    match header_text(headers, REQUEST_ID_HEADER)? {
        Some(id) => RequestId::new(id).map(|id| (id, true)).map_err(bad_request),
        None => Ok((RequestId::generate(), false)),
    }
}

/// Parses the path and headers of a request that arrived at `arrived`. The pair is the result of
/// [`request_id`]. A deadline of more than `longest_deadline_ms` is refused.
///
/// # Errors
/// `BadRequest` for the first path or header that can't be accepted, with what was expected.
pub fn parse(
    path: &str,
    headers: &HeaderMap,
    (id, has_caller_id): (RequestId, bool),
    arrived: Instant,
    longest_deadline_ms: u64,
) -> Result<CallerRequest, Refusal> {
    refuse_unknown_headers(headers)?;
    let service = path.strip_prefix(SERVICES_PATH).unwrap_or_default();
    let service = ServiceName::new(service).map_err(bad_request)?;
    let customer = required(headers, CUSTOMER, "the customer's name")?;
    let customer = CustomerName::new(customer).map_err(bad_request)?;
    let deadline_ms = deadline_ms(headers, longest_deadline_ms)?;
    Ok(CallerRequest {
        id,
        has_caller_id,
        service,
        customer,
        priority: header_text(headers, PRIORITY)?.map(parse_priority).transpose()?,
        repeatable: yes_or_no(headers, REPEATABLE)?,
        returning: yes_or_no(headers, RETURNING)?,
        wants_stream: header_text(headers, "accept")?
            .is_some_and(|a| a.contains("text/event-stream")),
        prefix: header_text(headers, PROMPT_PREFIX)?.map(str::to_owned),
        arrived,
        deadline: arrived + Duration::from_millis(deadline_ms),
    })
}

fn bad_request(e: errors::Error) -> Refusal {
    Refusal::not_run(Reason::BadRequest, e.to_string())
}

fn bad_header(name: &str, problem: &str) -> Refusal {
    Refusal::not_run(Reason::BadRequest, format!("header {name}: {problem}"))
}

/// Returns the value of a header; `None` if it is missing.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let value = headers.get(name).map(|v| v.to_str());
    value.transpose().map_err(|_| bad_header(name, "expected printable ASCII"))
}

/// Returns the value of a header, or an error that says what it should hold if it is missing.
fn required<'a>(headers: &'a HeaderMap, name: &str, expected: &str) -> Result<&'a str, Refusal> {
    header_text(headers, name)?
        .ok_or_else(|| bad_header(name, &format!("missing, expected {expected}")))
}

/// Returns the milliseconds until the deadline, which must be 1 to `longest_ms`.
fn deadline_ms(headers: &HeaderMap, longest_ms: u64) -> Result<u64, Refusal> {
    let expected = format!("1 to {longest_ms} milliseconds from now");
    let value = required(headers, DEADLINE, &expected)?;
    let invalid = || bad_header(DEADLINE, &format!("expected {expected}, found \"{value}\""));
    let millis: u64 = value.parse().map_err(|_| invalid())?;
    if (1..=longest_ms).contains(&millis) { Ok(millis) } else { Err(invalid()) }
}

fn parse_priority(value: &str) -> Result<Priority, Refusal> {
    Priority::from_name(value).ok_or_else(|| {
        let names = Priority::ALL.map(Priority::as_str).join(", ");
        bad_header(PRIORITY, &format!("expected one of {names}, found \"{value}\""))
    })
}

/// A header with the value `yes` or `no`; `no` if it is missing.
fn yes_or_no(headers: &HeaderMap, name: &str) -> Result<bool, Refusal> {
    match header_text(headers, name)? {
        Some("yes") => Ok(true),
        Some("no") | None => Ok(false),
        Some(other) => Err(bad_header(name, &format!("expected yes or no, found \"{other}\""))),
    }
}

/// Refuses headers that have this system's prefix and are not known, such as misspelled ones.
fn refuse_unknown_headers(headers: &HeaderMap) -> Result<(), Refusal> {
    let known =
        [CUSTOMER, DEADLINE, PRIORITY, REPEATABLE, RETURNING, PROMPT_PREFIX, REQUEST_ID_HEADER];
    let mut names = headers.keys().map(http::HeaderName::as_str);
    match names.find(|name| name.starts_with(HEADER_PREFIX) && !known.contains(name)) {
        Some(name) => Err(bad_header(name, "not known")),
        None => Ok(()),
    }
}
