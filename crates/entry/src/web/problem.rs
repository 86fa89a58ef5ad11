//! Problem responses (`application/problem+json`) and helpers for building responses.

use std::time::Duration;

use strum::AsRefStr;
use strum::Display;
use xitca_web::http::StatusCode;
use xitca_web::http::WebResponse;
use xitca_web::http::header::CONNECTION;
use xitca_web::http::header::CONTENT_TYPE;
use xitca_web::http::header::HeaderName;
use xitca_web::http::header::HeaderValue;
use xitca_web::http::header::RETRY_AFTER;

use model::Verdict;
use wire::border;

/// Response header with the id of the request.
pub const REQUEST: HeaderName = HeaderName::from_static("basilrack-request");
/// Response header with the verdict on the request.
pub const VERDICT: HeaderName = HeaderName::from_static("basilrack-verdict");
/// Response header with the reason of the verdict.
pub const REASON: HeaderName = HeaderName::from_static("basilrack-reason");

/// Reason for which the web interface refused a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, AsRefStr, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    /// The path is not served.
    NoSuchPath,
    /// The path does not support this method.
    WrongMethod,
    /// The body is longer than the settings allow.
    BodyTooLong,
    /// The body did not arrive in time, or the connection broke.
    BodyIncomplete,
    /// The body cannot be parsed.
    BadBody,
    /// A header is missing or invalid.
    BadHeader,
    /// An id or number in the path or query is invalid.
    BadId,
    /// The operator token is missing or wrong.
    Unauthorized,
    /// The entry VM is overloaded.
    Busy,
    /// The entry VM is stopping.
    Draining,
    /// The requested item is not known here.
    NotFound,
    /// The configuration was changed in the meantime.
    Conflict,
    /// A dependency, such as the store or the owner of a shard, is unavailable.
    Unavailable,
    /// The configuration or job was refused.
    Refused,
    /// Internal error of the program.
    Internal,
}

impl Fault {
    fn status(self) -> u16 {
        match self {
            Fault::NoSuchPath | Fault::NotFound => 404,
            Fault::WrongMethod => 405,
            Fault::BodyTooLong => 413,
            Fault::BodyIncomplete => 408,
            Fault::BadBody | Fault::BadHeader | Fault::BadId => 400,
            Fault::Unauthorized => 401,
            Fault::Busy | Fault::Draining | Fault::Unavailable => 503,
            Fault::Conflict => 409,
            Fault::Refused => 422,
            Fault::Internal => 500,
        }
    }

    fn title(self) -> &'static str {
        match self {
            Fault::NoSuchPath => "No such path",
            Fault::NotFound => "Not known here",
            Fault::WrongMethod => "Method not allowed",
            Fault::BodyTooLong => "Body too long",
            Fault::BodyIncomplete => "Body incomplete",
            Fault::BadBody => "Body not valid",
            Fault::BadHeader => "Header not valid",
            Fault::BadId => "Id not valid",
            Fault::Unauthorized => "Operator token missing or wrong",
            Fault::Busy => "Busy",
            Fault::Draining => "Stopping",
            Fault::Conflict => "Conflict",
            Fault::Unavailable => "Unavailable",
            Fault::Refused => "Refused",
            Fault::Internal => "Internal error",
        }
    }

    fn retry(self) -> Option<Duration> {
        match self {
            Fault::Busy | Fault::Draining | Fault::Unavailable => Some(Duration::from_secs(1)),
            _ => None,
        }
    }
}

/// Refusal of a call by the web interface.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// Reason of the refusal.
    pub fault: Fault,
    /// Explanation for the caller.
    pub detail: String,
    /// Verdict on the call: unknown if it may have run.
    pub verdict: Verdict,
}

impl Refusal {
    /// Refuses a call that did not run.
    pub fn new(fault: Fault, detail: impl Into<String>) -> Refusal {
        Refusal { fault, detail: detail.into(), verdict: Verdict::NotRun }
    }

    /// Refuses a call that may have run.
    pub fn unknown(fault: Fault, detail: impl Into<String>) -> Refusal {
        Refusal { fault, detail: detail.into(), verdict: Verdict::Unknown }
    }

    /// Changes the verdict to unknown, for a call whose id may have been used before: the outcome
    /// of the earlier call is not known here.
    pub fn with_unknown_verdict(mut self) -> Refusal {
        self.verdict = Verdict::Unknown;
        self.detail
            .push_str("; this call changed nothing, but an earlier call with the same id may have");
        self
    }

    /// Converts the refusal to an HTTP response.
    pub fn response(&self) -> WebResponse {
        let retry = self.fault.retry();
        respond(&border::Problem {
            type_: format!("urn:basilrack:problem:{}", self.fault),
            title: self.fault.title().to_owned(),
            status: self.fault.status(),
            detail: self.detail.clone(),
            verdict: border_verdict(self.verdict),
            final_: self.verdict != Verdict::Unknown,
            reason: self.fault.to_string(),
            retry: retry.is_some(),
            retry_after_ms: retry.map(millis),
            request: None,
        })
    }
}

/// Converts `span` to whole milliseconds, rounding down.
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Converts a verdict to its wire type.
pub fn border_verdict(verdict: Verdict) -> border::Verdict {
    match verdict {
        Verdict::NotRun => border::Verdict::NotRun,
        Verdict::Ran => border::Verdict::Ran,
        Verdict::Unknown => border::Verdict::Unknown,
    }
}

/// Builds the HTTP response for `problem`, with the headers that repeat its fields.
pub fn respond(problem: &border::Problem) -> WebResponse {
    let mut response = json(problem.status, problem);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    insert_header(headers, VERDICT, &problem.verdict.to_string());
    insert_header(headers, REASON, &problem.reason);
    if let Some(request) = &problem.request {
        insert_header(headers, REQUEST, request);
    }
    if let Some(pause) = problem.retry_after_ms {
        insert_header(headers, RETRY_AFTER, &pause.div_ceil(1_000).to_string());
    }
    response
}

/// Builds a JSON response.
pub fn json<T: serde::Serialize>(status: u16, value: &T) -> WebResponse {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = WebResponse::new(body.into());
    *response.status_mut() = status_code(status);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// Converts a status number; 500 if it is not a valid status.
pub fn status_code(status: u16) -> StatusCode {
    StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

/// Sets a header, unless the value contains characters that a header cannot hold.
pub fn insert_header(headers: &mut xitca_web::http::HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Makes the server close the connection after this response.
pub fn close_connection(response: &mut WebResponse) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}
