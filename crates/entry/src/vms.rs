//! Reads the platform's list of VMs and tells each part what it says.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use log::warn;

use model::BackendId;
use model::RackId;
use model::RegionId;
use model::ShardId;
use model::WorkerId;
use model::ZoneId;
use wire::border;

/// The list of VMs, sorted by what they are for.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Sorted {
    /// Backend servers.
    pub backends: Vec<route::Backend>,
    /// Address by backend server.
    pub backend_addresses: BTreeMap<BackendId, SocketAddr>,
    /// Workers by placement shard.
    pub workers: BTreeMap<ShardId, Vec<gang::WorkerInfo>>,
    /// Base URL by worker.
    pub worker_addresses: BTreeMap<WorkerId, String>,
    /// Region of each placement shard.
    pub regions: BTreeMap<ShardId, RegionId>,
    /// Entry VMs.
    pub entries: Vec<border::Vm>,
}

impl Sorted {
    /// Accelerators of each shard.
    pub fn capacity(&self) -> BTreeMap<ShardId, u32> {
        let total = |list: &Vec<gang::WorkerInfo>| list.iter().map(|w| w.accelerators).sum();
        self.workers.iter().map(|(shard, list)| (shard.clone(), total(list))).collect()
    }

    /// Entry VMs as the fleet part reads them.
    pub fn entry_vms(&self) -> Vec<fleet::VmEntry> {
        let entry = |vm: &border::Vm| fleet::VmEntry {
            vm: vm.name.as_str().into(),
            address: vm.address.clone(),
            leaving: vm.state == border::VmState::Leaving,
        };
        self.entries.iter().map(entry).collect()
    }

    /// All placement shards: one for each availability zone that has workers.
    pub fn shards(&self) -> Vec<fleet::Shard> {
        let shard = |id: &ShardId| fleet::Shard {
            id: id.clone(),
            zone: id.as_str().into(),
            region: self.regions.get(id).cloned().unwrap_or_else(|| "".into()),
        };
        self.workers.keys().map(shard).collect()
    }

    /// Availability zone of each backend server.
    pub fn backend_zones(&self) -> BTreeMap<BackendId, ZoneId> {
        self.backends.iter().map(|b| (b.id.clone(), b.zone.clone())).collect()
    }
}

/// Sorts the list of VMs.
pub fn sort(list: border::VmList) -> Sorted {
    let mut sorted = Sorted::default();
    for vm in list.vms {
        match vm.role {
            border::VmRole::Entry => sorted.entries.push(vm),
            border::VmRole::Backend => add_backend(&mut sorted, &vm),
            border::VmRole::Worker => add_worker(&mut sorted, &vm),
        }
    }
    sorted
}

fn add_backend(sorted: &mut Sorted, vm: &border::Vm) {
    let id = BackendId::new(&vm.name);
    match vm.address.parse() {
        Ok(address) => sorted.backend_addresses.insert(id.clone(), address),
        Err(_) => {
            warn!("vms: address {:?} of backend server {id} is not valid", vm.address);
            return;
        }
    };
    sorted.backends.push(route::Backend {
        id,
        pool: vm.pool.as_str().into(),
        zone: vm.zone.as_str().into(),
        region: vm.region.as_str().into(),
        slots: vm.slots,
        connections: vm.connections,
        leaving: vm.state == border::VmState::Leaving,
    });
}

fn add_worker(sorted: &mut Sorted, vm: &border::Vm) {
    let id = WorkerId::new(&vm.name);
    let url = format!("http://{}{}", vm.address, vm.path);
    sorted.worker_addresses.insert(id.clone(), url);
    let info = gang::WorkerInfo {
        id,
        rack: RackId::new(&vm.rack),
        slot: vm.position,
        zone: vm.zone.as_str().into(),
        accelerators: vm.accelerators,
        millicores: vm.millicores,
        memory_mib: vm.memory_mib,
        leaving: vm.state == border::VmState::Leaving,
    };
    sorted.regions.insert(ShardId::new(&vm.zone), vm.region.as_str().into());
    sorted.workers.entry(ShardId::new(&vm.zone)).or_default().push(info);
}
