//! Answers that tell a caller what went wrong, as `application/problem+json`.

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

/// Header with the id of a request.
pub const REQUEST: HeaderName = HeaderName::from_static("basilrack-request");
/// Header with the verdict on a request.
pub const VERDICT: HeaderName = HeaderName::from_static("basilrack-verdict");
/// Header with the reason of a verdict.
pub const REASON: HeaderName = HeaderName::from_static("basilrack-reason");

/// Why the border itself refused a call, before any decision was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, AsRefStr, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Fault {
    /// The path is not served.
    NoSuchPath,
    /// The path is not served by this method.
    WrongMethod,
    /// The body is longer than the settings allow.
    BodyTooLong,
    /// The body did not come in time, or the connection broke.
    BodyIncomplete,
    /// The body is not what the path takes.
    BadBody,
    /// A header is missing or not valid.
    BadHeader,
    /// An id or a number in the path or query is not valid.
    BadId,
    /// The operator token is missing or wrong.
    Unauthorized,
    /// The entry VM takes no more calls at the moment.
    Busy,
    /// The entry VM is stopping.
    Draining,
    /// What was asked for is not known here.
    NotFound,
    /// Another change of the configuration came first.
    Conflict,
    /// Something that the call needs cannot be reached.
    Unavailable,
    /// The configuration or job was refused.
    Refused,
    /// A defect of the program.
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

/// A refusal by the border, with what the caller should know.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// What was wrong.
    pub fault: Fault,
    /// What happened and what to do about it.
    pub detail: String,
    /// Whether the call may have run.
    pub verdict: Verdict,
}

impl Refusal {
    /// A refusal of a call that did not run.
    pub fn new(fault: Fault, detail: impl Into<String>) -> Refusal {
        Refusal { fault, detail: detail.into(), verdict: Verdict::NotRun }
    }

    /// A refusal of a call that may have run.
    pub fn unknown(fault: Fault, detail: impl Into<String>) -> Refusal {
        Refusal { fault, detail: detail.into(), verdict: Verdict::Unknown }
    }

    /// The same refusal of a call whose id may have been used before: what became of the earlier
    /// call is not known here.
    pub fn with_unknown_verdict(mut self) -> Refusal {
        self.verdict = Verdict::Unknown;
        self.detail
            .push_str("; this call changed nothing, but an earlier one with the same id may");
        self
    }

    /// The HTTP response.
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

/// Whole milliseconds of `span`.
pub fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// The border's form of a verdict.
pub fn border_verdict(verdict: Verdict) -> border::Verdict {
    match verdict {
        Verdict::NotRun => border::Verdict::NotRun,
        Verdict::Ran => border::Verdict::Ran,
        Verdict::Unknown => border::Verdict::Unknown,
    }
}

/// The HTTP response that carries `problem`.
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

/// A JSON response.
pub fn json<T: serde::Serialize>(status: u16, value: &T) -> WebResponse {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = WebResponse::new(body.into());
    *response.status_mut() = status_code(status);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

/// The status, or 500 for a number that is none.
pub fn status_code(status: u16) -> StatusCode {
    StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

/// Sets a header, unless its value cannot stand in one.
pub fn insert_header(headers: &mut xitca_web::http::HeaderMap, name: HeaderName, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

/// Asks the caller to use another connection next time.
pub fn close_connection(response: &mut WebResponse) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}
