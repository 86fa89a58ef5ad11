//! Reads request bodies, headers and parameters, and checks the operator token.

use std::pin::pin;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use serde::de::DeserializeOwned;
use xitca_web::WebContext;
use xitca_web::body::BodyExt;
use xitca_web::body::RequestBody;

use crate::web::SharedState;
use crate::web::WebState;
use crate::web::problem::Fault;
use crate::web::problem::Refusal;

/// Timeout for receiving a whole body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Bytes of an over-long body that are read and discarded, so that the sender gets the refusal
/// instead of a connection reset.
const MAX_DISCARDED_BYTES: usize = 32 << 20;

/// Reads the whole body, within the limits of length and time.
pub async fn read(ctx: &WebContext<'_, SharedState>) -> Result<Bytes, Refusal> {
    let limit = ctx.state().body_limit;
    let body = std::mem::take(&mut *ctx.body_borrow_mut());
    if matches!(body, RequestBody::None) {
        return Ok(Bytes::new());
    }
    match tokio::time::timeout(BODY_TIMEOUT, collect(body, limit)).await {
        Ok(read) => read,
        Err(_) => Err(Refusal::new(
            Fault::BodyIncomplete,
            format!("the body did not arrive within {} s", BODY_TIMEOUT.as_secs()),
        )),
    }
}

/// Reads and discards a body that no handler has read, so that the connection can be reused.
pub async fn discard(ctx: &WebContext<'_, SharedState>) {
    let body = std::mem::take(&mut *ctx.body_borrow_mut());
    if !matches!(body, RequestBody::None) {
        // The call has been answered already, so the result does not matter.
        let _ = tokio::time::timeout(BODY_TIMEOUT, collect(body, 0)).await;
    }
}

async fn collect(body: RequestBody, limit: usize) -> Result<Bytes, Refusal> {
    let mut body = pin!(body);
    let mut whole = BytesMut::new();
    let mut length = 0;
    while let Some(part) = body.as_mut().data().await {
        let part = part.map_err(|error| {
            Refusal::new(Fault::BodyIncomplete, format!("the body was cut off: {error}"))
        })?;
        length += part.len();
        if length <= limit {
            whole.extend_from_slice(&part);
        } else if length > MAX_DISCARDED_BYTES {
            break;
        }
    }
    if length > limit {
        let detail = format!("the body is longer than {limit} bytes");
        return Err(Refusal::new(Fault::BodyTooLong, detail));
    }
    Ok(whole.freeze())
}

/// Reads the body as JSON.
pub async fn json<T: DeserializeOwned>(ctx: &WebContext<'_, SharedState>) -> Result<T, Refusal> {
    let body = read(ctx).await?;
    serde_json::from_slice(&body)
        .map_err(|error| Refusal::new(Fault::BadBody, format!("the body is invalid: {error}")))
}

/// Value of a header; `None` if it is missing or not text.
pub fn header<'c>(ctx: &'c WebContext<'_, SharedState>, name: &str) -> Option<&'c str> {
    ctx.req().headers().get(name).and_then(|value| value.to_str().ok())
}

/// Value of a required header, which must not be empty.
pub fn required<'c>(ctx: &'c WebContext<'_, SharedState>, name: &str) -> Result<&'c str, Refusal> {
    header(ctx, name)
        .filter(|value| !value.is_empty())
        .ok_or_else(|| Refusal::new(Fault::BadHeader, format!("header {name} is missing")))
}

/// Parameter of the path; empty if it is missing.
pub fn param<'c>(ctx: &'c WebContext<'_, SharedState>, name: &str) -> &'c str {
    ctx.req().body().params().get(name).map_or("", |value| value)
}

/// Parameter of the query string; `None` if it is missing.
pub fn query<'c>(ctx: &'c WebContext<'_, SharedState>, name: &str) -> Option<&'c str> {
    let query = ctx.req().uri().query()?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
}

/// Checks the operator token of a call.
pub fn authorize(ctx: &WebContext<'_, SharedState>, state: &WebState) -> Result<(), Refusal> {
    let given = header(ctx, "authorization").and_then(|value| value.strip_prefix("Bearer "));
    match given {
        Some(given) if state.token.matches(given) => Ok(()),
        _ => Err(Refusal::new(
            Fault::Unauthorized,
            "send the operator token as \"authorization: Bearer <token>\"",
        )),
    }
}
