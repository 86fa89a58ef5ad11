//! Watches.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::time::sleep;

use crate::store::gateway;
use crate::store::gateway::Number;
use crate::store::gateway::Streamed;
use crate::store::gateway::WatchAnswer;
use crate::store::kv::Span;
use crate::store::server::Shared;

/// Wait between reports of progress where there are none.
const NO_PROGRESS: Duration = Duration::from_secs(3600);

/// Feeds one watch.
pub(crate) struct Feeder {
    pub(crate) shared: Arc<Shared>,
    pub(crate) span: Span,
    pub(crate) next: u64,
    pub(crate) progress: bool,
    pub(crate) lines: mpsc::Sender<Bytes>,
}

impl Feeder {
    pub(crate) async fn run(mut self) {
        let created = self.line(|answer| answer.created = true);
        if self.lines.send(created).await.is_err() {
            return;
        }
        loop {
            let shared = self.shared.clone();
            let changed = shared.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            let lines = self.news();
            let idle = lines.is_empty();
            for line in lines {
                if self.lines.send(line).await.is_err() {
                    return;
                }
            }
            if self.is_compacted() {
                return;
            }
            if idle && self.wait(changed).await.is_none() {
                return;
            }
        }
    }

    /// Waits for a change or for the next report of progress; none if the caller went away.
    async fn wait(&self, changed: impl Future<Output = ()>) -> Option<()> {
        let interval = self.shared.lock().faults.progress.filter(|_| self.progress);
        let pause = interval.unwrap_or(NO_PROGRESS);
        tokio::select! {
            () = changed => Some(()),
            () = self.lines.closed() => None,
            () = sleep(pause) => {
                let reported = self.next - 1;
                let line = self.line(|answer| answer.header = gateway::header(reported));
                self.lines.send(line).await.ok()
            }
        }
    }

    fn is_compacted(&self) -> bool {
        self.next < self.shared.lock().kv.compacted()
    }

    fn news(&mut self) -> Vec<Bytes> {
        let state = self.shared.lock();
        let compacted = state.kv.compacted();
        if self.next < compacted {
            drop(state);
            return vec![self.line(|answer| {
                answer.canceled = true;
                answer.compact_revision = compacted.into();
            })];
        }
        let lists = state.kv.changes(&self.span, self.next);
        self.next = state.kv.revision() + 1;
        drop(state);
        let line = |records: Vec<_>| {
            self.line(|answer| answer.events = records.into_iter().map(Into::into).collect())
        };
        lists.into_iter().map(line).collect()
    }

    fn line(&self, fill: impl FnOnce(&mut WatchAnswer)) -> Bytes {
        let revision = self.shared.lock().kv.revision();
        let mut result = WatchAnswer {
            header: gateway::header(revision),
            created: false,
            canceled: false,
            compact_revision: Number(0),
            events: Vec::new(),
        };
        fill(&mut result);
        let line = serde_json::to_vec(&Streamed { result });
        let mut line = line.expect("answers of stand-ins are valid json");
        line.push(b'\n');
        Bytes::from(line)
    }
}
