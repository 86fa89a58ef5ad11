//! Reads request bodies, headers and parameters, and checks the operator token.

use std::future::poll_fn;
use std::pin::pin;
use std::sync::Arc;
use std::sync::OnceLock;
use std::task::Poll;
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
use intake::Lease;
use intake::Port;

/// Timeout for receiving a whole body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Bytes of an over-long body that are read and discarded, so that the sender gets the refusal
/// instead of a connection reset.
const MAX_DISCARDED_BYTES: usize = 32 << 20;

/// Share of a call in the bytes of all calls, from the first byte of its body until it is answered.
///
/// The web server gives no access to its connections, so only bodies are counted.
pub type LeaseSlot = Arc<OnceLock<Lease>>;

/// Reads the whole body, within the limits of length, time and bytes of all calls.
pub async fn read(ctx: &WebContext<'_, SharedState>) -> Result<Bytes, Refusal> {
    let limit = ctx.state().body_limit;
    let body = std::mem::take(&mut *ctx.body_borrow_mut());
    if matches!(body, RequestBody::None) {
        return Ok(Bytes::new());
    }
    let lease = ctx.state().intake.open(Port::Callers).ok_or_else(busy)?;
    lease.begin_body();
    match tokio::time::timeout(BODY_TIMEOUT, collect(body, limit, Some(&lease))).await {
        Ok(read) => {
            lease.pass_on().map_err(|_| busy())?;
            if let Some(slot) = ctx.req().extensions().get::<LeaseSlot>() {
                // A call has one body.
                let _ = slot.set(lease);
            }
            read
        }
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
        let _ = tokio::time::timeout(BODY_TIMEOUT, collect(body, 0, None)).await;
    }
}

fn busy() -> Refusal {
    Refusal::new(Fault::Busy, "too many calls with bodies are in progress")
}

async fn collect(body: RequestBody, limit: usize, lease: Option<&Lease>) -> Result<Bytes, Refusal> {
    let mut body = pin!(body);
    let mut whole = BytesMut::new();
    let mut length = 0;
    loop {
        let mut data = body.as_mut();
        let mut next = pin!(data.data());
        let part = poll_fn(|cx| {
            if lease.is_some_and(|lease| lease.refusal().is_some()) {
                return Poll::Ready(Err(busy()));
            }
            let polled = next.as_mut().poll(cx);
            if let (Poll::Pending, Some(lease)) = (&polled, lease) {
                lease.park(cx.waker());
            }
            polled.map(Ok)
        });
        let Some(part) = part.await? else { break };
        let part = part.map_err(|error| {
            Refusal::new(Fault::BodyIncomplete, format!("the body was cut off: {error}"))
        })?;
        length += part.len();
        if length <= limit {
            if let Some(lease) = lease {
                lease.grow(part.len()).map_err(|_| busy())?;
            }
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
