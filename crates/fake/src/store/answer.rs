//! Answers to calls other than watches.

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
use crate::store::gateway::HeaderAnswer;
use crate::store::gateway::LeaseAnswer;
use crate::store::gateway::Number;
use crate::store::gateway::Problem;
use crate::store::gateway::ResponseOp;
use crate::store::gateway::Streamed;
use crate::store::kv::Outcome;
use crate::store::kv::Refusal;
use crate::store::record::CallKind;
use crate::store::server::State;

/// Why a call is answered with an error.
#[derive(Debug)]
pub(crate) enum Failure {
    Json(serde_json::Error),
    Refusal(Refusal),
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Failure {
        Failure::Refusal(refusal)
    }
}

impl Failure {
    pub(crate) fn into_response(self) -> Response<Body> {
        match self {
            Failure::Json(error) => problem(StatusCode::BAD_REQUEST, 3, &error.to_string()),
            Failure::Refusal(refusal) => {
                let (code, number) = match refusal {
                    Refusal::NoLease => (StatusCode::NOT_FOUND, 5),
                    Refusal::Compacted | Refusal::Future => (StatusCode::BAD_REQUEST, 11),
                    Refusal::LeaseExists => (StatusCode::PRECONDITION_FAILED, 9),
                    Refusal::TooLarge => (StatusCode::BAD_REQUEST, 3),
                };
                problem(code, number, &refusal.to_string())
            }
        }
    }
}

pub(crate) fn problem(code: StatusCode, number: u32, message: &str) -> Response<Body> {
    json(code, &Problem { error: message.to_owned(), code: number, message: message.to_owned() })
}

pub(crate) fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, Failure> {
    serde_json::from_slice(body).map_err(Failure::Json)
}

fn ok<T: Serialize>(value: &T) -> Response<Body> {
    json(StatusCode::OK, value)
}

/// The kind of call that a path stands for.
pub(crate) fn kind(path: &str) -> Option<CallKind> {
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
    /// Gives a call effect.
    pub(crate) fn answer(&mut self, kind: CallKind, body: &[u8]) -> Response<Body> {
        let result = match kind {
            CallKind::Range => parse(body).and_then(|range| self.range(&range)),
            CallKind::Put => parse(body).and_then(|put| self.put(&put)),
            CallKind::Txn => parse(body).and_then(|txn| self.txn(&txn)),
            CallKind::Grant => parse(body).and_then(|grant| self.grant(&grant)),
            CallKind::KeepAlive => parse(body).map(|lease| self.keep_alive(&lease)),
            CallKind::Revoke => parse(body).and_then(|lease| self.revoke(&lease)),
            CallKind::Watch => Ok(status(StatusCode::NOT_FOUND)),
        };
        result.unwrap_or_else(Failure::into_response)
    }

    fn range(&mut self, range: &gateway::RangeRequest) -> Result<Response<Body>, Failure> {
        let outcomes = self.kv.apply(&[range.operation()])?;
        let records = match outcomes.into_iter().next() {
            Some(Outcome::Range(records)) => records,
            _ => Vec::new(),
        };
        Ok(ok(&gateway::range(self.kv.revision(), records, range.limit.unsigned())))
    }

    fn put(&mut self, put: &gateway::PutRequest) -> Result<Response<Body>, Failure> {
        self.kv.apply(&[put.operation()])?;
        Ok(ok(&HeaderAnswer { header: gateway::header(self.kv.revision()) }))
    }

    fn txn(&mut self, txn: &gateway::TxnRequest) -> Result<Response<Body>, Failure> {
        let holds = |compare: &gateway::Compare| {
            self.kv.mod_revision(&compare.key.0) == compare.mod_revision.unsigned()
        };
        let succeeded = txn.compare.iter().all(holds);
        let chosen = if succeeded { &txn.success } else { &txn.failure };
        let operations: Vec<_> = chosen.iter().map(gateway::RequestOp::operation).collect();
        let outcomes = self.kv.apply(&operations)?;
        let revision = self.kv.revision();
        let responses = outcomes.into_iter().map(|outcome| response(revision, outcome));
        let responses = responses.collect();
        Ok(ok(&gateway::TxnAnswer { header: gateway::header(revision), succeeded, responses }))
    }

    fn grant(&mut self, grant: &gateway::GrantRequest) -> Result<Response<Body>, Failure> {
        let ttl = Duration::from_secs(grant.ttl.unsigned());
        let id = self.kv.grant(self.lease_time, grant.id.0, ttl)?;
        Ok(ok(&self.lease(id, ttl)))
    }

    fn keep_alive(&mut self, lease: &gateway::LeaseRequest) -> Response<Body> {
        let ttl = self.kv.keep_alive(self.lease_time, lease.id.0);
        let result = self.lease(lease.id.0, ttl.unwrap_or_default());
        ok(&Streamed { result })
    }

    fn revoke(&mut self, lease: &gateway::LeaseRequest) -> Result<Response<Body>, Failure> {
        self.kv.revoke(lease.id.0)?;
        Ok(ok(&HeaderAnswer { header: gateway::header(self.kv.revision()) }))
    }

    fn lease(&self, id: i64, ttl: Duration) -> LeaseAnswer {
        let header = gateway::header(self.kv.revision());
        LeaseAnswer { header, id: Number(id), ttl: ttl.as_secs().into() }
    }
}

fn response(revision: u64, outcome: Outcome) -> ResponseOp {
    let header = gateway::header(revision);
    match outcome {
        Outcome::Range(records) => ResponseOp::Range(gateway::range(revision, records, 0)),
        Outcome::Put => ResponseOp::Put(HeaderAnswer { header }),
        Outcome::Delete(count) => {
            ResponseOp::Delete(DeleteAnswer { header, deleted: (count as u64).into() })
        }
    }
}
