//! Passes datagrams between instances, and drops those between instances that are cut off.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use tokio::net::UdpSocket;

/// The largest datagram that instances send.
const DATAGRAM_BYTES_MAX: usize = 1_400;

/// Where the other instances reach one instance.
#[derive(Clone)]
struct Port {
    /// The address on which the instance listens.
    instance: SocketAddr,
    /// Receives for the instance; what the instance sends to others leaves from here too.
    socket: Arc<UdpSocket>,
}

/// Passes datagrams between instances.
#[derive(Default)]
pub struct Switch {
    ports: Mutex<BTreeMap<Arc<str>, Port>>,
    /// Pairs of sender and receiver whose datagrams are dropped.
    cuts: Mutex<BTreeSet<(Arc<str>, Arc<str>)>>,
}

impl Switch {
    pub fn open() -> Arc<Self> {
        Arc::default()
    }

    /// Opens the port of an instance that listens at `address`, and passes on what arrives there until
    /// the runtime ends.
    pub async fn attach(self: &Arc<Self>, name: &str, address: SocketAddr) {
        let bound = UdpSocket::bind("127.0.0.1:0").await;
        let socket = Arc::new(bound.expect("a free port"));
        let port = Port {
            instance: address,
            socket: Arc::clone(&socket),
        };
        let name: Arc<str> = Arc::from(name);
        self.ports
            .lock()
            .expect("no panic")
            .insert(Arc::clone(&name), port);
        let switch = Arc::clone(self);
        tokio::spawn(async move {
            let mut buffer = [0; DATAGRAM_BYTES_MAX];
            loop {
                // A datagram to an instance that has ended is reported here as an error.
                let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
                    continue;
                };
                switch.pass(&name, from, &buffer[..length]).await;
            }
        });
    }

    async fn pass(&self, to: &Arc<str>, from: SocketAddr, bytes: &[u8]) {
        let sender = {
            let ports = self.ports.lock().expect("no panic");
            let sender = ports.iter().find(|(_, port)| port.instance == from);
            sender.map(|(name, port)| (Arc::clone(name), port.clone(), ports[to].instance))
        };
        let Some((name, port, address)) = sender else {
            return;
        };
        if !self.is_cut(&name, to) {
            // The receiver answers to the address from which it received.
            let _sent = port.socket.send_to(bytes, address).await;
        }
    }

    fn is_cut(&self, from: &Arc<str>, to: &Arc<str>) -> bool {
        let cut = (Arc::clone(from), Arc::clone(to));
        self.cuts.lock().expect("no panic").contains(&cut)
    }

    /// Drops all datagrams from one instance to another.
    pub fn cut(&self, from: &str, to: &str) {
        let cut = (Arc::from(from), Arc::from(to));
        self.cuts.lock().expect("no panic").insert(cut);
    }

    /// Passes all datagrams again.
    pub fn heal(&self) {
        self.cuts.lock().expect("no panic").clear();
    }

    /// Names the port of an instance in place of its address, in a row that the instance writes.
    pub(super) fn published(&self, name: &str, value: &str) -> Arc<str> {
        let (address, port) = self.addresses(name);
        Arc::from(value.replace(&address, &port))
    }

    /// Names the address of an instance in place of its port, in a row that the instance reads.
    pub(super) fn received(&self, name: &str, value: &str) -> Arc<str> {
        let (address, port) = self.addresses(name);
        Arc::from(value.replace(&port, &address))
    }

    /// Returns the address of an instance and that of its port, as rows show them.
    fn addresses(&self, name: &str) -> (String, String) {
        let ports = self.ports.lock().expect("no panic");
        let port = &ports[name];
        let outside = port.socket.local_addr().expect("a bound port");
        (format!("\"{}\"", port.instance), format!("\"{outside}\""))
    }
}
