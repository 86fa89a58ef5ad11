//! Reports for operators: a snapshot of the router and the history of a request.

use crate::AnswerCount;
use crate::BackendView;
use crate::PeerView;
use crate::QueueView;
use crate::Router;
use crate::Snapshot;
use crate::Step;
use crate::server::Lane;
use crate::server::Pool;
use crate::server::Server;
use model::Class;
use model::RequestId;

impl Router {
    /// A snapshot of the current state.
    pub fn snapshot(&self) -> Snapshot {
        let answer = |(key, count): (&(model::Verdict, crate::Reason), &u64)| AnswerCount {
            verdict: key.0,
            reason: key.1,
            count: *count,
        };
        let peer = |state: &crate::peers::PeerState| PeerView {
            incarnation: state.peer.incarnation,
            reachable: state.down_since.is_none(),
            draining: state.draining,
        };
        Snapshot {
            revision: self.policy.revision,
            draining: self.draining(),
            requests: self.table.len(),
            running: self.running,
            forwarded: self.forwards.len(),
            kept_bytes: self.table.kept_bytes(),
            queues: self.pools.iter().flat_map(|pool| self.queue_views(pool)).collect(),
            backends: self
                .server_index
                .values()
                .map(|s| self.backend_view(&self.servers[*s]))
                .collect(),
            peers: self.peers.iter().map(peer).collect(),
            answers: self.totals.answers.iter().map(answer).collect(),
            retries: self.totals.retries,
            hedges: self.totals.hedges,
            link_bytes: self.totals.link_bytes,
        }
    }

    /// The recorded steps of a request, oldest first; `None` if the request is not in the table.
    pub fn explain(&self, id: RequestId) -> Option<Vec<Step>> {
        self.table.get(id).map(|entry| entry.steps.clone())
    }

    fn queue_views(&self, pool: &Pool) -> Vec<QueueView> {
        let mut views = Vec::new();
        for (index, queue) in pool.queues.iter().enumerate() {
            let urgent = index == Lane::Interactive as usize;
            let class = if urgent { Class::Interactive } else { Class::Batch };
            views.extend(queue.account_lengths().map(|(account, waiting)| QueueView {
                pool: pool.id.clone(),
                class,
                account: self.catalog.accounts[account].id.clone(),
                waiting,
            }));
        }
        views
    }

    fn backend_view(&self, server: &Server) -> BackendView {
        BackendView {
            id: server.id.clone(),
            pool: self.pools[server.pool].id.clone(),
            state: server.state,
            lender: server.lender,
            held: server.credits(self.settings.reserved_percent, self.now).0,
            used: server.used,
            lent: server.loans.as_ref().map_or(0, crate::lending::LoanTable::lent),
        }
    }
}
