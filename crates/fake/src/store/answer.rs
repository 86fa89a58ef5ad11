//! Execution of calls other than watches.

use std::time::Duration;

use hyper::Response;
use hyper::StatusCode;
use serde::Deserialize;
use serde::Serialize;

use crate::http::Body;
use crate::http::json;
use crate::http::status;
use crate::store::gateway;
use crate::store::gateway::DeleteAnswer;
use crate::store::gateway::ErrorAnswer;
use crate::store::gateway::HeaderAnswer;
use crate::store::gateway::LeaseAnswer;
use crate::store::gateway::Number;
use crate::store::gateway::ResponseOp;
use crate::store::gateway::StreamAnswer;
use crate::store::kv::Outcome;
use crate::store::kv::StoreError;
use crate::store::record::CallKind;
use crate::store::server::State;

/// Error with which a call is answered.
#[derive(Debug)]
pub(crate) enum CallError {
    Json(serde_json::Error),
    Store(StoreError),
}

impl From<StoreError> for CallError {
    fn from(error: StoreError) -> CallError {
        CallError::Store(error)
    }
}

impl CallError {
    pub(crate) fn into_response(self) -> Response<Body> {
        match self {
            CallError::Json(error) => {
                error_response(StatusCode::BAD_REQUEST, 3, &error.to_string())
            }
            CallError::Store(error) => {
                let (http_status, grpc_code) = match error {
                    StoreError::LeaseNotFound => (StatusCode::NOT_FOUND, 5),
                    StoreError::Compacted | StoreError::FutureRevision => {
                        (StatusCode::BAD_REQUEST, 11)
                    }
                    StoreError::LeaseExists => (StatusCode::PRECONDITION_FAILED, 9),
                    StoreError::TooLarge => (StatusCode::BAD_REQUEST, 3),
                };
                error_response(http_status, grpc_code, &error.to_string())
            }
        }
    }
}

pub(crate) fn error_response(
    http_status: StatusCode,
    grpc_code: u32,
    message: &str,
) -> Response<Body> {
    json(
        http_status,
        &ErrorAnswer { error: message.to_owned(), code: grpc_code, message: message.to_owned() },
    )
}

pub(crate) fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, CallError> {
    serde_json::from_slice(body).map_err(CallError::Json)
}

fn ok<T: Serialize>(value: &T) -> Response<Body> {
    json(StatusCode::OK, value)
}

/// Returns the kind of call of a path; `None` if the path is unknown.
pub(crate) fn call_kind(path: &str) -> Option<CallKind> {
    match path {
        "/v3/kv/range" => Some(CallKind::Range),
        "/v3/kv/put" => Some(CallKind::Put),
        "/v3/kv/txn" => Some(CallKind::Txn),
        "/v3/lease/grant" => Some(CallKind::Grant),
        "/v3/lease/keepalive" => Some(CallKind::KeepAlive),
        "/v3/lease/revoke" | "/v3/kv/lease/revoke" => Some(CallKind::Revoke),
        "/v3/watch" => Some(CallKind::Watch),
        _ => None,
    }
}

impl State {
    /// Executes a call.
    pub(crate) fn execute(&mut self, kind: CallKind, body: &[u8]) -> Response<Body> {
        let result = match kind {
            CallKind::Range => parse(body).and_then(|range| self.range(&range)),
            CallKind::Put => parse(body).and_then(|put| self.put(&put)),
            CallKind::Txn => parse(body).and_then(|txn| self.txn(&txn)),
            CallKind::Grant => parse(body).and_then(|grant| self.grant(&grant)),
            CallKind::KeepAlive => parse(body).map(|lease| self.keep_alive(&lease)),
            CallKind::Revoke => parse(body).and_then(|lease| self.revoke(&lease)),
            CallKind::Watch => Ok(status(StatusCode::NOT_FOUND)),
        };
        result.unwrap_or_else(CallError::into_response)
    }

    fn range(&mut self, range: &gateway::RangeRequest) -> Result<Response<Body>, CallError> {
        let outcomes = self.kv.apply(&[range.operation()])?;
        let records = match outcomes.into_iter().next() {
            Some(Outcome::Range(records)) => records,
            _ => Vec::new(),
        };
        Ok(ok(&gateway::range_answer(self.kv.revision(), records, range.limit.unsigned())))
    }

    fn put(&mut self, put: &gateway::PutRequest) -> Result<Response<Body>, CallError> {
        self.kv.apply(&[put.operation()])?;
        Ok(ok(&HeaderAnswer { header: gateway::header(self.kv.revision()) }))
    }

    fn txn(&mut self, txn: &gateway::TxnRequest) -> Result<Response<Body>, CallError> {
        let is_equal = |compare: &gateway::Compare| {
            self.kv.mod_revision(&compare.key.0) == compare.mod_revision.unsigned()
        };
        let succeeded = txn.compare.iter().all(is_equal);
        let chosen = if succeeded { &txn.success } else { &txn.failure };
        let operations: Vec<_> = chosen.iter().map(gateway::RequestOp::operation).collect();
        let outcomes = self.kv.apply(&operations)?;
        let revision = self.kv.revision();
        let responses = outcomes.into_iter().map(|outcome| response_op(revision, outcome));
        let responses = responses.collect();
        Ok(ok(&gateway::TxnAnswer { header: gateway::header(revision), succeeded, responses }))
    }

    fn grant(&mut self, grant: &gateway::GrantRequest) -> Result<Response<Body>, CallError> {
        let ttl = Duration::from_secs(grant.ttl.unsigned());
        let id = self.kv.grant(self.lease_time, grant.id.0, ttl)?;
        Ok(ok(&self.lease(id, ttl)))
    }

    fn keep_alive(&mut self, lease: &gateway::LeaseRequest) -> Response<Body> {
        let ttl = self.kv.keep_alive(self.lease_time, lease.id.0);
        let result = self.lease(lease.id.0, ttl.unwrap_or_default());
        ok(&StreamAnswer { result })
    }

    fn revoke(&mut self, lease: &gateway::LeaseRequest) -> Result<Response<Body>, CallError> {
        self.kv.revoke(lease.id.0)?;
        Ok(ok(&HeaderAnswer { header: gateway::header(self.kv.revision()) }))
    }

    fn lease(&self, id: i64, ttl: Duration) -> LeaseAnswer {
        let header = gateway::header(self.kv.revision());
        LeaseAnswer { header, id: Number(id), ttl: ttl.as_secs().into() }
    }
}

fn response_op(revision: u64, outcome: Outcome) -> ResponseOp {
    let header = gateway::header(revision);
    match outcome {
        Outcome::Range(records) => ResponseOp::Range(gateway::range_answer(revision, records, 0)),
        Outcome::Put => ResponseOp::Put(HeaderAnswer { header }),
        Outcome::Delete(count) => {
            ResponseOp::Delete(DeleteAnswer { header, deleted: (count as u64).into() })
        }
    }
}
