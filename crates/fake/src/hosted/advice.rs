//! Simulated advice service, which selects the workers that may run a step.

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
use crate::http::CloseConnection;
use crate::http::Handler;
use crate::http::Server;
use crate::http::json as answer;
use crate::http::read;
use crate::http::status;

/// Validity of a ticket, in ms.
const TICKET_VALIDITY_MS: u64 = 3_000;

/// A simulated advice service.
#[derive(Debug)]
pub struct HostedAdvice {
    server: Server,
    handler: AdviceHandler,
}

#[derive(Clone, Debug)]
struct AdviceHandler {
    approved: Arc<BTreeSet<String>>,
    steps: Arc<Mutex<Vec<String>>>,
    pending_refusals: Arc<AtomicU64>,
}

impl HostedAdvice {
    /// Starts a service on a free loopback port.
    ///
    /// The first `refusals` calls are refused with status 429. Later calls are answered with those
    /// of the proposed workers that are in `approved`.
    ///
    /// # Errors
    ///
    /// No loopback port is free.
    pub fn start(approved: &[&str], refusals: u64) -> io::Result<HostedAdvice> {
        let approved = approved.iter().map(|&name| name.to_owned()).collect();
        let handler = AdviceHandler {
            approved: Arc::new(approved),
            steps: Arc::default(),
            pending_refusals: Arc::new(AtomicU64::new(refusals)),
        };
        let server = Server::start(handler.clone(), None)?;
        Ok(HostedAdvice { server, handler })
    }

    /// Returns the address of the service.
    pub fn address(&self) -> Address {
        self.server.address()
    }

    /// Returns the steps for which it has given advice, in the order of the calls.
    pub fn steps(&self) -> Vec<String> {
        self.handler.steps.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

impl Handler for AdviceHandler {
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, CloseConnection> {
        if request.uri().path() != "/-/advise" {
            return Ok(status(StatusCode::NOT_FOUND));
        }
        let body = read(request.into_body()).await?;
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        let decrement = |left: u64| left.checked_sub(1);
        if self
            .pending_refusals
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement)
            .is_ok()
        {
            return Ok(status(StatusCode::TOO_MANY_REQUESTS));
        }
        let step = body["step"].as_str().unwrap_or_default().to_owned();
        let proposed = body["workers"].as_array().cloned().unwrap_or_default();
        let good: Vec<Value> = proposed
            .iter()
            .filter_map(Value::as_str)
            .filter(|id| self.approved.contains(*id))
            .map(|id| json!([id, format!("ticket-{step}-{id}")]))
            .collect();
        self.steps.lock().unwrap_or_else(PoisonError::into_inner).push(step);
        Ok(answer(StatusCode::OK, &json!({ "good": good, "validMs": TICKET_VALIDITY_MS })))
    }
}
