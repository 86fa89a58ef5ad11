//! Watch streams.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::store::gateway;
use crate::store::gateway::Number;
use crate::store::gateway::StreamAnswer;
use crate::store::gateway::WatchAnswer;
use crate::store::kv::KeyRange;
use crate::store::server::Shared;

/// Wait time of a watch without progress notifications.
const IDLE_WAIT: Duration = Duration::from_secs(3600);

/// Sends the events of one watch to its response stream.
pub(crate) struct WatchFeeder {
    pub(crate) shared: Arc<Shared>,
    pub(crate) range: KeyRange,
    pub(crate) next_revision: u64,
    pub(crate) sends_progress: bool,
    pub(crate) lines: mpsc::Sender<Bytes>,
}

impl WatchFeeder {
    pub(crate) async fn run(mut self) {
        let created = self.response_line(|answer| answer.created = true);
        if self.lines.send(created).await.is_err() {
            return;
        }
        loop {
            let shared = self.shared.clone();
            let changed = shared.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let lines = self.pending_lines();
            let is_idle = lines.is_empty();
            for line in lines {
                if self.lines.send(line).await.is_err() {
                    return;
                }
            }
            if self.is_compacted() {
                return;
            }
            if is_idle && self.wait(changed).await.is_none() {
                return;
            }
        }
    }

    /// Waits for a change, or sends the next progress notification when it is due.
    ///
    /// `None` if the caller disconnected.
    async fn wait(&self, changed: impl Future<Output = ()>) -> Option<()> {
        let interval = self.shared.lock().faults.progress.filter(|_| self.sends_progress);
        let wait = interval.unwrap_or(IDLE_WAIT);
        tokio::select! {
            () = changed => Some(()),
            () = self.lines.closed() => None,
            () = sleep(wait) => {
                let revision = self.next_revision - 1;
                let line = self.response_line(|answer| answer.header = gateway::header(revision));
                self.lines.send(line).await.ok()
            }
        }
    }

    fn is_compacted(&self) -> bool {
        self.next_revision < self.shared.lock().kv.compacted()
    }

    fn pending_lines(&mut self) -> Vec<Bytes> {
        let state = self.shared.lock();
        let compacted = state.kv.compacted();
        if self.next_revision < compacted {
            drop(state);
            return vec![self.response_line(|answer| {
                answer.canceled = true;
                answer.compact_revision = compacted.into();
            })];
        }
        let lists = state.kv.changes(&self.range, self.next_revision);
        self.next_revision = state.kv.revision() + 1;
        drop(state);
        let line = |records: Vec<_>| {
            self.response_line(|answer| {
                answer.events = records.into_iter().map(Into::into).collect()
            })
        };
        lists.into_iter().map(line).collect()
    }

    fn response_line(&self, set_fields: impl FnOnce(&mut WatchAnswer)) -> Bytes {
        let revision = self.shared.lock().kv.revision();
        let mut result = WatchAnswer {
            header: gateway::header(revision),
            created: false,
            canceled: false,
            compact_revision: Number(0),
            events: Vec::new(),
        };
        set_fields(&mut result);
        let line = serde_json::to_vec(&StreamAnswer { result });
        let mut line = line.expect("answers can be serialized as JSON");
        line.push(b'\n');
        Bytes::from(line)
    }
}
