//! The advice service: names the workers that may run a step.

use std::collections::BTreeSet;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;

use crate::http::Address;
use crate::http::Body;
use crate::http::Handler;
use crate::http::Hangup;
use crate::http::Server;
use crate::http::json as answer;
use crate::http::read;
use crate::http::status;

/// Life of its tickets, in ms.
const TICKET_MS: u64 = 3_000;

/// A stand-in for the advice service.
#[derive(Debug)]
pub struct HostedAdvice {
    server: Server,
    handler: AdviceHandler,
}

#[derive(Clone, Debug)]
struct AdviceHandler {
    named: Arc<BTreeSet<String>>,
    steps: Arc<Mutex<Vec<String>>>,
    refusals: Arc<AtomicU64>,
}

impl HostedAdvice {
    /// A service on a free loopback port that names these workers for every step, after it has
    /// refused its first `refusals` calls.
    ///
    /// # Errors
    ///
    /// No port can be listened on.
    pub fn start(named: &[&str], refusals: u64) -> io::Result<HostedAdvice> {
        let named = named.iter().map(|&name| name.to_owned()).collect();
        let handler = AdviceHandler {
            named: Arc::new(named),
            steps: Arc::default(),
            refusals: Arc::new(AtomicU64::new(refusals)),
        };
        let server = Server::start(handler.clone(), None)?;
        Ok(HostedAdvice { server, handler })
    }

    /// Where it listens.
    pub fn address(&self) -> Address {
        self.server.address()
    }

    /// Steps that it was asked about and has answered for.
    pub fn steps(&self) -> Vec<String> {
        self.handler.steps.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Handler for AdviceHandler {
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, Hangup> {
        if request.uri().path() != "/-/advise" {
            return Ok(status(StatusCode::NOT_FOUND));
        }
        let body = read(request.into_body()).await?;
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        let fewer = |left: u64| left.checked_sub(1);
        if self.refusals.fetch_update(Ordering::Relaxed, Ordering::Relaxed, fewer).is_ok() {
            return Ok(status(StatusCode::TOO_MANY_REQUESTS));
        }
        let step = body["step"].as_str().unwrap_or_default().to_owned();
        let asked = body["workers"].as_array().cloned().unwrap_or_default();
        let good: Vec<Value> = asked
            .iter()
            .filter_map(Value::as_str)
            .filter(|id| self.named.contains(*id))
            .map(|id| json!([id, format!("ticket-{step}-{id}")]))
            .collect();
        self.steps.lock().unwrap_or_else(PoisonError::into_inner).push(step);
        Ok(answer(StatusCode::OK, &json!({ "good": good, "validMs": TICKET_MS })))
    }
}
