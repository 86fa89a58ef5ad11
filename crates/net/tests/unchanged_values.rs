//! Conditional requests: a value that has not changed is not sent again.

use hyper::Uri;

use fake::VmServer;
use net::Rest;
use net::rest::Config;
use wire::border::VmList;

#[tokio::test]
async fn unchanged_vm_list() {
    let server = VmServer::start(Vec::new()).unwrap();
    let uri: Uri = format!("{}/v1/vms", server.url()).parse().unwrap();
    let rest = Rest::new(Config::default());
    let first = rest.get_json_if_changed::<VmList>(&uri, None).await.unwrap().unwrap();
    assert!(first.tag.is_some(), "the list has no entity tag");
    let again = rest.get_json_if_changed::<VmList>(&uri, first.tag.as_ref()).await.unwrap();
    assert!(again.is_none(), "an unchanged list was sent again");
    let place = fake::Place::default();
    let (role, state) = (wire::border::VmRole::Entry, wire::border::VmState::Live);
    let vm = place.vm("a", role, state, server.address());
    server.update(|vms| vms.push(vm));
    let changed =
        rest.get_json_if_changed::<VmList>(&uri, first.tag.as_ref()).await.unwrap().unwrap();
    assert_eq!(changed.value.vms.len(), 1);
    assert_ne!(changed.tag, first.tag);
}
