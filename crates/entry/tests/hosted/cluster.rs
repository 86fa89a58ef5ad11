//! Test environment: entry VM processes in host mode and a simulated platform.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::http::HeaderName;
use hyper::http::HeaderValue;
use hyper::http::header::HOST;
use serde_json::Value;
use serde_json::json;
use tokio::time::sleep;

use fake::HostedConfiguration;
use fake::HostedStore;
use fake::HostedWorker;
use net::CallError;
use net::Caller;
use net::Reply;
use net::call::Call;
use net::call::Limits;

pub const KEY: &str = "key-of-a";
/// Maximum size of a request body.
pub const BODY_BYTES: usize = 4_096;
/// Environment variable with the memory of the VMs in MB; without it, the setting is not stated.
pub const MEMORY_VARIABLE: &str = "ENTRY_MEMORY_MB";
/// Environment variable with the descriptors of the VMs; without it, the setting is not stated.
pub const DESCRIPTORS_VARIABLE: &str = "ENTRY_DESCRIPTORS";
/// Timeout for an awaited condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// First port that entry VMs listen on.
const FIRST_PORT: u16 = 10_000;
/// Number of ports handed out so far.
static PORT_COUNT: AtomicU16 = AtomicU16::new(0);

/// Entry VM process.
pub struct Vm {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub metrics: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

impl Vm {
    fn start(&mut self) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))
            .expect("a log file");
        let child = Command::new(env!("CARGO_BIN_EXE_basilrackd"))
            .arg("host")
            .arg("--settings")
            .arg(&self.settings)
            .stdout(Stdio::from(log))
            .spawn()
            .expect("the program starts");
        self.child = Some(child);
    }

    /// Makes the process use the store at another address from its next start on.
    pub fn set_store(&self, address: &str) {
        let text = fs::read_to_string(&self.settings).expect("settings");
        let mut settings: Value = serde_json::from_str(&text).expect("settings in JSON");
        settings["store"] = json!(address);
        fs::write(&self.settings, settings.to_string()).expect("settings");
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("a process of ours");
            child.wait().expect("it ends");
        }
    }

    /// Sends SIGTERM and waits for the exit; returns the exit code.
    pub async fn terminate(&mut self) -> Option<i32> {
        let mut child = self.child.take()?;
        send_signal(child.id(), "-TERM");
        for _ in 0..500 {
            if let Some(status) = child.try_wait().expect("its state") {
                return status.code();
            }
            sleep(POLL_INTERVAL).await;
        }
        child.kill().expect("a process of ours");
        child.wait().expect("it ends");
        panic!("{} did not stop in time", self.name);
    }

    /// Sends a signal, if the process is running.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            send_signal(child.id(), signal);
        }
    }

    /// Id of the process; zero if it is not running.
    pub fn id(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Log of the process so far.
    pub fn log(&self) -> String {
        fs::read_to_string(self.settings.with_extension("log")).unwrap_or_default()
    }

    /// Largest amount of memory that the process has used so far, in kB.
    pub fn peak_memory_kb(&self) -> u64 {
        let id = self.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).expect("a process");
        let line = status.lines().find(|line| line.starts_with("VmHWM:")).expect("its memory");
        line.split_whitespace().nth(1).and_then(|kb| kb.parse().ok()).expect("a number")
    }

    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    pub fn restart(&mut self) {
        self.kill();
        self.start();
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Entry VMs with a simulated store and workers.
pub struct Cluster {
    pub store: HostedStore,
    pub workers: Vec<HostedWorker>,
    pub vms: Vec<Vm>,
    caller: Caller,
}

impl Cluster {
    /// Starts entry VMs, and workers whose tasks run for `work`, and waits until all are ready.
    pub async fn start(name: &str, vms: usize, workers: usize, work: Duration) -> Cluster {
        Cluster::start_with(name, vms, workers, work, None).await
    }

    /// Like [`Cluster::start`], with queues whose steps run only on workers that an advice service
    /// names.
    pub async fn start_with(
        name: &str,
        vms: usize,
        workers: usize,
        work: Duration,
        advice: Option<SocketAddr>,
    ) -> Cluster {
        let store = HostedStore::start().expect("a store");
        let requires_advice = advice.is_some();
        let body_bytes = BODY_BYTES;
        let configured = HostedConfiguration { version: 1, key: KEY, requires_advice, body_bytes };
        store.configure(&configured);
        let folder = std::env::temp_dir().join(format!("basilrack-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder).expect("a folder");
        let workers: Vec<HostedWorker> = (0..workers)
            .map(|number| {
                let worker = HostedWorker::start(&format!("i-{number}"), work).expect("a worker");
                store.put(&worker.key(), &worker.entry("service"));
                worker
            })
            .collect();
        let vms = (0..vms)
            .map(|number| new_vm(&folder, &format!("entry-{number}"), &store, advice))
            .collect();
        let limits = Limits {
            connect_timeout: Duration::from_secs(1),
            stall_timeout: Duration::from_secs(4),
            answer_timeout: Duration::from_secs(4),
            answer_len: 1 << 20,
        };
        let mut cluster = Cluster { store, workers, vms, caller: Caller::new(limits) };
        for vm in &mut cluster.vms {
            vm.start();
        }
        for number in 0..cluster.vms.len() {
            cluster.wait_ready(number).await;
        }
        cluster
    }

    /// Waits until an entry VM is ready.
    pub async fn wait_ready(&self, number: usize) {
        let address = self.vms[number].readiness;
        self.until("an entry VM is ready", async || {
            let reply = self.call(address, Method::GET, "/-/readiness", None, "").await;
            reply.is_ok_and(|reply| reply.status == 200)
        })
        .await;
    }

    /// Waits until `holds` returns true; panics after the timeout.
    pub async fn until(&self, what: &str, holds: impl AsyncFn() -> bool) {
        let rounds = WAIT_TIMEOUT.as_millis() / POLL_INTERVAL.as_millis();
        for _ in 0..rounds {
            if holds().await {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
        panic!("timed out waiting until {what}");
    }

    pub async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> Result<Reply, CallError> {
        let mut headers = vec![(HOST, HeaderValue::from_static("jobs.example"))];
        if let Some(key) = key {
            let value = HeaderValue::from_str(key).expect("a key");
            headers.push((HeaderName::from_static("x-api-key"), value));
        }
        let body = Bytes::copy_from_slice(body.as_bytes());
        let limit = Duration::from_secs(4);
        self.caller.call(address, Call { method, path, headers, body, limit }).await
    }

    /// Calls an entry VM with the account's API key; the status is 0 if no response arrived.
    pub async fn ask(&self, vm: usize, method: Method, path: &str, body: &str) -> (u16, Value) {
        match self.call(self.vms[vm].callers, method, path, Some(KEY), body).await {
            Ok(reply) => (reply.status, serde_json::from_slice(&reply.body).unwrap_or(Value::Null)),
            Err(_) => (0, Value::Null),
        }
    }

    /// State of a job as an entry VM reports it.
    pub async fn state(&self, vm: usize, id: &str) -> String {
        let (_, body) = self.ask(vm, Method::GET, &format!("/work/{id}"), "").await;
        body["state"].as_str().unwrap_or_default().to_owned()
    }

    /// Waits until a job is reported as completed.
    pub async fn wait_completed(&self, vm: usize, id: &str) {
        self.until(&format!("{id} is completed"), async || self.state(vm, id).await == "completed")
            .await;
    }

    /// Names of the started tasks, once per start.
    pub fn started_tasks(&self) -> Vec<String> {
        let mut tasks: Vec<String> =
            self.workers.iter().flat_map(HostedWorker::starts).map(|run| run.task).collect();
        tasks.sort();
        tasks
    }

    /// Number of the entry VM that owns the jobs.
    pub fn owner(&self) -> Option<usize> {
        let name = String::from_utf8(self.store.value("owner")?).ok()?;
        self.vms.iter().position(|vm| vm.name == name)
    }
}

fn new_vm(
    folder: &std::path::Path,
    name: &str,
    store: &HostedStore,
    advice: Option<SocketAddr>,
) -> Vm {
    // A loopback address used by this process alone, and ports below the ephemeral range:
    // a port that was found free may be taken by an outgoing connection in the meantime.
    let id = std::process::id();
    let own = [127, (id >> 14) as u8 | 1, (id >> 7) as u8 & 127, id as u8 & 127];
    let address = || {
        let port = FIRST_PORT + PORT_COUNT.fetch_add(1, Ordering::Relaxed);
        SocketAddr::from((own, port))
    };
    let (callers, readiness, peers, metrics) = (address(), address(), address(), address());
    let settings = folder.join(format!("{name}.jsonc"));
    let mut text = json!({
        "vm": name, "zone": "north-a", "region": "north",
        "callers": callers.to_string(), "readiness": readiness.to_string(),
        "peers": peers.to_string(), "metrics": metrics.to_string(), "store": store.address().to_string(),
        "cpu": 0.25, "link_mbps": 1000, "ownership": "1200ms", "apply": "3s", "grace": "4s",
        "jobs": {
            "lease": "6s", "stop": "200ms", "retention": "2m",
            "drain": "3s", "cancel": "3s", "evacuate": "5s",
        },
    });
    for (setting, variable) in
        [("memory_mb", MEMORY_VARIABLE), ("descriptors", DESCRIPTORS_VARIABLE)]
    {
        if let Some(number) = number_from(variable) {
            text[setting] = json!(number);
        }
    }
    if let Some(advice) = advice {
        text["advice"] = json!(advice.to_string());
    }
    fs::write(&settings, text.to_string()).expect("settings");
    Vm { name: name.to_owned(), callers, readiness, metrics, settings, child: None }
}

/// Returns the number in an environment variable; `None` if it is not set.
pub fn number_from(variable: &str) -> Option<usize> {
    let text = std::env::var(variable).ok()?;
    Some(text.parse().expect("a number in the environment variable"))
}

/// Sends a signal to a process by its id.
pub fn send_signal(id: u32, signal: &str) {
    let sent = Command::new("kill").arg(signal).arg(id.to_string()).status().expect("kill runs");
    assert!(sent.success(), "cannot send {signal} to process {id}");
}
