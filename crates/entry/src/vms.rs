//! Groups the platform's list of VMs by role and converts it for each component.

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

/// VMs of the platform by role.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct VmInventory {
    /// Backend servers.
    pub backends: Vec<route::Backend>,
    /// Address of each backend server.
    pub backend_addresses: BTreeMap<BackendId, SocketAddr>,
    /// Workers of each placement shard.
    pub workers: BTreeMap<ShardId, Vec<gang::WorkerInfo>>,
    /// Base URL of each worker.
    pub worker_addresses: BTreeMap<WorkerId, String>,
    /// Region of each placement shard.
    pub regions: BTreeMap<ShardId, RegionId>,
    /// Entry VMs.
    pub entries: Vec<border::Vm>,
}

impl VmInventory {
    /// Total number of accelerators of each shard.
    pub fn capacity(&self) -> BTreeMap<ShardId, u32> {
        let total = |list: &Vec<gang::WorkerInfo>| list.iter().map(|w| w.accelerators).sum();
        self.workers.iter().map(|(shard, list)| (shard.clone(), total(list))).collect()
    }

    /// Entry VMs in the form that the fleet state machine takes.
    pub fn entry_vms(&self) -> Vec<fleet::VmEntry> {
        let entry = |vm: &border::Vm| fleet::VmEntry {
            vm: vm.name.as_str().into(),
            address: vm.address.clone(),
            leaving: vm.state == border::VmState::Leaving,
        };
        self.entries.iter().map(entry).collect()
    }

    /// Placement shards: one for each availability zone that has workers.
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

/// Groups the list of VMs by role; skips backend servers with an invalid address.
pub fn group_by_role(list: border::VmList) -> VmInventory {
    let mut inventory = VmInventory::default();
    for vm in list.vms {
        match vm.role {
            border::VmRole::Entry => inventory.entries.push(vm),
            border::VmRole::Backend => add_backend(&mut inventory, &vm),
            border::VmRole::Worker => add_worker(&mut inventory, &vm),
        }
    }
    inventory
}

fn add_backend(inventory: &mut VmInventory, vm: &border::Vm) {
    let id = BackendId::new(&vm.name);
    match vm.address.parse() {
        Ok(address) => inventory.backend_addresses.insert(id.clone(), address),
        Err(_) => {
            warn!("vms: invalid address {:?} of backend server {id}", vm.address);
            return;
        }
    };
    inventory.backends.push(route::Backend {
        id,
        pool: vm.pool.as_str().into(),
        zone: vm.zone.as_str().into(),
        region: vm.region.as_str().into(),
        slots: vm.slots,
        connections: vm.connections,
        leaving: vm.state == border::VmState::Leaving,
    });
}

fn add_worker(inventory: &mut VmInventory, vm: &border::Vm) {
    let id = WorkerId::new(&vm.name);
    let url = format!("http://{}{}", vm.address, vm.path);
    inventory.worker_addresses.insert(id.clone(), url);
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
    inventory.regions.insert(ShardId::new(&vm.zone), vm.region.as_str().into());
    inventory.workers.entry(ShardId::new(&vm.zone)).or_default().push(info);
}
