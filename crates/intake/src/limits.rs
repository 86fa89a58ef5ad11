//! The limits, and their defaults for the memory and the descriptors of a VM.

use std::time::Duration;

use rustix::process::Resource;
use rustix::process::getrlimit;

use crate::connection::Port;

/// Bytes that requests may hold if the memory of the VM is not known.
const DEFAULT_HELD_BYTES: usize = 16 << 20;
/// The requests hold at most this part of the VM's memory. The kernel's buffers of the connections
/// take as much at most; the rest is for jobs, workers and the program.
const MEMORY_SHARE: usize = 5;
/// Upper bound of the default number of callers' connections.
const MAX_CONNECTIONS: usize = 1_024;
/// Callers' connections take at most this part of the descriptors; the rest is for the connections
/// to workers, to the store and to peers.
const DESCRIPTOR_SHARE: usize = 3;
/// Connections of peers: two for each of the 299 entry VMs of the largest deployment.
const PEER_CONNECTIONS: usize = 600;
/// Connections for health checks, and those for scrapes of the metrics.
const CHECK_CONNECTIONS: usize = 64;
/// Receive buffer of a connection, in bytes; the kernel reserves twice as much.
pub(crate) const RECEIVE_BYTES: usize = 16 << 10;
/// Smallest limit on a head that hyper accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8 << 10;
/// Wire bytes of a body per byte of its limit: a chunk of one byte takes six.
const WIRE_FACTOR: usize = 8;
/// Wire bytes of a body beyond that, for chunk extensions and trailers. hyper allows 16 KB of each.
const WIRE_EXTRA: usize = 64 << 10;
/// Bytes that a connection holds besides what it has read: its task, and the read buffer of the web
/// server, which takes 8 to 20 KB.
const CONNECTION_BYTES: usize = 24 << 10;
/// Bytes that a request holds while it is served, besides its body: calls to the store and answers.
const REQUEST_BYTES: usize = 64 << 10;
/// Bytes that a request holds while it is served, per byte of its body: the body, the decoded job,
/// its stored form and two copies of that in Base64 within a call to the store.
const WORK_FACTOR: usize = 8;
/// Bytes of a head beyond its limit, for the request line.
const REQUEST_LINE_BYTES: usize = 4 << 10;
/// Default time for a body, in units of the idle timeout. A client that pauses for less than the
/// idle timeout between any two of a few parts is served.
const BODY_IDLE_TIMES: u32 = 4;

/// Memory and descriptors of a VM, as far as they are known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Vm {
    /// Memory in MB.
    pub memory_mb: Option<u32>,
    /// Number of descriptors that a process may open.
    pub descriptors: Option<u32>,
}

/// Limits on clients.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes that all connections and requests may hold.
    pub held_bytes: usize,
    /// Number of connections of callers.
    pub connections: usize,
    /// Bytes that a connection holds besides what it has read.
    pub connection_bytes: usize,
    /// Size of the head of a request, in bytes.
    pub head_bytes: usize,
    /// Size of the body of a request, in bytes.
    pub body_bytes: usize,
    /// Time from the first byte of a head to its end.
    pub head_time: Duration,
    /// Time from the end of the head to the end of the body; `None` derives it from `idle_time`.
    pub body_time: Option<Duration>,
    /// Time without a byte on an idle connection, within a body, or within an answer.
    pub idle_time: Duration,
}

impl Limits {
    /// Returns the default limits of a VM.
    pub fn new(vm: Vm) -> Limits {
        let mut limits = Limits {
            held_bytes: DEFAULT_HELD_BYTES,
            connections: MAX_CONNECTIONS,
            connection_bytes: CONNECTION_BYTES,
            head_bytes: 16 << 10,
            body_bytes: 256 << 10,
            head_time: Duration::from_secs(3),
            body_time: None,
            idle_time: Duration::from_secs(15),
        };
        if let Some(memory) = vm.memory_mb {
            let share = ((memory as usize) << 20) / MEMORY_SHARE;
            limits.held_bytes = share;
            limits.connections = MAX_CONNECTIONS.min(share / (2 * RECEIVE_BYTES));
        }
        limits.connections = limits.connections.min(vm.max_connections());
        limits
    }

    /// Returns the size of a read buffer that takes any head within the limit.
    pub fn buffer_bytes(&self) -> usize {
        self.head_bytes.max(MIN_HEAD_BYTES).saturating_add(REQUEST_LINE_BYTES)
    }

    /// Returns the bytes that the largest request within the limits holds.
    pub fn largest_request(&self) -> usize {
        let connection = self.connection_bytes.saturating_add(self.buffer_bytes());
        connection.saturating_add(self.body_bytes).saturating_add(work_bytes(self.body_bytes))
    }

    /// Number of connections that a port may have.
    pub(crate) fn most(&self, port: Port) -> usize {
        match port {
            Port::Callers => self.connections,
            Port::Peers => PEER_CONNECTIONS,
            Port::Readiness | Port::Metrics => CHECK_CONNECTIONS,
        }
    }

    /// Wire bytes of a body, with its chunk framing and trailers.
    pub(crate) fn wire_bytes(&self) -> usize {
        self.body_bytes.saturating_mul(WIRE_FACTOR).saturating_add(WIRE_EXTRA)
    }

    /// Returns the time for a whole body.
    pub fn whole_body_time(&self) -> Duration {
        self.body_time.unwrap_or(self.idle_time.saturating_mul(BODY_IDLE_TIMES))
    }

    /// The shortest of the times, after which a sweep is due at the latest.
    pub(crate) fn shortest_time(&self) -> Duration {
        self.head_time.min(self.idle_time).min(self.whole_body_time())
    }
}

/// Bytes that a request with a body of `body_bytes` holds while it is served.
pub(crate) fn work_bytes(body_bytes: usize) -> usize {
    REQUEST_BYTES.saturating_add(body_bytes.saturating_mul(WORK_FACTOR))
}

impl Vm {
    /// Maximum number of callers' connections that leaves enough descriptors for everything else.
    pub fn max_connections(&self) -> usize {
        let allowed = getrlimit(Resource::Nofile).current;
        let allowed = allowed.and_then(|most| usize::try_from(most).ok()).unwrap_or(usize::MAX);
        let stated = self.descriptors.map_or(usize::MAX, |most| most as usize);
        (allowed.min(stated) / DESCRIPTOR_SHARE).max(1)
    }
}
