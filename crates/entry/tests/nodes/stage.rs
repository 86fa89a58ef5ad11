//! Test environment: entry VM processes and a simulated platform.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;

use fake::BackendOptions;
use fake::BackendPool;
use fake::Place;
use fake::ServiceTime;
use fake::StoreServer;
use fake::TaskTimes;
use fake::VmServer;
use fake::WorkerFleet;
use fake::WorkerOptions;
use model::RequestId;
use model::Verdict;
use wire::border;

/// Operator token of the entry VMs.
pub const TOKEN: &str = "a-token";
/// Timeout for an awaited condition, call or exit.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Configuration that the tests apply.
pub const TEXT: &str = r#"{
  "services": {
    "tickets": {
      "class": "interactive", "idempotent": false, "timeout": "2s", "deadline": "10s",
      "objective": { "availability": "99.9%", "latency": "1s" }, "pool": "hub",
    },
    "reviews": {
      "class": "batch", "idempotent": true, "timeout": "2s", "deadline": "10s",
      "objective": { "availability": "99%", "latency": "5s" }, "pool": "hub",
    },
  },
  "pools": { "hub": { "slots": 8, "connections": 64 } },
  "accounts": {
    "growers": { "weight": 2, "quota": 64 },
    "sorting": {
      "weight": 1, "quota": 128,
      "guarantees": [{ "tasks": 4, "accelerators": 8, "adjacency": "rack" }],
    },
  },
}"#;

/// Simulated platform of one test.
pub struct Stage {
    /// Store server.
    pub store: StoreServer,
    /// Server of the list of VMs.
    pub vms: VmServer,
    /// Backend servers.
    pub pool: BackendPool,
    /// Workers.
    pub workers: WorkerFleet,
    /// HTTP client for the entry VMs.
    pub caller: Caller,
    folder: PathBuf,
}

impl Stage {
    /// Starts the simulated platform; `name` separates the settings files of different tests.
    pub fn start(name: &str) -> Stage {
        let place = Place::new("zone-a", "region-a");
        let pool = BackendPool::start(BackendOptions {
            places: vec![place.clone()],
            service_time: ServiceTime::exponential(Duration::from_millis(5)),
            ..BackendOptions::new("hub", 4)
        })
        .unwrap();
        let workers = WorkerFleet::start(WorkerOptions {
            places: vec![place],
            times: TaskTimes { per_second: Duration::from_millis(100), ..TaskTimes::default() },
            ..WorkerOptions::new(16)
        })
        .unwrap();
        let listed = pool.vms().into_iter().chain(workers.vms()).collect();
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).unwrap();
        Stage {
            store: StoreServer::start(1).unwrap(),
            vms: VmServer::start(listed).unwrap(),
            pool,
            workers,
            caller: Caller::default(),
            folder,
        }
    }

    /// Settings of an entry VM.
    pub fn settings(&self, vm: &str) -> String {
        serde_json::json!({
            "vm": vm,
            "zone": "zone-a",
            "region": "region-a",
            "listen": {
                "callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0",
            },
            "advertise": "127.0.0.1:0",
            "store": [self.store.url()],
            "vms": format!("{}/v1/vms", self.vms.url()),
            "token": TOKEN,
            "log_level": "info",
            "limits": { "drain": "20s", "body": "64KB" },
        })
        .to_string()
    }

    /// Path of the log of an entry VM.
    pub fn log(&self, vm: &str) -> PathBuf {
        self.folder.join(format!("{vm}.log"))
    }

    /// Starts an entry VM process.
    pub fn spawn(&self, vm: &str) -> Process {
        let path = self.folder.join(format!("{vm}.jsonc"));
        std::fs::write(&path, self.settings(vm)).unwrap();
        let log = std::fs::File::create(self.log(vm)).unwrap();
        let mut child = basilrackd()
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        let address = line.trim().rsplit('/').next().unwrap_or_default().parse().unwrap();
        Process { child, address }
    }

    /// Stores the configuration and waits until all `processes` have joined; see
    /// [`Stage::wait_joined`].
    pub async fn apply(&self, processes: &[&Process]) {
        let call = border::ApplyCall {
            expect: 0,
            text: TEXT.to_owned(),
            author: "a test".to_owned(),
            write: "1".to_owned(),
        };
        let first = processes[0].address;
        let applied = async || {
            let body = serde_json::to_vec(&call).unwrap();
            let reply = self.caller.operator(first, Method::PUT, "/v1/text", body).await;
            reply.is_some_and(|reply| reply.status == 200)
        };
        until("the configuration is stored", applied).await;
        for process in processes {
            self.wait_joined(process, processes.len()).await;
        }
    }

    /// Waits until an entry VM sees `members` live entry VMs, itself included, has the
    /// configuration in force and knows an owner of every shard.
    pub async fn wait_joined(&self, process: &Process, members: usize) {
        let settled = async || {
            let status = self.caller.status(process.address).await;
            status.is_some_and(|status| {
                let live = status.members.iter().filter(|m| m.state == "live").count();
                let owned = status.shards.iter().all(|shard| shard.owner.is_some());
                let ready = !status.backends.is_empty() && !status.shards.is_empty();
                status.revision > 0 && live == members && owned && ready
            })
        };
        until("the entry VMs know each other", settled).await;
    }
}

/// The program under test.
pub fn basilrackd() -> Command {
    Command::new(env!("CARGO_BIN_EXE_basilrackd"))
}

/// Entry VM process.
pub struct Process {
    child: Child,
    /// Address at which it serves callers.
    pub address: SocketAddr,
}

impl Process {
    /// Id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &pid]).status().unwrap().success());
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
    }

    /// Waits for the process to exit.
    pub async fn exit(mut self) -> ExitStatus {
        let waiting = tokio::task::spawn_blocking(move || self.child.wait().unwrap());
        tokio::time::timeout(WAIT_TIMEOUT, waiting).await.expect("the process did not end").unwrap()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails if the process has exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// HTTP response of an entry VM.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Request id in the headers, if any.
    pub request: Option<RequestId>,
    /// Verdict in the headers, if any.
    pub verdict: Option<Verdict>,
    /// Reason in the headers; empty if there is none.
    pub reason: String,
    /// Content type; empty if there is none.
    pub content: String,
    /// Body.
    pub body: Bytes,
}

impl Reply {
    /// Parses the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> T {
        serde_json::from_slice(&self.body)
            .unwrap_or_else(|error| panic!("{error}: {}", String::from_utf8_lossy(&self.body)))
    }
}

/// HTTP client for entry VMs.
#[derive(Clone)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for Caller {
    fn default() -> Caller {
        let mut builder = Client::builder(TokioExecutor::new());
        Caller { client: builder.retry_canceled_requests(false).build(HttpConnector::new()) }
    }
}

impl Caller {
    /// Makes a call; `None` if no complete response arrived in time.
    pub async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Option<Reply> {
        let mut request = Request::builder().method(method).uri(format!("http://{address}{path}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(body.into())).unwrap();
        let exchange = async {
            let response = self.client.request(request).await.ok()?;
            let (parts, body) = response.into_parts();
            let header = |name: &str| {
                let value = parts.headers.get(name).and_then(|value| value.to_str().ok());
                value.unwrap_or_default().to_owned()
            };
            Some(Reply {
                status: parts.status.as_u16(),
                request: header("basilrack-request").parse().ok(),
                verdict: header("basilrack-verdict").parse().ok(),
                reason: header("basilrack-reason"),
                content: header("content-type"),
                body: body.collect().await.ok()?.to_bytes(),
            })
        };
        tokio::time::timeout(WAIT_TIMEOUT, exchange).await.ok().flatten()
    }

    /// Makes a call with the operator token.
    pub async fn operator(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Option<Reply> {
        let token = format!("Bearer {TOKEN}");
        self.call(address, method, path, &[("authorization", &token)], body).await
    }

    /// Status report of an entry VM; `None` if it cannot be read.
    pub async fn status(&self, address: SocketAddr) -> Option<border::Status> {
        let reply = self.operator(address, Method::GET, "/v1/status", "").await?;
        serde_json::from_slice(&reply.body).ok()
    }

    /// Issues a new request id.
    pub async fn id(&self, address: SocketAddr) -> Option<String> {
        let reply = self.call(address, Method::POST, "/v1/ids?count=1", &[], "").await?;
        let ids: border::Ids = serde_json::from_slice(&reply.body).ok()?;
        ids.ids.first().cloned()
    }

    /// Runs a request under an id.
    pub async fn put(
        &self,
        address: SocketAddr,
        id: &str,
        service: &str,
        body: &str,
    ) -> Option<Reply> {
        let headers = [("basilrack-service", service), ("basilrack-account", "growers")];
        let path = format!("/v1/requests/{id}");
        self.call(address, Method::PUT, &path, &headers, body.to_owned()).await
    }
}

/// Waits until `holds` returns true; panics after the timeout.
pub async fn until(what: &str, holds: impl AsyncFn() -> bool) {
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while !holds().await {
        assert!(tokio::time::Instant::now() < deadline, "timed out waiting until {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
