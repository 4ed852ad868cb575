//! What a caller asks for, read from the head of its HTTP request.

use std::time::{Duration, Instant};

use http::HeaderMap;
use ids::{CustomerName, Priority, RequestId, ServiceName};
use outcomes::{REQUEST_ID_HEADER, Reason, Refusal};

/// Start of every header that speaks to this system; an unknown one is refused.
const PREFIX: &str = "saddlerail-";
const CUSTOMER: &str = "saddlerail-customer";
const DEADLINE: &str = "saddlerail-deadline-ms";
const PRIORITY: &str = "saddlerail-priority";
const REPEATABLE: &str = "saddlerail-repeatable";
const RETURNING: &str = "saddlerail-returning";
const PREFIX_KEY: &str = "saddlerail-prompt-prefix";
/// Path before the service's name.
pub const SERVICES_PATH: &str = "/v1/services/";

/// A caller's request, but for its body.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    /// The caller's own id, or one made here.
    pub id: RequestId,
    /// Whether the caller gave the id, so that it may give it elsewhere too.
    pub has_caller_id: bool,
    /// The service asked for.
    pub service: ServiceName,
    /// On whose behalf.
    pub customer: CustomerName,
    /// Priority; the service's if none.
    pub priority: Option<Priority>,
    /// Whether its calls may run more than once.
    pub repeatable: bool,
    /// Whether it was refused before and comes back at the time told.
    pub returning: bool,
    /// Whether the caller takes a stream.
    pub wants_stream: bool,
    /// Text that names the prompt's prefix, for the choice of an engine that has it cached.
    pub prefix: Option<String>,
    /// When its head was read.
    pub arrived: Instant,
    /// When its answer is of no use any more.
    pub deadline: Instant,
}

/// The caller's id, or a new one; whether it is the caller's.
///
/// # Errors
/// `BadRequest` if it is no name.
pub fn request_id(headers: &HeaderMap) -> Result<(RequestId, bool), Refusal> {
    match text(headers, REQUEST_ID_HEADER)? {
        Some(id) => RequestId::new(id).map(|id| (id, true)).map_err(bad),
        None => Ok((RequestId::mint(), false)),
    }
}

/// Reads path and headers.
///
/// # Errors
/// `BadRequest` for the first thing that can't be taken, with the header and what was expected.
pub fn parse(
    path: &str,
    headers: &HeaderMap,
    (id, has_caller_id): (RequestId, bool),
    arrived: Instant,
    longest_deadline_ms: u64,
) -> Result<CallerRequest, Refusal> {
    refuse_unknown_headers(headers)?;
    let service = path.strip_prefix(SERVICES_PATH).unwrap_or_default();
    let service = ServiceName::new(service).map_err(bad)?;
    let customer = required(headers, CUSTOMER, "the customer's name")?;
    let customer = CustomerName::new(customer).map_err(bad)?;
    let deadline_ms = deadline_ms(headers, longest_deadline_ms)?;
    Ok(CallerRequest {
        id,
        has_caller_id,
        service,
        customer,
        priority: text(headers, PRIORITY)?.map(parse_priority).transpose()?,
        repeatable: yes_or_no(headers, REPEATABLE)?,
        returning: yes_or_no(headers, RETURNING)?,
        wants_stream: text(headers, "accept")?.is_some_and(|a| a.contains("text/event-stream")),
        prefix: text(headers, PREFIX_KEY)?.map(str::to_owned),
        arrived,
        deadline: arrived + Duration::from_millis(deadline_ms),
    })
}

fn bad(e: errors::Error) -> Refusal {
    Refusal::not_run(Reason::BadRequest, e.to_string())
}

fn bad_header(name: &str, problem: &str) -> Refusal {
    Refusal::not_run(Reason::BadRequest, format!("header {name}: {problem}"))
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, Refusal> {
    let value = headers.get(name).map(|v| v.to_str());
    value.transpose().map_err(|_| bad_header(name, "expected printable ASCII"))
}

fn required<'a>(headers: &'a HeaderMap, name: &str, expected: &str) -> Result<&'a str, Refusal> {
    text(headers, name)?.ok_or_else(|| bad_header(name, &format!("missing, expected {expected}")))
}

fn deadline_ms(headers: &HeaderMap, longest: u64) -> Result<u64, Refusal> {
    let expected = format!("1 to {longest} milliseconds from now");
    let value = required(headers, DEADLINE, &expected)?;
    let wrong = || bad_header(DEADLINE, &format!("expected {expected}, found \"{value}\""));
    let millis: u64 = value.parse().map_err(|_| wrong())?;
    if (1..=longest).contains(&millis) { Ok(millis) } else { Err(wrong()) }
}

fn parse_priority(value: &str) -> Result<Priority, Refusal> {
    Priority::from_name(value).ok_or_else(|| {
        let names = Priority::ALL.map(Priority::as_str).join(", ");
        bad_header(PRIORITY, &format!("expected one of {names}, found \"{value}\""))
    })
}

/// A header that says yes or no; no if it is missing.
fn yes_or_no(headers: &HeaderMap, name: &str) -> Result<bool, Refusal> {
    match text(headers, name)? {
        Some("yes") => Ok(true),
        Some("no") | None => Ok(false),
        Some(other) => Err(bad_header(name, &format!("expected yes or no, found \"{other}\""))),
    }
}

fn refuse_unknown_headers(headers: &HeaderMap) -> Result<(), Refusal> {
    let known =
        [CUSTOMER, DEADLINE, PRIORITY, REPEATABLE, RETURNING, PREFIX_KEY, REQUEST_ID_HEADER];
    let mut ours = headers.keys().map(http::HeaderName::as_str);
    match ours.find(|name| name.starts_with(PREFIX) && !known.contains(name)) {
        Some(name) => Err(bad_header(name, "not known")),
        None => Ok(()),
    }
}
