//! The processes of a deployment.

use super::Deployment;
use super::layout::ENDPOINT_PASSWORD;
use super::layout::ENDPOINT_USER;
use super::layout::FLEET_SECRET;
use super::layout::READ_TOKEN;
use super::layout::WRITE_TOKEN;

/// One process to start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Process {
    /// Its name, unique in the fleet.
    pub name: String,
    /// The program.
    pub program: &'static str,
    /// The arguments, none with a space.
    pub args: Vec<String>,
}

/// Lists the processes in the order in which they start.
pub fn processes(deployment: &Deployment) -> Vec<Process> {
    let groups = (0..deployment.groups.len()).map(|group| group_process(deployment, group));
    let instances = (0..deployment.instances.len()).map(|index| instance(deployment, index));
    groups
        .chain([platform(deployment), links(deployment)])
        .chain(instances)
        .collect()
}

fn process(name: &str, program: &'static str, args: &[(&str, String)]) -> Process {
    let words = args
        .iter()
        .flat_map(|(flag, value)| [(*flag).to_owned(), value.clone()]);
    Process {
        name: name.to_owned(),
        program,
        args: words.filter(|word| !word.is_empty()).collect(),
    }
}

fn group_process(deployment: &Deployment, group: usize) -> Process {
    let name = deployment.groups[group].name;
    let mut args = vec![("group", String::new()), ("--name", name.to_owned())];
    for server in 0..deployment.servers {
        args.push(("--server", deployment.server_address(group, server)));
    }
    args.extend([
        ("--control", deployment.group_control(group)),
        ("--slots", deployment.slots.to_string()),
        ("--connections", deployment.connections.to_string()),
        ("--connect-ms", deployment.connect_ms.to_string()),
        ("--lag-ms", deployment.lag_ms.to_string()),
        // CAST: a delay between zones is a few milliseconds.
        (
            "--link-ms",
            (deployment.zone_delay_ms.ceil() as u64).to_string(),
        ),
        ("--work-ms", deployment.work_ms.to_string()),
        ("--user", ENDPOINT_USER.to_owned()),
        ("--password", ENDPOINT_PASSWORD.to_owned()),
    ]);
    process(name, "standin", &args)
}

fn platform(deployment: &Deployment) -> Process {
    let args = [
        ("platform", String::new()),
        ("--listen", deployment.platform()),
        ("--control", deployment.platform_control()),
    ];
    process("platform", "standin", &args)
}

fn links(deployment: &Deployment) -> Process {
    let mut routes = Vec::new();
    for (index, zone) in deployment.instances.iter().enumerate() {
        let (link, to) = (deployment.client_link(index), deployment.listen(index));
        routes.push(format!("{link}={to},client,{zone}"));
    }
    for group in 0..deployment.groups.len() {
        for server in 0..deployment.servers {
            let link = deployment.direct_link(group, server);
            let to = deployment.server_address(group, server);
            let zone = deployment.server_zone(group, server);
            routes.push(format!("{link}={to},client,{zone}"));
        }
    }
    for (index, zone) in deployment.instances.iter().enumerate() {
        let (link, to) = (deployment.platform_link(index), deployment.platform());
        routes.push(format!("{link}={to},{zone},platform"));
        for detour in detours(deployment, index) {
            routes.push(format!(
                "{}={},{zone},{}",
                detour.link, detour.to, detour.zone
            ));
        }
    }
    let mut args = vec![("link", String::new())];
    args.extend(routes.into_iter().map(|route| ("--route", route)));
    args.extend([
        ("--delay-ms", deployment.zone_delay_ms.to_string()),
        ("--client-delay-ms", deployment.client_delay_ms.to_string()),
        ("--control", deployment.link_control()),
    ]);
    process("links", "standin", &args)
}

/// A link from one instance to a server or another instance.
struct Detour {
    link: String,
    to: String,
    zone: &'static str,
}

/// Lists the links from an instance to all servers and other instances.
fn detours(deployment: &Deployment, instance: usize) -> Vec<Detour> {
    let mut detours = Vec::new();
    for group in 0..deployment.groups.len() {
        detours.extend((0..deployment.servers).map(|server| Detour {
            link: deployment.server_link(instance, group, server),
            to: deployment.server_address(group, server),
            zone: deployment.server_zone(group, server),
        }));
    }
    let others = deployment.instances.iter().enumerate();
    let others = others.filter(|(other, _)| *other != instance);
    detours.extend(others.map(|(other, zone)| Detour {
        link: deployment.peer_link(instance, other),
        to: deployment.peer(other),
        zone,
    }));
    detours
}

fn instance(deployment: &Deployment, index: usize) -> Process {
    let zone = deployment.instances[index];
    let mut args = vec![
        ("--name", deployment.instance(index)),
        ("--zone", zone.to_owned()),
        ("--listen", deployment.listen(index)),
        ("--peer", deployment.peer(index)),
        ("--admin", deployment.admin(index)),
        (
            "--platform",
            format!("http://{}", deployment.platform_link(index)),
        ),
        ("--fleet", deployment.name.to_string()),
        ("--fleet-secret", FLEET_SECRET.to_owned()),
        ("--endpoint-user", ENDPOINT_USER.to_owned()),
        ("--endpoint-password", ENDPOINT_PASSWORD.to_owned()),
        ("--admin-token-write", WRITE_TOKEN.to_owned()),
        ("--admin-token-read", READ_TOKEN.to_owned()),
    ];
    for detour in detours(deployment, index) {
        args.push(("--via", format!("{}={}", detour.to, detour.link)));
    }
    process(&deployment.instance(index), "yuccamountd", &args)
}
