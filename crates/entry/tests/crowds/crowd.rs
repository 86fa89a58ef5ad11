//! An entry VM process and many connections to its port for callers.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::cluster::Cluster;
use crate::cluster::DESCRIPTORS_VARIABLE;
use crate::cluster::KEY;
use crate::cluster::MEMORY_VARIABLE;
use crate::cluster::number_from;
use fake::hosted_job as job;

/// Maximum size of a request body on the users' platform.
pub const BODY_BYTES: usize = 262_144;
/// Time after which a client stops waiting for the process to read on.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);
/// Task time of the worker.
const TASK_TIME: Duration = Duration::from_millis(100);
/// Pause between two samples of the process's memory.
const SAMPLE_PAUSE: Duration = Duration::from_millis(100);
/// Number of equal samples after which the process counts as having read everything.
const STEADY_SAMPLES: u32 = 6;
/// Bound on the resident memory of the process and on its private memory, in kB,
/// without the setting `memory_mb`.
const MAX_MEMORY_KB: u64 = 56 << 10;
/// Bound on the open descriptors of the process.
const MAX_DESCRIPTORS: usize = 1_200;
/// Descriptors beyond those at the start that may be open once the crowd has left: connections to
/// the store, to workers and to peers, and those of the checks.
const MAX_KEPT_DESCRIPTORS: usize = 32;
/// Pause between ordinary requests while the crowd sends.
const REQUEST_PAUSE: Duration = Duration::from_millis(200);

/// An entry VM process and the open connections of its clients.
pub struct Crowd {
    pub cluster: Cluster,
    /// Open descriptors of the process before the crowd came.
    descriptors: usize,
    pub streams: Vec<TcpStream>,
}

impl Crowd {
    /// Starts a process whose configuration has short timeouts.
    pub async fn start(name: &str) -> Crowd {
        let cluster = Cluster::start(&format!("crowd-{name}"), vm_count(), 1, TASK_TIME).await;
        cluster.store.put("op/config", &configuration());
        let long = " ".repeat(2 * crate::cluster::BODY_BYTES);
        let path = "/work/00000000000000c1";
        let accepts = async || cluster.ask(0, Method::POST, path, &long).await.0 == 400;
        cluster.until("the configuration is in force", accepts).await;
        let descriptors = open_descriptors(cluster.vms[0].id());
        Crowd { cluster, descriptors, streams: Vec::new() }
    }

    /// Connects `count` clients, which then send their bytes at the same time and stay connected.
    pub async fn send(&mut self, count: usize, bytes: impl Fn(usize) -> Vec<u8>) {
        let address = self.cluster.vms[0].callers;
        let mut connected = Vec::new();
        for _ in 0..count {
            connected.extend(connect(address).await);
        }
        let mut clients = JoinSet::new();
        for (number, stream) in connected.into_iter().enumerate() {
            clients.spawn(send_one(stream, bytes(number)));
        }
        let sending = clients.join_all();
        let streams = self.submit_during(sending).await;
        self.streams.extend(streams);
        self.settle().await;
    }

    /// Submits ordinary jobs while `sending` runs, each of which must be stored or truthfully
    /// refused; returns what `sending` returns.
    async fn submit_during<T>(&self, sending: impl Future<Output = T>) -> T {
        let mut sending = std::pin::pin!(sending);
        let mut answers: BTreeMap<String, u32> = BTreeMap::new();
        let sent = loop {
            let (path, body) = ("/work/00000000000000c3", job(1));
            let address = self.cluster.vms[0].callers;
            let answer =
                match self.cluster.call(address, Method::POST, path, Some(KEY), &body).await {
                    Ok(reply) => {
                        let is_truthful = matches!(reply.status, 200 | 503);
                        assert!(is_truthful, "an ordinary request got {}", reply.status);
                        reply.status.to_string()
                    }
                    // A refusal is lost if the connection is closed while it has unread bytes.
                    Err(error) => format!("{error:?}"),
                };
            *answers.entry(answer).or_default() += 1;
            if let Ok(sent) = timeout(REQUEST_PAUSE, &mut sending).await {
                break sent;
            }
        };
        println!("answers to ordinary requests during the crowd: {answers:?}");
        sent
    }

    /// Address for peers, as the process has registered it in the store.
    fn peers_address(&self) -> SocketAddr {
        let value = self.cluster.store.value("p/entry-0").expect("a registration");
        String::from_utf8(value).ok().and_then(|text| text.parse().ok()).expect("an address")
    }

    /// Waits until the process has read what was sent: its memory no longer grows.
    async fn settle(&self) {
        let mut unchanged = 0;
        let mut last = 0;
        while unchanged < STEADY_SAMPLES && is_alive(self.cluster.vms[0].id()) {
            sleep(SAMPLE_PAUSE).await;
            let peak = self.cluster.vms[0].peak_memory_kb();
            unchanged = if peak == last { unchanged + 1 } else { 0 };
            last = peak;
        }
    }

    /// Checks that the process is within its bounds and answers an ordinary request.
    /// Then the clients leave, and the process must close their descriptors.
    pub async fn check(mut self) {
        let vm = &self.cluster.vms[0];
        assert!(is_alive(vm.id()), "the process has ended");
        let (peak, private) = (vm.peak_memory_kb(), private_kb(vm.id()));
        let descriptors = open_descriptors(vm.id());
        println!("peak {peak} kB, private {private} kB, {descriptors} descriptors");
        self.cluster.wait_ready(0).await;
        for port in [self.peers_address(), vm.metrics] {
            let path = "/work/00000000000000c2";
            let answers =
                async || self.cluster.call(port, Method::GET, path, None, "").await.is_ok();
            self.cluster.until("peers and scrapes are answered", answers).await;
        }
        let path = "/work/00000000000000c2";
        let answers = async || self.cluster.ask(0, Method::POST, path, &job(1)).await.0 == 200;
        self.cluster.until("an ordinary request is answered", answers).await;
        let max_kb = number_from(MEMORY_VARIABLE).map_or(MAX_MEMORY_KB, |mb| (mb as u64) << 10);
        assert!(peak < max_kb, "{peak} kB were resident");
        assert!(private < max_kb, "{private} kB are private");
        let max_descriptors = number_from(DESCRIPTORS_VARIABLE).unwrap_or(MAX_DESCRIPTORS);
        assert!(descriptors < max_descriptors, "{descriptors} descriptors are open");
        self.streams.clear();
        let most = self.descriptors + MAX_KEPT_DESCRIPTORS;
        let is_back = async || open_descriptors(self.cluster.vms[0].id()) <= most;
        self.cluster.until("the descriptors are closed", is_back).await;
        let path = "/work/00000000000000c4";
        let answers = async || self.cluster.ask(0, Method::POST, path, &job(1)).await.0 == 200;
        self.cluster.until("an ordinary request is answered afterwards", answers).await;
        let peak = self.cluster.vms[0].peak_memory_kb();
        println!("peak {peak} kB afterwards");
        assert!(peak < max_kb, "{peak} kB were resident");
        assert!(is_alive(self.cluster.vms[0].id()), "the process has ended");
    }
}

/// Connects a client; `None` if the process does not accept the connection.
async fn connect(address: SocketAddr) -> Option<TcpStream> {
    timeout(SEND_TIMEOUT, TcpStream::connect(address)).await.ok()?.ok()
}

async fn send_one(mut stream: TcpStream, bytes: Vec<u8>) -> TcpStream {
    // The process may stop reading, refuse the request or close the connection.
    let _ = timeout(SEND_TIMEOUT, stream.write_all(&bytes)).await;
    stream
}

/// Whether a process runs; one that has ended stays as a zombie until it is waited for.
fn is_alive(id: u32) -> bool {
    let stat = fs::read_to_string(format!("/proc/{id}/stat"));
    stat.is_ok_and(|stat| !stat.contains(") Z "))
}

/// Number of VMs: a VM whose memory is stated is one of two, as on the users' platform.
fn vm_count() -> usize {
    if number_from(MEMORY_VARIABLE).is_some() { 2 } else { 1 }
}

/// Number of open descriptors of a process.
fn open_descriptors(id: u32) -> usize {
    fs::read_dir(format!("/proc/{id}/fd")).expect("a process").count()
}

/// Private memory of a process, in kB.
fn private_kb(id: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{id}/smaps_rollup")).expect("a process");
    let lines = text.lines().filter(|line| line.starts_with("Private_"));
    lines.filter_map(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok()).sum()
}

/// A configuration with the platform's limits on size and shorter times.
fn configuration() -> serde_json::Value {
    json!({
        "version": 2,
        "routes": [{
            "name": "work", "host": "jobs.example", "prefix": "/work/", "priority": 0,
            "service": "service", "targetDurationMs": 600, "maxAttempts": 4, "stretch": 1.5,
        }],
        "services": [{ "name": "service" }],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": BODY_BYTES,
            "headerTimeoutMs": 1000, "idleTimeoutMs": 2000,
        },
        "tenants": [{ "name": "a", "apiKeys": [KEY], "guaranteed": { "gpu": 8 } }],
    })
}
